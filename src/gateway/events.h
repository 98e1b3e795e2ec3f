/** @file
 * Splits an event stream (text/event-stream) into whole events, and leaves
 * out those that were passed on before. Pure.
 */
#ifndef LAURELLIFT_GATEWAY_EVENTS_H
#define LAURELLIFT_GATEWAY_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/buffer.h>

/** Largest event, in bytes. */
#define EVENT_MAX_BYTES (1024 * 1024)

typedef struct Events {
    int64_t last_id;          /**< Of the newest event passed on; -1: none. */
    uint64_t forwarded_count; /**< Events passed on. */
} Events;

#define EVENTS_INIT ((Events){.last_id = -1})

/** Moves whole events from @p in to @p out. Events whose id is not higher
 * than last_id are dropped.
 * @return false when an event is too large. */
bool Events_Forward(Events *events, struct evbuffer *in, struct evbuffer *out);

#endif
