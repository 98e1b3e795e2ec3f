/** @file
 * Current speed of servers: figures, their ageing, questions, and what callers
 * and servers see under load, compared with running means.
 */
#include "unit.h"

#include <math.h>

#include "pace_play.h"
#include "sched/pace.h"

#define START (100 * US_PER_S)
#define SEEDS 5
/* Least part by which the figures lower the p99 and the late answers. */
#define FEWER_MIN 0.3
/* Most slots by which a server's load differs from its share. */
#define SWING_MAX 2
/* Plain requests a second over all gateways, and swing of the demand of a
 * zone.
 */
#define RATE 100
#define SWING 0.55
#define SLOW_FRACTION 0.15
/* Of the logarithms of run times. The p99 of run times with 0.5 is 0.71 of
 * that of running means even with full knowledge of the speeds. */
#define SIGMA 0.4

/* Guards against the use of absurd figures. */
static void
only_plausible_figures_are_read(void **state)
{
    static const char *const bad[] = {
        "",     "0",    "9",     "9.99", "10001",          "1e3",
        "-100", "+100", "nan",   "inf",  "100 ",           "x",
        ".5",   "5.",   "1.0.0", "0x64", "99999999999999",
    };
    assert_float_equal(Pace_Parse("100"), 100, 0);
    assert_float_equal(Pace_Parse("10"), 10, 0);
    assert_float_equal(Pace_Parse("10000"), 10000, 0);
    assert_float_equal(Pace_Parse("252.5"), 252.5, 0);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        assert_float_equal(Pace_Parse(bad[i]), 0, 0);
    }
}

/* Reports of a server that is slow for 600 ms of each 4 s, with gaps from 50
 * to 2,000 ms. */
static TimeUs
report_for(Pace *pace, PaceService *service, TimeUs from, int seconds)
{
    GRand *random = g_rand_new_with_seed(1);
    TimeUs now = from;
    while (now < from + seconds * US_PER_S) {
        bool slow = now % (4 * US_PER_S) < 600 * US_PER_MS;
        Pace_OnReport(pace, service, slow ? 250 : 100, now);
        now += (TimeUs)g_rand_double_range(random, 50, 2000) * US_PER_MS;
    }
    g_rand_free(random);
    return now;
}

/* Guards against a figure that bars a server long after it was slow, or that
 * is given up while it holds. */
static void
figures_age_over_the_measured_holding_time(void **state)
{
    Pace pace = {.usual = 0};
    PaceService service = {.pairs = 0};
    Pace_OnReport(&pace, &service, 250, START);
    assert_true(Pace_HoldingTime(&service) <= 600 * US_PER_MS);
    TimeUs now = report_for(&pace, &service, START, 120);
    TimeUs holding = Pace_HoldingTime(&service);
    assert_true(holding >= 200 * US_PER_MS && holding <= 900 * US_PER_MS);
    Pace_OnReport(&pace, &service, 250, now);
    assert_true(Pace_Expected(&pace, &service, now) > 245);
    assert_true(Pace_Expected(&pace, &service, now + 4 * holding) < 140);
    assert_true(Pace_Expected(&pace, &service, now + 100 * holding) > 105);
}

/* Guards against questions and ageing at servers whose figure differs from 100
 * but never changes. */
static void
a_constant_figure_does_not_age(void **state)
{
    Pace pace = {.usual = 0};
    PaceService service = {.pairs = 0};
    TimeUs now = START;
    for (int i = 0; i < 300; i++) {
        now += US_PER_S;
        Pace_OnReport(&pace, &service, 130, now);
    }
    assert_float_equal(Pace_Expected(&pace, &service, now + 60 * US_PER_S),
                       130, 3);
    PaceOption options[] = {
        {.pace = &pace, .run_ms = 78, .other_ms = 0},
        {.pace = &pace, .run_ms = 78, .other_ms = 10},
    };
    assert_int_equal(
        Pace_ChooseQuestion(options, 2, &service, now + 60 * US_PER_S), -1);
}

/* Guards against a run time that includes a slow phase and thus outlasts it.
 */
static void
run_times_are_kept_at_the_usual_speed(void **state)
{
    Pace pace = {.usual = 0};
    PaceService service = {.pairs = 0};
    TimeUs now = START;
    assert_float_equal(Pace_RunMs(&pace, &service, now), 0, 0);
    for (int i = 0; i < 40; i++) {
        now += US_PER_S;
        bool slow = i % 4 == 0;
        Pace_OnReport(&pace, &service, slow ? 250 : 100, now);
        Pace_OnRun(&pace, &service, slow ? 150 : 60, now);
    }
    assert_float_equal(Pace_RunMs(&pace, &service, now), 60, 2);
    Pace_OnReport(&pace, &service, 250, now);
    assert_float_equal(Pace_RunMs(&pace, &service, now), 150, 5);
}

