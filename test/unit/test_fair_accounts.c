/** @file
 * Shares of accounts. Guards against accounts that get less than their share,
 * shares that stay with accounts that no longer ask, records that grow without
 * bound, and a queue whose order of tiers and of wants without an account
 * changes.
 */
#include "unit.h"

#include <math.h>

#include <glib.h>

#include "sched/queue.h"

static FairAccounts accounts;
static FairRanks ranks;

static WorkSpec
work_of(uint64_t account, uint32_t rank)
{
    return (WorkSpec){.account = account, .tier = 1, .rank = rank};
}

static void
grant(uint64_t account, uint32_t rank, double slot_time)
{
    WorkSpec work = work_of(account, rank);
    FairAccounts_AddGranted(&accounts, &work, slot_time);
}

static void
refuse(uint64_t account, uint32_t rank, double slot_time)
{
    WorkSpec work = work_of(account, rank);
    FairAccounts_AddRefused(&accounts, &work, slot_time);
}

static bool
is_beyond(uint64_t account, uint32_t rank)
{
    WorkSpec work = work_of(account, rank);
    return FairAccounts_IsBeyond(&accounts, &work);
}

static void
update(TimeUs now)
{
    FairAccounts_BeginUpdate(&accounts, now);
    FairAccounts_EndUpdate(&accounts, &ranks);
}

static int
set_up(void **state)
{
    FairAccounts_Init(&accounts);
    ranks = (FairRanks){0};
    return 0;
}

/* What an account does not use is divided equally between those that ask for
 * more. */
static void
shares_are_max_min(void **state)
{
    grant(1, 0, 1e6);
    grant(2, 0, 2e6);
    grant(3, 0, 5e6);
    grant(4, 0, 4e6);
    refuse(3, 0, 10e6);
    refuse(4, 0, 3e6);
    update(0);
    assert_true(fabs(accounts.share[1] - 4.5e6) < 1);
    assert_false(is_beyond(1, 0));
    assert_false(is_beyond(2, 0));
    assert_true(is_beyond(3, 0));
    assert_false(is_beyond(4, 0));
    assert_true(isinf(accounts.share[0]));
}

/* Without unmet demand no account is beyond its share. */
static void
enough_capacity_divides_nothing(void **state)
{
    grant(1, 0, 1e6);
    grant(2, 0, 50e6);
    update(0);
    assert_false(is_beyond(2, 0));
    assert_true(isinf(accounts.share[1]));
}

/* The urgent requests of a large account keep its share. */
static void
higher_ranks_use_the_share_first(void **state)
{
    grant(1, 0, 2e6);
    grant(2, 0, 1e6);
    grant(2, 1, 3e6);
    grant(2, 2, 2e6);
    refuse(1, 0, 2e6);
    refuse(2, 1, 20e6);
    update(0);
    assert_true(fabs(accounts.share[1] - 4e6) < 1);
    assert_false(is_beyond(1, 0));
    assert_false(is_beyond(1, 2));
    assert_false(is_beyond(2, 0));
    assert_true(is_beyond(2, 1));
    assert_true(is_beyond(2, 2));
}

/* A rank that goes ahead of others uses the share before these, so that it
 * does not starve inside an account. */
static void
rank_that_goes_ahead_is_not_beyond_for_the_others(void **state)
{
    ranks.records[1][2].ahead = true;
    grant(1, 0, 2e6);
    grant(2, 0, 6e6);
    grant(2, 2, 1e6);
    refuse(1, 0, 6e6);
    refuse(2, 2, 9e6);
    update(0);
    assert_true(is_beyond(2, 0));
    assert_false(is_beyond(2, 2));
}

/* The share of an account that stopped is free as its sums decay. */
static void
records_decay_and_are_forgotten(void **state)
{
    grant(1, 0, 4e6);
    refuse(1, 0, 4e6);
    update(FAIR_ACCOUNTS_DECAY_US);
    assert_true(fabs(accounts.records[0].granted[0] - 4e6 / M_E) < 1);
    assert_int_equal(accounts.count, 1);
    update(60 * US_PER_S);
    assert_int_equal(accounts.count, 0);
}

/* More accounts than are told apart: the one that asked for least is
 * replaced, the one that asked for most is kept. */
static void
records_are_bounded(void **state)
{
    grant(1, 0, 9e6);
    refuse(1, 0, 9e6);
    for (uint64_t a = 2; a < 10 * FAIR_ACCOUNTS_MAX; a++) {
        grant(a, 0, 1000 + (double)a);
    }
    assert_int_equal(accounts.count, FAIR_ACCOUNTS_MAX);
    update(0);
    assert_true(is_beyond(1, 0));
    assert_false(is_beyond(2, 0));
}

