/** @file
 * Log core: schedules that the random fuzz runs rarely reach, and liveness:
 * elections, replication and membership changes must make progress.
 */
#include "unit.h"

#include <string.h>

#include "../fuzz/log_net.h"

#define ROUNDS 60

static unsigned
leader_of(Net *net)
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

static LogStatus
status_of(Net *net, unsigned host)
{
    LogStatus status;
    LogCore_GetStatus(net->hosts[host].core, &status);
    return status;
}

static void
isolate(Net *net, unsigned host, bool cut)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        net->cut[host][i] = cut && i != host;
        net->cut[i][host] = cut && i != host;
    }
}

/* Discards all queued messages. Returns the number of vote requests. */
static unsigned
discard_messages(LogCore *core)
{
    unsigned votes = 0;
    LogMessage message;
    while (LogCore_TakeMessage(core, &message)) {
        votes += message.type == LOG_VOTE;
        LogMessage_Clear(&message);
    }
    return votes;
}

/* A host that rejoins after a network partition must not depose the leader. */
static void
pre_vote_keeps_a_working_leader(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = leader_of(net);
    uint64_t term = status_of(net, leader).term;
    unsigned cut = (leader + 1) % 3;
    isolate(net, cut, true);
    Net_Run(net, ROUNDS);
    isolate(net, cut, false);
    Net_Run(net, ROUNDS);
    assert_int_equal(leader_of(net), leader);
    assert_int_equal(status_of(net, leader).term, term);
    Net_Free(net);
}

#define VOTERS 5

static LogConfig
five_voters(void)
{
    LogConfig config = {.count = VOTERS};
    for (unsigned i = 0; i < VOTERS; i++) {
        config.members[i] = (LogMember){.id = i + 1, .disk_id = 100 + i};
    }
    return config;
}

static void
append_entry(GArray *entries, uint64_t term, LogEntryKind kind, GBytes *data)
{
    StoreEntry entry = {
        .index = entries->len + 1, .term = term, .kind = kind, .data = data};
    StoreEntry_Append(entries, &entry);
    g_bytes_unref(data);
}

static void
save_all(LogCore *core)
{
    StoreBatch batch;
    while (LogCore_TakeBatch(core, &batch)) {
        LogCore_OnSaved(core, batch.sequence, 0);
        StoreBatch_Clear(&batch);
    }
}

/* Delivers the same reply from hosts 2 and 3. */
static void
deliver_from_two_hosts(LogCore *core, LogMessage reply)
{
    for (uint32_t id = 2; id <= 3; id++) {
        reply.from = id;
        reply.from_disk_id = 99 + id;
        LogCore_Receive(core, &reply, 0);
    }
}

static void
acknowledge_appends(LogCore *core, uint64_t match)
{
    deliver_from_two_hosts(core, (LogMessage){.type = LOG_APPEND_REPLY,
                                              .term = 3,
                                              .index = match,
                                              .success = true});
}

/* When all hosts start at once, the first vote requests are lost because no
 * link is connected. They must be repeated when a link connects, not only
 * after another election timeout. */
static void
lost_vote_requests_are_repeated(void **state)
{
    LogConfig config = five_voters();
    StoreImage image = {.term = 2, .entries = StoreEntry_NewArray()};
    append_entry(image.entries, 1, LOG_ENTRY_MEMBERS, LogConfig_Pack(&config));
    LogCoreSpec spec = {
        .id = 1,
        .disk_id = 100,
        .timing = {.heartbeat_interval = US_PER_S,
                   .election_timeout = US_PER_S},
        .image = &image,
    };
    Error err = ERROR_INIT;
    LogCore *core = LogCore_New(&spec, &err);
    LogCore_OnLinkConnected(core, 2);
    assert_int_equal(discard_messages(core), 0);
    LogCore_Tick(core, US_PER_S);
    assert_int_equal(discard_messages(core), VOTERS - 1);
    LogCore_OnLinkConnected(core, 2);
    LogCore_OnLinkConnected(core, 3);
    LogCore_OnLinkConnected(core, 9);
    assert_int_equal(discard_messages(core), 2);
    LogMessage vote = {.type = LOG_VOTE_REPLY, .term = 3, .success = true};
    vote.pre_vote = true;
    deliver_from_two_hosts(core, vote);
    save_all(core);
    assert_int_equal(discard_messages(core), VOTERS - 1);
    LogCore_OnLinkConnected(core, 2);
    assert_int_equal(discard_messages(core), 1);
    vote.pre_vote = false;
    deliver_from_two_hosts(core, vote);
    save_all(core);
    LogStatus status;
    LogCore_GetStatus(core, &status);
    assert_true(status.is_leader);
    discard_messages(core);
    LogCore_OnLinkConnected(core, 2);
    assert_int_equal(discard_messages(core), 0);
    LogCore_Free(core);
    StoreImage_Clear(&image);
}

