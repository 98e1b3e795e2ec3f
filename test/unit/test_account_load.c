/** @file
 * Plays a pool of 44 engines and 38 gateways at which one of 16 accounts asks
 * for 6 times its usual, with and without shares of accounts. Guards against
 * small accounts that lose requests of any rank to the burst of another, ranks
 * that starve, and a loss of served requests.
 */
#include "unit.h"

#include "account_checks.h"

static void
large_account_bursts(void **state)
{
    AccountChecks_PlayBurst(0.85, 0);
}

/* Requests of the lower tier are refused because of the tier order. */
static void
large_account_of_the_higher_tier_bursts(void **state)
{
    AccountChecks_PlayBurst(0.85, 1);
}

static void
small_account_bursts(void **state)
{
    AccountChecks_PlayBurst(0.85, 14);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_account_bursts),
        cmocka_unit_test(large_account_of_the_higher_tier_bursts),
        cmocka_unit_test(small_account_bursts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
