/** @file
 * Gateway: connections of callers. Requests are processed one at a time;
 * pipelined ones stay in the input buffer.
 */
#include <string.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "gateway/state.h"
#include "kernel/log.h"

/* Limit of the input buffer, which holds pipelined requests during an
 * answer. */
#define INPUT_MAX_BYTES (64 * 1024)
/* Time that the caller has to close its side after the last answer. An earlier
 * close could send a reset that destroys the answer. */
#define LINGER_TIMEOUT_MS 1000
/* Time limit from a request's head to the end of its body. */
#define BODY_TIMEOUT_MS 20000

typedef enum ConnState {
    CONN_IDLE,      /* between requests */
    CONN_READING,   /* a part of a request has arrived */
    CONN_ANSWERING, /* a call is in progress */
    CONN_CLOSING,   /* flushing the last answer, then waiting for the caller to
                       close */
} ConnState;

struct Conn {
    Gateway *gateway;
    struct bufferevent *stream;
    struct event *timer;
    H1Parser *parser;
    struct evbuffer *body;
    Call *call;
    ConnState state;
    bool close_after; /* close after the current answer */
    bool http10;
    bool chunked;
    bool write_closed;    /* the sending side is shut down */
    size_t unsent_before; /* unsent bytes when the idle timer last ran */
};

static void parse_requests(Conn *conn);

static const RouteLimits *
request_limits(const Conn *conn)
{
    static const RouteLimits fallback = {
        .max_head_bytes = 16384,
        .max_body_bytes = 4u * 1024 * 1024,
        .head_timeout_ms = 3000,
        .idle_timeout_ms = 15000,
    };
    const RouteTable *table = conn->gateway->table;
    return table == NULL ? &fallback : RouteTable_Limits(table);
}

static void
set_timer(Conn *conn, uint32_t ms)
{
    struct timeval span = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(conn->timer, &span);
}

void
Conn_Free(Conn *conn)
{
    if (conn->call != NULL) {
        Call_OnCallerDisconnect(conn->call);
    }
    g_hash_table_remove(conn->gateway->conns, conn);
    bufferevent_free(conn->stream);
    event_free(conn->timer);
    H1Parser_Free(conn->parser);
    evbuffer_free(conn->body);
    g_free(conn);
}

/* Shuts down the sending side once the output is flushed, then waits for the
 * caller to close. */
static void
close_gracefully(Conn *conn)
{
    conn->state = CONN_CLOSING;
    struct evbuffer *out = bufferevent_get_output(conn->stream);
    if (conn->write_closed) {
        return;
    }
    if (evbuffer_get_length(out) > 0) {
        set_timer(conn, request_limits(conn)->idle_timeout_ms);
        return;
    }
    conn->write_closed = true;
    shutdown(bufferevent_getfd(conn->stream), SHUT_WR);
    set_timer(conn, LINGER_TIMEOUT_MS);
}

/* Answers a request that cannot be read with an error and closes. */
static void
refuse_request(Conn *conn, unsigned status, const char *code,
               const char *message)
{
    CallError error = {.status = status, .code = code, .message = message};
    GatewayErrors_Print(bufferevent_get_output(conn->stream), &error, NULL,
                        "not_run", true);
    LOG_INFO(GATEWAY_PART, "Request refused. status=%u why=\"%s\"", status,
             message);
    close_gracefully(conn);
}

static void
refuse_malformed(Conn *conn, const Error *err)
{
    if (err->code == ERR_TOO_LARGE) {
        refuse_request(conn, 431, "too_large", err->text);
        return;
    }
    refuse_request(conn, 400, "invalid", err->text);
}

/* Handles a parsed head before its body is read.
 * @return false when the request was refused. */
static bool
handle_head(Conn *conn)
{
    const H1Head *head = H1Parser_Head(conn->parser);
    conn->state = CONN_READING;
    conn->http10 = head->http10;
    conn->close_after = !head->keep_alive;
    if (Held_RefusesNew(conn->gateway->held)) {
        refuse_request(conn, 503, "out_of_memory",
                       "The gateway holds too much for slow callers.");
        return false;
    }
    if (head->has_length &&
        head->length > request_limits(conn)->max_body_bytes) {
        refuse_request(conn, 413, "too_large",
                       "The request body exceeds the size limit.");
        return false;
    }
    const char *expect = H1Head_Get(head, "Expect");
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        evbuffer_add_printf(bufferevent_get_output(conn->stream),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    set_timer(conn, BODY_TIMEOUT_MS);
    return true;
}

/* Collects body bytes.
 * @return false when the request was refused. */
static bool
add_body(Conn *conn)
{
    evbuffer_add_buffer(conn->body, H1Parser_Body(conn->parser));
    if (evbuffer_get_length(conn->body) > request_limits(conn)->max_body_bytes)
    {
        refuse_request(conn, 413, "too_large",
                       "The request body exceeds the size limit.");
        return false;
    }
    return true;
}

static void
start_call(Conn *conn)
{
    event_del(conn->timer);
    conn->state = CONN_ANSWERING;
    Call_Start(conn, conn->gateway, H1Parser_Head(conn->parser), conn->body);
}

/* Parses the input until a call starts or more bytes are needed. */
static void
parse_requests(Conn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->stream);
    while (conn->state == CONN_IDLE || conn->state == CONN_READING) {
        Error err = ERROR_INIT;
        switch (H1Parser_Next(conn->parser, in, &err)) {
        case H1_NEED_MORE:
            if (conn->state == CONN_IDLE && evbuffer_get_length(in) > 0) {
                conn->state = CONN_READING;
                set_timer(conn, request_limits(conn)->head_timeout_ms);
            }
            return;
        case H1_HEAD:
            if (!handle_head(conn)) {
                return;
            }
            break;
        case H1_BODY:
            if (!add_body(conn)) {
                return;
            }
            break;
        case H1_DONE:
            start_call(conn);
            return;
        case H1_INVALID:
            refuse_malformed(conn, &err);
            return;
        }
    }
}

