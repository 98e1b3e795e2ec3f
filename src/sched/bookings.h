/** @file
 * Capacity of an engine that is kept free for requests whose callers were told
 * to come back. A booking holds one slot for the run time of a request from a
 * stated time on. The request that comes back has another id, so that a
 * booking is claimed by the first request of its tier, rank and size that
 * arrives in its window. Bookings are limited to a fraction of the slots, and
 * lapse.
 *
 * Answers overload of several times the capacity, in which callers that come
 * back compete with as many new ones and are refused again. Has no I/O and
 * reads no clock.
 */
#ifndef LAURELLIFT_SCHED_BOOKINGS_H
#define LAURELLIFT_SCHED_BOOKINGS_H

#include "sched/work.h"

#define BOOKINGS_MAX 64

typedef struct Booking {
    uint32_t tier;
    uint32_t rank;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    TimeUs from;  /**< When the caller was told to come back. */
    TimeUs until; /**< The booking lapses. */
    TimeUs run;   /**< Expected run time. */
} Booking;

/** Bookings of one engine, in order of their times. Zero-initialised: none. */
typedef struct Bookings {
    Booking entries[BOOKINGS_MAX];
    unsigned count;
} Bookings;

/** Books a slot.
 * @param slots  of the engine.
 * @return false if the bookings of that time already fill the fraction of the
 *         slots that may be booked. */
bool Bookings_Add(Bookings *bookings, const WorkSpec *work, TimeUs from,
                  TimeUs run, uint32_t slots, TimeUs now);

/** Claims the booking that a request matches, which ends it. A request that
 * comes earlier than it was told matches none.
 * @return whether there was one. */
bool Bookings_Claim(Bookings *bookings, const WorkSpec *work, TimeUs now);

/** Removes the bookings that have lapsed.
 * @return their number. */
unsigned Bookings_Expire(Bookings *bookings, TimeUs now);

/** Returns the run time that is booked before @p before, by requests that go
 * before the given one: of its tier or a higher one. */
TimeUs Bookings_WorkBefore(const Bookings *bookings, const WorkSpec *work,
                           TimeUs before);

#endif
