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
#define WINDOW_ENTRIES 2048
/* Size of a snapshot chunk, small enough not to fill a slow link. */
#define SNAPSHOT_PIECE_BYTES (64u * 1024)

static void
drop_snapshot(LogProgress *progress)
{
    g_clear_pointer(&progress->snapshot.data, g_bytes_unref);
    progress->snapshot = (StoreSnapshot){.index = 0};
    progress->offset = 0;
}

static LogProgress
fresh_progress(const LogCore *core, const LogMember *member, TimeUs now)
{
    return (LogProgress){
        .id = member->id,
        .disk_id = member->disk_id,
        .flow = LOG_FLOW_PROBE,
        .next = LogEntries_Last(core) + 1,
        .last_seen_at = now,
    };
}

LogProgress *
LogLeader_Progress(LogCore *core, uint32_t id, uint64_t disk_id)
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
LogLeader_Reconfigure(LogCore *core)
{
    LogProgress before[LOG_MEMBERS_MAX];
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        before[i] = core->progress[i];
        core->progress[i] = (LogProgress){.id = 0};
    }
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        core->progress[i] = fresh_progress(core, member, core->now);
        for (unsigned k = 0; k < LOG_MEMBERS_MAX; k++) {
            if (before[k].id == member->id &&
                before[k].disk_id == member->disk_id) {
                core->progress[i] = before[k];
                before[k] = (LogProgress){.id = 0};
                break;
            }
        }
    }
    for (unsigned k = 0; k < LOG_MEMBERS_MAX; k++) {
        drop_snapshot(&before[k]);
    }
}

void
LogLeader_Begin(LogCore *core, TimeUs now)
{
    core->role = LOG_LEADER;
    core->leader = core->id;
    core->transferee = 0;
    core->round_wanted = false;
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        drop_snapshot(&core->progress[i]);
        core->progress[i] = (LogProgress){.id = 0};
    }
    LogLeader_Reconfigure(core);
    GBytes *empty = g_bytes_new(NULL, 0);
    StoreEntry entry = {
        .index = LogEntries_Last(core) + 1,
        .term = core->term,
        .kind = LOG_ENTRY_NOOP,
        .data = empty,
    };
    LogEntries_Append(core, &entry);
    g_bytes_unref(empty);
    core->term_start = entry.index;
    core->heartbeat_at = now + core->timing.heartbeat_interval;
    LogLeader_Broadcast(core, true, now);
}

/* Sends one append, with entries from the next index on or without entries. */
static void
send_append(LogCore *core, LogProgress *progress, bool with_entries)
{
    uint64_t previous = progress->next - 1;
    LogMessage message = {
        .type = LOG_APPEND,
        .to = progress->id,
        .term = core->term,
        .index = previous,
        .log_term = LogEntries_Term(core, previous),
        .commit = core->commit,
        .round = core->round,
    };
    uint64_t last = LogEntries_Last(core);
    if (with_entries && progress->next <= last) {
        message.entries = StoreEntry_NewArray();
        size_t bytes = 0;
        while (progress->next <= last && bytes < APPEND_MAX_BYTES &&
               message.entries->len < APPEND_MAX_ENTRIES)
        {
            const StoreEntry *entry = LogCore_Entry(core, progress->next++);
            StoreEntry_Append(message.entries, entry);
            bytes += g_bytes_get_size(entry->data);
        }
    }
    LogCore_Send(core, &message, false);
}

/* Sends a heartbeat to a follower that receives a snapshot, so that it does
 * not start an election. */
static void
send_bare_heartbeat(LogCore *core, const LogProgress *progress)
{
    LogMessage message = {
        .type = LOG_APPEND,
        .to = progress->id,
        .term = core->term,
        .index = progress->match,
        .log_term = LogEntries_Term(core, progress->match),
        .round = core->round,
    };
    LogCore_Send(core, &message, false);
}

static void
send_piece(LogCore *core, LogProgress *progress, TimeUs now)
{
    gsize size = g_bytes_get_size(progress->snapshot.data);
    gsize offset = MIN(progress->offset, size);
    gsize length = MIN(size - offset, SNAPSHOT_PIECE_BYTES);
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
    progress->waiting = true;
    progress->sent_at = now;
    LogCore_Send(core, &message, false);
}

static void
begin_snapshot(LogCore *core, LogProgress *progress)
{
    INVARIANT(core->snapshot.data != NULL);
    drop_snapshot(progress);
    progress->flow = LOG_FLOW_SNAPSHOT;
    progress->snapshot = core->snapshot;
    g_bytes_ref(progress->snapshot.data);
    progress->waiting = false;
}

static void
send_snapshot(LogCore *core, LogProgress *progress, bool heartbeat, TimeUs now)
{
    if (!progress->waiting ||
        now - progress->sent_at >= core->timing.election_timeout)
    {
        send_piece(core, progress, now);
    }
    else if (heartbeat) {
        send_bare_heartbeat(core, progress);
    }
}

static void
send_stream(LogCore *core, LogProgress *progress, bool heartbeat)
{
    bool sent = false;
    while (progress->next <= LogEntries_Last(core) &&
           progress->next - progress->match <= WINDOW_ENTRIES)
    {
        send_append(core, progress, true);
        sent = true;
    }
    if (heartbeat && !sent) {
        send_append(core, progress, false);
    }
}

