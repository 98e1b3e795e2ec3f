/** @file
 * Decides which ranks of a tier are granted before higher ones.
 */
#include "sched/fair_ranks.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Time constant of the counts and of the mean run time. */
#define DECAY_US (3 * US_PER_S)
/* Requests that a rank must have had for it to be judged. */
#define REQUESTS_MIN 2
/* A rank goes ahead only if its requests run for this fraction of the time of
 * each higher rank at most, so that these lose little. */
#define RUN_TIME_FRACTION 0.25
/* Difference of the served fractions at which a rank goes ahead, so that the
 * order does not change with each request. */
#define SERVED_MARGIN 0.05
/* Served fraction of each higher rank below which no capacity is kept for a
 * rank. An engine refuses some requests that another one serves. */
#define HIGHER_SERVED_MIN 0.9
/* Number of requests from which a higher rank is still judged after that
 * second. */
#define NEAR_REQUESTS_MIN (1.4 * REQUESTS_MIN)

static RankRecord *
find_record(FairRanks *ranks, const WorkSpec *work)
{
    unsigned tier = MIN(work->tier, WORK_TIERS - 1);
    unsigned rank = MIN(work->rank, FAIR_RANKS - 1);
    return &ranks->records[tier][rank];
}

static void
decay(RankRecord *record, TimeUs now)
{
    double factor = exp(-(double)(now - record->at) / (double)DECAY_US);
    record->granted *= factor;
    record->refused *= factor;
    record->at = now;
}

void
FairRanks_Record(FairRanks *ranks, const WorkSpec *work, bool granted,
                 TimeUs run_time, TimeUs now)
{
    RankRecord *record = find_record(ranks, work);
    decay(record, now);
    record->granted += granted ? 1 : 0;
    record->refused += granted ? 0 : 1;
    double weight = 1 / MAX(record->granted + record->refused, 1);
    record->run_time += weight * ((double)run_time - record->run_time);
}

static double
count_requests(const RankRecord *record)
{
    return record->granted + record->refused;
}

static double
served_fraction(const RankRecord *record)
{
    return record->granted / (record->granted + record->refused);
}

/* Returns whether a rank goes ahead of all higher ones that had enough
 * requests: a smaller fraction of its own is served, by the margin. */
static bool
goes_ahead(const RankRecord *tier, unsigned rank, double margin,
           double requests_min)
{
    const RankRecord *own = &tier[rank];
    if (count_requests(own) < REQUESTS_MIN) {
        return false;
    }
    bool above = false;
    for (unsigned r = 0; r < rank; r++) {
        if (count_requests(&tier[r]) < requests_min) {
            continue;
        }
        above = true;
        if (own->run_time > RUN_TIME_FRACTION * tier[r].run_time ||
            served_fraction(own) + margin >= served_fraction(&tier[r]))
        {
            return false;
        }
    }
    return above;
}

bool
FairRanks_Update(FairRanks *ranks, TimeUs now)
{
    bool changed = false;
    for (unsigned t = 0; t < WORK_TIERS; t++) {
        RankRecord *tier = ranks->records[t];
        for (unsigned r = 0; r < FAIR_RANKS; r++) {
            decay(&tier[r], now);
            bool ahead = goes_ahead(tier, r, tier[r].ahead ? 0 : SERVED_MARGIN,
                                    REQUESTS_MIN);
            changed = changed || ahead != tier[r].ahead;
            tier[r].ahead = ahead;
        }
    }
    return changed;
}

bool
FairRanks_MayGoAhead(const FairRanks *ranks, const WorkSpec *work)
{
    RankRecord tier[FAIR_RANKS];
    memcpy(tier, ranks->records[MIN(work->tier, WORK_TIERS - 1)],
           sizeof(tier));
    unsigned rank = MIN(work->rank, FAIR_RANKS - 1);
    if (tier[rank].ahead) {
        return true;
    }
    tier[rank].refused += 1;
    for (unsigned r = 0; r < rank; r++) {
        tier[r].granted += 1;
    }
    return goes_ahead(tier, rank, SERVED_MARGIN, 1 + NEAR_REQUESTS_MIN);
}

bool
FairRanks_HigherAreServed(const FairRanks *ranks, const WorkSpec *work)
{
    unsigned tier = MIN(work->tier, WORK_TIERS - 1);
    unsigned rank = MIN(work->rank, FAIR_RANKS - 1);
    for (unsigned i = 0; i < tier * FAIR_RANKS + rank; i++) {
        const RankRecord *record =
            &ranks->records[i / FAIR_RANKS][i % FAIR_RANKS];
        if (count_requests(record) >= REQUESTS_MIN &&
            served_fraction(record) < HIGHER_SERVED_MIN)
        {
            return false;
        }
    }
    return true;
}

int
FairRanks_Order(const FairRanks *ranks, const WorkSpec *work)
{
    unsigned tier = MIN(work->tier, WORK_TIERS - 1);
    unsigned rank = MIN(work->rank, FAIR_RANKS - 1);
    bool ahead = ranks->records[tier][rank].ahead;
    return ahead ? (int)rank - FAIR_RANKS : (int)work->rank;
}
