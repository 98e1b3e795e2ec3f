/** @file
 * Rules of the sequential test of a roll-out that do not depend on chance; the
 * error rates are measured by bench_rollout.
 */
#include "unit.h"

#include <math.h>
#include <stdbool.h>

#include <glib.h>

#include "sched/rollout_evidence.h"
#include "sched/rollout_test.h"

#define BEGUN (100 * US_PER_S)
#define DEADLINE (BEGUN + 12 * US_PER_S)
#define TICK_US (250 * US_PER_MS)

/* Answers of both sides in one tick. The times of a side spread evenly over
 * two values of ln(ms), 1 below and above the mean. */
typedef struct Feed {
    const char *route;
    unsigned old_class;
    unsigned candidate_class;
    uint32_t old;
    uint32_t old_failures;
    uint32_t candidate;
    uint32_t candidate_failures;
    double log_shift; /* of the candidate's times */
} Feed;

static RolloutSample
sample_of(uint32_t answers, uint32_t failures, double log_ms)
{
    uint32_t timed = answers - failures;
    return (RolloutSample){
        .answers = answers,
        .failures = failures,
        .timed = timed,
        .log_sum = timed * log_ms,
        .log_square_sum = timed * (log_ms * log_ms + 1),
    };
}

static void
feed(RolloutTest *test, const Feed *feed, TimeUs now)
{
    RolloutSample old = sample_of(feed->old, feed->old_failures, 4);
    RolloutSample candidate = sample_of(
        feed->candidate, feed->candidate_failures, 4 + feed->log_shift);
    RolloutTest_Add(test, feed->route, ROLLOUT_OLD, feed->old_class, &old,
                    now);
    RolloutTest_Add(test, feed->route, ROLLOUT_CANDIDATE,
                    feed->candidate_class, &candidate, now);
}

/* Returns the verdict after all ticks until a time, or the first that is not
 * undecided. */
static RolloutVerdict
feed_until(RolloutTest *test, const Feed *what, TimeUs from, TimeUs until,
           RolloutReason *reason, TimeUs *at)
{
    RolloutVerdict verdict = ROLLOUT_UNDECIDED;
    for (*at = from; *at <= until; *at += TICK_US) {
        feed(test, what, *at);
        verdict = RolloutTest_Judge(test, *at, reason);
        if (verdict != ROLLOUT_UNDECIDED) {
            break;
        }
    }
    return verdict;
}

static const Feed equal = {
    .route = "/a", .old = 40, .old_failures = 4, .candidate = 5};

/* Guards against a good candidate that is accepted too early or not at all. */
static void
good_is_accepted_after_a_part_of_the_time(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    RolloutReason reason;
    TimeUs at;
    assert_int_equal(feed_until(test, &equal, BEGUN, DEADLINE, &reason, &at),
                     ROLLOUT_GOOD);
    assert_int_equal(at, BEGUN + 6750 * US_PER_MS);
    assert_int_equal(reason.cause, ROLLOUT_CAUSE_NO_EVIDENCE);
    assert_int_equal(reason.answers, 28 * 5);
    assert_true(reason.evidence < 1);
    RolloutTest_Free(test);
}

/* Guards against a long wait where the deadline is minutes away. */
static void
good_is_accepted_after_20_s_at_most(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, BEGUN + 600 * US_PER_S);
    RolloutReason reason;
    TimeUs at;
    assert_int_equal(
        feed_until(test, &equal, BEGUN, BEGUN + 60 * US_PER_S, &reason, &at),
        ROLLOUT_GOOD);
    assert_int_equal(at, BEGUN + 20 * US_PER_S);
    RolloutTest_Free(test);
}

/* Guards against a candidate that is accepted because hardly anything of it
 * was seen. */
static void
few_answers_stay_undecided(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed few = equal;
    few.candidate = 1;
    RolloutReason reason;
    TimeUs at;
    assert_int_equal(
        feed_until(test, &few, BEGUN, DEADLINE - TICK_US, &reason, &at),
        ROLLOUT_UNDECIDED);
    assert_int_equal(reason.answers, 48);
    feed(test, &few, DEADLINE);
    feed(test, &few, DEADLINE);
    assert_int_equal(RolloutTest_Judge(test, DEADLINE, NULL), ROLLOUT_GOOD);
    RolloutTest_Free(test);
}