static void
send_to(LogCore *core, LogProgress *progress, bool heartbeat, TimeUs now)
{
    if (progress->id == core->id) {
        return;
    }
    if (progress->flow != LOG_FLOW_SNAPSHOT &&
        progress->next <= core->base_index) {
        begin_snapshot(core, progress);
    }
    switch (progress->flow) {
    case LOG_FLOW_SNAPSHOT:
        send_snapshot(core, progress, heartbeat, now);
        break;
    case LOG_FLOW_STREAM:
        send_stream(core, progress, heartbeat);
        break;
    case LOG_FLOW_PROBE:
        if (!progress->waiting || heartbeat) {
            progress->waiting = true;
            send_append(core, progress, false);
        }
        break;
    }
}

void
LogLeader_Broadcast(LogCore *core, bool heartbeat, TimeUs now)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        send_to(core, &core->progress[i], heartbeat, now);
    }
}

static int
compare_descending(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left > right ? -1 : left < right;
}

/* Returns the highest value that a majority of the values reaches. Sorts
 * values. */
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
            rounds[count++] = self ? core->round : core->progress[i].round;
        }
    }
    return quorum_value(rounds, count);
}

/* Returns true when every entry has been sent to all members. */
static bool
all_sent(const LogCore *core)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        if (core->progress[i].id != core->id &&
            core->progress[i].next <= LogEntries_Last(core))
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
            matches[count++] = self ? core->durable : core->progress[i].match;
        }
    }
    uint64_t index = quorum_value(matches, count);
    /* Raft commits entries of older terms only together with an entry of the
     * current term. */
    if (index <= core->commit || LogEntries_Term(core, index) != core->term) {
        return;
    }
    core->commit = index;
    if (all_sent(core)) {
        LogLeader_Broadcast(core, true, now);
    }
}

/* Asks the transfer target to start an election once it has the whole log. */
static void
finish_transfer(LogCore *core, const LogProgress *progress)
{
    if (core->transferee != progress->id ||
        progress->match != LogEntries_Last(core))
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
on_success(LogCore *core, LogProgress *progress, uint64_t match)
{
    progress->match = MAX(progress->match, match);
    progress->next = MAX(progress->next, progress->match + 1);
    if (progress->flow == LOG_FLOW_PROBE) {
        progress->flow = LOG_FLOW_STREAM;
        progress->waiting = false;
    }
}

static void
on_refusal(LogCore *core, LogProgress *progress, uint64_t hint)
{
    if (progress->flow == LOG_FLOW_SNAPSHOT) {
        return;
    }
    progress->flow = LOG_FLOW_PROBE;
    progress->waiting = false;
    progress->next = MAX(progress->match + 1, MIN(progress->next, hint + 1));
}

void
LogLeader_OnAppendReply(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogProgress *progress =
        LogLeader_Progress(core, message->from, message->from_disk);
    if (progress == NULL || message->term != core->term ||
        message->index > LogEntries_Last(core) + (message->success ? 0 : 1))
    {
        return;
    }
    progress->last_seen_at = now;
    progress->round = MAX(progress->round, message->round);
    if (message->success) {
        on_success(core, progress, message->index);
        LogLeader_AdvanceCommit(core, now);
        finish_transfer(core, progress);
    }
    else {
        on_refusal(core, progress, message->index);
    }
    send_to(core, progress, false, now);
}

void
LogLeader_OnSnapshotReply(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogProgress *progress =
        LogLeader_Progress(core, message->from, message->from_disk);
    if (progress == NULL || message->term != core->term) {
        return;
    }
    progress->last_seen_at = now;
    if (progress->flow != LOG_FLOW_SNAPSHOT ||
        message->index != progress->snapshot.index)
    {
        return;
    }
    progress->waiting = false;
    progress->offset = message->offset;
    if (message->done) {
        progress->match = MAX(progress->match, message->index);
        progress->next = progress->match + 1;
        progress->flow = LOG_FLOW_PROBE;
        drop_snapshot(progress);
    }
    send_to(core, progress, false, now);
}

/* Returns true when a majority of the voters was seen within the election
 * timeout. Without one the leader steps down. */
static bool
hears_majority(const LogCore *core, TimeUs now)
{
    unsigned heard = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogProgress *progress = &core->progress[i];
        if (!core->config.members[i].learner &&
            (progress->id == core->id ||
             now - progress->last_seen_at <= core->timing.election_timeout))
        {
            heard++;
        }
    }
    return heard > LogConfig_VoterCount(&core->config) / 2;
}

void
LogLeader_Tick(LogCore *core, TimeUs now)
{
    if (!hears_majority(core, now)) {
        LogElection_Follow(core, core->term, 0, now);
        return;
    }
    if (core->transferee != 0 && now >= core->transfer_until) {
        core->transferee = 0;
    }
    LogMember_Tick(core, now);
    if (now < core->heartbeat_at) {
        return;
    }
    core->heartbeat_at = now + core->timing.heartbeat_interval;
    if (core->round_wanted) {
        core->round++;
        core->round_commit = core->commit;
        core->round_wanted = false;
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
            now - progress->last_seen_at > core->timing.election_timeout)
        {
            continue;
        }
        if (best == NULL || progress->match > best->match) {
            best = progress;
        }
    }
    if (best == NULL) {
        return;
    }
    core->transferee = best->id;
    core->transfer_until = now + core->timing.election_timeout;
    finish_transfer(core, best);
}
