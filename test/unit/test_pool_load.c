/** @file
 * Plays competition for a pool of 44 engines at 38 gateways, with and without
 * the view of the pool, and compares what callers get. Guards against late
 * refusals, refusals of requests that an engine would serve, ranks that are
 * served less, and views that stay wrong.
 */
#include "unit.h"

#include <glib.h>
#include <stdlib.h>

#include "pool_play.h"

static void
print_result(const char *what, const PoolResult *r)
{
    print_message(
        "%s: callers %u served %.3f refusals %u after %.0f/%.0f/%.0f ms "
        "wrong %.4f asked %.1f over12 %.3f; known late %u slow %u over12 %u; "
        "returns %u served %.3f; wants %u rounds %u outlook %.1f B; ",
        what, r->callers, (double)r->served / r->callers, r->refusals,
        r->refusal_p10_ms, r->refusal_p50_ms, r->refusal_p90_ms,
        r->refusals > 0 ? (double)r->wrong / r->refusals : 0,
        r->refusals > 0 ? (double)r->refusal_wants / r->refusals : 0,
        r->refusals > 0 ? (double)r->refused_after_12 / r->refusals : 0,
        r->known_late, r->known_late_over, r->known_late_wants_over,
        r->returns,
        r->returns > 0 ? (double)r->returns_served / r->returns : 0, r->wants,
        r->rounds, r->wants > 0 ? (double)r->outlook_bytes / r->wants : 0);
    for (int c = 0; c < POOL_PLAY_CLASSES; c++) {
        print_message("%.3f ",
                      (double)r->classes[c].served / r->classes[c].callers);
    }
    print_message("\n");
}

static void
demand_beyond_capacity(void **state)
{
    static const double loads[] = {0.8, 1.2, 2};
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        PoolCase play = {
            .engines = 44, .load = loads[i], .run_ms = 20000, .seed = g_getenv("SEED") ? atoi(g_getenv("SEED")) : 7};
        PoolResult before;
        PoolResult after;
        PoolPlay_Run(&play, &before);
        play.use_view = true;
        PoolPlay_Run(&play, &after);
        print_message("load %.1f\n", loads[i]);
        print_result("  before", &before);
        print_result("  after ", &after);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(demand_beyond_capacity),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
