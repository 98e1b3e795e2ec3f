/** @file
 * Guards against clients whose requests are each within the limits and
 * together exceed the memory of the process: they are refused, those that
 * stall or trickle give way to those that send, and ordinary requests pass
 * beside them.
 */
#include "unit.h"

#include <glib.h>

#include "sched/client_budget.h"

#define MIB ((size_t)1024 * 1024)
#define BOUND (24 * MIB)
#define CLIENTS 400
#define CONNECTIONS 2000
#define BODY MIB
#define SMALL ((size_t)32 * 1024)

typedef struct Client {
    ClientAccount account;
    bool ended;
} Client;

typedef struct Crowd {
    ClientBudget *budget;
    Client clients[CLIENTS];
    unsigned gave_way;
} Crowd;

static Crowd crowd;

static void
yield(void *owner)
{
    Client *client = owner;
    client->ended = true;
    crowd.gave_way++;
    ClientBudget_Close(crowd.budget, &client->account);
}

static bool
open_client(Client *client, TimeUs now)
{
    *client = (Client){.ended = false};
    return ClientBudget_Open(crowd.budget, &client->account, yield, client,
                             now);
}

/* Charges a request, for which others may give way. */
static bool
charge(Client *client, size_t bytes, TimeUs now)
{
    while (!ClientBudget_Charge(crowd.budget, &client->account,
                                CLIENT_IDLE_BYTES + bytes))
    {
        ClientAccount *other = ClientBudget_ChooseYielding(
            crowd.budget, &client->account, CLIENT_IDLE_BYTES + bytes, now);
        if (other == NULL) {
            return false;
        }
        other->yield(other->owner);
    }
    ClientBudget_SetPhase(crowd.budget, &client->account, CLIENT_RECEIVING,
                          now);
    return true;
}

static int
begin(void **state)
{
    crowd = (Crowd){.budget = ClientBudget_New(BOUND, CONNECTIONS)};
    return 0;
}

static int
end(void **state)
{
    ClientBudget_Free(crowd.budget);
    return 0;
}

/* Opens clients with a body each.
 * @return how many were accepted. */
static unsigned
open_bodies(unsigned count, TimeUs now)
{
    unsigned accepted = 0;
    for (unsigned i = 0; i < count; i++) {
        assert_true(open_client(&crowd.clients[i], now));
        accepted += charge(&crowd.clients[i], BODY, now) ? 1 : 0;
    }
    return accepted;
}

static void
large_bodies_leave_room_for_ordinary_requests(void **state)
{
    unsigned accepted = open_bodies(64, 0);
    print_message("%u of 64 bodies accepted\n", accepted);
    assert_in_range(accepted, 10, 18);
    assert_true(ClientBudget_Used(crowd.budget) <= BOUND);
    for (unsigned i = 64; i < 128; i++) {
        assert_true(open_client(&crowd.clients[i], 0));
        assert_true(charge(&crowd.clients[i], SMALL, 0));
    }
    assert_int_equal(crowd.gave_way, 0);
    assert_true(ClientBudget_Used(crowd.budget) <= BOUND);
}

static void
stalled_bodies_give_way(void **state)
{
    open_bodies(64, 0);
    TimeUs now = 3 * US_PER_S;
    /* The first client has sent half of its body, the others nothing. */
    crowd.clients[0].account.received = BODY / 2;
    Client late;
    assert_true(open_client(&late, now));
    assert_true(charge(&late, BODY, now));
    assert_false(crowd.clients[0].ended);
    assert_in_range(crowd.gave_way, 1, 2);
}

/* Clients that send 8 KB/s never stall, but hold their memory for minutes. */
static void
trickling_bodies_give_way(void **state)
{
    unsigned accepted = open_bodies(32, 0);
    for (TimeUs now = 0; now < 3 * US_PER_S; now += US_PER_S / 4) {
        for (unsigned i = 0; i < accepted; i++) {
            crowd.clients[i].account.received += 2048;
        }
    }
    Client late;
    assert_true(open_client(&late, 3 * US_PER_S));
    assert_true(charge(&late, BODY, 3 * US_PER_S));
    assert_true(crowd.gave_way >= 1);
}

static void
steady_senders_never_give_way(void **state)
{
    unsigned accepted = open_bodies(32, 0);
    for (unsigned i = 0; i < accepted; i++) {
        crowd.clients[i].account.received = 2 * BODY;
    }
    Client late;
    assert_true(open_client(&late, 10 * US_PER_S));
    assert_false(charge(&late, BODY, 10 * US_PER_S));
    assert_int_equal(crowd.gave_way, 0);
}

/* A request that is served holds its body, and does not give way. */
static void
served_requests_never_give_way(void **state)
{
    unsigned accepted = open_bodies(32, 0);
    for (unsigned i = 0; i < 32; i++) {
        ClientBudget_SetPhase(crowd.budget, &crowd.clients[i].account,
                              CLIENT_SERVED, 0);
    }
    Client late;
    assert_true(open_client(&late, 60 * US_PER_S));
    assert_false(charge(&late, BODY, 60 * US_PER_S));
    assert_int_equal(crowd.gave_way, 0);
    assert_true(accepted > 0);
}

static void
idle_connections_give_way_to_new_ones(void **state)
{
    end(state);
    crowd.budget = ClientBudget_New(BOUND, 100);
    for (unsigned i = 0; i < 100; i++) {
        assert_true(open_client(&crowd.clients[i], i));
    }
    Client late;
    assert_false(open_client(&late, US_PER_S));
    ClientAccount *other = ClientBudget_ChooseYielding(
        crowd.budget, NULL, CLIENT_IDLE_BYTES, US_PER_S);
    assert_ptr_equal(other, &crowd.clients[0].account);
    other->yield(other->owner);
    assert_true(open_client(&late, US_PER_S));
}

