/** @file
 * Gateway: admits requests, enforces their deadlines and ends them.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"
#include "kernel/buffer.h"
#include "kernel/log.h"

/* Default Retry-After of a refusal. */
#define DEFAULT_RETRY_AFTER_MS 250
/* Retry-After while the gateway has no configuration. */
#define NOT_READY_RETRY_AFTER_MS 1000
/* Retry-After of a stopping gateway. It is short because the caller reaches
 * another gateway at once. */
#define STOPPING_RETRY_AFTER_MS 20
/* Longest time to hold a request for a configuration or lease: the lower of a
 * fixed limit and the remaining time divided by this number. */
#define HOLD_MAX_US (1500 * US_PER_MS)
#define HOLD_DIVISOR 3
/* Longest delay of a request over its account's share before it is refused:
 * the lower of its latency target divided by this number and a fixed limit. */
#define DELAY_DIVISOR 4
#define DELAY_MAX_MS 250

static void admit_call(Call *call);

static void
free_call(Call *call)
{
    Call_DropAnswer(call);
    event_free(call->timer);
    g_array_unref(call->fields);
    g_ptr_array_unref(call->failed_endpoints);
    g_array_unref(call->carried_by);
    evbuffer_free(call->body);
    evbuffer_free(call->answer_head);
    evbuffer_free(call->answer);
    evbuffer_free(call->partial_event);
    RouteTable_Unref(call->table);
    g_free(call->id);
    g_free(call->method);
    g_free(call->target);
    g_free(call->host);
    g_free(call->key);
    g_free(call->last_software);
    Origins_Forget(call);
    Quotas_Forget(call);
    g_free(call);
}

/* Removes the call from its queue, cancels its attempt and releases its
 * slot. */
static void
release_resources(Call *call)
{
    ServiceQueue_Remove(call);
    Rollouts_Forget(call);
    g_queue_remove(&call->gateway->held_calls, call);
    if (call->upstream != NULL) {
        Upstream_Cancel(call->upstream);
        call->upstream = NULL;
    }
    Call_ReleaseEndpoint(call, SLOT_NOT_SERVED);
}

void
Call_ReleaseEndpoint(Call *call, SlotOutcome outcome)
{
    Endpoint *endpoint = call->endpoint;
    Keepers_EndWant(call, outcome);
    if (endpoint == NULL) {
        return;
    }
    call->endpoint = NULL;
    endpoint->running--;
    endpoint->probing = false;
    Endpoint_Unref(endpoint);
}

void
Call_End(Call *call, const char *outcome)
{
    Gateway *gateway = call->gateway;
    CallLog_End(call, outcome);
    char *service = g_strdup(call->service);
    release_resources(call);
    gateway->call_count--;
    free_call(call);
    if (service != NULL) {
        ServiceQueue_Pump(gateway, service);
        g_free(service);
    }
}

/* Returns the cost of a request that did not run, which does not count towards
 * the quota. */
static void
refund_quota(Call *call)
{
    if (call->cost > 0 && call->account != NULL) {
        Quotas_Refund(call->gateway->quotas, call->account, call->cost);
        call->cost = 0;
    }
}

void
Call_Fail(Call *call, const CallError *reason)
{
    const GatewayFields *fields = call->gateway->options->fields;
    const CallError *error = GatewayErrors_ForOutcome(reason, call->maybe_ran);
    const char *outcome = call->maybe_ran ? "unknown" : "not_run";
    call->status = error->status;
    if (!call->maybe_ran) {
        refund_quota(call);
    }
    Conn *conn = call->conn;
    if (call->state == CALL_STREAMING) {
        Call_End(call, error->code);
        Conn_Abort(conn);
        return;
    }
    char *id = g_strdup_printf("%s: %s", fields->request_id, call->id);
    struct evbuffer *out = evbuffer_new();
    GatewayErrors_Print(out, error, id, outcome, Conn_WillClose(conn));
    Conn_SendHead(conn, out);
    evbuffer_free(out);
    g_free(id);
    GatewayErrors_Count(error->code);
    Call_End(call, error->code);
    Conn_Finish(conn);
}

