/** @file
 * Expected times of the agent's queue, private to it. Pure.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_TIMES_H
#define LAURELLIFT_SCHED_QUEUE_TIMES_H

#include "sched/plan.h"
#include "sched/queue_items.h"

/** Expected run time. */
TimeUs QueueTimes_Run(const WantQueue *queue, const Item *item);

/** Run time that is rarely exceeded: expected outputs may be far off, but none
 * is longer than the longest. */
TimeUs QueueTimes_RunUpperBound(const WantQueue *queue, const Item *item);

/** Whether the first piece of a request that was not late so far is likely to
 * come too late. Answers a burst within one tier and rank: those that can
 * still be on time go before those that are late anyway. */
bool QueueTimes_IsNewlyLate(const WantQueue *queue, const Item *item,
                            TimeUs now);

/** When the slots free that are taken now. */
void QueueTimes_PlanBusy(const WantQueue *queue, Plan *plan, TimeUs now);

/** Mean run time of what the endpoint has. */
TimeUs QueueTimes_MeanRun(const WantQueue *queue);

/** Follows how much of the slots each class takes. */
void QueueTimes_SampleClasses(WantQueue *queue, TimeUs now);

/** How far a waiting request is expected to miss its deadline; 0 or less: not
 * at all. Answers sustained overload, where lower work would wait in vain
 * until its deadline. The longer wait is a guess, so long requests are not
 * refused before others for it: there they count as long as the mean.
 * @param planned Its wait by the plan of the slots.
 * @param mean    QueueTimes_MeanRun. */
TimeUs QueueTimes_PredictLateness(const WantQueue *queue, const Item *item,
                                  TimeUs planned, TimeUs mean, TimeUs now);

/** Learns from a first piece that came now. */
void QueueTimes_MeasureFirst(WantQueue *queue, const Item *item, TimeUs now);

/** Learns from a run that ended now. */
void QueueTimes_MeasureRun(WantQueue *queue, const Item *item,
                           const QueueResult *result, TimeUs now);

#endif