/* Bodies that are served and idle connections fill the budget: an ordinary
 * request must not be refused for connections that do nothing. */
static void
idle_connections_give_way_to_ordinary_requests(void **state)
{
    open_bodies(64, 0);
    for (unsigned i = 0; i < 64; i++) {
        ClientBudget_SetPhase(crowd.budget, &crowd.clients[i].account,
                              CLIENT_SERVED, 0);
    }
    unsigned opened = 64;
    while (opened + 1 < CLIENTS && open_client(&crowd.clients[opened], 0)) {
        opened++;
    }
    Client *ordinary = &crowd.clients[opened - 1];
    assert_true(charge(ordinary, SMALL, 0));
    assert_in_range(crowd.gave_way, 1, 2);
    assert_false(ordinary->ended);
    assert_true(ClientBudget_Used(crowd.budget) <= BOUND);
}

/* A body that needs the room of idle connections gets it, after requests that
 * are behind. */
static void
idle_connections_give_way_to_large_bodies_last(void **state)
{
    end(state);
    crowd.budget = ClientBudget_New(BOUND, CONNECTIONS);
    unsigned opened = 0;
    while (opened < CLIENTS && open_client(&crowd.clients[opened], 0)) {
        opened++;
    }
    assert_true(charge(&crowd.clients[0], BODY, 0));
    Client *largest = &crowd.clients[1];
    size_t bytes = ClientBudget_LargestBody(BOUND);
    assert_true(charge(largest, bytes, 10 * US_PER_S));
    assert_true(crowd.clients[0].ended);
    assert_false(largest->ended);
    assert_true(ClientBudget_Used(crowd.budget) <= BOUND);
}

static void
a_single_largest_body_always_fits(void **state)
{
    size_t largest = ClientBudget_LargestBody(BOUND);
    assert_true(largest > BOUND / 2);
    Client client;
    assert_true(open_client(&client, 0));
    assert_true(charge(&client, largest, 0));
    assert_int_equal(ClientBudget_LargestBody(0), 0);
}

static void
a_frame_beyond_the_bound_is_held_alone(void **state)
{
    Client client;
    assert_true(open_client(&client, 0));
    assert_false(charge(&client, 2 * BOUND, 0));
    assert_true(
        ClientBudget_ChargeAlone(crowd.budget, &client.account, 2 * BOUND));
    Client other;
    other = (Client){.ended = false};
    assert_false(ClientBudget_ChargeAlone(crowd.budget, &other.account, 1));
    ClientBudget_Force(crowd.budget, &client.account, 0);
    assert_true(ClientBudget_ChargeAlone(crowd.budget, &other.account, 1));
}

static void
answers_count(void **state)
{
    Client client;
    assert_true(open_client(&client, 0));
    ClientBudget_SetAnswers(crowd.budget, BOUND - 2 * SMALL);
    assert_false(charge(&client, 2 * SMALL, 0));
    ClientBudget_SetAnswers(crowd.budget, 0);
    assert_true(charge(&client, 2 * SMALL, 0));
}

/* The bound holds for answers too, and only their slow readers pay. */
static void
the_largest_unsent_answers_are_cut(void **state)
{
    Client *clients = crowd.clients;
    for (unsigned i = 0; i < 100; i++) {
        assert_true(open_client(&clients[i], 0));
        ClientBudget_SetAnswer(crowd.budget, &clients[i].account,
                               i < 98 ? SMALL : 12 * MIB);
    }
    assert_ptr_equal(ClientBudget_TakeCut(crowd.budget)->owner, &clients[98]);
    assert_null(ClientBudget_TakeCut(crowd.budget));
    assert_int_equal(clients[98].account.bytes, CLIENT_IDLE_BYTES);
    assert_int_equal(clients[97].account.answer, SMALL);
    ClientBudget_SetAnswers(crowd.budget, BOUND);
    assert_ptr_equal(ClientBudget_TakeCut(crowd.budget)->owner, &clients[99]);
    ClientBudget_SetAnswers(crowd.budget, 0);
    assert_null(ClientBudget_TakeCut(crowd.budget));
}

static void
large_releases_are_reported_once(void **state)
{
    open_bodies(16, 0);
    assert_false(ClientBudget_TakeReleased(crowd.budget));
    for (unsigned i = 0; i < 16; i++) {
        ClientBudget_Close(crowd.budget, &crowd.clients[i].account);
    }
    assert_true(ClientBudget_TakeReleased(crowd.budget));
    assert_false(ClientBudget_TakeReleased(crowd.budget));
    assert_int_equal(ClientBudget_Used(crowd.budget), 0);
}

#define BUDGET_TEST(test) cmocka_unit_test_setup_teardown(test, begin, end)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        BUDGET_TEST(large_bodies_leave_room_for_ordinary_requests),
        BUDGET_TEST(stalled_bodies_give_way),
        BUDGET_TEST(trickling_bodies_give_way),
        BUDGET_TEST(steady_senders_never_give_way),
        BUDGET_TEST(served_requests_never_give_way),
        BUDGET_TEST(idle_connections_give_way_to_new_ones),
        BUDGET_TEST(idle_connections_give_way_to_ordinary_requests),
        BUDGET_TEST(idle_connections_give_way_to_large_bodies_last),
        BUDGET_TEST(a_single_largest_body_always_fits),
        BUDGET_TEST(a_frame_beyond_the_bound_is_held_alone),
        BUDGET_TEST(answers_count),
        BUDGET_TEST(the_largest_unsent_answers_are_cut),
        BUDGET_TEST(large_releases_are_reported_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
