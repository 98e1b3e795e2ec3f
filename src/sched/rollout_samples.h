/** @file
 * Answers during a roll-out, summed up by route, side and load class. A
 * gateway reports its sums, and the leader compares them with those of the
 * report before. Bounded; has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_ROLLOUT_SAMPLES_H
#define LAURELLIFT_SCHED_ROLLOUT_SAMPLES_H

#include <stddef.h>

#include "sched/rollout_test.h"

/** Most sums in a table, and in a report: 128 routes with both sides and all
 * load classes. */
#define ROLLOUT_SAMPLES_MAX 768

/** A sum and what it is of. */
typedef struct RolloutSum {
    char *route;
    RolloutSide side;
    unsigned load_class;
    RolloutSample sample;
} RolloutSum;

typedef struct RolloutSamples RolloutSamples;

RolloutSamples *RolloutSamples_New(void);
void RolloutSamples_Free(RolloutSamples *samples);

/** Returns a sum, which is added if it is new, or NULL if it is new and the
 * table is full. */
RolloutSum *RolloutSamples_Find(RolloutSamples *samples, const char *route,
                                RolloutSide side, unsigned load_class);

/** Returns the number of sums. */
size_t RolloutSamples_Count(const RolloutSamples *samples);

/** Copies pointers to all sums to an array of at least that length. Valid
 * until the table is freed. */
void RolloutSamples_List(const RolloutSamples *samples,
                         const RolloutSum **sums);

#endif
