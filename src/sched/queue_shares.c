/** @file
 * The agent's queue: shares of accounts.
 */
#include "sched/queue_shares.h"

#include <glib.h>

#include "sched/queue_times.h"

static double
slot_time(const WantQueue *queue, const Item *item)
{
    return (double)MAX(QueueTimes_RunTime(queue, item), 0);
}

void
QueueShares_OnRefused(WantQueue *queue, const Item *item)
{
    if (queue->config.fair_accounts) {
        FairAccounts_AddRefused(&queue->fair_accounts, &item->work,
                                slot_time(queue, item));
    }
}

void
QueueShares_OnGranted(WantQueue *queue, Item *item)
{
    if (queue->config.fair_accounts) {
        item->charged_us = slot_time(queue, item);
        FairAccounts_AddGranted(&queue->fair_accounts, &item->work,
                                item->charged_us);
    }
}

void
QueueShares_OnEnded(WantQueue *queue, const Item *item, TimeUs used)
{
    if (queue->config.fair_accounts) {
        FairAccounts_AddGranted(&queue->fair_accounts, &item->work,
                                (double)used - item->charged_us);
    }
}

bool
QueueShares_Update(WantQueue *queue, TimeUs now)
{
    if (!queue->config.fair_accounts) {
        return false;
    }
    FairAccounts *accounts = &queue->fair_accounts;
    FairAccounts_BeginUpdate(accounts, now);
    for (uint32_t i = 0; i < queue->waiting_count; i++) {
        const Item *item = QueueItems_Waiting(queue, i);
        FairAccounts_AddWaiting(accounts, &item->work, slot_time(queue, item));
    }
    FairAccounts_EndUpdate(accounts, &queue->fair_ranks);
    bool changed = false;
    for (uint32_t i = 0; i < queue->waiting_count; i++) {
        Item *item = QueueItems_Waiting(queue, i);
        bool beyond = FairAccounts_IsBeyond(accounts, &item->work);
        changed = changed || beyond != item->beyond_share;
        item->beyond_share = beyond;
    }
    return changed;
}

void
QueueShares_Describe(const WantQueue *queue, const WorkSpec *work,
                     QueueAction *action)
{
    if (queue->config.fair_accounts && work->account != 0) {
        action->account = work->account;
        action->standing = FairAccounts_Standing(&queue->fair_accounts,
                                                 &queue->fair_ranks, work);
    }
}

unsigned
Queue_CountAccounts(const WantQueue *queue)
{
    return queue->fair_accounts.count;
}
