/** @file
 * Chunks of a body (RFC 9112, section 7.1).
 */
#ifndef LAURELLIFT_HTTP1_CHUNK_H
#define LAURELLIFT_HTTP1_CHUNK_H

#include <event2/buffer.h>

/** Moves all bytes of @p data to the end of @p out as one chunk. Nothing is
 * added if there are none. */
void H1Chunk_Append(struct evbuffer *out, struct evbuffer *data);

/** Ends a chunked body without trailer fields. */
void H1Chunk_AppendLast(struct evbuffer *out);

#endif
