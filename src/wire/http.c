/** @file
 * Helper for connections of evhttp clients.
 */
#include "wire/http.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

/* Bytes received beyond the largest head, without which reading could stop
 * just before evhttp notices that a head is too large. */
#define HEAD_SLACK_BYTES (16 * 1024)

void
Http_LimitInput(struct evhttp_connection *connection, size_t max_head_bytes,
                size_t max_input_bytes)
{
    evhttp_connection_set_max_headers_size(connection,
                                           (ev_ssize_t)max_head_bytes);
    size_t input = max_head_bytes + HEAD_SLACK_BYTES;
    if (input < max_input_bytes) {
        input = max_input_bytes;
    }
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                             EV_READ, 0, input);
}
