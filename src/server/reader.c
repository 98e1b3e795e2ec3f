/** @file
 * Reads the requests of one client connection.
 */
#include "server/reader.h"

#include <string.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <event2/buffer.h>

#include "kernel/buffer.h"
#include "kernel/log.h"
#include "wire/client_memory.h"

#define PART "clients"
/* Input beyond the largest head that is read before it is parsed, and input
 * that is read ahead while a request is served. */
#define INPUT_SPARE_BYTES (8u * 1024)
/* Body from which one block is allocated for the whole. */
#define LARGE_BODY_BYTES (256u * 1024)
/* Body above which a request is judged by its head alone. */
#define JUDGED_BODY_BYTES (64u * 1024)
/* Bytes by which the charge of a chunked body grows. */
#define CHARGE_STEP_BYTES (64u * 1024)
/* A buffer may be half empty, and fields are copied. */
#define BUFFER_FACTOR 2
/* Time that the client has to close its side after the last answer. An earlier
 * close could send a reset that destroys the answer. */
#define LINGER_TIMEOUT_MS 1000
#define RETRY_AFTER_MS 500

typedef enum ReaderState {
    READER_IDLE,    /* between requests */
    READER_HEAD,    /* a part of a head has arrived */
    READER_BODY,    /* the head was accepted */
    READER_SERVED,  /* the owner answers */
    READER_CLOSING, /* flushing the last answer, then waiting for the client to
                       close */
} ReaderState;

struct Reader {
    struct event_base *base;
    const ReaderOps *ops;
    void *owner;
    struct bufferevent *stream;
    struct event *timer;
    H1Parser *parser;
    ReaderState state;
    ClientAccount account;
    size_t input_left;    /* input that was parsed without a result */
    bool large_window;    /* the kernel receives as for a body */
    bool discards_input;  /* further requests are dropped */
    bool write_closed;    /* the sending side is shut down */
    bool cut;             /* to be closed, since it holds too much */
    size_t unsent_before; /* unsent bytes when the idle timer last ran */
};

static const ReaderRefusal out_of_memory = {
    .status = 503,
    .code = "out_of_memory",
    .message = "Too much is held for clients at present.",
    .retry_after_ms = RETRY_AFTER_MS,
};
static const ReaderRefusal timed_out = {
    .status = 408,
    .code = "timeout",
    .message = "The request was not received completely in time.",
};
static const ReaderRefusal body_too_large = {
    .status = 413,
    .code = "too_large",
    .message = "The request body exceeds the size limit.",
};

/* Returns whether the end of a head or body is awaited. */
static bool
is_receiving(const Reader *reader)
{
    return reader->state == READER_HEAD || reader->state == READER_BODY;
}

static ReaderLimits
get_limits(const Reader *reader)
{
    ReaderLimits limits;
    reader->ops->limits(reader->owner, &limits);
    return limits;
}

static void
set_timer(Reader *reader, uint32_t ms)
{
    struct timeval span = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    if (!reader->cut) {
        event_add(reader->timer, &span);
    }
}

static void
set_window(evutil_socket_t fd, unsigned bytes)
{
    /* The kernel doubles the size that is set, for its own data. */
    int size = (int)bytes / 2;
    if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) != 0) {
        LOG_DEBUG(PART, "Receive buffer of a socket cannot be set.");
    }
}

static void
set_phase(Reader *reader, ClientPhase phase)
{
    ClientBudget_SetPhase(ClientMemory_Budget(), &reader->account, phase,
                          Clock_Now());
}

/* Returns the charge of the connection with its unsent answer, without a
 * request. */
static size_t
least_charge(const Reader *reader)
{
    return CLIENT_IDLE_BYTES + reader->account.answer;
}

/* Lowers the charge to what a connection without a request takes. */
static void
release_request(Reader *reader)
{
    struct evbuffer *body = H1Parser_Body(reader->parser);
    evbuffer_drain(body, evbuffer_get_length(body));
    if (reader->large_window) {
        reader->large_window = false;
        set_window(bufferevent_getfd(reader->stream),
                   CLIENT_IDLE_KERNEL_BYTES);
    }
    if (reader->account.bytes > least_charge(reader)) {
        ClientMemory_Charge(&reader->account, least_charge(reader));
        ClientMemory_OnReleased(reader->base);
    }
}

/* Shuts down the sending side once the output is flushed, then waits for the
 * client to close. */
