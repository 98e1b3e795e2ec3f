/** @file
 * Units of one account's limit at one gateway.
 */
#include "sched/quota_purse.h"

#include <glib.h>

/* Fractions of the operators' slack that all gateways together may owe, and
 * that they may store beside STORE_US of the rate. The rest of the slack
 * covers requests that overdraw an account, and gateways that use their part
 * before the ledger knows it. */
#define CREDIT_SLACK 0.2
#define STORE_SLACK 0.3
#define STORE_US (250 * US_PER_MS)
/* Time for which the ledger decides alone after it has said so. */
#define CONTENDED_US (1 * US_PER_S)
/* Fraction of the store below which more units are asked for. */
#define LOW_LEVEL 0.5

QuotaPart
QuotaPurse_Part(const QuotaLimit *limit, double slack, uint32_t gateways)
{
    double count = MAX(gateways, 1);
    double stored = limit->rate * ((double)STORE_US / (double)US_PER_S);
    return (QuotaPart){
        .alone = {.rate = limit->rate / count,
                  .capacity = limit->burst / count},
        .credit = CREDIT_SLACK * slack / count,
        .store = (stored + STORE_SLACK * slack) / count,
    };
}

void
QuotaPurse_Init(QuotaPurse *purse, TimeUs now)
{
    *purse = (QuotaPurse){.level = 0};
    const BucketLimit empty = {.rate = 0};
    Bucket_Init(&purse->alone, &empty, now);
}

static bool
is_contended(const QuotaPurse *purse, TimeUs now)
{
    return now < purse->contended_until;
}

bool
QuotaPurse_Take(QuotaPurse *purse, const QuotaPart *part, double cost,
                TimeUs now)
{
    if (is_contended(purse, now) || purse->level + part->credit < cost) {
        return false;
    }
    purse->level -= cost;
    return true;
}

QuotaAsk
QuotaPurse_Ask(QuotaPurse *purse, const QuotaPart *part,
               const BucketRequest *request, TimeUs now)
{
    QuotaAsk ask = {
        .units = request->cost - purse->level,
        .spare = part->store,
        .rank = request->rank,
        .delay_ms = request->delay_ms,
    };
    if (is_contended(purse, now)) {
        ask.returned = MAX(purse->level, 0);
        ask.units = request->cost - MIN(purse->level, 0);
        ask.spare = 0;
    }
    purse->level = 0;
    return ask;
}

double
QuotaPurse_Lacking(const QuotaPurse *purse, const QuotaPart *part, TimeUs now)
{
    bool lacks =
        !is_contended(purse, now) && purse->level < LOW_LEVEL * part->store;
    return lacks ? part->store - purse->level : 0;
}

void
QuotaPurse_Add(QuotaPurse *purse, double units)
{
    purse->level += units;
}

double
QuotaPurse_TakeExcess(QuotaPurse *purse, const QuotaPart *part, TimeUs now)
{
    double store = is_contended(purse, now) ? 0 : part->store;
    double excess = MAX(purse->level - store, 0);
    purse->level -= excess;
    return excess;
}

BucketDecision
QuotaPurse_TakeAlone(QuotaPurse *purse, const QuotaPart *part,
                     const BucketRequest *request, TimeUs now)
{
    return Bucket_Take(&purse->alone, &part->alone, request, now);
}

void
QuotaPurse_OnAnswer(QuotaPurse *purse, TimeUs now)
{
    purse->level += MIN(purse->alone.level, 0);
    purse->alone.level = 0;
    purse->alone.filled_at = now;
}

void
QuotaPurse_SetContended(QuotaPurse *purse, bool contended, TimeUs now)
{
    purse->contended_until = contended ? now + CONTENDED_US : 0;
}
