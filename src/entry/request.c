/** @file
 * Life of a request: claim, wants, grant, dispatch, answer, end.
 *
 * Sending dispatch is the commit point. The request is marked spent first,
 * and a spent request is never offered again.
 */
#include "entry/state.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "kernel/log.h"

static const HttpError error_unknown = {
    .status = 502,
    .code = "outcome_unknown",
    .message = "The endpoint was lost after the request was sent to it.",
    .outcome = "unknown",
};
static const HttpError error_broken = {
    .status = 502,
    .code = "endpoint_failed",
    .message = "The endpoint failed while it ran the request.",
    .outcome = "unknown",
};
static const HttpError error_deadline = {
    .status = 504,
    .code = "deadline",
    .message = "No endpoint could take the request before its deadline.",
    .outcome = "not_run",
    .retry_after_ms = 1000,
};

static Wire__RequestId
wire_id(const Request *request)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.high = request->work.id.high;
    id.low = request->work.id.low;
    return id;
}

static uint32_t
left_ms(const Request *request)
{
    TimeUs left = request->work.deadline - Clock_Now();
    return left <= 0 ? 1 : (uint32_t)(left / US_PER_MS) + 1;
}

static void
send_withdraw(Request *request, Peer *peer)
{
    Wire__RequestId id = wire_id(request);
    Wire__Withdraw withdraw = WIRE__WITHDRAW__INIT;
    withdraw.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_WITHDRAW;
    frame.withdraw = &withdraw;
    Link_Send(peer->link, &frame);
}

static void
withdraw_wants(Request *request, const Peer *except)
{
    for (uint32_t i = 0; i < request->want_count; i++) {
        if (request->wants[i] != except) {
            send_withdraw(request, request->wants[i]);
        }
    }
    request->want_count = 0;
}

static void
send_cancel(Request *request)
{
    Wire__RequestId id = wire_id(request);
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    cancel.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CANCEL;
    frame.cancel = &cancel;
    Link_Send(request->dispatched_to->link, &frame);
}

void
Request_Free(Request *request)
{
    g_hash_table_remove(request->entry->requests, &request->work.id);
    if (request->caller_closed != NULL) {
        event_free(request->caller_closed);
    }
    if (request->deadline != NULL) {
        event_free(request->deadline);
    }
    if (request->hash != NULL) {
        XXH3_freeState(request->hash);
    }
    if (request->kept != NULL) {
        g_byte_array_unref(request->kept);
    }
    g_free(request->account);
    g_free(request->method);
    g_free(request->path);
    g_free(request->model);
    g_free(request->service);
    g_free(request->content_type);
    g_free(request->idempotency_key);
    g_free(request->body);
    g_free(request->answer_type);
    g_free(request);
}

/* Ends an answer that has begun without letting it look whole. */
static void
break_answer(Request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request->http);
    request->http = NULL;
    evhttp_connection_free(connection);
}

void
Request_Fail(Request *request, const HttpError *error)
{
    withdraw_wants(request, NULL);
    if (request->http != NULL && request->head_sent) {
        break_answer(request);
    }
    else if (request->http != NULL) {
        Http_ReplyError(request->http, error);
    }
    request->state = REQUEST_ENDED;
    Request_Free(request);
}

/* Records what became of a claimed request before it fails. */
static void
fail_spent(Request *request, const HttpError *error)
{
    if (request->idempotency_key != NULL) {
        EntryControl_SendClaim(
            request, WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN, false);
    }
    Request_Fail(request, error);
}

static void
fail_not_run(Request *request, const HttpError *error)
{
    if (request->idempotency_key != NULL && request->state != REQUEST_CLAIMING)
    {
        EntryControl_SendClaim(
            request, WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE, false);
    }
    Request_Fail(request, error);
}

static void
on_deadline(evutil_socket_t fd, short events, void *arg)
{
    Request *request = arg;
    if (request->state != REQUEST_SPENT) {
        fail_not_run(request, &error_deadline);
        return;
    }
    send_cancel(request);
    fail_spent(request, &error_unknown);
}