static void
close_gracefully(Reader *reader)
{
    reader->state = READER_CLOSING;
    set_phase(reader, CLIENT_SERVED);
    if (reader->write_closed) {
        return;
    }
    if (Reader_UnsentBytes(reader) > 0) {
        set_timer(reader, get_limits(reader).idle_timeout_ms);
        return;
    }
    reader->write_closed = true;
    shutdown(bufferevent_getfd(reader->stream), SHUT_WR);
    set_timer(reader, LINGER_TIMEOUT_MS);
}

static void
drop_input(Reader *reader)
{
    struct evbuffer *in = bufferevent_get_input(reader->stream);
    evbuffer_drain(in, evbuffer_get_length(in));
    reader->input_left = 0;
}

/* Closes the connection, whose owner may be writing to it, from the event
 * loop. */
static void
cut(void *owner)
{
    Reader *reader = owner;
    reader->cut = true;
    reader->discards_input = true;
    event_active(reader->timer, EV_TIMEOUT, 0);
}

/* Answers a request that is not read to its end, and closes. */
static void
refuse(Reader *reader, const ReaderRefusal *refusal)
{
    const H1Head *head =
        reader->state == READER_BODY ? H1Parser_Head(reader->parser) : NULL;
    reader->ops->print_refusal(
        reader->owner, bufferevent_get_output(reader->stream), head, refusal);
    drop_input(reader);
    release_request(reader);
    close_gracefully(reader);
}

static void
refuse_malformed(Reader *reader, const Error *err)
{
    bool too_large = err->code == ERR_TOO_LARGE;
    refuse(reader, &(ReaderRefusal){
                       .status = too_large ? 431 : 400,
                       .code = too_large ? "too_large" : "invalid",
                       .message = err->text,
                   });
}

/* Gives way to other clients. */
static void
yield(void *owner)
{
    Reader *reader = owner;
    if (reader->state == READER_IDLE) {
        reader->ops->closed(reader->owner);
        return;
    }
    refuse(reader, &timed_out);
}

/* Returns the charge of the current request with a body of this size. */
static size_t
request_bytes(const Reader *reader, size_t body_bytes)
{
    size_t kernel = reader->large_window
                        ? CLIENT_BODY_KERNEL_BYTES - CLIENT_IDLE_KERNEL_BYTES
                        : 0;
    return least_charge(reader) + kernel + body_bytes +
           BUFFER_FACTOR * H1Parser_Head(reader->parser)->raw_bytes;
}

/* Charges a body of this size, and lets the kernel receive more at once if it
 * would otherwise take several round trips.
 * @return false when the request was refused. */
static bool
charge_body(Reader *reader, size_t body_bytes)
{
    bool widens =
        !reader->large_window && body_bytes > CLIENT_IDLE_KERNEL_BYTES;
    reader->large_window = reader->large_window || widens;
    size_t wanted = request_bytes(reader, body_bytes);
    if (wanted > reader->account.bytes &&
        !ClientMemory_Charge(&reader->account, wanted))
    {
        reader->large_window = reader->large_window && !widens;
        refuse(reader, &out_of_memory);
        return false;
    }
    if (widens) {
        set_window(bufferevent_getfd(reader->stream),
                   CLIENT_BODY_KERNEL_BYTES);
    }
    return true;
}

/* Handles a parsed head before its body is read.
 * @return false when the request was refused. */
