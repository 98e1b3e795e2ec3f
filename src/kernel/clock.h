/** @file
 * Time. Pure packages receive a TimeUs; only tasks read the clock.
 */
#ifndef LAURELLIFT_KERNEL_CLOCK_H
#define LAURELLIFT_KERNEL_CLOCK_H

#include <stdint.h>

/** Monotonic time or a span of it, in microseconds. */
typedef int64_t TimeUs;

#define US_PER_MS ((TimeUs)1000)
#define US_PER_S ((TimeUs)1000000)
#define TIME_NEVER INT64_MAX

/** Monotonic microseconds. It counts while the process is frozen. */
TimeUs Clock_Now(void);

/** Milliseconds since 1970, for log lines and incarnations only. */
int64_t Clock_WallMs(void);

#endif
