/** @file
 * Store: writes and syncs records, saves snapshots and removes old files.
 */
#include "store/store.h"

#include <endian.h>
#include <errno.h>
#include <string.h>

#include "kernel/log.h"
#include "store/state.h"

#define PART "store"

static void
clear_entry(gpointer data)
{
    StoreEntry *entry = data;
    g_bytes_unref(entry->data);
}

GArray *
StoreEntry_NewArray(void)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(StoreEntry));
    g_array_set_clear_func(entries, clear_entry);
    return entries;
}

void
StoreEntry_Append(GArray *entries, const StoreEntry *entry)
{
    StoreEntry copy = *entry;
    g_bytes_ref(copy.data);
    g_array_append_val(entries, copy);
}

/* Sets an error and refuses all further writes: after a failed write or sync
 * the content of the file on disk is unknown. */
static int
set_failed(Store *store, int result, const char *operation, Error *err)
{
    store->failed = true;
    return Error_Set(err, ERR_IO, "Cannot %s: %s.", operation,
                     strerror(-result));
}

static int
write_all(Store *store, int file, const uint8_t *bytes, size_t length,
          uint64_t offset)
{
    const StoreFiles *files = &store->files;
    size_t done = 0;
    while (done < length) {
        ssize_t count = files->write(files->context, file, bytes + done,
                                     length - done, offset + done);
        if (count < 0) {
            return (int)count;
        }
        if (count == 0) {
            return -ENOSPC;
        }
        done += (size_t)count;
    }
    return 0;
}

static Segment *
last_segment(Store *store)
{
    return &g_array_index(store->segments, Segment, store->segments->len - 1);
}

/* Appends a record to the buffer of the last segment. */
static void
add_record(Store *store, Record *record)
{
    record->synced_bytes = store->synced_bytes;
    uint64_t offset = store->segment_bytes + store->buffer->len;
    Record_Write(store->buffer, record, last_segment(store)->number, offset);
}

static int
flush_buffer(Store *store, Error *err)
{
    GByteArray *buffer = store->buffer;
    if (buffer->len == 0) {
        return ERR_OK;
    }
    int result = write_all(store, store->segment_file, buffer->data,
                           buffer->len, store->segment_bytes);
    if (result != 0) {
        return set_failed(store, result, "write to the log", err);
    }
    store->segment_bytes += buffer->len;
    g_byte_array_set_size(buffer, 0);
    return ERR_OK;
}

int
Store_Sync(Store *store, Error *err)
{
    if (store->failed) {
        return Error_Set(err, ERR_IO, "An earlier write or sync failed.");
    }
    if (store->synced_bytes == store->segment_bytes) {
        return ERR_OK;
    }
    int result = store->files.sync(store->files.context, store->segment_file);
    if (result != 0) {
        return set_failed(store, result, "sync the log", err);
    }
    store->synced_bytes = store->segment_bytes;
    store->unused = false;
    return ERR_OK;
}

void
Store_MarkSynced(Store *store)
{
    if (store->failed || store->sync_recorded ||
        store->synced_bytes != store->segment_bytes)
    {
        return;
    }
    Record record = {.type = RECORD_SYNCED};
    add_record(store, &record);
    Error err = ERROR_INIT;
    if (flush_buffer(store, &err) == ERR_OK) {
        store->sync_recorded = true;
    }
}

static void
add_identity(Store *store)
{
    uint8_t payload[STORE_IDENTITY_BYTES];
    uint32_t replica = htole32(store->replica);
    uint64_t disk_id = htole64(store->disk_id);
    memcpy(payload, &replica, sizeof(replica));
    memcpy(payload + sizeof(replica), &disk_id, sizeof(disk_id));
    Record record = {
        .type = RECORD_SEGMENT,
        .term = store->term,
        .vote_or_kind = store->vote,
        .payload = payload,
        .payload_bytes = sizeof(payload),
    };
    add_record(store, &record);
}

/* Creates the next segment and makes its first record durable. */
static int
start_segment(Store *store, Error *err)
{
    const StoreFiles *files = &store->files;
    uint64_t number = 1;
    if (store->segments->len > 0) {
        number = last_segment(store)->number + 1;
    }
    char name[STORE_NAME_BYTES];
    StoreLoad_Name(name, STORE_SEGMENT_PREFIX, number);
    if (store->segment_file >= 0) {
        files->close(files->context, store->segment_file);
    }
    store->segment_file = files->open(files->context, name, true);
    if (store->segment_file < 0) {
        return set_failed(store, store->segment_file, "create a segment file",
                          err);
    }
    Segment segment = {.number = number};
    g_array_append_val(store->segments, segment);
    store->tail_dropped = false;
    store->segment_bytes = 0;
    store->synced_bytes = 0;
    add_identity(store);
    int result = flush_buffer(store, err);
    if (result == ERR_OK) {
        result = Store_Sync(store, err);
    }
    if (result != ERR_OK) {
        return result;
    }
    result = files->sync_folder(files->context);
    return result == 0 ? ERR_OK
                       : set_failed(store, result, "sync the folder", err);
}

