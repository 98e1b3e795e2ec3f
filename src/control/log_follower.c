/** @file
 * Log core: the follower's side of replication.
 */
#include "control/log_state.h"

/* Largest snapshot that is accepted, in bytes. */
#define SNAPSHOT_MAX_BYTES (128u * 1024 * 1024)

/* Returns true when the sender claims leadership of the term that this host
 * leads, which a correct leader never does. */
static bool
is_impossible(const LogCore *core, const LogMessage *message)
{
    return core->role == LOG_LEADER && message->term == core->term;
}

/* Accepts the sender as leader of the message's term. */
static void
hear_leader(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogElection_Follow(core, message->term, message->from, now);
    core->leader_seen_at = now;
}

/* Returns the index after which the leader should retry a rejected append: the
 * last index before the conflicting term, or the last index of a short log. */
static uint64_t
conflict_hint(const LogCore *core, uint64_t index)
{
    uint64_t last = LogEntries_Last(core);
    if (index > last) {
        return last;
    }
    uint64_t term = LogEntries_Term(core, index);
    uint64_t hint = index == 0 ? 0 : index - 1;
    while (hint > core->commit && LogEntries_Term(core, hint) == term) {
        hint--;
    }
    return hint;
}

static void
reply_append(LogCore *core, const LogMessage *message, bool success,
             uint64_t index, bool durable)
{
    LogMessage reply = {
        .type = LOG_APPEND_REPLY,
        .to = message->from,
        .term = core->term,
        .index = index,
        .round = message->round,
        .success = success,
    };
    LogCore_Send(core, &reply, durable);
}

/* Returns true when the entries have consecutive indexes after the previous
 * one, valid terms and valid memberships. */
static bool
entries_are_valid(const LogMessage *message)
{
    for (guint i = 0; message->entries != NULL && i < message->entries->len;
         i++) {
        const StoreEntry *entry =
            &g_array_index(message->entries, StoreEntry, i);
        LogConfig config;
        if (entry->index != message->index + 1 + i || entry->term == 0 ||
            entry->term > message->term ||
            (entry->kind == LOG_ENTRY_MEMBERS &&
             LogConfig_Unpack(entry->data, &config) != ERR_OK))
        {
            return false;
        }
    }
    return true;
}

static void
take_entries(LogCore *core, const LogMessage *message)
{
    for (guint i = 0; message->entries != NULL && i < message->entries->len;
         i++) {
        const StoreEntry *entry =
            &g_array_index(message->entries, StoreEntry, i);
        if (entry->index <= core->commit) {
            continue;
        }
        if (entry->index <= LogEntries_Last(core)) {
            if (LogEntries_Term(core, entry->index) == entry->term) {
                continue;
            }
            LogEntries_Truncate(core, entry->index);
        }
        LogEntries_Append(core, entry);
    }
}

void
LogFollower_OnAppend(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->term < core->term) {
        reply_append(core, message, false, LogEntries_Last(core), false);
        return;
    }
    if (is_impossible(core, message) || !entries_are_valid(message)) {
        return;
    }
    hear_leader(core, message, now);
    uint64_t previous = message->index;
    if (previous >= core->commit &&
        (previous > LogEntries_Last(core) ||
         LogEntries_Term(core, previous) != message->log_term))
    {
        reply_append(core, message, false, conflict_hint(core, previous),
                     false);
        return;
    }
    guint count = message->entries == NULL ? 0 : message->entries->len;
    uint64_t match = MAX(core->commit, previous + count);
    take_entries(core, message);
    core->commit = MAX(core->commit, MIN(message->commit, match));
    if (count > 0) {
        reply_append(core, message, true, match, true);
        return;
    }
    reply_append(core, message, true, MIN(match, core->durable), false);
}

static void
reply_snapshot(LogCore *core, const LogMessage *message, bool done)
{
    LogMessage reply = {
        .type = LOG_SNAPSHOT_REPLY,
        .to = message->from,
        .term = core->term,
        .index = message->index,
        .offset = core->incoming->len,
        .done = done,
    };
    LogCore_Send(core, &reply, done);
}

/* Appends a chunk to the snapshot being received. Returns false when its
 * offset is not the number of bytes received, or the snapshot becomes too
 * large. */
static bool
add_piece(LogCore *core, const LogMessage *message)
{
    bool same = core->incoming_index == message->index &&
                core->incoming_term == message->log_term;
    if (!same) {
        g_byte_array_set_size(core->incoming, 0);
        core->incoming_index = message->index;
        core->incoming_term = message->log_term;
    }
    gsize length = 0;
    const uint8_t *bytes = NULL;
    if (message->data != NULL) {
        bytes = g_bytes_get_data(message->data, &length);
    }
    if (message->offset != core->incoming->len ||
        message->offset + length > SNAPSHOT_MAX_BYTES)
    {
        return false;
    }
    if (length > 0) {
        g_byte_array_append(core->incoming, bytes, (guint)length);
    }
    return true;
}

static void
drop_incoming(LogCore *core)
{
    g_byte_array_set_size(core->incoming, 0);
    core->incoming_index = 0;
    core->incoming_term = 0;
}

void
LogFollower_OnSnapshot(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->term < core->term) {
        reply_append(core, message, false, LogEntries_Last(core), false);
        return;
    }
    if (is_impossible(core, message)) {
        return;
    }
    hear_leader(core, message, now);
    if (message->index <= core->commit) {
        reply_snapshot(core, message, true);
        return;
    }
    bool added = add_piece(core, message);
    if (!added || !message->done) {
        reply_snapshot(core, message, false);
        return;
    }
    GBytes *data = g_bytes_new(core->incoming->data, core->incoming->len);
    drop_incoming(core);
    LogConfig config;
    if (LogConfig_UnpackSnapshot(data, &config, NULL) == ERR_OK) {
        StoreSnapshot snapshot = {
            .index = message->index,
            .term = message->log_term,
            .data = data,
        };
        LogEntries_Install(core, &snapshot, &config);
        reply_snapshot(core, message, true);
    }
    g_bytes_unref(data);
}
