/** @file
 * Index of the endpoints that serve each target.
 */
#ifndef LAURELLIFT_SCHED_TARGETS_H
#define LAURELLIFT_SCHED_TARGETS_H

#include "sched/work.h"

/** Maximum number of distinct targets; further ones are not indexed. */
#define TARGETS_MAX 1024

typedef struct TargetMembers {
    uint64_t target; /**< 0 if the cell is empty. */
    uint32_t count;
    uint32_t capacity;
    uint32_t *members; /**< Endpoint indexes, unordered. */
} TargetMembers;

typedef struct Targets {
    uint32_t used;
    /** Hash table with linear probing. */
    TargetMembers cells[TARGETS_MAX * 2];
} Targets;

void Targets_Clear(Targets *targets);

/** Returns the endpoints of a target, or NULL if it was never added. The list
 * may be empty. */
const TargetMembers *Targets_Find(const Targets *targets, uint64_t target);

void Targets_Add(Targets *targets, uint64_t target, uint32_t member);
void Targets_Remove(Targets *targets, uint64_t target, uint32_t member);

#endif