static void
add_state(Store *store, uint64_t term, uint32_t vote)
{
    store->term = term;
    store->vote = vote;
    Record record = {.type = RECORD_STATE, .term = term, .vote_or_kind = vote};
    add_record(store, &record);
}

static void
add_reset(Store *store, const StoreSnapshot *snapshot)
{
    Record record = {
        .type = RECORD_RESET,
        .index = snapshot->index,
        .term = snapshot->term,
    };
    add_record(store, &record);
    Segment *segment = last_segment(store);
    segment->last_index = MAX(segment->last_index, snapshot->index);
}

static void
add_entries(Store *store, const GArray *entries)
{
    Segment *segment = last_segment(store);
    for (guint i = 0; i < entries->len; i++) {
        const StoreEntry *entry = &g_array_index(entries, StoreEntry, i);
        gsize length;
        const uint8_t *payload = g_bytes_get_data(entry->data, &length);
        Record record = {
            .type = RECORD_ENTRY,
            .index = entry->index,
            .term = entry->term,
            .vote_or_kind = entry->kind,
            .payload = payload,
            .payload_bytes = (uint32_t)length,
        };
        add_record(store, &record);
        segment->last_index = MAX(segment->last_index, entry->index);
    }
}

static int
write_snapshot_file(Store *store, const char *name,
                    const StoreSnapshot *snapshot)
{
    const StoreFiles *files = &store->files;
    gsize length;
    const uint8_t *payload = g_bytes_get_data(snapshot->data, &length);
    Record record = {
        .type = RECORD_SNAPSHOT,
        .index = snapshot->index,
        .term = snapshot->term,
        .payload = payload,
        .payload_bytes = (uint32_t)length,
    };
    GByteArray *bytes = g_byte_array_new();
    Record_Write(bytes, &record, snapshot->index, 0);
    int file = files->open(files->context, name, true);
    int result = file < 0 ? file : 0;
    if (result == 0) {
        result = write_all(store, file, bytes->data, bytes->len, 0);
    }
    if (result == 0) {
        result = files->sync(files->context, file);
    }
    if (file >= 0) {
        files->close(files->context, file);
    }
    g_byte_array_unref(bytes);
    return result;
}

/* Removes a file, unless an earlier attempt did, and syncs the folder. Without
 * a sync after each removal, a crash could leave a gap in the sequence of
 * segments. */
static int
remove_and_sync(Store *store, const char *prefix, uint64_t number)
{
    const StoreFiles *files = &store->files;
    char name[STORE_NAME_BYTES];
    StoreLoad_Name(name, prefix, number);
    int result = files->remove(files->context, name);
    return result != 0 && result != -ENOENT
               ? result
               : files->sync_folder(files->context);
}

/* Removes the previous snapshot and the segments whose entries the current
 * snapshot covers. */
static int
remove_covered_files(Store *store, uint64_t previous_snapshot, Error *err)
{
    int result = 0;
    if (previous_snapshot != 0 && previous_snapshot != store->snapshot_index) {
        result =
            remove_and_sync(store, STORE_SNAPSHOT_PREFIX, previous_snapshot);
    }
    while (result == 0 && store->segments->len > 1) {
        Segment oldest = g_array_index(store->segments, Segment, 0);
        if (oldest.last_index > store->snapshot_index) {
            break;
        }
        result = remove_and_sync(store, STORE_SEGMENT_PREFIX, oldest.number);
        if (result == 0) {
            g_array_remove_index(store->segments, 0);
        }
    }
    return result == 0 ? ERR_OK
                       : set_failed(store, result, "compact the log", err);
}

static int
save_snapshot(Store *store, const StoreSnapshot *snapshot, Error *err)
{
    const StoreFiles *files = &store->files;
    char name[STORE_NAME_BYTES];
    StoreLoad_Name(name, STORE_SNAPSHOT_PREFIX, snapshot->index);
    char temporary[STORE_NAME_BYTES + sizeof(STORE_TEMPORARY_SUFFIX)];
    g_snprintf(temporary, sizeof(temporary), "%s%s", name,
               STORE_TEMPORARY_SUFFIX);
    int result = write_snapshot_file(store, temporary, snapshot);
    if (result == 0) {
        result = files->rename(files->context, temporary, name);
    }
    if (result == 0) {
        result = files->sync_folder(files->context);
    }
    if (result != 0) {
        return set_failed(store, result, "save a snapshot", err);
    }
    store->snapshot_index = snapshot->index;
    return ERR_OK;
}

