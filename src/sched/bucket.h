/** @file
 * A token bucket that keeps room for urgent requests. Answers an account that
 * asks for more than its limit: while urgent requests find the bucket empty,
 * less urgent ones are refused first. Pure.
 */
#ifndef LAURELLIFT_SCHED_BUCKET_H
#define LAURELLIFT_SCHED_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Ranks that are told apart; higher ones share the last. */
#define BUCKET_RANKS 4

/** What fills the bucket. */
typedef struct BucketLimit {
    double rate;     /**< Units a second. */
    double capacity; /**< Most units that are saved up. */
} BucketLimit;

typedef struct Bucket {
    double level; /**< Units in hand; below 0 after a large request. */
    TimeUs filled_at;
    double mean_cost; /**< Moving mean; 0: nothing was asked yet. */
    TimeUs contended_until[BUCKET_RANKS]; /**< The rank found too little. */
    TimeUs
        retry_promised_until[BUCKET_RANKS]; /**< Refused requests of the rank
                                           were told to return by then. */
} Bucket;

/** What asks for units. */
typedef struct BucketRequest {
    double cost;       /**< In units. */
    uint32_t rank;     /**< 0 is the most urgent. */
    uint32_t delay_ms; /**< Longest wait that is better than a refusal. */
} BucketRequest;

typedef struct BucketDecision {
    bool admitted;    /**< The cost is taken. */
    uint32_t wait_ms; /**< Admitted: until it may go on; else to return. */
    double level;     /**< Units in hand before. */
    double reserve;   /**< Units that had to be in hand; below 0: a debt. */
} BucketDecision;

/** A full bucket. */
void Bucket_Init(Bucket *bucket, const BucketLimit *limit, TimeUs now);

BucketDecision Bucket_Take(Bucket *bucket, const BucketLimit *limit,
                           const BucketRequest *request, TimeUs now);

/** Returns units that were not used. */
void Bucket_Refund(Bucket *bucket, double cost);

#endif
