/** @file
 * Plays competition for a pool of engines whose refused callers come back to
 * other gateways, with and without bookings. Guards against promises to
 * callers that are not kept, and against bookings that cost other ranks.
 */
#include "unit.h"

#include <glib.h>

#include "pool_report.h"

#define ENGINES 44
/* As in test_pool_load.c. */
#define WRONG_MAX 0.01
#define SERVED_NOISE 0.015

static void
print_bookings(const char *what, const PoolResult *r)
{
    PoolReport_Print(what, r);
    print_message("    booked %u, beyond the limit %u, came back %u, served "
                  "%.3f; claimed %u, of these refused %u\n",
                  r->booked, r->not_booked, r->booked_callers,
                  PoolReport_Fraction(r->booked_served, r->booked_callers),
                  r->claimed, r->claimed_refused);
}

static void
callers_that_obey_are_served(void **state)
{
    static const double loads[] = {1.2, 2};
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        PoolCase spec = {
            .engines = ENGINES,
            .load = loads[i],
            .run_ms = 12000,
            .sizes = true,
        };
        PoolResult without = PoolReport_PlaySeeds(&spec, true);
        spec.bookings = true;
        PoolResult with = PoolReport_PlaySeeds(&spec, true);
        print_message("load %.1f, callers come back to other gateways\n",
                      loads[i]);
        print_bookings("without bookings", &without);
        print_bookings("with bookings   ", &with);
        for (int c = 0; c < POOL_PLAY_CLASSES; c++) {
            assert_true(PoolReport_Fraction(with.classes[c].served,
                                            with.classes[c].callers) >=
                        PoolReport_Fraction(without.classes[c].served,
                                            without.classes[c].callers) -
                            SERVED_NOISE);
        }
        assert_true(PoolReport_Fraction(with.wrong, with.refusals) <=
                    WRONG_MAX);
        assert_true(PoolReport_Fraction(with.booked_served,
                                        with.booked_callers) >= 0.9);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(callers_that_obey_are_served),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
