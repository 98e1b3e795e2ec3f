/** @file
 * Waits of a pool's engines as a gateway sees them.
 */
#include "sched/pool_view.h"

#include <glib.h>

/* The pool is short of capacity for a request if at least this fraction of its
 * engines refused it or are known to be late. */
#define SHORT_FRACTION 0.5
/* Of the keepers that a request asks at once, those that were heard of least
 * recently, so that the view of all engines is renewed within its time to
 * live. */
#define OLDEST_WANTS 4
/* An engine counts as late only if the request would be late by this fraction
 * of its wait. Slots become free early, and an outlook is up to 1 s old: with
 * 0.3, 3 in 100 refused requests would have been taken by an engine that was
 * not asked, with 0.6, 4 in 1,000. */
#define MARGIN_FRACTION 0.6
/* Time for which an engine that takes no requests is not asked. Its keeper
 * asks it for its state four times a second. */
#define CLOSED_US (250 * US_PER_MS)
/* A caller comes back within this fraction of the time that it has left. */
#define RETURN_FRACTION (1.0 / 3)
/* Callers are told to come back over a time of this fraction of the wait. */
#define SPREAD_FRACTION 0.5
/* Time that a caller that comes back in time may still wait for a slot. */
#define SLACK_US (800 * US_PER_MS)
#define RETURN_MIN_MS 100
#define RETURN_MAX_MS 60000

void
EngineView_OnOutlook(EngineView *view, const EngineOutlook *outlook,
                     TimeUs now)
{
    if (outlook != NULL) {
        view->outlook = *outlook;
    }
    else {
        view->outlook.count = 0;
    }
    view->heard_at = now;
    view->closed_until = 0;
}

void
EngineView_OnClosed(EngineView *view, TimeUs now)
{
    view->closed_until = now + CLOSED_US;
}

static bool
is_fresh(const EngineView *view, TimeUs now)
{
    return view->heard_at != 0 && now - view->heard_at < POOL_OUTLOOK_TTL_US;
}

static TimeUs
first_piece_time(const EngineOutlook *outlook, const PoolRequest *request)
{
    if (request->prompt_tokens == 0) {
        return 0;
    }
    double time = outlook->first_base_us +
                  outlook->first_us_per_token * request->prompt_tokens;
    return (TimeUs)(time * MAX(outlook->first_margin, 1));
}

/* Returns the wait of the request, less the time since the outlook was
 * made. */
static PlannedWait
find_wait(const EngineView *view, const PoolRequest *request, TimeUs now)
{
    const EngineOutlook *outlook = &view->outlook;
    unsigned class_index = outlook_class_of(outlook, request->account,
                                            request->tier, request->rank);
    TimeUs age = now - view->heard_at;
    PlannedWait wait = {0};
    for (unsigned i = 0; i < outlook->count; i++) {
        const ClassWait *known = &outlook->waits[i];
        if (known->class_index != class_index) {
            continue;
        }
        TimeUs first_at = now + MAX(known->on_time.planned - age, 0) +
                          first_piece_time(outlook, request);
        bool late =
            request->first_deadline != 0 && first_at > request->first_deadline;
        wait = late ? known->late : known->on_time;
    }
    wait.planned = MAX(wait.planned - age, 0);
    wait.expected = MAX(wait.expected - age, 0);
    return wait;
}

/* Returns a run time that is rarely exceeded, as the keeper's queue does. */
static TimeUs
run_upper_bound(const EngineOutlook *outlook, const PoolRequest *request)
{
    double first = outlook->first_base_us +
                   outlook->first_us_per_token * request->prompt_tokens;
    double per_token = outlook->decode_us_per_token;
    double run =
        (first + per_token * request->output_tokens) * MAX(outlook->margin, 1);
    if (request->longest_output_tokens > 0) {
        uint32_t tokens =
            MAX(request->longest_output_tokens, request->output_tokens);
        run = MIN(run, first + per_token * tokens);
    }
    return (TimeUs)run;
}

