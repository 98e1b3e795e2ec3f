/** @file
 * Gateway: the only version of a service, and since when it has been the only
 * one. An engine whose start is uncertain may run a version that it has not
 * announced, so that the time does not count before the doubt ends.
 */
#include <string.h>

#include "gateway/sole_versions.h"
#include "gateway/state.h"
#include "routes/route_history.h"

/* Time for which a service must have had one version only, with all control
 * hosts connected, so that each stream began at that version: the lower bound
 * of it, and a multiple of the route's time-out. */
#define SOLE_MIN_US (60 * US_PER_S)
#define SOLE_TIMEOUTS 3

/* The only version of a service. */
typedef struct SoleVersion {
    char *software; /* "" if there are several, or one is unknown */
    TimeUs since;
} SoleVersion;

struct SoleVersions {
    const Gateway *gateway;
    GHashTable *by_service; /* service name -> SoleVersion */
    RouteHistory *routes;
};

static void
free_version(gpointer data)
{
    SoleVersion *version = data;
    g_free(version->software);
    g_free(version);
}

SoleVersions *
SoleVersions_New(const Gateway *gateway)
{
    SoleVersions *versions = g_new0(SoleVersions, 1);
    versions->gateway = gateway;
    versions->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_version);
    versions->routes = RouteHistory_New();
    return versions;
}

void
SoleVersions_Free(SoleVersions *versions)
{
    g_hash_table_destroy(versions->by_service);
    RouteHistory_Free(versions->routes);
    g_free(versions);
}

void
SoleVersions_OnEndpoints(SoleVersions *versions, const char *service)
{
    const char *software = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, versions->gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (strcmp(endpoint->service, service) != 0) {
            continue;
        }
        if (software != NULL && strcmp(software, endpoint->software) != 0) {
            software = "";
            break;
        }
        software = endpoint->software;
    }
    SoleVersion *version = g_hash_table_lookup(versions->by_service, service);
    if (software == NULL ||
        (version != NULL && strcmp(version->software, software) == 0))
    {
        return;
    }
    version = g_new0(SoleVersion, 1);
    version->software = g_strdup(software);
    version->since = Clock_Now();
    g_hash_table_replace(versions->by_service, g_strdup(service), version);
}

void
SoleVersions_OnLeft(SoleVersions *versions, const Endpoint *endpoint)
{
    SoleVersion *version =
        g_hash_table_lookup(versions->by_service, endpoint->service);
    if (version != NULL && endpoint->ended_at != 0) {
        version->since = Clock_Now();
    }
}

void
SoleVersions_OnTable(SoleVersions *versions, const RouteTable *table)
{
    RouteHistory_Apply(versions->routes, table, Clock_Now());
}

/* Returns when an endpoint of the service was last found to have an uncertain
 * start; 0 if none has one. */
static TimeUs
newest_doubt(const Gateway *gateway, const char *service)
{
    TimeUs newest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (strcmp(endpoint->service, service) == 0) {
            newest = MAX(newest, endpoint->ended_at);
        }
    }
    return newest;
}

const char *
SoleVersions_Find(const SoleVersions *versions, const Call *call,
                  bool of_route)
{
    const Gateway *gateway = versions->gateway;
    const SoleVersion *version =
        g_hash_table_lookup(versions->by_service, call->service);
    if (version == NULL || version->software[0] == '\0') {
        return NULL;
    }
    TimeUs now = Clock_Now();
    TimeUs needed =
        MAX(SOLE_MIN_US, call->route->timeout_ms * US_PER_MS * SOLE_TIMEOUTS);
    /* A caller with more time left may have begun the stream earlier. */
    needed = MAX(needed, call->caller_deadline - now);
    TimeUs since =
        MAX(version->since, GatewayControl_ConnectedSince(gateway->control));
    since = MAX(since, newest_doubt(gateway, call->service));
    if (of_route) {
        since =
            MAX(since, RouteHistory_SoleSince(versions->routes, call->route));
    }
    return now - since >= needed ? version->software : NULL;
}
