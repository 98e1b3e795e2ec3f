/** @file
 * Splits the limit of an account among the entries that serve it. When demand
 * is uneven, an entry with low demand leaves the rest of its share to the
 * others, and no entry with higher demand gets less than an equal share. Has
 * no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_SHARES_H
#define LAURELLIFT_SCHED_SHARES_H

#include <stddef.h>

/** Returns the max-min fair share of one entry. The rate that exceeds the
 * total demand is split evenly, so that new demand is admitted immediately.
 * @param rate  total limit, in units per second.
 * @param demands  demand at each entry, in units per second.
 * @param self  index of the entry in @p demands. */
double Shares_Split(double rate, const double *demands, size_t count,
                    size_t self);

#endif
