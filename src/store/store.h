/** @file
 * Store: the replicated log's durable state in one data folder.
 *
 * Segment files `log-N` hold checksummed records in the order they were
 * written; a snapshot file `snapshot-I` holds the state up to log index I.
 * Nothing is overwritten: an entry replaces all entries from its index on.
 * Calls are synchronous; StoreWriter runs them on a thread of its own.
 */
#ifndef LAURELLIFT_STORE_STORE_H
#define LAURELLIFT_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"
#include "store/files.h"

/** A segment is closed when it is larger than this. */
#define STORE_SEGMENT_BYTES (8u * 1024 * 1024)

/** One entry of the log. */
typedef struct StoreEntry {
    uint64_t index; /**< 1 and up, without gaps. */
    uint64_t term;
    uint32_t kind;
    GBytes *data; /**< Never NULL. */
} StoreEntry;

/** A GArray of StoreEntry that owns its bytes. */
GArray *StoreEntry_NewArray(void);

/** Adds a copy that shares the bytes. */
void StoreEntry_Append(GArray *entries, const StoreEntry *entry);

/** The state at an index. */
typedef struct StoreSnapshot {
    uint64_t index; /**< 0: there is none. */
    uint64_t term;
    GBytes *data; /**< NULL when there is none. */
} StoreSnapshot;

/** What a folder holds. */
typedef struct StoreImage {
    uint32_t replica;
    uint64_t disk_id;
    uint64_t term;
    uint32_t vote; /**< 0: none in this term. */
    StoreSnapshot snapshot;
    GArray *entries; /**< Those after the snapshot. */
} StoreImage;

/** Changes that become durable together. */
typedef struct StoreBatch {
    uint64_t sequence; /**< For the caller. */
    bool has_state;
    uint64_t term;
    uint32_t vote;
    StoreSnapshot snapshot; /**< Saved when its index is not 0. */
    bool reset;             /**< The snapshot replaces the whole log. */
    GArray *entries;        /**< StoreEntry; NULL: none. */
} StoreBatch;

typedef struct Store Store;

/** Opens a folder and reads it whole; an empty one is given the identity
 * (@p replica, @p new_disk_id). Takes over @p files.
 * @return NULL with ERR_CORRUPT in @p err for damage that is not a torn
 * tail, ERR_CONFLICT for the folder of another replica, or ERR_IO. */
Store *Store_Open(const StoreFiles *files, uint32_t replica,
                  uint64_t new_disk_id, StoreImage *image, Error *err);

/** Writes a batch without syncing it. After a failure the store refuses
 * all further writes with ERR_IO. */
int Store_Write(Store *store, const StoreBatch *batch, Error *err);

/** Makes everything written durable. */
int Store_Sync(Store *store, Error *err);

/** Notes in the segment that all of it is durable; needs no sync. */
void Store_MarkSynced(Store *store);

void Store_Close(Store *store);

/** Frees what the image and the batch own. */
void StoreImage_Clear(StoreImage *image);
void StoreBatch_Clear(StoreBatch *batch);

#endif
