/** @file
 * Guards against a table of answers that grows with the routes of a large
 * configuration, and against sums of unlike answers in one.
 */
#include "unit.h"

#include <glib.h>

#include "sched/rollout_samples.h"

static void
routes_sides_and_classes_are_told_apart(void **state)
{
    RolloutSamples *samples = RolloutSamples_New();
    RolloutSamples_Find(samples, "a", ROLLOUT_OLD, 0)->sample.answers = 1;
    RolloutSamples_Find(samples, "a", ROLLOUT_CANDIDATE, 0)->sample.answers =
        2;
    RolloutSamples_Find(samples, "a", ROLLOUT_OLD, 1)->sample.answers = 3;
    RolloutSamples_Find(samples, "0 a", ROLLOUT_OLD, 0)->sample.answers = 4;
    assert_int_equal(RolloutSamples_Count(samples), 4);
    assert_int_equal(
        RolloutSamples_Find(samples, "a", ROLLOUT_OLD, 0)->sample.answers, 1);
    const RolloutSum *sums[4];
    RolloutSamples_List(samples, sums);
    unsigned answers = 0;
    for (size_t i = 0; i < 4; i++) {
        answers += sums[i]->sample.answers;
    }
    assert_int_equal(answers, 10);
    RolloutSamples_Free(samples);
}

static void
a_full_table_takes_no_further_sums(void **state)
{
    RolloutSamples *samples = RolloutSamples_New();
    for (unsigned i = 0; i < 2 * ROLLOUT_SAMPLES_MAX; i++) {
        char route[16];
        g_snprintf(route, sizeof(route), "r%u", i);
        RolloutSum *sum =
            RolloutSamples_Find(samples, route, ROLLOUT_OLD, i % 3);
        assert_true((sum != NULL) == (i < ROLLOUT_SAMPLES_MAX));
    }
    assert_int_equal(RolloutSamples_Count(samples), ROLLOUT_SAMPLES_MAX);
    assert_non_null(RolloutSamples_Find(samples, "r0", ROLLOUT_OLD, 0));
    RolloutSamples_Free(samples);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(routes_sides_and_classes_are_told_apart),
        cmocka_unit_test(a_full_table_takes_no_further_sums),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
