/** @file
 * Splits an event stream into events.
 */
#include "gateway/events.h"

#include <stdlib.h>
#include <string.h>

#define FIELD_ID "id:"
#define FIELD_DATA "data:"
/* Number of equal differences of ids after which they count as equidistant. */
#define STEPS_MIN 2
#define STEP_VARIES (-1)

/* Returns the value of an event's field, which ends with its line; NULL if the
 * event does not have the field. */
static const char *
find_field(const char *event, size_t length, const char *field)
{
    const char *end = event + length;
    for (const char *line = event; line < end;) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        size_t size = (size_t)((line_end == NULL ? end : line_end) - line);
        if (size > strlen(field) && strncmp(line, field, strlen(field)) == 0) {
            return line + strlen(field);
        }
        line += size + 1;
    }
    return NULL;
}

/* Returns the id of an event; -1 if it has none. */
static int64_t
event_id(const char *event, size_t length)
{
    const char *id = find_field(event, length, FIELD_ID);
    return id == NULL ? -1 : strtoll(id, NULL, 10);
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
Events_CanGoOn(const Events *events)
{
    return !events->unnumbered;
}

void
Events_ExpectRest(Events *events)
{
    events->expect_rest = true;
}

/* Returns whether an event may be the first one of the rest. */
static bool
follows(const Events *events, int64_t id)
{
    if (events->last_id < 0) {
        return true; /* no event with data was forwarded */
    }
    bool equidistant =
        events->step_count >= STEPS_MIN && events->step != STEP_VARIES;
    return id >= 0 && (!equidistant || id - events->last_id <= events->step);
}

static void
count_id(Events *events, int64_t id)
{
    if (events->last_id >= 0 && events->forwarded_count > 0) {
        int64_t step = id - events->last_id;
        bool same = events->step_count == 0 || events->step == step;
        events->step = same ? step : STEP_VARIES;
        events->step_count++;
    }
    events->last_id = id;
}

EventsResult
Events_Forward(Events *events, struct evbuffer *in, struct evbuffer *out)
{
    size_t length;
    while ((length = event_length(in)) > 0) {
        if (length > EVENT_MAX_BYTES) {
            return EVENTS_TOO_LONG;
        }
        const char *event =
            (const char *)evbuffer_pullup(in, (ev_ssize_t)length);
        int64_t id = event_id(event, length);
        bool has_data = find_field(event, length, FIELD_DATA) != NULL;
        if (id >= 0 && id <= events->last_id) {
            evbuffer_drain(in, length);
            continue;
        }
        if (events->expect_rest && has_data) {
            if (!follows(events, id)) {
                return EVENTS_NOT_THE_REST;
            }
            events->expect_rest = false;
        }
        if (id >= 0) {
            count_id(events, id);
        }
        events->unnumbered = events->unnumbered || (id < 0 && has_data);
        events->forwarded_count++;
        evbuffer_remove_buffer(in, out, length);
    }
    return evbuffer_get_length(in) <= EVENT_MAX_BYTES ? EVENTS_FORWARDED
                                                      : EVENTS_TOO_LONG;
}
