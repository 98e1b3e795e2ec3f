/** @file
 * Splits a limit among the processes that apply it: the rate limit of an
 * endpoint among gateways. When demand is uneven, a process with low demand
 * leaves the rest of its share to the others, and none with higher demand gets
 * less than an equal share. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_SHARES_H
#define LAURELLIFT_SCHED_SHARES_H

#include <stddef.h>

/** Returns the max-min fair share of one process. The rate that exceeds the
 * total demand is split evenly, so that new demand is admitted immediately.
 * @param rate  total limit, in units per second.
 * @param demands  demand at each process, in units per second.
 * @param self  index of the process in @p demands. */
double Shares_Split(double rate, const double *demands, size_t count,
                    size_t self);

#endif
