/** @file
 * Gateway: endpoints, with the state that they announce and the health and
 * load seen from requests.
 */
#include <math.h>
#include <string.h>
#include <strings.h>

#include "gateway/paces.h"
#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* Longest delay of an endpoint's announcement: after that, a known endpoint
 * that had ended has not started again under its id without being known. */
#define ANNOUNCE_DELAY_MAX_US (10 * US_PER_S)
/* Time after a proved end for which a keeper may still report the start that
 * ended: the longest probe (600 ms), the time between two probes (250 ms), and
 * the way of the grant. */
#define START_SEEN_DELAY_US (1 * US_PER_S)
/* First and longest ejection of a failing endpoint. The time doubles with each
 * consecutive failure; after it, one request probes the endpoint. */
#define EJECT_FIRST_MS 300
#define EJECT_MAX_MS 4000
/* Weight of the newest answer in the error rate. */
#define ERROR_WEIGHT 0.2
/* Weight of the newest answer in the mean run time. */
#define RUN_WEIGHT 0.1
/* Time constant of the error rate's decay. */
#define ERROR_DECAY_US (4 * US_PER_S)

static void
free_endpoint(Endpoint *endpoint)
{
    g_free(endpoint->id);
    g_free(endpoint->service);
    g_free(endpoint->address);
    g_free(endpoint->zone);
    g_free(endpoint->software);
    EndWatch_Clear(endpoint);
    Paces_FreeQuestion(endpoint);
    g_free(endpoint);
}

void
Endpoint_Ref(Endpoint *endpoint)
{
    endpoint->references++;
}

void
Endpoint_Unref(Endpoint *endpoint)
{
    if (--endpoint->references == 0) {
        free_endpoint(endpoint);
    }
}

static Endpoint *
new_endpoint(Gateway *gateway, const EndpointRecord *record)
{
    Endpoint *endpoint = g_new0(Endpoint, 1);
    endpoint->gateway = gateway;
    endpoint->references = 1;
    endpoint->rate_share = -1;
    endpoint->id = g_strdup(record->id);
    endpoint->service = g_strdup(record->service);
    endpoint->address = g_strdup(record->address);
    endpoint->zone = g_strdup(record->zone);
    g_queue_init(&endpoint->idle_upstreams);
    return endpoint;
}

/* Removes the endpoint from the table. Requests that it runs continue. */
static void
remove_endpoint(Gateway *gateway, Endpoint *endpoint)
{
    endpoint->removed = true;
    endpoint->state = ENDPOINT_GONE;
    Upstream_CloseIdle(endpoint);
    g_hash_table_remove(gateway->endpoints, endpoint->id);
    Origins_OnEndpoints(gateway->origins, endpoint->service);
    Keepers_Disconnect(gateway->keepers, endpoint->id);
    Endpoint_Unref(endpoint);
}

/* Returns whether the record has another address or service. */
static bool
has_moved(const Endpoint *endpoint, const EndpointRecord *record)
{
    return g_strcmp0(endpoint->address, record->address) != 0 ||
           g_strcmp0(endpoint->service, record->service) != 0;
}

static void
apply_record(Gateway *gateway, const EndpointRecord *record)
{
    Endpoint *endpoint = Endpoints_Find(gateway, record->id);
    if (endpoint != NULL &&
        (record->state == ENDPOINT_GONE || has_moved(endpoint, record)))
    {
        Origins_OnLeft(gateway->origins, endpoint);
        remove_endpoint(gateway, endpoint);
        endpoint = NULL;
    }
    if (record->state == ENDPOINT_GONE || record->address == NULL ||
        record->service == NULL)
    {
        return;
    }
    if (endpoint == NULL) {
        endpoint = new_endpoint(gateway, record);
        g_hash_table_insert(gateway->endpoints, endpoint->id, endpoint);
    }
    g_free(endpoint->software);
    endpoint->software =
        g_strdup(record->software != NULL ? record->software : "");
    endpoint->state = record->state;
    endpoint->stored = record->stored;
    endpoint->born = record->born;
    endpoint->slots = MAX(record->slots, 1);
    endpoint->cold_until = Clock_Now() + record->cold_ms * US_PER_MS;
    if (record->state != ENDPOINT_READY) {
        Upstream_CloseIdle(endpoint);
    }
    Origins_OnEndpoints(gateway->origins, endpoint->service);
    const RouteService *service =
        gateway->table == NULL
            ? NULL
            : RouteTable_Service(gateway->table, endpoint->service);
    if (service != NULL && service->is_engine) {
        Keepers_Connect(gateway->keepers, endpoint);
    }
}

/* Removes an endpoint that ended, because a newer incarnation has its id or
 * its address. */
