/** @file
 * Gateway: connections to endpoints. Each carries one request at a time.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "wire/address.h"
#include "wire/client_memory.h"

/* Time limit of a connection attempt; several round trips between regions. */
#define CONNECT_TIMEOUT_MS 400
/* Assumed idle limit of an endpoint that sends no Keep-Alive timeout. */
#define DEFAULT_IDLE_MS 4000
/* Fractions of the endpoint's idle limit up to which a connection is reused,
 * and up to which the endpoint cannot have closed it. */
#define REUSE_FRACTION 0.7
#define LIVE_FRACTION 0.4
#define IDLE_UPSTREAMS_MAX 16
#define HEAD_MAX_BYTES (32 * 1024)
/* An endpoint that keeps a connection does not close it so soon after an
 * answer. */
#define UNEXPECTED_CLOSE_US (250 * US_PER_MS)
/* Bytes of answers that are not forwarded, for one request. */
#define DISCARD_MAX_BYTES (1024 * 1024)

struct Upstream {
    Gateway *gateway;
    Endpoint *endpoint;
    uint64_t number; /* unique in the gateway */
    struct bufferevent *stream;
    H1Parser *parser;
    struct event *timer;  /* end of the connection attempt or of discarding */
    TimeUs discard_until; /* end of discarding an abandoned answer; else 0 */
    size_t discarded;     /* bytes of it */
    const UpstreamOps *ops;
    void *owner; /* NULL when the answer is to be discarded */
    char *request_id;
    Subjects subjects; /* of the request */
    bool resumed;      /* the request asks for the rest of a stream */
    TimeUs sent_at;
    TimeUs written_at; /* as sent_at, or when the connection was established */
    bool success;      /* the head of the answer has a status of success */
    bool not_run;   /* the endpoint states that it did not run the request */
    bool head_only; /* the answer to the request has no body */
    bool connected;
    bool busy;        /* carries a request */
    bool skip_answer; /* the parsed answer is interim or to another request */
    TimeUs idle_since;
    uint32_t idle_limit_ms;  /* endpoint's idle limit */
    bool close_after_answer; /* the answer ends the connection */
    ClientAccount unsent;    /* charge of a request whose caller is gone */
};

static void
release_unsent(Upstream *upstream)
{
    ClientBudget_Force(ClientMemory_Budget(), &upstream->unsent, 0);
}

static void
free_upstream(Upstream *upstream)
{
    release_unsent(upstream);
    if (!upstream->busy) {
        g_queue_remove(&upstream->endpoint->idle_upstreams, upstream);
    }
    bufferevent_free(upstream->stream);
    event_free(upstream->timer);
    H1Parser_Free(upstream->parser);
    g_free(upstream->request_id);
    Endpoint_Unref(upstream->endpoint);
    g_free(upstream);
}

/* Records the end of a run that the endpoint may have begun. */
static void
record_run(const Upstream *upstream, RunEnd end)
{
    if (!upstream->busy || !upstream->connected || upstream->not_run) {
        return;
    }
    EndedRun run = {
        .subjects = upstream->subjects,
        .end = end,
        .wrote =
            upstream->success && (end == RUN_ANSWERED || end == RUN_CLOSED),
        .resumed = upstream->resumed,
        .started_at = upstream->sent_at,
        .at = Clock_Now(),
    };
    EndWatch_OnRunEnded(upstream->endpoint, &run);
}

static void
report_to_endpoint(Endpoint *endpoint, UpstreamFailure failure,
                   const char *why)
{
    switch (failure) {
    case UPSTREAM_REFUSED:
        EndWatch_OnEnded(endpoint, "it refuses connections");
        break;
    case UPSTREAM_NOT_SENT:
        EndWatch_OnUnanswered(endpoint);
        break;
    case UPSTREAM_BROKEN:
        break;
    case UPSTREAM_INVALID:
        return;
    }
    Endpoint_OnFailure(endpoint, why);
}