void
Call_OnCallerDisconnect(Call *call)
{
    call->conn = NULL;
    if (call->state == CALL_WAITING && !call->maybe_ran) {
        refund_quota(call);
    }
    /* A request that may run at most once is not cancelled halfway; its
     * answer is discarded. */
    if (call->upstream != NULL && call->route->kind == ROUTE_AT_MOST_ONCE) {
        Upstream_Abandon(call->upstream, call->deadline);
        call->upstream = NULL;
    }
    Call_End(call, "caller_gone");
}

void
Call_OnBytesWritten(Call *call)
{
    if (call->upstream != NULL) {
        Upstream_Pause(call->upstream, false);
    }
}

size_t
Call_AnswerBytes(const Call *call)
{
    return Buffer_AllocatedBytes(call->answer) +
           Buffer_AllocatedBytes(call->partial_event);
}

static const CallError out_of_memory = {
    .status = 503,
    .code = "out_of_memory",
    .message = "The gateway holds too much for callers that read slowly.",
    .retry_after_ms = DEFAULT_RETRY_AFTER_MS,
};

void
Call_CutOff(Call *call)
{
    call->maybe_ran = call->maybe_ran || call->state != CALL_WAITING;
    Call_Fail(call, &out_of_memory);
}

TimeUs
Call_FirstOutputLimit(const Call *call)
{
    if (call->route->first_limit_ms == 0 || call->state == CALL_STREAMING) {
        return 0;
    }
    return call->received_at + call->route->first_limit_ms * US_PER_MS;
}

bool
Call_IsRepeatable(const Call *call)
{
    return call->route->kind == ROUTE_IDEMPOTENT ||
           (call->route->kind == ROUTE_STREAM && call->route->resumable);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Call *call = arg;
    if (call->deadline == 0) {
        Call_Readmit(call);
        return;
    }
    if (call->maybe_ran || call->state != CALL_WAITING) {
        call->maybe_ran = true;
        Rollouts_OnEnd(call, ROLLOUT_FAILED);
        Call_Fail(call, &(CallError){
                            .status = 504,
                            .code = "deadline",
                            .message = "The answer missed the deadline.",
                        });
        return;
    }
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "overloaded",
                        .message = "No endpoint was available in time.",
                        .retry_after_ms = DEFAULT_RETRY_AFTER_MS,
                    });
}

static void
set_timer(Call *call, TimeUs at)
{
    TimeUs span = MAX(at - Clock_Now(), 0);
    struct timeval tv = {.tv_sec = span / US_PER_S,
                         .tv_usec = span % US_PER_S};
    event_add(call->timer, &tv);
}

/* Sets the account that the request's key belongs to.
 * @return NULL on success, else the error to send to the caller. */
static const CallError *
check_key(Call *call)
{
    static const CallError no_lease = {
        .status = 503,
        .code = "no_lease",
        .message = "The gateway has no lease and cannot check the API key.",
        .retry_after_ms = DEFAULT_RETRY_AFTER_MS,
    };
    call->account = NULL;
    if (call->route->is_public || !RouteTable_RequiresKeys(call->table)) {
        return NULL;
    }
    if (!Gateway_HasLease(call->gateway)) {
        return &no_lease;
    }
    if (call->key != NULL) {
        call->account = RouteTable_Account(call->table, call->key);
    }
    return call->account == NULL ? &CallError_Denied : NULL;
}

/* Sets route, service and account from the newest table.
 * @return NULL on success, else the error to send to the caller. */
static const CallError *
route_call(Call *call)
{
    static const CallError not_ready = {
        .status = 503,
        .code = "not_ready",
        .message = "The gateway has not received a configuration yet.",
        .retry_after_ms = NOT_READY_RETRY_AFTER_MS,
    };
    static const CallError service_gone = {
        .status = 503,
        .code = "service_gone",
        .message = "The service that began the stream does not serve the "
                   "route.",
    };
    Gateway *gateway = call->gateway;
    if (gateway->table == NULL) {
        return &not_ready;
    }
    /* service and account point into the old table, which may be freed. */
    call->service = NULL;
    call->account = NULL;
    RouteTable_Unref(call->table);
    call->table = RouteTable_Ref(gateway->table);
    call->route = RouteTable_Match(call->table, call->host, call->target);
    if (call->route == NULL) {
        return &CallError_NoRoute;
    }
    call->service = call->origin.bound
                        ? Route_FindService(call->route, call->origin.service)
                        : Route_PickService(call->route, call->id);
    if (call->service == NULL) {
        return &service_gone;
    }
    const CallError *error = check_key(call);
    if (error != NULL) {
        return error;
    }
    bool own_tier = call->account != NULL && call->account->has_tier;
    call->tier = own_tier ? call->account->tier : call->route->tier;
    call->rank = own_tier ? call->route->tier : 0;
    return NULL;
}

