/** @file
 * Index of the endpoints that serve each target.
 */
#ifndef LAURELLIFT_SCHED_TARGETS_H
#define LAURELLIFT_SCHED_TARGETS_H

#include "sched/work.h"

/** Most distinct targets; more are not indexed. */
#define TARGETS_MAX 1024

typedef struct TargetMembers {
    uint64_t target; /**< 0: empty cell. */
    uint32_t count;
    uint32_t capacity;
    uint32_t *members; /**< Numbers of endpoints, in no order. */
} TargetMembers;

typedef struct Targets {
    uint32_t used;
    TargetMembers cells[TARGETS_MAX * 2]; /**< Linear probing. */
} Targets;

void Targets_Clear(Targets *targets);

/** The endpoints of a target, or NULL when none was ever known. */
const TargetMembers *Targets_Find(const Targets *targets, uint64_t target);

void Targets_Add(Targets *targets, uint64_t target, uint32_t member);
void Targets_Remove(Targets *targets, uint64_t target, uint32_t member);

#endif
