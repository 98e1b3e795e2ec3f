/** @file
 * Token bucket that reserves units for requests of more urgent ranks.
 */
#include "sched/bucket.h"

#include <glib.h>

/* Fraction of the capacity that is reserved for each more urgent rank that
 * recently found too few units, and the upper bound of the sum. */
#define RESERVE_FRACTION 0.3
#define RESERVE_MAX 0.9
/* Fraction of the rate that each rank may take of the reserve, and the time
 * for which it accumulates. */
#define FLOOR_FRACTION 0.05
#define FLOOR_SECONDS 1
/* Time for which a rank counts as short of units after a request found too
 * few. It exceeds the interval between requests of one rank in a busy
 * account. */
#define CONTENTION_US (2 * US_PER_S)
/* Requests that cost less than SMALL_COST_FRACTION of the mean cost ignore the
 * reserve and may overdraw the bucket by SMALL_DEBT_COSTS mean costs. Refusing
 * them would save hardly any units for other requests. */
#define SMALL_COST_FRACTION 0.25
#define SMALL_DEBT_COSTS 2
/* Weight of the newest request in the mean cost. The mean covers about 20
 * requests, so that a series of small requests does not make the usual ones
 * count as large. */
#define COST_WEIGHT 0.05
/* Bounds of the retry time: the round trip of a caller, and the longest time
 * that is useful to report. */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 30000

void
Bucket_Init(Bucket *bucket, const BucketLimit *limit, TimeUs now)
{
    *bucket = (Bucket){.level = limit->capacity, .filled_at = now};
}

static void
refill(Bucket *bucket, const BucketLimit *limit, TimeUs now)
{
    double seconds = (double)(now - bucket->filled_at) / (double)US_PER_S;
    bucket->level =
        MIN(bucket->level + limit->rate * seconds, limit->capacity);
    for (uint32_t r = 0; r < BUCKET_RANKS; r++) {
        bucket->floor[r] =
            MIN(bucket->floor[r] + FLOOR_FRACTION * limit->rate * seconds,
                FLOOR_FRACTION * limit->rate * FLOOR_SECONDS);
    }
    bucket->filled_at = now;
}

/* Returns the units that the bucket must hold to admit a request. A negative
 * result is the debt that the bucket may have. */
static double
reserve_of(const Bucket *bucket, const BucketLimit *limit,
           const BucketRequest *request, TimeUs now)
{
    if (request->cost < SMALL_COST_FRACTION * bucket->mean_cost) {
        return -SMALL_DEBT_COSTS * bucket->mean_cost;
    }
    double fraction = 0;
    for (uint32_t r = 0; r < request->rank && r < BUCKET_RANKS; r++) {
        fraction += now < bucket->contended_until[r] ? RESERVE_FRACTION : 0;
    }
    return MIN(fraction, RESERVE_MAX) * limit->capacity;
}

/* Returns the time in ms after which a refused request should be retried:
 * when the missing units are available and the requests refused before it
 * have been retried, so that they are not all retried at once. */
static uint32_t
plan_retry_ms(Bucket *bucket, const BucketLimit *limit,
              const BucketRequest *request, double missing, TimeUs now)
{
    if (limit->rate <= 0) {
        return RETRY_AFTER_MAX_MS;
    }
    uint32_t rank = MIN(request->rank, BUCKET_RANKS - 1);
    TimeUs retry_at = now + (TimeUs)(missing / limit->rate * US_PER_S);
    for (uint32_t r = 0; r <= rank; r++) {
        retry_at = MAX(retry_at, bucket->retry_promised_until[r]);
    }
    retry_at = MIN(retry_at, now + RETRY_AFTER_MAX_MS * US_PER_MS);
    bucket->retry_promised_until[rank] =
        retry_at + (TimeUs)(request->cost / limit->rate * US_PER_S);
    return (uint32_t)MAX((retry_at - now) / US_PER_MS, RETRY_AFTER_MIN_MS);
}

BucketDecision
Bucket_Take(Bucket *bucket, const BucketLimit *limit,
            const BucketRequest *request, TimeUs now)
{
    refill(bucket, limit, now);
    uint32_t rank = MIN(request->rank, BUCKET_RANKS - 1);
    double reserve = reserve_of(bucket, limit, request, now);
    bool by_floor =
        reserve > 0 && bucket->level < reserve && bucket->floor[rank] > 0;
    reserve = by_floor ? 0 : reserve;
    BucketDecision decision = {.level = bucket->level, .reserve = reserve};
    double missing = reserve - bucket->level;
    double wait_ms =
        limit->rate > 0 ? missing / limit->rate * 1000 : RETRY_AFTER_MAX_MS;
    bucket->mean_cost =
        bucket->mean_cost == 0
            ? request->cost
            : bucket->mean_cost +
                  COST_WEIGHT * (request->cost - bucket->mean_cost);
    if (missing > 0) {
        bucket->contended_until[rank] = now + CONTENTION_US;
    }
    if (wait_ms <= request->delay_ms) {
        decision.admitted = true;
        decision.wait_ms = (uint32_t)MAX(wait_ms, 0);
        bucket->level -= request->cost;
        bucket->floor[rank] -= by_floor ? request->cost : 0;
        return decision;
    }
    decision.wait_ms = plan_retry_ms(bucket, limit, request, missing, now);
    return decision;
}

bool
Bucket_IsContended(const Bucket *bucket, TimeUs now)
{
    for (uint32_t r = 0; r < BUCKET_RANKS; r++) {
        if (now < bucket->contended_until[r]) {
            return true;
        }
    }
    return false;
}

double
Bucket_TakeSurplus(Bucket *bucket, const BucketLimit *limit, double remaining,
                   double units, TimeUs now)
{
    refill(bucket, limit, now);
    double taken = CLAMP(bucket->level - remaining, 0, MAX(units, 0));
    bucket->level -= taken;
    return taken;
}

void
Bucket_Refund(Bucket *bucket, double cost)
{
    bucket->level += cost;
}
