/** @file
 * Links over loopback: Hello frames, timeouts, limits of the queue, and
 * control frames sent before bulk ones.
 */
#include "unit.h"

#include <malloc.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/buffer.h"
#include "kernel/clock.h"
#include "wire/link.h"

/* Time limit against a test that hangs. No result depends on it. */
#define TEST_TIMEOUT_US (60 * US_PER_S)
#define BULK_BYTES (256u * 1024)

/* One end of a link and what its callbacks reported. */
typedef struct End {
    struct event_base *base;
    Link *link; /* NULL while disconnected */
    unsigned connect_count;
    unsigned disconnect_count;
    unsigned bulk_frames;
    unsigned bulk_before_control; /* bulk frames received before the Cancel */
    bool control_received;
} End;

static void
on_connected(Link *link, void *owner)
{
    End *end = owner;
    end->link = link;
    end->connect_count++;
}

static void
on_disconnected(Link *link, void *owner)
{
    End *end = owner;
    end->link = NULL;
    end->disconnect_count++;
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    End *end = owner;
    if (frame->body_case == WIRE__FRAME__BODY_CANCEL && !end->control_received)
    {
        end->control_received = true;
        end->bulk_before_control = end->bulk_frames;
    }
    if (frame->body_case == WIRE__FRAME__BODY_ANSWER_PIECE) {
        end->bulk_frames++;
    }
}

static const LinkOps ops = {.connected = on_connected,
                            .disconnected = on_disconnected,
                            .frame = on_frame};

static const LinkIdentity self = {
    .role = WIRE__ROLE__ROLE_ENTRY,
    .name = "test",
    .incarnation = 3,
    .zone = "west-1",
    .region = "west",
};

typedef struct Fixture {
    struct event_base *base;
    Address address;
    LinkServer *server;
    End listening;
    End dialling;
} Fixture;

/* Sets @p address to a loopback port that is free at present. */
static void
choose_port(Address *address)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in from = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t length = sizeof(from);
    assert_int_equal(bind(fd, (struct sockaddr *)&from, length), 0);
    getsockname(fd, (struct sockaddr *)&from, &length);
    close(fd);
    char text[ADDRESS_TEXT_BYTES];
    g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(from.sin_port));
    assert_int_equal(Address_Parse(text, address, NULL), ERR_OK);
}

static int
set_up(void **state)
{
    Fixture *fixture = g_new0(Fixture, 1);
    fixture->base = event_base_new();
    choose_port(&fixture->address);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *fixture = *state;
    if (fixture->server != NULL) {
        Link_CloseServer(fixture->server);
    }
    event_base_free(fixture->base);
    g_free(fixture);
    return 0;
}

static void
start_server(Fixture *fixture)
{
    Error err = ERROR_INIT;
    fixture->server = Link_Listen(fixture->base, &self, &fixture->address,
                                  &ops, &fixture->listening, &err);
    assert_non_null(fixture->server);
}

/* Runs the event loop until @p value is at least @p wanted. */
static void
run_until(Fixture *fixture, const unsigned *value, unsigned wanted)
{
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    while (*value < wanted && Clock_Now() < deadline) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    assert_true(*value >= wanted);
}

static int
send_piece(Link *link, uint8_t *data, size_t size)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    Wire__AnswerPiece piece = WIRE__ANSWER_PIECE__INIT;
    piece.id = &id;
    piece.data.data = data;
    piece.data.len = size;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_PIECE;
    frame.answer_piece = &piece;
    return Link_Send(link, &frame);
}

static int
send_cancel(Link *link)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    Wire__Cancel cancel = WIRE__CANCEL__INIT;
    cancel.id = &id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CANCEL;
    frame.cancel = &cancel;
    return Link_Send(link, &frame);
}