/* Frees the connection and reports the failure to the endpoint and owner. */
static void
fail_upstream(Upstream *upstream, UpstreamFailure failure, const char *why)
{
    const UpstreamOps *ops = upstream->ops;
    void *owner = upstream->owner;
    bool busy = upstream->busy;
    upstream->owner = NULL;
    Endpoint *endpoint = upstream->endpoint;
    Endpoint_Ref(endpoint);
    record_run(upstream, RUN_BROKEN);
    free_upstream(upstream);
    if (busy && owner != NULL) {
        report_to_endpoint(endpoint, failure, why);
        ops->failed(owner, failure, why);
    }
    Endpoint_Unref(endpoint);
}

/* Returns the idle limit from the Keep-Alive field (`timeout=SECONDS`), in
 * milliseconds. */
static uint32_t
parse_idle_limit(const H1Head *head)
{
    const char *field = H1Head_Get(head, "Keep-Alive");
    const char *timeout = field == NULL ? NULL : strstr(field, "timeout=");
    if (timeout == NULL) {
        return DEFAULT_IDLE_MS;
    }
    long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
    return seconds > 0 ? (uint32_t)MIN(seconds, 3600) * 1000 : DEFAULT_IDLE_MS;
}

/* Adds the connection to the idle ones, or closes it if it cannot be
 * reused. */
static void
keep_or_close(Upstream *upstream)
{
    struct evbuffer *in = bufferevent_get_input(upstream->stream);
    struct evbuffer *out = bufferevent_get_output(upstream->stream);
    Endpoint *endpoint = upstream->endpoint;
    bool reusable = !upstream->close_after_answer &&
                    evbuffer_get_length(in) == 0 &&
                    evbuffer_get_length(out) == 0 &&
                    endpoint->state == ENDPOINT_READY && !endpoint->removed &&
                    endpoint->idle_upstreams.length < IDLE_UPSTREAMS_MAX;
    if (!reusable) {
        free_upstream(upstream);
        return;
    }
    release_unsent(upstream);
    upstream->busy = false;
    upstream->owner = NULL;
    upstream->discard_until = 0;
    event_del(upstream->timer);
    upstream->idle_since = Clock_Now();
    g_queue_push_head(&endpoint->idle_upstreams, upstream);
}

static void
finish_answer(Upstream *upstream, RunEnd end)
{
    const UpstreamOps *ops = upstream->ops;
    void *owner = upstream->owner;
    upstream->owner = NULL;
    record_run(upstream, end);
    keep_or_close(upstream);
    if (owner != NULL) {
        ops->done(owner);
    }
}

/* Returns whether the head has the id of the current request. An endpoint may
 * send a second answer to an earlier one. */
static bool
has_request_id(const Upstream *upstream, const H1Head *head)
{
    const char *id =
        H1Head_Get(head, upstream->gateway->options->fields->request_id);
    return id != NULL && strcmp(id, upstream->request_id) == 0;
}

/* Handles a parsed head.
 * @return false when the upstream was freed. */
static bool
handle_head(Upstream *upstream)
{
    const H1Head *head = H1Parser_Head(upstream->parser);
    upstream->skip_answer =
        head->status < 200 || !has_request_id(upstream, head);
    if (upstream->skip_answer) {
        if (head->status >= 200) {
            LOG_WARN(GATEWAY_PART,
                     "Dropped an answer whose request id differs. endpoint=%s",
                     upstream->endpoint->id);
        }
        return true;
    }
    upstream->close_after_answer = !head->keep_alive;
    upstream->success = head->status < 300;
    upstream->not_run =
        GatewayFields_SayNotRun(upstream->gateway->options->fields, head);
    if (head->status != HTTP_OTHER_INSTANCE) {
        EndWatch_OnHeard(upstream->endpoint);
    }
    if (head->status != HTTP_OTHER_INSTANCE) {
        Endpoint_OnRateField(upstream->endpoint, head, upstream->sent_at);
        Endpoint_OnStateFields(upstream->endpoint, head);
    }
    upstream->idle_limit_ms = parse_idle_limit(head);
    const char *load =
        H1Head_Get(head, upstream->gateway->options->fields->load);
    if (load != NULL) {
        Endpoint_OnLoadReport(upstream->endpoint, load);
    }
    if (upstream->owner != NULL) {
        /* The callback may cancel, which frees the upstream. */
        Endpoint *endpoint = upstream->endpoint;
        Endpoint_Ref(endpoint);
        endpoint->callback_upstream = upstream;
        upstream->ops->head(upstream->owner, head);
        bool alive = endpoint->callback_upstream == upstream;
        endpoint->callback_upstream = NULL;
        Endpoint_Unref(endpoint);
        return alive;
    }
    return true;
}

