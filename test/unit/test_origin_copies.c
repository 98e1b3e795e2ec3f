/** @file
 * Copies of the origins of streams at keepers: which keepers are told, and
 * that corrections reach the same ones. The keepers are link servers of the
 * test.
 */
#include "unit.h"

#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/keepers.h"
#include "gateway/origin_copies.h"
#include "routes/origin_news.h"

#define KEEPERS 6
#define COPIES 3
#define TEST_TIMEOUT_US (5 * US_PER_S)
#define LIFE (10 * US_PER_S)

static const LinkIdentity identity = {
    .role = WIRE__ROLE__ROLE_KEEPER,
    .name = "test",
    .incarnation = 1,
    .zone = "z",
    .region = "r",
};

/* A keeper of the test. */
typedef struct TestKeeper {
    Keeper keeper;
    Endpoint endpoint;
    char id[16];
    char address[32];
    Address listen;
    LinkServer *server;
    unsigned connected;
    StreamOrigins *known; /* what it was told */
    unsigned told;        /* number of messages */
} TestKeeper;

typedef struct Fixture {
    GatewayOptions options;
    Gateway gateway;
    Keepers keepers;
    OriginCopies *copies;
    TestKeeper all[KEEPERS];
    Call call;
} Fixture;

static void
ignore(Link *link, void *owner)
{
}

static void
on_connected(Link *link, void *owner)
{
    TestKeeper *keeper = owner;
    keeper->connected++;
}

static void
on_news(Link *link, const Wire__Frame *frame, void *owner)
{
    TestKeeper *keeper = owner;
    if (frame->body_case == WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS) {
        OriginNews_AddAll(keeper->known, frame->stream_origin_news);
        keeper->told++;
    }
}

static void
ignore_frame(Link *link, const Wire__Frame *frame, void *owner)
{
}

static const LinkOps server_ops = {
    .connected = ignore,
    .disconnected = ignore,
    .frame = on_news,
};
static const LinkOps dial_ops = {
    .connected = on_connected,
    .disconnected = ignore,
    .frame = ignore_frame,
};

/* Runs the event loop until each value is at least @p wanted. */
static void
run_until(Fixture *fixture, const unsigned *value, unsigned wanted)
{
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    while (*value < wanted && Clock_Now() < deadline) {
        event_base_loop(fixture->gateway.base, EVLOOP_ONCE);
    }
    assert_true(*value >= wanted);
}

/* Chooses a loopback address of its own whose port is free at present. */
static void
choose_address(TestKeeper *keeper, int index)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in from = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK + (in_addr_t)index),
    };
    socklen_t length = sizeof(from);
    assert_int_equal(bind(fd, (struct sockaddr *)&from, length), 0);
    getsockname(fd, (struct sockaddr *)&from, &length);
    close(fd);
    g_snprintf(keeper->address, sizeof(keeper->address), "127.0.0.%d:%u",
               1 + index, ntohs(from.sin_port));
    assert_int_equal(Address_Parse(keeper->address, &keeper->listen, NULL),
                     ERR_OK);
}

static void
listen_at(Fixture *fixture, TestKeeper *keeper)
{
    Error err = ERROR_INIT;
    keeper->server = Link_Listen(fixture->gateway.base, &identity,
                                 &keeper->listen, &server_ops, keeper, &err);
    assert_non_null(keeper->server);
}

static void
add_keeper(Fixture *fixture, int index)
{
    TestKeeper *keeper = &fixture->all[index];
    Gateway *gateway = &fixture->gateway;
    g_snprintf(keeper->id, sizeof(keeper->id), "e%d", index);
    choose_address(keeper, index);
    keeper->known = StreamOrigins_New(ORIGIN_NEWS_KEEPER_MAX);
    keeper->endpoint = (Endpoint){
        .gateway = gateway,
        .id = keeper->id,
        .service = "engines",
        .state = ENDPOINT_READY,
    };
    listen_at(fixture, keeper);
    keeper->keeper = (Keeper){
        .keepers = &fixture->keepers,
        .endpoint_id = keeper->id,
        .address = keeper->address,
        .link = Link_Dial(gateway->base, &identity, &keeper->listen, &dial_ops,
                          keeper),
    };
    g_hash_table_insert(gateway->endpoints, keeper->id, &keeper->endpoint);
    g_hash_table_insert(fixture->keepers.by_endpoint, keeper->id,
                        &keeper->keeper);
    run_until(fixture, &keeper->connected, 1);
}