static void
sends_control_before_bulk(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    Link *link = Link_Dial(fixture->base, &self, &fixture->address, &ops,
                           &fixture->dialling);
    run_until(fixture, &fixture->dialling.connect_count, 1);
    run_until(fixture, &fixture->listening.connect_count, 1);
    static uint8_t data[BULK_BYTES];
    const unsigned pieces = 32;
    for (unsigned i = 0; i < pieces; i++) {
        assert_int_equal(send_piece(link, data, sizeof(data)), ERR_OK);
    }
    assert_int_equal(send_cancel(link), ERR_OK);
    run_until(fixture, &fixture->listening.bulk_frames, pieces);
    assert_true(fixture->listening.control_received);
    /* Only the piece already in the output buffer may precede the Cancel. */
    assert_true(fixture->listening.bulk_before_control <= 1);
    Link_Close(link);
}

/* Guards against a peer that does not read, for which each small frame is kept
 * in a block of its own. */
static void
packs_queued_frames(void **state)
{
    const unsigned frames = 20000;
    Fixture *fixture = *state;
    start_server(fixture);
    Link *link = Link_Dial(fixture->base, &self, &fixture->address, &ops,
                           &fixture->dialling);
    run_until(fixture, &fixture->dialling.connect_count, 1);
    json_t *dump = json_object();
    Link_Dump(link, dump);
    json_int_t sent_before =
        json_integer_value(json_object_get(dump, "bytes_out"));
    size_t before = mallinfo2().uordblks;
    for (unsigned i = 0; i < frames; i++) {
        assert_int_equal(send_cancel(link), ERR_OK);
    }
    size_t allocated = mallinfo2().uordblks - before;
    Link_Dump(link, dump);
    size_t length =
        (size_t)(json_integer_value(json_object_get(dump, "bytes_out")) -
                 sent_before);
    json_decref(dump);
    print_message("length %zu allocated %zu\n", length, allocated);
    assert_true(length >= frames);
    assert_true(allocated <= length + length / 10 + BUFFER_BLOCK_BYTES);
    Link_Close(link);
}

static void
limits_the_queue(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    Link *link = Link_Dial(fixture->base, &self, &fixture->address, &ops,
                           &fixture->dialling);
    assert_int_equal(send_cancel(link), ERR_UNAVAILABLE);
    run_until(fixture, &fixture->dialling.connect_count, 1);
    static uint8_t data[BULK_BYTES];
    size_t sent = 0;
    while (send_piece(link, data, sizeof(data)) == ERR_OK) {
        sent += sizeof(data);
        assert_true(sent <= LINK_QUEUE_MAX_BYTES + 2 * sizeof(data));
    }
    assert_int_equal(send_piece(link, data, sizeof(data)), ERR_FULL);
    Link_Close(link);
}

static void
write_hello(int fd, uint32_t version)
{
    Wire__Hello hello = WIRE__HELLO__INIT;
    hello.version = version;
    hello.name = "raw";
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_HELLO;
    frame.hello = &hello;
    struct evbuffer *out = evbuffer_new();
    assert_int_equal(Frame_Write(out, &frame), ERR_OK);
    assert_true(evbuffer_write(out, fd) > 0);
    evbuffer_free(out);
}

static int
connect_raw(const Fixture *fixture)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    const struct sockaddr *to = (const void *)&fixture->address.storage;
    assert_int_equal(connect(fd, to, fixture->address.length), 0);
    return fd;
}

