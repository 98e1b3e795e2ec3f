/** @file
 * A data folder in memory that keeps apart what was written and what was
 * synced, and fails on demand. A crash keeps all that was synced, and of the
 * rest a part: single sectors of writes, the first of the folder's changes.
 */
#ifndef LAURELLIFT_TEST_FUZZ_MEM_FILES_H
#define LAURELLIFT_TEST_FUZZ_MEM_FILES_H

#include "store/files.h"

/** Unit in which a torn write reaches the disk. */
#define MEM_SECTOR_BYTES 64

typedef struct MemFolder MemFolder;

/** Decides whether something happens; called for each doubtful part. */
typedef bool (*MemDecide)(void *arg);

MemFolder *MemFolder_New(void);
void MemFolder_Free(MemFolder *folder);

/** The operations of the folder; their `free` leaves it alive. */
StoreFiles MemFolder_Files(MemFolder *folder);

/** After @p operations more writes or syncs, one of them fails with
 * ENOSPC, once; a failing write may leave a part. 0: never. */
void MemFolder_FailAfter(MemFolder *folder, unsigned operations);

/** Writes are cut to at most @p bytes; 0: whole. */
void MemFolder_ShortWrites(MemFolder *folder, size_t bytes);

/** Loses what was not synced, but for what @p decide keeps. */
void MemFolder_Crash(MemFolder *folder, MemDecide decide, void *arg);

/** Makes all durable, as time does. */
void MemFolder_SyncAll(MemFolder *folder);

/** The durable and written content of a file, to be damaged by tests; NULL
 * when there is no such file. */
GByteArray *MemFolder_Content(MemFolder *folder, const char *name);

/** The names in the folder, sorted. */
GPtrArray *MemFolder_Names(MemFolder *folder);

#endif
