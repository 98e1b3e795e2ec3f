/** @file
 * Predicted times at which the slots of an engine become free.
 */
#ifndef LAURELLIFT_SCHED_PLAN_H
#define LAURELLIFT_SCHED_PLAN_H

#include "sched/work.h"

/** Maximum number of slots in a plan; further slots are ignored. */
#define PLAN_SLOTS_MAX 256

typedef struct Plan {
    uint32_t count;
    TimeUs free_at[PLAN_SLOTS_MAX]; /**< Min-heap. */
} Plan;

/** Adds a slot that becomes free at @p at. */
void Plan_AddSlot(Plan *plan, TimeUs at);
/** Returns the time at which the next slot becomes free, or TIME_NEVER if the
 * plan has no slots. */
TimeUs Plan_NextFree(const Plan *plan);
/** Assigns the next free slot to a request that occupies it for @p
 * duration. */
void Plan_Assign(Plan *plan, TimeUs duration);

#endif
