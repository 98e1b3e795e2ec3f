/** @file
 * In-memory data folder for tests, which tracks written and synced data
 * separately and can fail on demand. A simulated crash keeps all synced data.
 * Of unsynced data it keeps a part: any sectors of the writes to a file, and a
 * prefix of the creations, renames and removals in the folder.
 */
#ifndef LAURELLIFT_TEST_FUZZ_MEM_FILES_H
#define LAURELLIFT_TEST_FUZZ_MEM_FILES_H

#include "store/files.h"

/** Size of a sector. A crash keeps or loses each unsynced sector of a write as
 * a whole. */
#define MEM_SECTOR_BYTES 64

typedef struct MemFolder MemFolder;

/** Tells whether an unsynced change survives a simulated crash. */
typedef bool (*MemSurvives)(void *arg);

MemFolder *MemFolder_New(void);
void MemFolder_Free(MemFolder *folder);

/** Returns the file operations of the folder. Their `free` does not free the
 * folder. */
StoreFiles MemFolder_Files(MemFolder *folder);

/** Makes the @p operations-th write or sync from now fail: a write with ENOSPC
 * after half of its bytes, a sync with EIO. Later operations succeed. 0
 * cancels a pending failure. */
void MemFolder_FailAfter(MemFolder *folder, unsigned operations);

/** Limits each write to @p bytes; 0 removes the limit. */
void MemFolder_LimitWrites(MemFolder *folder, size_t bytes);

/** Simulates a crash: loses the unsynced changes for which @p survives returns
 * false, and cancels a pending failure. */
void MemFolder_Crash(MemFolder *folder, MemSurvives survives, void *arg);

/** Makes all files and names durable. */
void MemFolder_SyncAll(MemFolder *folder);

/** Returns the current content of a file, which tests may modify, or NULL if
 * the file does not exist. */
GByteArray *MemFolder_Content(MemFolder *folder, const char *name);

/** Returns the names of the files, sorted. */
GPtrArray *MemFolder_Names(MemFolder *folder);

#endif
