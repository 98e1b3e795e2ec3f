/** @file
 * Placement by predicted finish over a table of endpoints.
 */
#include "sched/place.h"

#include <glib.h>
#include <string.h>

typedef struct Slot {
    bool used;
    bool up;
    uint32_t generation;
    PlaceEndpoint endpoint;
    PlaceReport report;
    uint32_t outstanding; /* dispatched by this entry, not ended */
} Slot;

struct PlaceTable {
    PlaceConfig config;
    uint32_t used; /* slots ever used */
    Slot slots[];
};

PlaceTable *
Place_New(const PlaceConfig *config)
{
    size_t size = sizeof(PlaceTable) + config->capacity * sizeof(Slot);
    PlaceTable *table = g_malloc0(size);
    table->config = *config;
    return table;
}

void
Place_Free(PlaceTable *table)
{
    g_free(table);
}

static Slot *
slot_of(PlaceTable *table, PlaceHandle handle)
{
    if (handle.generation == 0 || handle.index >= table->used) {
        return NULL;
    }
    Slot *slot = &table->slots[handle.index];
    bool same = slot->used && slot->generation == handle.generation;
    return same ? slot : NULL;
}

static uint32_t
find_free(const PlaceTable *table)
{
    uint32_t index = 0;
    while (index < table->used && table->slots[index].used) {
        index++;
    }
    return index;
}

int
Place_Add(PlaceTable *table, const PlaceEndpoint *endpoint, TimeUs now,
          PlaceHandle *handle)
{
    uint32_t index = find_free(table);
    if (index == table->config.capacity) {
        return ERR_FULL;
    }
    if (index == table->used) {
        table->used++;
    }
    Slot *slot = &table->slots[index];
    uint32_t generation = slot->generation + 1;
    *slot = (Slot){
        .used = true,
        .generation = generation,
        .endpoint = *endpoint,
        .report = {.slots = 1, .lowest_tier = WORK_TIERS - 1},
    };
    *handle = (PlaceHandle){.index = index, .generation = generation};
    return ERR_OK;
}

void
Place_Remove(PlaceTable *table, PlaceHandle handle)
{
    Slot *slot = slot_of(table, handle);
    if (slot != NULL) {
        slot->used = false;
    }
}

void
Place_SetTargets(PlaceTable *table, PlaceHandle handle,
                 const uint64_t *targets, uint32_t count)
{
    Slot *slot = slot_of(table, handle);
    if (slot == NULL || count > PLACE_TARGETS_MAX) {
        return;
    }
    memcpy(slot->endpoint.targets, targets, count * sizeof(targets[0]));
    slot->endpoint.target_count = count;
}

void
Place_Report(PlaceTable *table, PlaceHandle handle, const PlaceReport *report,
             TimeUs now)
{
    Slot *slot = slot_of(table, handle);
    if (slot != NULL && report->sequence > slot->report.sequence) {
        slot->report = *report;
    }
}

void
Place_SetUp(PlaceTable *table, PlaceHandle handle, bool up)
{
    Slot *slot = slot_of(table, handle);
    if (slot != NULL) {
        slot->up = up;
        slot->report.sequence = 0;
    }
}

void
Place_Cached(PlaceTable *table, PlaceHandle handle, const uint64_t *blocks,
             uint32_t count, bool cached)
{
}

void
Place_CacheReset(PlaceTable *table, PlaceHandle handle)
{
}

static bool
serves(const Slot *slot, uint64_t target)
{
    for (uint32_t i = 0; i < slot->endpoint.target_count; i++) {
        if (slot->endpoint.targets[i] == target) {
            return true;
        }
    }
    return false;
}

static TimeUs
predict(const PlaceTable *table, const Slot *slot, const Work *work,
        TimeUs now)
{
    const PlaceReport *report = &slot->report;
    double seconds = 0;
    if (report->prefill_tokens_s > 0) {
        double tokens = work->prompt_tokens + report->queued_prompt_tokens;
        seconds += tokens / report->prefill_tokens_s;
    }
    if (report->decode_tokens_s > 0) {
        seconds += work->output_tokens / report->decode_tokens_s;
    }
    uint32_t busy = report->running + report->queued;
    if (report->slots > 0 && busy >= report->slots) {
        seconds += (double)(busy - report->slots + 1) / report->slots;
    }
    TimeUs latency = 0;
    if (slot->endpoint.region != table->config.region) {
        latency = table->config.region_latency;
    }
    else if (slot->endpoint.zone != table->config.zone) {
        latency = table->config.zone_latency;
    }
    return now + 2 * latency + (TimeUs)(seconds * US_PER_S) +
           slot->outstanding * US_PER_MS;
}

/* Keeps the best `wants` endpoints in finish order. */
static void
insert_best(PlacePick *pick, TimeUs *finishes, uint32_t wants,
            PlaceHandle handle, TimeUs finish)
{
    uint32_t at = pick->count < wants ? pick->count++ : wants - 1;
    if (at == wants - 1 && pick->count == wants && finishes[at] <= finish &&
        pick->endpoints[at].generation != 0)
    {
        return;
    }
    while (at > 0 && finishes[at - 1] > finish) {
        finishes[at] = finishes[at - 1];
        pick->endpoints[at] = pick->endpoints[at - 1];
        at--;
    }
    finishes[at] = finish;
    pick->endpoints[at] = handle;
}

bool
Place_Pick(PlaceTable *table, const Work *work, TimeUs now, PlacePick *pick)
{
    *pick = (PlacePick){.reason = REFUSE_UNFIT, .retry_after_ms = 1000};
    TimeUs finishes[PLACE_WANTS_MAX] = {0};
    uint32_t wants = table->config.wants;
    for (uint32_t i = 0; i < table->used; i++) {
        Slot *slot = &table->slots[i];
        if (!slot->used || !serves(slot, work->target)) {
            continue;
        }
        pick->known_target = true;
        if (!slot->up || slot->report.leaving) {
            continue;
        }
        if (work->tier > slot->report.lowest_tier) {
            pick->reason = REFUSE_SHED;
            pick->retry_after_ms = slot->report.retry_after_ms;
            continue;
        }
        PlaceHandle handle = {.index = i, .generation = slot->generation};
        insert_best(pick, finishes, wants, handle,
                    predict(table, slot, work, now));
    }
    pick->finish = finishes[0];
    return pick->count > 0;
}

void
Place_Dispatched(PlaceTable *table, PlaceHandle handle, const Work *work,
                 TimeUs now)
{
    Slot *slot = slot_of(table, handle);
    if (slot != NULL) {
        slot->outstanding++;
    }
}

void
Place_Refused(PlaceTable *table, PlaceHandle handle, const Work *work,
              RefuseReason reason, uint32_t retry_after_ms, TimeUs now)
{
}

void
Place_Finished(PlaceTable *table, PlaceHandle handle, const Work *work,
               const PlaceResult *result, TimeUs now)
{
    Slot *slot = slot_of(table, handle);
    if (slot != NULL && slot->outstanding > 0) {
        slot->outstanding--;
    }
}