static void
on_caller_closed(evutil_socket_t fd, short events, void *arg)
{
    Request *request = arg;
    /* A non-idempotent request that was sent runs on; its answer is kept. */
    if (request->state == REQUEST_SPENT && request->idempotency_key != NULL) {
        event_del(request->caller_closed);
        struct evhttp_request *http = request->http;
        request->http = NULL;
        evhttp_connection_free(evhttp_request_get_connection(http));
        return;
    }
    if (request->state == REQUEST_SPENT) {
        send_cancel(request);
    }
    request->head_sent = true;
    fail_not_run(request, &error_deadline);
}

static void
fill_want(const Request *request, Wire__Want *want)
{
    const Work *work = &request->work;
    want->tier = work->tier;
    want->deadline_ms = left_ms(request);
    want->model = request->model == NULL ? "" : request->model;
    want->service = request->service == NULL ? "" : request->service;
    want->prompt_tokens = work->prompt_tokens;
    want->output_tokens = work->output_tokens;
    want->prefix_hash = (uint64_t *)work->prefix;
    want->n_prefix_hash = work->prefix_count;
    want->fingerprint = work->fingerprint;
    want->alone = work->alone;
}

static void
send_want(Request *request, Peer *peer)
{
    Wire__RequestId id = wire_id(request);
    Wire__Want want = WIRE__WANT__INIT;
    want.id = &id;
    fill_want(request, &want);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_WANT;
    frame.want = &want;
    if (Link_Send(peer->link, &frame) == ERR_OK) {
        request->wants[request->want_count++] = peer;
    }
}

static void
refuse(Request *request, RefuseReason reason, uint32_t retry_after_ms)
{
    HttpError error = {
        .status = 503,
        .code = Work_ReasonName(reason),
        .message = "No endpoint takes this request now.",
        .outcome = "not_run",
        .retry_after_ms = retry_after_ms,
    };
    fail_not_run(request, &error);
}

static void
offer(Request *request)
{
    Entry *entry = request->entry;
    request->state = REQUEST_WANTING;
    PlacePick pick;
    if (!Place_Pick(entry->places, &request->work, Clock_Now(), &pick)) {
        refuse(request, pick.reason, pick.retry_after_ms);
        return;
    }
    for (uint32_t i = 0; i < pick.count; i++) {
        Peer *peer = EntryPeers_ByPlace(entry, pick.endpoints[i]);
        if (peer != NULL) {
            send_want(request, peer);
        }
    }
    if (request->want_count == 0) {
        refuse(request, REFUSE_LEAVING, 1000);
    }
}

static void
watch_caller(Request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request->http);
    struct bufferevent *socket = evhttp_connection_get_bufferevent(connection);
    request->caller_closed =
        event_new(request->entry->base, bufferevent_getfd(socket),
                  EV_CLOSED | EV_PERSIST, on_caller_closed, request);
    event_add(request->caller_closed, NULL);
}

void
Request_Begin(Request *request)
{
    Entry *entry = request->entry;
    g_hash_table_insert(entry->requests, &request->work.id, request);
    request->hash = XXH3_createState();
    XXH3_64bits_reset(request->hash);
    watch_caller(request);
    request->deadline = event_new(entry->base, -1, 0, on_deadline, request);
    uint32_t left = left_ms(request);
    struct timeval delay = {
        .tv_sec = left / 1000,
        .tv_usec = (left % 1000) * US_PER_MS,
    };
    event_add(request->deadline, &delay);
    if (request->idempotency_key == NULL) {
        offer(request);
        return;
    }
    request->state = REQUEST_CLAIMING;
    request->kept = g_byte_array_new();
    EntryControl_SendClaim(request, WIRE__COMMAND_KIND__COMMAND_CLAIM, true);
}

static void
give_kept_answer(Request *request, const Wire__CommandReply *reply)
{
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, reply->answer.data, reply->answer.len);
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(request->http);
    evhttp_add_header(headers, "Content-Type", reply->content_type);
    evhttp_add_header(headers, "X-Laurellift-Replayed", "true");
    evhttp_send_reply(request->http, (int)reply->status, NULL, out);
    evbuffer_free(out);
    Request_Free(request);
}

