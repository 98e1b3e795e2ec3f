/** @file
 * StoreWriter: runs a store on a thread of its own. Batches that arrive
 * while the disk is busy are written together and share one sync.
 */
#ifndef LAURELLIFT_STORE_WRITER_H
#define LAURELLIFT_STORE_WRITER_H

#include <event2/event.h>

#include "store/store.h"

typedef struct StoreWriter StoreWriter;

/** Told on the event loop's thread, in order, once for each batch.
 * @param result  ERR_OK when the batch is durable, or ERR_IO with a
 *                sentence in @p why; after it every batch fails. */
typedef void (*StoreWriterDone)(void *owner, uint64_t sequence, int result,
                                const char *why);

/** Starts the thread. It owns @p store until StoreWriter_Close. */
StoreWriter *StoreWriter_Start(struct event_base *base, Store *store,
                               StoreWriterDone done, void *owner, Error *err);

/** Hands over a batch; its content belongs to the writer afterwards. */
void StoreWriter_Submit(StoreWriter *writer, const StoreBatch *batch);

/** Writes what was submitted, ends the thread and closes the store. No
 * further call of `done`. */
void StoreWriter_Close(StoreWriter *writer);

#endif
