/** @file
 * Tests of the route table (lookups, checks) and of the directory (records in
 * any order of arrival).
 */
#include "unit.h"

#include <string.h>

#include "routes/endpoint.h"
#include "routes/route_history.h"
#include "routes/table.h"

static void
add_route(RouteTable *table, const char *host, const char *prefix,
          const char *service, uint32_t weight)
{
    Route route = {
        .name = prefix,
        .host = host,
        .prefix = prefix,
        .timeout_ms = 1000,
        .splits = g_array_new(FALSE, FALSE, sizeof(RouteSplit)),
    };
    RouteSplit split = {.service = service, .weight = weight};
    g_array_append_val(route.splits, split);
    RouteTable_AddRoute(table, &route);
}

static RouteTable *
new_table(void)
{
    RouteTable *table = RouteTable_New(3);
    RouteTable_AddService(table, &(RouteService){.name = "one"});
    RouteTable_AddService(table, &(RouteService){.name = "two"});
    add_route(table, "host.example", "/a/", "one", 1);
    add_route(table, "host.example", "/a/b/", "two", 1);
    return table;
}

static void
add_account(RouteTable *table, const char *name, const char *key)
{
    RouteAccount account = {.name = name, .keys = g_ptr_array_new()};
    g_ptr_array_add(account.keys, (gpointer)key);
    RouteTable_AddAccount(table, &account);
}

/* Applies a table with a route for "/a/", to one service or, if @p second is
 * not NULL, to two, and with one for "/a/b/" if @p nested. */
static void
apply_routes(RouteHistory *history, const char *service, const char *second,
             bool nested, TimeUs now)
{
    RouteTable *table = RouteTable_New(3);
    Route route = {
        .host = "host.example",
        .prefix = "/a/",
        .splits = g_array_new(FALSE, FALSE, sizeof(RouteSplit)),
    };
    RouteSplit split = {.service = service, .weight = 1};
    g_array_append_val(route.splits, split);
    split = (RouteSplit){.service = second, .weight = second != NULL};
    g_array_append_val(route.splits, split);
    RouteTable_AddRoute(table, &route);
    if (nested) {
        add_route(table, "host.example", "/a/b/", "two", 1);
    }
    RouteHistory_Apply(history, table, now);
    RouteTable_Unref(table);
}

static void
route_history_knows_since_when_a_route_has_one_service(void **state)
{
    Route route = {.host = "host.example", .prefix = "/a/"};
    Route nested = {.host = "host.example", .prefix = "/a/b/"};
    RouteHistory *history = RouteHistory_New();
    assert_int_equal(RouteHistory_SoleSince(history, &route), TIME_NEVER);
    apply_routes(history, "one", NULL, false, 1);
    apply_routes(history, "one", NULL, false, 2);
    assert_int_equal(RouteHistory_SoleSince(history, &route), 1);
    apply_routes(history, "one", "two", false, 3);
    assert_int_equal(RouteHistory_SoleSince(history, &route), TIME_NEVER);
    apply_routes(history, "one", NULL, false, 4);
    apply_routes(history, "two", NULL, false, 5);
    assert_int_equal(RouteHistory_SoleSince(history, &route), 5);
    apply_routes(history, "two", NULL, true, 6);
    assert_int_equal(RouteHistory_SoleSince(history, &route), 5);
    assert_int_equal(RouteHistory_SoleSince(history, &nested), 6);
    /* The requests of the removed route match the other one now. */
    apply_routes(history, "two", NULL, false, 7);
    assert_int_equal(RouteHistory_SoleSince(history, &route), 7);
    RouteHistory_Free(history);
}

static void
longest_prefix_of_the_host_wins(void **state)
{
    RouteTable *table = new_table();
    Error err = ERROR_INIT;
    assert_int_equal(RouteTable_Finish(table, &err), ERR_OK);
    const Route *route = RouteTable_Match(table, "HOST.example:80", "/a/b/c");
    assert_string_equal(route->prefix, "/a/b/");
    route = RouteTable_Match(table, "host.example", "/a/x");
    assert_string_equal(route->prefix, "/a/");
    assert_null(RouteTable_Match(table, "host.example", "/a"));
    assert_null(RouteTable_Match(table, "other.example", "/a/x"));
    RouteTable_Unref(table);
}

static void
invalid_tables_are_rejected(void **state)
{
    Error err = ERROR_INIT;
    RouteTable *table = new_table();
    add_route(table, "host.example", "/c/", "three", 1);
    assert_int_equal(RouteTable_Finish(table, &err), ERR_INVALID);
    assert_non_null(strstr(err.text, "three"));
    RouteTable_Unref(table);
    table = new_table();
    add_route(table, "Host.example", "/a/", "two", 1);
    assert_int_equal(RouteTable_Finish(table, &err), ERR_INVALID);
    RouteTable_Unref(table);
    table = new_table();
    add_route(table, "host.example", "/c/", "two", 0);
    assert_int_equal(RouteTable_Finish(table, &err), ERR_INVALID);
    RouteTable_Unref(table);
    table = new_table();
    add_account(table, "first", "key");
    add_account(table, "second", "key");
    assert_int_equal(RouteTable_Finish(table, &err), ERR_INVALID);
    assert_non_null(strstr(err.text, "share a key"));
    RouteTable_Unref(table);
}

