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
    int64_t last_id; /**< Id of the newest forwarded event; -1 if none. */
    uint64_t forwarded_count;
} Events;

#define EVENTS_INIT ((Events){.last_id = -1})

/** Moves complete events from @p in to @p out. Drops events whose id is not
 * higher than last_id.
 * @return false when an event exceeds EVENT_MAX_BYTES. */
bool Events_Forward(Events *events, struct evbuffer *in, struct evbuffer *out);

#endif
