/** @file
 * Gateway: connections to endpoints. Each carries one request at a time.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "wire/address.h"

/* Time limit of a connection attempt; several round trips between regions. */
#define CONNECT_TIMEOUT_MS 400
/* Closes a connection whose bytes or keepalive probes are unacknowledged for
 * this long, because the peer is gone without a reset. */
#define SILENT_MS 2500
#define PROBE_IDLE_S 1
#define PROBE_GAP_S 1
#define PROBE_COUNT 2
/* Assumed idle limit of an endpoint that sends no Keep-Alive timeout. */
#define DEFAULT_IDLE_MS 4000
/* Fractions of the endpoint's idle limit up to which a connection is reused,
 * and up to which the endpoint cannot have closed it. */
#define REUSE_PART 0.7
#define FRESH_PART 0.4
#define IDLE_MAX 16
#define HEAD_MAX_BYTES (32 * 1024)

struct Upstream {
    Gateway *gateway;
    Endpoint *endpoint;
    struct bufferevent *stream;
    H1Parser *parser;
    struct event *timer; /* connect timeout */
    const UpstreamOps *ops;
    void *owner; /* NULL when the answer is to be discarded */
    char *request_id;
    bool connected;
    bool busy;    /* carries a request */
    bool foreign; /* the parsed answer belongs to another request, or is an
                     interim one */
    TimeUs idle_since;
    uint32_t idle_limit_ms; /* endpoint's idle limit */
    bool closes; /* the endpoint closes the connection after the answer */
};

static void
free_upstream(Upstream *upstream)
{
    if (!upstream->busy) {
        g_queue_remove(&upstream->endpoint->idle, upstream);
    }
    bufferevent_free(upstream->stream);
    event_free(upstream->timer);
    H1Parser_Free(upstream->parser);
    g_free(upstream->request_id);
    Endpoint_Unref(upstream->endpoint);
    g_free(upstream);
}

/* Frees the connection and reports the failure to the endpoint and owner. */
static void
fail(Upstream *upstream, UpstreamFailure failure, const char *why)
{
    const UpstreamOps *ops = upstream->ops;
    void *owner = upstream->owner;
    bool busy = upstream->busy;
    upstream->owner = NULL;
    Endpoint *endpoint = upstream->endpoint;
    Endpoint_Ref(endpoint);
    free_upstream(upstream);
    if (busy && owner != NULL) {
        if (failure == UPSTREAM_NOT_SENT) {
            Endpoint_Unreachable(endpoint, why);
        }
        else if (failure == UPSTREAM_BROKEN) {
            Endpoint_Failed(endpoint, why);
        }
        ops->failed(owner, failure, why);
    }
    Endpoint_Unref(endpoint);
}

/* Returns the idle limit from the Keep-Alive field (`timeout=SECONDS`), in
 * milliseconds. */
static uint32_t
idle_limit_of(const H1Head *head)
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
park(Upstream *upstream)
{
    struct evbuffer *in = bufferevent_get_input(upstream->stream);
    struct evbuffer *out = bufferevent_get_output(upstream->stream);
    Endpoint *endpoint = upstream->endpoint;
    bool reusable = !upstream->closes && evbuffer_get_length(in) == 0 &&
                    evbuffer_get_length(out) == 0 &&
                    endpoint->state == ENDPOINT_READY && !endpoint->removed &&
                    endpoint->idle.length < IDLE_MAX;
    if (!reusable) {
        free_upstream(upstream);
        return;
    }
    upstream->busy = false;
    upstream->owner = NULL;
    upstream->idle_since = Clock_Now();
    g_queue_push_head(&endpoint->idle, upstream);
}

static void
finish(Upstream *upstream)
{
    const UpstreamOps *ops = upstream->ops;
    void *owner = upstream->owner;
    upstream->owner = NULL;
    park(upstream);
    if (owner != NULL) {
        ops->done(owner);
    }
}