static void
requests_are_split_by_weight(void **state)
{
    Route route = {.splits = g_array_new(FALSE, FALSE, sizeof(RouteSplit))};
    RouteSplit splits[] = {
        {.service = "one", .weight = 90},
        {.service = "two", .weight = 10},
        {.service = "none", .weight = 0},
    };
    g_array_append_vals(route.splits, splits, 3);
    unsigned second_count = 0;
    for (unsigned i = 0; i < 2000; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "%08x", i);
        const char *service = Route_PickService(&route, id);
        assert_string_equal(service, Route_PickService(&route, id));
        assert_string_not_equal(service, "none");
        second_count += strcmp(service, "two") == 0 ? 1 : 0;
    }
    assert_in_range(second_count, 140, 260);
    assert_false(Route_HasService(&route, "none"));
    g_array_unref(route.splits);
}

static EndpointRecord
make_record(const char *id, EndpointState endpoint_state, uint64_t born,
            uint64_t sequence)
{
    return (EndpointRecord){
        .id = id,
        .service = "one",
        .address = "10.0.0.1:80",
        .zone = "z",
        .state = endpoint_state,
        .born = born,
        .sequence = sequence,
        .slots = 4,
    };
}

static void
outdated_record_changes_nothing(void **state)
{
    Directory *directory = Directory_New();
    EndpointRecord ready = make_record("i", ENDPOINT_READY, 100, 2);
    EndpointRecord draining = make_record("i", ENDPOINT_DRAINING, 100, 3);
    assert_true(Directory_Update(directory, &ready, NULL));
    assert_true(Directory_Update(directory, &draining, NULL));
    assert_false(Directory_Update(directory, &ready, NULL));
    assert_int_equal(Directory_Find(directory, "i")->state, ENDPOINT_DRAINING);
    EndpointRecord gone = {.id = "i", .state = ENDPOINT_GONE};
    assert_true(Directory_Update(directory, &gone, NULL));
    EndpointRecord again = make_record("i", ENDPOINT_READY, 100, 9);
    assert_false(Directory_Update(directory, &again, NULL));
    Directory_Free(directory);
}

static void
new_start_resets_sequence(void **state)
{
    Directory *directory = Directory_New();
    EndpointRecord first = make_record("i", ENDPOINT_READY, 100, 50);
    EndpointRecord second = make_record("i", ENDPOINT_READY, 200, 1);
    assert_true(Directory_Update(directory, &first, NULL));
    assert_true(Directory_Update(directory, &second, NULL));
    EndpointRecord late = make_record("i", ENDPOINT_DRAINING, 100, 51);
    assert_false(Directory_Update(directory, &late, NULL));
    assert_int_equal(Directory_Find(directory, "i")->state, ENDPOINT_READY);
    Directory_Free(directory);
}

/* Guards against an announcement for a service that the configuration does not
 * name, which must not replace an endpoint of one that it names; once it is
 * named, the address passes to the endpoint that started last. */
static void
unnamed_service_replaces_no_endpoint(void **state)
{
    Directory *directory = Directory_New();
    GPtrArray *superseded = g_ptr_array_new();
    RouteTable *table = new_table();
    Error err;
    assert_int_equal(RouteTable_Finish(table, &err), ERR_OK);
    Directory_SetTable(directory, table, superseded);
    EndpointRecord sound = make_record("sound", ENDPOINT_READY, 100, 1);
    EndpointRecord other = make_record("other", ENDPOINT_READY, 200, 1);
    EndpointRecord same_id = make_record("sound", ENDPOINT_READY, 200, 1);
    sound.service = "one";
    other.service = "three";
    same_id.service = "three";
    assert_true(Directory_Update(directory, &sound, superseded));
    Directory_Update(directory, &other, superseded);
    assert_false(Directory_Update(directory, &same_id, superseded));
    assert_int_equal(superseded->len, 0);
    assert_int_equal(Directory_Find(directory, "sound")->state,
                     ENDPOINT_READY);
    RouteTable_Unref(table);
    table = new_table();
    RouteTable_AddService(table, &(RouteService){.name = "three"});
    assert_int_equal(RouteTable_Finish(table, &err), ERR_OK);
    Directory_SetTable(directory, table, superseded);
    assert_int_equal(superseded->len, 1);
    assert_string_equal(superseded->pdata[0], "sound");
    assert_int_equal(Directory_Find(directory, "sound")->state, ENDPOINT_GONE);
    RouteTable_Unref(table);
    g_ptr_array_unref(superseded);
    Directory_Free(directory);
}

/* Guards against a late record of a replaced endpoint, which must not take the
 * address back from the endpoint that started later. */
