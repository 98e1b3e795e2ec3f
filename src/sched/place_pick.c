/** @file
 * Placement: the choice among endpoints. An endpoint is weighed by its
 * predicted wait and finish, the part of the prompt that it has cached and
 * the region link. A target with many endpoints is sampled, so that the
 * cost of a decision does not grow with their number.
 */
#include <string.h>

#include <glib.h>

#include "sched/place_state.h"

/* A target with at most this many endpoints is weighed in full. */
#define WEIGHED_IN_FULL 32
/* Endpoints sampled at random of a larger one. */
#define SAMPLED 24
/* Endpoints with a cached start of the prompt that are weighed. */
#define WARM_MAX 16
#define CANDIDATES_MAX (SAMPLED + WARM_MAX)
/* Weight of prefill time: a prompt computed twice costs others as well. */
#define PREFILL_WEIGHT 15
/* Weight of the run time: a slow engine in time is as good as a fast one,
 * and leaves the fast one to urgent requests. */
#define RUN_WEIGHT 0.2
/* Weight of the time by which the deadline would be missed. */
#define LATE_WEIGHT 10
/* Time that the region link has to save before it is used. */
#define REGION_PENALTY (5 * US_PER_S)
/* Entries that know no cached copy of a prompt send it to the same endpoint
 * while the others are not better by more than this. */
#define HOME_SPREAD (3 * US_PER_S)
/* Time added for each recent failure of an endpoint. */
#define FAILURE_PENALTY (10 * US_PER_S)
/* Score within which several endpoints get wants for a request. */
#define WANT_MARGIN (10 * US_PER_S)
/* An endpoint from which nothing was heard for so long gets one more want. */
#define PROBE_PERIOD (5 * US_PER_S)
#define RETRY_UNKNOWN_MS 1000
#define RETRY_MAX_MS 60000
#define MIX_FACTOR 0x9e3779b97f4a7c15U

/* An endpoint that has the start of a prompt cached. */
typedef struct Warm {
    uint32_t index;
    uint32_t blocks;
} Warm;

/* Endpoints that have the start of a prompt cached, deepest first. */
typedef struct WarmSet {
    uint32_t count;
    Warm warm[WARM_MAX];
} WarmSet;

/* An endpoint under consideration. */
typedef struct Candidate {
    uint32_t index;
    bool late;   /* predicted to miss the deadline */
    bool remote; /* in another region */
    bool waits;  /* no slot is predicted to be free */
    TimeUs finish;
    TimeUs score; /* lower is better */
} Candidate;

/* Speeds of the endpoint: as this entry saw them, as its agent reports
 * them, or as the mean of all. */
static EngineSpeed
pace_of(const PlaceTable *table, const PlaceRow *slot)
{
    if (table->config.no_speed) {
        return table->speed;
    }
    EngineSpeed pace = slot->speed;
    if (pace.decode.seconds <= 0) {
        Speed_Init(&pace, slot->report.prefill_tokens_s,
                   slot->report.decode_tokens_s);
    }
    if (pace.decode.tokens <= 0) {
        return table->speed;
    }
    return pace;
}

/* Requests that the last report shows waiting and that go before a tier. */
static uint32_t
queued_ahead(const PlaceReport *report, uint32_t tier)
{
    uint32_t ahead = 0;
    uint32_t known = 0;
    for (uint32_t i = 0; i < WORK_TIERS; i++) {
        known += report->queued_by_tier[i];
        ahead += i <= tier ? report->queued_by_tier[i] : 0;
    }
    return known > 0 ? ahead : report->queued;
}

/* Time until a slot frees, by the last report and what this entry knows. */
static TimeUs
wait_of(const PlaceRow *slot, const WorkSpec *work, TimeUs run_time,
        TimeUs now)
{
    double busy = MAX(slot->report.running, slot->outstanding);
    busy += queued_ahead(&slot->report, work->tier);
    busy += PlaceState_Decayed(slot->recent_wants, slot->recent_at,
                               RECENT_HALF_LIFE, now);
    double slots = MAX(slot->report.slots, 1);
    return busy < slots
               ? 0
               : (TimeUs)((busy - slots + 1) / slots * (double)run_time);
}

static uint32_t
warm_blocks(const WarmSet *set, uint32_t index)
{
    for (uint32_t i = 0; i < set->count; i++) {
        if (set->warm[i].index == index) {
            return set->warm[i].blocks;
        }
    }
    return 0;
}

/* Collects who has the start of the prompt. A known block stands for those
 * before it, as its hash covers them and their events may be lost. */
static void
find_warm(const PlaceTable *table, const WorkSpec *work, WarmSet *set)
{
    set->count = 0;
    uint32_t depth = table->config.no_affinity ? 0 : work->prefix_count;
    for (; depth > 0 && set->count < WARM_MAX; depth--) {
        uint64_t holders[BLOCKS_HOLDERS_MAX];
        uint32_t found =
            Blocks_Holders(table->blocks, work->prefix[depth - 1], holders);
        for (uint32_t i = 0; i < found && set->count < WARM_MAX; i++) {
            uint32_t index = (uint32_t)holders[i];
            bool current = table->slots[index].cache_holder == holders[i];
            if (current && warm_blocks(set, index) == 0) {
                set->warm[set->count++] = (Warm){index, depth};
            }
        }
    }
}

