/** @file
 * Log core: the leader's side of replication, commit index, heartbeat rounds
 * and leadership transfer.
 */
#include <stdlib.h>

#include "control/log_state.h"

/* Limits of one append message. Bytes may exceed the limit by one entry. */
#define APPEND_MAX_ENTRIES 256
#define APPEND_MAX_BYTES (512u * 1024)
/* Maximum number of unacknowledged entries per follower. */
#define IN_FLIGHT_MAX_ENTRIES 2048
/* Size of a snapshot chunk, small enough not to fill a slow link. */
#define SNAPSHOT_CHUNK_BYTES (64u * 1024)

static void
clear_progress_snapshot(LogProgress *progress)
{
    g_clear_pointer(&progress->snapshot.data, g_bytes_unref);
    progress->snapshot = (StoreSnapshot){.index = 0};
    progress->snapshot_offset = 0;
}

static LogProgress
new_progress(const LogCore *core, const LogMember *member, TimeUs now)
{
    return (LogProgress){
        .id = member->id,
        .disk_id = member->disk_id,
        .state = LOG_PROGRESS_PROBE,
        .next_index = LogEntries_LastIndex(core) + 1,
        .last_seen_at = now,
    };
}

/* Returns when a member last answered. A new leader gives each an election
 * timeout. */
static TimeUs
answered_at(const LogCore *core, const LogProgress *progress)
{
    return MAX(progress->last_seen_at, core->elected_at);
}

bool
LogLeader_IsSilent(const LogCore *core, const LogProgress *progress,
                   TimeUs timeout, TimeUs now)
{
    return now - progress->last_seen_at > timeout &&
           now - core->elected_at > core->timing.election_timeout;
}

LogProgress *
LogLeader_FindProgress(LogCore *core, uint32_t id, uint64_t disk_id)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        LogProgress *progress = &core->progress[i];
        if (progress->id == id && progress->disk_id == disk_id) {
            return progress;
        }
    }
    return NULL;
}

void
LogLeader_RebuildProgress(LogCore *core)
{
    LogProgress previous[LOG_MEMBERS_MAX];
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        previous[i] = core->progress[i];
        core->progress[i] = (LogProgress){.id = 0};
    }
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        core->progress[i] = new_progress(core, member, core->now);
        for (unsigned k = 0; k < LOG_MEMBERS_MAX; k++) {
            if (previous[k].id == member->id &&
                previous[k].disk_id == member->disk_id) {
                core->progress[i] = previous[k];
                previous[k] = (LogProgress){.id = 0};
                break;
            }
        }
    }
    for (unsigned k = 0; k < LOG_MEMBERS_MAX; k++) {
        clear_progress_snapshot(&previous[k]);
    }
}

void
LogLeader_BecomeLeader(LogCore *core, TimeUs now)
{
    core->role = LOG_LEADER;
    core->leader = core->id;
    core->transferee = 0;
    core->round_requested = false;
    core->elected_at = now;
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        clear_progress_snapshot(&core->progress[i]);
        core->progress[i] = (LogProgress){.id = 0};
    }
    LogLeader_RebuildProgress(core);
    for (unsigned i = 0; i < core->config.count; i++) {
        LogProgress *progress = &core->progress[i];
        progress->last_seen_at =
            LogContacts_HeardAt(core, progress->id, progress->disk_id);
    }
    GBytes *empty = g_bytes_new(NULL, 0);
    StoreEntry entry = {
        .index = LogEntries_LastIndex(core) + 1,
        .term = core->term,
        .kind = LOG_ENTRY_NOOP,
        .data = empty,
    };
    LogEntries_Append(core, &entry);
    g_bytes_unref(empty);
    core->term_start_index = entry.index;
    core->next_heartbeat_at = now + core->timing.heartbeat_interval;
    LogLeader_Broadcast(core, true, now);
}

/* Sends one append, with entries from the next index on or without entries. */
static void
send_append(LogCore *core, LogProgress *progress, bool with_entries)
{
    uint64_t previous = progress->next_index - 1;
    LogMessage message = {
        .type = LOG_APPEND,
        .to = progress->id,
        .term = core->term,
        .index = previous,
        .log_term = LogEntries_Term(core, previous),
        .commit_index = core->commit_index,
        .round = core->round,
    };
    uint64_t last = LogEntries_LastIndex(core);
    if (with_entries && progress->next_index <= last) {
        message.entries = StoreEntry_NewArray();
        size_t bytes = 0;
        while (progress->next_index <= last && bytes < APPEND_MAX_BYTES &&
               message.entries->len < APPEND_MAX_ENTRIES)
        {
            const StoreEntry *entry =
                LogCore_Entry(core, progress->next_index++);
            StoreEntry_Append(message.entries, entry);
            bytes += g_bytes_get_size(entry->data);
        }
    }
    LogCore_Send(core, &message, false);
}

