/** @file
 * Tests of placement: cached prefixes, load, regions, shedding, failures and
 * handles.
 */
#include "unit.h"

#include <string.h>

#include "sched/place.h"

#define TARGET 77
#define LOCAL 1
#define REMOTE 2

static PlaceTable *
new_table(void)
{
    return Place_New(&(PlaceConfig){
        .capacity = 64,
        .wants = 3,
        .zone = LOCAL,
        .region = LOCAL,
        .zone_latency = 500,
        .region_latency = 30 * US_PER_MS,
    });
}

static PlaceHandle
add(PlaceTable *table, uint64_t name, uint64_t region)
{
    PlaceHandle handle;
    PlaceEndpoint endpoint = {
        .name = name,
        .zone = region,
        .region = region,
        .target_count = 1,
        .targets = {TARGET},
    };
    assert_int_equal(Place_Add(table, &endpoint, 0, &handle), ERR_OK);
    Place_SetConnected(table, handle, true);
    return handle;
}

static PlaceReport
idle_report(uint64_t sequence)
{
    return (PlaceReport){
        .sequence = sequence,
        .slots = 4,
        .prefill_tokens_s = 1000,
        .decode_tokens_s = 50,
        .lowest_tier = WORK_TIERS - 1,
        .retry_after_ms = 2500,
    };
}

static void
report_idle(PlaceTable *table, PlaceHandle handle)
{
    PlaceReport report = idle_report(1);
    Place_OnReport(table, handle, &report, 0);
}

static WorkSpec
new_work(void)
{
    WorkSpec work = {
        .id = {.low = 1},
        .target = TARGET,
        .tier = 1,
        .deadline = 100 * US_PER_S,
        .prompt_tokens = 1024,
        .output_tokens = 100,
        .prefix_count = 8,
    };
    for (uint64_t i = 0; i < 8; i++) {
        work.prefix[i] = 1000 + i;
    }
    return work;
}

static void
prefers_cached_prefix_despite_lost_events(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle handles[6];
    for (uint64_t i = 0; i < 6; i++) {
        handles[i] = add(table, i + 1, LOCAL);
        report_idle(table, handles[i]);
    }
    WorkSpec work = new_work();
    PlaceChoice pick;
    /* Only the cache event of the last block arrives. */
    for (int i = 0; i < 6; i++) {
        Place_ResetCache(table, handles[(i + 5) % 6]);
        Place_UpdateCache(table, handles[i], &work.prefix[7], 1, true);
        assert_true(Place_Pick(table, &work, i * US_PER_S, &pick));
        assert_int_equal(pick.count, 1);
        assert_int_equal(pick.endpoints[0].index, handles[i].index);
    }
    Place_Free(table);
}

static void
prefers_its_own_region(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle far = add(table, 1, REMOTE);
    PlaceHandle near = add(table, 2, LOCAL);
    report_idle(table, far);
    /* A short wait does not justify sending the request to another region. */
    PlaceReport report = idle_report(1);
    report.running = 4;
    Place_OnReport(table, near, &report, 0);
    WorkSpec work = new_work();
    PlaceChoice pick;
    assert_true(Place_Pick(table, &work, 0, &pick));
    assert_int_equal(pick.endpoints[0].index, near.index);
    Place_SetConnected(table, near, false);
    assert_true(Place_Pick(table, &work, 0, &pick));
    assert_int_equal(pick.endpoints[0].index, far.index);
    Place_Free(table);
}

static void
ignores_queued_lower_tiers(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle low = add(table, 1, LOCAL);
    PlaceHandle high = add(table, 2, LOCAL);
    PlaceReport report = idle_report(1);
    report.running = 4;
    report.queued = 20;
    report.queued_by_tier[3] = 20;
    Place_OnReport(table, low, &report, 0);
    report.queued_by_tier[3] = 0;
    report.queued_by_tier[0] = 20;
    Place_OnReport(table, high, &report, 0);
    WorkSpec work = new_work();
    PlaceChoice pick;
    assert_true(Place_Pick(table, &work, 0, &pick));
    assert_int_equal(pick.endpoints[0].index, low.index);
    Place_Free(table);
}

