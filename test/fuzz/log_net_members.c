/** @file
 * Simulated cluster of log cores: changes of membership, and disks that fail
 * and recover.
 */
#include "log_net.h"

void
Net_SetZone(LogMember *member, uint32_t id)
{
    g_snprintf(member->zone, LOG_ZONE_BYTES, "zone-%u", id);
}

void
Net_ChangeMember(Net *net, unsigned index, uint32_t id, bool add)
{
    NetHost *host = &net->hosts[index];
    if (host->core == NULL) {
        return;
    }
    Error err = ERROR_INIT;
    LogCore_ChangeMember(host->core, id, net->hosts[id - 1].disk.disk_id,
                         add ? "127.0.0.1:1" : NULL, &err);
    Net_ProcessOutput(net, host);
}

void
Net_SendJoinRequests(Net *net, uint32_t id, uint32_t zone_id)
{
    LogMember member = {
        .id = id,
        .disk_id = net->hosts[id - 1].disk.disk_id,
        .address = "127.0.0.1:1",
    };
    Net_SetZone(&member, zone_id);
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        NetHost *host = &net->hosts[i];
        if (host->core != NULL && host->id != id) {
            LogCore_OnJoinRequest(host->core, &member, net->now);
            Net_ProcessOutput(net, host);
        }
    }
}

void
Net_FailDisk(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core != NULL) {
        LogCore_OnDiskFailed(host->core);
        g_ptr_array_set_size(host->disk.batches, 0);
        Net_ProcessOutput(net, host);
    }
}

void
Net_RecoverDisk(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core != NULL) {
        LogCore_OnDiskRecovered(host->core, net->now);
        Net_ProcessOutput(net, host);
    }
}