static void
remove_superseded(Gateway *gateway, Endpoint *endpoint)
{
    Origins_OnLeft(gateway->origins, endpoint);
    endpoint->superseded = endpoint->state == ENDPOINT_READY;
    endpoint->replaced = true;
    EndWatch_OnEnded(endpoint, "a newer incarnation is registered");
    Origins_OnReplaced(endpoint);
    remove_endpoint(gateway, endpoint);
}

static void
remove_all_superseded(Gateway *gateway, const GPtrArray *ids)
{
    for (guint i = 0; i < ids->len; i++) {
        Endpoint *endpoint = Endpoints_Find(gateway, ids->pdata[i]);
        if (endpoint != NULL) {
            remove_superseded(gateway, endpoint);
        }
    }
}

void
Endpoints_OnTable(Gateway *gateway)
{
    GPtrArray *superseded = g_ptr_array_new();
    Directory_SetTable(gateway->directory, gateway->table, superseded);
    remove_all_superseded(gateway, superseded);
    g_ptr_array_unref(superseded);
}

void
Endpoints_Update(Gateway *gateway, const EndpointRecord *record)
{
    GPtrArray *superseded = g_ptr_array_new();
    EndpointRecord before = {.state = ENDPOINT_UNKNOWN};
    const EndpointRecord *known =
        Directory_Find(gateway->directory, record->id);
    if (known != NULL) {
        before = *known;
    }
    if (Directory_Update(gateway->directory, record, superseded)) {
        known = Directory_Find(gateway->directory, record->id);
        if (before.state != ENDPOINT_UNKNOWN && before.born != known->born) {
            /* The endpoint restarted, so its old state is invalid. */
            Endpoint *endpoint = Endpoints_Find(gateway, record->id);
            if (endpoint != NULL) {
                remove_superseded(gateway, endpoint);
            }
        }
        apply_record(gateway, known);
        LOG_INFO(GATEWAY_PART,
                 "Endpoint changed. id=%s service=%s state=%d software=%s "
                 "born=%llu sequence=%llu",
                 known->id, known->service != NULL ? known->service : "",
                 (int)known->state,
                 known->software != NULL ? known->software : "",
                 (unsigned long long)known->born,
                 (unsigned long long)known->sequence);
    }
    remove_all_superseded(gateway, superseded);
    g_ptr_array_unref(superseded);
    known = Directory_Find(gateway->directory, record->id);
    if (known != NULL && known->service != NULL) {
        ServiceQueue_Pump(gateway, known->service);
    }
}

Endpoint *
Endpoints_Find(const Gateway *gateway, const char *id)
{
    return g_hash_table_lookup(gateway->endpoints, id);
}

void
Endpoints_FreeAll(Gateway *gateway)
{
    GList *endpoints = g_hash_table_get_values(gateway->endpoints);
    for (GList *at = endpoints; at != NULL; at = at->next) {
        Endpoint *endpoint = at->data;
        Upstream_CloseIdle(endpoint);
        EndWatch_Clear(endpoint);
        Paces_FreeQuestion(endpoint);
        g_hash_table_remove(gateway->endpoints, endpoint->id);
        Endpoint_Unref(endpoint);
    }
    g_list_free(endpoints);
    Paces_FreeServices(gateway);
}

void
Endpoint_OnFailure(Endpoint *endpoint, const char *why)
{
    endpoint->consecutive_failures++;
    endpoint->probing = false;
    Upstream_CloseIdle(endpoint);
    unsigned doublings = MIN(endpoint->consecutive_failures - 1, 4);
    TimeUs eject_ms =
        MIN((TimeUs)EJECT_FIRST_MS << doublings, (TimeUs)EJECT_MAX_MS);
    endpoint->ejected_until = Clock_Now() + eject_ms * US_PER_MS;
    LOG_INFO(GATEWAY_PART,
             "Endpoint failed. id=%s failures=%u rest_ms=%lld why=\"%s\"",
             endpoint->id, endpoint->consecutive_failures, (long long)eject_ms,
             why);
}

void
Endpoint_AddRunTime(Endpoint *endpoint, TimeUs run_time)
{
    double ms = (double)run_time / (double)US_PER_MS;
    if (endpoint->expected_run_ms <= 0) {
        endpoint->expected_run_ms = ms;
    }
    endpoint->expected_run_ms += RUN_WEIGHT * (ms - endpoint->expected_run_ms);
    Paces_OnRun(endpoint, ms);
}

void
Endpoint_AddRoundTrip(Endpoint *endpoint, TimeUs time)
{
    if (endpoint->round_trip == 0 || time < endpoint->round_trip) {
        endpoint->round_trip = MAX(time, 1);
    }
}

double
Endpoint_ErrorRate(const Endpoint *endpoint, TimeUs now)
{
    double age =
        (double)(now - endpoint->error_rate_at) / (double)ERROR_DECAY_US;
    return endpoint->error_rate * exp(-age);
}

