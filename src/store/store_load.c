/** @file
 * Store: reads a data folder, truncates a torn tail and reports damage.
 *
 * The records of a segment are read up to the first invalid one. In the
 * newest segment an invalid record is a torn tail, which an interrupted write
 * leaves behind, unless the file shows that this position had been durable:
 * either a later valid record states it, or the invalid record is the first
 * one and the file is longer than that record. All other invalid records are
 * damage.
 */
#include <endian.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/log.h"
#include "store/state.h"

#define PART "store"

/* State of the log after the records read so far. */
typedef struct Replay {
    Store *store;
    StoreImage *image;
    bool has_base;
    /* base is the start of the log or was set by a RECORD_RESET, so an entry
     * record does not change it. */
    bool base_is_fixed;
    uint64_t base;                  /* index before the first entry */
    char name[STORE_NAME_BYTES];    /* file name of the current segment */
    uint64_t offset;                /* of the current record in the segment */
    uint64_t last_index_in_segment; /* highest index in the segment */
} Replay;

void
StoreLoad_Name(char name[STORE_NAME_BYTES], const char *prefix,
               uint64_t number)
{
    snprintf(name, STORE_NAME_BYTES, "%s%016llx", prefix,
             (unsigned long long)number);
}

static int
report_damage(Error *err, const char *name, uint64_t offset,
              const char *problem)
{
    return Error_Set(err, ERR_CORRUPT,
                     "File %s is damaged at offset %llu: %s.", name,
                     (unsigned long long)offset, problem);
}

static int
read_file(Store *store, const char *name, GByteArray *bytes, Error *err)
{
    const StoreFiles *files = &store->files;
    int file = files->open(files->context, name, false);
    if (file < 0) {
        return Error_Set(err, ERR_IO, "Cannot open file %s: %s.", name,
                         strerror(-file));
    }
    int64_t size = files->size(files->context, file);
    int64_t done = 0;
    g_byte_array_set_size(bytes, size < 0 ? 0 : (guint)size);
    while (done < size) {
        ssize_t count = files->read(files->context, file, bytes->data + done,
                                    (size_t)(size - done), (uint64_t)done);
        if (count <= 0) {
            size = count < 0 ? count : -EIO;
            break;
        }
        done += count;
    }
    files->close(files->context, file);
    if (size < 0) {
        return Error_Set(err, ERR_IO, "Cannot read file %s: %s.", name,
                         strerror((int)-size));
    }
    return ERR_OK;
}

/* Returns true when a valid record after @p offset states that the byte at
 * @p offset was durable. */
static bool
was_synced(const GByteArray *bytes, uint64_t number, uint64_t offset)
{
    Record record;
    for (uint64_t position = offset + 1; position < bytes->len; position++) {
        if (Record_Read(bytes->data, bytes->len, number, position, &record) &&
            record.synced_bytes > offset)
        {
            return true;
        }
    }
    return false;
}

static uint64_t
last_index(const Replay *replay)
{
    return replay->base + replay->image->entries->len;
}

static int
replay_entry(Replay *replay, const Record *record, Error *err)
{
    GArray *entries = replay->image->entries;
    bool replaces_all =
        !replay->base_is_fixed && record->index <= replay->base;
    if (!replay->has_base || replaces_all) {
        /* The segments with the entries before this one were removed. */
        replay->has_base = true;
        replay->base = record->index - 1;
        g_array_set_size(entries, 0);
    }
    if (record->index == 0 || record->index <= replay->base ||
        record->index > last_index(replay) + 1)
    {
        return report_damage(
            err, replay->name, replay->offset,
            "the entry's index does not follow the previous one");
    }
    g_array_set_size(entries, (guint)(record->index - replay->base - 1));
    GBytes *data = g_bytes_new(record->payload, record->payload_bytes);
    StoreEntry entry = {
        .index = record->index,
        .term = record->term,
        .kind = record->vote_or_kind,
        .data = data,
    };
    StoreEntry_Append(entries, &entry);
    g_bytes_unref(data);
    replay->last_index_in_segment =
        MAX(replay->last_index_in_segment, record->index);
    return ERR_OK;
}

static int
replay_identity(Replay *replay, const Record *record, Error *err)
{
    if (record->payload_bytes != STORE_IDENTITY_BYTES) {
        return report_damage(err, replay->name, replay->offset,
                             "the identity has the wrong length");
    }
    uint32_t replica;
    uint64_t disk_id;
    memcpy(&replica, record->payload, sizeof(replica));
    memcpy(&disk_id, record->payload + sizeof(replica), sizeof(disk_id));
    StoreImage *image = replay->image;
    image->replica = le32toh(replica);
    if (image->disk_id != 0 && image->disk_id != le64toh(disk_id)) {
        return Error_Set(err, ERR_CONFLICT, "File %s belongs to another disk.",
                         replay->name);
    }
    image->disk_id = le64toh(disk_id);
    if (image->replica != replay->store->replica) {
        return Error_Set(err, ERR_CONFLICT,
                         "File %s belongs to control host %u; expected %u.",
                         replay->name, image->replica, replay->store->replica);
    }
    image->term = record->term;
    image->vote = record->vote_or_kind;
    return ERR_OK;
}

