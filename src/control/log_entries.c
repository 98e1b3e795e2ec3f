/** @file
 * Log core: the in-memory log, compaction and the batches to save.
 */
#include "control/log_state.h"

uint64_t
LogEntries_LastIndex(const LogCore *core)
{
    return core->base_index + core->entries->len;
}

const StoreEntry *
LogCore_Entry(const LogCore *core, uint64_t index)
{
    if (index <= core->base_index || index > LogEntries_LastIndex(core)) {
        return NULL;
    }
    return &g_array_index(core->entries, StoreEntry,
                          index - core->base_index - 1);
}

uint64_t
LogEntries_Term(const LogCore *core, uint64_t index)
{
    if (index == core->base_index) {
        return core->base_term;
    }
    const StoreEntry *entry = LogCore_Entry(core, index);
    return entry == NULL ? 0 : entry->term;
}

uint64_t
LogEntries_LastTerm(const LogCore *core)
{
    return LogEntries_Term(core, LogEntries_LastIndex(core));
}

/* Returns the membership at index; config_index receives the index of its
 * entry. */
static LogConfig
config_at(const LogCore *core, uint64_t index, uint64_t *config_index)
{
    LogConfig config = core->base_config;
    *config_index = core->base_config_index;
    for (uint64_t i = index; i > core->base_index; i--) {
        const StoreEntry *entry = LogCore_Entry(core, i);
        if (entry->kind == LOG_ENTRY_MEMBERS) {
            int result = LogConfig_Unpack(entry->data, &config);
            INVARIANT(result == ERR_OK);
            *config_index = i;
            break;
        }
    }
    return config;
}

static void
set_config(LogCore *core, const LogConfig *config, uint64_t index)
{
    core->config = *config;
    core->config_index = index;
    if (core->role == LOG_LEADER) {
        LogLeader_RebuildProgress(core);
    }
}

void
LogEntries_Append(LogCore *core, const StoreEntry *entry)
{
    INVARIANT(entry->index == LogEntries_LastIndex(core) + 1);
    StoreEntry_Append(core->entries, entry);
    if (core->dirty_from == 0) {
        core->dirty_from = entry->index;
    }
    if (entry->kind == LOG_ENTRY_MEMBERS) {
        LogConfig config;
        int result = LogConfig_Unpack(entry->data, &config);
        INVARIANT(result == ERR_OK);
        set_config(core, &config, entry->index);
    }
}

/* Lowers the durable index, also of batches not saved yet, to at most index.
 */
static void
lower_durable_index(LogCore *core, uint64_t index)
{
    core->durable_index = MIN(core->durable_index, index);
    for (guint i = 0; i < core->pending_batches->len; i++) {
        LogPendingBatch *pending =
            &g_array_index(core->pending_batches, LogPendingBatch, i);
        pending->last_index = MIN(pending->last_index, index);
    }
}

void
LogEntries_Truncate(LogCore *core, uint64_t index)
{
    INVARIANT(index > core->commit_index);
    g_array_set_size(core->entries, (guint)(index - core->base_index - 1));
    lower_durable_index(core, index - 1);
    if (core->dirty_from > index) {
        core->dirty_from = index;
    }
    if (core->config_index >= index) {
        uint64_t config_index;
        LogConfig config = config_at(core, index - 1, &config_index);
        set_config(core, &config, config_index);
    }
}

void
LogEntries_InstallSnapshot(LogCore *core, const StoreSnapshot *snapshot,
                           const LogConfig *config)
{
    INVARIANT(snapshot->index > core->commit_index);
    g_array_set_size(core->entries, 0);
    lower_durable_index(core, 0);
    core->dirty_from = 0;
    core->base_index = snapshot->index;
    core->base_term = snapshot->term;
    core->base_config = *config;
    core->base_config_index = snapshot->index;
    core->commit_index = snapshot->index;
    g_clear_pointer(&core->snapshot.data, g_bytes_unref);
    core->snapshot = *snapshot;
    g_bytes_ref(core->snapshot.data);
    core->snapshot_dirty = true;
    core->reset_dirty = true;
    set_config(core, config, snapshot->index);
}

