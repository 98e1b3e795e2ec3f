/** @file
 * Log core: construction, message dispatch, proposals, read index, applying
 * and status.
 */
#include "control/log_core.h"

#include "control/log_state.h"

void
LogCore_Send(LogCore *core, LogMessage *message, bool durable)
{
    message->from = core->id;
    message->from_disk_id = core->disk_id;
    uint64_t required = durable ? LogEntries_RequiredSequence(core) : 0;
    if (core->failed) {
        LogMessage_Clear(message);
        return;
    }
    if (required > core->saved_sequence) {
        LogDeferredMessage *deferred = g_new(LogDeferredMessage, 1);
        *deferred =
            (LogDeferredMessage){.sequence = required, .message = *message};
        g_queue_push_tail(&core->deferred, deferred);
        return;
    }
    LogMessage *queued = g_new(LogMessage, 1);
    *queued = *message;
    g_queue_push_tail(&core->outbox, queued);
}

bool
LogCore_TakeMessage(LogCore *core, LogMessage *message)
{
    LogMessage *queued = g_queue_pop_head(&core->outbox);
    if (queued == NULL) {
        return false;
    }
    *message = *queued;
    g_free(queued);
    return true;
}

/* Initializes the log from the persisted state. */
static int
load_image(LogCore *core, const StoreImage *image, Error *err)
{
    core->term = image->term;
    core->voted_for = image->vote;
    if (image->snapshot.index != 0) {
        core->snapshot = image->snapshot;
        g_bytes_ref(core->snapshot.data);
        if (LogConfig_UnpackSnapshot(core->snapshot.data, &core->base_config,
                                     NULL) != ERR_OK)
        {
            return Error_Set(
                err, ERR_CORRUPT,
                "The snapshot does not contain a valid membership.");
        }
    }
    core->base_index = core->snapshot.index;
    core->base_term = core->snapshot.term;
    core->base_config_index = core->snapshot.index;
    core->config = core->base_config;
    core->config_index = core->base_config_index;
    core->commit_index = core->snapshot.index;
    for (guint i = 0; i < image->entries->len; i++) {
        const StoreEntry *entry =
            &g_array_index(image->entries, StoreEntry, i);
        LogConfig config;
        if (entry->kind == LOG_ENTRY_MEMBERS &&
            LogConfig_Unpack(entry->data, &config) != ERR_OK)
        {
            return Error_Set(err, ERR_CORRUPT,
                             "Log entry %llu is not a valid membership.",
                             (unsigned long long)entry->index);
        }
        LogEntries_Append(core, entry);
    }
    core->dirty_from = 0;
    core->durable_index = LogEntries_LastIndex(core);
    return ERR_OK;
}

static bool
is_only_voter(const LogCore *core)
{
    return LogConfig_VoterCount(&core->config) == 1 &&
           LogConfig_IsVoter(&core->config, core->id, core->disk_id);
}

LogCore *
LogCore_New(const LogCoreSpec *spec, Error *err)
{
    LogCore *core = g_new0(LogCore, 1);
    core->id = spec->id;
    core->disk_id = spec->disk_id;
    core->timing = spec->timing;
    core->now = spec->now;
    core->random = g_rand_new_with_seed(spec->seed);
    core->entries = StoreEntry_NewArray();
    core->pending_batches = g_array_new(FALSE, FALSE, sizeof(LogPendingBatch));
    core->incoming_snapshot = g_byte_array_new();
    g_queue_init(&core->deferred);
    g_queue_init(&core->outbox);
    if (load_image(core, spec->image, err) != ERR_OK) {
        LogCore_Free(core);
        return NULL;
    }
    LogElection_StartInitialTimer(core, spec->now);
    if (is_only_voter(core)) {
        core->election_deadline = spec->now;
    }
    return core;
}

