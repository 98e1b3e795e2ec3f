/** @file
 * Placement: selection of endpoints. The score of an endpoint combines its
 * predicted wait and run time, the uncached part of the prompt, recent
 * failures and whether it is in another region. For a target with many
 * endpoints only a sample is scored, so that the cost of a decision does not
 * grow with their number.
 */
#include <string.h>

#include <glib.h>

#include "sched/place_state.h"

/* All endpoints of a target are scored if there are at most this many. */
#define FULL_SCORING_MAX 32
/* Number of endpoints drawn at random for a target that has more. */
#define SAMPLE_COUNT 24
/* Maximum number of scored endpoints that have cached a prefix of the
 * prompt. */
#define PREFIX_HOLDERS_MAX 16
#define CANDIDATES_MAX (SAMPLE_COUNT + PREFIX_HOLDERS_MAX)
/* Weight of the prefill time. Computing a prompt that another endpoint has
 * cached also delays other requests. */
#define PREFILL_WEIGHT 15
/* Weight of the run time. A slow engine that meets the deadline is as good as
 * a fast one, and leaves the fast one to urgent requests. */
#define RUN_WEIGHT 0.2
/* Weight of the predicted lateness. */
#define LATENESS_WEIGHT 10
/* Added to the score of an endpoint in another region: the time that it must
 * save to be chosen. */
#define REGION_PENALTY_US (5 * US_PER_S)
/* Range of the score offset that rendezvous hashing adds for an uncached
 * prompt. It makes all entries send the prompt to the same endpoint unless
 * another endpoint is better by more than this. */
#define HOME_OFFSET_MAX_US (3 * US_PER_S)
/* Added to the score for each recent failure of an endpoint. */
#define FAILURE_PENALTY_US (10 * US_PER_S)
/* Endpoints whose score is within this distance of the best one may receive a
 * want as well. */
#define WANT_SCORE_RANGE_US (10 * US_PER_S)
/* An endpoint that was sent no want for this time receives an additional want
 * as a probe. */
#define PROBE_PERIOD_US (5 * US_PER_S)
#define RETRY_AFTER_DEFAULT_MS 1000
#define RETRY_AFTER_MAX_MS 60000
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15U

/* An endpoint that has cached a prefix of a prompt, and the length of that
 * prefix in blocks. */
typedef struct PrefixHolder {
    uint32_t index;
    uint32_t blocks;
} PrefixHolder;

/* Endpoints that have cached a prefix of a prompt, longest prefix first. */
typedef struct PrefixHolderSet {
    uint32_t count;
    PrefixHolder holders[PREFIX_HOLDERS_MAX];
} PrefixHolderSet;

typedef struct Candidate {
    uint32_t index;
    bool misses_deadline; /* finishes after the deadline even without a wait */
    bool remote;          /* in another region */
    bool must_wait;       /* no slot is predicted to be free */
    TimeUs finish;
    TimeUs score; /* in microseconds; lower is better */
} Candidate;

/* Returns the speed of the endpoint: measured by this entry if available,
 * else reported by the agent, else the mean of all endpoints. */
