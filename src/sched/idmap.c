/** @file
 * Open addressing with linear probing. A removal shifts later cells back, so
 * that no deletion markers accumulate.
 */
#include "sched/idmap.h"

#include <glib.h>
#include <xxhash.h>

void
IdMap_Init(IdMap *map, uint32_t bound)
{
    uint32_t size = 16;
    while (size < bound * 2) {
        size *= 2;
    }
    map->cells = g_new(IdMapCell, size);
    map->mask = size - 1;
    map->count = 0;
    map->bound = bound;
    for (uint32_t i = 0; i < size; i++) {
        map->cells[i].value = IDMAP_NONE;
    }
}

void
IdMap_Clear(IdMap *map)
{
    g_free(map->cells);
    map->cells = NULL;
}

static uint32_t
home_of(const IdMap *map, RequestId id)
{
    return (uint32_t)XXH3_64bits(&id, sizeof(id)) & map->mask;
}

/* Returns the cell of the id, or the empty cell for its insertion. */
static uint32_t
find_cell(const IdMap *map, RequestId id)
{
    uint32_t index = home_of(map, id);
    while (map->cells[index].value != IDMAP_NONE &&
           !request_id_equal(map->cells[index].id, id))
    {
        index = (index + 1) & map->mask;
    }
    return index;
}

uint32_t
IdMap_Get(const IdMap *map, RequestId id)
{
    return map->cells[find_cell(map, id)].value;
}

void
IdMap_Put(IdMap *map, RequestId id, uint32_t value)
{
    IdMapCell *cell = &map->cells[find_cell(map, id)];
    if (cell->value == IDMAP_NONE) {
        map->count++;
        INVARIANT(map->count <= map->bound);
    }
    *cell = (IdMapCell){.id = id, .value = value};
}

void
IdMap_Remove(IdMap *map, RequestId id)
{
    uint32_t hole = find_cell(map, id);
    if (map->cells[hole].value == IDMAP_NONE) {
        return;
    }
    map->count--;
    uint32_t index = (hole + 1) & map->mask;
    while (map->cells[index].value != IDMAP_NONE) {
        uint32_t home = home_of(map, map->cells[index].id);
        uint32_t from_home = (index - home) & map->mask;
        uint32_t from_hole = (index - hole) & map->mask;
        if (from_home >= from_hole) {
            map->cells[hole] = map->cells[index];
            hole = index;
        }
        index = (index + 1) & map->mask;
    }
    map->cells[hole].value = IDMAP_NONE;
}
