/** @file
 * Bytes in libevent's buffers, which keep each piece that is moved to them in
 * the block that it came in.
 */
#ifndef LAURELLIFT_KERNEL_BUFFER_H
#define LAURELLIFT_KERNEL_BUFFER_H

#include <stddef.h>

#include <event2/buffer.h>

/** Moves all bytes of @p in to the end of @p out. They are copied, so that
 * small pieces share blocks. */
void Buffer_AppendPacked(struct evbuffer *out, struct evbuffer *in);

/** Returns the number of bytes that the blocks of a buffer take, however it
 * was filled. The first block counts for what has not been drained of it. */
size_t Buffer_AllocatedBytes(struct evbuffer *buffer);

/** Size of the blocks that libevent fills with small pieces. */
#define BUFFER_BLOCK_BYTES 4096

#endif
