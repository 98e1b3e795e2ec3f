/** @file
 * Bookings of an engine's slots: limits, claims and ends. Guards against
 * capacity that is promised twice, and against callers that gain by coming
 * early or that keep capacity by not coming.
 */
#include "unit.h"

#include <glib.h>

#include "sched/bookings.h"

#define SLOTS 6
#define RUN_US (1 * US_PER_S)

static WorkSpec
work_of(uint32_t rank, uint32_t prompt_tokens)
{
    return (WorkSpec){
        .tier = 1,
        .rank = rank,
        .prompt_tokens = prompt_tokens,
        .output_tokens = 100,
    };
}

/* At most half of the slots are booked at a time. */
static void
no_capacity_is_promised_twice(void **state)
{
    Bookings bookings = {.count = 0};
    WorkSpec work = work_of(0, 700);
    for (unsigned i = 0; i < SLOTS / 2; i++) {
        assert_true(
            Bookings_Add(&bookings, &work, 500 * US_PER_MS, RUN_US, SLOTS, 0));
    }
    assert_false(
        Bookings_Add(&bookings, &work, 500 * US_PER_MS, RUN_US, SLOTS, 0));
    assert_false(
        Bookings_Add(&bookings, &work, 1400 * US_PER_MS, RUN_US, SLOTS, 0));
    assert_true(
        Bookings_Add(&bookings, &work, 1500 * US_PER_MS, RUN_US, SLOTS, 0));
}

/* A caller that comes at once, or with another request, has no booking, and a
 * booking serves one request. */
static void
only_the_request_that_was_told_claims(void **state)
{
    Bookings bookings = {.count = 0};
    WorkSpec work = work_of(1, 700);
    WorkSpec longer = work_of(1, 701);
    WorkSpec higher = work_of(0, 700);
    assert_true(
        Bookings_Add(&bookings, &work, 500 * US_PER_MS, RUN_US, SLOTS, 0));
    assert_false(Bookings_Claim(&bookings, &work, 100 * US_PER_MS));
    assert_false(Bookings_Claim(&bookings, &longer, 500 * US_PER_MS));
    assert_false(Bookings_Claim(&bookings, &higher, 500 * US_PER_MS));
    assert_true(Bookings_Claim(&bookings, &work, 530 * US_PER_MS));
    assert_false(Bookings_Claim(&bookings, &work, 540 * US_PER_MS));
}

/* Callers that never come occupy capacity for a bounded time. */
static void
bookings_lapse(void **state)
{
    Bookings bookings = {.count = 0};
    WorkSpec work = work_of(0, 700);
    WorkSpec lower = work_of(2, 900);
    assert_true(
        Bookings_Add(&bookings, &work, 500 * US_PER_MS, RUN_US, SLOTS, 0));
    assert_int_equal(Bookings_WorkBefore(&bookings, &lower, US_PER_S), RUN_US);
    assert_int_equal(Bookings_WorkBefore(&bookings, &lower, 400 * US_PER_MS),
                     0);
    assert_int_equal(Bookings_Expire(&bookings, 700 * US_PER_MS), 0);
    assert_int_equal(Bookings_Expire(&bookings, 900 * US_PER_MS), 1);
    assert_int_equal(Bookings_WorkBefore(&bookings, &lower, US_PER_S), 0);
    assert_false(Bookings_Claim(&bookings, &work, 900 * US_PER_MS));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_capacity_is_promised_twice),
        cmocka_unit_test(only_the_request_that_was_told_claims),
        cmocka_unit_test(bookings_lapse),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