/* An entry of an older term that a majority has saved must be committed only
 * together with an entry of the leader's own term. */
static void
older_term_is_not_committed_by_counting(void **state)
{
    LogConfig config = five_voters();
    StoreImage image = {.term = 2, .entries = StoreEntry_NewArray()};
    append_entry(image.entries, 1, LOG_ENTRY_MEMBERS, LogConfig_Pack(&config));
    append_entry(image.entries, 2, LOG_ENTRY_COMMAND, g_bytes_new("x", 1));
    LogCoreSpec spec = {
        .id = 1,
        .disk_id = 100,
        .timing = {.heartbeat_interval = US_PER_S,
                   .election_timeout = US_PER_S},
        .image = &image,
    };
    Error err = ERROR_INIT;
    LogCore *core = LogCore_New(&spec, &err);
    LogCore_Tick(core, 3 * US_PER_S);
    LogMessage vote = {.type = LOG_VOTE_REPLY, .term = 3, .success = true};
    vote.pre_vote = true;
    deliver_from_two_hosts(core, vote);
    save_all(core);
    vote.pre_vote = false;
    deliver_from_two_hosts(core, vote);
    save_all(core);
    LogStatus status;
    LogCore_GetStatus(core, &status);
    assert_true(status.is_leader);
    assert_int_equal(status.last_index, 3);
    acknowledge_appends(core, 2);
    LogCore_GetStatus(core, &status);
    assert_int_equal(status.commit_index, 0);
    acknowledge_appends(core, 3);
    LogCore_GetStatus(core, &status);
    assert_int_equal(status.commit_index, 3);
    LogCore_Free(core);
    StoreImage_Clear(&image);
}

/* A follower whose next entry the leader has compacted must receive the
 * snapshot. */
static void
snapshot_reaches_a_slow_follower(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = leader_of(net);
    unsigned slow = (leader + 1) % 3;
    isolate(net, slow, true);
    for (unsigned i = 0; i < LOG_TRAILING_ENTRIES + 200; i++) {
        Net_Propose(net, leader);
        if (i % 100 == 0) {
            Net_Run(net, 1);
        }
    }
    Net_Run(net, 4);
    Net_Compact(net, leader);
    isolate(net, slow, false);
    Net_Run(net, ROUNDS);
    assert_true(status_of(net, slow).snapshot_index > 0);
    assert_int_equal(status_of(net, slow).applied_index,
                     net->committed_entries->len);
    Net_Free(net);
}

/* A host that lost its disk rejoins as a learner with its new disk id and is
 * promoted. The cluster must still commit when a second host fails for good.
 */
static void
commits_after_two_consecutive_losses(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    Net_Propose(net, leader_of(net));
    Net_Run(net, ROUNDS);
    unsigned first = leader_of(net);
    Net_LoseDisk(net, first);
    assert_false(status_of(net, first).is_voter);
    Net_Run(net, 2 * ROUNDS);
    assert_true(status_of(net, first).is_voter);
    unsigned second = leader_of(net);
    guint committed = net->committed_entries->len;
    Net_Crash(net, second);
    Net_Run(net, ROUNDS);
    Net_Propose(net, leader_of(net));
    Net_Run(net, ROUNDS);
    assert_true(net->committed_entries->len > committed);
    Net_Free(net);
}

