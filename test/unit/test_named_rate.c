/** @file
 * Rate limits that endpoints name: how they are read, begin, change and end,
 * and that requests are sent at their rate.
 */
#include "unit.h"

#include "sched/named_rate.h"

#define START_US (100 * US_PER_S)
#define STEP_US (5 * US_PER_MS)

static void
numbers_are_read_and_others_are_not(void **state)
{
    static const char *const bad[] = {
        "0",   "0.0",   "-1",       "+1",
        "1e3", "",      "x",        ".5",
        "5.",  "1.2.3", "nan",      "inf",
        "1,2", " 1",    "99999999", "0.000000000000000000000000001",
    };
    assert_float_equal(NamedRate_Parse("0.4"), 0.4, 1e-9);
    assert_float_equal(NamedRate_Parse("1"), 1, 1e-9);
    assert_float_equal(NamedRate_Parse("40"), 40, 1e-9);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        assert_true(NamedRate_Parse(bad[i]) == 0);
    }
}

static NamedRate
begin(double rate)
{
    NamedRate limit = {0};
    assert_true(NamedRate_OnAnswer(&limit, rate, START_US, START_US, 0));
    return limit;
}

/* Returns the number of requests that senders with these shares send in a
 * time, when all of them always have requests. */
static unsigned
send_all(const double *shares, size_t count, double rate, TimeUs span)
{
    NamedRate limits[16];
    unsigned sent = 0;
    for (size_t i = 0; i < count; i++) {
        limits[i] = begin(rate);
    }
    for (TimeUs now = START_US; now < START_US + span; now += STEP_US) {
        for (size_t i = 0; i < count; i++) {
            if (NamedRate_MaySend(&limits[i], shares[i], now)) {
                NamedRate_OnSent(&limits[i]);
                sent++;
            }
        }
    }
    return sent;
}

static void
sum_over_all_senders_keeps_to_the_rate(void **state)
{
    const double rates[] = {0.4, 1, 2.6, 40};
    const double shares[] = {0.25, 0.25, 0.25, 0.25};
    for (size_t i = 0; i < 4; i++) {
        double allowed = rates[i] * 100;
        unsigned sent = send_all(shares, 4, rates[i], 100 * US_PER_S);
        assert_in_range(sent, (unsigned)(0.9 * allowed),
                        (unsigned)(1.1 * allowed) + 5);
    }
}

static void
idle_time_is_not_saved_up(void **state)
{
    NamedRate limit = begin(2);
    TimeUs now = START_US + 60 * US_PER_S;
    unsigned sent = 0;
    while (NamedRate_MaySend(&limit, 1, now)) {
        NamedRate_OnSent(&limit);
        sent++;
    }
    assert_int_equal(sent, 1);
    assert_int_equal(NamedRate_NextAt(&limit, 1, 0, now) - now,
                     400 * US_PER_MS);
    assert_int_equal(NamedRate_NextAt(&limit, 1, 2, now) - now,
                     1400 * US_PER_MS);
    NamedRate_OnUnsent(&limit);
    assert_true(NamedRate_MaySend(&limit, 1, now));
}

static void
newest_rate_counts(void **state)
{
    NamedRate limit = begin(1);
    assert_true(
        NamedRate_OnAnswer(&limit, 5, START_US, START_US + US_PER_S, 0));
    assert_false(
        NamedRate_OnAnswer(&limit, 5, START_US, START_US + US_PER_S, 0));
    assert_float_equal(limit.rate, 5, 1e-9);
    assert_true(
        NamedRate_OnAnswer(&limit, 0.5, START_US, START_US + US_PER_S, 0));
    assert_float_equal(limit.rate, 0.5, 1e-9);
}

static void
limit_that_only_some_answers_name_holds(void **state)
{
    NamedRate limit = begin(1);
    for (int i = 1; i <= 60; i++) {
        TimeUs now = START_US + i * US_PER_S;
        NamedRate_OnAnswer(&limit, i % 4 == 0 ? 1 : 0, now, now, 0);
        assert_true(limit.rate > 0);
    }
}

static void
limit_ends_when_it_is_no_longer_named(void **state)
{
    NamedRate limit = begin(1);
    /* Answers to requests that were sent before it was named. */
    for (int i = 1; i <= 20; i++) {
        TimeUs now = START_US + i * US_PER_S;
        assert_false(NamedRate_OnAnswer(&limit, 0, START_US - 1, now, 0));
    }
    bool ended = false;
    for (int i = 1; i <= 10 && !ended; i++) {
        TimeUs now = START_US + i * US_PER_S;
        ended = NamedRate_OnAnswer(&limit, 0, now, now, 0);
    }
    assert_true(ended);
    assert_true(NamedRate_MaySend(&limit, 1, START_US));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(numbers_are_read_and_others_are_not),
        cmocka_unit_test(sum_over_all_senders_keeps_to_the_rate),
        cmocka_unit_test(idle_time_is_not_saved_up),
        cmocka_unit_test(newest_rate_counts),
        cmocka_unit_test(limit_that_only_some_answers_name_holds),
        cmocka_unit_test(limit_ends_when_it_is_no_longer_named),
    };
    return cmocka_run_group_tests_name("named_rate", tests, NULL, NULL);
}