static void
clear_queues(LogCore *core)
{
    LogDeferredMessage *deferred;
    while ((deferred = g_queue_pop_head(&core->deferred)) != NULL) {
        LogMessage_Clear(&deferred->message);
        g_free(deferred);
    }
    LogMessage message;
    while (LogCore_TakeMessage(core, &message)) {
        LogMessage_Clear(&message);
    }
}

void
LogCore_Free(LogCore *core)
{
    clear_queues(core);
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        g_clear_pointer(&core->progress[i].snapshot.data, g_bytes_unref);
    }
    g_clear_pointer(&core->snapshot.data, g_bytes_unref);
    g_array_unref(core->entries);
    g_array_unref(core->pending_batches);
    g_byte_array_unref(core->incoming_snapshot);
    g_rand_free(core->random);
    g_free(core);
}

int
LogCore_Bootstrap(LogCore *core, const LogConfig *config, TimeUs now)
{
    if (LogEntries_LastIndex(core) != 0) {
        return ERR_CONFLICT;
    }
    if (core->term == 0) {
        core->term = 1;
        LogEntries_MarkStateDirty(core);
    }
    GBytes *data = LogConfig_Pack(config);
    StoreEntry entry = {
        .index = 1,
        .term = core->term,
        .kind = LOG_ENTRY_MEMBERS,
        .data = data,
    };
    LogEntries_Append(core, &entry);
    g_bytes_unref(data);
    core->election_deadline = now;
    return ERR_OK;
}

void
LogCore_Tick(LogCore *core, TimeUs now)
{
    core->now = now;
    if (core->failed) {
        return;
    }
    if (core->role == LOG_LEADER) {
        LogLeader_Tick(core, now);
        return;
    }
    if (now < core->election_deadline) {
        return;
    }
    if (LogConfig_IsVoter(&core->config, core->id, core->disk_id)) {
        LogElection_Campaign(core, true, false, now);
        return;
    }
    core->leader = 0;
    LogElection_ResetTimer(core, now);
}

static void
on_timeout_now(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->term == core->term && message->from == core->leader &&
        core->role == LOG_FOLLOWER &&
        LogConfig_IsVoter(&core->config, core->id, core->disk_id))
    {
        LogElection_Campaign(core, false, true, now);
    }
}

/* Handles a reply to an append or a snapshot. A newer term in it makes this
 * host a follower. */
static void
on_replication_reply(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->term > core->term) {
        LogElection_BecomeFollower(core, message->term, 0, now);
        return;
    }
    if (core->role != LOG_LEADER) {
        return;
    }
    if (message->type == LOG_APPEND_REPLY) {
        LogLeader_OnAppendReply(core, message, now);
        return;
    }
    LogLeader_OnSnapshotReply(core, message, now);
}

void
LogCore_Receive(LogCore *core, const LogMessage *message, TimeUs now)
{
    core->now = now;
    LogContacts_OnMessage(core, message->from, message->from_disk_id, now);
    if (core->failed) {
        if (message->type == LOG_APPEND && message->term >= core->term) {
            core->leader = message->from;
        }
        return;
    }
    switch (message->type) {
    case LOG_VOTE:
        LogElection_OnVoteRequest(core, message, now);
        break;
    case LOG_VOTE_REPLY:
        LogElection_OnVoteReply(core, message, now);
        break;
    case LOG_APPEND:
        LogFollower_OnAppend(core, message, now);
        break;
    case LOG_SNAPSHOT:
        LogFollower_OnSnapshot(core, message, now);
        break;
    case LOG_APPEND_REPLY:
    case LOG_SNAPSHOT_REPLY:
        on_replication_reply(core, message, now);
        break;
    case LOG_TIMEOUT_NOW:
        on_timeout_now(core, message, now);
        break;
    }
}