static int
set_up(void **state)
{
    Fixture *fixture = g_new0(Fixture, 1);
    fixture->options = (GatewayOptions){.name = "test"};
    Gateway *gateway = &fixture->gateway;
    gateway->options = &fixture->options;
    gateway->base = event_base_new();
    gateway->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    gateway->keepers = &fixture->keepers;
    fixture->keepers.gateway = gateway;
    fixture->keepers.by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
    fixture->keepers.wants = g_hash_table_new(g_int64_hash, g_int64_equal);
    fixture->copies = OriginCopies_New(gateway);
    for (int i = 0; i < KEEPERS; i++) {
        add_keeper(fixture, i);
    }
    fixture->call = (Call){.gateway = gateway};
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *fixture = *state;
    for (int i = 0; i < KEEPERS; i++) {
        Link_Close(fixture->all[i].keeper.link);
        if (fixture->all[i].server != NULL) {
            Link_CloseServer(fixture->all[i].server);
        }
        StreamOrigins_Free(fixture->all[i].known);
    }
    OriginCopies_Free(fixture->copies);
    g_hash_table_destroy(fixture->keepers.by_endpoint);
    g_hash_table_destroy(fixture->keepers.wants);
    g_hash_table_destroy(fixture->gateway.endpoints);
    event_base_free(fixture->gateway.base);
    g_free(fixture);
    return 0;
}

/* Tells keepers of a stream that began at the endpoint of a keeper. */
static void
tell(Fixture *fixture, const char *request, const char *software, int at)
{
    StreamOrigin origin = {
        .request = request,
        .service = "engines",
        .account = "sahil",
        .software = software,
        .expires_at = Clock_Now() + LIFE,
    };
    fixture->call.endpoint = &fixture->all[at].endpoint;
    OriginCopies_Tell(fixture->copies, &fixture->call, &origin);
}

static unsigned
messages(const Fixture *fixture)
{
    unsigned sum = 0;
    for (int i = 0; i < KEEPERS; i++) {
        sum += fixture->all[i].told;
    }
    return sum;
}

static void
run_until_told(Fixture *fixture, unsigned wanted)
{
    TimeUs deadline = Clock_Now() + TEST_TIMEOUT_US;
    while (messages(fixture) < wanted && Clock_Now() < deadline) {
        event_base_loop(fixture->gateway.base, EVLOOP_ONCE);
    }
    assert_int_equal(messages(fixture), wanted);
}

/* Returns the version that a keeper knows for a request, or NULL. */
static const char *
software_at(const Fixture *fixture, int index, const char *request)
{
    const StreamOrigin *origin =
        StreamOrigins_Find(fixture->all[index].known, request, Clock_Now());
    return origin == NULL ? NULL : origin->software;
}

/* Returns the set of keepers that know a request, as bits. */
static unsigned
who_knows(const Fixture *fixture, const char *request)
{
    unsigned set = 0;
    for (int i = 0; i < KEEPERS; i++) {
        set |= software_at(fixture, i, request) != NULL ? 1u << i : 0;
    }
    return set;
}

static void
the_granting_keeper_and_two_others_are_told(void **state)
{
    Fixture *fixture = *state;
    unsigned others = 0;
    for (int i = 0; i < 32; i++) {
        char request[16];
        g_snprintf(request, sizeof(request), "r%d", i);
        tell(fixture, request, "v1", 0);
        run_until_told(fixture, (unsigned)(i + 1) * COPIES);
        unsigned set = who_knows(fixture, request);
        assert_true((set & 1u) != 0);
        assert_int_equal(__builtin_popcount(set), COPIES);
        others |= set;
    }
    assert_int_equal(others, (1u << KEEPERS) - 1);
}

/* Guards against copies at the hosts that a release replaces next. */
static void
keepers_of_engines_that_leave_come_last(void **state)
{
    Fixture *fixture = *state;
    for (int i = 3; i < KEEPERS; i++) {
        fixture->all[i].endpoint.state = ENDPOINT_DRAINING;
    }
    tell(fixture, "r", "v1", 0);
    run_until_told(fixture, COPIES);
    assert_int_equal(who_knows(fixture, "r"), 7);
    tell(fixture, "s", "v1", 3);
    run_until_told(fixture, 2 * COPIES);
    assert_true((who_knows(fixture, "s") & ~(8u | 7u)) == 0);
}

