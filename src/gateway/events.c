/** @file
 * Splits an event stream into events.
 */
#include "gateway/events.h"

#include <stdlib.h>
#include <string.h>

#define FIELD_ID "id:"

/* Returns the id of an event; -1 if it has none. */
static int64_t
event_id(const char *event, size_t length)
{
    const char *end = event + length;
    for (const char *line = event; line < end;) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        size_t size = (size_t)((line_end == NULL ? end : line_end) - line);
        if (size > strlen(FIELD_ID) &&
            strncmp(line, FIELD_ID, strlen(FIELD_ID)) == 0) {
            return strtoll(line + strlen(FIELD_ID), NULL, 10);
        }
        line += size + 1;
    }
    return -1;
}

/* Returns the length of the first event with its empty line; 0 if it is
 * incomplete. */
static size_t
event_length(struct evbuffer *in)
{
    struct evbuffer_ptr lf = evbuffer_search(in, "\n\n", 2, NULL);
    struct evbuffer_ptr crlf = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (lf.pos >= 0 && (crlf.pos < 0 || lf.pos < crlf.pos)) {
        return (size_t)lf.pos + 2;
    }
    return crlf.pos >= 0 ? (size_t)crlf.pos + 4 : 0;
}

bool
Events_Forward(Events *events, struct evbuffer *in, struct evbuffer *out)
{
    size_t length;
    while ((length = event_length(in)) > 0) {
        if (length > EVENT_MAX_BYTES) {
            return false;
        }
        const char *event =
            (const char *)evbuffer_pullup(in, (ev_ssize_t)length);
        int64_t id = event_id(event, length);
        if (id >= 0 && id <= events->last_id) {
            evbuffer_drain(in, length);
            continue;
        }
        if (id >= 0) {
            events->last_id = id;
        }
        events->forwarded_count++;
        evbuffer_remove_buffer(in, out, length);
    }
    return evbuffer_get_length(in) <= EVENT_MAX_BYTES;
}
