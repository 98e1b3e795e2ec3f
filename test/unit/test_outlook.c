/** @file
 * Outlook of a queue, from the keeper's message to a gateway's view. Guards
 * against numbers that change their meaning between the two programs.
 */
#include "unit.h"

#include <glib.h>

#include "gateway/keepers.h"
#include "keeper/outlook.h"

#define REQUESTS 12

/* A queue with one slot in use and requests of two classes that wait. */
static WantQueue *
new_busy_queue(void)
{
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 64,
        .max_ended_ids = 4,
        .slots = 1,
        .grant_ttl = 60 * US_PER_S,
        .prefill_tokens_s = 30000,
        .decode_tokens_s = 100,
        .seed = 100,
        .refuse_early = true,
        .fair_ranks = true,
    });
    for (uint64_t i = 1; i <= REQUESTS; i++) {
        WorkSpec work = {
            .id.low = i,
            .tier = 1,
            .rank = i % 2,
            .deadline = 100 * US_PER_S,
            .prompt_tokens = 900,
            .output_tokens = 50,
        };
        Queue_AddWant(queue, &work, 1, (TimeUs)i * US_PER_MS);
        QueueAction action;
        while (Queue_TakeActions(queue, &action, 1) == 1) {
            Queue_OnDispatch(queue, action.id, action.grant_id,
                             (TimeUs)i * US_PER_MS);
        }
    }
    /* Refuses requests of both classes, which makes the classes known. */
    for (uint64_t i = 0; i < 2; i++) {
        WorkSpec late = {
            .id.low = 100 + i,
            .tier = 1,
            .rank = (uint32_t)i,
            .deadline = 100 * US_PER_MS,
            .prompt_tokens = 900,
            .output_tokens = 50,
        };
        Queue_AddWant(queue, &late, 1, 90 * US_PER_MS);
    }
    Queue_Tick(queue, 150 * US_PER_MS);
    return queue;
}

static void
assert_near(TimeUs a, TimeUs b)
{
    assert_true(a - b <= US_PER_MS && b - a <= US_PER_MS);
}

static void
gateway_reads_what_the_queue_predicts(void **state)
{
    WantQueue *queue = new_busy_queue();
    TimeUs now = 150 * US_PER_MS;
    EngineOutlook expected;
    Queue_GetOutlook(queue, now, &expected);
    assert_true(expected.count >= 2);
    OutlookMessage out;
    Outlook_Fill(&out, queue, now);
    size_t size = wire__engine_outlook__get_packed_size(&out.message);
    uint8_t *bytes = g_malloc(size);
    wire__engine_outlook__pack(&out.message, bytes);
    Wire__EngineOutlook *message =
        wire__engine_outlook__unpack(NULL, size, bytes);
    assert_non_null(message);
    Keeper keeper = {.endpoint_id = NULL};
    Keeper_ReadOutlook(&keeper, message);
    const EngineOutlook *read = &keeper.view.outlook;
    assert_int_equal(read->count, expected.count);
    for (unsigned i = 0; i < read->count; i++) {
        const ClassWait *a = &read->waits[i];
        const ClassWait *b = &expected.waits[i];
        assert_int_equal(a->class_index, b->class_index);
        assert_int_equal(a->bookable, b->bookable);
        assert_near(a->on_time.planned, b->on_time.planned);
        assert_near(a->late.planned, b->late.planned);
        assert_true(a->on_time.expected >= a->on_time.planned);
        assert_true(a->late.planned >= a->on_time.planned);
    }
    assert_near(read->mean_run, expected.mean_run);
    /* 50 tokens at 100 tokens/s. */
    assert_near((TimeUs)read->decode_us_per_token * 50, 500 * US_PER_MS);
    assert_true(size <= 60);
    wire__engine_outlook__free_unpacked(message, NULL);
    g_free(bytes);
    Queue_Free(queue);
}

/* A queue with one slot in use by an account that is beyond its share, and a
 * waiting request of another one. */
