/** @file
 * Store: durable state of the replicated log in one data folder.
 *
 * Segment files `log-N` hold checksummed records in the order of writing. A
 * snapshot file `snapshot-I` holds the state up to log index I. Records are
 * never overwritten: an entry record replaces all earlier entries from its
 * index on. Calls are synchronous; StoreWriter runs them on its own thread.
 */
#ifndef LAURELLIFT_STORE_STORE_H
#define LAURELLIFT_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"
#include "store/files.h"

/** Segment size above which the next write starts a new segment. */
#define STORE_SEGMENT_BYTES (8u * 1024 * 1024)

typedef struct StoreEntry {
    uint64_t index; /**< Position in the log. Starts at 1, without gaps. */
    uint64_t term;
    uint32_t kind; /**< Saved and returned, not interpreted. */
    GBytes *data;  /**< Never NULL. */
} StoreEntry;

/** Returns a GArray of StoreEntry that holds references to their data. */
GArray *StoreEntry_NewArray(void);

/** Appends a copy of @p entry with a new reference to its data. */
void StoreEntry_Append(GArray *entries, const StoreEntry *entry);

/** State of the log at an index, which replaces the entries up to it. */
typedef struct StoreSnapshot {
    uint64_t index; /**< 0 when there is no snapshot. */
    uint64_t term;
    GBytes *data; /**< NULL when there is no snapshot. */
} StoreSnapshot;

/** Content of a data folder, as read by Store_Open. */
typedef struct StoreImage {
    uint32_t replica;
    uint64_t disk_id;
    uint64_t term;
    uint32_t vote; /**< Replica voted for in this term; 0 when none. */
    StoreSnapshot snapshot;
    GArray *entries; /**< StoreEntry; the entries after the snapshot. */
} StoreImage;

/** Changes that are written together. */
typedef struct StoreBatch {
    uint64_t sequence; /**< Chosen by the caller, for StoreWriterDone. */
    bool has_state;    /**< Whether term and vote are saved. */
    uint64_t term;
    uint32_t vote;
    StoreSnapshot snapshot; /**< Saved unless its index is 0. */
    bool reset;             /**< Whether the snapshot replaces all entries. */
    GArray *entries;        /**< StoreEntry; may be NULL. */
} StoreBatch;

typedef struct Store Store;

/** Opens a folder and reads all of its files. An empty folder gets the
 * identity (@p replica, @p new_disk_id). Takes ownership of @p files.
 * @return NULL on failure, with ERR_CORRUPT in @p err for damage other than
 * a torn tail, ERR_CONFLICT for a folder of another replica, or ERR_IO. */
Store *Store_Open(const StoreFiles *files, uint32_t replica,
                  uint64_t new_disk_id, StoreImage *image, Error *err);

/** Writes a batch. It is sure to be durable only after Store_Sync.
 * After a failed write or sync, all further writes fail with ERR_IO until
 * Store_Recover succeeds. */
int Store_Write(Store *store, const StoreBatch *batch, Error *err);

/** Makes all written batches durable. */
int Store_Sync(Store *store, Error *err);

/** Accepts writes again after a failed write or sync, if the disk does:
 * removes what was written after the last successful sync, whose state on disk
 * is unknown, and starts a new segment. The caller then writes again all that
 * was not reported as durable.
 * @return ERR_OK, also if nothing had failed, or ERR_IO. */
int Store_Recover(Store *store, Error *err);

/** Appends a record which states that the whole segment is durable, so that
 * later damage to it is not taken for a torn tail. Does not sync the record.
 */
void Store_MarkSynced(Store *store);

void Store_Close(Store *store);

/** Releases the snapshot and the entries. */
void StoreImage_Clear(StoreImage *image);
void StoreBatch_Clear(StoreBatch *batch);

#endif