bool
Call_Reroute(Call *call)
{
    bool same = call->table == call->gateway->table;
    const CallError *error =
        same ? (call->key == NULL ? NULL : check_key(call)) : route_call(call);
    if (error == NULL) {
        return true;
    }
    Call_Fail(call, error);
    return false;
}

static double
quota_cost(const Call *call)
{
    if (!call->account->counts_tokens) {
        return 1;
    }
    double tokens = (double)call->prompt_tokens + call->output_tokens;
    return tokens > 0 ? tokens : call->account->default_tokens;
}

static const CallError stopping = {
    .status = 503,
    .code = "stopping",
    .message = "The gateway is stopping and the answer would not end in "
               "time; retry elsewhere.",
    .retry_after_ms = STOPPING_RETRY_AFTER_MS,
};

bool
Call_OutlastsStop(const Call *call)
{
    const Gateway *gateway = call->gateway;
    if (!gateway->stopping || call->route == NULL) {
        return false;
    }
    TimeUs end = gateway->stop_started_at +
                 gateway->options->bounds.stop_ms * US_PER_MS;
    TimeUs deadline =
        MIN(call->caller_deadline,
            call->received_at + call->route->timeout_ms * US_PER_MS);
    TimeUs run = RunTimes_Bound(gateway->run_times, call);
    return MIN(Clock_Now() + run, deadline) > end;
}

void
Call_CheckBarred(Call *call)
{
    Subject barred;
    if (call->state == CALL_WAITING && call->route != NULL &&
        Suspects_FindBarred(call->gateway->suspects, call, &barred))
    {
        Call_FailBarred(call, barred);
    }
}

void
Call_EndStop(Call *call)
{
    if (call->state != CALL_STREAMING) {
        call->maybe_ran = call->maybe_ran || call->state == CALL_DISPATCHED;
        Call_Fail(call, &stopping);
    }
}

bool
Call_CheckStop(Call *call)
{
    if (call->state != CALL_WAITING || call->maybe_ran ||
        !Call_OutlastsStop(call)) {
        return false;
    }
    const Gateway *gateway = call->gateway;
    TimeUs stopping_for = Clock_Now() - gateway->stop_started_at;
    TimeUs bound = RunTimes_Bound(gateway->run_times, call);
    LOG_INFO(GATEWAY_PART,
             "Request would outlast the planned stop. id=%s bound_ms=%lld "
             "stopping_ms=%lld stop_ms=%u",
             call->id, (long long)(bound / US_PER_MS),
             (long long)(stopping_for / US_PER_MS),
             gateway->options->bounds.stop_ms);
    Call_Fail(call, &stopping);
    return true;
}

void
Call_Hold(Call *call, TimeUs until)
{
    g_queue_push_tail(&call->gateway->held_calls, call);
    set_timer(call, until);
}

/* Ends the questions that the call was held for. A question is open only while
 * the call is held for its answer: a late one would refuse a request that
 * runs, or send it again. */
static void
end_questions(Call *call)
{
    Quotas_Forget(call);
    Origins_EndQuestion(call);
}

/* Holds a request that arrived before the configuration or the lease, because
 * the next answer of a control host decides and callers retry only a few
 * times.
 * @return false when the call cannot be held. */
static bool
hold_call(Call *call, const CallError *error)
{
    TimeUs now = Clock_Now();
    TimeUs max_hold_us =
        MIN((call->caller_deadline - now) / HOLD_DIVISOR, HOLD_MAX_US);
    if (error->status != 503 || call->held_until != 0 || max_hold_us <= 0 ||
        !GatewayControl_MayGetLease(call->gateway->control))
    {
        return false;
    }
    call->held_until = now + max_hold_us;
    end_questions(call);
    Call_Hold(call, call->held_until);
    return true;
}

void
Call_Readmit(Call *call)
{
    g_queue_remove(&call->gateway->held_calls, call);
    event_del(call->timer);
    admit_call(call);
}

