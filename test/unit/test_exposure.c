/** @file
 * Ledger of the requests that gateways may send to a candidate: how it divides
 * them, what a new leader lends, and a randomized check of the bound.
 */
#include "unit.h"

#include <stdbool.h>

#include <glib.h>

#include "sched/exposure.h"

#define SHARE 0.1
#define SLACK 50
#define NOW (100 * US_PER_S)
/* The ledger lends this part of the bound. */
#define BOUND(requests) (0.8 * SHARE * (double)(requests) + 0.5 * SLACK)

#define GATEWAYS 38
#define LEADERS 4
#define TICK_US (50 * US_PER_MS)
#define TICKS 400
#define MESSAGES_MAX 4096

static Exposure *
new_first(void)
{
    Exposure *exposure = Exposure_New(SHARE, SLACK, NOW);
    Exposure_SetFirst(exposure);
    return exposure;
}

/* Guards against a first leader that waits for reports of permits that nobody
 * can have. */
static void
first_leader_lends_at_once(void **state)
{
    Exposure *exposure = new_first();
    assert_int_equal(Exposure_Lend(exposure, "a", NOW), 0);
    Exposure_OnReport(exposure, "a", 1, 0, 0, NOW);
    assert_int_equal(Exposure_Lend(exposure, "a", NOW), 1);
    Exposure_Free(exposure);
}

/* Guards against busy gateways that use up the slack before others have sent
 * one request, so that routes of these are not tested. */
static void
each_gateway_is_lent_one_early(void **state)
{
    Exposure *exposure = new_first();
    char id[16];
    for (int i = 0; i < GATEWAYS; i++) {
        g_snprintf(id, sizeof(id), "g%d", i);
        Exposure_OnReport(exposure, id, i == 0 ? 300 : 1, 0, 0, NOW);
    }
    uint64_t lent = 0;
    for (int i = 0; i < 50; i++) {
        lent = Exposure_Lend(exposure, "g0", NOW);
        Exposure_OnReport(exposure, "g0", 300, lent, lent, NOW);
    }
    assert_true(lent > 1);
    for (int i = 1; i < GATEWAYS; i++) {
        g_snprintf(id, sizeof(id), "g%d", i);
        assert_true(Exposure_Lend(exposure, id, NOW) >= 1);
    }
    assert_true(Exposure_Committed(exposure) <= Exposure_Limit(exposure));
    Exposure_Free(exposure);
}

/* Guards against shares that stay with gateways which had the demand once. */
static void
parts_follow_recent_demand(void **state)
{
    Exposure *exposure = new_first();
    TimeUs now = NOW;
    uint64_t requests[2] = {0};
    uint64_t lent[2] = {0};
    static const char *const ids[2] = {"a", "b"};
    for (int round = 0; round < 80; round++) {
        int busy = round < 40 ? 0 : 1;
        requests[busy] += 27;
        requests[1 - busy] += 3;
        for (int i = 0; i < 2; i++) {
            Exposure_OnReport(exposure, ids[i], requests[i], lent[i], lent[i],
                              now);
            lent[i] = Exposure_Lend(exposure, ids[i], now);
        }
        if (round == 39) {
            assert_true(lent[0] > 5 * lent[1]);
        }
        now += 250 * US_PER_MS;
    }
    assert_true(lent[1] > 60);
    assert_true((double)(lent[0] + lent[1]) >=
                0.9 * BOUND(requests[0] + requests[1]) - SLACK * 0.5);
    Exposure_Free(exposure);
}

/* Guards against reports that are counted twice or backwards. */
static void
stale_and_repeated_reports_change_nothing(void **state)
{
    Exposure *exposure = new_first();
    Exposure_OnReport(exposure, "a", 1000, 0, 0, NOW);
    uint64_t lent = Exposure_Lend(exposure, "a", NOW);
    double limit = Exposure_Limit(exposure);
    Exposure_OnReport(exposure, "a", 1000, 0, 0, NOW);
    Exposure_OnReport(exposure, "a", 400, 0, 0, NOW);
    assert_true(Exposure_Limit(exposure) == limit);
    assert_int_equal(Exposure_Lend(exposure, "a", NOW), lent);
    Exposure_Free(exposure);
}

/* Guards against streams resumed at the candidate without a permit, which
 * would be lent a second time. */
