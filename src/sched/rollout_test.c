/** @file
 * Sequential test of the candidate of a roll-out.
 */
#include "sched/rollout_test.h"

#include <math.h>
#include <stdbool.h>

#include <glib.h>

#include "sched/rollout_evidence.h"

/* Answers of both sides are compared if they were reported in the same slice.
 * Gateways report every 250 ms, so that each has reported once or twice. */
#define SLICE_US (500 * US_PER_MS)
/* Least time between the starts of two windows. */
#define WINDOW_SPACING_US (1 * US_PER_S)
/* Fraction of the time from order to deadline at which a candidate without
 * evidence against it is accepted, and the longest time until then. */
#define ACCEPT_FRACTION 0.55
#define ACCEPT_MAX_US (20 * US_PER_S)
/* The same for one with weak evidence against it: late enough to collect half
 * as many answers again, and a sixth of the time before the deadline, in which
 * the traffic moves and the old versions finish their requests. */
#define LAST_FRACTION (5.0 / 6)
#define LAST_MAX_US (32 * US_PER_S)
/* Least time from the last look to the deadline. The leader decides 1.5 s
 * before the deadline what the test has not decided. */
#define LAST_BEFORE_US (1750 * US_PER_MS)
/* Bound of the probability of rejecting a good candidate by the sequential
 * test, at all looks together. */
#define ERROR_SEQUENTIAL 0.005
/* Sums, over all hypotheses, of the probabilities of rejecting a good
 * candidate at the last look, and of delaying one to it. The hypotheses
 * overlap, so that fewer are: in bench_rollout 1 to 3 in 1,000 are rejected,
 * and a third is delayed. A delay costs no request, while a bad candidate that
 * is accepted gets all of them. */
#define ERROR_LAST 0.012
#define ERROR_DELAY 2.0
/* Parts of the error for all answers together, for those of busy servers, and
 * for all routes. */
#define WEIGHT_ALL 0.4
#define WEIGHT_BUSY 0.2
#define WEIGHT_ROUTES 0.4
/* Start that has the largest weight for run times. Of the requests of the
 * first seconds only the quick ones have been answered, so that a slow
 * candidate looks like the old versions. */
#define SETTLED_START 2
/* Routes among which the error is divided, if there are fewer. Most routes are
 * seen in the first reports; few are added later. */
#define ROUTES_MIN 4
/* Prior of the variance of ln(ms): sizes that vary hundredfold evenly in the
 * logarithm, ln(100)^2 / 12, with the weight of so many answers. */
#define PRIOR_VARIANCE 1.77
#define PRIOR_WEIGHT 10
/* Weight of the prior of the dispersion, 1, in slices. */
#define DISPERSION_WEIGHT 8

typedef struct Route {
    char *name;
    RolloutBlock blocks[ROLLOUT_LOAD_CLASSES]; /* of the open slice */
    double square_sum; /* of deviations of ln(ms) of old versions */
    double degrees;    /* of freedom of the sum */
    RolloutTrack track;
} Route;

struct RolloutTest {
    TimeUs begun_at;
    TimeUs accept_at;
    TimeUs last_at;
    TimeUs slice_at; /* start of the open slice */
    TimeUs first_at; /* start of the slice of the first candidate answer */
    TimeUs spacing;  /* of windows */
    unsigned windows;
    GPtrArray *routes;
    GHashTable *by_name; /* name -> Route */
    RolloutTrack all;
    RolloutTrack busy;     /* all answers in load classes above the lowest */
    uint64_t answers;      /* of the candidate */
    double difference;     /* of mean ln(ms) in the previous slice */
    double difference_var; /* 0 without one */
    double dispersion_sum; /* of squared steps / their variances */
    double dispersion_steps;
    bool looked; /* the look at accept_at is over */
    RolloutVerdict verdict;
    RolloutReason reason;
};

static void
free_route(gpointer data)
{
    Route *route = data;
    g_free(route->name);
    g_free(route);
}

