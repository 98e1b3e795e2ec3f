/** @file
 * Gateway: queues of the requests that wait for an endpoint of a service,
 * ordered by tier, rank and deadline. Requests for engines wait at the slot
 * keepers instead where these are connected.
 */
#include <math.h>
#include <string.h>

#include "gateway/keepers.h"
#include "gateway/paces.h"
#include "gateway/state.h"
#include "gateway/zones.h"
#include "kernel/log.h"
#include "sched/balancer.h"

/* Requests per slot of an endpoint at which further requests stay queued. */
#define LOAD_MAX 1.5
/* The same limit for an engine whose keeper is unreachable. It is lower
 * because engines run requests in order of arrival, so few may wait there. */
#define ENGINE_LOAD_MAX 0.5
/* Time over which the reported load of other gateways decays to 0. */
#define REPORT_DECAY_US (1 * US_PER_S)
/* Delay before the queue is processed again while no endpoint can take a
 * request. */
#define RETRY_DELAY_MS 50

/* Fraction of the time from arrival to deadline that a request waits for an
 * endpoint before it is refused. */
#define WAIT_FRACTION 0.4

/* Time that a call waits for an endpoint whose software may continue its
 * stream to be announced. */
#define VERSION_WAIT_US (300 * US_PER_MS)

/* Time over which calls are told to come back that are refused because all
 * endpoints rest. */
#define REST_SPREAD_MS 500

/* Longest wait for an endpoint that is full but quicker than a free one. */
#define QUICKER_WAIT_MAX_MS 100

/* Time constant of the moving mean of demand. */
#define DEMAND_DECAY_US (2 * US_PER_S)
/* Least Retry-After of a request that no endpoint could accept. */
#define NO_ENDPOINT_RETRY_AFTER_MS 250

struct ServiceQueue {
    Gateway *gateway;
    char *service;
    GQueue waiting;            /* Calls in the order in which they are sent */
    struct event *retry_timer; /* retries while no endpoint is free */
    double demand;             /* moving mean of requests/s at demand_at */
    TimeUs demand_at;
    bool pumping; /* prevents recursion of ServiceQueue_Pump */
};

static bool
precedes(const Call *a, const Call *b)
{
    if (a->tier != b->tier) {
        return a->tier < b->tier;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank;
    }
    return a->deadline < b->deadline;
}

static void
on_retry_timer(evutil_socket_t fd, short events, void *arg)
{
    ServiceQueue *queue = arg;
    ServiceQueue_Pump(queue->gateway, queue->service);
}

static ServiceQueue *
find_queue(Gateway *gateway, const char *service)
{
    ServiceQueue *queue = g_hash_table_lookup(gateway->queues, service);
    if (queue == NULL) {
        queue = g_new0(ServiceQueue, 1);
        queue->gateway = gateway;
        queue->service = g_strdup(service);
        g_queue_init(&queue->waiting);
        queue->retry_timer =
            event_new(gateway->base, -1, 0, on_retry_timer, queue);
        g_hash_table_insert(gateway->queues, queue->service, queue);
    }
    return queue;
}

static void
insert_call(ServiceQueue *queue, Call *call)
{
    GList *at = queue->waiting.tail;
    while (at != NULL && precedes(call, at->data)) {
        at = at->prev;
    }
    if (at == NULL) {
        g_queue_push_head(&queue->waiting, call);
        call->queue_node = queue->waiting.head;
    }
    else {
        g_queue_insert_after(&queue->waiting, at, call);
        call->queue_node = at->next;
    }
    call->queue = queue;
}

/* Returns the demand at @p now. */
static double
demand_at(const ServiceQueue *queue, TimeUs now)
{
    double span = (double)(now - queue->demand_at);
    return queue->demand * exp(-span / (double)DEMAND_DECAY_US);
}

double
ServiceQueue_Demand(const Gateway *gateway, const char *service)
{
    const ServiceQueue *queue = g_hash_table_lookup(gateway->queues, service);
    return queue == NULL ? 0 : demand_at(queue, Clock_Now());
}

void
ServiceQueue_Add(Gateway *gateway, Call *call)
{
    ServiceQueue *queue = find_queue(gateway, call->service);
    TimeUs now = Clock_Now();
    queue->demand =
        demand_at(queue, now) + (double)US_PER_S / (double)DEMAND_DECAY_US;
    queue->demand_at = now;
    insert_call(queue, call);
    ServiceQueue_Pump(gateway, call->service);
}