static int
write_snapshot(Store *store, const StoreBatch *batch, Error *err)
{
    uint64_t previous = store->snapshot_index;
    store->unused = false; /* it may be the only segment that remains */
    int result = flush_buffer(store, err);
    if (result == ERR_OK) {
        result = save_snapshot(store, &batch->snapshot, err);
    }
    if (result == ERR_OK && batch->reset) {
        add_reset(store, &batch->snapshot);
        result = flush_buffer(store, err);
    }
    if (result == ERR_OK) {
        result = Store_Sync(store, err);
    }
    return result == ERR_OK ? remove_covered_files(store, previous, err)
                            : result;
}

int
Store_Write(Store *store, const StoreBatch *batch, Error *err)
{
    if (store->failed) {
        return Error_Set(err, ERR_IO, "An earlier write or sync failed.");
    }
    int result = ERR_OK;
    if (store->segment_bytes > STORE_SEGMENT_BYTES) {
        result = Store_Sync(store, err);
        if (result == ERR_OK) {
            result = start_segment(store, err);
        }
    }
    store->sync_recorded = false;
    if (result == ERR_OK && batch->has_state) {
        add_state(store, batch->term, batch->vote);
    }
    if (result == ERR_OK && batch->snapshot.index != 0) {
        result = write_snapshot(store, batch, err);
    }
    if (result == ERR_OK && batch->entries != NULL) {
        add_entries(store, batch->entries);
    }
    return result == ERR_OK ? flush_buffer(store, err) : result;
}

/* Truncates the last segment to what is known to be durable, or removes it if
 * that is nothing, or only what a recovery wrote. */
static int
drop_unsynced(Store *store)
{
    const StoreFiles *files = &store->files;
    if (store->tail_dropped) {
        return 0;
    }
    uint64_t number = last_segment(store)->number;
    if (store->segment_file >= 0) {
        files->close(files->context, store->segment_file);
        store->segment_file = -1;
    }
    if (store->synced_bytes == 0 || store->unused) {
        int result = remove_and_sync(store, STORE_SEGMENT_PREFIX, number);
        if (result == 0) {
            g_array_set_size(store->segments, store->segments->len - 1);
            store->tail_dropped = true;
        }
        return result;
    }
    char name[STORE_NAME_BYTES];
    StoreLoad_Name(name, STORE_SEGMENT_PREFIX, number);
    int file = files->open(files->context, name, false);
    int result = file < 0 ? file : 0;
    if (result == 0) {
        result = files->truncate(files->context, file, store->synced_bytes);
    }
    if (result == 0) {
        result = files->sync(files->context, file);
    }
    if (file >= 0) {
        files->close(files->context, file);
    }
    store->tail_dropped = result == 0;
    return result;
}

int
Store_Recover(Store *store, Error *err)
{
    if (!store->failed) {
        return ERR_OK;
    }
    g_byte_array_set_size(store->buffer, 0);
    int result = drop_unsynced(store);
    if (result != 0) {
        return set_failed(store, result, "drop unsynced records", err);
    }
    store->failed = false;
    store->sync_recorded = false;
    result = start_segment(store, err);
    store->unused = result == ERR_OK && store->segments->len > 1;
    return result;
}

static Store *
fail_open(Store *store, StoreImage *image)
{
    StoreImage_Clear(image);
    Store_Close(store);
    return NULL;
}

Store *
Store_Open(const StoreFiles *files, uint32_t replica, uint64_t new_disk_id,
           StoreImage *image, Error *err)
{
    Store *store = g_new0(Store, 1);
    store->files = *files;
    store->replica = replica;
    store->segment_file = -1;
    store->segments = g_array_new(FALSE, FALSE, sizeof(Segment));
    store->buffer = g_byte_array_new();
    *image = (StoreImage){.entries = StoreEntry_NewArray()};
    if (StoreLoad_Read(store, image, err) != ERR_OK) {
        return fail_open(store, image);
    }
    if (image->disk_id == 0) {
        image->replica = replica;
        image->disk_id = new_disk_id;
    }
    store->disk_id = image->disk_id;
    store->term = image->term;
    store->vote = image->vote;
    int result = start_segment(store, err);
    if (result == ERR_OK && image->entries->len == 0 &&
        image->snapshot.index != 0) {
        add_reset(store, &image->snapshot);
        result = flush_buffer(store, err);
    }
    if (result == ERR_OK) {
        result = Store_Sync(store, err);
    }
    return result == ERR_OK ? store : fail_open(store, image);
}

void
Store_Close(Store *store)
{
    if (store->segment_file >= 0) {
        Store_MarkSynced(store);
        store->files.close(store->files.context, store->segment_file);
    }
    store->files.free(store->files.context);
    g_array_unref(store->segments);
    g_byte_array_unref(store->buffer);
    g_free(store);
}

void
StoreImage_Clear(StoreImage *image)
{
    g_clear_pointer(&image->snapshot.data, g_bytes_unref);
    g_clear_pointer(&image->entries, g_array_unref);
}

void
StoreBatch_Clear(StoreBatch *batch)
{
    g_clear_pointer(&batch->snapshot.data, g_bytes_unref);
    g_clear_pointer(&batch->entries, g_array_unref);
}
