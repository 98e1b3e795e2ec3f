/** @file
 * Frames on a stream: four bytes of length (big endian), then a packed
 * Wire__Frame.
 */
#ifndef LAURELLIFT_WIRE_FRAME_H
#define LAURELLIFT_WIRE_FRAME_H

#include <stdbool.h>

#include <event2/buffer.h>

#include "kernel/error.h"
#include "wire/generated/wire.pb-c.h"

/** Largest packed frame, in bytes. */
#define FRAME_MAX_BYTES (32u * 1024 * 1024)
#define FRAME_HEADER_BYTES 4

/** Appends a frame to @p out. ERR_TOO_LARGE above FRAME_MAX_BYTES. */
int Frame_Write(struct evbuffer *out, const Wire__Frame *frame);

/** Takes the next whole frame from @p in.
 * @param frame  set to the frame, or to NULL while it is incomplete; free it
 *               with wire__frame__free_unpacked(frame, NULL).
 * @return ERR_OK, ERR_TOO_LARGE or ERR_CORRUPT. */
int Frame_Read(struct evbuffer *in, Wire__Frame **frame, Error *err);

/** True for frames that carry answer or request bodies, logs or files;
 * they wait behind all others. */
bool Frame_IsBulk(const Wire__Frame *frame);

/** The request id inside the frame, or NULL for frames without one. */
const Wire__RequestId *Frame_RequestId(const Wire__Frame *frame);

#endif