/* Orders endpoints differently for each prompt start (rendezvous hashing). */
static TimeUs
home_distance(const PlaceRow *slot, const WorkSpec *work)
{
    if (work->prefix_count == 0) {
        return 0;
    }
    uint64_t mixed = (work->prefix[0] ^ slot->endpoint.name) * MIX_FACTOR;
    mixed ^= mixed >> 32;
    mixed *= MIX_FACTOR;
    return (TimeUs)(mixed >> 32) * HOME_SPREAD >> 32;
}

static Candidate
weigh(const PlaceTable *table, uint32_t index, const WarmSet *warm,
      const WorkSpec *work, TimeUs now)
{
    const PlaceRow *slot = &table->slots[index];
    const PlaceConfig *config = &table->config;
    EngineSpeed pace = pace_of(table, slot);
    uint32_t cached = warm_blocks(warm, index);
    TimeUs run_time = Speed_RunTime(&pace, work, cached);
    bool remote = slot->endpoint.region != config->region;
    bool far = slot->endpoint.zone != config->zone;
    TimeUs latency =
        remote ? config->region_latency : (far ? config->zone_latency : 0);
    /* Waits and prompts are weighed at the mean pace: whichever agent has a
     * free slot first grants first, so that a fast engine takes more by
     * itself, and urgent wants stand in the queues of slow ones too. */
    const EngineSpeed *mean =
        table->speed.decode.tokens > 0 ? &table->speed : &pace;
    TimeUs mean_run_time = Speed_RunTime(mean, work, cached);
    TimeUs wait = wait_of(slot, work, mean_run_time, now);
    TimeUs finish = now + 4 * latency + run_time + wait;
    double failures = PlaceState_Decayed(slot->failures, slot->failures_at,
                                         FAILURE_HALF_LIFE, now);
    double uncached = work->prompt_tokens - (double)cached * WORK_BLOCK_TOKENS;
    double prefill = Speed_Rate(&mean->prefill);
    double seconds = prefill > 0 ? uncached / prefill : 0;
    return (Candidate){
        .index = index,
        .late = now + run_time > work->deadline,
        .remote = remote,
        .waits = wait > 0,
        .finish = finish,
        .score = wait + latency + (TimeUs)((double)run_time * RUN_WEIGHT) +
                 (TimeUs)(failures * FAILURE_PENALTY) +
                 (TimeUs)(seconds * PREFILL_WEIGHT * US_PER_S) +
                 (remote ? REGION_PENALTY : 0) +
                 (cached == 0 ? home_distance(slot, work) : 0) +
                 MAX(finish - work->deadline, 0) * LATE_WEIGHT,
    };
}

static bool
is_better(const Candidate *a, const Candidate *b)
{
    return a->score < b->score;
}

/* Keeps the best in order. */
static void
insert_best(Candidate *best, uint32_t *count, uint32_t wants,
            const Candidate *candidate)
{
    uint32_t at = *count;
    if (at < wants) {
        (*count)++;
    }
    else if (is_better(candidate, &best[at - 1])) {
        at--;
    }
    else {
        return;
    }
    while (at > 0 && is_better(candidate, &best[at - 1])) {
        best[at] = best[at - 1];
        at--;
    }
    best[at] = *candidate;
}

static uint32_t
next_random(PlaceTable *table)
{
    table->random ^= table->random << 13;
    table->random ^= table->random >> 7;
    table->random ^= table->random << 17;
    return (uint32_t)(table->random >> 32);
}

static void
add_index(uint32_t *indexes, uint32_t *count, uint32_t index)
{
    for (uint32_t i = 0; i < *count; i++) {
        if (indexes[i] == index) {
            return;
        }
    }
    indexes[(*count)++] = index;
}

static bool
serves(const PlaceRow *slot, uint64_t target)
{
    for (uint32_t i = 0; i < slot->endpoint.target_count; i++) {
        if (slot->endpoint.targets[i] == target) {
            return true;
        }
    }
    return false;
}

/* Writes the endpoints to weigh.
 * @return how many, at most CANDIDATES_MAX. */
static uint32_t
choose_candidates(PlaceTable *table, const TargetMembers *members,
                  const WarmSet *warm, uint32_t *indexes)
{
    if (members->count <= WEIGHED_IN_FULL) {
        memcpy(indexes, members->members, members->count * sizeof(indexes[0]));
        return members->count;
    }
    uint32_t count = 0;
    while (count < warm->count) {
        indexes[count] = warm->warm[count].index;
        count++;
    }
    for (uint32_t i = 0; i < SAMPLED; i++) {
        uint32_t at = next_random(table) % members->count;
        add_index(indexes, &count, members->members[at]);
    }
    return count;
}

static bool
was_refused(const PlaceHandle *refused, uint32_t count, uint32_t index)
{
    for (uint32_t i = 0; i < count; i++) {
        if (refused[i].index == index) {
            return true;
        }
    }
    return false;
}

