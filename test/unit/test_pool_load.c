/** @file
 * Plays competition for a pool of 44 engines at 38 gateways, with and without
 * the view of the pool, and compares what callers get. Guards against late
 * refusals, refusals of requests that an engine would serve, ranks that are
 * served less, and views that stay wrong.
 */
#include "unit.h"

#include <glib.h>

#include "pool_report.h"

#define ENGINES 44
/* Of the refusals, those of requests that an engine would have taken. */
#define WRONG_MAX 0.01
/* Noise of the served fraction of a rank between two plays of a load. */
#define SERVED_NOISE 0.015
#define RECOVERY_MS 1000

typedef struct Comparison {
    PoolResult before;
    PoolResult after;
} Comparison;

static Comparison
compare(const char *what, const PoolCase *spec)
{
    Comparison both = {
        .before = PoolReport_PlaySeeds(spec, false),
        .after = PoolReport_PlaySeeds(spec, true),
    };
    print_message("%s\n", what);
    PoolReport_Print("before", &both.before);
    PoolReport_Print("after ", &both.after);
    return both;
}

static void
no_class_is_served_less(const Comparison *both)
{
    for (int c = 0; c < POOL_PLAY_CLASSES; c++) {
        const PoolClassResult *before = &both->before.classes[c];
        const PoolClassResult *after = &both->after.classes[c];
        assert_true(PoolReport_Fraction(after->served, after->callers) >=
                    PoolReport_Fraction(before->served, before->callers) -
                        SERVED_NOISE);
    }
}

/* A request that no engine can serve by the view is refused within an eighth
 * of its objective and asks 12 keepers; one in a hundred may differ, as the
 * view changes meanwhile. */
static void
refusals_are_early_and_right(const PoolResult *after)
{
    assert_true(PoolReport_Fraction(after->wrong, after->refusals) <=
                WRONG_MAX);
    assert_true(after->known_late > 0);
    assert_true(PoolReport_Fraction(after->known_late_over,
                                    after->known_late) <= 0.01);
    assert_true(PoolReport_Fraction(after->known_late_wants_over,
                                    after->known_late) <= 0.01);
}

static void
nobody_is_refused_below_the_capacity(void **state)
{
    Comparison both =
        compare("load 0.8",
                &(PoolCase){.engines = ENGINES, .load = 0.8, .run_ms = 12000});
    no_class_is_served_less(&both);
    assert_int_equal(both.after.refusals, 0);
}

static void
slight_overload_is_refused_early(void **state)
{
    Comparison both =
        compare("load 1.2",
                &(PoolCase){.engines = ENGINES, .load = 1.2, .run_ms = 12000});
    no_class_is_served_less(&both);
    refusals_are_early_and_right(&both.after);
}

static void
heavy_overload_is_refused_early(void **state)
{
    Comparison both =
        compare("load 2.0",
                &(PoolCase){.engines = ENGINES, .load = 2, .run_ms = 12000});
    no_class_is_served_less(&both);
    refusals_are_early_and_right(&both.after);
    assert_true(both.after.refusal_p50_ms <= both.before.refusal_p50_ms / 2);
    assert_true(both.after.wants < both.before.wants);
}

static unsigned
refused_from(const PoolResult *result, int from_ms)
{
    unsigned sum = 0;
    for (int i = from_ms / POOL_PLAY_SPAN_MS; i < POOL_PLAY_SPANS; i++) {
        sum += result->refused_in[i];
    }
    return sum;
}

/* Guards against a view that outlives the load that it shows. */
static void
nobody_is_refused_a_second_after_a_burst(void **state)
{
    PoolCase spec = {
        .engines = ENGINES,
        .load = 0.3,
        .burst_load = 2,
        .burst_until_ms = 5000,
        .run_ms = 12000,
    };
    Comparison both = compare("burst of 2.0, then 0.3", &spec);
    unsigned before = refused_from(&both.before, 5000 + RECOVERY_MS);
    unsigned after = refused_from(&both.after, 5000 + RECOVERY_MS);
    print_message(
        "  refused that came 1 s after the burst: %u before, %u after\n",
        before, after);
    no_class_is_served_less(&both);
    assert_true(after <= before);
    assert_true(PoolReport_Fraction(both.after.wrong, both.after.refusals) <=
                WRONG_MAX);
}

/* Guards against views of keepers that no longer answer. */
static void
frozen_keepers_and_crashed_engines_are_passed_over(void **state)
{
    PoolCase spec = {
        .engines = ENGINES,
        .load = 1.2,
        .run_ms = 12000,
        .fault_from_ms = 4000,
        .fault_until_ms = 7000,
    };
    PoolCase frozen = spec;
    frozen.frozen = 6;
    Comparison both = compare("load 1.2, 6 keepers frozen for 3 s", &frozen);
    no_class_is_served_less(&both);
    assert_true(PoolReport_Fraction(both.after.wrong, both.after.refusals) <=
                WRONG_MAX);
    PoolCase crashed = spec;
    crashed.crashed = 8;
    both = compare("load 1.2, 8 engines crash", &crashed);
    no_class_is_served_less(&both);
    assert_true(PoolReport_Fraction(both.after.wrong, both.after.refusals) <=
                WRONG_MAX);
    PoolCase cut = spec;
    cut.region_cut = true;
    both = compare("load 1.2, regions cut off from each other for 3 s", &cut);
    no_class_is_served_less(&both);
    assert_true(PoolReport_Fraction(both.after.wrong, both.after.refusals) <=
                WRONG_MAX);
}

/* Small fleets are searched as without a view. */
static void
twelve_engines_are_searched_as_before(void **state)
{
    Comparison both =
        compare("12 engines, load 1.5",
                &(PoolCase){.engines = 12, .load = 1.5, .run_ms = 12000});
    assert_int_equal(both.before.served, both.after.served);
    assert_int_equal(both.before.wants, both.after.wants);
    assert_int_equal(both.before.refusals, both.after.refusals);
}

/* Usage: test_pool_load [PATTERN of test names] */
int
main(int argc, char **argv)
{
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nobody_is_refused_below_the_capacity),
        cmocka_unit_test(slight_overload_is_refused_early),
        cmocka_unit_test(heavy_overload_is_refused_early),
        cmocka_unit_test(nobody_is_refused_a_second_after_a_burst),
        cmocka_unit_test(frozen_keepers_and_crashed_engines_are_passed_over),
        cmocka_unit_test(twelve_engines_are_searched_as_before),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
