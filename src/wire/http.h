/** @file
 * Helper for connections of evhttp clients.
 */
#ifndef LAURELLIFT_WIRE_HTTP_H
#define LAURELLIFT_WIRE_HTTP_H

#include <stddef.h>

#include <event2/http.h>

/** Bounds the memory that the answers on a connection take: their heads, and
 * the bytes that evhttp has not consumed. Reading stops at the latter bound,
 * and with it evhttp's time-outs, so the caller must end the request after a
 * time.
 * @param max_input_bytes  must exceed the largest chunk of a body. Raised
 * where it leaves no room beyond the largest head. */
void Http_LimitInput(struct evhttp_connection *connection,
                     size_t max_head_bytes, size_t max_input_bytes);

#endif
