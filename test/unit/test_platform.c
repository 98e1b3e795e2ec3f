/** @file
 * Platform adapter: configuration documents, heartbeats and settings.
 */
#include "unit.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "platform/announce.h"
#include "platform/config.h"
#include "platform/settings.h"

#define SERVICES                                                              \
    "\"services\":[{\"name\":\"s\",\"maxConnections\":9,"                     \
    "\"engine\":{\"slots\":5,\"kvCapacity\":100}},{\"name\":\"t\"}]"
#define ROUTE(more)                                                           \
    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","                  \
    "\"kind\":\"streaming\",\"timeoutMs\":4000,\"priority\":1," more "}"
#define DOCUMENT(version, routes, more)                                       \
    "{\"version\":" version ",\"routeTable\":[" routes "]," SERVICES more "}"
#define SPLIT(a, b)                                                           \
    "\"trafficSplit\":[{\"service\":\"s\",\"weight\":" a                      \
    "},{\"service\":\"t\",\"weight\":" b "}]"

static RouteTable *
decode(const char *text, Error *err)
{
    RouteTable *table = NULL;
    *err = ERROR_INIT;
    int result = PlatformConfig_Codec.decode(text, strlen(text), &table, err);
    assert_true((result == ERR_OK) == (table != NULL));
    assert_int_equal(err->code, result);
    return table;
}

/* Guards against a health path that would break the request line. */
static void
health_paths_are_read(void **state)
{
    static const struct {
        const char *json;
        const char *path;
    } cases[] = {
        {"\"/healthz?x=1\"", "/healthz?x=1"},
        {"\"\"", NULL},
        {"\"healthz\"", NULL},
        {"\"/a b\"", NULL},
        {"\"/a\\r\\nB: c\"", NULL},
        {"7", NULL},
        {"null", NULL},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Error err;
        char *text = g_strdup_printf(
            "{\"version\":1,\"routeTable\":[" ROUTE(
                "\"service\":\"t\"") "],\"services\":[{\"name\":\"t\","
                                     "\"healthPath\":%s}]}",
            cases[i].json);
        RouteTable *table = decode(text, &err);
        assert_non_null(table);
        const char *path = RouteTable_Service(table, "t")->health_path;
        assert_int_equal(g_strcmp0(path, cases[i].path), 0);
        RouteTable_Unref(table);
        g_free(text);
    }
}

static void
documents_are_decoded_to_route_tables(void **state)
{
    Error err;
    RouteTable *table =
        decode(DOCUMENT("7", ROUTE(SPLIT("90", "10") ",\"resumable\":true"),
                        ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],"
                        "\"priority\":1,\"unit\":\"token\",\"ratePerS\":10.5,"
                        "\"burst\":20}]"),
               &err);
    assert_non_null(table);
    assert_int_equal(RouteTable_Version(table), 7);
    const Route *route = RouteTable_Match(table, "h", "/p/x");
    assert_int_equal(route->kind, ROUTE_STREAM);
    assert_int_equal(route->timeout_ms, 4000);
    assert_true(route->resumable);
    assert_false(route->is_public);
    assert_int_equal(route->splits->len, 2);
    const RouteAccount *account = RouteTable_Account(table, "k");
    assert_true(account->counts_tokens && account->has_tier);
    assert_int_equal(account->tier, 1);
    assert_true(RouteTable_Service(table, "s")->is_engine);
    assert_false(RouteTable_Service(table, "t")->is_engine);
    RouteTable_Unref(table);
}

/* Guards against a document with an empty list of accounts that opens all
 * routes, as one without the list does. */
static void
only_a_document_without_accounts_needs_no_keys(void **state)
{
    static const struct {
        const char *text;
        bool requires_keys;
    } cases[] = {
        {DOCUMENT("7", ROUTE("\"service\":\"s\""), ""), false},
        {DOCUMENT("7", ROUTE("\"service\":\"s\""), ",\"tenants\":[]"), true},
        {DOCUMENT("7", ROUTE("\"service\":\"s\""),
                  ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[]}]"),
         true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Error err;
        RouteTable *table = decode(cases[i].text, &err);
        assert_non_null(table);
        assert_int_equal(RouteTable_RequiresKeys(table),
                         cases[i].requires_keys);
        RouteTable_Unref(table);
    }
    Error err;
    assert_null(decode(
        DOCUMENT("7", ROUTE("\"service\":\"s\""), ",\"tenants\":null"), &err));
}