static void
last_started_endpoint_keeps_address(void **state)
{
    Directory *directory = Directory_New();
    GPtrArray *superseded = g_ptr_array_new();
    EndpointRecord old = make_record("old", ENDPOINT_READY, 100, 7);
    EndpointRecord fresh = make_record("new", ENDPOINT_READY, 200, 1);
    assert_true(Directory_Update(directory, &fresh, superseded));
    Directory_Update(directory, &old, superseded);
    assert_int_equal(superseded->len, 1);
    assert_string_equal(superseded->pdata[0], "old");
    assert_int_equal(Directory_Find(directory, "old")->state, ENDPOINT_GONE);
    assert_int_equal(Directory_Find(directory, "new")->state, ENDPOINT_READY);
    g_ptr_array_unref(superseded);
    Directory_Free(directory);
}

static void
software_of_another_start_is_not_kept(void **state)
{
    EndpointRecord first = {.id = "i",
                            .address = "a",
                            .software = "v1",
                            .state = ENDPOINT_READY,
                            .born = 1,
                            .sequence = 5};
    EndpointRecord silent = first;
    EndpointRecord restarted = first;
    EndpointRecord named = first;
    silent.software = NULL;
    silent.sequence = 6;
    restarted.software = NULL;
    restarted.born = 2;
    named.software = "v2";
    named.born = 2;
    named.sequence = 6;
    Directory *directory = Directory_New();
    assert_true(Directory_Update(directory, &first, NULL));
    assert_false(Directory_Update(directory, &silent, NULL));
    assert_string_equal(Directory_Find(directory, "i")->software, "v1");
    assert_true(Directory_Update(directory, &restarted, NULL));
    assert_string_equal(Directory_Find(directory, "i")->software, "");
    assert_true(Directory_Update(directory, &named, NULL));
    assert_string_equal(Directory_Find(directory, "i")->software, "v2");
    Directory_Free(directory);
}

static void
endpoint_that_left_is_ready_only_after_a_later_start(void **state)
{
    EndpointRecord ready = {
        .id = "i",
        .address = "a",
        .state = ENDPOINT_READY,
        .born = 1,
        .sequence = 1,
    };
    EndpointRecord told = ready;
    EndpointRecord later = ready;
    EndpointRecord restarted = ready;
    told.leaving = true;
    later.sequence = 9;
    restarted.born = 2;
    Directory *directory = Directory_New();
    Directory *other = Directory_New();
    Directory_Update(directory, &ready, NULL);
    Directory_Update(other, &ready, NULL);
    assert_false(Directory_SetLeaving(directory, "i", 2));
    assert_false(Directory_SetLeaving(directory, "unknown", 1));
    assert_true(Directory_SetLeaving(directory, "i", 1));
    assert_false(Directory_SetLeaving(directory, "i", 1));
    Directory_Update(directory, &later, NULL);
    assert_int_equal(Directory_Find(directory, "i")->state, ENDPOINT_DRAINING);
    assert_true(Directory_Update(other, &told, NULL));
    assert_false(Directory_Update(other, &told, NULL));
    assert_int_equal(Directory_Find(other, "i")->state, ENDPOINT_DRAINING);
    assert_true(Directory_Update(directory, &restarted, NULL));
    assert_int_equal(Directory_Find(directory, "i")->state, ENDPOINT_READY);
    assert_false(Directory_Find(directory, "i")->leaving);
    Directory_Free(directory);
    Directory_Free(other);
}

/* Guards against a version that is taken for certain though it comes from a
 * file: the record counts as changed once the endpoint has announced itself.
 */
static void
stored_record_is_confirmed_by_an_announcement(void **state)
{
    EndpointRecord stored = make_record("i", ENDPOINT_READY, 100, 5);
    EndpointRecord heard = make_record("i", ENDPOINT_READY, 100, 6);
    stored.stored = true;
    Directory *directory = Directory_New();
    assert_true(Directory_Update(directory, &stored, NULL));
    assert_true(Directory_Find(directory, "i")->stored);
    assert_true(Directory_Update(directory, &heard, NULL));
    assert_false(Directory_Find(directory, "i")->stored);
    assert_false(Directory_Update(directory, &stored, NULL));
    assert_false(Directory_Find(directory, "i")->stored);
    Directory_Free(directory);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            route_history_knows_since_when_a_route_has_one_service),
        cmocka_unit_test(longest_prefix_of_the_host_wins),
        cmocka_unit_test(invalid_tables_are_rejected),
        cmocka_unit_test(requests_are_split_by_weight),
        cmocka_unit_test(outdated_record_changes_nothing),
        cmocka_unit_test(new_start_resets_sequence),
        cmocka_unit_test(unnamed_service_replaces_no_endpoint),
        cmocka_unit_test(last_started_endpoint_keeps_address),
        cmocka_unit_test(software_of_another_start_is_not_kept),
        cmocka_unit_test(stored_record_is_confirmed_by_an_announcement),
        cmocka_unit_test(endpoint_that_left_is_ready_only_after_a_later_start),
    };
    return cmocka_run_group_tests_name("routes", tests, NULL, NULL);
}
