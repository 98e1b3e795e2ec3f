/** @file
 * Bounds the bytes that a process holds for callers and endpoints that read
 * slowly. Answers the load of hundreds of callers that read far more slowly
 * than endpoints write: without a bound the process ends, and with a fixed
 * part for each caller most of the bound lies idle. Has no I/O and reads no
 * clock.
 *
 * A caller's part is a fraction of what is free, so that few callers may have
 * much each, and many little. An endpoint is read on while its answer fits
 * into that part, since endpoints cut off answers that nobody reads.
 */
#ifndef LAURELLIFT_SCHED_HELD_BYTES_H
#define LAURELLIFT_SCHED_HELD_BYTES_H

#include <stdbool.h>
#include <stddef.h>

/** What is held for one caller. */
typedef struct HeldFor {
    size_t bytes;
    bool
        has_answer; /**< A part of an answer is held; else only its request. */
    bool complete;  /**< The whole answer is held, and only the caller's
                       reading is awaited. */
} HeldFor;

/** Returns the bytes that may be held for one caller before its endpoint is
 * read no further. */
size_t HeldBytes_CallerPart(size_t bound, size_t held);

/** Returns whether requests are refused before they are read on, so that those
 * in progress find room. */
bool HeldBytes_RefusesNew(size_t bound, size_t held);

/** Selects whose connection is cut when the bound is exceeded: the largest
 * answer in progress, else the largest request, else the largest complete
 * answer, which is otherwise delivered however slowly it is read.
 * @return an index, or -1 if @p held is within the bound. */
int HeldBytes_ChooseCut(size_t bound, size_t held, const HeldFor *callers,
                        size_t count);

#endif
