/** @file
 * Rate limit that an endpoint names in its answers: the requests per second
 * that it takes from all senders together. Requests are spaced by a token
 * bucket that holds little more than one of them. Has no I/O and reads no
 * clock.
 */
#ifndef LAURELLIFT_SCHED_NAMED_RATE_H
#define LAURELLIFT_SCHED_NAMED_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Largest rate that an endpoint can name, in requests per second. */
#define NAMED_RATE_MAX 1000000

/** No limit when zero-initialised. */
typedef struct NamedRate {
    double rate;      /**< Requests per second; 0 without a limit. */
    TimeUs named_at;  /**< When the limit was last named. */
    uint32_t unnamed; /**< Answers without it to requests sent since. */
    double level;     /**< Requests that may be sent at filled_at. */
    TimeUs filled_at;
} NamedRate;

/** Parses a decimal number of requests per second.
 * @return 0 if it is not a number from above 0 to NAMED_RATE_MAX. */
double NamedRate_Parse(const char *text);

/** Applies an answer of the endpoint. The limit ends only after several
 * answers without it, as an endpoint may name it in some answers only.
 * @param rate     rate that the answer names; 0 if none.
 * @param sent_at  when the request was sent.
 * @param level    requests that may be sent at once when a limit begins.
 * @return true when the limit began, changed or ended. */
bool NamedRate_OnAnswer(NamedRate *limit, double rate, TimeUs sent_at,
                        TimeUs now, double level);

/** Sets the sender's share of the rate, from 0 to 1, and returns whether a
 * request may be sent. */
bool NamedRate_MaySend(NamedRate *limit, double share, TimeUs now);

/** Counts a request that is sent. */
void NamedRate_OnSent(NamedRate *limit);

/** Counts off a request that was not sent after all. */
void NamedRate_OnUnsent(NamedRate *limit);

/** Returns when a request may be sent before which @p position others are.
 * Without a limit this is now. */
TimeUs NamedRate_NextAt(const NamedRate *limit, double share, double position,
                        TimeUs now);

#endif