static void
requests_sent_without_a_permit_count(void **state)
{
    Exposure *exposure = new_first();
    Exposure_OnReport(exposure, "a", 100, 33, 0, NOW);
    assert_int_equal(Exposure_Lend(exposure, "a", NOW), 33);
    assert_true(Exposure_Committed(exposure) >= 33);
    Exposure_Free(exposure);
}

/* Guards against a new leader that lends what its predecessor lent already. */
static void
new_leader_waits_and_sets_the_unknown_aside(void **state)
{
    static const char *const ids[] = {"a", "b"};
    Exposure *exposure = Exposure_New(SHARE, SLACK, NOW);
    Exposure_OnReport(exposure, "a", 100, 2, 4, NOW);
    assert_int_equal(Exposure_Lend(exposure, "a", NOW), 4);
    TimeUs later = NOW + EXPOSURE_PERMIT_US;
    Exposure_OnReport(exposure, "a", 100, 4, 4, later - 1);
    assert_int_equal(Exposure_Lend(exposure, "a", later - 1), 4);
    /* b may have been lent all that is left. */
    assert_int_equal(Exposure_Lend(exposure, "a", later), 4);
    assert_true(Exposure_Committed(exposure) >= BOUND(100) - 1e-6);
    /* What is reported from now on may be lent. */
    Exposure_OnReport(exposure, "a", 200, 4, 4, later);
    assert_true(Exposure_Lend(exposure, "a", later) > 4);
    Exposure_Expect(exposure, ids, G_N_ELEMENTS(ids));
    Exposure_OnReport(exposure, "b", 50, 3, 3, later);
    assert_true(Exposure_Committed(exposure) <= 20);
    Exposure_Free(exposure);
}

/* A report or a reply on its way. */
typedef struct Message {
    bool used;
    bool is_reply;
    int gateway;
    int leader;
    int arrives; /* tick */
    uint64_t requests;
    uint64_t sent;
    uint64_t lent;
} Message;

typedef struct Gateway {
    uint64_t requests;
    uint64_t sent;
    uint64_t lent;
    int leader; /* newest one that it has reported to */
    TimeUs confirmed_at;
    int silent_until;
    int rate; /* requests per 100 ticks */
} Gateway;

/* Gateways, leaders one after another, and the network between them. */
typedef struct World {
    GRand *random;
    Gateway gateways[GATEWAYS];
    Exposure *ledgers[LEADERS];
    int leader;
    Message messages[MESSAGES_MAX];
    int tick;
} World;

static TimeUs
now_of(const World *world)
{
    return NOW + world->tick * TICK_US;
}

static const char *
name_of(int gateway)
{
    static char names[GATEWAYS][8];
    g_snprintf(names[gateway], sizeof(names[gateway]), "g%d", gateway);
    return names[gateway];
}

/* Sends a message that may be lost, delayed, overtaken or repeated. */
static void
send_message(World *world, const Message *message)
{
    int copies = g_rand_int_range(world->random, 0, 20);
    copies = copies == 0 ? 0 : (copies == 1 ? 2 : 1);
    for (int i = 0; i < MESSAGES_MAX && copies > 0; i++) {
        if (!world->messages[i].used) {
            world->messages[i] = *message;
            world->messages[i].used = true;
            int delay = g_rand_int_range(world->random, 0, 10) == 0
                            ? g_rand_int_range(world->random, 1, 60)
                            : g_rand_int_range(world->random, 0, 3);
            world->messages[i].arrives = world->tick + delay;
            copies--;
        }
    }
}

static void
send_report(World *world, int index)
{
    Gateway *gateway = &world->gateways[index];
    gateway->leader = MAX(gateway->leader, world->leader);
    Message report = {
        .gateway = index,
        .leader = gateway->leader,
        .requests = gateway->requests,
        .sent = gateway->sent,
        .lent = gateway->lent,
    };
    send_message(world, &report);
}

static void
deliver(World *world, const Message *message)
{
    Gateway *gateway = &world->gateways[message->gateway];
    if (message->is_reply) {
        if (message->leader == gateway->leader) {
            gateway->lent = MAX(gateway->lent, message->lent);
            gateway->confirmed_at = now_of(world);
        }
        return;
    }
    if (message->leader != world->leader) {
        return; /* that leader is gone */
    }
    Exposure *ledger = world->ledgers[world->leader];
    const char *name = name_of(message->gateway);
    Exposure_OnReport(ledger, name, message->requests, message->sent,
                      message->lent, now_of(world));
    Message reply = {
        .is_reply = true,
        .gateway = message->gateway,
        .leader = world->leader,
        .lent = Exposure_Lend(ledger, name, now_of(world)),
    };
    send_message(world, &reply);
}

