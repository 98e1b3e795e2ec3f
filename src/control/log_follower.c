/** @file
 * Log core: the follower's side of replication.
 */
#include "control/log_state.h"

/* Largest snapshot that is accepted, in bytes. */
#define SNAPSHOT_MAX_BYTES (128u * 1024 * 1024)

/* Returns true when the sender claims leadership of the term that this host
 * leads, which a correct leader never does. */
static bool
contradicts_own_leadership(const LogCore *core, const LogMessage *message)
{
    return core->role == LOG_LEADER && message->term == core->term;
}

/* Accepts the sender as leader of the message's term. */
static void
accept_leader(LogCore *core, const LogMessage *message, TimeUs now)
{
    LogElection_BecomeFollower(core, message->term, message->from, now);
    core->leader_last_seen_at = now;
}

/* Returns the index after which the leader should retry a rejected append: the
 * last index before the conflicting term, or the last index of a short log. */
static uint64_t
conflict_hint(const LogCore *core, uint64_t index)
{
    uint64_t last = LogEntries_LastIndex(core);
    if (index > last) {
        return last;
    }
    uint64_t term = LogEntries_Term(core, index);
    uint64_t hint = index == 0 ? 0 : index - 1;
    while (hint > core->commit_index && LogEntries_Term(core, hint) == term) {
        hint--;
    }
    return hint;
}

static void
send_append_reply(LogCore *core, const LogMessage *message, bool success,
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

/* Returns true when the entries have consecutive indices after the previous
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
append_entries(LogCore *core, const LogMessage *message)
{
    for (guint i = 0; message->entries != NULL && i < message->entries->len;
         i++) {
        const StoreEntry *entry =
            &g_array_index(message->entries, StoreEntry, i);
        if (entry->index <= core->commit_index) {
            continue;
        }
        if (entry->index <= LogEntries_LastIndex(core)) {
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
        send_append_reply(core, message, false, LogEntries_LastIndex(core),
                          false);
        return;
    }
    if (contradicts_own_leadership(core, message) ||
        !entries_are_valid(message)) {
        return;
    }
    accept_leader(core, message, now);
    uint64_t previous = message->index;
    if (previous >= core->commit_index &&
        (previous > LogEntries_LastIndex(core) ||
         LogEntries_Term(core, previous) != message->log_term))
    {
        send_append_reply(core, message, false, conflict_hint(core, previous),
                          false);
        return;
    }
    guint count = message->entries == NULL ? 0 : message->entries->len;
    uint64_t match = MAX(core->commit_index, previous + count);
    append_entries(core, message);
    core->commit_index =
        MAX(core->commit_index, MIN(message->commit_index, match));
    if (count > 0) {
        send_append_reply(core, message, true, match, true);
        return;
    }
    send_append_reply(core, message, true, MIN(match, core->durable_index),
                      false);
}

static void
send_snapshot_reply(LogCore *core, const LogMessage *message, bool done)
{
    LogMessage reply = {
        .type = LOG_SNAPSHOT_REPLY,
        .to = message->from,
        .term = core->term,
        .index = message->index,
        .offset = core->incoming_snapshot->len,
        .done = done,
    };
    LogCore_Send(core, &reply, done);
}

/* Appends a chunk to the snapshot being received. Returns false when its
 * offset is not the number of bytes received, or the snapshot becomes too
 * large. */
static bool
append_chunk(LogCore *core, const LogMessage *message)
{
    bool is_same_snapshot = core->incoming_snapshot_index == message->index &&
                            core->incoming_snapshot_term == message->log_term;
    if (!is_same_snapshot) {
        g_byte_array_set_size(core->incoming_snapshot, 0);
        core->incoming_snapshot_index = message->index;
        core->incoming_snapshot_term = message->log_term;
    }
    gsize length = 0;
    const uint8_t *bytes = NULL;
    if (message->data != NULL) {
        bytes = g_bytes_get_data(message->data, &length);
    }
    if (message->offset != core->incoming_snapshot->len ||
        message->offset + length > SNAPSHOT_MAX_BYTES)
    {
        return false;
    }
    if (length > 0) {
        g_byte_array_append(core->incoming_snapshot, bytes, (guint)length);
    }
    return true;
}

static void
clear_incoming_snapshot(LogCore *core)
{
    g_byte_array_set_size(core->incoming_snapshot, 0);
    core->incoming_snapshot_index = 0;
    core->incoming_snapshot_term = 0;
}

void
LogFollower_OnSnapshot(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->term < core->term) {
        send_append_reply(core, message, false, LogEntries_LastIndex(core),
                          false);
        return;
    }
    if (contradicts_own_leadership(core, message)) {
        return;
    }
    accept_leader(core, message, now);
    if (message->index <= core->commit_index) {
        send_snapshot_reply(core, message, true);
        return;
    }
    bool appended = append_chunk(core, message);
    if (!appended || !message->done) {
        send_snapshot_reply(core, message, false);
        return;
    }
    GBytes *data = g_bytes_new(core->incoming_snapshot->data,
                               core->incoming_snapshot->len);
    clear_incoming_snapshot(core);
    LogConfig config;
    if (LogConfig_UnpackSnapshot(data, &config, NULL) == ERR_OK) {
        StoreSnapshot snapshot = {
            .index = message->index,
            .term = message->log_term,
            .data = data,
        };
        LogEntries_InstallSnapshot(core, &snapshot, &config);
        send_snapshot_reply(core, message, true);
    }
    g_bytes_unref(data);
}
