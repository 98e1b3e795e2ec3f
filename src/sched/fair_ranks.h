/** @file
 * Decides which ranks of a tier are granted before higher ones. Ranks are
 * served in order, so under sustained load the last one would get nothing even
 * where its requests take a small part of the time of the others. A rank whose
 * requests are short goes ahead while a smaller fraction of them is served
 * than of each higher rank; it is never served more often than these.
 *
 * Answers the load in which long requests of the higher ranks keep all slots
 * of an engine busy for seconds. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_FAIR_RANKS_H
#define LAURELLIFT_SCHED_FAIR_RANKS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "sched/work.h"

/** Ranks that are told apart; higher numbers count as the last one. */
#define FAIR_RANKS 4

/** What became of the recent requests of one rank. The counts decay. */
typedef struct RankRecord {
    double granted;
    double refused;
    double run_time; /**< Moving mean, in microseconds. */
    TimeUs at;       /**< Time of the counts. */
    bool ahead;      /**< Goes ahead of the higher ranks of its tier. */
} RankRecord;

typedef struct FairRanks {
    RankRecord records[WORK_TIERS][FAIR_RANKS];
} FairRanks;

/** Records that a request was granted a slot or refused one.
 * @param run_time  expected. */
void FairRanks_Record(FairRanks *ranks, const WorkSpec *work, bool granted,
                      TimeUs run_time, TimeUs now);

/** Decides anew which ranks go ahead.
 * @return true when the order of requests has changed. */
bool FairRanks_Update(FairRanks *ranks, TimeUs now);

/** Returns whether the rank goes ahead of the higher ones of its tier, or
 * would if it were served a little less often. */
bool FairRanks_MayGoAhead(const FairRanks *ranks, const WorkSpec *work);

/** Returns whether the requests of higher tiers and ranks are served, apart
 * from a few, so that capacity may be kept for the rank. */
bool FairRanks_HigherAreServed(const FairRanks *ranks, const WorkSpec *work);

/** Returns the position of the request's rank in its tier: the lower one is
 * granted first. */
int FairRanks_Order(const FairRanks *ranks, const WorkSpec *work);

#endif
