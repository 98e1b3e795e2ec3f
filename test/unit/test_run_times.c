/** @file
 * Guards against a table of run times that grows with the routes of successive
 * configurations, and against one that is full of routes that are gone.
 */
#include "unit.h"

#include "gateway/run_times.h"
#include "gateway/state.h"

#define RUN_US (60 * US_PER_MS)
#define MANY_ROUTES 1000
/* Runs after which a bound follows the measurements. */
#define ENOUGH_RUNS 110

static void
add_runs(RunTimes *times, Call *call, const char *route_name, unsigned runs)
{
    Route route = {.name = route_name, .kind = ROUTE_IDEMPOTENT};
    call->route = &route;
    for (unsigned i = 0; i < runs; i++) {
        call->sent_at = Clock_Now() - RUN_US;
        RunTimes_Add(times, call);
    }
    call->route = NULL;
}

static TimeUs
bound_of(const RunTimes *times, Call *call, const char *route_name)
{
    Route route = {.name = route_name, .kind = ROUTE_IDEMPOTENT};
    call->route = &route;
    TimeUs bound = RunTimes_Bound(times, call);
    call->route = NULL;
    return bound;
}

static void
a_new_route_is_measured_after_many_others(void **state)
{
    GatewayFields fields = {.last_event = "Last-Event-Id"};
    GatewayOptions options = {.fields = &fields};
    Gateway gateway = {.options = &options};
    Call call = {
        .gateway = &gateway,
        .fields = g_array_new(FALSE, FALSE, sizeof(H1Field)),
        .attempts = 1,
    };
    RunTimes *times = RunTimes_New();
    for (unsigned i = 0; i < MANY_ROUTES; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "r%u", i);
        add_runs(times, &call, name, 2);
    }
    assert_true(RunTimes_Count(times) <= RUN_TIMES_ROUTES_MAX);
    TimeUs unmeasured = bound_of(times, &call, "new");
    add_runs(times, &call, "new", ENOUGH_RUNS);
    assert_true(bound_of(times, &call, "new") < unmeasured);
    assert_true(bound_of(times, &call, "new") >= RUN_US);
    RunTimes_Free(times);
    g_array_unref(call.fields);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_new_route_is_measured_after_many_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
