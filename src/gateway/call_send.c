/** @file
 * Gateway: sends a request to an endpoint, and retries it where that is safe.
 */
#include <string.h>
#include <strings.h>

#include "gateway/state.h"
#include "gateway/zones.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* Retry-After of a request that no endpoint ran. */
#define NOT_RUN_RETRY_AFTER_MS 200
/* An attempt that did not reach its endpoint is repeated until this many
 * endpoints have failed the request. */
#define UNSENT_ATTEMPTS_MAX 4
/* Least time to the deadline for another attempt. */
#define RETRY_MIN_LEFT_US (20 * US_PER_MS)

/* Hop-by-hop fields (RFC 9110, 7.6.1). */
static const char *const hop_fields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Trailer",
    "Upgrade",    "Content-Length",    "Expect",
    NULL,
};

static bool
is_listed(const char *const *names, const char *name)
{
    for (; *names != NULL; names++) {
        if (strcasecmp(*names, name) == 0) {
            return true;
        }
    }
    return false;
}

bool
Call_IsHopField(const char *name)
{
    return is_listed(hop_fields, name);
}

/* Returns whether a Connection field of the request lists this field. */
static bool
is_connection_option(const Call *call, const char *name)
{
    for (guint i = 0; i < call->fields->len; i++) {
        const H1Field *field = &g_array_index(call->fields, H1Field, i);
        if (strcasecmp(field->name, "Connection") != 0) {
            continue;
        }
        gchar **options = g_strsplit(field->value, ",", -1);
        bool found = false;
        for (gchar **option = options; *option != NULL; option++) {
            found = found || strcasecmp(g_strstrip(*option), name) == 0;
        }
        g_strfreev(options);
        if (found) {
            return true;
        }
    }
    return false;
}

/* Returns whether a field of the request is forwarded to the endpoint. */
static bool
is_forwarded(const Call *call, const char *name)
{
    const GatewayFields *fields = call->gateway->options->fields;
    if (Call_IsHopField(name) || is_listed(fields->reserved, name) ||
        strcasecmp(name, fields->deadline_ms) == 0 ||
        strcasecmp(name, fields->account) == 0 ||
        strcasecmp(name, fields->instance) == 0)
    {
        return false;
    }
    if (strcasecmp(name, fields->last_event) == 0) {
        return false; /* print_request() adds this field */
    }
    if (strcasecmp(name, "Authorization") == 0) {
        return !RouteTable_RequiresKeys(call->table);
    }
    return strcasecmp(name, "Host") == 0 || !is_connection_option(call, name);
}

static void
print_request(const Call *call, const Endpoint *endpoint, struct evbuffer *out)
{
    const GatewayFields *fields = call->gateway->options->fields;
    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", call->method, call->target);
    for (guint i = 0; i < call->fields->len; i++) {
        const H1Field *field = &g_array_index(call->fields, H1Field, i);
        if (is_forwarded(call, field->name)) {
            evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
        }
    }
    TimeUs left = call->deadline - Clock_Now();
    evbuffer_add_printf(out, "%s: %lld\r\n%s: %s\r\n", fields->deadline_ms,
                        (long long)MAX(left / US_PER_MS, 1), fields->instance,
                        endpoint->id);
    if (call->account != NULL) {
        evbuffer_add_printf(out, "%s: %s\r\n", fields->account,
                            call->account->name);
    }
    if (call->events.last_id >= 0) {
        evbuffer_add_printf(out, "%s: %lld\r\n", fields->last_event,
                            (long long)call->events.last_id);
    }
    size_t length = evbuffer_get_length(call->body);
    if (length > 0 || (strcmp(call->method, "GET") != 0 && !call->head_only)) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", length);
    }
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add_buffer_reference(out, call->body);
}

void
Call_FailBarred(Call *call, Subject subject)
{
    LOG_WARN(GATEWAY_PART,
             "Request is quarantined. id=%s subject=%016llx kind=%s "
             "crashes=%u",
             call->id, (unsigned long long)subject.hash,
             Subject_KindName(subject),
             Suspects_CrashCount(call->gateway->suspects, subject));
    Call_Fail(call, &(CallError){
                        .status = call->maybe_ran ? 502 : 503,
                        .code = "quarantined",
                        .message = "The request is quarantined because it or "
                                   "a part of its prompt crashed several "
                                   "endpoints.",
                    });
}