static int
replay_record(Replay *replay, const Record *record, Error *err)
{
    switch (record->type) {
    case RECORD_SEGMENT:
        return replay_identity(replay, record, err);
    case RECORD_STATE:
        replay->image->term = record->term;
        replay->image->vote = record->vote_or_kind;
        return ERR_OK;
    case RECORD_ENTRY:
        return replay_entry(replay, record, err);
    case RECORD_RESET:
        g_array_set_size(replay->image->entries, 0);
        replay->has_base = true;
        replay->base_is_fixed = true;
        replay->base = record->index;
        replay->last_index_in_segment =
            MAX(replay->last_index_in_segment, record->index);
        return ERR_OK;
    case RECORD_SYNCED:
        return ERR_OK;
    default:
        return report_damage(err, replay->name, replay->offset,
                             "unknown record type");
    }
}

/* Truncates file @p name of @p size bytes to @p length and syncs it. */
static int
truncate_tail(Store *store, const char *name, uint64_t length, uint64_t size,
              Error *err)
{
    const StoreFiles *files = &store->files;
    if (length < size) {
        LOG_WARN(PART, "Torn tail truncated. file=%s offset=%llu bytes=%llu",
                 name, (unsigned long long)length,
                 (unsigned long long)(size - length));
    }
    int file = files->open(files->context, name, false);
    int result = file < 0 ? file : 0;
    if (result == 0 && length < size) {
        result = files->truncate(files->context, file, length);
    }
    if (result == 0) {
        result = files->sync(files->context, file);
    }
    if (file >= 0) {
        files->close(files->context, file);
    }
    if (result != 0) {
        return Error_Set(err, ERR_IO, "Cannot truncate file %s: %s.", name,
                         strerror(-result));
    }
    return ERR_OK;
}

/* Handles the end of a segment's valid records: truncates or removes the file
 * after a torn tail, or reports damage. */
static int
finish_segment(Replay *replay, const GByteArray *bytes, uint64_t number,
               bool newest, Error *err)
{
    uint64_t offset = replay->offset;
    bool torn = offset < bytes->len;
    uint64_t first_bytes = RECORD_HEADER_BYTES + STORE_IDENTITY_BYTES;
    if (!newest) {
        return torn ? report_damage(err, replay->name, offset,
                                    "invalid record in an older segment")
                    : ERR_OK;
    }
    if (torn && offset == 0 && bytes->len > first_bytes) {
        return report_damage(err, replay->name, offset,
                             "invalid first record in a longer file");
    }
    if (torn && was_synced(bytes, number, offset)) {
        return report_damage(err, replay->name, offset,
                             "invalid record before valid ones");
    }
    if (offset == 0) {
        StoreFiles *files = &replay->store->files;
        int result = files->remove(files->context, replay->name);
        return result == 0
                   ? ERR_OK
                   : Error_Set(err, ERR_IO, "Cannot remove file %s: %s.",
                               replay->name, strerror(-result));
    }
    return truncate_tail(replay->store, replay->name, offset, bytes->len, err);
}

static int
replay_segment(Replay *replay, uint64_t number, bool newest, Error *err)
{
    const char *name = replay->name;
    StoreLoad_Name(replay->name, STORE_SEGMENT_PREFIX, number);
    replay->offset = 0;
    replay->last_index_in_segment = 0;
    GByteArray *bytes = g_byte_array_new();
    int result = read_file(replay->store, name, bytes, err);
    Record record;
    while (result == ERR_OK && Record_Read(bytes->data, bytes->len, number,
                                           replay->offset, &record))
    {
        bool first = replay->offset == 0;
        if (first != (record.type == RECORD_SEGMENT)) {
            result = report_damage(err, name, replay->offset,
                                   "segment header missing or repeated");
            break;
        }
        result = replay_record(replay, &record, err);
        replay->offset += Record_Size(&record);
    }
    if (result == ERR_OK) {
        result = finish_segment(replay, bytes, number, newest, err);
    }
    if (result == ERR_OK && replay->offset > 0) {
        Segment segment = {.number = number,
                           .last_index = replay->last_index_in_segment};
        g_array_append_val(replay->store->segments, segment);
    }
    g_byte_array_unref(bytes);
    return result;
}

