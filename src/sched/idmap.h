/** @file
 * Bounded hash map from request ids to 32-bit values, with open addressing.
 * Only IdMap_Init allocates memory.
 */
#ifndef LAURELLIFT_SCHED_IDMAP_H
#define LAURELLIFT_SCHED_IDMAP_H

#include "sched/work.h"

#define IDMAP_NONE UINT32_MAX

typedef struct IdMapCell {
    RequestId id;
    uint32_t value; /**< IDMAP_NONE if the cell is empty. */
} IdMapCell;

typedef struct IdMap {
    IdMapCell *cells;
    uint32_t mask;
    uint32_t count;
    uint32_t bound;
} IdMap;

/** @param bound  maximum number of entries. */
void IdMap_Init(IdMap *map, uint32_t bound);
void IdMap_Clear(IdMap *map);

/** Returns the value of @p id, or IDMAP_NONE if it is not in the map. */
uint32_t IdMap_Get(const IdMap *map, RequestId id);
/** Sets a value. Exceeding the bound is a broken invariant. */
void IdMap_Put(IdMap *map, RequestId id, uint32_t value);
void IdMap_Remove(IdMap *map, RequestId id);

#endif