EngineFit
EngineView_Judge(const EngineView *view, const PoolRequest *request,
                 TimeUs now, TimeUs *lateness)
{
    *lateness = 0;
    if (now < view->closed_until) {
        *lateness = view->closed_until - now;
        return ENGINE_LATE;
    }
    if (!is_fresh(view, now)) {
        return ENGINE_UNKNOWN;
    }
    const EngineOutlook *outlook = &view->outlook;
    PlannedWait wait = find_wait(view, request, now);
    TimeUs run = run_upper_bound(outlook, request);
    TimeUs typical =
        outlook->mean_run > 0
            ? MIN(run, (TimeUs)((double)outlook->mean_run * outlook->margin))
            : run;
    TimeUs late = now + wait.planned + run - request->deadline;
    late = MAX(late, now + wait.expected + typical - request->deadline);
    if (request->first_limit != 0) {
        TimeUs first = first_piece_time(outlook, request);
        late = MAX(late, now + wait.expected + first - request->first_limit);
    }
    late -= (TimeUs)(MARGIN_FRACTION * (double)wait.expected);
    *lateness = MAX(late, 0);
    return late > 0 ? ENGINE_LATE : ENGINE_IN_TIME;
}

bool
EngineView_Waits(const EngineView *view, const PoolRequest *request,
                 TimeUs now)
{
    return is_fresh(view, now) && find_wait(view, request, now).expected > 0;
}

/* A candidate with what is known of it. */
typedef struct Ranked {
    EngineFit fit;
    double cost; /* sort key among those of equal fit: ms */
    TimeUs heard_at;
    bool chosen;
} Ranked;

static Ranked
rank_candidate(const PoolCandidate *candidate, const PoolRequest *request,
               TimeUs now)
{
    TimeUs lateness;
    EngineFit fit = EngineView_Judge(candidate->view, request, now, &lateness);
    double cost = candidate->cost_ms;
    if (fit == ENGINE_IN_TIME) {
        cost += (double)find_wait(candidate->view, request, now).expected /
                US_PER_MS;
    }
    if (fit == ENGINE_LATE) {
        cost += (double)lateness / US_PER_MS;
    }
    return (Ranked){
        .fit = fit,
        .cost = cost,
        .heard_at = candidate->view->heard_at,
    };
}

static void
choose(PoolChoice *choice, Ranked *ranked, size_t index)
{
    ranked[index].chosen = true;
    choice->chosen[choice->count++] = index;
}

/* Chooses candidates of a fit, the cheapest first, until @p max_count are
 * chosen. */
static void
choose_cheapest(PoolChoice *choice, const PoolCandidate *candidates,
                Ranked *ranked, size_t count, EngineFit fit, size_t max_count)
{
    while (choice->count < max_count) {
        size_t best = count;
        for (size_t i = 0; i < count; i++) {
            if (candidates[i].usable && !ranked[i].chosen &&
                ranked[i].fit == fit &&
                (best == count || ranked[i].cost < ranked[best].cost))
            {
                best = i;
            }
        }
        if (best == count) {
            return;
        }
        choose(choice, ranked, best);
    }
}

static void
choose_preferred(PoolChoice *choice, const PoolCandidate *candidates,
                 Ranked *ranked, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable && candidates[i].preferred &&
            !ranked[i].chosen && choice->count < POOL_WANTS_MAX)
        {
            choose(choice, ranked, i);
        }
    }
}

/* Chooses the usable candidates that were heard of least recently, until @p
 * max_count are chosen. */
static void
choose_oldest(PoolChoice *choice, const PoolCandidate *candidates,
              Ranked *ranked, size_t count, size_t max_count)
{
    while (choice->count < max_count) {
        size_t best = count;
        for (size_t i = 0; i < count; i++) {
            if (candidates[i].usable && !ranked[i].chosen &&
                (best == count || ranked[i].heard_at < ranked[best].heard_at))
            {
                best = i;
            }
        }
        if (best == count) {
            return;
        }
        choose(choice, ranked, best);
    }
}

static void
count_fits(PoolChoice *choice, const PoolCandidate *candidates,
           const Ranked *ranked, size_t count, TimeUs now)
{
    for (size_t i = 0; i < count; i++) {
        if (!candidates[i].usable) {
            continue;
        }
        switch (ranked[i].fit) {
        case ENGINE_UNKNOWN:
            choice->unknown++;
            break;
        case ENGINE_IN_TIME:
            choice->in_time++;
            break;
        case ENGINE_LATE:
            choice->late++;
            choice->oldest_age =
                MAX(choice->oldest_age, now - ranked[i].heard_at);
            break;
        }
    }
}