static void
failed_disk_transfers_leadership(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = leader_of(net);
    Net_FailDisk(net, leader);
    Net_Run(net, 4); /* 4 rounds: far less than an election timeout */
    assert_int_not_equal(leader_of(net), leader);
    assert_false(status_of(net, leader).is_voter);
    Net_Free(net);
}

/* Guards against a host that stays without a vote after a disk that was full
 * for a moment: after the second such disk of three there was no majority. */
static void
hosts_take_part_again_after_full_disks(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    for (unsigned round = 0; round < 4; round++) {
        unsigned leader = leader_of(net);
        Net_Propose(net, leader);
        Net_FailDisk(net, leader);
        Net_Run(net, ROUNDS);
        guint committed = net->committed_entries->len;
        Net_Propose(net, leader_of(net));
        Net_Run(net, ROUNDS);
        assert_true(net->committed_entries->len > committed);
        Net_RecoverDisk(net, leader);
        Net_Run(net, ROUNDS);
        assert_true(status_of(net, leader).is_voter);
        LogStatus status = status_of(net, leader);
        assert_int_equal(status.durable_index, status.last_index);
        assert_int_equal(status.applied_index,
                         status_of(net, leader_of(net)).applied_index);
    }
    Net_Free(net);
}

static void
members_change_one_at_a_time(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = leader_of(net);
    Net_ChangeMember(net, leader, 6, true);
    Net_ChangeMember(net, leader, 5,
                     true); /* refused: the first change is not committed */
    Net_Run(net, ROUNDS);
    LogStatus status = status_of(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 4);
    assert_true(status_of(net, 5).is_voter);
    uint32_t removed = net->hosts[(leader + 1) % 3].id;
    Net_ChangeMember(net, leader, removed, false);
    Net_Run(net, ROUNDS);
    status = status_of(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, removed));
    Net_Free(net);
}

/* With automatic membership, a host at a new address must replace the lost
 * host of its zone without an operator's command and without losing the
 * majority at any step. */
