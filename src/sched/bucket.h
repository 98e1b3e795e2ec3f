/** @file
 * Token bucket that reserves units for urgent requests. When an account
 * exceeds its limit and urgent requests find too few units, less urgent
 * requests are refused first. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_BUCKET_H
#define LAURELLIFT_SCHED_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Number of distinct ranks; higher ranks are treated as the last one. */
#define BUCKET_RANKS 4

/** Refill rate and size of a bucket. */
typedef struct BucketLimit {
    double rate;     /**< Units per second. */
    double capacity; /**< Maximum number of stored units. */
} BucketLimit;

typedef struct Bucket {
    double level; /**< Stored units; negative after a large request. */
    TimeUs filled_at;
    double mean_cost; /**< Moving mean; 0 before the first request. */
    /** Units that a rank may take of the reserve for more urgent ones, so that
     * it is not refused for as long as these are short. */
    double floor[BUCKET_RANKS];
    /** Time until which the rank counts as short of units. */
    TimeUs contended_until[BUCKET_RANKS];
    /** Time by which all refused requests of the rank were told to retry, plus
     * the time that refills their cost. */
    TimeUs retry_promised_until[BUCKET_RANKS];
} Bucket;

/** A request for units. */
typedef struct BucketRequest {
    double cost;       /**< In units. */
    uint32_t rank;     /**< 0 is the highest. */
    uint32_t delay_ms; /**< Longest wait that is preferred to a refusal. */
} BucketRequest;

typedef struct BucketDecision {
    bool admitted;    /**< The cost was taken from the bucket. */
    uint32_t wait_ms; /**< Time until an admitted request may proceed, or until
                         a refused one may be retried. */
    double level;     /**< Stored units before the request. */
    double reserve;   /**< Required units; negative if a debt is allowed. */
} BucketDecision;

/** Initialises a full bucket. */
void Bucket_Init(Bucket *bucket, const BucketLimit *limit, TimeUs now);

/** Admits or refuses a request. An admitted request is charged its cost. */
BucketDecision Bucket_Take(Bucket *bucket, const BucketLimit *limit,
                           const BucketRequest *request, TimeUs now);

/** Returns whether a request of some rank has recently found too few units. */
bool Bucket_IsContended(const Bucket *bucket, TimeUs now);

/** Takes units beyond a level that remains in the bucket.
 * @param units  most units to take.
 * @return the units taken; 0 if the bucket holds no more than @p remaining. */
double Bucket_TakeSurplus(Bucket *bucket, const BucketLimit *limit,
                          double remaining, double units, TimeUs now);

/** Refunds units that were not used. */
void Bucket_Refund(Bucket *bucket, double cost);

#endif