/* Sends a heartbeat to a follower that receives a snapshot, so that it does
 * not start an election. */
static void
send_empty_heartbeat(LogCore *core, const LogProgress *progress)
{
    LogMessage message = {
        .type = LOG_APPEND,
        .to = progress->id,
        .term = core->term,
        .index = progress->match_index,
        .log_term = LogEntries_Term(core, progress->match_index),
        .round = core->round,
    };
    LogCore_Send(core, &message, false);
}

static void
send_chunk(LogCore *core, LogProgress *progress, TimeUs now)
{
    gsize size = g_bytes_get_size(progress->snapshot.data);
    gsize offset = MIN(progress->snapshot_offset, size);
    gsize length = MIN(size - offset, SNAPSHOT_CHUNK_BYTES);
    LogMessage message = {
        .type = LOG_SNAPSHOT,
        .to = progress->id,
        .term = core->term,
        .index = progress->snapshot.index,
        .log_term = progress->snapshot.term,
        .offset = offset,
        .done = offset + length == size,
        .data =
            g_bytes_new_from_bytes(progress->snapshot.data, offset, length),
    };
    progress->awaiting_reply = true;
    progress->chunk_sent_at = now;
    LogCore_Send(core, &message, false);
}

static void
start_snapshot(LogCore *core, LogProgress *progress)
{
    INVARIANT(core->snapshot.data != NULL);
    clear_progress_snapshot(progress);
    progress->state = LOG_PROGRESS_SNAPSHOT;
    progress->snapshot = core->snapshot;
    g_bytes_ref(progress->snapshot.data);
    progress->awaiting_reply = false;
}

static void
send_snapshot(LogCore *core, LogProgress *progress, bool heartbeat, TimeUs now)
{
    if (!progress->awaiting_reply ||
        now - progress->chunk_sent_at >= core->timing.election_timeout)
    {
        send_chunk(core, progress, now);
    }
    else if (heartbeat) {
        send_empty_heartbeat(core, progress);
    }
}

static void
send_entries(LogCore *core, LogProgress *progress, bool heartbeat)
{
    bool sent = false;
    while (progress->next_index <= LogEntries_LastIndex(core) &&
           progress->next_index - progress->match_index <=
               IN_FLIGHT_MAX_ENTRIES)
    {
        send_append(core, progress, true);
        sent = true;
    }
    if (heartbeat && !sent) {
        send_append(core, progress, false);
    }
}

static void
send_to_member(LogCore *core, LogProgress *progress, bool heartbeat,
               TimeUs now)
{
    if (progress->id == core->id) {
        return;
    }
    if (progress->state != LOG_PROGRESS_SNAPSHOT &&
        progress->next_index <= core->base_index)
    {
        start_snapshot(core, progress);
    }
    switch (progress->state) {
    case LOG_PROGRESS_SNAPSHOT:
        send_snapshot(core, progress, heartbeat, now);
        break;
    case LOG_PROGRESS_REPLICATE:
        send_entries(core, progress, heartbeat);
        break;
    case LOG_PROGRESS_PROBE:
        if (!progress->awaiting_reply || heartbeat) {
            progress->awaiting_reply = true;
            send_append(core, progress, false);
        }
        break;
    }
}

void
LogLeader_Broadcast(LogCore *core, bool heartbeat, TimeUs now)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        send_to_member(core, &core->progress[i], heartbeat, now);
    }
}

static int
compare_descending(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left > right ? -1 : left < right;
}

/* Returns the highest number that a majority of the values are equal to or
 * above. Sorts the array in place. */
static uint64_t
quorum_value(uint64_t *values, unsigned count)
{
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(values[0]), compare_descending);
    return values[count / 2];
}

uint64_t
LogLeader_QuorumRound(const LogCore *core)
{
    uint64_t rounds[LOG_MEMBERS_MAX];
    unsigned count = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        if (!core->config.members[i].learner) {
            bool self = core->progress[i].id == core->id;
            rounds[count++] =
                self ? core->round : core->progress[i].acked_round;
        }
    }
    return quorum_value(rounds, count);
}

/* Returns true when every entry has been sent to all members. */
static bool
all_entries_sent(const LogCore *core)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        if (core->progress[i].id != core->id &&
            core->progress[i].next_index <= LogEntries_LastIndex(core))
        {
            return false;
        }
    }
    return true;
}

void
LogLeader_AdvanceCommit(LogCore *core, TimeUs now)
{
    uint64_t matches[LOG_MEMBERS_MAX];
    unsigned count = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        if (!core->config.members[i].learner) {
            bool self = core->progress[i].id == core->id;
            matches[count++] =
                self ? core->durable_index : core->progress[i].match_index;
        }
    }
    uint64_t index = quorum_value(matches, count);
    /* Raft commits entries of older terms only together with an entry of the
     * current term. */
    if (index <= core->commit_index ||
        LogEntries_Term(core, index) != core->term) {
        return;
    }
    core->commit_index = index;
    if (all_entries_sent(core)) {
        LogLeader_Broadcast(core, true, now);
    }
}