RolloutTest *
RolloutTest_New(TimeUs begun_at, TimeUs deadline)
{
    TimeUs span = MAX(deadline - begun_at, US_PER_S);
    RolloutTest *test = g_new0(RolloutTest, 1);
    test->begun_at = begun_at;
    test->accept_at = begun_at + MIN((TimeUs)(ACCEPT_FRACTION * (double)span),
                                     ACCEPT_MAX_US);
    test->last_at =
        begun_at + MIN((TimeUs)(LAST_FRACTION * (double)span), LAST_MAX_US);
    test->last_at =
        MAX(MIN(test->last_at, deadline - LAST_BEFORE_US), test->accept_at);
    test->slice_at = begun_at;
    test->spacing = MAX(WINDOW_SPACING_US, span / ROLLOUT_WINDOWS_MAX);
    test->windows =
        (unsigned)CLAMP(span / test->spacing, 2, ROLLOUT_WINDOWS_MAX);
    test->routes = g_ptr_array_new_with_free_func(free_route);
    test->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    test->reason = (RolloutReason){
        .since = begun_at,
        .time_ratio = 1,
        .evidence_required = 1 / ERROR_SEQUENTIAL,
    };
    return test;
}

void
RolloutTest_Free(RolloutTest *test)
{
    g_hash_table_destroy(test->by_name);
    g_ptr_array_unref(test->routes);
    g_free(test);
}

static Route *
find_route(RolloutTest *test, const char *name)
{
    Route *route = g_hash_table_lookup(test->by_name, name);
    if (route == NULL) {
        route = g_new0(Route, 1);
        route->name = g_strdup(name);
        for (unsigned w = 0; w < test->all.count; w++) {
            RolloutTrack_Begin(&route->track, test->all.windows[w].since);
        }
        g_ptr_array_add(test->routes, route);
        g_hash_table_insert(test->by_name, route->name, route);
    }
    return route;
}

/* Moves the candidate's answers of load classes in which no old version
 * answered to the nearest class in which one did, the lower one first. Else a
 * slow candidate, whose slots fill up, would be compared with nothing. */
static void
match_classes(Route *route)
{
    for (int class = 0; class < ROLLOUT_LOAD_CLASSES; class ++) {
        RolloutBlock *block = &route->blocks[class];
        if (block->sides[ROLLOUT_OLD].answers > 0 ||
            block->sides[ROLLOUT_CANDIDATE].answers == 0)
        {
            continue;
        }
        for (int step = 1; step < ROLLOUT_LOAD_CLASSES; step++) {
            int near = class - step;
            if (near < 0 ||
                route->blocks[near].sides[ROLLOUT_OLD].answers == 0) {
                near = class + step;
            }
            if (near < ROLLOUT_LOAD_CLASSES &&
                route->blocks[near].sides[ROLLOUT_OLD].answers > 0)
            {
                RolloutSums_Add(&route->blocks[near].sides[ROLLOUT_CANDIDATE],
                                &block->sides[ROLLOUT_CANDIDATE]);
                block->sides[ROLLOUT_CANDIDATE] = (RolloutSums){.answers = 0};
                break;
            }
        }
    }
}

/* Learns the variance of ln(ms) from an old side's answers of one block. */
static void
learn_variance(Route *route, const RolloutSums *old)
{
    if (old->timed >= 2) {
        double squares =
            old->log_square_sum - old->log_sum * old->log_sum / old->timed;
        route->square_sum += MAX(squares, 0);
        route->degrees += old->timed - 1;
    }
}

static void
close_route(RolloutTest *test, Route *route, RolloutGain *slice)
{
    for (int class = 0; class < ROLLOUT_LOAD_CLASSES; class ++) {
        learn_variance(route, &route->blocks[class].sides[ROLLOUT_OLD]);
    }
    match_classes(route);
    double variance = (PRIOR_WEIGHT * PRIOR_VARIANCE + route->square_sum) /
                      (PRIOR_WEIGHT + route->degrees);
    for (int class = 0; class < ROLLOUT_LOAD_CLASSES; class ++) {
        RolloutBlock *block = &route->blocks[class];
        RolloutGain gain = RolloutBlock_Compare(block, variance);
        RolloutTrack_Add(&route->track, block, &gain);
        RolloutTrack_Add(&test->all, block, &gain);
        if (class > 0) {
            RolloutTrack_Add(&test->busy, block, &gain);
        }
        slice->score += gain.score;
        slice->information += gain.information;
        *block = (RolloutBlock){.sides = {{.answers = 0}}};
    }
}

/* Learns by how much the differences of consecutive slices vary beyond what
 * the number of answers explains, as they do if a few servers are slow for
 * some hundred ms. Steps are used, since they hide no change for the worse. */
static void
learn_dispersion(RolloutTest *test, const RolloutGain *slice)
{
    if (slice->information == 0) {
        return;
    }
    double difference = slice->score / slice->information;
    double variance = 1 / slice->information;
    if (test->difference_var > 0) {
        double step = difference - test->difference;
        test->dispersion_sum +=
            step * step / (variance + test->difference_var);
        test->dispersion_steps++;
    }
    test->difference = difference;
    test->difference_var = variance;
}