void
Request_Claimed(Request *request, const Wire__CommandReply *reply)
{
    if (request->state != REQUEST_CLAIMING) {
        return;
    }
    HttpError error = {.outcome = "not_run"};
    switch (reply->claim) {
    case WIRE__CLAIM_STATE__CLAIM_GRANTED:
        offer(request);
        return;
    case WIRE__CLAIM_STATE__CLAIM_FINISHED:
        give_kept_answer(request, reply);
        return;
    case WIRE__CLAIM_STATE__CLAIM_RUNNING:
        error.status = 409;
        error.code = "running";
        error.message = "A request with this key is running.";
        error.outcome = "unknown";
        error.retry_after_ms = 1000;
        break;
    case WIRE__CLAIM_STATE__CLAIM_LOST:
        error.status = 409;
        error.code = "outcome_unknown";
        error.message = "A request with this key ended with no known outcome.";
        error.outcome = "unknown";
        break;
    case WIRE__CLAIM_STATE__CLAIM_MISMATCH:
        error.status = 422;
        error.code = "key_reused";
        error.message = "This key was used with another body.";
        break;
    default:
        error.status = 503;
        error.code = "control_unavailable";
        error.message = "The claim could not be recorded.";
        error.retry_after_ms = 1000;
        break;
    }
    Request_Fail(request, &error);
}

static void
dispatch(Request *request, Peer *peer, const Wire__Grant *grant)
{
    /* Commit point: spent before the frame is queued. */
    request->state = REQUEST_SPENT;
    request->dispatched_to = peer;
    request->grant_id = grant->grant_id;
    request->dispatched_at = Clock_Now();
    withdraw_wants(request, peer);
    Wire__RequestId id = wire_id(request);
    Wire__Header type = WIRE__HEADER__INIT;
    type.name = "Content-Type";
    type.value = request->content_type;
    Wire__Header *headers[] = {&type};
    Wire__Dispatch message = WIRE__DISPATCH__INIT;
    message.id = &id;
    message.grant_id = grant->grant_id;
    message.deadline_ms = left_ms(request);
    message.method = request->method;
    message.path = request->path;
    message.headers = headers;
    message.n_headers = request->content_type == NULL ? 0 : 1;
    message.body.data = (uint8_t *)request->body;
    message.body.len = request->body_length;
    message.fingerprint = request->work.fingerprint;
    message.idempotent = request->idempotency_key == NULL;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_DISPATCH;
    frame.dispatch = &message;
    int result = Link_Send(peer->link, &frame);
    if (result != ERR_OK) {
        /* The frame was never queued, so it cannot have run. */
        refuse(request, REFUSE_LEAVING, 1000);
        return;
    }
    Place_Dispatched(request->entry->places, peer->place, &request->work,
                     request->dispatched_at);
}

static void
on_grant(Request *request, Peer *peer, const Wire__Grant *grant)
{
    if (request->state != REQUEST_WANTING) {
        send_withdraw(request, peer);
        return;
    }
    dispatch(request, peer, grant);
}

static void
forget_want(Request *request, const Peer *peer)
{
    for (uint32_t i = 0; i < request->want_count; i++) {
        if (request->wants[i] == peer) {
            request->wants[i] = request->wants[--request->want_count];
            return;
        }
    }
}

static void
on_refuse(Request *request, Peer *peer, const Wire__Refuse *message)
{
    RefuseReason reason = (RefuseReason)message->reason;
    bool of_dispatch = request->state == REQUEST_SPENT &&
                       request->dispatched_to == peer &&
                       message->grant_id == request->grant_id;
    if (of_dispatch) {
        refuse(request, reason, message->retry_after_ms);
        return;
    }
    if (request->state != REQUEST_WANTING) {
        return;
    }
    forget_want(request, peer);
    if (request->want_count == 0) {
        refuse(request, reason, message->retry_after_ms);
    }
}

