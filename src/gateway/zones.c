/** @file
 * Gateway: choice of the zone of a request.
 */
#include "gateway/zones.h"

#include <math.h>
#include <string.h>

#include "kernel/counter.h"
#include "kernel/log.h"

/* Cost in milliseconds of a zone that was not chosen, besides that of the
 * transfer: the cost of leaving the zone where the operators set none. For
 * plain services the delay by the chosen zone's load is added, so that
 * requests leave for load by the shares only, but for a server that is slow
 * now. */
#define NOT_CHOSEN_MS 10
/* Noise of a mean run time of plain requests, as a part of it: one run of
 * three times the mean raises the moving mean by a fifth. */
#define RUN_NOISE_PART 0.25
/* Load at which plain requests stay queued or leave whatever the shares. A
 * share begins to grow at about half of it. */
#define PLAIN_LOAD_MAX 4
/* Engines with a higher error rate do not keep a request in their zone. */
#define ERROR_RATE_MAX 0.3
/* Part of the latency objective after which a request that waits for an engine
 * may leave the region whatever the shares. */
#define REGION_WAIT_PART 0.25
/* Assumed bytes of the answer: of a plain one, and of one event of a stream.
 */
#define PLAIN_ANSWER_BYTES 4096
#define EVENT_BYTES 100
#define BYTES_PER_MB 1e6
/* Run time that is assumed while it is unknown, and the weight of the newest
 * request in the mean. */
#define DEFAULT_RUN_MS 60
#define RUN_WEIGHT 0.05

/* Shares of one service. */
typedef struct ServiceZones {
    ZoneChoice *choice;
    double run_ms; /* moving mean of the requests' expected run times */
} ServiceZones;

struct Zones {
    Gateway *gateway;
    GHashTable *by_service; /* service name -> ServiceZones */
    ZoneLink link;
};

static void
free_service(gpointer data)
{
    ServiceZones *service = data;
    ZoneChoice_Free(service->choice);
    g_free(service);
}

Zones *
Zones_New(Gateway *gateway)
{
    Zones *zones = g_new0(Zones, 1);
    zones->gateway = gateway;
    zones->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return zones;
}

void
Zones_Free(Zones *zones)
{
    g_hash_table_destroy(zones->by_service);
    g_free(zones);
}

static ServiceZones *
find_service(Zones *zones, const char *name)
{
    ServiceZones *service = g_hash_table_lookup(zones->by_service, name);
    if (service == NULL) {
        service = g_new0(ServiceZones, 1);
        service->choice = ZoneChoice_New();
        service->run_ms = DEFAULT_RUN_MS;
        g_hash_table_insert(zones->by_service, g_strdup(name), service);
    }
    return service;
}

static bool
is_enabled(const Gateway *gateway)
{
    return gateway->zones != NULL && gateway->options->zone_transfer.enabled;
}

static const char *
zone_of(const Endpoint *endpoint)
{
    return endpoint->zone != NULL ? endpoint->zone
                                  : endpoint->gateway->options->zone;
}

static double
run_of(const BalancerCandidate *candidate)
{
    return candidate->expected_run_ms > 0 ? candidate->expected_run_ms
                                          : DEFAULT_RUN_MS;
}

/* Sums up the usable candidates by zone.
 * @return the number of zones. */
static size_t
sum_up_zones(ZoneServers *zones, Endpoint *const *endpoints,
             const double *queued, const BalancerCandidate *candidates,
             size_t count)
{
    size_t zone_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (!candidates[i].usable || candidates[i].tried) {
            continue;
        }
        const char *name = zone_of(endpoints[i]);
        size_t z = 0;
        while (z < zone_count && strcmp(zones[z].zone, name) != 0) {
            z++;
        }
        if (z == ZONES_MAX) {
            continue;
        }
        if (z == zone_count) {
            zones[zone_count++] = (ZoneServers){
                .zone = name,
                .distance = candidates[i].distance,
            };
        }
        double slots = endpoints[i]->slots;
        zones[z].slots += slots;
        zones[z].load +=
            candidates[i].load * slots + (queued == NULL ? 0 : queued[i]);
        zones[z].run_ms += run_of(&candidates[i]) * slots;
    }
    for (size_t z = 0; z < zone_count; z++) {
        zones[z].load /= zones[z].slots;
        zones[z].run_ms /= zones[z].slots;
    }
    return zone_count;
}

