/** @file
 * Guards against runs that a stopping process begins and cannot end, and
 * against refusals of runs that would have ended. Plays streams whose outputs
 * differ from the callers' estimates as those of real callers do: the estimate
 * is right at the median, and the ratio has a log-normal spread.
 */
#include "unit.h"

#include <math.h>

#include <glib.h>

#include "sched/run_bound.h"

#define RUNS 20000
#define WARM_UP_RUNS 2000
/* Spread of the logarithm of actual by estimated output. */
#define ESTIMATE_SPREAD 0.5
#define LONGEST_OUTPUT 2800
#define PREFILL_TOKENS_S 36000.0
#define DECODE_TOKENS_S 90.0
/* Standard normal quantile at 0.99. */
#define Z_99 2.326

typedef struct Play {
    GRand *random;
    RunBound bound;
    unsigned runs;
    unsigned exceeded;
    double bound_sum; /* of bounds by the time at the true quantile */
} Play;

static double
normal(GRand *random)
{
    double u = 1 - g_rand_double(random);
    return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

static TimeUs
first_piece_time(const WorkSpec *work)
{
    return (TimeUs)((0.15 + work->prompt_tokens / PREFILL_TOKENS_S) *
                    US_PER_S);
}

static TimeUs
run_time(const WorkSpec *work, double ratio)
{
    double tokens = MIN(work->output_tokens * ratio, LONGEST_OUTPUT);
    return first_piece_time(work) +
           (TimeUs)(tokens / DECODE_TOKENS_S * US_PER_S);
}

static void
play_run(Play *play, bool measured)
{
    WorkSpec work = {
        .prompt_tokens = (uint32_t)g_rand_int_range(play->random, 100, 4000),
        .output_tokens = (uint32_t)g_rand_int_range(play->random, 10, 500),
        .longest_output_tokens = LONGEST_OUTPUT,
    };
    double ratio = exp(ESTIMATE_SPREAD * normal(play->random));
    TimeUs total = run_time(&work, ratio);
    if (measured) {
        TimeUs bound = RunBound_Get(&play->bound, &work);
        TimeUs quantile = run_time(&work, exp(ESTIMATE_SPREAD * Z_99));
        play->runs++;
        play->exceeded += total > bound;
        play->bound_sum += (double)bound / (double)quantile;
    }
    RunBound_Add(&play->bound, &work, first_piece_time(&work), total);
}

static void
one_run_in_a_hundred_exceeds_the_bound(void **state)
{
    for (uint32_t seed = 1; seed <= 10; seed++) {
        Play play = {.random = g_rand_new_with_seed(seed)};
        for (unsigned i = 0; i < RUNS; i++) {
            play_run(&play, i >= WARM_UP_RUNS);
        }
        print_message("seed %u: exceeded %.4f, bound by quantile %.2f\n", seed,
                      (double)play.exceeded / play.runs,
                      play.bound_sum / play.runs);
        assert_true(play.exceeded * 100 <= play.runs);
        g_rand_free(play.random);
    }
}

static void
the_longest_output_counts_before_measurements(void **state)
{
    RunBound bound = {.weight = 0};
    WorkSpec work = {
        .prompt_tokens = 2400,
        .output_tokens = 286,
        .longest_output_tokens = 2800,
    };
    assert_true(RunBound_Get(&bound, &work) > 15 * US_PER_S);
    work.longest_output_tokens = 0;
    assert_true(RunBound_Get(&bound, &work) > 4 * US_PER_S);
    assert_true(RunBound_Get(&bound, &(WorkSpec){.tier = 0}) <= US_PER_S);
}

static void
answers_in_one_piece_are_bounded_too(void **state)
{
    RunBound bound = {.weight = 0};
    WorkSpec work = {.tier = 0};
    for (unsigned i = 0; i < 1000; i++) {
        bool slow = i % 200 == 0;
        RunBound_Add(&bound, &work, 0, (slow ? 300 : 60) * US_PER_MS);
    }
    TimeUs limit = RunBound_Get(&bound, &work);
    assert_true(limit >= 60 * US_PER_MS);
    assert_true(limit < US_PER_S);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_run_in_a_hundred_exceeds_the_bound),
        cmocka_unit_test(the_longest_output_counts_before_measurements),
        cmocka_unit_test(answers_in_one_piece_are_bounded_too),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
