/** @file
 * Tests of the shares of a limit and of the choice of an endpoint.
 */
#include "unit.h"

#include "sched/balancer.h"
#include "sched/shares.h"

#define ASSERT_NEAR(value, expected)                                          \
    assert_true((value) > (expected)-0.01 && (value) < (expected) + 0.01)

static double
total(double rate, const double *demands, size_t count)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += Shares_Split(rate, demands, count, i);
    }
    return sum;
}

/* Uneven demand below the limit. All demand is met and the rest is split
 * evenly. */
static void
demand_below_the_limit_is_met(void **state)
{
    const double demands[] = {70, 10, 0, 0};
    ASSERT_NEAR(Shares_Split(100, demands, 4, 0), 75);
    ASSERT_NEAR(Shares_Split(100, demands, 4, 1), 15);
    ASSERT_NEAR(Shares_Split(100, demands, 4, 3), 5);
    ASSERT_NEAR(total(100, demands, 4), 100);
}

/* Demand above the limit. Small demands are met and large ones get equal
 * shares. */
static void
demand_above_the_limit_is_shared(void **state)
{
    const double demands[] = {500, 300, 10, 30};
    ASSERT_NEAR(Shares_Split(100, demands, 4, 2), 10);
    ASSERT_NEAR(Shares_Split(100, demands, 4, 3), 30);
    ASSERT_NEAR(Shares_Split(100, demands, 4, 0), 30);
    ASSERT_NEAR(Shares_Split(100, demands, 4, 1), 30);
    ASSERT_NEAR(total(100, demands, 4), 100);
}

static BalancerCandidate
candidate(unsigned distance, double load, double expected_run_ms)
{
    return (BalancerCandidate){
        .usable = true,
        .distance = distance,
        .load = load,
        .expected_run_ms = expected_run_ms,
    };
}

/* Light load on endpoints with different run times. */
static void
the_shortest_expected_wait_wins(void **state)
{
    BalancerCandidate candidates[] = {
        candidate(0, 0.5, 600),
        candidate(0, 0.5, 200),
        candidate(2, 0, 200),
    };
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 3, 10), 1);
    candidates[1].load = 3;
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 3, 10), 2);
    candidates[2].usable = false;
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 3, 10), 1);
    candidates[1].tried = true;
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 3, 10), 0);
    candidates[0].load = 10;
    candidates[1].load = 10;
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 3, 10), -1);
}

/* An endpoint that fails part of its requests while its load is low is not
 * preferred to one that answers. */
static void
failing_endpoints_are_used_less(void **state)
{
    BalancerCandidate candidates[] = {
        candidate(0, 0, 30),
        candidate(1, 1, 30),
    };
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 2, 10), 0);
    candidates[0].error_rate = 0.4;
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 2, 10), 1);
}

/* Guards against a request at a slow endpoint while one that is full for the
 * moment would answer sooner, and against an endless wait for it. */
static void
a_full_endpoint_is_worth_a_short_wait(void **state)
{
    BalancerCandidate candidates[] = {
        candidate(0, 0, 150),
        candidate(0, 1.5, 60),
    };
    assert_int_equal(Balancer_ChooseEndpoint(candidates, 2, 1.5), 0);
    assert_true(Balancer_IsWorthWaiting(candidates, 2, 0, 0));
    assert_true(Balancer_IsWorthWaiting(candidates, 2, 0, 40));
    assert_false(Balancer_IsWorthWaiting(candidates, 2, 0, 50));
    candidates[1].load = 4;
    assert_false(Balancer_IsWorthWaiting(candidates, 2, 0, 0));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(demand_below_the_limit_is_met),
        cmocka_unit_test(demand_above_the_limit_is_shared),
        cmocka_unit_test(the_shortest_expected_wait_wins),
        cmocka_unit_test(failing_endpoints_are_used_less),
        cmocka_unit_test(a_full_endpoint_is_worth_a_short_wait),
    };
    return cmocka_run_group_tests_name("shares", tests, NULL, NULL);
}
