/** @file
 * Gateway: forwards an endpoint's answer to the caller.
 */
#include <string.h>
#include <strings.h>

#include "gateway/state.h"
#include "kernel/buffer.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* Largest answer that is not a stream. It is buffered until complete. */
#define ANSWER_MAX_BYTES (8u * 1024 * 1024)
/* Time for which the rest of an answer that is not forwarded is read. */
#define DISCARD_MAX_US (1 * US_PER_S)

/* Prints the head for the caller, without the framing fields. */
static void
print_head(Call *call, const H1Head *head)
{
    const GatewayFields *fields = call->gateway->options->fields;
    struct evbuffer *out = call->answer_head;
    evbuffer_drain(out, evbuffer_get_length(out));
    evbuffer_add_printf(out, "HTTP/1.1 %u Status\r\n", head->status);
    for (guint i = 0; i < head->fields->len; i++) {
        const H1Field *field = &g_array_index(head->fields, H1Field, i);
        if (!Call_IsHopField(field->name) &&
            strcasecmp(field->name, fields->load) != 0)
        {
            evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
        }
    }
}

/* Prints the framing fields and ends the head. @p is_complete means that the
 * whole body is buffered, so its length is known. */
static void
print_framing(Call *call, bool is_complete)
{
    struct evbuffer *out = call->answer_head;
    if (is_complete && !call->head_only) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n",
                            evbuffer_get_length(call->answer));
    }
    else if (!is_complete && !Conn_IsHttp10(call->conn)) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    if (Conn_WillClose(call->conn)) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

/* Sends the buffered events of a stream, after the head if it is unsent. */
static void
forward_events(Call *call)
{
    if (evbuffer_get_length(call->answer) == 0) {
        return;
    }
    if (call->state != CALL_STREAMING) {
        call->state = CALL_STREAMING;
        Origins_OnFirstEvent(call);
        Rollouts_OnEnd(call, ROLLOUT_ANSWERED);
        call->first_output_at = Clock_Now();
        print_framing(call, false);
        Conn_SendHead(call->conn, call->answer_head);
        Keepers_ReportPrefilled(call);
    }
    TimeUs now = Clock_Now();
    if (call->last_event_at != 0) {
        call->longest_event_gap =
            MAX(call->longest_event_gap, now - call->last_event_at);
    }
    call->last_event_at = now;
    Conn_SendPart(call->conn, call->answer);
    if (Conn_UnsentBytes(call->conn) > Held_CallerPart(call->gateway->held)) {
        Upstream_Pause(call->upstream, true);
    }
}

static bool
is_success(const H1Head *head)
{
    return head->status >= 200 && head->status < 300;
}

/* Returns why an endpoint's head cannot be forwarded, or NULL if it can. */
static const char *
find_fault(const Call *call, const H1Head *head)
{
    const GatewayFields *fields = call->gateway->options->fields;
    if (H1Head_Get(head, "Content-Encoding") != NULL) {
        return "the answer's body is encoded";
    }
    if (is_success(head) && H1Head_Get(head, fields->signature) == NULL) {
        return "the endpoint's signature is missing";
    }
    return NULL;
}

/* Ends the attempt after an answer that cannot be used. */
static void
cancel_and_retry(Call *call, const char *why)
{
    Upstream_Cancel(call->upstream);
    call->upstream = NULL;
    Call_Retry(call, ATTEMPT_MAYBE_RAN, why);
}

/* Detaches the call from its attempt. The rest of the endpoint's answer is
 * read and discarded, so that the connection can be reused. */
static void
abandon_upstream(Call *call)
{
    Upstream_Abandon(call->upstream, Clock_Now() + DISCARD_MAX_US);
    call->upstream = NULL;
}

/* Handles an answer which states that the endpoint did not run the request. */
static void
on_refused(Call *call, const H1Head *head)
{
    bool other_instance = head->status == HTTP_OTHER_INSTANCE;
    if (other_instance) {
        if (Call_Field(call, call->gateway->options->fields->engine_version) ==
            NULL) {
            EndWatch_OnEnded(call->endpoint,
                             "another instance has its address");
        }
        Endpoint_OnFailure(call->endpoint, "another instance has the address");
    }
    else {
        Endpoint_OnAnswer(call->endpoint, false);
    }
    abandon_upstream(call);
    Call_Retry(call, other_instance ? ATTEMPT_OTHER_INSTANCE : ATTEMPT_REFUSED,
               other_instance ? "another instance"
                              : "the endpoint refused the request");
}

static bool
is_event_stream(const H1Head *head)
{
    const char *type = H1Head_Get(head, "Content-Type");
    return type != NULL &&
           g_ascii_strncasecmp(type, "text/event-stream",
                               strlen("text/event-stream")) == 0;
}

