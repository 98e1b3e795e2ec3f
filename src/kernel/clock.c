/** @file
 * Reads the monotonic clock and the wall clock.
 */
#include "kernel/clock.h"

#include <time.h>

TimeUs
Clock_Now(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t
Clock_WallMs(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
