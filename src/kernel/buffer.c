/** @file
 * Bytes in libevent's buffers.
 */
#include "kernel/buffer.h"

/* Least block that libevent allocates, and the header in each. */
#define BLOCK_MIN_BYTES 1024
#define BLOCK_HEADER_BYTES 48
/* Larger blocks are mapped, and take memory only where they are filled. */
#define MAPPED_MIN_BYTES (256u * 1024)
#define PAGE_BYTES 4096
/* Blocks whose filling is read at once. */
#define EXTENTS 64

void
Buffer_AppendPacked(struct evbuffer *out, struct evbuffer *in)
{
    size_t length;
    while ((length = evbuffer_get_contiguous_space(in)) > 0) {
        evbuffer_add(out, evbuffer_pullup(in, (ev_ssize_t)length), length);
        evbuffer_drain(in, length);
    }
}

/* Returns the memory of a block, whose size is a power of two. */
static size_t
block_bytes(size_t filled)
{
    if (filled >= MAPPED_MIN_BYTES) {
        return (filled + BLOCK_HEADER_BYTES + PAGE_BYTES - 1) / PAGE_BYTES *
               PAGE_BYTES;
    }
    size_t size = BLOCK_MIN_BYTES;
    while (size < filled + BLOCK_HEADER_BYTES) {
        size *= 2;
    }
    return size;
}

size_t
Buffer_AllocatedBytes(struct evbuffer *buffer)
{
    size_t left = evbuffer_get_length(buffer);
    size_t allocated = 0;
    struct evbuffer_ptr at;
    evbuffer_ptr_set(buffer, &at, 0, EVBUFFER_PTR_SET);
    while (left > 0) {
        struct evbuffer_iovec extents[EXTENTS];
        int count = evbuffer_peek(buffer, -1, &at, extents, EXTENTS);
        size_t seen = 0;
        for (int i = 0; i < count; i++) {
            seen += extents[i].iov_len;
            allocated += block_bytes(extents[i].iov_len);
        }
        if (seen == 0 || seen >= left) {
            break;
        }
        left -= seen;
        evbuffer_ptr_set(buffer, &at, seen, EVBUFFER_PTR_ADD);
    }
    return allocated;
}