/* Discards parsed body bytes.
 * @return false when the upstream was freed. */
static bool
discard_body(Upstream *upstream, struct evbuffer *body)
{
    upstream->discarded += evbuffer_get_length(body);
    evbuffer_drain(body, evbuffer_get_length(body));
    if (upstream->discarded <= DISCARD_MAX_BYTES) {
        return true;
    }
    fail_upstream(upstream, UPSTREAM_INVALID,
                  "an unusable answer is too long");
    return false;
}

/* Passes parsed body bytes to the owner.
 * @return false when the upstream was freed. */
static bool
handle_body(Upstream *upstream)
{
    struct evbuffer *body = H1Parser_Body(upstream->parser);
    if (evbuffer_get_length(body) == 0) {
        return true;
    }
    if (upstream->skip_answer || upstream->owner == NULL) {
        return discard_body(upstream, body);
    }
    Endpoint *endpoint = upstream->endpoint;
    Endpoint_Ref(endpoint);
    endpoint->callback_upstream = upstream;
    upstream->ops->body(upstream->owner, body);
    bool alive = endpoint->callback_upstream == upstream;
    endpoint->callback_upstream = NULL;
    Endpoint_Unref(endpoint);
    return alive;
}

static void
expect_answer(const Upstream *upstream)
{
    H1Parser_Reset(upstream->parser);
    if (upstream->head_only) {
        H1Parser_ExpectNoBody(upstream->parser);
    }
}

static void
parse_input(Upstream *upstream)
{
    struct evbuffer *in = bufferevent_get_input(upstream->stream);
    for (;;) {
        Error err = ERROR_INIT;
        switch (H1Parser_Next(upstream->parser, in, &err)) {
        case H1_NEED_MORE:
            return;
        case H1_HEAD:
            if (!handle_head(upstream)) {
                return;
            }
            break;
        case H1_BODY:
            if (!handle_body(upstream)) {
                return;
            }
            break;
        case H1_DONE:
            if (!upstream->skip_answer) {
                finish_answer(upstream, RUN_ANSWERED);
                return;
            }
            upstream->skip_answer = false;
            expect_answer(upstream);
            break;
        case H1_INVALID:
            fail_upstream(upstream, UPSTREAM_INVALID, err.text);
            return;
        }
    }
}

static void
on_read(struct bufferevent *stream, void *arg)
{
    Upstream *upstream = arg;
    if (!upstream->busy) {
        /* Without a request any bytes are unexpected, so the connection
         * cannot be reused. */
        free_upstream(upstream);
        return;
    }
    if (H1Parser_InMessage(upstream->parser) && !upstream->not_run) {
        EndWatch_OnHeard(upstream->endpoint);
    }
    parse_input(upstream);
}

/* Ends the discarding of an abandoned answer in time. */
static void
schedule_discard_end(Upstream *upstream)
{
    if (upstream->discard_until == 0) {
        return;
    }
    TimeUs left = MAX(upstream->discard_until - Clock_Now(), 0);
    struct timeval span = {
        .tv_sec = left / US_PER_S,
        .tv_usec = left % US_PER_S,
    };
    event_add(upstream->timer, &span);
}