void
PoolView_Choose(const PoolCandidate *candidates, size_t count,
                const PoolRequest *request, const PoolSearch *search,
                TimeUs now, PoolChoice *choice)
{
    *choice = (PoolChoice){.limited = false};
    if (count <= POOL_WANTS_MAX) {
        return;
    }
    if (search->hopeless) {
        choice->limited = true;
        return;
    }
    Ranked *ranked = g_new(Ranked, count);
    for (size_t i = 0; i < count; i++) {
        ranked[i] = rank_candidate(&candidates[i], request, now);
    }
    count_fits(choice, candidates, ranked, count, now);
    choice->limited = search->limited || search->refused + choice->late >=
                                             SHORT_FRACTION * (double)count;
    if (choice->limited) {
        bool first = !search->limited && search->refused == 0;
        size_t best = first ? POOL_WANTS_MAX - OLDEST_WANTS : POOL_CHOSEN_MAX;
        choose_cheapest(choice, candidates, ranked, count, ENGINE_IN_TIME,
                        best);
        choose_cheapest(choice, candidates, ranked, count, ENGINE_UNKNOWN,
                        best);
        if (first) {
            choice->hopeless = choice->in_time == 0 && choice->unknown == 0;
            choose_preferred(choice, candidates, ranked, count);
            choose_cheapest(choice, candidates, ranked, count, ENGINE_LATE,
                            best);
            choose_oldest(choice, candidates, ranked, count, POOL_WANTS_MAX);
        }
    }
    g_free(ranked);
}

uint32_t
PoolView_ReturnMs(const PoolCandidate *candidates, size_t count,
                  const PoolRequest *request, uint32_t named_ms, uint32_t key,
                  TimeUs now)
{
    TimeUs room = TIME_NEVER;
    TimeUs run = TIME_NEVER;
    for (size_t i = 0; i < count; i++) {
        const EngineView *view = candidates[i].view;
        if (!is_fresh(view, now) || now < view->closed_until) {
            continue;
        }
        room = MIN(room, find_wait(view, request, now).expected);
        run = MIN(run, run_upper_bound(&view->outlook, request));
    }
    if (room == TIME_NEVER) {
        return named_ms;
    }
    TimeUs left = request->deadline - now;
    room = MAX(room, named_ms * US_PER_MS);
    double room_ms = MAX((double)room / US_PER_MS, RETURN_MIN_MS);
    double last_ms = room_ms * (1 + SPREAD_FRACTION);
    double third_ms = (double)left / US_PER_MS * RETURN_FRACTION;
    if (room + run <= left && third_ms >= RETURN_MIN_MS) {
        last_ms = MIN(last_ms, third_ms);
        room_ms = MIN(room_ms, last_ms);
    }
    double spread = (double)key / UINT32_MAX;
    return (uint32_t)MIN(room_ms + (last_ms - room_ms) * spread,
                         RETURN_MAX_MS);
}

static bool
is_bookable(const EngineView *view, const PoolRequest *request)
{
    unsigned class_index = outlook_class_of(&view->outlook, request->account,
                                            request->tier, request->rank);
    for (unsigned i = 0; i < view->outlook.count; i++) {
        if (view->outlook.waits[i].class_index == class_index) {
            return view->outlook.waits[i].bookable;
        }
    }
    return false;
}

uint32_t
PoolView_BookingMs(const EngineView *view, const PoolRequest *request,
                   uint32_t key, TimeUs now)
{
    if (!is_fresh(view, now) || now < view->closed_until ||
        !is_bookable(view, request))
    {
        return 0;
    }
    TimeUs left = request->deadline - now;
    TimeUs run = run_upper_bound(&view->outlook, request);
    TimeUs wait = find_wait(view, request, now).planned;
    double first_ms = MAX((double)wait / US_PER_MS, RETURN_MIN_MS);
    double last_ms =
        MIN((double)left * RETURN_FRACTION, (double)(left - run - SLACK_US)) /
        US_PER_MS;
    if (first_ms > last_ms) {
        return 0;
    }
    double spread = (double)key / UINT32_MAX;
    return (uint32_t)(first_ms + (last_ms - first_ms) * spread);
}
