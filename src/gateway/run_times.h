/** @file
 * Gateway: measured run times by route, and the longest time that a run is
 * likely to take, by which a gateway that stops refuses runs.
 */
#ifndef LAURELLIFT_GATEWAY_RUN_TIMES_H
#define LAURELLIFT_GATEWAY_RUN_TIMES_H

#include "kernel/clock.h"

typedef struct Call Call;
typedef struct RunTimes RunTimes;

RunTimes *RunTimes_New(void);
void RunTimes_Free(RunTimes *times);

/* Adds the newest attempt of a call whose answer is complete. */
void RunTimes_Add(RunTimes *times, const Call *call);

/* Returns a time that few runs like the call's exceed. */
TimeUs RunTimes_Bound(const RunTimes *times, const Call *call);

#endif