static double
dispersion_of(const RolloutTest *test)
{
    return MAX(1, (DISPERSION_WEIGHT + test->dispersion_sum) /
                      (DISPERSION_WEIGHT + test->dispersion_steps));
}

/* Windows are counted from the first answer of the candidate, whose servers
 * may be started long after the order. */
static void
begin_windows(RolloutTest *test)
{
    if (test->answers == 0) {
        return;
    }
    if (test->all.count == 0) {
        test->first_at = test->slice_at;
    }
    while (test->all.count < test->windows &&
           test->first_at + test->all.count * test->spacing <= test->slice_at)
    {
        TimeUs since = test->first_at + test->all.count * test->spacing;
        RolloutTrack_Begin(&test->all, since);
        RolloutTrack_Begin(&test->busy, since);
        for (guint r = 0; r < test->routes->len; r++) {
            Route *route = test->routes->pdata[r];
            RolloutTrack_Begin(&route->track, since);
        }
    }
}

/* Ratio, chance or figures of one route or of all, in one window. */
typedef struct Finding {
    const Route *route; /* NULL for all */
    const RolloutWindow *window;
    RolloutCause cause;
    double weight;
} Finding;

typedef void (*Visit)(const RolloutTest *test, const Finding *finding,
                      void *arg);

/* Weight of a start, for one cause. The sum over all starts is below 1: half
 * for one of them, less for later ones. */
static double
start_weight(unsigned start, RolloutCause cause)
{
    if (cause == ROLLOUT_CAUSE_TIMES && start <= SETTLED_START) {
        start = SETTLED_START - start;
    }
    return 1.0 / ((start + 1) * (start + 2));
}

static void
visit_track(const RolloutTest *test, const RolloutTrack *track,
            const Route *route, double weight, Visit visit, void *arg)
{
    static const RolloutCause causes[] = {ROLLOUT_CAUSE_FAILURES,
                                          ROLLOUT_CAUSE_TIMES};
    for (unsigned w = 0; w < track->count; w++) {
        for (size_t c = 0; c < G_N_ELEMENTS(causes); c++) {
            Finding finding = {
                .route = route,
                .window = &track->windows[w],
                .cause = causes[c],
                .weight =
                    weight * start_weight(w, causes[c]) / G_N_ELEMENTS(causes),
            };
            visit(test, &finding, arg);
        }
    }
}

/* Visits all hypotheses with their weights, the sum of which is at most 1. */
static void
visit_all(const RolloutTest *test, Visit visit, void *arg)
{
    visit_track(test, &test->all, NULL, WEIGHT_ALL, visit, arg);
    visit_track(test, &test->busy, NULL, WEIGHT_BUSY, visit, arg);
    double weight = WEIGHT_ROUTES / MAX(test->routes->len, ROUTES_MIN);
    for (guint r = 0; r < test->routes->len; r++) {
        const Route *route = test->routes->pdata[r];
        visit_track(test, &route->track, route, weight, visit, arg);
    }
}

typedef struct Evidence {
    double sum; /* of weighted ratios, or least corrected chance */
    double strongest;
    Finding finding; /* the strongest */
} Evidence;

static void
add_ratio(const RolloutTest *test, const Finding *finding, void *arg)
{
    Evidence *evidence = arg;
    double ratio =
        finding->weight *
        (finding->cause == ROLLOUT_CAUSE_FAILURES
             ? RolloutWindow_FailureRatio(finding->window)
             : RolloutWindow_TimeRatio(finding->window, dispersion_of(test)));
    evidence->sum += ratio;
    if (ratio > evidence->strongest) {
        evidence->strongest = ratio;
        evidence->finding = *finding;
    }
}

static void
add_chance(const RolloutTest *test, const Finding *finding, void *arg)
{
    Evidence *evidence = arg;
    double chance =
        finding->cause == ROLLOUT_CAUSE_FAILURES
            ? RolloutWindow_FailureChance(finding->window)
            : RolloutWindow_TimeChance(finding->window, dispersion_of(test));
    double inverse = finding->weight / MAX(chance, 1e-100);
    if (inverse > evidence->strongest) {
        evidence->sum = inverse;
        evidence->strongest = inverse;
        evidence->finding = *finding;
    }
}