static void
new_host_replaces_the_lost_one_of_its_zone(void **state)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    unsigned leader = leader_of(net);
    unsigned lost = (leader + 1) % 3;
    Net_Crash(net, lost);
    Net_SendJoinRequests(net, 6, net->hosts[lost].id);
    Net_Run(net, 2 * ROUNDS);
    leader = leader_of(net);
    LogStatus status = status_of(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, net->hosts[lost].id));
    assert_true(status_of(net, 5).is_voter);
    /* The new voter counts: after another host fails, entries still commit. */
    guint committed = net->committed_entries->len;
    Net_Crash(net,
              (leader + 1) % 3 == lost ? (leader + 2) % 3 : (leader + 1) % 3);
    Net_Run(net, ROUNDS);
    Net_Propose(net, leader_of(net));
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
    unsigned leader = leader_of(net);
    unsigned silent = (leader + 1) % 3;
    Net_Crash(net, silent);
    Net_Run(net, 3 * ROUNDS);
    LogStatus status = status_of(net, leader_of(net));
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
    unsigned leader = leader_of(net);
    unsigned old = (leader + 1) % 3;
    Net_SendJoinRequests(net, 6, net->hosts[old].id);
    Net_Run(net, ROUNDS);
    LogStatus status = status_of(net, leader_of(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_true(LogConfig_Find(status.config, net->hosts[old].id)->standby);
    assert_false(LogConfig_Find(status.config, 6)->learner);
    LogCore_OnLeaving(net->hosts[leader].core, net->hosts[old].id,
                      net->hosts[old].disk.disk_id, true);
    Net_Run(net, 10);
    status = status_of(net, leader_of(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, net->hosts[old].id));
    Net_Free(net);
}

/* Starts a cluster in which host 6 has taken over the vote of @p old, whose
 * leader is the host @p leader. */
static Net *
start_replacement(unsigned leader, unsigned old)
{
    Net *net = Net_NewAutomatic(3, 3);
    Net_Run(net, ROUNDS);
    while (leader_of(net) != leader) {
        Net_TransferLeadership(net, leader_of(net));
        Net_Run(net, 10);
    }
    Net_SendJoinRequests(net, 6, net->hosts[old].id);
    Net_Run(net, 20);
    return net;
}

/* In a planned replacement a voter that ends and one disk that is lost at the
 * same moment must leave a majority, whichever they are. */
static void
replaced_host_and_a_lost_disk_leave_a_majority(void **state)
{
    for (unsigned old = 0; old < 3; old++) {
        for (unsigned lost = 0; lost < 6; lost = lost == 2 ? 5 : lost + 1) {
            if (lost == old) {
                continue;
            }
            Net *net = start_replacement(0, old);
            Net_Crash(net, old);
            Net_ClearDisk(net, lost);
            Net_Run(net, 10);
            Net_Start(net, lost);
            Net_Run(net, 3 * ROUNDS);
            unsigned leader = leader_of(net);
            guint committed = net->committed_entries->len;
            Net_Propose(net, leader);
            Net_Run(net, ROUNDS);
            assert_true(net->committed_entries->len > committed);
            LogStatus status = status_of(net, leader);
            assert_int_equal(LogConfig_VoterCount(status.config), 3);
            assert_null(LogConfig_Find(status.config, net->hosts[old].id));
            Net_Free(net);
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
    LogStatus status = status_of(net, leader_of(net));
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
    LogStatus status = status_of(net, leader_of(net));
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_false(LogConfig_Find(status.config, 2)->learner);
    Net_Start(net, 5);
    for (unsigned i = 0; i < ROUNDS; i++) {
        Net_SendJoinRequests(net, 6, 2);
        Net_Run(net, 1);
    }
    status = status_of(net, leader_of(net));
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
    unsigned dead = (leader_of(net) + 1) % 3;
    Net_Crash(net, dead);
    for (unsigned i = 0; i < 6; i++) {
        Net_SendJoinRequests(net, 6, net->hosts[dead].id);
        Net_Run(net, 8);
        Net_TransferLeadership(net, leader_of(net));
        Net_Run(net, 4);
    }
    LogStatus status = status_of(net, leader_of(net));
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
        unsigned leader = leader_of(net);
        LogStatus status = status_of(net, leader);
        assert_int_equal(LogConfig_VoterCount(status.config), voters);
        if (voters > 2) {
            unsigned lost = (leader + 1) % voters;
            Net_ClearDisk(net, lost);
            Net_Start(net, lost);
            for (unsigned i = 0; i < 2 * ROUNDS; i++) {
                Net_Run(net, 1);
                status = status_of(net, leader_of(net));
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
    LogStatus status = status_of(net, leader_of(net));
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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pre_vote_keeps_a_working_leader),
        cmocka_unit_test(lost_vote_requests_are_repeated),
        cmocka_unit_test(older_term_is_not_committed_by_counting),
        cmocka_unit_test(snapshot_reaches_a_slow_follower),
        cmocka_unit_test(commits_after_two_consecutive_losses),
        cmocka_unit_test(failed_disk_transfers_leadership),
        cmocka_unit_test(hosts_take_part_again_after_full_disks),
        cmocka_unit_test(members_change_one_at_a_time),
        cmocka_unit_test(new_host_replaces_the_lost_one_of_its_zone),
        cmocka_unit_test(silent_voter_stays_while_its_zone_has_no_other),
        cmocka_unit_test(leaving_host_is_removed_at_once),
        cmocka_unit_test(replaced_host_and_a_lost_disk_leave_a_majority),
        cmocka_unit_test(replaced_host_that_returns_stands_by),
        cmocka_unit_test(vote_follows_the_host_that_runs),
        cmocka_unit_test(dead_voter_does_not_outlast_elections),
        cmocka_unit_test(lost_disk_of_a_shared_zone_costs_no_vote),
        cmocka_unit_test(zones_keep_their_votes),
    };
    return cmocka_run_group_tests_name("log core", tests, NULL, NULL);
}