int
LogCore_Propose(LogCore *core, GBytes *command)
{
    if (core->role != LOG_LEADER || core->transferee != 0 || core->failed) {
        return ERR_UNAVAILABLE;
    }
    if (g_bytes_get_size(command) > LOG_COMMAND_MAX_BYTES) {
        return ERR_TOO_LARGE;
    }
    uint64_t last = LogEntries_LastIndex(core);
    if (last - core->commit_index >= LOG_UNCOMMITTED_MAX) {
        return ERR_FULL;
    }
    StoreEntry entry = {
        .index = last + 1,
        .term = core->term,
        .kind = LOG_ENTRY_COMMAND,
        .data = command,
    };
    LogEntries_Append(core, &entry);
    return ERR_OK;
}

void
LogCore_Flush(LogCore *core, TimeUs now)
{
    core->now = now;
    if (core->role != LOG_LEADER) {
        return;
    }
    bool start_round =
        core->round_requested && LogLeader_QuorumRound(core) >= core->round;
    if (start_round) {
        core->round++;
        core->round_commit_index = core->commit_index;
        core->round_requested = false;
    }
    LogLeader_Broadcast(core, start_round, now);
}

uint64_t
LogCore_RequestReadIndex(LogCore *core)
{
    if (core->role != LOG_LEADER) {
        return 0;
    }
    core->round_requested = true;
    return core->round + 1;
}

bool
LogCore_IsReadIndexReady(const LogCore *core, uint64_t ticket)
{
    return core->role == LOG_LEADER &&
           core->commit_index >= core->term_start_index &&
           LogLeader_QuorumRound(core) >= ticket &&
           core->applied_index >=
               MAX(core->round_commit_index, core->term_start_index);
}

void
LogCore_OnDiskFailed(LogCore *core)
{
    if (core->failed) {
        return;
    }
    clear_queues(core);
    if (core->role == LOG_LEADER) {
        LogCore_TransferLeadership(core, core->now);
        if (core->transferee != 0) {
            LogMessage message = {
                .type = LOG_TIMEOUT_NOW,
                .to = core->transferee,
                .term = core->term,
            };
            LogCore_Send(core, &message, false);
        }
    }
    LogElection_BecomeFollower(core, core->term, 0, core->now);
    core->failed = true;
}

void
LogCore_OnDiskRecovered(LogCore *core, TimeUs now)
{
    if (!core->failed) {
        return;
    }
    core->failed = false;
    core->now = now;
    core->leader = 0;
    LogEntries_MarkUnsaved(core);
    LogElection_ResetTimer(core, now);
}

LogApply
LogCore_NextApply(LogCore *core, const StoreEntry **entry,
                  const StoreSnapshot **snapshot)
{
    if (core->snapshot.index > core->applied_index) {
        if (core->durable_index < core->snapshot.index) {
            return LOG_APPLY_NONE;
        }
        core->applied_index = core->snapshot.index;
        *snapshot = &core->snapshot;
        return LOG_APPLY_SNAPSHOT;
    }
    if (core->applied_index >= MIN(core->commit_index, core->durable_index)) {
        return LOG_APPLY_NONE;
    }
    core->applied_index++;
    *entry = LogCore_Entry(core, core->applied_index);
    INVARIANT(*entry != NULL);
    return LOG_APPLY_ENTRY;
}

void
LogCore_GetStatus(const LogCore *core, LogStatus *status)
{
    *status = (LogStatus){
        .id = core->id,
        .disk_id = core->disk_id,
        .is_leader = core->role == LOG_LEADER,
        .is_voter = !core->failed &&
                    LogConfig_IsVoter(&core->config, core->id, core->disk_id),
        .failed = core->failed,
        .leader = core->leader,
        .term = core->term,
        .last_index = LogEntries_LastIndex(core),
        .durable_index = core->durable_index,
        .commit_index = core->commit_index,
        .applied_index = core->applied_index,
        .config_index = core->config_index,
        .snapshot_index = core->snapshot.index,
        .config = &core->config,
    };
}

uint64_t
LogCore_MatchIndex(const LogCore *core, uint32_t id)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        if (core->progress[i].id == id) {
            return core->progress[i].match_index;
        }
    }
    return 0;
}