void
ServiceQueue_Remove(Call *call)
{
    if (call->queue != NULL) {
        g_queue_delete_link(&call->queue->waiting, call->queue_node);
        call->queue = NULL;
        call->queue_node = NULL;
        call->question_id = 0;
    }
}

double
Endpoint_Load(const Endpoint *endpoint, TimeUs now)
{
    double age = (double)(now - endpoint->load_reported_at) / REPORT_DECAY_US;
    double others = age < 1 ? endpoint->other_running * (1 - age) : 0;
    return (endpoint->running + others) / endpoint->slots;
}

/* Endpoints of a service with what the choice depends on, in parallel arrays.
 */
typedef struct EndpointChoice {
    Endpoint **endpoints;
    BalancerCandidate *candidates;
    size_t count;
    double max_load;
    bool by_speed; /* an endpoint reports its current speed */
} EndpointChoice;

/* Replaces the mean run time of a candidate by the time that is expected at
 * the speed that its endpoint has reported. */
static void
apply_speed(EndpointChoice *choice, const Endpoint *endpoint,
            BalancerCandidate *candidate, TimeUs now)
{
    const GatewayOptions *options = endpoint->gateway->options;
    if (!Pace_IsKnown(&endpoint->pace)) {
        return;
    }
    choice->by_speed = true;
    candidate->expected_run_ms =
        Pace_RunMs(&endpoint->pace,
                   Paces_Service(endpoint->gateway, endpoint->service), now);
    candidate->spread_ms =
        Pace_SpreadMs(g_str_hash(endpoint->id) * 31 +
                      g_str_hash(options->name)) +
        Paces_SilenceMs(endpoint, candidate->expected_run_ms);
}

static void
collect_candidates(EndpointChoice *choice, const Call *call,
                   const ServiceQueue *queue)
{
    const Gateway *gateway = queue->gateway;
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Endpoint *endpoint = value;
        if (strcmp(endpoint->service, queue->service) != 0) {
            continue;
        }
        BalancerCandidate *candidate = &choice->candidates[choice->count];
        choice->endpoints[choice->count++] = endpoint;
        *candidate = (BalancerCandidate){
            .usable = Endpoint_MayServe(endpoint, call, now) &&
                      NamedRate_MaySend(&endpoint->rate_limit,
                                        Endpoint_RateShare(endpoint), now),
            .tried = Endpoint_WasTried(endpoint, call),
            .distance = Endpoint_Distance(endpoint),
            .load = Endpoint_Load(endpoint, now),
            .error_rate = Endpoint_ErrorRate(endpoint, now),
            .expected_run_ms = endpoint->expected_run_ms,
            .rate_wait_ms = Endpoint_RateWaitMs(endpoint),
        };
        apply_speed(choice, endpoint, candidate, now);
    }
}

/* Asks the endpoint whose current load and speed are most worth a question.
 * @return false when none is. */
static bool
ask_for_load(const EndpointChoice *choice, Call *call)
{
    if (!choice->by_speed || call->load_questions >= LOAD_QUESTIONS_MAX) {
        return false;
    }
    PaceOption *options = g_new0(PaceOption, choice->count);
    size_t *indexes = g_new0(size_t, choice->count);
    size_t count = 0;
    for (size_t i = 0; i < choice->count; i++) {
        const BalancerCandidate *candidate = &choice->candidates[i];
        const Endpoint *endpoint = choice->endpoints[i];
        if (!candidate->usable || candidate->load >= choice->max_load) {
            continue;
        }
        bool can_be_asked = candidate->distance <= DISTANCE_REGION &&
                            !candidate->tried &&
                            endpoint->rate_limit.rate <= 0;
        indexes[count] = i;
        options[count++] = (PaceOption){
            .pace = can_be_asked ? &endpoint->pace : NULL,
            .run_ms = candidate->expected_run_ms,
            .other_ms =
                Balancer_CostMs(candidate) - candidate->expected_run_ms,
        };
    }
    int asked = Pace_ChooseQuestion(
        options, count, Paces_Service(call->gateway, call->service),
        Clock_Now());
    bool sent =
        asked >= 0 && Paces_Ask(call, choice->endpoints[indexes[asked]]);
    g_free(options);
    g_free(indexes);
    return sent;
}