static WantQueue *
new_shared_queue(uint64_t large, uint64_t small, TimeUs now)
{
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 64,
        .max_ended_ids = 4,
        .slots = 1,
        .grant_ttl = 60 * US_PER_S,
        .prefill_tokens_s = 30000,
        .decode_tokens_s = 100,
        .seed = 100,
        .refuse_early = true,
        .fair_ranks = true,
        .fair_accounts = true,
    });
    for (uint64_t i = 1; i <= 3; i++) {
        WorkSpec work = {
            .id.low = i,
            .account = i == 2 ? small : large,
            .tier = 1,
            .deadline = 100 * US_PER_S,
            .output_tokens = 400,
        };
        Queue_AddWant(queue, &work, 1, 0);
    }
    QueueAction action;
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    Queue_OnDispatch(queue, action.id, action.grant_id, 0);
    for (TimeUs t = 0; t <= now; t += 60 * US_PER_MS) {
        Queue_Tick(queue, t);
    }
    return queue;
}

/* Guards against flags of a class index that are taken for each other: 16 is
 * "beyond the share", 32 is "capacity may be kept", and only classes within
 * the share have the latter. */
static void
class_indexes_tell_shares_and_bookings_apart(void **state)
{
    const uint64_t large = 0x1234567890abcdef;
    const uint64_t small = 0xfedcba0987654321;
    TimeUs now = US_PER_S;
    WantQueue *queue = new_shared_queue(large, small, now);
    OutlookMessage out;
    Outlook_Fill(&out, queue, now);
    assert_int_equal(out.message.n_waits, 2 * OUTLOOK_CLASS_NUMBERS);
    assert_int_equal(out.waits[0], 1 * 4 + 32);
    assert_int_equal(out.waits[OUTLOOK_CLASS_NUMBERS], 1 * 4 + 16);
    Keeper keeper = {.endpoint_id = NULL};
    Keeper_ReadOutlook(&keeper, &out.message);
    const EngineOutlook *read = &keeper.view.outlook;
    assert_int_equal(read->count, 2);
    assert_int_equal(read->waits[0].class_index, outlook_class(1, 0));
    assert_true(read->waits[0].bookable);
    assert_int_equal(read->waits[1].class_index,
                     outlook_class(1, 0) + OUTLOOK_CLASSES);
    assert_false(read->waits[1].bookable);
    TimeUs heard_at = keeper.view.heard_at;
    PoolRequest request = {
        .account = small,
        .tier = 1,
        .output_tokens = 400,
        .deadline = heard_at + 100 * US_PER_S,
    };
    assert_true(PoolView_BookingMs(&keeper.view, &request, 0, heard_at) > 0);
    request.account = large;
    assert_int_equal(PoolView_BookingMs(&keeper.view, &request, 0, heard_at),
                     0);
    Queue_Free(queue);
}

/* An outlook counts for 1 s, and its waits shrink meanwhile. */
static void
outlooks_age(void **state)
{
    EngineOutlook outlook = {
        .decode_us_per_token = 10000,
        .mean_run = 500 * US_PER_MS,
        .margin = 1,
        .first_margin = 1,
        .count = 1,
        .waits = {{.class_index = outlook_class(1, 0),
                   .on_time = {2 * US_PER_S, 2 * US_PER_S},
                   .late = {2 * US_PER_S, 2 * US_PER_S}}},
    };
    EngineView view = {.heard_at = 0};
    TimeUs at = 10 * US_PER_S;
    PoolRequest request = {
        .tier = 1, .output_tokens = 50, .deadline = at + US_PER_S};
    TimeUs lateness;
    assert_int_equal(EngineView_Judge(&view, &request, at, &lateness),
                     ENGINE_UNKNOWN);
    EngineView_OnOutlook(&view, &outlook, at);
    assert_int_equal(EngineView_Judge(&view, &request, at, &lateness),
                     ENGINE_LATE);
    request.deadline = at + 4 * US_PER_S;
    assert_int_equal(EngineView_Judge(&view, &request, at, &lateness),
                     ENGINE_IN_TIME);
    assert_int_equal(
        EngineView_Judge(&view, &request, at + POOL_OUTLOOK_TTL_US, &lateness),
        ENGINE_UNKNOWN);
    EngineView_OnClosed(&view, at);
    assert_int_equal(EngineView_Judge(&view, &request, at, &lateness),
                     ENGINE_LATE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gateway_reads_what_the_queue_predicts),
        cmocka_unit_test(class_indexes_tell_shares_and_bookings_apart),
        cmocka_unit_test(outlooks_age),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