static void
refuses_at_once(void **state)
{
    PlaceTable *table = new_table();
    WorkSpec work = new_work();
    PlaceChoice pick;
    assert_false(Place_Pick(table, &work, 0, &pick));
    assert_false(pick.target_exists);
    PlaceHandle handle = add(table, 1, LOCAL);
    PlaceReport report = idle_report(1);
    report.lowest_tier = 0;
    Place_OnReport(table, handle, &report, 0);
    assert_false(Place_Pick(table, &work, 0, &pick));
    assert_int_equal(pick.reason, REFUSE_SHED);
    assert_int_equal(pick.retry_after_ms, 2500);
    report = idle_report(2);
    Place_OnReport(table, handle, &report, 0);
    work.deadline = US_PER_S; /* the run takes 3 s on an idle endpoint */
    assert_false(Place_Pick(table, &work, 0, &pick));
    assert_int_equal(pick.reason, REFUSE_DEADLINE);
    Place_Free(table);
}

static void
excludes_endpoints_that_refused(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle handles[2] = {add(table, 1, LOCAL), add(table, 2, LOCAL)};
    WorkSpec work = new_work();
    PlaceChoice pick;
    assert_true(Place_PickAgain(table, &work, 0, handles, 1, &pick));
    assert_int_equal(pick.count, 1);
    assert_int_equal(pick.endpoints[0].index, handles[1].index);
    assert_false(Place_PickAgain(table, &work, 0, handles, 2, &pick));
    Place_Free(table);
}

static void
avoids_and_probes_a_failing_endpoint(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle failing = add(table, 1, LOCAL);
    PlaceHandle healthy = add(table, 2, LOCAL);
    report_idle(table, failing);
    report_idle(table, healthy);
    WorkSpec work = new_work();
    PlaceChoice pick;
    for (int i = 0; i < 4; i++) {
        Place_OnDispatched(table, failing, &work, 0);
        Place_OnFinished(table, failing, &work, &(PlaceResult){.ended_at = 1},
                         1);
    }
    assert_true(Place_Pick(table, &work, 2, &pick));
    assert_int_equal(pick.count, 1);
    assert_int_equal(pick.endpoints[0].index, healthy.index);
    assert_true(Place_Pick(table, &work, 6 * US_PER_S, &pick));
    assert_int_equal(pick.count, 2);
    assert_int_equal(pick.endpoints[1].index, failing.index);
    Place_Free(table);
}

static void
handle_of_removed_endpoint_is_ignored(void **state)
{
    PlaceTable *table = new_table();
    PlaceHandle first = add(table, 1, LOCAL);
    Place_Remove(table, first);
    PlaceHandle second = add(table, 2, LOCAL);
    assert_int_equal(first.index, second.index);
    Place_SetConnected(table, first, true);
    Place_SetConnected(table, second, false);
    Place_SetConnected(table, first, true);
    WorkSpec work = new_work();
    PlaceChoice pick;
    assert_false(Place_Pick(table, &work, 0, &pick));
    assert_true(pick.target_exists);
    uint64_t other = TARGET + 1;
    Place_SetTargets(table, second, &other, 1);
    assert_false(Place_Pick(table, &work, 0, &pick));
    assert_false(pick.target_exists);
    Place_Free(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(prefers_cached_prefix_despite_lost_events),
        cmocka_unit_test(prefers_its_own_region),
        cmocka_unit_test(ignores_queued_lower_tiers),
        cmocka_unit_test(refuses_at_once),
        cmocka_unit_test(excludes_endpoints_that_refused),
        cmocka_unit_test(avoids_and_probes_a_failing_endpoint),
        cmocka_unit_test(handle_of_removed_endpoint_is_ignored),
    };
    return cmocka_run_group_tests_name("place", tests, NULL, NULL);
}
