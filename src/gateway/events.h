/** @file
 * Splits an event stream (text/event-stream) into complete events and drops
 * those that were forwarded before. Does no I/O.
 */
#ifndef LAURELLIFT_GATEWAY_EVENTS_H
#define LAURELLIFT_GATEWAY_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/buffer.h>

/** Largest event, in bytes. */
#define EVENT_MAX_BYTES (1024 * 1024)

typedef struct Events {
    int64_t last_id; /**< Id of the newest forwarded event; -1: none */
    uint64_t forwarded_count; /**< Events that were forwarded. */
    int64_t step;             /**< Difference of successive ids; -1: varies. */
    unsigned step_count;      /**< Differences that were seen. */
    bool unnumbered;  /**< An event with data and without id was forwarded. */
    bool expect_rest; /**< The next event is the first one of a rest. */
} Events;

#define EVENTS_INIT ((Events){.last_id = -1})

typedef enum EventsResult {
    EVENTS_FORWARDED,
    EVENTS_TOO_LONG,     /**< An event exceeds EVENT_MAX_BYTES. */
    EVENTS_NOT_THE_REST, /**< The events do not follow the forwarded ones. */
} EventsResult;

/** Returns whether the rest of the stream can be told from its beginning: each
 * forwarded event with data had an id. */
bool Events_CanGoOn(const Events *events);

/** Announces the events of another run, which follow the forwarded ones. The
 * first that is not a repetition must have an id, and the next one if the ids
 * were equidistant. */
void Events_ExpectRest(Events *events);

/** Moves complete events from @p in to @p out. Drops events whose id is not
 * higher than last_id. */
EventsResult Events_Forward(Events *events, struct evbuffer *in,
                            struct evbuffer *out);

#endif