static void
invalid_documents_are_refused(void **state)
{
    static const char *const invalid[] = {
        "",
        "{\"version\":7",
        DOCUMENT("0", ROUTE("\"service\":\"s\""), ""),
        DOCUMENT("\"7\"", ROUTE("\"service\":\"s\""), ""),
        DOCUMENT("7", ROUTE("\"service\":\"none\""), ""),
        DOCUMENT("7", ROUTE(SPLIT("0", "0")), ""),
        DOCUMENT("7", ROUTE("\"service\":5"), ""),
        DOCUMENT("7", ROUTE("\"service\":\"s\",\"timeoutMs\":0"), ""),
        DOCUMENT("7",
                 ROUTE("\"service\":\"s\"") "," ROUTE("\"service\":\"t\""),
                 ""),
        "{\"version\":7," SERVICES "}",
    };
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        Error err;
        assert_null(decode(invalid[i], &err));
        assert_true(err.text[0] != '\0');
    }
}

static int
decode_heartbeat(const char *text, EndpointRecord *out)
{
    static json_t *body;
    json_decref(body);
    body = json_loads(text, 0, NULL);
    Error err = ERROR_INIT;
    return Announce_DecodeHeartbeat("i", body, out, &err);
}

static void
heartbeats_are_decoded_to_records(void **state)
{
    EndpointRecord out;
    assert_int_equal(
        decode_heartbeat("{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
                         "\"zone\":\"z\",\"slots\":5,\"state\":\"draining\","
                         "\"coldRemainingMs\":0,\"sequence\":4,\"born\":99}",
                         &out),
        ERR_OK);
    assert_int_equal(out.state, ENDPOINT_DRAINING);
    assert_int_equal(out.born, 99);
    assert_int_equal(out.sequence, 4);
    assert_int_equal(decode_heartbeat("{}", &out), ERR_INVALID);
    assert_int_equal(decode_heartbeat("[1]", &out), ERR_INVALID);
    assert_int_equal(
        decode_heartbeat(
            "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
            "\"slots\":5,\"state\":\"ready\",\"sequence\":4}",
            &out),
        ERR_INVALID);
    assert_int_equal(
        decode_heartbeat("{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
                         "\"zone\":\"z\",\"slots\":5,\"state\":\"asleep\","
                         "\"sequence\":4}",
                         &out),
        ERR_INVALID);
}

/* Decodes a heartbeat with more members before the usual ones.
 * @return its software version; NULL if the heartbeat is rejected. */
static const char *
decode_software(const char *members)
{
    EndpointRecord out;
    char *text = g_strdup_printf(
        "{%s\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"slots\":5,\"state\":\"ready\",\"sequence\":4}",
        members);
    int result = decode_heartbeat(text, &out);
    g_free(text);
    return result == ERR_OK ? out.software : NULL;
}

static void
software_that_is_not_named_is_unknown(void **state)
{
    char *longest = g_strnfill(ENDPOINT_SOFTWARE_MAX, 'v');
    char *fits = g_strdup_printf("\"version\":\"%s\",", longest);
    char *too_long = g_strdup_printf("\"version\":\"%sv\",", longest);
    assert_string_equal(decode_software("\"version\":\"v1.2\","), "v1.2");
    assert_string_equal(decode_software(fits), longest);
    assert_string_equal(decode_software(too_long), "");
    assert_string_equal(decode_software("\"version\":\"\","), "");
    assert_string_equal(decode_software("\"version\":null,"), "");
    assert_string_equal(decode_software(""), "");
    assert_null(decode_software("\"version\":1.2,"));
    assert_null(decode_software("\"version\":[\"v1\"],"));
    g_free(longest);
    g_free(fits);
    g_free(too_long);
}

static PlatformSettings *
load(const char *text, Error *err)
{
    char path[] = "/tmp/ll-settings-XXXXXX";
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (int)strlen(text));
    close(fd);
    *err = ERROR_INIT;
    PlatformSettings *settings = PlatformSettings_Load(path, err);
    unlink(path);
    return settings;
}

#define SETTINGS(more)                                                        \
    "{\"nodeId\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"10.0.0.1\","  \
    "\"zones\":{\"z\":\"r\",\"y\":\"q\"},\"internalPortRange\":[7600,7615],"  \
    "\"seedNodes\":[\"10.0.0.1:8229\",\"10.0.0.2:8229\"],"                    \
    "\"bounds\":{\"strictRevocation\":true,\"revokeMs\":5000,\"graceS\":"     \
    "8}" more "}"