/* Returns whether the head has the id of the current request. An endpoint may
 * send a second answer to an earlier one. */
static bool
is_ours(const Upstream *upstream, const H1Head *head)
{
    const char *id =
        H1Head_Get(head, upstream->gateway->options->fields->request_id);
    return id != NULL && strcmp(id, upstream->request_id) == 0;
}

/* Handles a parsed head.
 * @return false when the upstream was freed. */
static bool
take_head(Upstream *upstream)
{
    const H1Head *head = H1Parser_Head(upstream->parser);
    upstream->foreign = head->status < 200 || !is_ours(upstream, head);
    if (upstream->foreign) {
        if (head->status >= 200) {
            LOG_WARN(GATEWAY_PART,
                     "Dropped an answer whose request id does not match. "
                     "endpoint=%s",
                     upstream->endpoint->id);
        }
        return true;
    }
    upstream->closes = !head->keep_alive;
    upstream->idle_limit_ms = idle_limit_of(head);
    const char *load =
        H1Head_Get(head, upstream->gateway->options->fields->load);
    if (load != NULL) {
        Endpoint_Load(upstream->endpoint, load);
    }
    if (upstream->owner != NULL) {
        /* The callback may cancel, which frees the upstream. */
        Endpoint *endpoint = upstream->endpoint;
        Endpoint_Ref(endpoint);
        endpoint->current = upstream;
        upstream->ops->head(upstream->owner, head);
        bool alive = endpoint->current == upstream;
        endpoint->current = NULL;
        Endpoint_Unref(endpoint);
        return alive;
    }
    return true;
}

/* Passes parsed body bytes to the owner.
 * @return false when the upstream was freed. */
static bool
take_body(Upstream *upstream)
{
    struct evbuffer *body = H1Parser_Body(upstream->parser);
    if (evbuffer_get_length(body) == 0) {
        return true;
    }
    if (upstream->foreign || upstream->owner == NULL) {
        evbuffer_drain(body, evbuffer_get_length(body));
        return true;
    }
    Endpoint *endpoint = upstream->endpoint;
    Endpoint_Ref(endpoint);
    endpoint->current = upstream;
    upstream->ops->body(upstream->owner, body);
    bool alive = endpoint->current == upstream;
    endpoint->current = NULL;
    Endpoint_Unref(endpoint);
    return alive;
}

static void
take_answer(Upstream *upstream)
{
    struct evbuffer *in = bufferevent_get_input(upstream->stream);
    for (;;) {
        Error err = ERROR_INIT;
        switch (H1Parser_Next(upstream->parser, in, &err)) {
        case H1_NEED_MORE:
            return;
        case H1_HEAD:
            if (!take_head(upstream)) {
                return;
            }
            break;
        case H1_BODY:
            if (!take_body(upstream)) {
                return;
            }
            break;
        case H1_DONE:
            if (!upstream->foreign) {
                finish(upstream);
                return;
            }
            upstream->foreign = false;
            H1Parser_Reset(upstream->parser);
            break;
        case H1_INVALID:
            fail(upstream, UPSTREAM_GARBAGE, err.text);
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
    take_answer(upstream);
}

static void
on_event(struct bufferevent *stream, short events, void *arg)
{
    Upstream *upstream = arg;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        upstream->connected = true;
        event_del(upstream->timer);
        return;
    }
    if (!upstream->busy) {
        free_upstream(upstream);
        return;
    }
    if (!upstream->connected) {
        fail(upstream, UPSTREAM_NOT_SENT, "connection refused");
        return;
    }
    if ((events & BEV_EVENT_EOF) != 0 && (events & BEV_EVENT_ERROR) == 0 &&
        H1Parser_End(upstream->parser) == H1_DONE && !upstream->foreign)
    {
        upstream->closes = true;
        if (!take_body(upstream)) {
            return;
        }
        finish(upstream);
        return;
    }
    fail(upstream, UPSTREAM_BROKEN, "connection broke off");
}

static void
on_connect_timeout(evutil_socket_t fd, short events, void *arg)
{
    fail(arg, UPSTREAM_NOT_SENT, "connection timed out");
}

static void
set_options(evutil_socket_t fd)
{
    int on = 1;
    unsigned silent = SILENT_MS;
    int idle = PROBE_IDLE_S;
    int gap = PROBE_GAP_S;
    int count = PROBE_COUNT;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof(silent));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap, sizeof(gap));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

