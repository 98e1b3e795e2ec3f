/** @file
 * Placement: the table of endpoints and the measurements of each.
 */
#include <string.h>

#include <glib.h>

#include "sched/place_state.h"

/* Size of the table of cached prefix blocks: block and holder pairs for each
 * endpoint, and the bounds of the total. */
#define PAIRS_PER_ENDPOINT 2048
#define PAIRS_MIN 16384
#define PAIRS_MAX (1U << 20)
#define BYTES_PER_TOKEN 4.0

PlaceTable *
Place_New(const PlaceConfig *config)
{
    size_t size = sizeof(PlaceTable) + config->capacity * sizeof(PlaceRow);
    PlaceTable *table = g_malloc0(size);
    table->config = *config;
    table->config.wants = CLAMP(config->wants, 1, PLACE_WANTS_MAX);
    table->random_state = config->zone * 2 + 1;
    table->region_bytes = config->region_bytes_s;
    uint32_t pairs = config->capacity * PAIRS_PER_ENDPOINT;
    table->blocks = Blocks_New(CLAMP(pairs, PAIRS_MIN, PAIRS_MAX));
    return table;
}

void
Place_Free(PlaceTable *table)
{
    Targets_Clear(&table->targets);
    Blocks_Free(table->blocks);
    g_free(table);
}

static PlaceRow *
find_row(PlaceTable *table, PlaceHandle handle)
{
    if (handle.generation == 0 || handle.index >= table->row_count) {
        return NULL;
    }
    PlaceRow *row = &table->rows[handle.index];
    bool same = row->used && row->generation == handle.generation;
    return same ? row : NULL;
}

static uint32_t
find_free_row(const PlaceTable *table)
{
    uint32_t index = 0;
    while (index < table->row_count && table->rows[index].used) {
        index++;
    }
    return index;
}

static void
reset_cache(PlaceTable *table, PlaceRow *row)
{
    uint64_t index = (uint64_t)(row - table->rows);
    row->cache_holder = ++table->next_holder << 32 | index;
}

static void
index_targets(PlaceTable *table, const PlaceRow *row, bool add)
{
    uint32_t index = (uint32_t)(row - table->rows);
    for (uint32_t i = 0; i < row->endpoint.target_count; i++) {
        uint64_t target = row->endpoint.targets[i];
        if (add) {
            Targets_Add(&table->targets, target, index);
        }
        else {
            Targets_Remove(&table->targets, target, index);
        }
    }
}

int
Place_Add(PlaceTable *table, const PlaceEndpoint *endpoint, TimeUs now,
          PlaceHandle *handle)
{
    uint32_t index = find_free_row(table);
    if (index == table->config.capacity) {
        return ERR_FULL;
    }
    if (index == table->row_count) {
        table->row_count++;
    }
    PlaceRow *row = &table->rows[index];
    uint32_t generation = row->generation + 1;
    *row = (PlaceRow){
        .used = true,
        .generation = generation,
        .endpoint = *endpoint,
        .report = {.slots = 1, .lowest_tier = WORK_TIERS - 1},
        .last_want_at = now,
    };
    reset_cache(table, row);
    index_targets(table, row, true);
    *handle = (PlaceHandle){.index = index, .generation = generation};
    return ERR_OK;
}

void
Place_Remove(PlaceTable *table, PlaceHandle handle)
{
    PlaceRow *row = find_row(table, handle);
    if (row != NULL) {
        index_targets(table, row, false);
        row->used = false;
    }
}

void
Place_SetTargets(PlaceTable *table, PlaceHandle handle,
                 const uint64_t *targets, uint32_t count)
{
    PlaceRow *row = find_row(table, handle);
    if (row == NULL || count > PLACE_TARGETS_MAX) {
        return;
    }
    size_t size = count * sizeof(targets[0]);
    if (row->endpoint.target_count == count &&
        memcmp(row->endpoint.targets, targets, size) == 0)
    {
        return;
    }
    index_targets(table, row, false);
    memcpy(row->endpoint.targets, targets, size);
    row->endpoint.target_count = count;
    index_targets(table, row, true);
}

