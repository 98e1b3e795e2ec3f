/** @file
 * Roll-out bench: plays streams of answers of good and bad candidates to the
 * sequential test, with SEEDS seeds for each case, and counts wrong verdicts
 * in both directions. Exits with 1 if a bound is missed.
 *
 * bench_rollout [--short] [--case NAME] [--seeds N] [--verbose] [--csv FILE]
 * `--short` runs some of the strengths of each fault, prints the table to
 * standard error and only `bench/rollout-CASE STATUS` lines to standard
 * output. `--case` runs the cases whose name contains NAME.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "rollout_play.h"

#define SEEDS 1000
/* Wrong verdicts stay below this fraction, as docs/REQUIREMENTS.md asks. */
#define WRONG_BOUND 0.01
/* Time by which a candidate without evidence against it is accepted. */
#define FIRST_LOOK_US (7 * US_PER_S)

typedef struct Tally {
    unsigned wrong;     /* good for a bad candidate, or bad for a good one */
    unsigned undecided; /* at the deadline; wrong too */
    unsigned delayed;   /* verdicts after the first look */
    unsigned mended;    /* bad candidates that were accepted, then rejected */
    TimeUs *times;      /* of the verdicts, or the deadline */
} Tally;

typedef struct Bench {
    FILE *out;
    FILE *csv;
    const char *filter;
    unsigned seeds;
    unsigned missed;
    bool verbose;
    bool is_short;
} Bench;

static int
compare_times(const void *a, const void *b)
{
    TimeUs first = *(const TimeUs *)a;
    TimeUs second = *(const TimeUs *)b;
    return (first > second) - (first < second);
}

static double
quantile_s(const Tally *tally, unsigned seeds, double fraction)
{
    unsigned index = (unsigned)(fraction * (seeds - 1) + 0.5);
    return (double)tally->times[index] / (double)US_PER_S;
}

static void
print_outcome(FILE *out, unsigned seed, const PlayOutcome *outcome)
{
    const RolloutReason *reason = &outcome->reason;
    fprintf(out,
            "  seed %u: verdict %d, then %d, at %.2f s, cause %d, route '%s', "
            "candidate %" PRIu64 "/%" PRIu64 ", old %" PRIu64 "/%" PRIu64
            ", times %.2f, evidence %.3g of %.3g\n",
            seed, outcome->first, outcome->last,
            (double)outcome->at / (double)US_PER_S, reason->cause,
            reason->route, reason->candidate_failures,
            reason->candidate_answers, reason->old_failures,
            reason->old_answers, reason->time_ratio, reason->evidence,
            reason->evidence_required);
}

static void
run_case(Bench *bench, const PlayCase *play)
{
    if (bench->filter != NULL && strstr(play->name, bench->filter) == NULL) {
        return;
    }
    Tally tally = {.times = g_new0(TimeUs, bench->seeds)};
    for (unsigned seed = 1; seed <= bench->seeds; seed++) {
        PlayOutcome outcome = Play_Run(play, seed);
        tally.times[seed - 1] = outcome.at;
        if (bench->verbose &&
            (outcome.last == ROLLOUT_BAD) != Play_IsBad(play)) {
            print_outcome(bench->out, seed, &outcome);
        }
        tally.delayed += outcome.at > FIRST_LOOK_US;
        if (outcome.first == ROLLOUT_UNDECIDED) {
            tally.undecided++;
        }
        else if (Play_IsBad(play)) {
            tally.wrong += outcome.first != ROLLOUT_BAD;
            tally.mended += outcome.first != outcome.last;
        }
        else {
            tally.wrong += outcome.last != ROLLOUT_GOOD;
        }
    }
    qsort(tally.times, bench->seeds, sizeof(TimeUs), compare_times);
    double wrong = (double)(tally.wrong + tally.undecided) / bench->seeds;
    bool holds = wrong < WRONG_BOUND;
    fprintf(bench->out, "%-24s %6u %9u %6u %7u %7.2f %7.2f %7.4f%s\n",
            play->name, tally.wrong, tally.undecided, tally.mended,
            tally.delayed, quantile_s(&tally, bench->seeds, 0.5),
            quantile_s(&tally, bench->seeds, 0.95), Play_LeastError(play),
            holds ? "" : "  MISSED");
    if (bench->csv != NULL) {
        fprintf(bench->csv, "%s,%u,%u,%u,%u,%.3f,%.3f,%.5f\n", play->name,
                tally.wrong, tally.undecided, tally.mended, tally.delayed,
                quantile_s(&tally, bench->seeds, 0.5),
                quantile_s(&tally, bench->seeds, 0.95), Play_LeastError(play));
    }
    printf("bench/rollout-%s %d\n", play->name, !holds);
    bench->missed += !holds;
    g_free(tally.times);
}