void
Call_SendTo(Call *call, Endpoint *endpoint)
{
    if (!Call_Reroute(call)) {
        return;
    }
    if (!Route_HasService(call->route, endpoint->service) ||
        !Endpoint_MayContinue(endpoint, call) ||
        !Rollouts_MayServe(endpoint, call))
    {
        /* The new configuration routes the call to another service, or the
         * endpoint has changed. */
        Keepers_EndWant(call, SLOT_NOT_SERVED);
        ServiceQueue_Add(call->gateway, call);
        return;
    }
    Subject barred;
    if (Suspects_FindBarred(call->gateway->suspects, call, &barred)) {
        Call_FailBarred(call, barred);
        return;
    }
    if (Call_CheckStop(call)) {
        return; /* it has waited too long for the endpoint */
    }
    Suspects_OnSend(call->gateway->suspects, call);
    Zones_OnSent(call, endpoint);
    Call_Fingerprint(call);
    struct evbuffer *request = evbuffer_new();
    print_request(call, endpoint, request);
    UpstreamRequest sent = {
        .bytes = request,
        .id = call->id,
        .subjects = &call->subjects,
        .require_live = !Call_IsRepeatable(call),
        .head_only = call->head_only,
        .resumed = call->events.last_id >= 0,
        .carried_by = call->carried_by,
    };
    call->attempts++;
    call->upstream = Upstream_Send(endpoint, &sent, &Call_UpstreamOps, call);
    evbuffer_free(request);
    if (call->upstream == NULL) {
        Endpoint_OnFailure(endpoint, "connection could not be started");
        Call_Retry(call, ATTEMPT_NOT_SENT, "connection could not be started");
        return;
    }
    uint64_t number = Upstream_Number(call->upstream);
    g_array_append_val(call->carried_by, number);
    Rest_OnSent(&endpoint->rest, Clock_Now());
    if (endpoint->consecutive_failures > 0) {
        endpoint->probing = true;
    }
    call->endpoint = endpoint;
    g_strlcpy(call->last_endpoint_id, endpoint->id,
              sizeof(call->last_endpoint_id));
    g_free(call->last_software);
    call->last_software = g_strdup(endpoint->software);
    Endpoint_Ref(endpoint);
    Rollouts_OnSend(call, endpoint);
    endpoint->running++;
    call->state =
        call->state == CALL_STREAMING ? CALL_STREAMING : CALL_DISPATCHED;
    call->sent_at = Clock_Now();
    call->forwarded_before = call->events.forwarded_count;
}

static void
fail_not_run(Call *call, const char *why)
{
    LOG_DEBUG(GATEWAY_PART, "Request was not run. id=%s why=\"%s\"", call->id,
              why);
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "unavailable",
                        .message = "No endpoint accepted the request.",
                        .retry_after_ms = MAX(ServiceQueue_RestMs(call),
                                              NOT_RUN_RETRY_AFTER_MS),
                    });
}

static void
fail_unknown(Call *call)
{
    call->maybe_ran = true;
    Call_Fail(call, &(CallError){
                        .status = 502,
                        .code = "endpoint_failed",
                        .message = "The endpoint failed while processing the "
                                   "request.",
                    });
}

/* Returns whether the call may be sent to another endpoint. Takes a retry
 * from the budget if the attempt reached its endpoint. */
static bool
may_retry(const Call *call, AttemptOutcome outcome)
{
    if (call->deadline - Clock_Now() < RETRY_MIN_LEFT_US ||
        Call_OutlastsStop(call))
    {
        return false;
    }
    switch (outcome) {
    case ATTEMPT_NOT_SENT:
        return call->failed_endpoints->len < UNSENT_ATTEMPTS_MAX;
    case ATTEMPT_OTHER_INSTANCE:
        return call->failed_endpoints->len < UNSENT_ATTEMPTS_MAX &&
               Retries_Take(call->gateway->retries, call->service);
    case ATTEMPT_REFUSED:
        return call->attempts < call->route->max_attempts &&
               Retries_Take(call->gateway->retries, call->service);
    case ATTEMPT_MAYBE_RAN:
        return Call_IsRepeatable(call) &&
               call->attempts < call->route->max_attempts &&
               Retries_Take(call->gateway->retries, call->service);
    }
    return false;
}

static const char *const outcome_names[] = {
    [ATTEMPT_NOT_SENT] = "not_sent",
    [ATTEMPT_OTHER_INSTANCE] = "other_instance",
    [ATTEMPT_REFUSED] = "not_run",
    [ATTEMPT_MAYBE_RAN] = "unknown",
};

void
Call_Retry(Call *call, AttemptOutcome outcome, const char *why)
{
    if (call->endpoint != NULL) {
        g_ptr_array_add(call->failed_endpoints, g_strdup(call->endpoint->id));
    }
    if ((outcome == ATTEMPT_NOT_SENT || outcome == ATTEMPT_OTHER_INSTANCE) &&
        call->attempts > 0)
    {
        call->attempts--;
    }
    call->maybe_ran = call->maybe_ran || outcome == ATTEMPT_MAYBE_RAN;
    Rollouts_OnEnd(call, outcome == ATTEMPT_MAYBE_RAN ? ROLLOUT_FAILED
                                                      : ROLLOUT_NO_EVIDENCE);
    Call_ReleaseEndpoint(call, outcome == ATTEMPT_OTHER_INSTANCE
                                   ? SLOT_OTHER_INSTANCE
                                   : SLOT_NOT_SERVED);
    bool retry = Events_CanGoOn(&call->events) && Origins_CanGoOn(call) &&
                 may_retry(call, outcome);
    char parts[SUBJECTS_TEXT_BYTES];
    LOG_INFO(GATEWAY_PART,
             "Endpoint did not serve. id=%s endpoint=%s outcome=%s "
             "attempts=%u again=%s events=%llu fingerprint=%016llx parts=%s "
             "why=\"%s\"",
             call->id, call->last_endpoint_id, outcome_names[outcome],
             call->attempts, retry ? "yes" : "no",
             (unsigned long long)call->events.forwarded_count,
             (unsigned long long)Call_Fingerprint(call),
             Subjects_PrintParts(&call->subjects, parts), why);
    if (retry) {
        if (call->state == CALL_DISPATCHED) {
            call->state = CALL_WAITING;
        }
        Call_DropAnswer(call);
        ServiceQueue_Add(call->gateway, call);
    }
    else if (call->maybe_ran) {
        fail_unknown(call);
    }
    else {
        fail_not_run(call, why);
    }
}
