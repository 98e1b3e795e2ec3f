/** @file
 * Splits an account's limit among the entries that serve it. Answers uneven
 * demand: an entry that is asked for little leaves its part to the others,
 * and no entry is pushed below an equal part by another's demand. Pure.
 */
#ifndef LAURELLIFT_SCHED_SHARES_H
#define LAURELLIFT_SCHED_SHARES_H

#include <stddef.h>

/** Max-min fair part of one claimant. What all demands leave over is split
 * evenly, so that a new demand finds room at once.
 * @param rate     the whole, in units a second.
 * @param demands  what each claimant was asked for, in units a second.
 * @param self     position of the claimant in @p demands. */
double Shares_Split(double rate, const double *demands, size_t count,
                    size_t self);

#endif
