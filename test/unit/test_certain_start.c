/** @file
 * Version of an endpoint's software: when it is certain that the start which
 * answers is the one that announced it.
 */
#include "unit.h"

#include "gateway/state.h"

#define BORN 100

/* A gateway without control hosts and keepers, with one endpoint. */
typedef struct Fixture {
    GatewayOptions options;
    Gateway gateway;
    Endpoint *endpoint;
} Fixture;

static void
announce(Fixture *fixture, uint64_t born, const char *software, bool stored)
{
    static uint64_t sequence;
    EndpointRecord record = {
        .id = "one",
        .service = "engines",
        .address = "127.0.0.1:1",
        .zone = "z",
        .software = software,
        .state = ENDPOINT_READY,
        .born = born,
        .sequence = ++sequence,
        .slots = 4,
        .stored = stored,
    };
    Endpoints_Update(&fixture->gateway, &record);
}

static int
set_up(void **state)
{
    static const char *const no_hosts[] = {NULL};
    Fixture *fixture = g_new0(Fixture, 1);
    fixture->options = (GatewayOptions){.name = "test", .hosts = no_hosts};
    Gateway *gateway = &fixture->gateway;
    gateway->options = &fixture->options;
    gateway->base = event_base_new();
    gateway->conns = g_hash_table_new(NULL, NULL);
    gateway->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    gateway->queues = g_hash_table_new(g_str_hash, g_str_equal);
    gateway->directory = Directory_New();
    gateway->control = GatewayControl_New(gateway);
    gateway->suspects = Suspects_New(gateway);
    gateway->keepers = Keepers_New(gateway);
    gateway->origins = Origins_New(gateway);
    announce(fixture, BORN, "v1", false);
    fixture->endpoint = Endpoints_Find(gateway, "one");
    Endpoint_Ref(fixture->endpoint);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *fixture = *state;
    Gateway *gateway = &fixture->gateway;
    Endpoint_Unref(fixture->endpoint);
    GatewayControl_Free(gateway->control);
    Keepers_Free(gateway->keepers);
    Suspects_Free(gateway->suspects);
    Origins_Free(gateway->origins);
    Endpoints_FreeAll(gateway);
    Directory_Free(gateway->directory);
    g_hash_table_destroy(gateway->conns);
    g_hash_table_destroy(gateway->endpoints);
    g_hash_table_destroy(gateway->queues);
    event_base_free(gateway->base);
    g_free(fixture);
    return 0;
}

static void
a_grant_confirms_or_denies_the_start(void **state)
{
    Fixture *fixture = *state;
    Endpoint *endpoint = fixture->endpoint;
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "v1");
    Endpoint_OnStartSeen(endpoint, BORN + 1, false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
    Endpoint_OnStartSeen(endpoint, 0, false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
    Endpoint_OnStartSeen(endpoint, BORN, false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "v1");
    Endpoint_OnStartSeen(endpoint, BORN, true);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
}

/* Guards against a version that is taken from a control host's file for that
 * of a start which nobody has heard of. */
static void
a_stored_record_is_not_certain(void **state)
{
    Fixture *fixture = *state;
    announce(fixture, BORN + 1, "v2", true);
    Endpoint *endpoint = Endpoints_Find(&fixture->gateway, "one");
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
    Endpoint_OnStartSeen(endpoint, BORN + 1, false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "v2");
    announce(fixture, BORN + 2, "v3", true);
    endpoint = Endpoints_Find(&fixture->gateway, "one");
    announce(fixture, BORN + 2, "v3", false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "v3");
}

/* Guards against a joined stream: a grant that was under way when the endpoint
 * ended must not make the version certain again, since the next start may
 * answer already. */
static void
a_grant_under_way_does_not_undo_an_end(void **state)
{
    Fixture *fixture = *state;
    Endpoint *endpoint = fixture->endpoint;
    EndWatch_OnEnded(endpoint, "test");
    Endpoint_OnStartSeen(endpoint, BORN, false);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
}

/* Guards against a joined stream: a request may run in the start after the one
 * that was announced when it was sent, however late its first event comes. */
static void
a_replaced_start_is_never_certain_again(void **state)
{
    Fixture *fixture = *state;
    Endpoint *endpoint = fixture->endpoint;
    announce(fixture, BORN + 1, "v2", false);
    assert_ptr_not_equal(Endpoints_Find(&fixture->gateway, "one"), endpoint);
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
    endpoint->ended_at = Clock_Now() - 3600 * US_PER_S;
    assert_string_equal(Endpoint_CertainSoftware(endpoint), "");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_grant_confirms_or_denies_the_start,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_stored_record_is_not_certain, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_grant_under_way_does_not_undo_an_end,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            a_replaced_start_is_never_certain_again, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