void
Endpoint_OnAnswer(Endpoint *endpoint, bool success)
{
    TimeUs now = Clock_Now();
    double rate = Endpoint_ErrorRate(endpoint, now);
    endpoint->error_rate = rate + ERROR_WEIGHT * ((success ? 0 : 1) - rate);
    endpoint->error_rate_at = now;
    endpoint->consecutive_failures = 0;
    endpoint->probing = false;
    endpoint->ejected_until = 0;
}

void
Endpoint_OnLoadReport(Endpoint *endpoint, const char *text)
{
    LoadReport report;
    if (!LoadReport_Parse(text, Clock_Now(), &report)) {
        LOG_DEBUG(GATEWAY_PART, "Invalid load report. endpoint=%s",
                  endpoint->id);
        return;
    }
    unsigned all = report.running + report.waiting;
    endpoint->other_running =
        all > endpoint->running ? all - endpoint->running : 0;
    endpoint->load_reported_at = report.pace.received_at;
    Paces_OnReport(endpoint, &report);
}

/* Returns the rate in the field of an answer, 0 if there is none, and -1 if it
 * cannot be read. */
static double
read_rate(const Endpoint *endpoint, const H1Head *head)
{
    const char *name = endpoint->gateway->options->fields->rate_limit;
    double rate = 0;
    for (guint i = 0; i < head->fields->len; i++) {
        const H1Field *field = &g_array_index(head->fields, H1Field, i);
        if (strcasecmp(field->name, name) != 0) {
            continue;
        }
        double value = NamedRate_Parse(field->value);
        rate = rate == 0 && value > 0 ? value : -1;
    }
    return rate;
}

void
Endpoint_OnRateField(Endpoint *endpoint, const H1Head *head, TimeUs sent_at)
{
    double rate = read_rate(endpoint, head);
    if (rate < 0) {
        if (!endpoint->bad_rate_logged) {
            LOG_WARN(GATEWAY_PART, "Invalid rate limit is ignored. id=%s",
                     endpoint->id);
        }
        endpoint->bad_rate_logged = true;
        return;
    }
    if (rate > 0 || endpoint->rate_limit.rate > 0) {
        Keepers_ReportRate(endpoint, rate, sent_at);
    }
    /* Gateways that learn of a limit at the same time spread their first
     * requests over the time that their shares allow. */
    double level =
        (double)(g_str_hash(endpoint->gateway->options->name) % 100) / 100;
    if (NamedRate_OnAnswer(&endpoint->rate_limit, rate, sent_at, Clock_Now(),
                           level))
    {
        LOG_INFO(GATEWAY_PART, "Rate limit of an endpoint. id=%s rate=%.3f",
                 endpoint->id, rate);
        Counter_Add(Counter_Get("gateway_rate_limits_total",
                                "Rate limits of endpoints that began, changed "
                                "or ended."),
                    1);
    }
}

/* Returns the rest that an answer asks for, in milliseconds; 0 for none. */
static uint32_t
read_rest(const Endpoint *endpoint, const H1Head *head)
{
    const char *text = H1Head_Get(head, "Retry-After");
    if (head->status != HTTP_UNAVAILABLE || text == NULL) {
        return 0;
    }
    uint32_t ms = Rest_Parse(text);
    if (ms == 0) {
        LOG_DEBUG(GATEWAY_PART, "Unusable time of a rest. id=%s",
                  endpoint->id);
    }
    return ms;
}

static void
fill_leaving(Wire__Frame *frame, Wire__EndpointLeaving *leaving,
             const EndpointRecord *record)
{
    wire__endpoint_leaving__init(leaving);
    leaving->id = (char *)record->id;
    leaving->born = record->born;
    wire__frame__init(frame);
    frame->body_case = WIRE__FRAME__BODY_ENDPOINT_LEAVING;
    frame->endpoint_leaving = leaving;
}

static void
send_if_leaving(void *arg, const EndpointRecord *record)
{
    if (record->leaving && record->state != ENDPOINT_GONE) {
        Wire__EndpointLeaving leaving;
        Wire__Frame frame;
        fill_leaving(&frame, &leaving, record);
        Link_Send(arg, &frame);
    }
}

void
Endpoints_SendLeaving(const Gateway *gateway, Link *link)
{
    Directory_ForEach(gateway->directory, send_if_leaving, link);
}

/* Sends nothing more to the endpoint, and tells the control hosts. Its running
 * requests go on. */