static void
run_gateway(World *world, int index)
{
    Gateway *gateway = &world->gateways[index];
    int new_requests = gateway->rate / 100;
    new_requests +=
        g_rand_int_range(world->random, 0, 100) < gateway->rate % 100;
    for (int i = 0; i < new_requests; i++) {
        gateway->requests++;
        bool is_confirmed =
            now_of(world) - gateway->confirmed_at < EXPOSURE_PERMIT_US;
        if (is_confirmed && gateway->sent < gateway->lent) {
            gateway->sent++;
        }
    }
    if (g_rand_int_range(world->random, 0, 2000) == 0) {
        gateway->silent_until =
            world->tick + g_rand_int_range(world->random, 1, 100);
    }
    if (world->tick >= gateway->silent_until && (world->tick + index) % 5 == 0)
    {
        send_report(world, index);
    }
}

/* Elects the next leader, which may know all gateways, some time after the
 * last one has stopped. */
static void
elect(World *world)
{
    Exposure *ledger = Exposure_New(SHARE, SLACK, now_of(world));
    if (g_rand_boolean(world->random)) {
        const char *names[GATEWAYS];
        for (int i = 0; i < GATEWAYS; i++) {
            names[i] = name_of(i);
        }
        Exposure_Expect(ledger, names, GATEWAYS);
    }
    world->ledgers[++world->leader] = ledger;
}

static void
assert_bound(const World *world)
{
    uint64_t requests = 0;
    uint64_t sent = 0;
    uint64_t lent = 0;
    for (int i = 0; i < GATEWAYS; i++) {
        requests += world->gateways[i].requests;
        sent += world->gateways[i].sent;
        lent += world->gateways[i].lent;
    }
    assert_true((double)lent <= BOUND(requests) + 1e-6);
    assert_true(sent <= lent);
}

/* Plays one run and returns the requests that were sent, as a part of the
 * bound. */
static double
play(uint32_t seed)
{
    World world = {.random = g_rand_new_with_seed(seed)};
    int total = g_rand_int_range(world.random, 200, 3000);
    for (int i = 0; i < GATEWAYS; i++) {
        world.gateways[i].rate =
            g_rand_int_range(world.random, 0, 2 * total / GATEWAYS);
        world.gateways[i].confirmed_at = NOW - EXPOSURE_PERMIT_US;
    }
    world.ledgers[0] = new_first();
    for (world.tick = 0; world.tick < TICKS; world.tick++) {
        if (world.leader + 1 < LEADERS &&
            g_rand_int_range(world.random, 0, 120) == 0) {
            elect(&world);
        }
        for (int i = 0; i < MESSAGES_MAX; i++) {
            if (world.messages[i].used &&
                world.messages[i].arrives <= world.tick) {
                Message message = world.messages[i];
                world.messages[i].used = false;
                deliver(&world, &message);
            }
        }
        for (int i = 0; i < GATEWAYS; i++) {
            run_gateway(&world, i);
        }
        assert_bound(&world);
    }
    uint64_t requests = 0;
    uint64_t sent = 0;
    for (int i = 0; i < GATEWAYS; i++) {
        requests += world.gateways[i].requests;
        sent += world.gateways[i].sent;
    }
    for (int i = 0; i <= world.leader; i++) {
        Exposure_Free(world.ledgers[i]);
    }
    g_rand_free(world.random);
    return (double)sent / BOUND(requests);
}

/* Guards against a bound that fails when messages are lost, repeated or
 * overtaken, gateways fall silent, and leaders change. The oracle counts what
 * all gateways have accepted, against all requests. */
static void
bound_holds_in_random_runs(void **state)
{
    double least = 1;
    double sum = 0;
    static const int runs = 200;
    for (int seed = 1; seed <= runs; seed++) {
        double part = play((uint32_t)seed);
        least = MIN(least, part);
        sum += part;
    }
    print_message("sent, as a part of the bound: mean %.2f, least %.2f\n",
                  sum / runs, least);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(first_leader_lends_at_once),
        cmocka_unit_test(each_gateway_is_lent_one_early),
        cmocka_unit_test(parts_follow_recent_demand),
        cmocka_unit_test(stale_and_repeated_reports_change_nothing),
        cmocka_unit_test(requests_sent_without_a_permit_count),
        cmocka_unit_test(new_leader_waits_and_sets_the_unknown_aside),
        cmocka_unit_test(bound_holds_in_random_runs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
