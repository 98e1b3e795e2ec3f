/** @file
 * Log core: automatic membership. Votes move between the hosts of a zone while
 * hosts are replaced, and a majority outlasts any one loss.
 */
#include "unit.h"

#include <string.h>

#include "log_cluster.h"

#define ROUNDS 60

/* With automatic membership, a host at a new address must replace the lost
 * host of its zone without an operator's command and without losing the
 * majority at any step. */
static void
new_host_replaces_the_lost_one_of_its_zone(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    unsigned leader = Cluster_Leader(net);
    unsigned lost = (leader + 1) % 3;
    Net_Crash(net, lost);
    Net_SendJoinRequests(net, 6, net->hosts[lost].id);
    Net_Run(net, 2 * ROUNDS);
    leader = Cluster_Leader(net);
    LogStatus status = Cluster_Status(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, net->hosts[lost].id));
    assert_true(Cluster_Status(net, 5).is_voter);
    /* The new voter counts: after another host fails, entries still commit. */
    guint committed = net->committed_entries->len;
    Net_Crash(net,
              (leader + 1) % 3 == lost ? (leader + 2) % 3 : (leader + 1) % 3);
    Net_Run(net, ROUNDS);
    Net_Propose(net, Cluster_Leader(net));
    Net_Run(net, ROUNDS);
    assert_true(net->committed_entries->len > committed);
    Net_Free(net);
}

/* A silent voter must stay a member while its zone has no other voter, because
 * its disk may hold committed entries. */
static void
silent_voter_stays_while_its_zone_has_no_other(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    unsigned leader = Cluster_Leader(net);
    unsigned silent = (leader + 1) % 3;
    Net_Crash(net, silent);
    Net_Run(net, 3 * ROUNDS);
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_non_null(LogConfig_Find(status.config, net->hosts[silent].id));
    Net_Free(net);
}

/* In a planned replacement the new host joins first and takes over the vote.
 * The old host must be removed as soon as it announces its planned stop,
 * without waiting for the surplus timeout. */
static void
leaving_host_is_removed_at_once(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    unsigned leader = Cluster_Leader(net);
    unsigned old = (leader + 1) % 3;
    Net_SendJoinRequests(net, 6, net->hosts[old].id);
    Net_Run(net, ROUNDS);
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_true(LogConfig_Find(status.config, net->hosts[old].id)->standby);
    assert_false(LogConfig_Find(status.config, 6)->learner);
    LogCore_OnLeaving(net->hosts[leader].core, net->hosts[old].id,
                      net->hosts[old].disk.disk_id, true);
    Net_Run(net, 10);
    status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, net->hosts[old].id));
    Net_Free(net);
}

/* Lets a host become the leader of three: it alone can take over. */
static void
lead(Net *net, unsigned host)
{
    unsigned leader = Cluster_Leader(net);
    if (leader != host) {
        unsigned third = 3 - leader - host;
        Cluster_Isolate(net, third, true);
        Net_Run(net, 10);
        Net_TransferLeadership(net, leader);
        Net_Run(net, 10);
        Cluster_Isolate(net, third, false);
        Net_Run(net, 10);
    }
    assert_int_equal(Cluster_Leader(net), host);
}

/* Starts a cluster in which host 6 has taken over the vote of @p old, whose
 * leader is the host @p leader. */
static Net *
start_replacement(unsigned leader, unsigned old)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    lead(net, leader);
    Net_SendJoinRequests(net, 6, net->hosts[old].id);
    Net_Run(net, 20);
    return net;
}

/* In a planned replacement a voter that ends and one disk that is lost at the
 * same moment must leave a majority, whichever they are. */
static void
lose_disk_while_replaced(unsigned leader, unsigned old, unsigned lost)
{
    Net *net = start_replacement(leader, old);
    Net_Crash(net, old);
    Net_ClearDisk(net, lost);
    Net_Run(net, 10);
    Net_Start(net, lost);
    Net_Run(net, 3 * ROUNDS);
    guint committed = net->committed_entries->len;
    Net_Propose(net, Cluster_Leader(net));
    Net_Run(net, ROUNDS);
    assert_true(net->committed_entries->len > committed);
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, net->hosts[old].id));
    Net_Free(net);
}

static void
replaced_host_and_a_lost_disk_leave_a_majority(void **state)
{
    static const unsigned lost[] = {0, 1, 2, 5};
    for (unsigned leader = 0; leader < 3; leader++) {
        for (unsigned old = 0; old < 3; old++) {
            for (unsigned i = 0; i < G_N_ELEMENTS(lost); i++) {
                if (lost[i] != old) {
                    lose_disk_while_replaced(leader, old, lost[i]);
                }
            }
        }
    }
}

/* A host that gave its vote to its successor must not take it back when it
 * returns with another disk, since it is about to be removed. */
static void
replaced_host_that_returns_stands_by(void **state)
{
    Net *net = start_replacement(0, 1);
    Net_ClearDisk(net, 1);
    Net_Run(net, ROUNDS);
    Net_Start(net, 1);
    for (unsigned i = 0; i < ROUNDS; i++) {
        Net_SendJoinRequests(net, 2, 2);
        Net_Run(net, 1);
    }
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    const LogMember *old = LogConfig_Find(status.config, 2);
    assert_non_null(old);
    assert_true(old->learner && old->standby);
    assert_false(LogConfig_Find(status.config, 6)->learner);
    Net_Free(net);
}

/* The vote goes back to a replaced host that still runs when its successor
 * fails, and to the successor when it returns. */
