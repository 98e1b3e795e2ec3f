/** @file
 * Private part of the agent's queue that charges accounts for slot time and
 * marks the waiting requests that are beyond a share. Does nothing without
 * QueueConfig.fair_accounts.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_SHARES_H
#define LAURELLIFT_SCHED_QUEUE_SHARES_H

#include "sched/queue_items.h"

/** Counts a request that is refused for lack of capacity. */
void QueueShares_OnRefused(WantQueue *queue, const Item *item);

/** Charges the account the expected time of the slot. */
void QueueShares_OnGranted(WantQueue *queue, Item *item);

/** Charges the account the time that the slot was used instead of what was
 * expected, so that neither a wrong expectation nor a grant that another
 * engine made useless counts. */
void QueueShares_OnEnded(WantQueue *queue, const Item *item, TimeUs used);

/** Decides anew which waiting requests are beyond the shares of their
 * accounts.
 * @return true when the waiting requests must be sorted. */
bool QueueShares_Update(WantQueue *queue, TimeUs now);

/** Adds what is known of the request's account to a refusal. */
void QueueShares_Describe(const WantQueue *queue, const WorkSpec *work,
                          QueueAction *action);

#endif
