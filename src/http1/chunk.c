/** @file
 * Chunks of a body.
 */
#include "http1/chunk.h"

#include <glib.h>

#include "kernel/buffer.h"

#define SIZE_LINE_BYTES 24

void
H1Chunk_Append(struct evbuffer *out, struct evbuffer *data)
{
    size_t length = evbuffer_get_length(data);
    if (length == 0) {
        return;
    }
    char line[SIZE_LINE_BYTES];
    int size = g_snprintf(line, sizeof(line), "%zx\r\n", length);
    evbuffer_add(out, line, (size_t)size);
    Buffer_AppendPacked(out, data);
    evbuffer_add(out, "\r\n", 2);
}

void
H1Chunk_AppendLast(struct evbuffer *out)
{
    evbuffer_add(out, "0\r\n\r\n", 5);
}
