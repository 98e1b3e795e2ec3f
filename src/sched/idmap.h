/** @file
 * Bounded hash map from request id to a small number, with open addressing.
 * No allocation after IdMap_Init.
 */
#ifndef LAURELLIFT_SCHED_IDMAP_H
#define LAURELLIFT_SCHED_IDMAP_H

#include "sched/work.h"

#define IDMAP_NONE UINT32_MAX

typedef struct IdMapCell {
    RequestId id;
    uint32_t value; /**< IDMAP_NONE: empty. */
} IdMapCell;

typedef struct IdMap {
    IdMapCell *cells;
    uint32_t mask;
    uint32_t count;
    uint32_t bound;
} IdMap;

/** @param bound  most entries. */
void IdMap_Init(IdMap *map, uint32_t bound);
void IdMap_Clear(IdMap *map);

/** The value of @p id or IDMAP_NONE. */
uint32_t IdMap_Get(const IdMap *map, RequestId id);
/** Sets a value; going over the bound is a broken invariant. */
void IdMap_Put(IdMap *map, RequestId id, uint32_t value);
void IdMap_Remove(IdMap *map, RequestId id);

#endif
