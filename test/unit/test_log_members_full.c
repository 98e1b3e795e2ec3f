/** @file
 * Log core: automatic membership with all places taken.
 */
#include "unit.h"

#include "log_cluster.h"

#define ROUNDS 60

static void
crash_unused(Net *net, unsigned first)
{
    for (unsigned i = first; i < NET_HOSTS; i++) {
        Net_Crash(net, i);
    }
}

/* Hosts that were never heard again must not keep a working host of any zone
 * out, also where they were to replace a voter that has ended. */
static void
dead_learners_make_room(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    crash_unused(net, 3);
    Net_Run(net, ROUNDS);
    unsigned lost = (Cluster_Leader(net) + 1) % 3;
    uint32_t zone = net->hosts[lost].id;
    Net_Crash(net, lost);
    for (uint32_t id = 4; id < NET_HOSTS; id++) {
        Net_SendJoinRequests(net, id, zone);
        Net_Run(net, 10);
    }
    Net_Start(net, NET_HOSTS - 1);
    for (unsigned i = 0; i < 4 * ROUNDS; i++) {
        Net_SendJoinRequests(net, NET_HOSTS, zone);
        Net_Run(net, 1);
    }
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    const LogMember *member = LogConfig_Find(status.config, NET_HOSTS);
    assert_non_null(member);
    assert_false(member->learner);
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    Net_Free(net);
}

/* A host of a cluster with the most voters can be replaced as in any other. */
static void
one_of_nine_voters_is_replaced(void **state)
{
    Net *net = Net_NewAutomatic(9, 3);
    crash_unused(net, 9);
    Net_Run(net, ROUNDS);
    unsigned old = (Cluster_Leader(net) + 1) % 9;
    Net_Start(net, NET_HOSTS - 1);
    for (unsigned i = 0; i < 2 * ROUNDS; i++) {
        Net_SendJoinRequests(net, NET_HOSTS, old % 3 + 1);
        Net_Run(net, 1);
    }
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    const LogMember *member = LogConfig_Find(status.config, NET_HOSTS);
    assert_non_null(member);
    assert_false(member->learner);
    assert_int_equal(LogConfig_VoterCount(status.config), 9);
    Net_Free(net);
}

/* The cluster remembers a bounded number of removed members, and goes on
 * replacing hosts beyond it. */
static void
replacements_go_on_beyond_the_remembered(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    crash_unused(net, 5);
    Net_Run(net, ROUNDS);
    uint32_t in_use = 1;
    for (unsigned i = 0; i < 2 * LOG_FORMER_MAX; i++) {
        uint32_t next = in_use == 4 ? 5 : 4;
        Net_ClearDisk(net, next - 1);
        Net_Start(net, next - 1);
        for (unsigned round = 0; round < ROUNDS; round++) {
            Net_SendJoinRequests(net, next, 1);
            Net_Run(net, 1);
        }
        Net_Crash(net, in_use - 1);
        Net_Run(net, 2 * ROUNDS);
        LogStatus status = Cluster_Status(net, Cluster_Leader(net));
        assert_int_equal(LogConfig_VoterCount(status.config), 3);
        assert_false(LogConfig_Find(status.config, next)->learner);
        assert_null(LogConfig_Find(status.config, in_use));
        in_use = next;
    }
    Net_Free(net);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(dead_learners_make_room),
        cmocka_unit_test(one_of_nine_voters_is_replaced),
        cmocka_unit_test(replacements_go_on_beyond_the_remembered),
    };
    return cmocka_run_group_tests_name("log members full", tests, NULL, NULL);
}