/* Updates the shares. Run times of engines differ between requests, so the
 * shares follow a mean run time, and the zones' relative speeds. */
static void
update_shares(ServiceZones *service, const ZoneTransfer *transfer,
              const ZoneServers *zones, size_t count, TimeUs now)
{
    ZoneServers typical[ZONES_MAX];
    double run = 0;
    double slots = 0;
    for (size_t z = 0; z < count; z++) {
        run += zones[z].run_ms * zones[z].slots;
        slots += zones[z].slots;
    }
    run /= slots;
    service->run_ms += RUN_WEIGHT * (run - service->run_ms);
    for (size_t z = 0; z < count; z++) {
        typical[z] = zones[z];
        typical[z].run_ms *= service->run_ms / run;
    }
    ZoneChoice_Update(service->choice, transfer, typical, count, now);
}

static double
megabytes_of(const Call *call)
{
    double answer = call->route->kind == ROUTE_STREAM
                        ? (double)call->expected_tokens * EVENT_BYTES
                        : PLAIN_ANSWER_BYTES;
    return ((double)evbuffer_get_length(call->body) + answer) / BYTES_PER_MB;
}

/* Returns this gateway's part of the link between regions. */
static double
link_part(const Gateway *gateway)
{
    const GatewayOptions *options = gateway->options;
    return options->zone_transfer.region_mbit_s * MAX(options->regions, 1) /
           MAX(Gateway_Count(gateway), MAX(options->regions, 1));
}

static ZoneRequest
describe_request(const Call *call, TimeUs now)
{
    double left = (double)(call->received_at +
                           call->route->latency_target_ms * US_PER_MS - now) /
                  US_PER_MS;
    return (ZoneRequest){
        .hash = g_str_hash(call->id) * 2654435761U >> 8,
        .megabytes = megabytes_of(call),
        .objective_ms = MAX(left, 0),
        .rank = call->tier + call->rank,
    };
}

static bool
is_chosen(const Call *call, const Endpoint *endpoint)
{
    return strncmp(zone_of(endpoint), call->zone, sizeof(call->zone) - 1) == 0;
}

/* Limits the first wants to the chosen zone if it has an engine that does not
 * fail: a grant of another zone, which often comes first, would draw the
 * request there. */
static void
keep_to_zone(const Call *call, Endpoint *const *endpoints,
             BalancerCandidate *candidates, size_t count)
{
    bool any = false;
    for (size_t i = 0; i < count; i++) {
        any = any || (candidates[i].usable && !candidates[i].tried &&
                      candidates[i].error_rate <= ERROR_RATE_MAX &&
                      is_chosen(call, endpoints[i]));
    }
    for (size_t i = 0; i < count && any; i++) {
        candidates[i].usable =
            candidates[i].usable && is_chosen(call, endpoints[i]);
    }
}