/* Why no endpoint was chosen. */
typedef enum NoChoice {
    NO_CAPACITY, /* none can take the call now */
    LOAD_ASKED,  /* the call waits for an answer about the load */
    QUICKER_ONE, /* the call waits for a full endpoint that is quicker than the
                    free ones */
} NoChoice;

/* Returns the index of the best candidate for a call, or -1 and why. */
static int
choose_candidate(const EndpointChoice *choice, Call *call, bool engine,
                 NoChoice *why)
{
    *why = NO_CAPACITY;
    if (!engine && ask_for_load(choice, call)) {
        *why = LOAD_ASKED;
        return -1;
    }
    int best = Balancer_ChooseEndpoint(choice->candidates, choice->count,
                                       choice->max_load);
    double waited_ms = (double)(Clock_Now() - call->received_at) / US_PER_MS;
    if (best < 0 || !choice->by_speed) {
        return best;
    }
    if (!engine && waited_ms < QUICKER_WAIT_MAX_MS &&
        Balancer_IsWorthWaiting(choice->candidates, choice->count, best,
                                waited_ms))
    {
        LOG_INFO(GATEWAY_PART,
                 "Request waits for a quicker endpoint. id=%s free=%s "
                 "cost_ms=%.1f waited_ms=%.1f",
                 call->id, choice->endpoints[best]->id,
                 Balancer_CostMs(&choice->candidates[best]), waited_ms);
        *why = QUICKER_ONE;
        return -1;
    }
    if (Pace_IsKnown(&choice->endpoints[best]->pace)) {
        Paces_LogChoice(call, choice->endpoints[best],
                        Balancer_CostMs(&choice->candidates[best]));
    }
    return best;
}

/* Returns the best endpoint for a call, or NULL and why. */
static Endpoint *
choose_endpoint(Call *call, const ServiceQueue *queue, NoChoice *why)
{
    const RouteService *service =
        RouteTable_Service(call->table, queue->service);
    bool engine = service != NULL && service->is_engine;
    guint size = g_hash_table_size(queue->gateway->endpoints) + 1;
    EndpointChoice choice = {
        .endpoints = g_new0(Endpoint *, size),
        .candidates = g_new0(BalancerCandidate, size),
        .max_load =
            engine ? ENGINE_LOAD_MAX : Zones_MaxLoad(queue->gateway, LOAD_MAX),
    };
    collect_candidates(&choice, call, queue);
    Zones_Choose(call, choice.endpoints, NULL, choice.candidates,
                 choice.count);
    int best = choose_candidate(&choice, call, engine, why);
    Endpoint *endpoint = best < 0 ? NULL : choice.endpoints[best];
    g_free(choice.candidates);
    g_free(choice.endpoints);
    return endpoint;
}

/* Returns when an endpoint may be sent the next request, by one of the limits
 * that it has named. */
typedef TimeUs (*FreeTimeFunc)(const Endpoint *endpoint, unsigned waiting,
                               TimeUs now);

static TimeUs
rest_end(const Endpoint *endpoint, unsigned waiting, TimeUs now)
{
    return endpoint->rest.until;
}

static TimeUs
rate_limit_end(const Endpoint *endpoint, unsigned waiting, TimeUs now)
{
    return NamedRate_NextAt(&endpoint->rate_limit,
                            Endpoint_RateShare(endpoint), waiting, now);
}

/* Returns when the first endpoint of the call's service that may serve the
 * call is free, or 0 if there is none or one is free now.
 * @param waiting  requests that are sent before the call. */
static TimeUs
first_free_at(const Call *call, unsigned waiting, FreeTimeFunc free_at)
{
    TimeUs now = Clock_Now();
    TimeUs first = TIME_NEVER;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, call->gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (strcmp(endpoint->service, call->service) == 0 &&
            Endpoint_IsUsable(endpoint, now) &&
            Endpoint_MayContinue(endpoint, call))
        {
            first = MIN(first, free_at(endpoint, waiting, now));
        }
    }
    return first == TIME_NEVER || first <= now ? 0 : first;
}

uint32_t
ServiceQueue_RestMs(const Call *call)
{
    TimeUs end = first_free_at(call, 0, rest_end);
    if (end == 0) {
        return 0;
    }
    return (uint32_t)((end - Clock_Now()) / US_PER_MS) +
           g_str_hash(call->id) % REST_SPREAD_MS;
}

/* Returns the time up to which the call may wait: then it is refused, so that
 * the caller can retry in time. */