/* Returns whether the whole request has reached the endpoint. One that ends
 * its answer before may have stopped halfway. */
static bool
is_request_sent(const Upstream *upstream)
{
    struct evbuffer *out = bufferevent_get_output(upstream->stream);
    return evbuffer_get_length(out) == 0 &&
           EndpointSocket_UnackedBytes(bufferevent_getfd(upstream->stream)) ==
               0;
}

static void
on_event(struct bufferevent *stream, short events, void *arg)
{
    Upstream *upstream = arg;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        upstream->connected = true;
        upstream->written_at = Clock_Now();
        uint32_t rtt =
            EndpointSocket_RoundTrip(bufferevent_getfd(upstream->stream));
        if (rtt > 0) {
            Endpoint_AddRoundTrip(upstream->endpoint, rtt);
        }
        event_del(upstream->timer);
        schedule_discard_end(upstream);
        return;
    }
    if (!upstream->busy) {
        Endpoint *endpoint = upstream->endpoint;
        bool early = Clock_Now() - upstream->idle_since < UNEXPECTED_CLOSE_US;
        Endpoint_Ref(endpoint);
        free_upstream(upstream);
        if (early) {
            EndWatch_OnUnexpectedClose(endpoint);
        }
        Endpoint_Unref(endpoint);
        return;
    }
    if (!upstream->connected) {
        bool refused = EndWatch_IsRefusal(events);
        fail_upstream(upstream, refused ? UPSTREAM_REFUSED : UPSTREAM_NOT_SENT,
                      refused ? "connection refused" : "connection failed");
        return;
    }
    if ((events & BEV_EVENT_EOF) != 0 && (events & BEV_EVENT_ERROR) == 0 &&
        is_request_sent(upstream) &&
        H1Parser_End(upstream->parser) == H1_DONE && !upstream->skip_answer)
    {
        upstream->close_after_answer = true;
        if (!handle_body(upstream)) {
            return;
        }
        if (upstream->owner == NULL || upstream->ops->may_end(upstream->owner))
        {
            finish_answer(upstream, RUN_CLOSED);
            return;
        }
    }
    fail_upstream(upstream, UPSTREAM_BROKEN, "connection broke off");
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Upstream *upstream = arg;
    if (upstream->connected) {
        LOG_INFO(GATEWAY_PART,
                 "Abandoned answer does not end. endpoint=%s bytes=%zu",
                 upstream->endpoint->id, upstream->discarded);
        Upstream_Cancel(upstream);
        return;
    }
    fail_upstream(upstream, UPSTREAM_NOT_SENT, "connection timed out");
}

/* Starts a new connection.
 * @return NULL when that fails at once. */
