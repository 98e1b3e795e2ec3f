/** @file
 * Metrics and log fields about the shares of accounts.
 */
#ifndef LAURELLIFT_KEEPER_SHARE_COUNTERS_H
#define LAURELLIFT_KEEPER_SHARE_COUNTERS_H

#include "kernel/counter.h"
#include "sched/queue.h"

/** Space for the log fields of a refusal. */
#define SHARE_TEXT_BYTES 160

typedef struct ShareCounters {
    Counter *accounts;
    Counter *refused_within; /**< Wants of accounts, by their share. */
    Counter *refused_beyond;
} ShareCounters;

void ShareCounters_Init(ShareCounters *counters);

/** Counts a refused want of an account, and prints what decided whether it was
 * within the share as fields of a log record. The values are mean numbers of
 * slots. Prints nothing for a want without an account. */
void ShareCounters_OnRefused(ShareCounters *counters,
                             const QueueAction *action,
                             char text[SHARE_TEXT_BYTES]);

#endif