/* Applies a decision on the call's quota.
 * @return true when the call may proceed at once; else it is delayed, or was
 * refused and freed. */
static bool
apply_quota(Call *call, const QuotaDecision *quota)
{
    if (quota->verdict == QUOTA_REFUSED) {
        CallLog_OverLimit(call, quota);
        Call_Fail(call, &(CallError){
                            .status = 429,
                            .code = "over_limit",
                            .message = "The account exceeds its rate limit.",
                            .retry_after_ms = quota->wait_ms,
                        });
        return false;
    }
    call->cost = quota->cost;
    if (quota->wait_ms > 0) {
        set_timer(call, Clock_Now() + quota->wait_ms * US_PER_MS);
        return false;
    }
    return true;
}

/* Takes the call's cost from its account's limit.
 * @return false when the call is held or delayed, or was refused and freed. */
static bool
take_quota(Call *call)
{
    if (call->account == NULL || call->cost > 0) {
        return true;
    }
    BucketRequest request = {
        .cost = quota_cost(call),
        .rank = call->route->tier,
        .delay_ms =
            MIN(call->route->latency_target_ms / DELAY_DIVISOR, DELAY_MAX_MS),
    };
    QuotaDecision quota = Quotas_Take(call, &request);
    if (quota.verdict == QUOTA_ASKED) {
        Call_Hold(call, quota.ask_until);
        return false;
    }
    return apply_quota(call, &quota);
}

void
Call_OnQuota(Call *call, const QuotaDecision *quota)
{
    g_queue_remove(&call->gateway->held_calls, call);
    event_del(call->timer);
    if (apply_quota(call, quota)) {
        admit_call(call);
    }
}

static void
admit_call(Call *call)
{
    if (Held_RefusesNew(call->gateway->held)) {
        Call_Fail(call, &out_of_memory);
        return;
    }
    const CallError *error = route_call(call);
    if (error != NULL) {
        if (!hold_call(call, error)) {
            Call_Fail(call, error);
        }
        return;
    }
    Subject barred;
    if (Suspects_FindBarred(call->gateway->suspects, call, &barred)) {
        Call_FailBarred(call, barred);
        return;
    }
    if (!Origins_Resolve(call) || !take_quota(call)) {
        return;
    }
    if (Call_CheckStop(call)) {
        return;
    }
    end_questions(call);
    call->deadline =
        MIN(call->caller_deadline,
            call->received_at + call->route->timeout_ms * US_PER_MS);
    set_timer(call, call->deadline);
    Retries_AddRequest(call->gateway->retries, call->service);
    ServiceQueue_Add(call->gateway, call);
}

void
Call_Start(Conn *conn, Gateway *gateway, const H1Head *head,
           struct evbuffer *body)
{
    const GatewayFields *fields = gateway->options->fields;
    const char *id = H1Head_Get(head, fields->request_id);
    const char *host = H1Head_Get(head, "Host");
    const char *after = H1Head_Get(head, fields->last_event);
    Call *call = g_new0(Call, 1);
    call->gateway = gateway;
    call->conn = conn;
    call->id = g_strdup(id != NULL ? id : "");
    call->method = g_strdup(head->method);
    call->head_only = strcmp(head->method, "HEAD") == 0;
    call->target = g_strdup(head->target);
    call->host = g_strdup(host != NULL ? host : "");
    call->key = g_strdup(Call_FindKey(head));
    call->received_at = Clock_Now();
    call->caller_deadline = call->received_at;
    call->timer = event_new(gateway->base, -1, 0, on_timer, call);
    call->failed_endpoints = g_ptr_array_new_with_free_func(g_free);
    call->carried_by = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    call->body = evbuffer_new();
    evbuffer_add_buffer(call->body, body);
    call->answer_head = evbuffer_new();
    call->answer = evbuffer_new();
    call->partial_event = evbuffer_new();
    call->events = EVENTS_INIT;
    if (after != NULL) {
        call->events.last_id = strtoll(after, NULL, 10);
    }
    Call_ReadFields(call, head);
    gateway->call_count++;
    Conn_SetCall(conn, call);
    if (id == NULL) {
        Call_Fail(call, &(CallError){
                            .status = 400,
                            .code = "invalid",
                            .message = "The request id field is missing.",
                        });
        return;
    }
    Call_ReadDeadline(call, head);
    admit_call(call);
}