static int
read_snapshot(Store *store, uint64_t index, StoreSnapshot *snapshot,
              Error *err)
{
    char name[STORE_NAME_BYTES];
    StoreLoad_Name(name, STORE_SNAPSHOT_PREFIX, index);
    GByteArray *bytes = g_byte_array_new();
    int result = read_file(store, name, bytes, err);
    Record record;
    if (result == ERR_OK &&
        (!Record_Read(bytes->data, bytes->len, index, 0, &record) ||
         record.type != RECORD_SNAPSHOT || record.index != index))
    {
        result = report_damage(err, name, 0, "no valid snapshot record");
    }
    if (result == ERR_OK) {
        snapshot->index = record.index;
        snapshot->term = record.term;
        snapshot->data = g_bytes_new(record.payload, record.payload_bytes);
        store->snapshot_index = record.index;
    }
    g_byte_array_unref(bytes);
    return result;
}

/* Removes the entries that the snapshot covers. Removes all entries when they
 * do not include the snapshot's last index and term. */
static int
remove_covered_entries(Replay *replay, Error *err)
{
    StoreImage *image = replay->image;
    uint64_t index = image->snapshot.index;
    GArray *entries = image->entries;
    if (replay->base > index) {
        return Error_Set(err, ERR_CORRUPT,
                         "Snapshot up to index %llu is missing.",
                         (unsigned long long)replay->base);
    }
    uint64_t covered = index - replay->base;
    if (covered == 0) {
        return ERR_OK;
    }
    if (covered > entries->len ||
        g_array_index(entries, StoreEntry, covered - 1).term !=
            image->snapshot.term)
    {
        g_array_set_size(entries, 0);
        return ERR_OK;
    }
    g_array_remove_range(entries, 0, (guint)covered);
    return ERR_OK;
}

static bool
parse_name(const char *name, const char *prefix, uint64_t *number)
{
    char *end;
    if (!g_str_has_prefix(name, prefix)) {
        return false;
    }
    *number = strtoull(name + strlen(prefix), &end, 16);
    return *end == '\0' && end > name + strlen(prefix);
}

static int
compare_numbers(gconstpointer a, gconstpointer b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

/* Finds the numbers of all segments, sorted, and of the newest snapshot.
 * Removes temporary files. */
static int
list_folder(Store *store, GArray *segments, uint64_t *snapshot, Error *err)
{
    StoreFiles *files = &store->files;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    int result = files->list(files->context, names);
    for (guint i = 0; result == 0 && i < names->len; i++) {
        const char *name = names->pdata[i];
        uint64_t number;
        if (g_str_has_suffix(name, STORE_TEMPORARY_SUFFIX)) {
            files->remove(files->context, name);
        }
        else if (parse_name(name, STORE_SEGMENT_PREFIX, &number)) {
            g_array_append_val(segments, number);
        }
        else if (parse_name(name, STORE_SNAPSHOT_PREFIX, &number)) {
            *snapshot = MAX(*snapshot, number);
        }
    }
    g_ptr_array_unref(names);
    g_array_sort(segments, compare_numbers);
    if (result != 0) {
        return Error_Set(err, ERR_IO, "Cannot list the data folder: %s.",
                         strerror(-result));
    }
    return ERR_OK;
}

static int
check_file_numbers(const GArray *segments, uint64_t snapshot, Error *err)
{
    if (segments->len == 0) {
        return snapshot == 0
                   ? ERR_OK
                   : Error_Set(
                         err, ERR_CORRUPT,
                         "The data folder has a snapshot but no log file.");
    }
    uint64_t first = g_array_index(segments, uint64_t, 0);
    for (guint i = 0; i < segments->len; i++) {
        uint64_t expected = first + i;
        if (g_array_index(segments, uint64_t, i) != expected) {
            return Error_Set(err, ERR_CORRUPT, "File %s%016llx is missing.",
                             STORE_SEGMENT_PREFIX,
                             (unsigned long long)expected);
        }
    }
    if (first != 1 && snapshot == 0) {
        return Error_Set(err, ERR_CORRUPT,
                         "The log begins with file %s%016llx and there is "
                         "no snapshot.",
                         STORE_SEGMENT_PREFIX, (unsigned long long)first);
    }
    return ERR_OK;
}

int
StoreLoad_Read(Store *store, StoreImage *image, Error *err)
{
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t snapshot = 0;
    int result = list_folder(store, numbers, &snapshot, err);
    if (result == ERR_OK) {
        result = check_file_numbers(numbers, snapshot, err);
    }
    if (result == ERR_OK && snapshot != 0) {
        result = read_snapshot(store, snapshot, &image->snapshot, err);
    }
    bool has_first_segment =
        numbers->len > 0 && g_array_index(numbers, uint64_t, 0) == 1;
    Replay replay = {
        .store = store,
        .image = image,
        .has_base = has_first_segment,
        .base_is_fixed = has_first_segment,
    };
    for (guint i = 0; result == ERR_OK && i < numbers->len; i++) {
        uint64_t number = g_array_index(numbers, uint64_t, i);
        result = replay_segment(&replay, number, i + 1 == numbers->len, err);
    }
    if (result == ERR_OK && !replay.has_base) {
        replay.base = snapshot;
    }
    if (result == ERR_OK) {
        result = remove_covered_entries(&replay, err);
    }
    g_array_unref(numbers);
    return result;
}
