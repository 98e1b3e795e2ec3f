/** @file
 * Open addressing with linear probing. A target keeps its cell after its last
 * endpoint is removed.
 */
#include "sched/targets.h"

#include <glib.h>

#define CELL_COUNT (TARGETS_MAX * 2)

void
Targets_Clear(Targets *targets)
{
    for (uint32_t i = 0; i < CELL_COUNT; i++) {
        g_free(targets->cells[i].members);
    }
}

static uint32_t
find_cell(const Targets *targets, uint64_t target)
{
    uint32_t index = (uint32_t)(target % CELL_COUNT);
    while (targets->cells[index].target != 0 &&
           targets->cells[index].target != target)
    {
        index = (index + 1) % CELL_COUNT;
    }
    return index;
}

const TargetMembers *
Targets_Find(const Targets *targets, uint64_t target)
{
    const TargetMembers *cell = &targets->cells[find_cell(targets, target)];
    return cell->target == target ? cell : NULL;
}

void
Targets_Add(Targets *targets, uint64_t target, uint32_t member)
{
    TargetMembers *cell = &targets->cells[find_cell(targets, target)];
    if (cell->target == 0) {
        if (targets->used == TARGETS_MAX) {
            return;
        }
        targets->used++;
        cell->target = target;
    }
    if (cell->count == cell->capacity) {
        cell->capacity = MAX(cell->capacity * 2, 4);
        cell->members = g_renew(uint32_t, cell->members, cell->capacity);
    }
    cell->members[cell->count++] = member;
}

void
Targets_Remove(Targets *targets, uint64_t target, uint32_t member)
{
    TargetMembers *cell = &targets->cells[find_cell(targets, target)];
    for (uint32_t i = 0; i < cell->count; i++) {
        if (cell->members[i] == member) {
            cell->members[i] = cell->members[--cell->count];
            return;
        }
    }
}
