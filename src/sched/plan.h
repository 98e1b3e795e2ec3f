/** @file
 * Plan of an engine's slots: when each frees, as a min-heap of times.
 */
#ifndef LAURELLIFT_SCHED_PLAN_H
#define LAURELLIFT_SCHED_PLAN_H

#include "sched/work.h"

/** Most slots that are planned one by one; the rest is left out. */
#define PLAN_SLOTS_MAX 256

typedef struct Plan {
    uint32_t count;
    TimeUs free_at[PLAN_SLOTS_MAX]; /**< Min-heap. */
} Plan;

/** Adds a slot that frees at @p at. */
void Plan_AddSlot(Plan *plan, TimeUs at);
/** When the next slot frees; TIME_NEVER without slots. */
TimeUs Plan_NextFree(const Plan *plan);
/** Gives the next slot to work that holds it for @p span. */
void Plan_Assign(Plan *plan, TimeUs span);

#endif