/* ---- Queue ---- */

static WantQueue *
new_queue_of(bool fair_accounts, uint32_t slots)
{
    return Queue_New(&(QueueConfig){
        .max_wants = 64,
        .max_ended_ids = 64,
        .slots = slots,
        .grant_ttl = 60 * US_PER_S,
        .prefill_tokens_s = 1000,
        .decode_tokens_s = 100,
        .seed = 1,
        .fair_ranks = true,
        .fair_accounts = fair_accounts,
    });
}

static WantQueue *
new_queue(bool fair_accounts)
{
    return new_queue_of(fair_accounts, 1);
}

static void
add(WantQueue *queue, uint64_t id, uint64_t account, uint32_t tier,
    uint32_t rank, TimeUs now)
{
    WorkSpec work = {
        .id.low = id,
        .account = account,
        .tier = tier,
        .rank = rank,
        .deadline = now + 100 * US_PER_S,
        .output_tokens = 100,
    };
    Queue_AddWant(queue, &work, 1, now);
}

/* Ends the request that runs, if any, and returns the id of the next one. */
static uint64_t
serve_next(WantQueue *queue, uint64_t running, TimeUs now)
{
    if (running != 0) {
        Queue_OnFinished(queue, (RequestId){.low = running},
                         &(QueueResult){.complete = true}, now);
    }
    QueueAction action = {.id.low = 0};
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    assert_int_equal(action.kind, QUEUE_GRANT);
    Queue_OnDispatch(queue, action.id, action.grant_id, now);
    return action.id.low;
}

/* Serves one request of account 1, then lets others wait: another of account
 * 1, one of a lower rank of account 2, one of the higher tier of account 1. */
static void
check_order(bool fair_accounts, uint64_t other, const uint64_t *order)
{
    WantQueue *queue = new_queue(fair_accounts);
    add(queue, 1, 1, 1, 0, 0);
    uint64_t running = serve_next(queue, 0, 0);
    add(queue, 2, 1, 1, 0, 1000);
    add(queue, 3, other, 1, 2, 2000);
    add(queue, 4, 1, 0, 0, 3000);
    for (int i = 0; i < 3; i++) {
        running = serve_next(queue, running, (i + 1) * US_PER_S);
        assert_int_equal(running, order[i]);
    }
    Queue_Free(queue);
}

static void
account_beyond_its_share_waits_in_its_tier(void **state)
{
    check_order(true, 2, (const uint64_t[]){4, 3, 2});
}

static void
order_is_by_rank_without_the_switch(void **state)
{
    check_order(false, 2, (const uint64_t[]){4, 2, 3});
}

/* Wants of old gateways have no account. */
static void
wants_without_account_are_ordered_by_rank(void **state)
{
    WantQueue *queue = new_queue(true);
    add(queue, 1, 0, 1, 0, 0);
    uint64_t running = serve_next(queue, 0, 0);
    add(queue, 2, 0, 1, 2, 1000);
    add(queue, 3, 0, 1, 0, 2000);
    running = serve_next(queue, running, US_PER_S);
    assert_int_equal(running, 3);
    assert_int_equal(serve_next(queue, running, 2 * US_PER_S), 2);
    assert_int_equal(Queue_CountAccounts(queue), 0);
    Queue_Free(queue);
}

/* A grant that was not used is not charged: the account got it from another
 * engine. */
static void
unused_grant_is_not_charged(void **state)
{
    WantQueue *queue = new_queue(true);
    add(queue, 1, 1, 1, 0, 0);
    serve_next(queue, 0, 0);
    Queue_OnFinished(queue, (RequestId){.low = 1}, &(QueueResult){0}, 0);
    add(queue, 2, 2, 1, 0, 0);
    uint64_t running = serve_next(queue, 0, 0);
    add(queue, 3, 1, 1, 2, 1000);
    add(queue, 4, 2, 1, 0, 2000);
    running = serve_next(queue, running, US_PER_S);
    assert_int_equal(running, 3);
    Queue_Free(queue);
}

