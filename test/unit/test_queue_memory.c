/** @file
 * Guards against an engine that ends because the requests which it was granted
 * exceed its memory, and against a request that waits for ever because it
 * never fits.
 */
#include "unit.h"

#include "sched/queue.h"

#define MEMORY_TOKENS 1000

static WorkSpec
new_work(uint64_t id, uint32_t prompt_tokens)
{
    return (WorkSpec){
        .id = {.low = id},
        .deadline = 100 * US_PER_S,
        .prompt_tokens = prompt_tokens,
        .output_tokens = 10,
        .longest_output_tokens = 100,
    };
}

/* Adds a want and starts it if it is granted.
 * @return whether it was granted. */
static bool
run(WantQueue *queue, const WorkSpec *work)
{
    QueueAction action;
    Queue_AddWant(queue, work, 1, 0);
    if (Queue_TakeActions(queue, &action, 1) == 0) {
        return false;
    }
    assert_int_equal(action.kind, QUEUE_GRANT);
    assert_int_equal(Queue_OnDispatch(queue, action.id, action.grant_id, 0),
                     REFUSE_NONE);
    return true;
}

static void
only_what_fits_the_memory_is_granted(void **state)
{
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 8,
        .max_ended_ids = 4,
        .slots = 4,
        .grant_ttl = US_PER_S,
        .decode_tokens_s = 10,
        .prefill_tokens_s = 1000,
    });
    Queue_SetMemory(queue, MEMORY_TOKENS, 0);
    WorkSpec first = new_work(1, 300);
    WorkSpec second = new_work(2, 300);
    WorkSpec third = new_work(3, 300);
    assert_true(run(queue, &first));
    assert_true(run(queue, &second));
    assert_false(run(queue, &third));

    Queue_OnFinished(queue, first.id, &(QueueResult){.complete = true}, 1);
    QueueAction action;
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    assert_int_equal(action.kind, QUEUE_GRANT);
    assert_int_equal(action.id.low, 3);
    Queue_Free(queue);
}

/* Guards against one request that never fits and keeps the slots of a busy
 * engine from others. */
static void
what_never_fits_holds_nobody_up(void **state)
{
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 8,
        .max_ended_ids = 4,
        .slots = 4,
        .grant_ttl = US_PER_S,
        .decode_tokens_s = 10,
        .prefill_tokens_s = 1000,
    });
    WorkSpec running = new_work(1, 300);
    assert_true(run(queue, &running));
    WorkSpec oversize = new_work(2, MEMORY_TOKENS);
    Queue_SetMemory(queue, MEMORY_TOKENS, 0);
    Queue_AddWant(queue, &oversize, 1, 0);
    QueueAction action;
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    assert_int_equal(action.kind, QUEUE_REFUSE);
    assert_int_equal(action.reason, REFUSE_UNFIT);
    WorkSpec fits = new_work(3, 300);
    assert_true(run(queue, &fits));
    Queue_Free(queue);
}

static void
what_never_fits_is_refused(void **state)
{
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 8,
        .max_ended_ids = 4,
        .slots = 4,
        .grant_ttl = US_PER_S,
    });
    Queue_SetMemory(queue, MEMORY_TOKENS, 0);
    WorkSpec work = new_work(1, MEMORY_TOKENS - 50);
    Queue_AddWant(queue, &work, 1, 0);
    QueueAction action;
    assert_int_equal(Queue_TakeActions(queue, &action, 1), 1);
    assert_int_equal(action.kind, QUEUE_REFUSE);
    assert_int_equal(action.reason, REFUSE_UNFIT);
    Queue_Free(queue);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_what_fits_the_memory_is_granted),
        cmocka_unit_test(what_never_fits_holds_nobody_up),
        cmocka_unit_test(what_never_fits_is_refused),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
