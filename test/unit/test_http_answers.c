/** @file
 * Answers of the HTTP server to clients that read slowly. Guards against a
 * process that exceeds its memory by answers in small pieces, at any of its
 * ports, and against other clients who pay for slow ones.
 */
#include "unit.h"

#include <malloc.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/buffer.h"
#include "server/http.h"
#include "wire/client_memory.h"

#define MACHINE_MB 16
#define BOUND_BYTES ((size_t)8 * 1024 * 1024)
#define ANSWER_BYTES ((size_t)256 * 1024)
/* More than the kernel takes for a client. */
#define LARGE_BYTES ((size_t)6 * 1024 * 1024)
#define SLOW_CLIENTS 8
#define REQUEST "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
#define LOOPS_MAX 100000

static const size_t pieces[] = {1, 5, 50, 300, 1000};

typedef struct Fixture {
    struct event_base *base;
    HttpServer *server;
    Address address;
    size_t piece;
    size_t answer_bytes;
    unsigned served;
    unsigned disconnected;
    size_t allocated; /* for the latest answer in pieces */
    size_t unsent;
} Fixture;

static void
on_disconnected(void *arg)
{
    Fixture *fixture = arg;
    fixture->disconnected++;
}

/* Writes parts until so much is unsent, and does not end. */
static void
answer_in_pieces(HttpRequest *request, void *arg)
{
    Fixture *fixture = arg;
    char *bytes = g_strnfill(fixture->piece, 'x');
    struct evbuffer *part = evbuffer_new();
    HttpRequest_OnDisconnect(request, on_disconnected, fixture);
    HttpRequest_StartReply(request, 200);
    size_t before = mallinfo2().uordblks;
    size_t unsent_before = HttpRequest_UnsentBytes(request);
    while (HttpRequest_UnsentBytes(request) < fixture->answer_bytes) {
        evbuffer_add(part, bytes, fixture->piece);
        HttpRequest_SendPart(request, part);
    }
    fixture->allocated = mallinfo2().uordblks - before;
    fixture->unsent = HttpRequest_UnsentBytes(request) - unsent_before;
    evbuffer_free(part);
    g_free(bytes);
    fixture->served++;
}

static void
answer_whole(HttpRequest *request, void *arg)
{
    Fixture *fixture = arg;
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, "whole", 5);
    HttpRequest_Reply(request, 200, body);
    evbuffer_free(body);
    fixture->served++;
}

static void
answer_large(HttpRequest *request, void *arg)
{
    Fixture *fixture = arg;
    struct evbuffer *body = evbuffer_new();
    char *bytes = g_strnfill(fixture->answer_bytes, 'x');
    evbuffer_add(body, bytes, fixture->answer_bytes);
    HttpRequest_Reply(request, 200, body);
    evbuffer_free(body);
    g_free(bytes);
    fixture->served++;
}

static int
set_up(void **state)
{
    Fixture *fixture = g_new0(Fixture, 1);
    fixture->base = event_base_new();
    fixture->answer_bytes = ANSWER_BYTES;
    ClientMemory_Init(MACHINE_MB, 2, 4096);
    Error err = ERROR_INIT;
    for (unsigned port = 21000; fixture->server == NULL; port++) {
        char text[ADDRESS_TEXT_BYTES];
        g_snprintf(text, sizeof(text), "127.0.0.1:%u", port);
        assert_int_equal(Address_Parse(text, &fixture->address, &err), ERR_OK);
        fixture->server =
            HttpServer_Listen(fixture->base, &fixture->address,
                              &HttpServer_PageLimits, NULL, NULL, &err);
    }
    HttpServer_SetHandler(fixture->server, "/pieces", answer_in_pieces,
                          fixture);
    HttpServer_SetHandler(fixture->server, "/large", answer_large, fixture);
    HttpServer_SetHandler(fixture->server, "/whole", answer_whole, fixture);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *fixture = *state;
    HttpServer_Free(fixture->server);
    event_base_free(fixture->base);
    g_free(fixture);
    return 0;
}

/* Sends a request and lets it be served; the answer is not read. */
static int
ask(Fixture *fixture, const char *path)
{
    int window = 2048;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    assert_int_equal(
        connect(fd, (const struct sockaddr *)&fixture->address.storage,
                (socklen_t)fixture->address.length),
        0);
    char *request = g_strdup_printf(REQUEST, path);
    assert_int_equal(send(fd, request, strlen(request), 0), strlen(request));
    g_free(request);
    unsigned served = fixture->served;
    for (int i = 0; i < LOOPS_MAX && fixture->served == served; i++) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    assert_int_equal(fixture->served, served + 1);
    event_base_loop(fixture->base, EVLOOP_NONBLOCK);
    return fd;
}

static void
parts_share_blocks(void **state)
{
    Fixture *fixture = *state;
    for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
        fixture->piece = pieces[i];
        int fd = ask(fixture, "pieces");
        print_message("%zu: unsent %zu allocated %zu\n", pieces[i],
                      fixture->unsent, fixture->allocated);
        assert_true(fixture->allocated <= fixture->unsent +
                                              fixture->unsent / 10 +
                                              2 * BUFFER_BLOCK_BYTES);
        close(fd);
    }
}

static void
only_slow_readers_are_cut(void **state)
{
    Fixture *fixture = *state;
    const ClientBudget *budget = ClientMemory_Budget();
    int slow[SLOW_CLIENTS];
    fixture->piece = 1000;
    fixture->answer_bytes = LARGE_BYTES;
    for (unsigned i = 0; i < SLOW_CLIENTS; i++) {
        slow[i] = ask(fixture, "pieces");
        assert_true(ClientBudget_Used(budget) <= BOUND_BYTES);
        int ordinary = ask(fixture, "whole");
        char answer[256];
        ssize_t length = recv(ordinary, answer, sizeof(answer) - 1, 0);
        assert_true(length > 0);
        answer[length] = '\0';
        assert_non_null(strstr(answer, "whole"));
        close(ordinary);
    }
    print_message("cut %u of %u\n", fixture->disconnected, SLOW_CLIENTS);
    assert_true(fixture->disconnected > 0);
    assert_true(fixture->disconnected < SLOW_CLIENTS);
    for (unsigned i = 0; i < SLOW_CLIENTS; i++) {
        close(slow[i]);
    }
}

/* Complete answers beyond the budget must be given up at once, not when the
 * connection has been idle for long. */
static void
complete_answers_are_cut_at_once(void **state)
{
    Fixture *fixture = *state;
    int slow[SLOW_CLIENTS];
    fixture->answer_bytes = LARGE_BYTES;
    size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (unsigned i = 0; i < SLOW_CLIENTS; i++) {
        slow[i] = ask(fixture, "large");
        size_t held = mallinfo2().uordblks + mallinfo2().hblkhd - before;
        print_message("held %zu\n", held);
        assert_true(held <= 2 * BOUND_BYTES);
    }
    for (unsigned i = 0; i < SLOW_CLIENTS; i++) {
        close(slow[i]);
    }
}

#define ANSWERS_TEST(test)                                                    \
    cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        ANSWERS_TEST(parts_share_blocks),
        ANSWERS_TEST(only_slow_readers_are_cut),
        ANSWERS_TEST(complete_answers_are_cut_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