void
LogCore_Compact(LogCore *core, GBytes *state)
{
    if (core->applied_index <= core->snapshot.index || core->failed) {
        return;
    }
    uint64_t config_index;
    LogConfig config = config_at(core, core->applied_index, &config_index);
    g_clear_pointer(&core->snapshot.data, g_bytes_unref);
    core->snapshot.index = core->applied_index;
    core->snapshot.term = LogEntries_Term(core, core->applied_index);
    core->snapshot.data = LogConfig_PackSnapshot(&config, state);
    core->snapshot_dirty = true;
    if (core->applied_index <= core->base_index + LOG_TRAILING_ENTRIES) {
        return;
    }
    uint64_t base = core->applied_index - LOG_TRAILING_ENTRIES;
    core->base_config = config_at(core, base, &core->base_config_index);
    core->base_term = LogEntries_Term(core, base);
    g_array_remove_range(core->entries, 0, (guint)(base - core->base_index));
    core->base_index = base;
}

void
LogEntries_MarkStateDirty(LogCore *core)
{
    core->state_dirty = true;
}

void
LogEntries_MarkUnsaved(LogCore *core)
{
    g_array_set_size(core->pending_batches, 0);
    core->saved_sequence = core->batch_sequence;
    core->state_dirty = true;
    if (core->snapshot.index != 0) {
        /* It may have been in a batch that failed. */
        core->snapshot_dirty = true;
        core->reset_dirty = core->durable_index < core->snapshot.index;
    }
    uint64_t first = MAX(core->durable_index, core->base_index) + 1;
    core->dirty_from = first <= LogEntries_LastIndex(core) ? first : 0;
}

static bool
is_dirty(const LogCore *core)
{
    return core->state_dirty || core->dirty_from != 0 || core->snapshot_dirty;
}

uint64_t
LogEntries_RequiredSequence(const LogCore *core)
{
    return core->batch_sequence + (is_dirty(core) ? 1 : 0);
}

static void
add_entries_to_batch(LogCore *core, StoreBatch *batch)
{
    batch->entries = StoreEntry_NewArray();
    for (uint64_t i = core->dirty_from; i <= LogEntries_LastIndex(core); i++) {
        StoreEntry_Append(batch->entries, LogCore_Entry(core, i));
    }
    core->dirty_from = 0;
}

bool
LogCore_TakeBatch(LogCore *core, StoreBatch *batch)
{
    if (core->failed || !is_dirty(core)) {
        return false;
    }
    *batch = (StoreBatch){.sequence = ++core->batch_sequence};
    if (core->state_dirty) {
        batch->has_state = true;
        batch->term = core->term;
        batch->vote = core->voted_for;
        core->state_dirty = false;
    }
    if (core->snapshot_dirty) {
        batch->snapshot = core->snapshot;
        g_bytes_ref(batch->snapshot.data);
        batch->reset = core->reset_dirty;
        core->snapshot_dirty = false;
        core->reset_dirty = false;
    }
    if (core->dirty_from != 0) {
        add_entries_to_batch(core, batch);
    }
    LogPendingBatch pending = {
        .sequence = core->batch_sequence,
        .last_index = LogEntries_LastIndex(core),
    };
    g_array_append_val(core->pending_batches, pending);
    return true;
}

/* Moves the deferred messages whose batch has been saved to the outbox. */
static void
release_deferred(LogCore *core)
{
    LogDeferredMessage *deferred;
    while ((deferred = g_queue_peek_head(&core->deferred)) != NULL &&
           deferred->sequence <= core->saved_sequence)
    {
        g_queue_pop_head(&core->deferred);
        LogMessage *message = g_new(LogMessage, 1);
        *message = deferred->message;
        g_queue_push_tail(&core->outbox, message);
        g_free(deferred);
    }
}

void
LogCore_OnSaved(LogCore *core, uint64_t sequence, TimeUs now)
{
    if (core->failed) {
        return;
    }
    core->saved_sequence = MAX(core->saved_sequence, sequence);
    while (core->pending_batches->len > 0) {
        LogPendingBatch pending =
            g_array_index(core->pending_batches, LogPendingBatch, 0);
        if (pending.sequence > sequence) {
            break;
        }
        core->durable_index = MAX(core->durable_index, pending.last_index);
        g_array_remove_index(core->pending_batches, 0);
    }
    release_deferred(core);
    LogElection_CountSelfVote(core, now);
    if (core->role == LOG_LEADER) {
        LogLeader_AdvanceCommit(core, now);
    }
}