static void
set_reason(RolloutTest *test, const Evidence *evidence, double required)
{
    const Finding *finding = &evidence->finding;
    RolloutReason *reason = &test->reason;
    *reason = (RolloutReason){
        .since = test->begun_at,
        .time_ratio = 1,
        .evidence = evidence->sum,
        .evidence_required = required,
    };
    if (finding->window == NULL) {
        return;
    }
    const RolloutWindow *window = finding->window;
    if (finding->route != NULL) {
        g_strlcpy(reason->route, finding->route->name, sizeof(reason->route));
    }
    reason->since = window->since;
    reason->candidate_answers = window->answers[ROLLOUT_CANDIDATE];
    reason->candidate_failures = window->failures[ROLLOUT_CANDIDATE];
    reason->old_answers = window->answers[ROLLOUT_OLD];
    reason->old_failures = window->failures[ROLLOUT_OLD];
    if (window->gain.information > 0) {
        reason->time_ratio =
            exp(window->gain.score / window->gain.information);
    }
}

static void
set_bad(RolloutTest *test, const Evidence *evidence)
{
    test->verdict = ROLLOUT_BAD;
    test->reason.cause = evidence->finding.cause;
}

/* Closes the open slice and judges by all slices so far. */
static void
close_slice(RolloutTest *test)
{
    begin_windows(test);
    RolloutGain slice = {.score = 0};
    for (guint r = 0; r < test->routes->len; r++) {
        close_route(test, test->routes->pdata[r], &slice);
    }
    learn_dispersion(test, &slice);
    if (test->verdict != ROLLOUT_BAD) {
        Evidence evidence = {.sum = 0};
        visit_all(test, add_ratio, &evidence);
        set_reason(test, &evidence, 1 / ERROR_SEQUENTIAL);
        if (evidence.sum >= 1 / ERROR_SEQUENTIAL) {
            set_bad(test, &evidence);
        }
    }
}

static void
advance(RolloutTest *test, TimeUs now)
{
    if (now - test->slice_at >= SLICE_US) {
        close_slice(test);
        test->slice_at += (now - test->slice_at) / SLICE_US * SLICE_US;
    }
}

static bool
is_valid(const RolloutSample *sample)
{
    return sample->failures <= sample->answers &&
           sample->timed <= sample->answers && isfinite(sample->log_sum) &&
           isfinite(sample->log_square_sum);
}

void
RolloutTest_Add(RolloutTest *test, const char *route, RolloutSide side,
                unsigned load_class, const RolloutSample *sample, TimeUs now)
{
    advance(test, now);
    if (!is_valid(sample) || sample->answers == 0) {
        return;
    }
    RolloutSums sums = {
        .answers = sample->answers,
        .failures = sample->failures,
        .timed = sample->timed,
        .log_sum = sample->timed > 0 ? sample->log_sum : 0,
        .log_square_sum = sample->timed > 0 ? sample->log_square_sum : 0,
    };
    unsigned class = MIN(load_class, ROLLOUT_LOAD_CLASSES - 1);
    int index = side == ROLLOUT_CANDIDATE ? ROLLOUT_CANDIDATE : ROLLOUT_OLD;
    Route *found = find_route(test, route);
    RolloutSums_Add(&found->blocks[class].sides[index], &sums);
    if (index == ROLLOUT_CANDIDATE) {
        test->answers += sample->answers;
    }
}

/* Looks once at accept_at, and once at last_at if the candidate was suspicious
 * then. More looks would be more chances to accept a bad candidate. */
static void
look(RolloutTest *test, TimeUs now)
{
    bool is_last = now >= test->last_at;
    if (test->answers < ROLLOUT_ANSWERS_MIN || now < test->accept_at ||
        (test->looked && !is_last))
    {
        return;
    }
    test->looked = true;
    double required = 1 / (is_last ? ERROR_LAST : ERROR_DELAY);
    Evidence evidence = {.sum = 0};
    visit_all(test, add_chance, &evidence);
    if (evidence.sum < required) {
        test->verdict = ROLLOUT_GOOD;
    }
    else if (is_last) {
        set_reason(test, &evidence, required);
        set_bad(test, &evidence);
    }
}

RolloutVerdict
RolloutTest_Judge(RolloutTest *test, TimeUs now, RolloutReason *reason)
{
    advance(test, now);
    if (test->verdict == ROLLOUT_UNDECIDED) {
        look(test, now);
    }
    if (test->verdict == ROLLOUT_GOOD) {
        test->reason.cause = ROLLOUT_CAUSE_NO_EVIDENCE;
    }
    test->reason.answers = test->answers;
    if (reason != NULL) {
        *reason = test->reason;
    }
    return test->verdict;
}