void
Zones_Choose(Call *call, Endpoint *const *endpoints, const double *queued,
             BalancerCandidate *candidates, size_t count)
{
    Gateway *gateway = call->gateway;
    if (!is_enabled(gateway)) {
        return;
    }
    const ZoneTransfer *transfer = &gateway->options->zone_transfer;
    ZoneServers zones[ZONES_MAX];
    TimeUs now = Clock_Now();
    size_t zone_count =
        sum_up_zones(zones, endpoints, queued, candidates, count);
    if (zone_count == 0) {
        return;
    }
    ServiceZones *service = find_service(gateway->zones, call->service);
    update_shares(service, transfer, zones, zone_count, now);
    ZoneRequest request = describe_request(call, now);
    int picked = ZoneChoice_Pick(service->choice, transfer, zones, zone_count,
                                 &request, &gateway->zones->link,
                                 link_part(gateway), now, &call->zone_reason);
    call->zone_distance = picked < 0 ? 1 : zones[picked].distance;
    g_strlcpy(call->zone, picked < 0 ? "" : zones[picked].zone,
              sizeof(call->zone));
    call->zone_hold_ms = NOT_CHOSEN_MS;
    if (queued == NULL && picked >= 0) {
        call->zone_hold_ms += ZoneChoice_DelayMs(&zones[picked]) +
                              RUN_NOISE_PART * zones[picked].run_ms;
    }
    Zones_SetCosts(call, endpoints, candidates, count);
    if (queued != NULL) {
        keep_to_zone(call, endpoints, candidates, count);
    }
}

void
Zones_SetCosts(const Call *call, Endpoint *const *endpoints,
               BalancerCandidate *candidates, size_t count)
{
    const GatewayOptions *options = call->gateway->options;
    if (!is_enabled(call->gateway)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        BalancerCandidate *candidate = &candidates[i];
        bool chosen = is_chosen(call, endpoints[i]);
        candidate->has_transfer = true;
        candidate->transfer_ms =
            chosen ? 0
                   : call->zone_hold_ms +
                         ZoneChoice_TransferMs(&options->zone_transfer,
                                               candidate->distance,
                                               megabytes_of(call));
    }
}

bool
Zones_MayLeaveRegion(const Call *call, bool region_left)
{
    double waited = (double)(Clock_Now() - call->received_at);
    double objective =
        (double)call->route->latency_target_ms * (double)US_PER_MS;
    return !is_enabled(call->gateway) || !region_left ||
           call->zone_distance > 1 || waited > REGION_WAIT_PART * objective;
}

double
Zones_MaxLoad(const Gateway *gateway, double fixed)
{
    return is_enabled(gateway) ? MAX(fixed, PLAIN_LOAD_MAX) : fixed;
}

static void
count_pair(const char *metric, const char *help, const Call *call,
           const Endpoint *endpoint, int64_t amount)
{
    char *name =
        g_strdup_printf("%s{from=\"%s\",to=\"%s\"}", metric,
                        call->gateway->options->zone, zone_of(endpoint));
    Counter_Add(Counter_Get(name, help), amount);
    g_free(name);
}

void
Zones_OnSent(Call *call, const Endpoint *endpoint)
{
    Gateway *gateway = call->gateway;
    if (!is_enabled(gateway)) {
        return;
    }
    TimeUs now = Clock_Now();
    double megabytes = megabytes_of(call);
    unsigned distance = Endpoint_Distance(endpoint);
    count_pair("gateway_zone_requests_total",
               "Requests sent from one zone to another.", call, endpoint, 1);
    count_pair("gateway_zone_bytes_total",
               "Estimated bytes of requests and answers between zones.", call,
               endpoint, (int64_t)(megabytes * BYTES_PER_MB));
    if (distance > 1) {
        ZoneLink_OnSent(&gateway->zones->link, megabytes, now);
    }
    const ZoneReason *reason = &call->zone_reason;
    Log_Write(
        distance == 0 ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, GATEWAY_PART,
        "Zone chosen. id=%s from=%s to=%s distance=%u chosen_distance=%u "
        "bytes=%.0f here_ms=%.1f there_ms=%.1f transfer_ms=%.1f "
        "share=%.3f noise_ms=%.1f age_ms=%lld link_mbit_s=%.3f",
        call->id, gateway->options->zone, zone_of(endpoint), distance,
        call->zone_distance, megabytes * BYTES_PER_MB, reason->here_ms,
        reason->there_ms, reason->transfer_ms, reason->share, reason->noise_ms,
        (long long)(now - call->received_at + reason->age) / US_PER_MS,
        gateway->zones->link.mbit_s);
}