/* Guards against a joined stream: a correction that reaches other keepers than
 * the origin did leaves a wrong version behind. */
static void
a_correction_goes_to_the_same_keepers(void **state)
{
    Fixture *fixture = *state;
    tell(fixture, "r", "v1", 0);
    run_until_told(fixture, COPIES);
    unsigned set = who_knows(fixture, "r");
    tell(fixture, "r", "", KEEPERS - 1);
    run_until_told(fixture, 2 * COPIES);
    assert_int_equal(who_knows(fixture, "r"), set);
    for (int i = 0; i < KEEPERS; i++) {
        const char *software = software_at(fixture, i, "r");
        assert_true(software == NULL || software[0] == '\0');
    }
}

/* Guards against a joined stream: a keeper that was out of reach during a
 * correction still has the version, and is told when it connects. */
static void
a_keeper_that_connects_again_is_corrected(void **state)
{
    Fixture *fixture = *state;
    TestKeeper *keeper = &fixture->all[0];
    tell(fixture, "r", "v1", 0);
    run_until_told(fixture, COPIES);
    Link_CloseServer(keeper->server);
    keeper->server = NULL;
    while (Link_IsConnected(keeper->keeper.link)) {
        event_base_loop(fixture->gateway.base, EVLOOP_ONCE);
    }
    tell(fixture, "r", "", 0);
    run_until_told(fixture, 2 * COPIES - 1);
    assert_string_equal(software_at(fixture, 0, "r"), "v1");
    listen_at(fixture, keeper);
    run_until(fixture, &keeper->connected, 2);
    OriginCopies_SendAll(fixture->copies, keeper->address,
                         keeper->keeper.link);
    run_until_told(fixture, 2 * COPIES);
    assert_string_equal(software_at(fixture, 0, "r"), "");
}

/* Guards against a gateway whose memory grows with the streams of callers that
 * have much time: the bound holds for each keeper. */
static void
what_a_keeper_was_told_is_bounded(void **state)
{
    Fixture *fixture = *state;
    TestKeeper *keeper = &fixture->all[0];
    unsigned count = ORIGIN_NEWS_COPIES_MAX + 100;
    for (unsigned i = 0; i < count; i++) {
        char request[16];
        g_snprintf(request, sizeof(request), "r%u", i);
        tell(fixture, request, "v1", 0);
        run_until_told(fixture, (i + 1) * COPIES);
    }
    assert_int_equal(StreamOrigins_Count(keeper->known), count);
    StreamOrigins_Free(keeper->known);
    keeper->known = StreamOrigins_New(ORIGIN_NEWS_KEEPER_MAX);
    unsigned before = keeper->told;
    OriginCopies_SendAll(fixture->copies, keeper->address,
                         keeper->keeper.link);
    run_until(fixture, &keeper->told, before + 2);
    assert_int_equal(StreamOrigins_Count(keeper->known),
                     ORIGIN_NEWS_COPIES_MAX);
}

/* Guards against a gateway that needs three keepers to remember a stream. */
static void
fewer_keepers_are_told_as_far_as_they_go(void **state)
{
    Fixture *fixture = *state;
    for (int i = 1; i < KEEPERS; i++) {
        g_hash_table_remove(fixture->keepers.by_endpoint, fixture->all[i].id);
    }
    tell(fixture, "r", "v1", 0);
    run_until_told(fixture, 1);
    g_hash_table_remove(fixture->keepers.by_endpoint, fixture->all[0].id);
    tell(fixture, "s", "v1", 0);
    assert_int_equal(messages(fixture), 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            the_granting_keeper_and_two_others_are_told, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            keepers_of_engines_that_leave_come_last, set_up, tear_down),
        cmocka_unit_test_setup_teardown(what_a_keeper_was_told_is_bounded,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_correction_goes_to_the_same_keepers,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            a_keeper_that_connects_again_is_corrected, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            fewer_keepers_are_told_as_far_as_they_go, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