static void
settings_are_read_into_options(void **state)
{
    Error err;
    PlatformSettings *settings =
        load(SETTINGS(",\"dataDir\":\"/d\",\"bootstrap\":true,"
                      "\"listenAddrs\":{\"controlPlane\":\"10.0.0.1:8229\"},"
                      "\"newField\":[1]"),
             &err);
    assert_non_null(settings);
    assert_int_equal(settings->fleet.control_hosts_count, 2);
    assert_string_equal(settings->hosts[1].address, "10.0.0.2:7600");
    assert_int_equal(settings->control.id, 0x0a000001);
    assert_true(settings->control.bootstrap);
    assert_int_equal(settings->gateway.keeper_port, 7601);
    assert_int_equal(settings->gateway.bounds.key_revocation_ms, 5000);
    assert_false(settings->gateway.bounds.fair_accounts);
    assert_string_equal(
        settings->gateway.region_of(settings->gateway.region_arg, "y"), "q");
    PlatformSettings_Free(settings);
}

/* Deployments that do not name it keep their order of requests. */
static void
fair_accounts_are_read(void **state)
{
    Error err;
    PlatformSettings *settings =
        load(SETTINGS(",\"fairAccounts\":true"), &err);
    assert_non_null(settings);
    assert_true(settings->gateway.bounds.fair_accounts);
    PlatformSettings_Free(settings);
    assert_null(load(SETTINGS(",\"fairAccounts\":3"), &err));
}

/* Guards against costs of traffic that apply where none are set, and against
 * costs that cannot be meant. */
static void
zone_costs_are_read(void **state)
{
    Error err;
    PlatformSettings *settings = load(SETTINGS(""), &err);
    assert_false(settings->gateway.zone_transfer.enabled);
    assert_int_equal(settings->gateway.regions, 2);
    PlatformSettings_Free(settings);
    settings = load(SETTINGS(",\"zone_transfer\":{\"zoneMsPerMb\":50,"
                             "\"regionMsPerMb\":400.5,"
                             "\"regionMbitPerS\":60}"),
                    &err);
    const ZoneTransfer *costs = &settings->gateway.zone_transfer;
    assert_true(costs->enabled);
    assert_float_equal(costs->zone_ms_per_mb, 50, 0);
    assert_float_equal(costs->region_ms_per_mb, 400.5, 0);
    assert_float_equal(costs->region_mbit_s, 60, 0);
    PlatformSettings_Free(settings);
    assert_null(load(SETTINGS(",\"zone_transfer\":7"), &err));
    assert_null(
        load(SETTINGS(",\"zone_transfer\":{\"zoneMsPerMb\":-1}"), &err));
    assert_null(load(
        SETTINGS(",\"zone_transfer\":{\"regionMbitPerS\":\"60\"}"), &err));
}

/* A control host that is not a seed never bootstraps a cluster. */
static void
only_seeds_bootstrap(void **state)
{
    Error err;
    PlatformSettings *settings =
        load(SETTINGS(",\"dataDir\":\"/d\",\"bootstrap\":true,"
                      "\"listenAddrs\":{\"controlPlane\":\"10.0.0.7:8229\"}"),
             &err);
    assert_non_null(settings);
    assert_false(settings->control.bootstrap);
    assert_int_equal(settings->fleet.control_hosts_count, 3);
    PlatformSettings_Free(settings);
}

static void
invalid_settings_are_reported(void **state)
{
    Error err;
    assert_null(load("{\"zone\":\"z\"}", &err));
    assert_non_null(strstr(err.text, "nodeId"));
    assert_null(load("not json", &err));
    assert_null(load(SETTINGS(",\"listenAddrs\":{\"controlPlane\":"
                              "\"10.0.0.1:8229\"}"),
                     &err));
    assert_non_null(strstr(err.text, "dataDir"));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(documents_are_decoded_to_route_tables),
        cmocka_unit_test(health_paths_are_read),
        cmocka_unit_test(only_a_document_without_accounts_needs_no_keys),
        cmocka_unit_test(invalid_documents_are_refused),
        cmocka_unit_test(heartbeats_are_decoded_to_records),
        cmocka_unit_test(software_that_is_not_named_is_unknown),
        cmocka_unit_test(settings_are_read_into_options),
        cmocka_unit_test(fair_accounts_are_read),
        cmocka_unit_test(zone_costs_are_read),
        cmocka_unit_test(only_seeds_bootstrap),
        cmocka_unit_test(invalid_settings_are_reported),
    };
    return cmocka_run_group_tests_name("platform", tests, NULL, NULL);
}
