/** @file
 * Servers of fixed unequal speed keep the parts that they have with running
 * means.
 */
#include "unit.h"

#include <math.h>

#include "pace_play.h"
#include "sched/pace.h"

/* Most by which the part of a server differs from that with running means. */
#define PART_CHANGE_MAX 0.06
/* Plain requests a second over all gateways, and swing of the demand of a
 * zone.
 */
#define RATE 100
#define SWING 0.55
/* Of the logarithms of run times. */
#define SIGMA 0.4

/* Guards against a redistribution between servers of fixed unequal speed,
 * whether their figures show the speed or are all 100. */
static void
fixed_speeds_keep_their_parts(void **state)
{
    static const double speeds[] = {0.6, 0.8, 1, 1.2, 1.5, 1.7};
    PlayOptions options = {
        .policy = PLAY_MEANS,
        .rate = RATE,
        .swing = SWING,
        .sigma = SIGMA,
        .speeds = speeds,
        .seed = 1,
        .seconds = 120,
    };
    PlayResult means = PacePlay_Run(&options);
    options.policy = PLAY_ASKS;
    for (int shows = 0; shows <= 1; shows++) {
        options.figure_shows_speed = shows != 0;
        PlayResult asks = PacePlay_Run(&options);
        for (int s = 0; s < PLAY_SERVERS; s++) {
            print_message("speed %.1f: part %.3f, with figures %.3f\n",
                          speeds[s], means.parts[s], asks.parts[s]);
            assert_true(fabs(asks.parts[s] - means.parts[s]) <=
                        PART_CHANGE_MAX);
        }
        print_message("p99 %.0f and %.0f, mean %.1f and %.1f, questions %u\n",
                      means.p99_ms, asks.p99_ms, means.mean_ms, asks.mean_ms,
                      asks.asked);
        assert_true(asks.mean_ms <= 1.02 * means.mean_ms);
        assert_true(asks.p99_ms <= 1.02 * means.p99_ms);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fixed_speeds_keep_their_parts),
    };
    return cmocka_run_group_tests_name("pace_fixed", tests, NULL, NULL);
}