/* Asks the transfer target to start an election once it has the whole log. */
static void
try_complete_transfer(LogCore *core, const LogProgress *progress)
{
    if (core->transferee != progress->id ||
        progress->match_index != LogEntries_LastIndex(core))
    {
        return;
    }
    LogMessage message = {
        .type = LOG_TIMEOUT_NOW,
        .to = progress->id,
        .term = core->term,
    };
    LogCore_Send(core, &message, false);
}

static void
on_append_accepted(LogCore *core, LogProgress *progress, uint64_t match)
{
    progress->match_index = MAX(progress->match_index, match);
    progress->next_index =
        MAX(progress->next_index, progress->match_index + 1);
    if (progress->state == LOG_PROGRESS_PROBE) {
        progress->state = LOG_PROGRESS_REPLICATE;
        progress->awaiting_reply = false;
    }
}

static void
on_append_rejected(LogCore *core, LogProgress *progress, uint64_t hint)
{
    if (progress->state == LOG_PROGRESS_SNAPSHOT) {
        return;
    }
    progress->state = LOG_PROGRESS_PROBE;
    progress->awaiting_reply = false;
    progress->next_index =
        MAX(progress->match_index + 1, MIN(progress->next_index, hint + 1));
}

void
LogLeader_OnAppendReply(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogProgress *progress =
        LogLeader_FindProgress(core, message->from, message->from_disk_id);
    if (progress == NULL || message->term != core->term ||
        message->index >
            LogEntries_LastIndex(core) + (message->success ? 0 : 1))
    {
        return;
    }
    progress->last_seen_at = now;
    progress->acked_round = MAX(progress->acked_round, message->round);
    if (message->success) {
        on_append_accepted(core, progress, message->index);
        LogLeader_AdvanceCommit(core, now);
        try_complete_transfer(core, progress);
    }
    else {
        on_append_rejected(core, progress, message->index);
    }
    send_to_member(core, progress, false, now);
}

void
LogLeader_OnSnapshotReply(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogProgress *progress =
        LogLeader_FindProgress(core, message->from, message->from_disk_id);
    if (progress == NULL || message->term != core->term) {
        return;
    }
    progress->last_seen_at = now;
    if (progress->state != LOG_PROGRESS_SNAPSHOT ||
        message->index != progress->snapshot.index)
    {
        return;
    }
    progress->awaiting_reply = false;
    progress->snapshot_offset = message->offset;
    if (message->done) {
        progress->match_index = MAX(progress->match_index, message->index);
        progress->next_index = progress->match_index + 1;
        progress->state = LOG_PROGRESS_PROBE;
        clear_progress_snapshot(progress);
    }
    send_to_member(core, progress, false, now);
}

/* Returns true when a majority of the voters, counting the leader itself, has
 * replied within the election timeout. Without this majority the leader steps
 * down. */
static bool
has_active_quorum(const LogCore *core, TimeUs now)
{
    unsigned active = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogProgress *progress = &core->progress[i];
        if (!core->config.members[i].learner &&
            (progress->id == core->id || now - answered_at(core, progress) <=
                                             core->timing.election_timeout))
        {
            active++;
        }
    }
    return active > LogConfig_VoterCount(&core->config) / 2;
}

void
LogLeader_Tick(LogCore *core, TimeUs now)
{
    if (!has_active_quorum(core, now)) {
        LogElection_BecomeFollower(core, core->term, 0, now);
        return;
    }
    if (core->transferee != 0 && now >= core->transfer_deadline) {
        core->transferee = 0;
    }
    LogMembership_Tick(core, now);
    if (now < core->next_heartbeat_at) {
        return;
    }
    core->next_heartbeat_at = now + core->timing.heartbeat_interval;
    if (core->round_requested) {
        core->round++;
        core->round_commit_index = core->commit_index;
        core->round_requested = false;
    }
    LogLeader_Broadcast(core, true, now);
}

void
LogCore_TransferLeadership(LogCore *core, TimeUs now)
{
    if (core->role != LOG_LEADER || core->transferee != 0) {
        return;
    }
    const LogProgress *best = NULL;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogProgress *progress = &core->progress[i];
        if (core->config.members[i].learner || progress->id == core->id ||
            now - answered_at(core, progress) > core->timing.election_timeout)
        {
            continue;
        }
        if (best == NULL || progress->match_index > best->match_index) {
            best = progress;
        }
    }
    if (best == NULL) {
        return;
    }
    core->transferee = best->id;
    core->transfer_deadline = now + core->timing.election_timeout;
    try_complete_transfer(core, best);
}
