/** @file
 * Log core: schedules that the random fuzz runs rarely reach, and liveness:
 * elections, replication and membership changes must make progress.
 */
#include "unit.h"

#include <string.h>

#include "log_cluster.h"

#define ROUNDS 60

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
    unsigned leader = Cluster_Leader(net);
    uint64_t term = Cluster_Status(net, leader).term;
    unsigned cut = (leader + 1) % 3;
    Cluster_Isolate(net, cut, true);
    Net_Run(net, ROUNDS);
    Cluster_Isolate(net, cut, false);
    Net_Run(net, ROUNDS);
    assert_int_equal(Cluster_Leader(net), leader);
    assert_int_equal(Cluster_Status(net, leader).term, term);
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
    unsigned leader = Cluster_Leader(net);
    unsigned slow = (leader + 1) % 3;
    Cluster_Isolate(net, slow, true);
    for (unsigned i = 0; i < LOG_TRAILING_ENTRIES + 200; i++) {
        Net_Propose(net, leader);
        if (i % 100 == 0) {
            Net_Run(net, 1);
        }
    }
    Net_Run(net, 4);
    Net_Compact(net, leader);
    Cluster_Isolate(net, slow, false);
    Net_Run(net, ROUNDS);
    assert_true(Cluster_Status(net, slow).snapshot_index > 0);
    assert_int_equal(Cluster_Status(net, slow).applied_index,
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
    Net_Propose(net, Cluster_Leader(net));
    Net_Run(net, ROUNDS);
    unsigned first = Cluster_Leader(net);
    Net_LoseDisk(net, first);
    assert_false(Cluster_Status(net, first).is_voter);
    Net_Run(net, 2 * ROUNDS);
    assert_true(Cluster_Status(net, first).is_voter);
    unsigned second = Cluster_Leader(net);
    guint committed = net->committed_entries->len;
    Net_Crash(net, second);
    Net_Run(net, ROUNDS);
    Net_Propose(net, Cluster_Leader(net));
    Net_Run(net, ROUNDS);
    assert_true(net->committed_entries->len > committed);
    Net_Free(net);
}

static void
failed_disk_transfers_leadership(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = Cluster_Leader(net);
    Net_FailDisk(net, leader);
    Net_Run(net, 4); /* 4 rounds: far less than an election timeout */
    assert_int_not_equal(Cluster_Leader(net), leader);
    assert_false(Cluster_Status(net, leader).is_voter);
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
        unsigned leader = Cluster_Leader(net);
        Net_Propose(net, leader);
        Net_FailDisk(net, leader);
        Net_Run(net, ROUNDS);
        guint committed = net->committed_entries->len;
        Net_Propose(net, Cluster_Leader(net));
        Net_Run(net, ROUNDS);
        assert_true(net->committed_entries->len > committed);
        Net_RecoverDisk(net, leader);
        Net_Run(net, ROUNDS);
        assert_true(Cluster_Status(net, leader).is_voter);
        LogStatus status = Cluster_Status(net, leader);
        assert_int_equal(status.durable_index, status.last_index);
        assert_int_equal(
            status.applied_index,
            Cluster_Status(net, Cluster_Leader(net)).applied_index);
    }
    Net_Free(net);
}

static void
members_change_one_at_a_time(void **state)
{
    Net *net = Net_New(3);
    Net_Run(net, ROUNDS);
    unsigned leader = Cluster_Leader(net);
    Net_ChangeMember(net, leader, 6, true);
    Net_ChangeMember(net, leader, 5,
                     true); /* refused: the first change is not committed */
    Net_Run(net, ROUNDS);
    LogStatus status = Cluster_Status(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 4);
    assert_true(Cluster_Status(net, 5).is_voter);
    uint32_t removed = net->hosts[(leader + 1) % 3].id;
    Net_ChangeMember(net, leader, removed, false);
    Net_Run(net, ROUNDS);
    status = Cluster_Status(net, leader);
    assert_int_equal(LogConfig_VoterCount(status.config), 3);
    assert_null(LogConfig_Find(status.config, removed));
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
    };
    return cmocka_run_group_tests_name("log core", tests, NULL, NULL);
}
