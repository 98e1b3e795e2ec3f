/** @file
 * Endless answers of the fake server.
 */
#include "fake_endless.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>

/* Bytes written at once; more follow when they have been sent. */
#define BLOCK_BYTES (256 * 1024)

/* Time between two bytes of a slow answer. */
#define SLOW_MS 1

typedef struct EndlessKind {
    const char *fault;
    const char *start;  /* printed once, with the id of the request */
    const char *filler; /* printed again and again */
    bool slow;          /* a byte of the filler at a time */
} EndlessKind;

#define STATUS_OK "HTTP/1.1 200 Status\r\nAttempt-Id: %s\r\n"
#define STATUS_REFUSED                                                        \
    "HTTP/1.1 503 Status\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
#define SEAL "Server-Seal: seal\r\n"
#define CHUNKED STATUS_OK SEAL "Transfer-Encoding: chunked\r\n\r\n"

static const EndlessKind kinds[] = {
    {.fault = "endless-head", .start = "%.0s", .filler = "no answer "},
    {.fault = "endless-line", .start = "%.0s", .filler = "x"},
    {.fault = "endless-lines", .start = "%.0s", .filler = "no answer\r\n"},
    {.fault = "endless-status", .start = "HTTP/1.1 200 %.0s", .filler = "OK "},
    {.fault = "endless-field", .start = STATUS_OK "X-More: ", .filler = "y"},
    {.fault = "endless-slow",
     .start = STATUS_OK "X-More: ",
     .filler = "y",
     .slow = true},
    {.fault = "endless-folded",
     .start = STATUS_OK "X-More: y\r\n",
     .filler = " more\r\n"},
    {.fault = "endless-fields", .start = STATUS_OK, .filler = "X-More: y\r\n"},
    {.fault = "endless-interim",
     .start = "%.0s",
     .filler = "HTTP/1.1 102 Processing\r\n\r\n"},
    {.fault = "endless-interim-fields",
     .start = "HTTP/1.1 102 Processing\r\n%.0s",
     .filler = "X-More: y\r\n"},
    {.fault = "endless-body",
     .start = STATUS_OK SEAL "Connection: close\r\n\r\n",
     .filler = "more and more "},
    {.fault = "endless-announced",
     .start = STATUS_OK SEAL "Content-Length: 100000000000\r\n\r\n",
     .filler = "more and more "},
    {.fault = "endless-chunk", .start = CHUNKED, .filler = "0000"},
    {.fault = "endless-extension", .start = CHUNKED "1;", .filler = "more"},
    {.fault = "endless-bytes", .start = CHUNKED, .filler = "1\r\nx\r\n"},
    {.fault = "endless-trailer",
     .start = CHUNKED "0\r\n",
     .filler = "X-More: y\r\n"},
    {.fault = "endless-refusal",
     .start = STATUS_REFUSED "Connection: close\r\n\r\n",
     .filler = "busy "},
    {.fault = "endless-refusal-fields",
     .start = STATUS_REFUSED,
     .filler = "X-More: y\r\n"},
    {.fault = "endless-after",
     .start = STATUS_OK SEAL "Content-Length: 2\r\n\r\nok",
     .filler = "more and more "},
    {.fault = "endless-event",
     .start = STATUS_OK SEAL "Content-Type: text/event-stream\r\n"
                             "Connection: close\r\n\r\n",
     .filler = "x",
     .slow = true},
};
/* The kinds that `endless-each` goes through. */
#define EACH_COUNT (G_N_ELEMENTS(kinds) - 1)

static const EndlessKind *
find_kind(const char *fault)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].fault, fault) == 0) {
            return &kinds[i];
        }
    }
    return NULL;
}

static const EndlessKind *
select_kind(const char *fault, const char *target)
{
    static size_t next;
    if (strcmp(fault, "endless-each") != 0) {
        return find_kind(fault);
    }
    const char *name = strrchr(target, '/');
    const EndlessKind *kind = name == NULL ? NULL : find_kind(name + 1);
    return kind != NULL ? kind : &kinds[next++ % EACH_COUNT];
}

typedef struct Writer {
    const EndlessKind *kind;
    struct bufferevent *connection;
    struct event *timer; /* of a slow answer, or NULL */
} Writer;

static void
write_block(struct bufferevent *connection, void *arg)
{
    const Writer *writer = arg;
    struct evbuffer *out = bufferevent_get_output(connection);
    size_t length = strlen(writer->kind->filler);
    if (writer->timer != NULL) {
        return;
    }
    for (size_t i = 0; i < BLOCK_BYTES / length; i++) {
        evbuffer_add(out, writer->kind->filler, length);
    }
}

static void
write_byte(evutil_socket_t fd, short events, void *arg)
{
    const Writer *writer = arg;
    evbuffer_add(bufferevent_get_output(writer->connection),
                 writer->kind->filler, 1);
}

static void
on_closed(struct bufferevent *connection, short events, void *arg)
{
    Writer *writer = arg;
    if (writer->timer != NULL) {
        event_free(writer->timer);
    }
    bufferevent_free(connection);
    g_free(writer);
}

bool
FakeEndless_TakeOver(struct bufferevent *connection, const char *fault,
                     const char *target, const char *id)
{
    const EndlessKind *kind = select_kind(fault, target);
    if (kind == NULL) {
        return false;
    }
    Writer *writer = g_new0(Writer, 1);
    *writer = (Writer){.kind = kind, .connection = connection};
    bufferevent_setcb(connection, NULL, write_block, on_closed, writer);
    evbuffer_add_printf(bufferevent_get_output(connection), kind->start, id);
    if (kind->slow) {
        struct timeval gap = {.tv_usec = SLOW_MS * 1000};
        writer->timer = event_new(bufferevent_get_base(connection), -1,
                                  EV_PERSIST, write_byte, writer);
        event_add(writer->timer, &gap);
    }
    write_block(connection, writer);
    return true;
}