/* Guards against a question for a fresh figure, and against none for an old
 * one. */
static void
old_figures_are_worth_a_question(void **state)
{
    Pace paces[2] = {{.usual = 0}};
    PaceService service = {.pairs = 0};
    TimeUs now = report_for(&paces[0], &service, START, 60);
    Pace_OnReport(&paces[0], &service, 100, now);
    Pace_OnReport(&paces[1], &service, 100, now);
    PaceOption options[] = {
        {.pace = &paces[0], .run_ms = 60, .other_ms = 0},
        {.pace = &paces[1], .run_ms = 60, .other_ms = 10},
    };
    assert_int_equal(Pace_ChooseQuestion(options, 2, &service, now), -1);
    assert_int_equal(Pace_ChooseQuestion(options, 2, &service, now + US_PER_S),
                     0);
    assert_int_equal(Pace_ChooseQuestion(options, 1, &service, now + US_PER_S),
                     -1);
    options[0].pace = NULL;
    assert_int_equal(Pace_ChooseQuestion(options, 2, &service, now + US_PER_S),
                     -1);
}

typedef struct Sums {
    double p99_ms; /* mean */
    double mean_ms;
    double swing; /* largest */
    unsigned requests, late, asked, on_slow;
} Sums;

static Sums
play(PlayPolicy policy, double rate, double sigma)
{
    static const char *const names[] = {"means", "figure", "asks"};
    Sums sums = {.requests = 0};
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        PlayOptions options = {
            .policy = policy,
            .rate = rate,
            .swing = SWING,
            .slow_fraction = SLOW_FRACTION,
            .sigma = sigma,
            .seed = seed,
            .seconds = 80,
        };
        PlayResult result = PacePlay_Run(&options);
        sums.p99_ms += result.p99_ms / SEEDS;
        sums.mean_ms += result.mean_ms / SEEDS;
        sums.swing = fmax(sums.swing, result.most_swing);
        sums.requests += result.requests;
        sums.late += result.late;
        sums.asked += result.asked;
        sums.on_slow += result.on_slow;
    }
    print_message("%-6s rate %3.0f sigma %.1f: requests %u late %u p99 %.0f "
                  "mean %.1f at slow %.3f questions %u swing %.2f\n",
                  names[policy], rate, sigma, sums.requests, sums.late,
                  sums.p99_ms, sums.mean_ms,
                  (double)sums.on_slow / sums.requests, sums.asked,
                  sums.swing);
    return sums;
}

/* Guards against requests at servers that are slow now, and against gateways
 * that all leave or return to a server at the same time. */
static void
slow_servers_are_avoided_without_herds(void **state)
{
    Sums means = play(PLAY_MEANS, RATE, SIGMA);
    play(PLAY_FIGURE, RATE, SIGMA);
    Sums asks = play(PLAY_ASKS, RATE, SIGMA);
    assert_true(asks.p99_ms <= (1 - FEWER_MIN) * means.p99_ms);
    assert_true(means.late > 0);
    assert_true(asks.late <= (1 - FEWER_MIN) * means.late);
    assert_true(asks.swing <= SWING_MAX);
}

/* Twice the stated load: the same bounds on what callers see. */
static void
slow_servers_are_avoided_at_twice_the_load(void **state)
{
    Sums means = play(PLAY_MEANS, 2 * RATE, SIGMA);
    Sums asks = play(PLAY_ASKS, 2 * RATE, SIGMA);
    assert_true(asks.p99_ms <= (1 - FEWER_MIN) * means.p99_ms);
    assert_true(asks.late <= (1 - FEWER_MIN) * means.late);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_plausible_figures_are_read),
        cmocka_unit_test(figures_age_over_the_measured_holding_time),
        cmocka_unit_test(a_constant_figure_does_not_age),
        cmocka_unit_test(run_times_are_kept_at_the_usual_speed),
        cmocka_unit_test(old_figures_are_worth_a_question),
        cmocka_unit_test(slow_servers_are_avoided_without_herds),
        cmocka_unit_test(slow_servers_are_avoided_at_twice_the_load),
    };
    return cmocka_run_group_tests_name("pace", tests, NULL, NULL);
}