/* Guards against a reason that does not name what decided. */
static void
failures_are_bad_with_their_route(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed failing = {
        .route = "/b", .old = 20, .candidate = 2, .candidate_failures = 2};
    RolloutVerdict verdict = ROLLOUT_UNDECIDED;
    RolloutReason reason;
    TimeUs now = BEGUN;
    while (now < DEADLINE && verdict == ROLLOUT_UNDECIDED) {
        Feed well = equal;
        well.candidate = 20;
        well.candidate_failures = 2;
        feed(test, &well, now);
        feed(test, &failing, now);
        verdict = RolloutTest_Judge(test, now, &reason);
        now += TICK_US;
    }
    assert_int_equal(verdict, ROLLOUT_BAD);
    assert_true(now <= BEGUN + 4 * US_PER_S);
    assert_int_equal(reason.cause, ROLLOUT_CAUSE_FAILURES);
    assert_string_equal(reason.route, "/b");
    assert_int_equal(reason.candidate_failures, reason.candidate_answers);
    assert_int_equal(reason.old_failures, 0);
    assert_true(reason.evidence >= reason.evidence_required);
    /* Bad is final. */
    feed_until(test, &equal, now, DEADLINE, &reason, &now);
    assert_int_equal(RolloutTest_Judge(test, DEADLINE, &reason), ROLLOUT_BAD);
    assert_string_equal(reason.route, "/b");
    RolloutTest_Free(test);
}

static void
slow_is_bad(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed slow = equal;
    slow.log_shift = log(4);
    slow.candidate_failures = 0;
    RolloutReason reason;
    TimeUs at;
    assert_int_equal(feed_until(test, &slow, BEGUN, DEADLINE, &reason, &at),
                     ROLLOUT_BAD);
    assert_true(at <= BEGUN + 5 * US_PER_S);
    assert_int_equal(reason.cause, ROLLOUT_CAUSE_TIMES);
    assert_true(fabs(reason.time_ratio - 4) < 0.1);
    RolloutTest_Free(test);
}

/* Guards against a candidate that escapes because its own slots are full, so
 * that no old answer has its load class. */
static void
other_load_classes_are_compared_if_need_be(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed slow = equal;
    slow.candidate_class = 2;
    slow.log_shift = log(4);
    RolloutReason reason;
    TimeUs at;
    assert_int_equal(feed_until(test, &slow, BEGUN, DEADLINE, &reason, &at),
                     ROLLOUT_BAD);
    RolloutTest_Free(test);
}

/* Guards against a fault that is hidden by a long good start. */
static void
good_start_does_not_dilute(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    RolloutReason reason;
    TimeUs at;
    TimeUs turn = BEGUN + 5 * US_PER_S;
    assert_int_equal(feed_until(test, &equal, BEGUN, turn, &reason, &at),
                     ROLLOUT_UNDECIDED);
    Feed failing = equal;
    failing.candidate_failures = 3;
    assert_int_equal(feed_until(test, &failing, at, DEADLINE, &reason, &at),
                     ROLLOUT_BAD);
    assert_true(at <= turn + 2 * US_PER_S);
    assert_true(reason.since >= BEGUN + 3 * US_PER_S);
    RolloutTest_Free(test);
}

/* Guards against a good candidate that is blamed for a pool in which all
 * answers fail, or for the end of a time in which the old versions failed. */
static void
shared_failures_count_against_neither(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed failing = equal;
    failing.old_failures = failing.old;
    failing.candidate_failures = failing.candidate;
    RolloutReason reason;
    TimeUs at;
    TimeUs turn = BEGUN + 3 * US_PER_S;
    feed_until(test, &failing, BEGUN, turn, &reason, &at);
    assert_int_equal(feed_until(test, &equal, at, DEADLINE, &reason, &at),
                     ROLLOUT_GOOD);
    RolloutTest_Free(test);
}

/* Guards against a candidate that is blamed while no old version answers. */
static void
without_old_answers_nothing_is_compared(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    Feed alone = {.route = "/a", .candidate = 5, .candidate_failures = 5};
    RolloutReason reason;
    TimeUs at;
    feed_until(test, &alone, BEGUN, BEGUN + 6 * US_PER_S, &reason, &at);
    assert_true(reason.evidence < 1);
    RolloutTest_Free(test);
}

