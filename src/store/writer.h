/** @file
 * StoreWriter: runs a store on its own thread. Batches submitted during a
 * sync are written together afterwards and share the next sync.
 */
#ifndef LAURELLIFT_STORE_WRITER_H
#define LAURELLIFT_STORE_WRITER_H

#include <event2/event.h>

#include "store/store.h"

typedef struct StoreWriter StoreWriter;

/** Stands for a recovery in place of the sequence of a batch. */
#define STORE_WRITER_RECOVERY 0

/** Called on the event loop's thread once for each batch, in the order in
 * which the batches were submitted.
 * @param sequence  that of the batch, or STORE_WRITER_RECOVERY.
 * @param result  ERR_OK when the batch is durable, or the store accepts writes
 *                again; else ERR_IO with an error message in @p why. After
 *                ERR_IO all later batches fail until a recovery succeeds. */
typedef void (*StoreWriterDone)(void *owner, uint64_t sequence, int result,
                                const char *why);

/** Starts the thread. The writer owns @p store until StoreWriter_Close, which
 * closes it.
 * @return NULL and ERR_IO in @p err on failure. */
StoreWriter *StoreWriter_Start(struct event_base *base, Store *store,
                               StoreWriterDone done, void *owner, Error *err);

/** Queues a batch and takes ownership of its snapshot data and entries. */
void StoreWriter_Submit(StoreWriter *writer, const StoreBatch *batch);

/** Queues an attempt to recover the store after a failure. */
void StoreWriter_Recover(StoreWriter *writer);

/** Writes all submitted batches, stops the thread and closes the store.
 * Does not call `done` any more. */
void StoreWriter_Close(StoreWriter *writer);

#endif
