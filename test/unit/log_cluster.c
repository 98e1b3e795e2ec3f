/** @file
 * What tests of a simulated cluster ask of it.
 */
#include "log_cluster.h"

#include "unit.h"

unsigned
Cluster_Leader(Net *net)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        LogStatus status;
        if (net->hosts[i].core == NULL) {
            continue;
        }
        LogCore_GetStatus(net->hosts[i].core, &status);
        if (status.is_leader && !net->hosts[i].frozen) {
            return i;
        }
    }
    fail_msg("no running host is the leader");
    return 0;
}

LogStatus
Cluster_Status(Net *net, unsigned host)
{
    LogStatus status;
    LogCore_GetStatus(net->hosts[host].core, &status);
    return status;
}

void
Cluster_Isolate(Net *net, unsigned host, bool cut)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        net->cut[host][i] = cut && i != host;
        net->cut[i][host] = cut && i != host;
    }
}