static void
set_leaving(Endpoint *endpoint)
{
    Gateway *gateway = endpoint->gateway;
    if (endpoint->removed ||
        !Directory_SetLeaving(gateway->directory, endpoint->id,
                              endpoint->born))
    {
        return;
    }
    LOG_INFO(GATEWAY_PART,
             "Endpoint says in an answer that it leaves. id=%s born=%llu",
             endpoint->id, (unsigned long long)endpoint->born);
    Wire__EndpointLeaving leaving;
    Wire__Frame frame;
    fill_leaving(&frame, &leaving,
                 Directory_Find(gateway->directory, endpoint->id));
    GatewayControl_SendAll(gateway->control, &frame);
    apply_record(gateway, Directory_Find(gateway->directory, endpoint->id));
    Keepers_WithdrawUseless(gateway->keepers);
}

void
Endpoint_OnStateFields(Endpoint *endpoint, const H1Head *head)
{
    const char *leaving =
        H1Head_Get(head, endpoint->gateway->options->fields->leaving);
    uint32_t rest_ms = read_rest(endpoint, head);
    if (rest_ms > 0) {
        bool longer = Rest_OnRefused(&endpoint->rest, rest_ms, Clock_Now());
        LOG_INFO(GATEWAY_PART,
                 "Endpoint asks for rest. id=%s rest_ms=%u longer=%s",
                 endpoint->id, rest_ms, longer ? "yes" : "no");
        Keepers_WithdrawUseless(endpoint->gateway->keepers);
        Counter_Add(Counter_Get("gateway_rests_total",
                                "Refusals of endpoints that ask for rest."),
                    1);
    }
    else if (head->status != HTTP_UNAVAILABLE) {
        Rest_OnServed(&endpoint->rest, Clock_Now());
    }
    if (leaving != NULL && strcmp(leaving, "1") == 0) {
        set_leaving(endpoint);
    }
}

double
Endpoint_RateWaitMs(const Endpoint *endpoint)
{
    double rate = endpoint->rate_limit.rate;
    return rate > 0 ? 1000 / rate : 0;
}

double
Endpoint_RateShare(const Endpoint *endpoint)
{
    return endpoint->rate_share >= 0 ? endpoint->rate_share
                                     : 1.0 / Gateway_Count(endpoint->gateway);
}

bool
Endpoint_WasTried(const Endpoint *endpoint, const Call *call)
{
    for (guint i = 0; i < call->failed_endpoints->len; i++) {
        if (strcmp(call->failed_endpoints->pdata[i], endpoint->id) == 0) {
            return true;
        }
    }
    return false;
}

bool
Endpoint_IsUsable(const Endpoint *endpoint, TimeUs now)
{
    if (endpoint->removed || endpoint->state != ENDPOINT_READY) {
        return false;
    }
    if (endpoint->consecutive_failures == 0) {
        return true;
    }
    return now >= endpoint->ejected_until && !endpoint->probing;
}

void
Endpoint_OnStartSeen(Endpoint *endpoint, uint64_t born, bool uncertain)
{
    TimeUs now = Clock_Now();
    bool other = born != 0 && born != endpoint->born;
    bool is_late = endpoint->end_proved_at != 0 &&
                   now - endpoint->end_proved_at < START_SEEN_DELAY_US;
    if (uncertain || other) {
        endpoint->ended_at = now;
    }
    else if (born != 0 && !is_late) {
        endpoint->ended_at = 0;
        endpoint->stored = false;
    }
}

const char *
Endpoint_CertainSoftware(const Endpoint *endpoint)
{
    bool may_have_restarted =
        endpoint->ended_at != 0 &&
        Clock_Now() - endpoint->ended_at < ANNOUNCE_DELAY_MAX_US;
    return may_have_restarted || endpoint->stored || endpoint->replaced
               ? ""
               : endpoint->software;
}

bool
Endpoint_MayContinue(const Endpoint *endpoint, const Call *call)
{
    const CallOrigin *origin = &call->origin;
    return !origin->bound ||
           (origin->software[0] != '\0' &&
            strcmp(origin->service, endpoint->service) == 0 &&
            strcmp(origin->software, Endpoint_CertainSoftware(endpoint)) == 0);
}

bool
Endpoint_MayServe(const Endpoint *endpoint, const Call *call, TimeUs now)
{
    return Endpoint_IsUsable(endpoint, now) &&
           Rest_MaySend(&endpoint->rest, now) &&
           Endpoint_MayContinue(endpoint, call) &&
           Rollouts_MayServe(endpoint, call);
}

unsigned
Endpoint_Distance(const Endpoint *endpoint)
{
    const GatewayOptions *options = endpoint->gateway->options;
    if (endpoint->zone == NULL || strcmp(endpoint->zone, options->zone) == 0) {
        return 0;
    }
    const char *region =
        options->region_of(options->region_arg, endpoint->zone);
    return region != NULL && strcmp(region, options->region) == 0 ? 1 : 2;
}
