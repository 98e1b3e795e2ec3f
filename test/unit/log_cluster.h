/** @file
 * What tests of a simulated cluster ask of it. A host is passed as its index.
 */
#ifndef LAURELLIFT_TEST_UNIT_LOG_CLUSTER_H
#define LAURELLIFT_TEST_UNIT_LOG_CLUSTER_H

#include "../fuzz/log_net.h"

/** Returns the leader among the hosts that run; the test fails without one. */
unsigned Cluster_Leader(Net *net);

LogStatus Cluster_Status(Net *net, unsigned host);

/** Cuts a host off from all others, or connects it again. */
void Cluster_Isolate(Net *net, unsigned host, bool cut);

#endif