static void
on_head(void *owner, const H1Head *head)
{
    Call *call = owner;
    const GatewayFields *fields = call->gateway->options->fields;
    Rollouts_OnHead(call);
    if (GatewayFields_SayNotRun(fields, head)) {
        on_refused(call, head);
        return;
    }
    bool failure =
        head->status >= 500 || GatewayErrors_MeansNotRun(head->status);
    Endpoint_OnAnswer(call->endpoint, !failure);
    if (failure) {
        Rollouts_OnEnd(call, ROLLOUT_FAILED);
    }
    const char *fault = find_fault(call, head);
    if (fault != NULL) {
        cancel_and_retry(call, fault);
        return;
    }
    bool retry = failure && Call_IsRepeatable(call) &&
                 call->attempts < call->route->max_attempts;
    if (retry || (failure && call->state == CALL_STREAMING) ||
        GatewayErrors_MeansNotRun(head->status))
    {
        abandon_upstream(call);
        Call_Retry(call, ATTEMPT_MAYBE_RAN, "the endpoint failed");
        return;
    }
    if (call->state != CALL_STREAMING) {
        call->status = head->status;
        call->is_stream = call->route->kind == ROUTE_STREAM &&
                          is_success(head) && is_event_stream(head);
        print_head(call, head);
        return;
    }
    if (head->status != call->status || !is_event_stream(head)) {
        cancel_and_retry(call, "the answer does not resume the stream");
        return;
    }
    Events_ExpectRest(&call->events);
}

void
Call_DropAnswer(Call *call)
{
    call->gateway->answer_bytes -= call->counted_bytes;
    call->counted_bytes = 0;
    evbuffer_drain(call->answer, evbuffer_get_length(call->answer));
    evbuffer_drain(call->partial_event,
                   evbuffer_get_length(call->partial_event));
}

/* Buffers a part of an answer that is sent when it is complete. */
static void
buffer_body(Call *call, struct evbuffer *body)
{
    size_t length = evbuffer_get_length(body);
    call->counted_bytes += length;
    call->gateway->answer_bytes += length;
    Buffer_AppendPacked(call->answer, body);
    Held_OnUnsent(call->gateway->held, call->gateway->answer_bytes);
    bool too_long = call->counted_bytes > ANSWER_MAX_BYTES;
    if (!too_long &&
        call->gateway->answer_bytes <= Held_AnswersMax(call->gateway->held))
    {
        return;
    }
    cancel_and_retry(call, too_long
                               ? "the answer exceeds the size limit"
                               : "the answers together exceed the size limit");
}

static void
on_body(void *owner, struct evbuffer *body)
{
    Call *call = owner;
    if (!call->is_stream) {
        buffer_body(call, body);
        return;
    }
    if (call->events.forwarded_count == call->forwarded_before &&
        !Endpoint_MayContinue(call->endpoint, call))
    {
        cancel_and_retry(call, "the endpoint may run another version by now");
        return;
    }
    if (evbuffer_get_length(call->partial_event) == 0) {
        evbuffer_add_buffer(call->partial_event, body);
    }
    else {
        Buffer_AppendPacked(call->partial_event, body);
    }
    switch (Events_Forward(&call->events, call->partial_event, call->answer)) {
    case EVENTS_FORWARDED:
        forward_events(call);
        break;
    case EVENTS_TOO_LONG:
        cancel_and_retry(call, "an event exceeds the size limit");
        break;
    case EVENTS_NOT_THE_REST:
        cancel_and_retry(call, "the events do not resume the stream");
        break;
    }
}

static void
finish_stream(Call *call)
{
    Conn *conn = call->conn;
    if (call->state != CALL_STREAMING) {
        print_framing(call, true);
        Conn_SendHead(conn, call->answer_head);
    }
    else {
        Conn_EndParts(conn);
    }
}

static bool
ends_inside_event(const Call *call)
{
    return call->is_stream && evbuffer_get_length(call->partial_event) > 0;
}

/* A closed connection ends the rest of a stream only after an event of it: the
 * endpoint may have stopped before. */
static bool
may_end(const void *owner)
{
    const Call *call = owner;
    bool lacks_rest = call->is_stream && call->events.expect_rest;
    return !lacks_rest && !ends_inside_event(call);
}

static void
on_done(void *owner)
{
    Call *call = owner;
    call->upstream = NULL;
    Conn *conn = call->conn;
    if (ends_inside_event(call)) {
        Call_Retry(call, ATTEMPT_MAYBE_RAN,
                   "the stream ended inside an event");
        return;
    }
    if (!call->is_stream && call->status < 500) {
        Endpoint_AddRunTime(call->endpoint, Clock_Now() - call->sent_at);
    }
    if (call->status < 300) {
        RunTimes_Add(call->gateway->run_times, call);
    }
    Rollouts_OnEnd(call,
                   call->is_stream ? ROLLOUT_NO_EVIDENCE : ROLLOUT_ANSWERED);
    Call_ReleaseEndpoint(call, SLOT_SERVED);
    if (call->is_stream) {
        finish_stream(call);
    }
    else {
        call->first_output_at = Clock_Now();
        print_framing(call, true);
        Conn_SendHead(conn, call->answer_head);
        Conn_SendBody(conn, call->answer);
    }
    Counter_Add(Counter_Get("gateway_answered_total",
                            "Requests answered by an endpoint."),
                1);
    Call_End(call, "answered");
    Conn_Finish(conn);
}

static void
on_failed(void *owner, UpstreamFailure failure, const char *why)
{
    Call *call = owner;
    call->upstream = NULL;
    if (failure == UPSTREAM_NOT_SENT || failure == UPSTREAM_REFUSED) {
        Call_Retry(call, ATTEMPT_NOT_SENT, why);
        return;
    }
    Call_Retry(call, ATTEMPT_MAYBE_RAN, why);
}

const UpstreamOps Call_UpstreamOps = {
    .head = on_head,
    .body = on_body,
    .may_end = may_end,
    .done = on_done,
    .failed = on_failed,
};