static const double base_rates[] = {0.004, 0.14};

/* Strengths of a fault: more failures in 100, or slower by a factor. */
typedef struct Strength {
    int more;
    int slow;
    bool in_short;
} Strength;

static const Strength strengths[] = {
    {.more = 3, .in_short = true},
    {.more = 5},
    {.more = 10, .in_short = true},
    {.more = 15},
    {.more = 20},
    {.more = 30},
    {.more = 50},
    {.more = 100, .in_short = true},
    {.slow = 2, .in_short = true},
    {.slow = 3},
    {.slow = 4},
    {.slow = 8, .in_short = true},
};

/* Runs a fault at both base rates, in all strengths. */
static void
run_faults(Bench *bench, const PlayCase *scope)
{
    for (size_t b = 0; b < G_N_ELEMENTS(base_rates); b++) {
        for (size_t i = 0; i < G_N_ELEMENTS(strengths); i++) {
            const Strength *strength = &strengths[i];
            if (bench->is_short && !strength->in_short) {
                continue;
            }
            PlayCase play = *scope;
            play.base = base_rates[b];
            play.more = MIN(strength->more / 100.0, 1 - play.base);
            play.slowness = strength->slow;
            bool is_slow = strength->slow > 0;
            char *name = g_strdup_printf(
                "%s-%s-%d-at-%g", scope->name, is_slow ? "slow" : "fail",
                is_slow ? strength->slow : strength->more, play.base);
            play.name = name;
            run_case(bench, &play);
            g_free(name);
        }
    }
}

static void
run_good(Bench *bench, const PlayCase *scope)
{
    for (size_t b = 0; b < G_N_ELEMENTS(base_rates); b++) {
        PlayCase play = *scope;
        play.base = base_rates[b];
        char *name = g_strdup_printf("%s-at-%g", scope->name, play.base);
        play.name = name;
        run_case(bench, &play);
        g_free(name);
    }
}

static const PlayCase good_scopes[] = {
    {.name = "good", .route = PLAY_ANY_ROUTE},
    {.name = "good-uneven", .route = PLAY_ANY_ROUTE, .uneven = true},
    {.name = "old-overloaded",
     .route = PLAY_ANY_ROUTE,
     .old_fault = OLD_OVERLOADED},
    {.name = "pool-overloaded",
     .route = PLAY_ANY_ROUTE,
     .old_fault = POOL_OVERLOADED},
    {.name = "old-crashing",
     .route = PLAY_ANY_ROUTE,
     .old_fault = OLD_CRASHING},
};

static const PlayCase bad_scopes[] = {
    {.name = "all", .route = PLAY_ANY_ROUTE},
    {.name = "route", .route = 2},
    {.name = "load", .route = PLAY_ANY_ROUTE, .load_class = 1},
    {.name = "later", .route = PLAY_ANY_ROUTE, .from_s = 3},
};

int
main(int argc, char **argv)
{
    Bench bench = {.out = stdout, .seeds = SEEDS};
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--short") == 0) {
            bench.out = stderr;
            bench.is_short = true;
        }
        else if (strcmp(argv[i], "--verbose") == 0) {
            bench.verbose = true;
        }
        else if (strcmp(argv[i], "--case") == 0 && i + 1 < argc) {
            bench.filter = argv[++i];
        }
        else if (strcmp(argv[i], "--seeds") == 0 && i + 1 < argc) {
            bench.seeds = (unsigned)strtoul(argv[++i], NULL, 10);
            bench.seeds = MAX(bench.seeds, 1);
        }
        else if (strcmp(argv[i], "--csv") == 0 && i + 1 < argc) {
            bench.csv = fopen(argv[++i], "w");
        }
    }
    fprintf(bench.out, "%-24s %6s %9s %6s %7s %7s %7s %7s\n", "case", "wrong",
            "undecided", "mended", "delayed", "p50 s", "p95 s", "least");
    if (bench.csv != NULL) {
        fprintf(bench.csv, "case,wrong,undecided,mended,delayed,median_s,"
                           "p95_s,least_error\n");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(good_scopes); i++) {
        run_good(&bench, &good_scopes[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad_scopes); i++) {
        run_faults(&bench, &bad_scopes[i]);
    }
    if (bench.csv != NULL) {
        fclose(bench.csv);
    }
    return bench.missed > 0;
}