static void
vote_follows_the_host_that_runs(void **state)
{
    Net *net = start_replacement(0, 1);
    Net_Crash(net, 5);
    Net_Run(net, ROUNDS);
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_false(LogConfig_Find(status.config, 2)->learner);
    Net_Start(net, 5);
    for (unsigned i = 0; i < ROUNDS; i++) {
        Net_SendJoinRequests(net, 6, 2);
        Net_Run(net, 1);
    }
    status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_true(LogConfig_Find(status.config, 2)->learner);
    assert_false(LogConfig_Find(status.config, 6)->learner);
    Net_Free(net);
}

/* A dead voter must lose its vote to the successor although leaders change
 * before any timeout of theirs ends. */
static void
dead_voter_does_not_outlast_elections(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    unsigned dead = (Cluster_Leader(net) + 1) % 3;
    Net_Crash(net, dead);
    for (unsigned i = 0; i < 6; i++) {
        Net_SendJoinRequests(net, 6, net->hosts[dead].id);
        Net_Run(net, 8);
        Net_TransferLeadership(net, Cluster_Leader(net));
        Net_Run(net, 4);
    }
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    const LogMember *member =
        LogConfig_Find(status.config, net->hosts[dead].id);
    assert_true(member == NULL || member->learner);
    Net_Free(net);
}

/* A host that lost its disk must get its vote back, and no other host may give
 * its vote up meanwhile, also where hosts share a zone. */
static void
lost_disk_of_a_shared_zone_costs_no_vote(void **state)
{
    static const unsigned forms[][2] = {{3, 1}, {3, 2}, {5, 3}, {2, 1}};
    for (unsigned form = 0; form < G_N_ELEMENTS(forms); form++) {
        unsigned voters = forms[form][0];
        Net *net = Net_NewAutomatic(voters, forms[form][1]);
        Net_Run(net, ROUNDS);
        unsigned leader = Cluster_Leader(net);
        LogStatus status = Cluster_Status(net, leader);
        assert_int_equal(LogConfig_VoterCount(status.config), voters);
        if (voters > 2) {
            unsigned lost = (leader + 1) % voters;
            Net_ClearDisk(net, lost);
            Net_Start(net, lost);
            for (unsigned i = 0; i < 2 * ROUNDS; i++) {
                Net_Run(net, 1);
                status = Cluster_Status(net, Cluster_Leader(net));
                assert_true(LogConfig_VoterCount(status.config) >= voters - 1);
            }
            assert_int_equal(LogConfig_VoterCount(status.config), voters);
        }
        Net_Free(net);
    }
}

/* A new host takes over a vote of its own zone, so that each zone keeps its
 * number of votes. */
static void
zones_keep_their_votes(void **state)
{
    Net *net = Net_NewAutomatic(5, 3);
    Net_Run(net, ROUNDS);
    /* The hosts 1 and 4 are in zone 1, 2 and 5 in zone 2. */
    Net_SendJoinRequests(net, 6, 2);
    Net_Run(net, ROUNDS);
    LogStatus status = Cluster_Status(net, Cluster_Leader(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 5);
    unsigned votes[4] = {0};
    for (unsigned i = 0; i < status.config->count; i++) {
        const LogMember *member = &status.config->members[i];
        votes[member->zone[strlen("zone-")] - '0'] += member->learner ? 0 : 1;
    }
    assert_int_equal(votes[1], 2);
    assert_int_equal(votes[2], 2);
    assert_int_equal(votes[3], 1);
    assert_false(LogConfig_Find(status.config, 6)->learner);
    Net_Free(net);
}

typedef enum Absence {
    CRASHED,
    FROZEN,
    CUT_OFF,
} Absence;

static void
set_absent(Net *net, unsigned host, Absence absence, bool absent)
{
    if (absence == CUT_OFF) {
        Cluster_Isolate(net, host, absent);
    }
    else if (absence == FROZEN) {
        net->hosts[host].frozen = absent;
    }
    else if (absent) {
        Net_Crash(net, host);
    }
    else {
        Net_Start(net, host);
    }
}

/* A host that only restarts, pauses or is cut off for a time keeps its vote:
 * nothing of its membership changes. */
static void
absent_hosts_keep_their_votes(void **state)
{
    static const unsigned rounds[] = {2, 10, ROUNDS, 4 * ROUNDS};
    for (unsigned host = 0; host < 3; host++) {
        for (unsigned form = 0; form < 3 * G_N_ELEMENTS(rounds); form++) {
            Net *net = Net_NewAutomatic(3, 3);
            Net_Run(net, ROUNDS);
            for (unsigned i = 0; i < 3; i++) {
                set_absent(net, host, (Absence)(form % 3), true);
                Net_Run(net, rounds[form / 3]);
                set_absent(net, host, (Absence)(form % 3), false);
                Net_Run(net, i == 2 ? ROUNDS : 5);
            }
            LogStatus status = Cluster_Status(net, Cluster_Leader(net));
            assert_int_equal(status.config->count, 3);
            assert_int_equal(LogConfig_VoterCount(status.config), 3);
            for (unsigned i = 0; i < 3; i++) {
                assert_int_equal(status.config->members[i].joined, 0);
            }
            Net_Free(net);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(new_host_replaces_the_lost_one_of_its_zone),
        cmocka_unit_test(silent_voter_stays_while_its_zone_has_no_other),
        cmocka_unit_test(leaving_host_is_removed_at_once),
        cmocka_unit_test(replaced_host_and_a_lost_disk_leave_a_majority),
        cmocka_unit_test(replaced_host_that_returns_stands_by),
        cmocka_unit_test(vote_follows_the_host_that_runs),
        cmocka_unit_test(dead_voter_does_not_outlast_elections),
        cmocka_unit_test(lost_disk_of_a_shared_zone_costs_no_vote),
        cmocka_unit_test(zones_keep_their_votes),
        cmocka_unit_test(absent_hosts_keep_their_votes),
    };
    return cmocka_run_group_tests_name("log members", tests, NULL, NULL);
}