static void
on_read(struct bufferevent *stream, void *arg)
{
    Conn *conn = arg;
    if (conn->state == CONN_CLOSING) {
        struct evbuffer *in = bufferevent_get_input(stream);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    parse_requests(conn);
}

static void
on_written(struct bufferevent *stream, void *arg)
{
    Conn *conn = arg;
    if (conn->state == CONN_CLOSING) {
        close_gracefully(conn);
    }
    else if (conn->call != NULL) {
        Call_OnBytesWritten(conn->call);
    }
}

static void
on_event(struct bufferevent *stream, short events, void *arg)
{
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        Conn_Free(arg);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Conn *conn = arg;
    if (conn->state == CONN_READING) {
        refuse_request(conn, 408, "timeout",
                       "The request was not received completely in time.");
        return;
    }
    size_t unsent = Conn_UnsentBytes(conn);
    if (unsent > 0 && unsent != conn->unsent_before) {
        /* The caller still reads its last answer. */
        conn->unsent_before = unsent;
        set_timer(conn, request_limits(conn)->idle_timeout_ms);
        return;
    }
    Conn_Free(conn);
}

Conn *
Conn_New(Gateway *gateway, evutil_socket_t fd)
{
    Conn *conn = g_new0(Conn, 1);
    conn->gateway = gateway;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Held_LimitSocket(gateway->held, fd);
    conn->stream =
        bufferevent_socket_new(gateway->base, fd, BEV_OPT_CLOSE_ON_FREE);
    conn->timer = event_new(gateway->base, -1, 0, on_timer, conn);
    conn->parser =
        H1Parser_New(H1_REQUEST, request_limits(conn)->max_head_bytes);
    conn->body = evbuffer_new();
    bufferevent_setcb(conn->stream, on_read, on_written, on_event, conn);
    bufferevent_setwatermark(conn->stream, EV_READ, 0, INPUT_MAX_BYTES);
    bufferevent_enable(conn->stream, EV_READ | EV_WRITE);
    g_hash_table_add(gateway->conns, conn);
    set_timer(conn, request_limits(conn)->idle_timeout_ms);
    return conn;
}

void
Conn_SetCall(Conn *conn, Call *call)
{
    conn->call = call;
}

Call *
Conn_Call(const Conn *conn)
{
    return conn->call;
}

void
Conn_SendHead(Conn *conn, struct evbuffer *head)
{
    bufferevent_write_buffer(conn->stream, head);
}

void
Conn_SendBody(Conn *conn, struct evbuffer *body)
{
    bufferevent_write_buffer(conn->stream, body);
}

void
Conn_Finish(Conn *conn)
{
    conn->call = NULL;
    evbuffer_drain(conn->body, evbuffer_get_length(conn->body));
    if (Conn_WillClose(conn)) {
        close_gracefully(conn);
        return;
    }
    H1Parser_Reset(conn->parser);
    conn->state = CONN_IDLE;
    set_timer(conn, request_limits(conn)->idle_timeout_ms);
    /* The next request may be in the buffer already. It is parsed in a
     * deferred callback because the caller of this function is still ending
     * the previous call. */
    if (evbuffer_get_length(bufferevent_get_input(conn->stream)) > 0) {
        bufferevent_trigger(conn->stream, EV_READ,
                            BEV_OPT_DEFER_CALLBACKS |
                                BEV_TRIG_IGNORE_WATERMARKS);
    }
}

void
Conn_Abort(Conn *conn)
{
    conn->call = NULL;
    Conn_Free(conn);
}

bool
Conn_WillClose(const Conn *conn)
{
    return conn->close_after || conn->gateway->stopping;
}

bool
Conn_IsHttp10(const Conn *conn)
{
    return conn->http10;
}

size_t
Conn_UnsentBytes(const Conn *conn)
{
    return evbuffer_get_length(bufferevent_get_output(conn->stream));
}

HeldFor
Conn_Held(const Conn *conn)
{
    size_t unsent = Conn_UnsentBytes(conn);
    size_t in_kernel = unsent > 0 ? Held_KernelBytes(conn->gateway->held) : 0;
    size_t of_call = conn->call == NULL ? 0 : Call_HeldBytes(conn->call);
    return (HeldFor){
        .bytes = unsent + in_kernel + of_call +
                 evbuffer_get_length(conn->body) +
                 evbuffer_get_length(bufferevent_get_input(conn->stream)),
        .has_answer = unsent > 0 || (conn->call != NULL &&
                                     conn->call->state != CALL_WAITING),
        .complete = conn->call == NULL && unsent > 0,
    };
}

void
Conn_ResumeReading(Conn *conn)
{
    if (conn->call != NULL &&
        Conn_UnsentBytes(conn) <= Held_CallerPart(conn->gateway->held))
    {
        Call_OnBytesWritten(conn->call);
    }
}

void
Conn_CutOff(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CutOff(conn->call);
        return;
    }
    Conn_Free(conn);
}

void
Conn_CheckStop(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CheckStop(conn->call);
    }
}

void
Conn_EndStop(Conn *conn)
{
    if (conn->call != NULL) {
        Call_EndStop(conn->call);
    }
}

void
Conn_CheckBarred(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CheckBarred(conn->call);
    }
}

void
Conn_Drain(Conn *conn, bool close_idle)
{
    if (close_idle && conn->state == CONN_IDLE) {
        close_gracefully(conn);
    }
}
