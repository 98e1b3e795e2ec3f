/** @file
 * Monotonic clock and wall clock. Packages without I/O receive the current
 * time as an argument instead of reading a clock.
 */
#ifndef LAURELLIFT_KERNEL_CLOCK_H
#define LAURELLIFT_KERNEL_CLOCK_H

#include <stdint.h>

/** Monotonic time or duration, in microseconds. */
typedef int64_t TimeUs;

#define US_PER_MS ((TimeUs)1000)
#define US_PER_S ((TimeUs)1000000)
#define TIME_NEVER INT64_MAX

/** Returns the time since boot. It also advances while the process or the
 * machine is suspended. */
TimeUs Clock_Now(void);

/** Returns the Unix time in milliseconds; for log records and incarnations
 * only. */
int64_t Clock_WallMs(void);

#endif