/* Whether the region link has budget for one more body over it. */
static bool
region_has_budget(PlaceTable *table, TimeUs now)
{
    double rate = table->config.region_bytes_s;
    double seconds = (double)(now - table->region_at) / US_PER_S;
    table->region_bytes = MIN(table->region_bytes + seconds * rate, rate);
    table->region_at = now;
    return rate <= 0 || table->region_bytes > 0;
}

/* Whether the endpoint may get a want; otherwise says why not. */
static bool
is_open(const PlaceRow *slot, const WorkSpec *work, PlaceChoice *pick)
{
    if (!slot->connected || slot->report.leaving) {
        return false;
    }
    if (work->tier > slot->report.lowest_tier) {
        if (pick->reason != REFUSE_SHED ||
            slot->report.retry_after_ms < pick->retry_after_ms)
        {
            pick->retry_after_ms = slot->report.retry_after_ms;
        }
        pick->reason = REFUSE_SHED;
        return false;
    }
    return true;
}

static void
note_late(const Candidate *candidate, const WorkSpec *work, PlaceChoice *pick)
{
    if (pick->reason == REFUSE_SHED) {
        return;
    }
    TimeUs late_ms = (candidate->finish - work->deadline) / US_PER_MS;
    pick->reason = REFUSE_DEADLINE;
    pick->retry_after_ms =
        (uint32_t)CLAMP(late_ms, RETRY_UNKNOWN_MS, RETRY_MAX_MS);
}

/* One want is enough where a slot is predicted to be free. Otherwise those
 * that are about as good as the best get one too; the first grant counts. */
static void
drop_worse(const Candidate *best, PlaceChoice *pick)
{
    uint32_t keep = 1;
    while (best[0].waits && keep < pick->count &&
           best[keep].score <= best[0].score + WANT_MARGIN)
    {
        keep++;
    }
    pick->count = keep;
}

/* Counts the wants as load, so that requests which come before the next
 * report spread. */
static void
commit_pick(PlaceTable *table, const Candidate *best, PlaceChoice *pick,
            TimeUs now)
{
    for (uint32_t i = 0; i < pick->count; i++) {
        PlaceRow *slot = &table->slots[best[i].index];
        pick->endpoints[i] = (PlaceHandle){
            .index = best[i].index,
            .generation = slot->generation,
        };
        PlaceState_AddDecaying(&slot->recent_wants, &slot->recent_at,
                               RECENT_HALF_LIFE, 1.0 / pick->count, now);
        slot->observed_at = now;
    }
    pick->predicted_finish = best[0].finish;
}

/* Puts an endpoint that was out of use into the last place. */
static void
add_probe(PlaceTable *table, const Candidate *probe, Candidate *best,
          PlaceChoice *pick)
{
    bool wanted = probe->finish != 0 && !table->config.no_probe &&
                  pick->count < PLACE_WANTS_MAX;
    for (uint32_t i = 0; i < pick->count; i++) {
        wanted = wanted && best[i].index != probe->index;
    }
    if (!wanted) {
        return;
    }
    best[pick->count++] = *probe;
}

bool
Place_PickAgain(PlaceTable *table, const WorkSpec *work, TimeUs now,
                const PlaceHandle *refused, uint32_t refused_count,
                PlaceChoice *pick)
{
    *pick = (PlaceChoice){
        .reason = REFUSE_UNFIT,
        .retry_after_ms = RETRY_UNKNOWN_MS,
    };
    const TargetMembers *members = Targets_Find(&table->targets, work->target);
    if (members == NULL || members->count == 0) {
        return false;
    }
    pick->target_exists = true;
    uint32_t indexes[CANDIDATES_MAX];
    WarmSet warm;
    find_warm(table, work, &warm);
    uint32_t count = choose_candidates(table, members, &warm, indexes);
    bool cross = region_has_budget(table, now);
    Candidate best[PLACE_WANTS_MAX] = {0};
    Candidate probe = {0};
    TimeUs oldest = now - PROBE_PERIOD;
    for (uint32_t i = 0; i < count; i++) {
        const PlaceRow *slot = &table->slots[indexes[i]];
        if (!serves(slot, work->target) || !is_open(slot, work, pick) ||
            was_refused(refused, refused_count, indexes[i]))
        {
            continue;
        }
        Candidate candidate = weigh(table, indexes[i], &warm, work, now);
        if (candidate.late) {
            note_late(&candidate, work, pick);
            continue;
        }
        if (candidate.remote && !cross) {
            continue;
        }
        insert_best(best, &pick->count, table->config.wants, &candidate);
        if (slot->observed_at < oldest && !candidate.remote) {
            oldest = slot->observed_at;
            probe = candidate;
        }
    }
    if (pick->count == 0) {
        return false;
    }
    drop_worse(best, pick);
    add_probe(table, &probe, best, pick);
    commit_pick(table, best, pick, now);
    return true;
}

bool
Place_Pick(PlaceTable *table, const WorkSpec *work, TimeUs now,
           PlaceChoice *pick)
{
    return Place_PickAgain(table, work, now, NULL, 0, pick);
}
