/** @file
 * Placement: selection of endpoints. The score of an endpoint combines its
 * predicted wait and run time, the uncached part of the prompt, recent
 * failures and the use of the link between regions. For a target with many
 * endpoints only a sample is scored, so that the cost of a decision does not
 * grow with their number.
 */
#include <string.h>

#include <glib.h>

#include "sched/place_state.h"

/* All endpoints of a target are scored if there are at most this many. */
#define WEIGHED_IN_FULL 32
/* Number of endpoints drawn at random for a target that has more. */
#define SAMPLED 24
/* Maximum number of scored endpoints that have cached a prefix of the
 * prompt. */
#define WARM_MAX 16
#define CANDIDATES_MAX (SAMPLED + WARM_MAX)
/* Weight of the prefill time. Computing a prompt that another endpoint has
 * cached also delays other requests. */
#define PREFILL_WEIGHT 15
/* Weight of the run time. A slow engine that meets the deadline is as good as
 * a fast one, and leaves the fast one to urgent requests. */
#define RUN_WEIGHT 0.2
/* Weight of the predicted lateness. */
#define LATE_WEIGHT 10
/* Time that another region must save before the link to it is used. */
#define REGION_PENALTY (5 * US_PER_S)
/* Range of the score offset that rendezvous hashing adds for an uncached
 * prompt. It makes all entries send the prompt to the same endpoint unless
 * another endpoint is better by more than this. */
#define HOME_SPREAD (3 * US_PER_S)
/* Added to the score for each recent failure of an endpoint. */
#define FAILURE_PENALTY (10 * US_PER_S)
/* Endpoints whose score is within this distance of the best one may receive a
 * want as well. */
#define WANT_MARGIN (10 * US_PER_S)
/* An endpoint that was sent no want for this time receives an additional want
 * as a probe. */
#define PROBE_PERIOD (5 * US_PER_S)
#define RETRY_UNKNOWN_MS 1000
#define RETRY_MAX_MS 60000
#define MIX_FACTOR 0x9e3779b97f4a7c15U

/* An endpoint that has cached a prefix of a prompt, and its length in
 * blocks. */
typedef struct Warm {
    uint32_t index;
    uint32_t blocks;
} Warm;

/* Endpoints that have cached a prefix of a prompt, longest prefix first. */
typedef struct WarmSet {
    uint32_t count;
    Warm warm[WARM_MAX];
} WarmSet;

typedef struct Candidate {
    uint32_t index;
    bool late;   /* finishes after the deadline even without a wait */
    bool remote; /* in another region */
    bool waits;  /* no slot is predicted to be free */
    TimeUs finish;
    TimeUs score; /* in microseconds; lower is better */
} Candidate;

/* Returns the speed of the endpoint: measured by this entry if available,
 * else reported by the agent, else the mean of all endpoints. */
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

/* Counts the queued requests of the last report that precede a new one of @p
 * tier. */
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

/* Predicts the time until a slot is free, from the last report and the
 * requests of this entry. */
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

/* Collects the endpoints that have cached a prefix of the prompt. A recorded
 * block implies the preceding ones, because its hash covers them and their
 * cache events may be lost. */
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

/* Returns the score offset of an endpoint by rendezvous hashing, which orders
 * the endpoints differently for each first block of a prompt. */
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
    /* Waits and prefill times are computed with the mean speed. The first
     * agent with a free slot grants first, so that a fast engine receives
     * more requests anyway, and urgent wants are also queued at slow
     * engines. */
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

/* Inserts a candidate into the sorted list of the best @p wants ones. */
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

/* Writes the indexes of the endpoints to score.
 * @return their number, at most CANDIDATES_MAX. */
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

/* Refills the budget of the link between regions and returns true if one more
 * request may use it. */
static bool
region_has_budget(PlaceTable *table, TimeUs now)
{
    double rate = table->config.region_bytes_s;
    double seconds = (double)(now - table->region_at) / US_PER_S;
    table->region_bytes = MIN(table->region_bytes + seconds * rate, rate);
    table->region_at = now;
    return rate <= 0 || table->region_bytes > 0;
}

/* Returns true if the endpoint may receive a want. Otherwise it may store the
 * refusal reason and the time to retry in @p pick. */
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

/* Removes the candidates that need no want. One want is enough if a slot is
 * predicted to be free. Otherwise the endpoints with a similar score receive
 * a want as well, and the first grant is used. */
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

/* Writes the chosen endpoints and counts their wants as load, so that
 * requests that arrive before the next report are spread. */
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

/* Appends an endpoint that was not used for PROBE_PERIOD. */
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
