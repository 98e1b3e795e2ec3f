/** @file
 * Private time predictions of the agent's queue. Has no I/O and reads no
 * clock.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_TIMES_H
#define LAURELLIFT_SCHED_QUEUE_TIMES_H

#include "sched/plan.h"
#include "sched/queue_items.h"

/** Returns the expected run time. */
TimeUs QueueTimes_RunTime(const WantQueue *queue, const Item *item);

/** Returns a run time that is rarely exceeded. The expected output length may
 * be far too low, so the expected time is multiplied by the margin, but the
 * result does not exceed the time for the longest output. */
TimeUs QueueTimes_RunTimeUpperBound(const WantQueue *queue, const Item *item);

/** Returns true if the first piece of a request that is not marked late is
 * likely to miss its deadline. In a burst within one tier and rank, requests
 * that can still be on time are granted before those that are late anyway. */
bool QueueTimes_IsNewlyLate(const WantQueue *queue, const Item *item,
                            TimeUs now);

/** Fills @p plan with the times at which the slots become free. */
void QueueTimes_PlanSlots(const WantQueue *queue, Plan *plan, TimeUs now);

/** Returns the mean expected run time of the granted and running requests. */
TimeUs QueueTimes_MeanRunTime(const WantQueue *queue);

/** Updates the moving average of the slots that each class uses. */
void QueueTimes_SampleClasses(WantQueue *queue, TimeUs now);

/** Predicts the lateness of a waiting request; 0 or less means that it meets
 * its deadline, and its first piece comes before the caller gives up. With
 * QueueConfig.refuse_early, the prediction includes the wait behind requests
 * of higher classes that are expected to arrive, so that a request of a lower
 * class is refused early under sustained overload instead of waiting in vain
 * until its deadline. That wait is uncertain and must not cause long requests
 * to be refused before others, so this part of the prediction limits the run
 * time to the mean run time times the margin.
 * @param planned  wait according to the plan of the slots.
 * @param mean  result of QueueTimes_MeanRunTime. */
TimeUs QueueTimes_PredictLateness(const WantQueue *queue, const Item *item,
                                  TimeUs planned, TimeUs mean, TimeUs now);

/** Predicts the wait of a request when requests of higher classes keep
 * arriving, so that the other classes share the remaining slots. This is
 * longer than the planned wait.
 * @param beyond  the request is beyond the share of its account, so that those
 *                within a share count as a higher class.
 * @param mean  result of QueueTimes_MeanRunTime. */
TimeUs QueueTimes_WaitBehindHigher(const WantQueue *queue,
                                   const WorkSpec *work, bool beyond,
                                   TimeUs planned, TimeUs mean);

/** Returns when the rate limit and a rest let the request at a position start.
 * Some of those before it are dispatched elsewhere. */
TimeUs QueueTimes_NextByRate(const WantQueue *queue, uint32_t position,
                             TimeUs now);

/** Returns whether capacity may be kept for requests of the class of a
 * request.
 * @param beyond  the request is beyond the share of its account; none is kept
 *                for those. */
bool QueueTimes_MayBook(const WantQueue *queue, const WorkSpec *work,
                        bool beyond);

/** Returns by how much the bookings of the request's class and of higher ones
 * delay a request that would start at @p start. */
TimeUs QueueTimes_BookedWait(const WantQueue *queue, const WorkSpec *work,
                             TimeUs start);

/** Includes the plan of this moment in the queue's outlook. */
void QueueOutlook_Sample(WantQueue *queue, TimeUs now);

/** Updates the speed and the margin from a first piece that arrived now. */
void QueueTimes_MeasureFirstPiece(WantQueue *queue, const Item *item,
                                  TimeUs now);

/** Updates the speed and the margin from a request that ended now. */
void QueueTimes_MeasureRun(WantQueue *queue, const Item *item,
                           const QueueResult *result, TimeUs now);

#endif
