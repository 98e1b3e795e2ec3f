/** @file
 * Rests that endpoints ask for: how they are read, last, and end.
 */
#include "unit.h"

#include "sched/rest.h"

#define START (100 * US_PER_S)

static void
numbers_are_read_and_others_are_not(void **state)
{
    static const char *const bad[] = {
        "",
        "0",
        "0.0",
        "-3",
        "+3",
        "soon",
        "1e",
        "1e9",
        ".5",
        "5.",
        "1.2.3",
        "nan",
        "3 ",
        "1,5",
        "inf",
        "0x5",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    };
    assert_int_equal(Rest_Parse("3"), 3000);
    assert_int_equal(Rest_Parse("0.2"), 200);
    assert_int_equal(Rest_Parse("60"), 60000);
    assert_int_equal(Rest_Parse("99999999999999999999"), REST_MAX_MS);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        assert_int_equal(Rest_Parse(bad[i]), 0);
    }
}

static void
a_rest_is_kept_and_never_gets_shorter(void **state)
{
    Rest rest = {0};
    assert_true(Rest_MaySend(&rest, START));
    assert_false(Rest_OnRefused(&rest, 0, START));
    assert_true(Rest_MaySend(&rest, START));
    assert_true(Rest_OnRefused(&rest, 3000, START));
    assert_false(Rest_MaySend(&rest, START));
    assert_false(Rest_OnRefused(&rest, 200, START + US_PER_S));
    assert_false(Rest_MaySend(&rest, START + 3 * US_PER_S - 1));
    assert_true(Rest_OnRefused(&rest, 3000, START + 2 * US_PER_S));
    assert_false(Rest_MaySend(&rest, START + 5 * US_PER_S - 1));
    assert_true(Rest_MaySend(&rest, START + 5 * US_PER_S));
}

/* Returns the number of requests that may be sent at once. */
static unsigned
send_all(Rest *rest, TimeUs now)
{
    unsigned count = 0;
    while (count < 100 && Rest_MaySend(rest, now)) {
        Rest_OnSent(rest, now);
        count++;
    }
    return count;
}

static void
requests_return_by_and_by(void **state)
{
    Rest rest = {0};
    TimeUs now = START + 3 * US_PER_S;
    Rest_OnRefused(&rest, 3000, START);
    Rest_OnServed(&rest, now - 1);
    assert_int_equal(send_all(&rest, now), 1);
    assert_int_equal(send_all(&rest, now + US_PER_S - 1), 0);
    assert_int_equal(send_all(&rest, now + US_PER_S), 1);
    Rest_OnServed(&rest, now);
    assert_int_equal(send_all(&rest, now), 2);
    Rest_OnServed(&rest, now);
    assert_int_equal(send_all(&rest, now), 4);
    for (int i = 0; i < 3; i++) {
        Rest_OnServed(&rest, now);
    }
    assert_int_equal(send_all(&rest, now), 100);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(numbers_are_read_and_others_are_not),
        cmocka_unit_test(a_rest_is_kept_and_never_gets_shorter),
        cmocka_unit_test(requests_return_by_and_by),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
