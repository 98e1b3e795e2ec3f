/** @file
 * Gateway: measured run times by route, and the longest time that a run is
 * likely to take, by which a gateway that stops refuses runs.
 */
#ifndef LAURELLIFT_GATEWAY_RUN_TIMES_H
#define LAURELLIFT_GATEWAY_RUN_TIMES_H

#include <stddef.h>

#include "kernel/clock.h"

/* Routes with measurements. Beyond it all are measured anew, since those of
 * earlier configurations would keep the present ones out. */
#define RUN_TIMES_ROUTES_MAX 256

typedef struct Call Call;
typedef struct RunTimes RunTimes;

RunTimes *RunTimes_New(void);
void RunTimes_Free(RunTimes *times);

/* Returns the number of routes with measurements. */
size_t RunTimes_Count(const RunTimes *times);

/* Adds the newest attempt of a call whose answer is complete. */
void RunTimes_Add(RunTimes *times, const Call *call);

/* Returns a time that few runs like the call's exceed. */
TimeUs RunTimes_Bound(const RunTimes *times, const Call *call);

#endif