/* Starts a new connection.
 * @return NULL when that fails at once. */
static Upstream *
dial(Endpoint *endpoint)
{
    Address address;
    Error err = ERROR_INIT;
    if (Address_Parse(endpoint->address, &address, &err) != ERR_OK) {
        LOG_WARN(GATEWAY_PART,
                 "Invalid address of an endpoint. endpoint=%s why=\"%s\"",
                 endpoint->id, err.text);
        return NULL;
    }
    evutil_socket_t fd = socket(address.storage.ss_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        LOG_WARN(GATEWAY_PART, "Failed to create a socket. endpoint=%s",
                 endpoint->id);
        return NULL;
    }
    set_options(fd);
    Gateway *gateway = endpoint->gateway;
    Upstream *upstream = g_new0(Upstream, 1);
    upstream->gateway = gateway;
    upstream->endpoint = endpoint;
    Endpoint_Ref(endpoint);
    upstream->busy = true;
    upstream->idle_limit_ms = DEFAULT_IDLE_MS;
    upstream->parser = H1Parser_New(H1_RESPONSE, HEAD_MAX_BYTES);
    upstream->timer =
        event_new(gateway->base, -1, 0, on_connect_timeout, upstream);
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
                            "Connections opened to endpoints."),
                1);
    return upstream;
}

/* Takes the most recently used idle connection if it is likely still open.
 * @return NULL when there is none. */
static Upstream *
take_idle(Endpoint *endpoint, bool fresh)
{
    TimeUs now = Clock_Now();
    Upstream *upstream = g_queue_peek_head(&endpoint->idle);
    if (upstream == NULL) {
        return NULL;
    }
    double part = fresh ? FRESH_PART : REUSE_PART;
    TimeUs limit =
        (TimeUs)(upstream->idle_limit_ms * part * (double)US_PER_MS);
    if (now - upstream->idle_since > limit) {
        if (!fresh) {
            Upstream_CloseIdle(endpoint);
        }
        return NULL;
    }
    g_queue_pop_head(&endpoint->idle);
    upstream->busy = true;
    H1Parser_Reset(upstream->parser);
    return upstream;
}

Upstream *
Upstream_Send(Endpoint *endpoint, const UpstreamRequest *request,
              const UpstreamOps *ops, void *owner)
{
    Upstream *upstream = take_idle(endpoint, request->fresh);
    if (upstream == NULL) {
        upstream = dial(endpoint);
    }
    if (upstream == NULL) {
        return NULL;
    }
    upstream->ops = ops;
    upstream->owner = owner;
    upstream->closes = false;
    upstream->foreign = false;
    if (request->head_only) {
        H1Parser_ExpectNoBody(upstream->parser);
    }
    g_free(upstream->request_id);
    upstream->request_id = g_strdup(request->id);
    bufferevent_write_buffer(upstream->stream, request->bytes);
    return upstream;
}

void
Upstream_Cancel(Upstream *upstream)
{
    if (upstream->endpoint->current == upstream) {
        upstream->endpoint->current = NULL;
    }
    upstream->owner = NULL;
    free_upstream(upstream);
}

void
Upstream_Abandon(Upstream *upstream)
{
    upstream->owner = NULL;
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
    while ((upstream = g_queue_peek_head(&endpoint->idle)) != NULL) {
        free_upstream(upstream);
    }
}