void
Place_OnReport(PlaceTable *table, PlaceHandle handle,
               const PlaceReport *report, TimeUs now)
{
    PlaceRow *row = find_row(table, handle);
    if (row != NULL && report->sequence > row->report.sequence) {
        row->report = *report;
    }
}

void
PlaceState_AddDecaying(double *value, TimeUs *at, double half_life, double add,
                       TimeUs now)
{
    double halves = (double)(now - *at) / half_life;
    *value = halves > 20 ? add : *value / (1 + halves) + add;
    *at = now;
}

double
PlaceState_Decayed(double value, TimeUs at, double half_life, TimeUs now)
{
    return value / (1 + (double)(now - at) / half_life);
}

static void
add_failure(PlaceRow *row, TimeUs now)
{
    PlaceState_AddDecaying(&row->failures, &row->failures_at,
                           FAILURE_HALF_LIFE_US, 1, now);
}

void
Place_SetConnected(PlaceTable *table, PlaceHandle handle, bool connected)
{
    PlaceRow *row = find_row(table, handle);
    if (row != NULL) {
        row->connected = connected;
        row->report.sequence = 0;
    }
}

void
Place_UpdateCache(PlaceTable *table, PlaceHandle handle,
                  const uint64_t *blocks, uint32_t count, bool cached)
{
    const PlaceRow *row = find_row(table, handle);
    for (uint32_t i = 0; row != NULL && i < count; i++) {
        if (cached) {
            Blocks_Add(table->blocks, blocks[i], row->cache_holder);
        }
        else {
            Blocks_Remove(table->blocks, blocks[i], row->cache_holder);
        }
    }
}

void
Place_ResetCache(PlaceTable *table, PlaceHandle handle)
{
    PlaceRow *row = find_row(table, handle);
    if (row != NULL) {
        reset_cache(table, row);
    }
}

void
Place_OnDispatched(PlaceTable *table, PlaceHandle handle, const WorkSpec *work,
                   TimeUs now)
{
    PlaceRow *row = find_row(table, handle);
    if (row == NULL) {
        return;
    }
    row->outstanding++;
    for (uint32_t i = 0; i < work->prefix_count; i++) {
        Blocks_Add(table->blocks, work->prefix[i], row->cache_holder);
    }
    if (row->endpoint.region != table->config.region) {
        table->region_bytes -=
            (work->prompt_tokens + work->output_tokens) * BYTES_PER_TOKEN;
    }
}

void
Place_OnRefused(PlaceTable *table, PlaceHandle handle, const WorkSpec *work,
                RefuseReason reason, uint32_t retry_after_ms, TimeUs now)
{
    PlaceRow *row = find_row(table, handle);
    if (row != NULL && reason == REFUSE_LEAVING) {
        row->report.leaving = true;
    }
}

static void
add_measurements(EngineSpeed *speed, const WorkSpec *work,
                 const PlaceResult *result)
{
    uint32_t tokens = result->output_tokens > 0 ? result->output_tokens
                                                : work->output_tokens;
    Speed_AddRun(speed, result->ended_at - result->dispatched_at);
    if (result->first_piece_at == 0) {
        return;
    }
    if (work->prompt_tokens > result->cached_tokens) {
        Speed_AddFirstPiece(speed, work->prompt_tokens - result->cached_tokens,
                            result->first_piece_at - result->dispatched_at);
    }
    Speed_AddDecode(speed, tokens, result->ended_at - result->first_piece_at);
}

void
Place_OnFinished(PlaceTable *table, PlaceHandle handle, const WorkSpec *work,
                 const PlaceResult *result, TimeUs now)
{
    PlaceRow *row = find_row(table, handle);
    if (row == NULL) {
        return;
    }
    if (row->outstanding > 0) {
        row->outstanding--;
    }
    if (!result->complete) {
        add_failure(row, now);
        return;
    }
    add_measurements(&row->speed, work, result);
    add_measurements(&table->speed, work, result);
}
