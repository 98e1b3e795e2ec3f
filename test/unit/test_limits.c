/** @file
 * Tests of account limits: rates, bursts, debt, concurrency and shares.
 */
#include "unit.h"

#include "sched/limits.h"

static LimitTable *
new_table(const AccountLimits *limits)
{
    LimitTable *table = Limits_New(2);
    Limits_Set(table, 0, limits, US_PER_S);
    return table;
}

/* Returns the number of requests admitted in ten seconds at @p rate requests
 * per second. */
static uint32_t
count_admitted(LimitTable *table, uint32_t rate)
{
    uint32_t count = 0;
    uint32_t retry;
    for (uint32_t i = 0; i < rate * 10; i++) {
        TimeUs now = US_PER_S + i * US_PER_S / rate;
        if (Limits_Admit(table, 0, 10, now, &retry)) {
            count++;
            Limits_Release(table, 0, 10, 10, now);
        }
    }
    return count;
}

static void
keeps_the_rate_and_one_burst(void **state)
{
    LimitTable *table = new_table(&(AccountLimits){.requests_s = 20});
    /* Ten seconds at the limit, plus the full bucket at the start. */
    assert_in_range(count_admitted(table, 200), 20 * 10, 20 * 11 + 1);
    Limits_Free(table);
}

static void
applies_its_share(void **state)
{
    LimitTable *table = new_table(&(AccountLimits){.tokens_s = 4000});
    Limits_SetShare(table, 0, 0.25);
    /* 1,000 tokens per second at 10 tokens per request, plus the full bucket.
     */
    assert_in_range(count_admitted(table, 1000), 1000, 1200);
    Limits_Free(table);
}

static void
long_prompt_leaves_a_debt(void **state)
{
    LimitTable *table = new_table(&(AccountLimits){.tokens_s = 1000});
    uint32_t retry = 0;
    assert_true(Limits_Admit(table, 0, 5000, US_PER_S, &retry));
    assert_false(Limits_Admit(table, 0, 10, 2 * US_PER_S, &retry));
    assert_in_range(retry, 2900, 3100);
    assert_true(Limits_Admit(table, 0, 10, 6 * US_PER_S, &retry));
    Limits_Free(table);
}

static void
limits_concurrent_requests(void **state)
{
    LimitTable *table = new_table(&(AccountLimits){.concurrent = 2});
    uint32_t retry;
    assert_true(Limits_Admit(table, 0, 1, US_PER_S, &retry));
    assert_true(Limits_Admit(table, 0, 1, US_PER_S, &retry));
    assert_false(Limits_Admit(table, 0, 1, US_PER_S, &retry));
    assert_true(Limits_Admit(table, 1, 1, US_PER_S, &retry));
    Limits_Release(table, 0, 1, 1, US_PER_S);
    assert_true(Limits_Admit(table, 0, 1, US_PER_S, &retry));
    Limits_Free(table);
}

static void
measures_demand_with_refusals(void **state)
{
    LimitTable *table = new_table(&(AccountLimits){.requests_s = 1});
    count_admitted(table, 100);
    double demand = Limits_Demand(table, 0, 11 * US_PER_S);
    assert_in_range((uint32_t)demand, 70, 100);
    Limits_Free(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_the_rate_and_one_burst),
        cmocka_unit_test(applies_its_share),
        cmocka_unit_test(long_prompt_leaves_a_debt),
        cmocka_unit_test(limits_concurrent_requests),
        cmocka_unit_test(measures_demand_with_refusals),
    };
    return cmocka_run_group_tests_name("limits", tests, NULL, NULL);
}
