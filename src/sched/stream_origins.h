/** @file
 * How streams began that may be taken up again: by id of the request that
 * brought the first event, the service and the version of the software that
 * ran it. Bounded in size and time. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_STREAM_ORIGINS_H
#define LAURELLIFT_SCHED_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Longest id of a request, in bytes. */
#define STREAM_ORIGIN_ID_MAX 128
/** Longest time for which an origin is kept, in microseconds. */
#define STREAM_ORIGIN_LIFE_MAX_US (3600 * US_PER_S)

typedef struct StreamOrigin {
    const char *request; /**< Id of the request that began the stream. */
    const char *service;
    const char *account;  /**< Name; "" without one. */
    const char *software; /**< Version; "" if it is not certain. */
    TimeUs expires_at;    /**< Nobody takes the stream up after that. */
} StreamOrigin;

typedef struct StreamOrigins StreamOrigins;

/** @param max  number of origins; beyond it, the one that would expire first
 *              is dropped. */
StreamOrigins *StreamOrigins_New(size_t max);
void StreamOrigins_Free(StreamOrigins *origins);

/** Adds an origin. A second one for the same request that differs makes its
 * software uncertain. Invalid ones (empty or too long ids, expired) are
 * ignored.
 * @return true when the table has changed, other than in a time of expiry. */
bool StreamOrigins_Add(StreamOrigins *origins, const StreamOrigin *origin,
                       TimeUs now);

/** Returns the origin of a request, or NULL. Valid until the next change. */
const StreamOrigin *StreamOrigins_Find(const StreamOrigins *origins,
                                       const char *request, TimeUs now);

/** Calls @p visit for each origin that has not expired. */
void StreamOrigins_ForEach(const StreamOrigins *origins, TimeUs now,
                           void (*visit)(void *arg,
                                         const StreamOrigin *origin),
                           void *arg);

/** Removes the origins that have expired.
 * @return the number of those that are left. */
size_t StreamOrigins_Expire(StreamOrigins *origins, TimeUs now);

size_t StreamOrigins_Count(const StreamOrigins *origins);

/** Returns the number of origins that were dropped before they expired. */
uint64_t StreamOrigins_Displaced(const StreamOrigins *origins);

#endif
