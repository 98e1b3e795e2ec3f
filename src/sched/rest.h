/** @file
 * Rest that an endpoint asks of one sender: no requests until it ends, then
 * single ones, and more with each answer. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_REST_H
#define LAURELLIFT_SCHED_REST_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Longest rest, in milliseconds. A longer one is a mistake and is cut. */
#define REST_MAX_MS (5 * 60 * 1000u)

/** No rest when zero-initialised. */
typedef struct Rest {
    TimeUs until;     /**< End of the rest; 0 without one. */
    uint32_t allowed; /**< Requests allowed after the next answer; 0: any. */
    uint32_t left;    /**< Requests that may be sent before an answer. */
    TimeUs sent_at;   /**< When the newest of them was sent. */
} Rest;

/** Parses a decimal number of seconds, with or without a fraction.
 * @return the time in milliseconds, at most REST_MAX_MS; 0 if it is not such a
 *         number or asks for no rest. */
uint32_t Rest_Parse(const char *text);

/** Applies a refusal that asks for rest. A rest never gets shorter.
 * @return true when the rest begins or gets longer. */
bool Rest_OnRefused(Rest *rest, uint32_t ms, TimeUs now);

/** Returns whether a request may be sent. */
bool Rest_MaySend(const Rest *rest, TimeUs now);

/** Counts a request that is sent. */
void Rest_OnSent(Rest *rest, TimeUs now);

/** Applies an answer that does not refuse its request. */
void Rest_OnServed(Rest *rest, TimeUs now);

#endif