static EngineSpeed
speed_of(const PlaceTable *table, const PlaceRow *row)
{
    if (table->config.no_speed) {
        return table->speed;
    }
    EngineSpeed speed = row->speed;
    if (speed.decode.seconds <= 0) {
        Speed_Init(&speed, row->report.prefill_tokens_s,
                   row->report.decode_tokens_s);
    }
    if (speed.decode.tokens <= 0) {
        return table->speed;
    }
    return speed;
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
predict_wait(const PlaceRow *row, const WorkSpec *work, TimeUs run_time,
             TimeUs now)
{
    double busy = MAX(row->report.running, row->outstanding);
    busy += queued_ahead(&row->report, work->tier);
    busy += PlaceState_Decayed(row->recent_wants, row->recent_wants_at,
                               RECENT_WANTS_HALF_LIFE_US, now);
    double slots = MAX(row->report.slots, 1);
    return busy < slots
               ? 0
               : (TimeUs)((busy - slots + 1) / slots * (double)run_time);
}

static uint32_t
cached_prefix_blocks(const PrefixHolderSet *set, uint32_t index)
{
    for (uint32_t i = 0; i < set->count; i++) {
        if (set->holders[i].index == index) {
            return set->holders[i].blocks;
        }
    }
    return 0;
}

/* Collects the endpoints that have cached a prefix of the prompt. A recorded
 * block implies the preceding ones, because its hash covers them and their
 * cache events may be lost. */
static void
find_prefix_holders(const PlaceTable *table, const WorkSpec *work,
                    PrefixHolderSet *set)
{
    set->count = 0;
    uint32_t depth = table->config.no_affinity ? 0 : work->prefix_count;
    for (; depth > 0 && set->count < PREFIX_HOLDERS_MAX; depth--) {
        uint64_t holder_ids[BLOCKS_HOLDERS_MAX];
        uint32_t found =
            Blocks_Holders(table->blocks, work->prefix[depth - 1], holder_ids);
        for (uint32_t i = 0; i < found && set->count < PREFIX_HOLDERS_MAX; i++)
        {
            uint32_t index = (uint32_t)holder_ids[i];
            bool current = table->rows[index].cache_holder == holder_ids[i];
            if (current && cached_prefix_blocks(set, index) == 0) {
                set->holders[set->count++] = (PrefixHolder){index, depth};
            }
        }
    }
}

/* Returns the score offset of an endpoint by rendezvous hashing, which orders
 * the endpoints differently for each first block of a prompt. */
static TimeUs
home_offset(const PlaceRow *row, const WorkSpec *work)
{
    if (work->prefix_count == 0) {
        return 0;
    }
    uint64_t mixed = (work->prefix[0] ^ row->endpoint.name) * HASH_MULTIPLIER;
    mixed ^= mixed >> 32;
    mixed *= HASH_MULTIPLIER;
    return (TimeUs)(mixed >> 32) * HOME_OFFSET_MAX_US >> 32;
}

static Candidate
score_endpoint(const PlaceTable *table, uint32_t index,
               const PrefixHolderSet *holders, const WorkSpec *work,
               TimeUs now)
{
    const PlaceRow *row = &table->rows[index];
    const PlaceConfig *config = &table->config;
    EngineSpeed speed = speed_of(table, row);
    uint32_t cached = cached_prefix_blocks(holders, index);
    TimeUs run_time = Speed_RunTime(&speed, work, cached);
    bool remote = row->endpoint.region != config->region;
    bool other_zone = row->endpoint.zone != config->zone;
    TimeUs latency = remote ? config->region_latency
                            : (other_zone ? config->zone_latency : 0);
    /* Waits and prefill times are computed with the mean speed. The first
     * agent with a free slot grants first, so that a fast engine receives
     * more requests anyway, and urgent wants are also queued at slow
     * engines. */
    const EngineSpeed *mean_speed =
        table->speed.decode.tokens > 0 ? &table->speed : &speed;
    TimeUs mean_run_time = Speed_RunTime(mean_speed, work, cached);
    TimeUs wait = predict_wait(row, work, mean_run_time, now);
    TimeUs finish = now + 4 * latency + run_time + wait;
    double failures = PlaceState_Decayed(row->failures, row->failures_at,
                                         FAILURE_HALF_LIFE_US, now);
    double uncached = work->prompt_tokens - (double)cached * WORK_BLOCK_TOKENS;
    double prefill = Speed_Rate(&mean_speed->prefill);
    double seconds = prefill > 0 ? uncached / prefill : 0;
    return (Candidate){
        .index = index,
        .misses_deadline = now + run_time > work->deadline,
        .remote = remote,
        .must_wait = wait > 0,
        .finish = finish,
        .score = wait + latency + (TimeUs)((double)run_time * RUN_WEIGHT) +
                 (TimeUs)(failures * FAILURE_PENALTY_US) +
                 (TimeUs)(seconds * PREFILL_WEIGHT * US_PER_S) +
                 (remote ? REGION_PENALTY_US : 0) +
                 (cached == 0 ? home_offset(row, work) : 0) +
                 MAX(finish - work->deadline, 0) * LATENESS_WEIGHT,
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
    uint32_t position = *count;
    if (position < wants) {
        (*count)++;
    }
    else if (is_better(candidate, &best[position - 1])) {
        position--;
    }
    else {
        return;
    }
    while (position > 0 && is_better(candidate, &best[position - 1])) {
        best[position] = best[position - 1];
        position--;
    }
    best[position] = *candidate;
}

static uint32_t
next_random(PlaceTable *table)
{
    table->random_state ^= table->random_state << 13;
    table->random_state ^= table->random_state >> 7;
    table->random_state ^= table->random_state << 17;
    return (uint32_t)(table->random_state >> 32);
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
serves(const PlaceRow *row, uint64_t target)
{
    for (uint32_t i = 0; i < row->endpoint.target_count; i++) {
        if (row->endpoint.targets[i] == target) {
            return true;
        }
    }
    return false;
}

/* Writes the indexes of the endpoints to score.
 * @return their number, at most CANDIDATES_MAX. */
static uint32_t
choose_candidates(PlaceTable *table, const TargetMembers *members,
                  const PrefixHolderSet *holders, uint32_t *indexes)
{
    if (members->count <= FULL_SCORING_MAX) {
        memcpy(indexes, members->members, members->count * sizeof(indexes[0]));
        return members->count;
    }
    uint32_t count = 0;
    while (count < holders->count) {
        indexes[count] = holders->holders[count].index;
        count++;
    }
    for (uint32_t i = 0; i < SAMPLE_COUNT; i++) {
        uint32_t position = next_random(table) % members->count;
        add_index(indexes, &count, members->members[position]);
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

/* Refills the bandwidth budget for other regions and returns true if one more
 * request may be sent to another region. */
static bool
region_has_budget(PlaceTable *table, TimeUs now)
{
    double rate = table->config.region_bytes_s;
    double seconds = (double)(now - table->region_refilled_at) / US_PER_S;
    table->region_bytes = MIN(table->region_bytes + seconds * rate, rate);
    table->region_refilled_at = now;
    return rate <= 0 || table->region_bytes > 0;
}

/* Returns true if the endpoint may receive a want. If its agent refuses the
 * tier, stores the refusal reason and the retry time in @p pick. */
static bool
accepts_wants(const PlaceRow *row, const WorkSpec *work, PlaceChoice *pick)
{
    if (!row->connected || row->report.leaving) {
        return false;
    }
    if (work->tier > row->report.lowest_tier) {
        if (pick->reason != REFUSE_SHED ||
            row->report.retry_after_ms < pick->retry_after_ms)
        {
            pick->retry_after_ms = row->report.retry_after_ms;
        }
        pick->reason = REFUSE_SHED;
        return false;
    }
    return true;
}

static void
set_deadline_refusal(const Candidate *candidate, const WorkSpec *work,
                     PlaceChoice *pick)
{
    if (pick->reason == REFUSE_SHED) {
        return;
    }
    TimeUs late_ms = (candidate->finish - work->deadline) / US_PER_MS;
    pick->reason = REFUSE_DEADLINE;
    pick->retry_after_ms =
        (uint32_t)CLAMP(late_ms, RETRY_AFTER_DEFAULT_MS, RETRY_AFTER_MAX_MS);
}

/* Removes the candidates that need no want. One want is enough if a slot is
 * predicted to be free. Otherwise the endpoints with a similar score receive
 * a want as well, and the first grant is used. */
static void
trim_choice(const Candidate *best, PlaceChoice *pick)
{
    uint32_t keep = 1;
    while (best[0].must_wait && keep < pick->count &&
           best[keep].score <= best[0].score + WANT_SCORE_RANGE_US)
    {
        keep++;
    }
    pick->count = keep;
}

/* Writes the chosen endpoints and counts their wants as load, so that
 * requests that arrive before the next report are spread. */
static void
commit_choice(PlaceTable *table, const Candidate *best, PlaceChoice *pick,
              TimeUs now)
{
    for (uint32_t i = 0; i < pick->count; i++) {
        PlaceRow *row = &table->rows[best[i].index];
        pick->endpoints[i] = (PlaceHandle){
            .index = best[i].index,
            .generation = row->generation,
        };
        PlaceState_AddDecaying(&row->recent_wants, &row->recent_wants_at,
                               RECENT_WANTS_HALF_LIFE_US, 1.0 / pick->count,
                               now);
        row->last_want_at = now;
    }
    pick->predicted_finish = best[0].finish;
}

/* Appends the endpoint to probe, if there is one, unless it was chosen
 * already. It has received no want for PROBE_PERIOD_US. */
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
        .retry_after_ms = RETRY_AFTER_DEFAULT_MS,
    };
    const TargetMembers *members = Targets_Find(&table->targets, work->target);
    if (members == NULL || members->count == 0) {
        return false;
    }
    pick->target_exists = true;
    uint32_t indexes[CANDIDATES_MAX];
    PrefixHolderSet holders;
    find_prefix_holders(table, work, &holders);
    uint32_t count = choose_candidates(table, members, &holders, indexes);
    bool remote_allowed = region_has_budget(table, now);
    Candidate best[PLACE_WANTS_MAX] = {0};
    Candidate probe = {0};
    TimeUs oldest = now - PROBE_PERIOD_US;
    for (uint32_t i = 0; i < count; i++) {
        const PlaceRow *row = &table->rows[indexes[i]];
        if (!serves(row, work->target) || !accepts_wants(row, work, pick) ||
            was_refused(refused, refused_count, indexes[i]))
        {
            continue;
        }
        Candidate candidate =
            score_endpoint(table, indexes[i], &holders, work, now);
        if (candidate.misses_deadline) {
            set_deadline_refusal(&candidate, work, pick);
            continue;
        }
        if (candidate.remote && !remote_allowed) {
            continue;
        }
        insert_best(best, &pick->count, table->config.wants, &candidate);
        if (row->last_want_at < oldest && !candidate.remote) {
            oldest = row->last_want_at;
            probe = candidate;
        }
    }
    if (pick->count == 0) {
        return false;
    }
    trim_choice(best, pick);
    add_probe(table, &probe, best, pick);
    commit_choice(table, best, pick, now);
    return true;
}

bool
Place_Pick(PlaceTable *table, const WorkSpec *work, TimeUs now,
           PlaceChoice *pick)
{
    return Place_PickAgain(table, work, now, NULL, 0, pick);
}
