/** @file
 * Min-heap of the times at which slots become free.
 */
#include "sched/plan.h"

void
Plan_AddSlot(Plan *plan, TimeUs at)
{
    if (plan->count == PLAN_SLOTS_MAX) {
        return;
    }
    uint32_t index = plan->count++;
    while (index > 0 && plan->free_at[(index - 1) / 2] > at) {
        plan->free_at[index] = plan->free_at[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    plan->free_at[index] = at;
}

TimeUs
Plan_NextFree(const Plan *plan)
{
    return plan->count == 0 ? TIME_NEVER : plan->free_at[0];
}

void
Plan_Assign(Plan *plan, TimeUs duration)
{
    if (plan->count == 0) {
        return;
    }
    TimeUs free_at = plan->free_at[0] + duration;
    uint32_t index = 0;
    while (index * 2 + 1 < plan->count) {
        uint32_t child = index * 2 + 1;
        if (child + 1 < plan->count &&
            plan->free_at[child + 1] < plan->free_at[child]) {
            child++;
        }
        if (plan->free_at[child] >= free_at) {
            break;
        }
        plan->free_at[index] = plan->free_at[child];
        index = child;
    }
    plan->free_at[index] = free_at;
}