/* Runs the event loop until the peer has closed @p fd. */
static void
wait_until_closed(const Fixture *fixture, int fd)
{
    char bytes[256];
    ssize_t count = 1;
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    while (count != 0 && Clock_Now() < deadline) {
        event_base_loop(fixture->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    }
    assert_int_equal(count, 0);
    close(fd);
}

static void
refuses_another_version(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    int fd = connect_raw(fixture);
    write_hello(fd, LINK_PROTOCOL_VERSION + 1);
    wait_until_closed(fixture, fd);
    assert_int_equal(fixture->listening.connect_count, 0);
}

static void
refuses_bytes_that_are_not_a_frame(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    int fd = connect_raw(fixture);
    assert_int_equal(write(fd, "GET / HTTP/1.1\r\n\r\n", 18), 18);
    wait_until_closed(fixture, fd);
    assert_int_equal(fixture->listening.connect_count, 0);
}

static void
disconnects_a_silent_accepted_link(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    int fd = connect_raw(fixture);
    write_hello(fd, LINK_PROTOCOL_VERSION);
    run_until(fixture, &fixture->listening.connect_count, 1);
    run_until(fixture, &fixture->listening.disconnect_count, 1);
    wait_until_closed(fixture, fd);
}

static void
closes_a_connection_without_hello(void **state)
{
    Fixture *fixture = *state;
    start_server(fixture);
    int fd = connect_raw(fixture);
    /* Sends a Hello one byte at a time, too slowly to complete it in time. */
    assert_int_equal(send(fd, "\x00\x00\x0f\xa0", 4, MSG_NOSIGNAL), 4);
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    char bytes[256];
    ssize_t count = 1;
    while (count != 0 && Clock_Now() < deadline) {
        (void)!send(fd, "\0", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
        g_usleep(10 * 1000);
        event_base_loop(fixture->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count < 0 && errno == ECONNRESET) {
            count = 0;
        }
    }
    assert_int_equal(count, 0);
    close(fd);
}

static int
accept_raw(const Fixture *fixture, int server)
{
    int fd = -1;
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    while (fd < 0 && Clock_Now() < deadline) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
        fd = accept(server, NULL, NULL);
    }
    assert_true(fd >= 0);
    return fd;
}

static void
reconnects_a_silent_dialled_link(void **state)
{
    Fixture *fixture = *state;
    int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const struct sockaddr *at = (const void *)&fixture->address.storage;
    assert_int_equal(bind(server, at, fixture->address.length), 0);
    assert_int_equal(listen(server, 4), 0);
    Link *link = Link_Dial(fixture->base, &self, &fixture->address, &ops,
                           &fixture->dialling);
    int first = accept_raw(fixture, server);
    write_hello(first, LINK_PROTOCOL_VERSION);
    run_until(fixture, &fixture->dialling.disconnect_count, 1);
    /* The link dials again, although the first connection was never closed. */
    int second = accept_raw(fixture, server);
    write_hello(second, LINK_PROTOCOL_VERSION);
    run_until(fixture, &fixture->dialling.connect_count, 2);
    Link_Close(link);
    close(first);
    close(second);
    close(server);
}

static unsigned
connection_count(const Link *link)
{
    json_t *dump = json_object();
    Link_Dump(link, dump);
    json_int_t count =
        json_integer_value(json_object_get(dump, "connections"));
    json_decref(dump);
    return (unsigned)count;
}

/* Guards against a link that waits for the silence timeout when a host does
 * not answer its connection: the link must dial three times in less than two
 * silence timeouts. */
static void
redials_after_a_connect_timeout(void **state)
{
    Fixture *fixture = *state;
    int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const struct sockaddr *at = (const void *)&fixture->address.storage;
    assert_int_equal(bind(server, at, fixture->address.length), 0);
    assert_int_equal(listen(server, 0), 0);
    /* Fills the accept queue, so that the kernel drops further SYN packets. */
    int filler = connect_raw(fixture);
    TimeUs from = Clock_Now();
    Link *link = Link_Dial(fixture->base, &self, &fixture->address, &ops,
                           &fixture->dialling);
    while (connection_count(link) < 3 && Clock_Now() < from + TEST_TIMEOUT_US)
    {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    TimeUs silent = LINK_MISSED_HEARTBEATS_MAX * LINK_HEARTBEAT_MS * US_PER_MS;
    assert_true(Clock_Now() - from < 2 * silent);
    assert_true(Clock_Now() - from >= 3 * LINK_CONNECT_TIMEOUT_MS * US_PER_MS);
    Link_Close(link);
    close(filler);
    close(server);
}

#define LINK_TEST(name)                                                       \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        LINK_TEST(sends_control_before_bulk),
        LINK_TEST(packs_queued_frames),
        LINK_TEST(limits_the_queue),
        LINK_TEST(refuses_another_version),
        LINK_TEST(refuses_bytes_that_are_not_a_frame),
        LINK_TEST(disconnects_a_silent_accepted_link),
        LINK_TEST(closes_a_connection_without_hello),
        LINK_TEST(reconnects_a_silent_dialled_link),
        LINK_TEST(redials_after_a_connect_timeout),
    };
    return cmocka_run_group_tests_name("link", tests, NULL, NULL);
}