static TimeUs
longest_wait(const Call *call)
{
    if (call->maybe_ran) {
        return call->deadline;
    }
    TimeUs total = call->deadline - call->received_at;
    TimeUs limit = Call_FirstOutputLimit(call);
    if (limit != 0) {
        total = MIN(total, limit - call->received_at);
    }
    return call->received_at + (TimeUs)(WAIT_FRACTION * (double)total);
}

/* Returns whether no endpoint takes the call in the time for which it may
 * wait. */
static bool
waits_in_vain(const Call *call)
{
    TimeUs last = longest_wait(call);
    return (!call->maybe_ran && Clock_Now() > last) ||
           first_free_at(call, 0, rest_end) > last;
}

static void
fail_waiting(Call *call, const ServiceQueue *queue)
{
    TimeUs limit_end =
        first_free_at(call, queue->waiting.length, rate_limit_end);
    uint32_t limit_ms =
        limit_end == 0 ? 0 : (uint32_t)((limit_end - Clock_Now()) / US_PER_MS);
    uint32_t retry_after_ms = MAX(limit_ms, NO_ENDPOINT_RETRY_AFTER_MS);
    retry_after_ms = MAX(retry_after_ms, ServiceQueue_RestMs(call));
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "no_endpoint",
                        .message = "No endpoint of the service could accept "
                                   "the request.",
                        .retry_after_ms = retry_after_ms,
                    });
}

/* Fails a call whose stream no endpoint can continue. Its caller gains nothing
 * by a repetition. */
static void
fail_version_gone(Call *call)
{
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "version_gone",
                        .message = "No endpoint runs the version of the "
                                   "software that began the stream.",
                    });
}

/* Returns the first call that waits for no answer about the load. */
static Call *
next_call(const ServiceQueue *queue)
{
    for (GList *at = queue->waiting.head; at != NULL; at = at->next) {
        Call *call = at->data;
        if (call->question_id == 0) {
            return call;
        }
    }
    return NULL;
}

void
ServiceQueue_OnQuestionEnded(Gateway *gateway, const char *service,
                             uint64_t question_id)
{
    ServiceQueue *queue = g_hash_table_lookup(gateway->queues, service);
    for (GList *at = queue == NULL ? NULL : queue->waiting.head; at != NULL;
         at = at->next)
    {
        Call *call = at->data;
        if (call->question_id == question_id) {
            call->question_id = 0;
        }
    }
    ServiceQueue_Pump(gateway, service);
}

static void
wait_for_endpoint(const ServiceQueue *queue)
{
    struct timeval span = {.tv_usec = RETRY_DELAY_MS * US_PER_MS};
    event_add(queue->retry_timer, &span);
}

void
ServiceQueue_Pump(Gateway *gateway, const char *service)
{
    ServiceQueue *queue = g_hash_table_lookup(gateway->queues, service);
    if (queue == NULL || queue->pumping) {
        return;
    }
    queue->pumping = true;
    Call *call;
    while ((call = next_call(queue)) != NULL) {
        Rollouts_Assign(call);
        if (Keepers_SendWants(call)) {
            ServiceQueue_Remove(call);
            continue;
        }
        NoChoice why;
        Endpoint *endpoint = choose_endpoint(call, queue, &why);
        if (endpoint == NULL && why == LOAD_ASKED) {
            continue;
        }
        if (endpoint == NULL && why == QUICKER_ONE) {
            wait_for_endpoint(queue);
            break;
        }
        if (endpoint == NULL && Rollouts_FallBack(call, "no capacity")) {
            continue;
        }
        if (endpoint == NULL && !Origins_CanGoOn(call) &&
            Clock_Now() - call->received_at > VERSION_WAIT_US)
        {
            fail_version_gone(call);
            continue;
        }
        if (endpoint == NULL && waits_in_vain(call)) {
            fail_waiting(call, queue);
            continue;
        }
        if (endpoint == NULL) {
            wait_for_endpoint(queue);
            break;
        }
        ServiceQueue_Remove(call);
        NamedRate_OnSent(&endpoint->rate_limit);
        Call_SendTo(call, endpoint);
    }
    queue->pumping = false;
}

void
ServiceQueue_FreeAll(Gateway *gateway)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ServiceQueue *queue = value;
        event_free(queue->retry_timer);
        g_free(queue->service);
        g_free(queue);
        g_hash_table_iter_remove(&iter);
    }
}