/* Refusals tell the state of the account, for the log of the keeper. */
static void
refusal_tells_the_share(void **state)
{
    WantQueue *queue = new_queue(true);
    add(queue, 1, 1, 1, 0, 0);
    serve_next(queue, 0, 0);
    add(queue, 2, 2, 1, 0, 1000);
    WorkSpec late = {
        .id.low = 3,
        .account = 1,
        .tier = 1,
        .deadline = 200 * US_PER_MS,
        .output_tokens = 100,
    };
    Queue_AddWant(queue, &late, 1, 60 * US_PER_MS);
    QueueAction action;
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    assert_int_equal(action.kind, QUEUE_REFUSE);
    assert_int_equal(action.account, 1);
    assert_true(action.standing.beyond);
    assert_true(action.standing.used >= action.standing.share);
    assert_true(action.standing.asked > action.standing.used);
    Queue_Free(queue);
}

/* Gateways learn which accounts are beyond their share for some time, and only
 * of the rank and tier that are. */
static void
outlook_names_accounts_beyond_their_share(void **state)
{
    const uint64_t large = 0x1234567890abcdef;
    WantQueue *queue = new_queue(true);
    add(queue, 1, large, 1, 2, 0);
    serve_next(queue, 0, 0);
    add(queue, 2, 2, 1, 2, 0);
    EngineOutlook outlook;
    TimeUs first = 60 * US_PER_MS; /* update of the shares */
    for (TimeUs now = first; now < US_PER_S; now += 60 * US_PER_MS) {
        Queue_Tick(queue, now);
        Queue_GetOutlook(queue, now, &outlook);
        assert_int_equal(outlook.account_count,
                         now >= first + 500 * US_PER_MS ? 1 : 0);
    }
    assert_int_equal(outlook_class_of(&outlook, large, 1, 2),
                     outlook_class(1, 2) + OUTLOOK_CLASSES);
    assert_int_equal(outlook_class_of(&outlook, large, 1, 1),
                     outlook_class(1, 1));
    assert_int_equal(outlook_class_of(&outlook, large, 0, 2),
                     outlook_class(0, 2));
    assert_int_equal(outlook_class_of(&outlook, 2, 1, 2), outlook_class(1, 2));
    assert_int_equal(outlook_class_of(&outlook, 0, 1, 2), outlook_class(1, 2));
    Queue_Free(queue);
}

static bool
book(WantQueue *queue, uint64_t account, TimeUs from, TimeUs now)
{
    WorkSpec work = {
        .account = account,
        .tier = 1,
        .rank = 2,
        .output_tokens = 100,
    };
    return Queue_Book(queue, &work, from, now);
}

/* Guards against shares that delay a request whose caller was told to come
 * back, and against capacity that is kept for an account beyond its share. */
static void
booked_requests_precede_shares(void **state)
{
    WantQueue *queue = new_queue_of(true, 2);
    TimeUs told = 100 * US_PER_MS;
    add(queue, 1, 1, 1, 0, 0);
    serve_next(queue, 0, 0);
    add(queue, 2, 1, 1, 0, 0);
    serve_next(queue, 0, 0);
    assert_true(book(queue, 3, told, 0));
    add(queue, 3, 1, 1, 0, 1000);
    add(queue, 4, 2, 1, 2, 2000);
    add(queue, 5, 3, 1, 2, told);
    assert_false(book(queue, 1, 2 * US_PER_S, told));
    assert_true(book(queue, 2, 2 * US_PER_S, told));
    assert_int_equal(serve_next(queue, 1, US_PER_S), 5);
    assert_int_equal(serve_next(queue, 2, US_PER_S), 4);
    assert_int_equal(serve_next(queue, 5, 3 * US_PER_S), 3);
    Queue_Free(queue);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(shares_are_max_min, set_up),
        cmocka_unit_test_setup(enough_capacity_divides_nothing, set_up),
        cmocka_unit_test_setup(higher_ranks_use_the_share_first, set_up),
        cmocka_unit_test_setup(
            rank_that_goes_ahead_is_not_beyond_for_the_others, set_up),
        cmocka_unit_test_setup(records_decay_and_are_forgotten, set_up),
        cmocka_unit_test_setup(records_are_bounded, set_up),
        cmocka_unit_test(account_beyond_its_share_waits_in_its_tier),
        cmocka_unit_test(order_is_by_rank_without_the_switch),
        cmocka_unit_test(wants_without_account_are_ordered_by_rank),
        cmocka_unit_test(unused_grant_is_not_charged),
        cmocka_unit_test(refusal_tells_the_share),
        cmocka_unit_test(outlook_names_accounts_beyond_their_share),
        cmocka_unit_test(booked_requests_precede_shares),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