static Upstream *
open_connection(Endpoint *endpoint)
{
    Address address;
    evutil_socket_t fd = EndpointSocket_New(endpoint, &address);
    if (fd < 0) {
        return NULL;
    }
    Gateway *gateway = endpoint->gateway;
    Upstream *upstream = g_new0(Upstream, 1);
    upstream->gateway = gateway;
    upstream->endpoint = endpoint;
    Endpoint_Ref(endpoint);
    upstream->number = ++gateway->last_connection;
    upstream->busy = true;
    upstream->idle_limit_ms = DEFAULT_IDLE_MS;
    upstream->parser = H1Parser_New(H1_RESPONSE, HEAD_MAX_BYTES);
    upstream->timer = event_new(gateway->base, -1, 0, on_timer, upstream);
    upstream->stream =
        bufferevent_socket_new(gateway->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(upstream->stream, on_read, NULL, on_event, upstream);
    struct timeval span = {.tv_usec = CONNECT_TIMEOUT_MS * 1000};
    event_add(upstream->timer, &span);
    bufferevent_enable(upstream->stream, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(upstream->stream,
                                   (struct sockaddr *)&address.storage,
                                   (int)address.length) != 0)
    {
        free_upstream(upstream);
        return NULL;
    }
    Counter_Add(Counter_Get("gateway_endpoint_connections_total",
                            "Connections dialled to endpoints."),
                1);
    return upstream;
}

static bool
has_carried(const Upstream *upstream, const UpstreamRequest *request)
{
    for (guint i = 0; i < request->carried_by->len; i++) {
        if (g_array_index(request->carried_by, uint64_t, i) ==
            upstream->number) {
            return true;
        }
    }
    return false;
}

/* Takes the most recently used idle connection that has not carried the
 * request before, if it is likely still open.
 * @return NULL when there is none. */
static Upstream *
take_idle(Endpoint *endpoint, const UpstreamRequest *request)
{
    TimeUs now = Clock_Now();
    GList *node = endpoint->idle_upstreams.head;
    while (node != NULL && has_carried(node->data, request)) {
        node = node->next;
    }
    if (node == NULL) {
        return NULL;
    }
    Upstream *upstream = node->data;
    bool require_live = request->require_live;
    double fraction = require_live ? LIVE_FRACTION : REUSE_FRACTION;
    TimeUs limit =
        (TimeUs)(upstream->idle_limit_ms * fraction * (double)US_PER_MS);
    if (now - upstream->idle_since > limit) {
        if (!require_live && node == endpoint->idle_upstreams.head) {
            Upstream_CloseIdle(endpoint); /* the others are older still */
        }
        return NULL;
    }
    g_queue_delete_link(&endpoint->idle_upstreams, node);
    upstream->busy = true;
    return upstream;
}

Upstream *
Upstream_Send(Endpoint *endpoint, const UpstreamRequest *request,
              const UpstreamOps *ops, void *owner)
{
    Upstream *upstream = take_idle(endpoint, request);
    if (upstream == NULL) {
        upstream = open_connection(endpoint);
    }
    if (upstream == NULL) {
        return NULL;
    }
    upstream->ops = ops;
    upstream->owner = owner;
    upstream->close_after_answer = false;
    upstream->skip_answer = false;
    upstream->discarded = 0;
    upstream->subjects = *request->subjects;
    upstream->resumed = request->resumed;
    upstream->success = false;
    upstream->sent_at = Clock_Now();
    upstream->written_at = upstream->sent_at;
    upstream->not_run = false;
    upstream->head_only = request->head_only;
    expect_answer(upstream);
    g_free(upstream->request_id);
    upstream->request_id = g_strdup(request->id);
    bufferevent_write_buffer(upstream->stream, request->bytes);
    return upstream;
}

uint64_t
Upstream_Number(const Upstream *upstream)
{
    return upstream->number;
}

TimeUs
Upstream_BegunAt(const Upstream *upstream)
{
    return upstream->written_at + upstream->endpoint->round_trip;
}

void
Upstream_Cancel(Upstream *upstream)
{
    if (upstream->endpoint->callback_upstream == upstream) {
        upstream->endpoint->callback_upstream = NULL;
    }
    upstream->owner = NULL;
    record_run(upstream, RUN_CANCELLED);
    free_upstream(upstream);
}

void
Upstream_Abandon(Upstream *upstream, TimeUs until)
{
    struct evbuffer *out = bufferevent_get_output(upstream->stream);
    ClientBudget_Force(ClientMemory_Budget(), &upstream->unsent,
                       evbuffer_get_length(out));
    upstream->owner = NULL;
    upstream->discard_until = until;
    upstream->discarded = 0;
    if (upstream->connected) {
        schedule_discard_end(upstream);
    }
}

void
Upstream_Pause(Upstream *upstream, bool paused)
{
    if (paused) {
        bufferevent_disable(upstream->stream, EV_READ);
    }
    else {
        bufferevent_enable(upstream->stream, EV_READ);
    }
}

void
Upstream_CloseIdle(Endpoint *endpoint)
{
    Upstream *upstream;
    while ((upstream = g_queue_peek_head(&endpoint->idle_upstreams)) != NULL) {
        free_upstream(upstream);
    }
}
