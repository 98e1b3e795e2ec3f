/** @file
 * Endless answers of the fake server.
 */
#include "fake_endless.h"

#include <string.h>

#include <event2/buffer.h>
#include <glib.h>

/* Bytes written at once; more follow when they have been sent. */
#define BLOCK_BYTES (256 * 1024)

typedef struct EndlessKind {
    const char *fault;
    const char *start;  /* printed once, with the id of the request */
    const char *filler; /* printed again and again */
} EndlessKind;

#define STATUS_OK "HTTP/1.1 200 Status\r\nAttempt-Id: %s\r\n"
#define SEAL "Server-Seal: seal\r\n"

static const EndlessKind kinds[] = {
    {.fault = "endless-head", .start = "%.0s", .filler = "no answer "},
    {.fault = "endless-fields", .start = STATUS_OK, .filler = "X-More: y\r\n"},
    {.fault = "endless-interim",
     .start = "%.0s",
     .filler = "HTTP/1.1 102 Processing\r\n\r\n"},
    {.fault = "endless-body",
     .start = STATUS_OK SEAL "Connection: close\r\n\r\n",
     .filler = "more and more "},
    {.fault = "endless-chunk",
     .start = STATUS_OK SEAL "Transfer-Encoding: chunked\r\n\r\n",
     .filler = "0000"},
    {.fault = "endless-refusal",
     .start = "HTTP/1.1 503 Status\r\nAttempt-Id: %s\r\n"
              "Not-Executed: 1\r\nConnection: close\r\n\r\n",
     .filler = "busy "},
};

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

static void
write_block(struct bufferevent *connection, void *arg)
{
    const EndlessKind *kind = arg;
    struct evbuffer *out = bufferevent_get_output(connection);
    size_t length = strlen(kind->filler);
    for (size_t i = 0; i < BLOCK_BYTES / length; i++) {
        evbuffer_add(out, kind->filler, length);
    }
}

static void
on_closed(struct bufferevent *connection, short events, void *arg)
{
    bufferevent_free(connection);
}

bool
FakeEndless_TakeOver(struct bufferevent *connection, const char *fault,
                     const char *id)
{
    const EndlessKind *kind = find_kind(fault);
    if (kind == NULL) {
        return false;
    }
    bufferevent_setcb(connection, NULL, write_block, on_closed, (void *)kind);
    evbuffer_add_printf(bufferevent_get_output(connection), kind->start, id);
    write_block(connection, (void *)kind);
    return true;
}
