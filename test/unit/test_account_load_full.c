/** @file
 * Plays a pool whose usual demand exceeds its capacity, at which one of 16
 * accounts asks for 6 times its usual, with and without shares of accounts.
 * Guards against the same failures as test_account_load.c.
 */
#include "unit.h"

#include "account_checks.h"

static void
large_account_bursts_in_a_full_pool(void **state)
{
    AccountChecks_PlayBurst(1.1, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_account_bursts_in_a_full_pool),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