static void
on_head(Request *request, const Wire__AnswerHead *head)
{
    request->answer_status = head->status;
    request->answer_type = g_strdup(head->content_type);
    if (request->http == NULL) {
        return;
    }
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(request->http);
    if (head->content_type[0] != '\0') {
        evhttp_add_header(headers, "Content-Type", head->content_type);
    }
    request->head_sent = true;
    evhttp_send_reply_start(request->http, (int)head->status, NULL);
}

static void
on_piece(Request *request, const Wire__AnswerPiece *piece)
{
    if (piece->offset != request->received) {
        fail_spent(request, &error_unknown);
        return;
    }
    if (request->first_piece == 0) {
        request->first_piece = Clock_Now();
    }
    request->received += piece->data.len;
    XXH3_64bits_update(request->hash, piece->data.data, piece->data.len);
    if (request->kept != NULL) {
        g_byte_array_append(request->kept, piece->data.data,
                            (guint)piece->data.len);
    }
    if (request->http == NULL) {
        return;
    }
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, piece->data.data, piece->data.len);
    evhttp_send_reply_chunk(request->http, out);
    evbuffer_free(out);
}

static void
end_whole(Request *request)
{
    if (request->idempotency_key != NULL) {
        EntryControl_SendClaim(request, WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE,
                               false);
    }
    if (request->http != NULL) {
        evhttp_send_reply_end(request->http);
    }
    request->state = REQUEST_ENDED;
    Request_Free(request);
}

static void
on_end(Request *request, Peer *peer, const Wire__AnswerEnd *end)
{
    Entry *entry = request->entry;
    bool whole = end->outcome == WIRE__END_OUTCOME__END_COMPLETE &&
                 end->length == request->received &&
                 end->hash == XXH3_64bits_digest(request->hash);
    Place_Finished(entry->places, peer->place, &request->work,
                   &(PlaceResult){
                       .started = request->dispatched_at,
                       .first_piece = request->first_piece,
                       .ended = Clock_Now(),
                       .cached_tokens = end->cached_tokens,
                       .complete = whole,
                   },
                   Clock_Now());
    if (whole) {
        end_whole(request);
        return;
    }
    fail_spent(request, &error_broken);
}

void
Request_OnFrame(Entry *entry, Peer *peer, const Wire__Frame *frame)
{
    const Wire__RequestId *wire = Frame_RequestId(frame);
    if (wire == NULL) {
        return;
    }
    RequestId id = {.high = wire->high, .low = wire->low};
    Request *request = g_hash_table_lookup(entry->requests, &id);
    if (request == NULL) {
        return;
    }
    bool answers =
        request->state == REQUEST_SPENT && request->dispatched_to == peer;
    if (frame->body_case == WIRE__FRAME__BODY_GRANT) {
        on_grant(request, peer, frame->grant);
    }
    else if (frame->body_case == WIRE__FRAME__BODY_REFUSE) {
        on_refuse(request, peer, frame->refuse);
    }
    else if (answers && frame->body_case == WIRE__FRAME__BODY_ANSWER_HEAD) {
        on_head(request, frame->answer_head);
    }
    else if (answers && frame->body_case == WIRE__FRAME__BODY_ANSWER_PIECE) {
        on_piece(request, frame->answer_piece);
    }
    else if (answers && frame->body_case == WIRE__FRAME__BODY_ANSWER_END) {
        on_end(request, peer, frame->answer_end);
    }
}

static void
lose_peer(Request *request, const Peer *peer)
{
    if (request->state == REQUEST_SPENT && request->dispatched_to == peer) {
        fail_spent(request, &error_unknown);
        return;
    }
    uint32_t before = request->want_count;
    forget_want(request, peer);
    if (request->state == REQUEST_WANTING && before > 0 &&
        request->want_count == 0)
    {
        refuse(request, REFUSE_LEAVING, 1000);
    }
}

void
Request_OnPeerDown(Entry *entry, Peer *peer)
{
    GList *requests = g_hash_table_get_values(entry->requests);
    for (GList *at = requests; at != NULL; at = at->next) {
        lose_peer(at->data, peer);
    }
    g_list_free(requests);
}