static bool
accept_head(Reader *reader)
{
    const H1Head *head = H1Parser_Head(reader->parser);
    ReaderLimits limits = get_limits(reader);
    reader->state = READER_BODY;
    set_phase(reader, CLIENT_RECEIVING);
    const ReaderRefusal *refusal =
        head->has_length && head->length > limits.max_body_bytes
            ? &body_too_large
            : reader->ops->check(reader->owner, head);
    if (refusal != NULL) {
        refuse(reader, refusal);
        return false;
    }
    size_t length = head->has_length ? (size_t)head->length : 0;
    if (!charge_body(reader, length)) {
        return false;
    }
    if (length >= LARGE_BODY_BYTES) {
        evbuffer_expand(H1Parser_Body(reader->parser), length);
    }
    const char *expect = H1Head_Get(head, "Expect");
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        evbuffer_add_printf(bufferevent_get_output(reader->stream),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    set_timer(reader, limits.body_timeout_ms);
    return true;
}

/* Checks the body after a part of it was parsed.
 * @return false when the request was refused. */
static bool
accept_body(Reader *reader)
{
    size_t length = evbuffer_get_length(H1Parser_Body(reader->parser));
    if (length > get_limits(reader).max_body_bytes) {
        refuse(reader, &body_too_large);
        return false;
    }
    if (!H1Parser_Head(reader->parser)->chunked) {
        return true;
    }
    size_t steps = length / CHARGE_STEP_BYTES + 1;
    return charge_body(reader, steps * CHARGE_STEP_BYTES);
}

/* Handles a head of which more bytes are needed. */
static void
await_head(Reader *reader)
{
    size_t length = evbuffer_get_length(bufferevent_get_input(reader->stream));
    if (length == 0) {
        return;
    }
    if (reader->state == READER_IDLE) {
        reader->state = READER_HEAD;
        set_phase(reader, CLIENT_RECEIVING);
        set_timer(reader, get_limits(reader).head_timeout_ms);
    }
    size_t wanted = least_charge(reader) + BUFFER_FACTOR * length;
    if (!ClientMemory_Charge(&reader->account, wanted)) {
        refuse(reader, &out_of_memory);
    }
}

static void
serve(Reader *reader)
{
    event_del(reader->timer);
    reader->state = READER_SERVED;
    set_phase(reader, CLIENT_SERVED);
    struct evbuffer *body = H1Parser_Body(reader->parser);
    reader->input_left =
        evbuffer_get_length(bufferevent_get_input(reader->stream));
    reader->ops->serve(reader->owner, H1Parser_Head(reader->parser), body);
}

/* Parses the input until a request is served or more bytes are needed. */
static void
parse_requests(Reader *reader)
{
    struct evbuffer *in = bufferevent_get_input(reader->stream);
    while (reader->state < READER_SERVED) {
        Error err = ERROR_INIT;
        switch (H1Parser_Next(reader->parser, in, &err)) {
        case H1_NEED_MORE:
            if (reader->state < READER_BODY) {
                await_head(reader);
            }
            reader->input_left = evbuffer_get_length(in);
            return;
        case H1_HEAD:
            if (!accept_head(reader)) {
                return;
            }
            break;
        case H1_BODY:
            if (!accept_body(reader)) {
                return;
            }
            break;
        case H1_DONE:
            serve(reader); /* may free the reader */
            return;
        case H1_INVALID:
            refuse_malformed(reader, &err);
            return;
        }
    }
}

/* Charges what is read ahead of a request that is served, or drops it and
 * closes after the answer: requests that are not read have not run. */
static void
hold_input(Reader *reader)
{
    size_t length = evbuffer_get_length(bufferevent_get_input(reader->stream));
    size_t added = length - MIN(reader->input_left, length);
    reader->input_left = length;
    if (!ClientMemory_Charge(&reader->account,
                             reader->account.bytes + BUFFER_FACTOR * added))
    {
        reader->discards_input = true;
        drop_input(reader);
    }
}

static void
on_read(struct bufferevent *stream, void *arg)
{
    Reader *reader = arg;
    if (reader->state == READER_CLOSING || reader->discards_input) {
        drop_input(reader);
        return;
    }
    if (reader->state == READER_SERVED) {
        hold_input(reader);
        return;
    }
    size_t length = evbuffer_get_length(bufferevent_get_input(stream));
    reader->account.received += length - MIN(reader->input_left, length);
    parse_requests(reader);
}

/* Marks a connection as idle once its last answer was written. Until then it
 * does not give way. */
static void
mark_idle(Reader *reader)
{
    if (reader->state == READER_IDLE && Reader_UnsentBytes(reader) == 0) {
        set_phase(reader, CLIENT_IDLE);
    }
}

static void
on_written(struct bufferevent *stream, void *arg)
{
    Reader *reader = arg;
    if (reader->state == READER_CLOSING) {
        close_gracefully(reader);
        return;
    }
    if (reader->account.answer > 0) {
        Reader_ChargeAnswer(reader);
        ClientMemory_OnReleased(reader->base);
    }
    mark_idle(reader);
    if (reader->ops->written != NULL) {
        reader->ops->written(reader->owner);
    }
}

static void
on_event(struct bufferevent *stream, short events, void *arg)
{
    const Reader *reader = arg;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        reader->ops->closed(reader->owner);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Reader *reader = arg;
    if (reader->cut) {
        reader->ops->closed(reader->owner);
        return;
    }
    if (is_receiving(reader)) {
        refuse(reader, &timed_out);
        return;
    }
    size_t unsent = Reader_UnsentBytes(reader);
    if (unsent > 0 && unsent != reader->unsent_before) {
        /* The client still reads its last answer. */
        reader->unsent_before = unsent;
        set_timer(reader, get_limits(reader).idle_timeout_ms);
        return;
    }
    reader->ops->closed(reader->owner);
}

bool
Reader_JudgesHead(const H1Head *head)
{
    return head->chunked || head->length > JUDGED_BODY_BYTES;
}

void
Reader_PrepareListener(evutil_socket_t fd)
{
    set_window(fd, CLIENT_IDLE_KERNEL_BYTES);
}

Reader *
Reader_New(struct event_base *base, evutil_socket_t fd, const ReaderOps *ops,
           void *owner)
{
    Reader *reader = g_new0(Reader, 1);
    if (!ClientMemory_Open(&reader->account, yield, reader)) {
        evutil_closesocket(fd);
        g_free(reader);
        return NULL;
    }
    reader->account.cut = cut;
    reader->base = base;
    reader->ops = ops;
    reader->owner = owner;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ReaderLimits limits = get_limits(reader);
    reader->stream = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    reader->timer = event_new(base, -1, 0, on_timer, reader);
    reader->parser = H1Parser_New(H1_REQUEST, limits.max_head_bytes);
    bufferevent_setcb(reader->stream, on_read, on_written, on_event, reader);
    bufferevent_setwatermark(reader->stream, EV_READ, 0,
                             limits.max_head_bytes + INPUT_SPARE_BYTES);
    bufferevent_enable(reader->stream, EV_READ | EV_WRITE);
    set_timer(reader, limits.idle_timeout_ms);
    return reader;
}

void
Reader_Free(Reader *reader)
{
    ClientMemory_Close(&reader->account);
    bufferevent_free(reader->stream);
    event_free(reader->timer);
    if (reader->parser != NULL) {
        H1Parser_Free(reader->parser);
    }
    ClientMemory_OnReleased(reader->base);
    g_free(reader);
}

struct bufferevent *
Reader_Stream(const Reader *reader)
{
    return reader->stream;
}

void
Reader_Finish(Reader *reader, bool close)
{
    release_request(reader);
    if (close || reader->discards_input) {
        drop_input(reader);
        close_gracefully(reader);
        return;
    }
    H1Parser_Reset(reader->parser);
    reader->state = READER_IDLE;
    mark_idle(reader);
    set_timer(reader, get_limits(reader).idle_timeout_ms);
    /* The next request may be in the buffer already. It is parsed in a
     * deferred callback because the caller of this function is still ending
     * the previous one. */
    reader->input_left = 0;
    if (evbuffer_get_length(bufferevent_get_input(reader->stream)) > 0) {
        bufferevent_trigger(reader->stream, EV_READ,
                            BEV_OPT_DEFER_CALLBACKS |
                                BEV_TRIG_IGNORE_WATERMARKS);
    }
}

bool
Reader_WillClose(const Reader *reader)
{
    return reader->discards_input;
}

void
Reader_CloseIfIdle(Reader *reader)
{
    if (reader->state == READER_IDLE) {
        close_gracefully(reader);
    }
}

size_t
Reader_UnsentBytes(const Reader *reader)
{
    return evbuffer_get_length(bufferevent_get_output(reader->stream));
}

size_t
Reader_HeldBytes(const Reader *reader)
{
    return Buffer_AllocatedBytes(bufferevent_get_output(reader->stream));
}

void
Reader_ChargeAnswer(Reader *reader)
{
    if (reader->cut) {
        return;
    }
    bool small = Reader_UnsentBytes(reader) < BUFFER_BLOCK_BYTES;
    ClientMemory_ChargeAnswer(&reader->account,
                              small ? 0 : Reader_HeldBytes(reader));
}

size_t
Reader_ChargedBytes(const Reader *reader)
{
    return reader->account.bytes - CLIENT_IDLE_BYTES;
}

H1Parser *
Reader_Parser(const Reader *reader)
{
    return reader->parser;
}

H1Parser *
Reader_TakeParser(Reader *reader)
{
    H1Parser *parser = reader->parser;
    reader->parser = NULL;
    return parser;
}