/* Guards against figures off the wire that would turn sums into NaN, after
 * which no comparison holds and a bad candidate is never found. */
static void
invalid_batches_are_ignored(void **state)
{
    RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
    const RolloutSample invalid[] = {
        {.answers = 1, .failures = 2},
        {.answers = 1, .timed = 2},
        {.answers = 1, .timed = 1, .log_sum = NAN},
        {.answers = 1, .timed = 1, .log_square_sum = INFINITY},
        {.answers = 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        RolloutTest_Add(test, "/a", ROLLOUT_CANDIDATE, 7, &invalid[i], BEGUN);
    }
    RolloutReason reason;
    RolloutTest_Judge(test, BEGUN, &reason);
    assert_int_equal(reason.answers, 0);
    Feed failing = equal;
    failing.candidate_failures = 5;
    TimeUs at;
    assert_int_equal(feed_until(test, &failing, BEGUN, DEADLINE, &reason, &at),
                     ROLLOUT_BAD);
    RolloutTest_Free(test);
}

static double
log_choose(double n, double k)
{
    return lgamma(n + 1) - lgamma(k + 1) - lgamma(n - k + 1);
}

/* Guards against likelihood ratios that are no test: their mean over what an
 * equal candidate does must be 1, or the errors are not bounded. In large
 * blocks it is less, since ratios are cut off before they overflow. */
static void
ratios_have_mean_1_for_an_equal_candidate(void **state)
{
    static const int blocks[][3] = {
        {1, 9, 1}, {3, 20, 5}, {12, 4, 7}, {40, 300, 60}, {900, 8000, 1200}};
    for (size_t i = 0; i < G_N_ELEMENTS(blocks); i++) {
        int candidate = blocks[i][0];
        int old = blocks[i][1];
        int failures = blocks[i][2];
        double means[ROLLOUT_EFFECTS] = {0};
        for (int x = MAX(0, failures - old); x <= MIN(failures, candidate);
             x++) {
            RolloutBlock block = {
                .sides = {
                    {.answers = old, .failures = failures - x},
                    {.answers = candidate, .failures = x},
                }};
            RolloutGain gain = RolloutBlock_Compare(&block, 1);
            double chance =
                exp(log_choose(candidate, x) + log_choose(old, failures - x) -
                    log_choose(candidate + old, failures));
            for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
                assert_false(isnan(gain.ratios[e]));
                means[e] += chance * gain.ratios[e];
            }
        }
        for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
            assert_true(means[e] < 1 + 1e-6);
            assert_true(means[e] > 1 - 1e-6 || candidate > 100);
        }
    }
}

/* Guards against overflow in fleets with thousands of answers per second. */
static void
many_answers_do_not_overflow(void **state)
{
    static const double shifts[] = {-3, 0, 3};
    for (size_t i = 0; i < G_N_ELEMENTS(shifts); i++) {
        RolloutTest *test = RolloutTest_New(BEGUN, DEADLINE);
        bool is_bad = shifts[i] > 0;
        Feed many = {.route = "/a",
                     .old = 40000,
                     .old_failures = is_bad ? 400 : 4000,
                     .candidate = 10000,
                     .candidate_failures = is_bad ? 9999 : 1000,
                     .log_shift = shifts[i]};
        RolloutReason reason;
        TimeUs at;
        RolloutVerdict verdict =
            feed_until(test, &many, BEGUN, DEADLINE, &reason, &at);
        assert_int_equal(verdict, is_bad ? ROLLOUT_BAD : ROLLOUT_GOOD);
        assert_true(isfinite(reason.evidence));
        RolloutTest_Free(test);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_is_accepted_after_a_part_of_the_time),
        cmocka_unit_test(good_is_accepted_after_20_s_at_most),
        cmocka_unit_test(few_answers_stay_undecided),
        cmocka_unit_test(failures_are_bad_with_their_route),
        cmocka_unit_test(slow_is_bad),
        cmocka_unit_test(other_load_classes_are_compared_if_need_be),
        cmocka_unit_test(good_start_does_not_dilute),
        cmocka_unit_test(shared_failures_count_against_neither),
        cmocka_unit_test(without_old_answers_nothing_is_compared),
        cmocka_unit_test(invalid_batches_are_ignored),
        cmocka_unit_test(ratios_have_mean_1_for_an_equal_candidate),
        cmocka_unit_test(many_answers_do_not_overflow),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
