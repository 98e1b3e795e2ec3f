/** @file
 * Frames on a byte stream. Each consists of a four-byte big-endian length
 * and a packed Wire__Frame of that length.
 */
#ifndef LAURELLIFT_WIRE_FRAME_H
#define LAURELLIFT_WIRE_FRAME_H

#include <stdbool.h>

#include <event2/buffer.h>

#include "kernel/error.h"
#include "wire/generated/wire.pb-c.h"

/** Maximum size of a packed Wire__Frame, in bytes. */
#define FRAME_MAX_BYTES (32u * 1024 * 1024)
#define FRAME_HEADER_BYTES 4

/** Appends a frame to @p out.
 * @return ERR_OK, ERR_NO_MEMORY, or ERR_TOO_LARGE for a frame larger than
 * FRAME_MAX_BYTES. */
int Frame_Write(struct evbuffer *out, const Wire__Frame *frame);

/** Removes the next complete frame from @p in.
 * @param frame  set to the frame, or to NULL while it is incomplete. Free it
 *               with wire__frame__free_unpacked(frame, NULL).
 * @return ERR_OK, ERR_TOO_LARGE or ERR_CORRUPT. */
int Frame_Read(struct evbuffer *in, Wire__Frame **frame, Error *err);

/** Returns true for frames that carry requests, answers, rule files or log
 * snapshots. A link sends them after all queued control frames. */
bool Frame_IsBulk(const Wire__Frame *frame);

/** Returns the request id in the frame, or NULL when it has none. */
const Wire__RequestId *Frame_RequestId(const Wire__Frame *frame);

#endif
