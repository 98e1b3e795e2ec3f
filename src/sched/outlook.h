/** @file
 * What the keeper of an engine expects of the time that requests will wait
 * there. Sent with grants and refusals; pool_view.h uses it.
 */
#ifndef LAURELLIFT_SCHED_OUTLOOK_H
#define LAURELLIFT_SCHED_OUTLOOK_H

#include "sched/work.h"

/** Ranks of a tier that are told apart; higher numbers count as the last. */
#define OUTLOOK_RANKS 4
#define OUTLOOK_CLASSES (WORK_TIERS * OUTLOOK_RANKS)

/** Wait of a new request by the plan of the slots, and the same if requests of
 * higher classes keep coming, which is not shorter. */
typedef struct PlannedWait {
    TimeUs planned;
    TimeUs expected;
} PlannedWait;

/** Waits of new requests of one class. Those whose first piece would miss its
 * deadline wait behind the whole class. */
typedef struct ClassWait {
    unsigned class_index; /**< outlook_class() */
    PlannedWait on_time;
    PlannedWait late;
    bool bookable; /**< Capacity may be kept for requests that come back. */
} ClassWait;

typedef struct EngineOutlook {
    double first_base_us;       /**< Time to the first piece: fixed part, */
    double first_us_per_token;  /**< and for each prompt token. */
    double decode_us_per_token; /**< Of one stream; 0 while unknown. */
    TimeUs mean_run;            /**< Of the requests that run now. */
    double margin;              /**< Factor on predicted run times. */
    double first_margin;        /**< Factor on times to the first piece. */
    unsigned count;             /**< Classes that have a wait. */
    ClassWait waits[OUTLOOK_CLASSES];
} EngineOutlook;

static inline unsigned
outlook_class(uint32_t tier, uint32_t rank)
{
    tier = tier < WORK_TIERS ? tier : WORK_TIERS - 1;
    rank = rank < OUTLOOK_RANKS ? rank : OUTLOOK_RANKS - 1;
    return tier * OUTLOOK_RANKS + rank;
}

#endif
