/** @file
 * Fuzz target for the queue of the agent. The oracle is an array with the
 * state of each request id. It checks that a request runs at most once, that a
 * refused dispatch never runs, that grants respect the number of slots and the
 * order of tier and deadline, that a request with WorkSpec.alone never shares
 * the endpoint, that only the last want in that order is shed, and that a want
 * is refused soon after its deadline.
 */
#include "fuzz.h"

#include "sched/queue.h"

#define IDS 48
#define OWNERS 3
#define MAX_WANTS 10
#define STEPS_PER_RUN 400
#define GRANT_TTL_US (200 * US_PER_MS)
/* Maximum time after its deadline at which a want is refused. */
#define REFUSAL_DELAY_MAX_US (100 * US_PER_MS)

typedef enum IdState {
    ID_UNKNOWN,
    ID_WAITING,
    ID_GRANTED,
    ID_RUNNING,
    ID_ENDED,
} IdState;

typedef struct OracleId {
    IdState state;
    WorkSpec work;
    uint64_t owner;
    uint64_t grant_id;
    TimeUs expires_at;
    uint32_t runs;
} OracleId;

typedef struct Oracle {
    FuzzInput *input;
    WantQueue *queue;
    TimeUs now;
    uint32_t slots;
    bool draining;
    OracleId ids[IDS];
} Oracle;

static uint32_t
count(const Oracle *oracle, IdState state)
{
    uint32_t total = 0;
    for (int i = 0; i < IDS; i++) {
        total += oracle->ids[i].state == state;
    }
    return total;
}

static bool
precedes(const WorkSpec *a, const WorkSpec *b)
{
    return a->tier != b->tier ? a->tier < b->tier : a->deadline < b->deadline;
}

static bool
is_busy(const OracleId *id)
{
    return id->state == ID_GRANTED || id->state == ID_RUNNING;
}

static void
check_grant(Oracle *oracle, OracleId *granted, const QueueAction *action)
{
    uint32_t busy = count(oracle, ID_GRANTED) + count(oracle, ID_RUNNING);
    FUZZ_CHECK(granted->state == ID_WAITING,
               "a request that is not waiting was granted");
    FUZZ_CHECK(granted->owner == action->owner,
               "a grant went to another owner");
    FUZZ_CHECK(!oracle->draining, "a request was granted while draining");
    FUZZ_CHECK(busy < oracle->slots,
               "more requests were granted than slots exist");
    FUZZ_CHECK(!granted->work.alone || busy == 0,
               "an exclusive request was granted beside others");
    for (int i = 0; i < IDS; i++) {
        const OracleId *other = &oracle->ids[i];
        FUZZ_CHECK(!is_busy(other) || !other->work.alone,
                   "a request was granted beside an exclusive one");
        FUZZ_CHECK(other->state != ID_WAITING ||
                       !precedes(&other->work, &granted->work),
                   "a grant is out of queue order");
    }
    granted->state = ID_GRANTED;
    granted->grant_id = action->grant_id;
    granted->expires_at = oracle->now + GRANT_TTL_US;
}

static void
check_shed(const Oracle *oracle, const OracleId *shed)
{
    for (int i = 0; i < IDS; i++) {
        const OracleId *other = &oracle->ids[i];
        FUZZ_CHECK(other == shed || other->state != ID_WAITING ||
                       !precedes(&shed->work, &other->work),
                   "a want was shed before a later one in queue order");
    }
}

static void
check_actions(Oracle *oracle)
{
    QueueAction action;
    while (Queue_TakeActions(oracle->queue, &action, 1) > 0) {
        OracleId *id = &oracle->ids[action.id.low - 1];
        if (action.kind == QUEUE_GRANT) {
            check_grant(oracle, id, &action);
            continue;
        }
        if (action.reason == REFUSE_DUPLICATE) {
            FUZZ_CHECK(
                id->state == ID_ENDED,
                "a request that has not ended was refused as duplicate");
            continue;
        }
        FUZZ_CHECK(id->state == ID_WAITING,
                   "a request that is not waiting was refused");
        FUZZ_CHECK(action.retry_after_ms > 0,
                   "a refusal has no retry-after time");
        if (action.reason == REFUSE_SHED && oracle->slots > 0) {
            check_shed(oracle, id);
        }
        id->state = ID_UNKNOWN;
    }
}

static void
add_want(Oracle *oracle)
{
    uint32_t index = fuzz_pick(oracle->input, IDS);
    OracleId *id = &oracle->ids[index];
    WorkSpec work = {
        .id = {.low = index + 1},
        .tier = fuzz_pick(oracle->input, WORK_TIERS),
        .deadline =
            oracle->now + fuzz_pick(oracle->input, 200) * 100 * US_PER_MS,
        .prompt_tokens = fuzz_pick(oracle->input, 100) * 50,
        .output_tokens = fuzz_pick(oracle->input, 100),
        .alone = fuzz_pick(oracle->input, 16) == 0,
    };
    uint64_t owner = 1 + fuzz_pick(oracle->input, OWNERS);
    if (id->state == ID_UNKNOWN) {
        id->state = ID_WAITING;
        id->work = work;
        id->owner = owner;
    }
    Queue_AddWant(oracle->queue, &work, owner, oracle->now);
}

static void
dispatch(Oracle *oracle)
{
    uint32_t index = fuzz_pick(oracle->input, IDS);
    OracleId *id = &oracle->ids[index];
    uint64_t grant_id = id->grant_id + (fuzz_pick(oracle->input, 8) == 0);
    bool runs = id->state == ID_GRANTED && id->grant_id == grant_id &&
                oracle->now < id->expires_at && !oracle->draining;
    RefuseReason reason = Queue_OnDispatch(
        oracle->queue, (RequestId){.low = index + 1}, grant_id, oracle->now);
    FUZZ_CHECK((reason == REFUSE_NONE) == runs,
               "dispatch of id %u has result %d", index + 1, (int)reason);
    if (runs) {
        id->state = ID_RUNNING;
        FUZZ_CHECK(++id->runs == 1, "id %u ran more than once", index + 1);
    }
    else if (id->state != ID_RUNNING) {
        id->state = ID_ENDED;
    }
}

static void
finish(Oracle *oracle, bool first_piece)
{
    uint32_t index = fuzz_pick(oracle->input, IDS);
    OracleId *id = &oracle->ids[index];
    RequestId request = {.low = index + 1};
    if (first_piece) {
        Queue_OnFirstPiece(oracle->queue, request, oracle->now);
        return;
    }
    bool complete = fuzz_pick(oracle->input, 4) != 0;
    if (id->state == ID_RUNNING) {
        id->state = ID_ENDED;
    }
    Queue_OnFinished(oracle->queue, request,
                     &(QueueResult){.complete = complete}, oracle->now);
}

static void
withdraw(Oracle *oracle)
{
    uint32_t index = fuzz_pick(oracle->input, IDS);
    OracleId *id = &oracle->ids[index];
    uint64_t owner = 1 + fuzz_pick(oracle->input, OWNERS);
    bool becomes_unknown =
        id->owner == owner && id->state != ID_RUNNING && id->state != ID_ENDED;
    id->state = becomes_unknown ? ID_UNKNOWN : id->state;
    Queue_Withdraw(oracle->queue, (RequestId){.low = index + 1}, owner,
                   oracle->now);
}

static void
lose_owner(Oracle *oracle)
{
    uint64_t owner = 1 + fuzz_pick(oracle->input, OWNERS);
    for (int i = 0; i < IDS; i++) {
        OracleId *id = &oracle->ids[i];
        bool unused = id->state == ID_WAITING || id->state == ID_GRANTED;
        if (unused && id->owner == owner) {
            id->state = ID_UNKNOWN;
        }
    }
    Queue_OnOwnerDisconnected(oracle->queue, owner, oracle->now);
}

static void
run_timer(Oracle *oracle)
{
    for (int i = 0; i < IDS; i++) {
        OracleId *id = &oracle->ids[i];
        if (id->state == ID_GRANTED && oracle->now >= id->expires_at) {
            id->state = ID_ENDED;
        }
    }
    Queue_Tick(oracle->queue, oracle->now);
}

static void
change_settings(Oracle *oracle)
{
    if (fuzz_pick(oracle->input, 2) == 0) {
        oracle->slots = fuzz_pick(oracle->input, 5);
        Queue_SetSlots(oracle->queue, oracle->slots, oracle->now);
        return;
    }
    oracle->draining = fuzz_pick(oracle->input, 3) == 0;
    Queue_SetLeaving(oracle->queue, oracle->draining, oracle->now);
}

/* Advances the clock. A due timer is skipped in one of four cases, as by an
 * agent whose process was suspended. */
static void
pass_time(Oracle *oracle)
{
    oracle->now += fuzz_pick(oracle->input, 40) * 10 * US_PER_MS;
    if (fuzz_pick(oracle->input, 4) == 0) {
        return;
    }
    if (oracle->now >= Queue_NextTimer(oracle->queue)) {
        run_timer(oracle);
        check_actions(oracle);
    }
    for (int i = 0; i < IDS; i++) {
        const OracleId *id = &oracle->ids[i];
        FUZZ_CHECK(id->state != ID_WAITING ||
                       oracle->now <= id->work.deadline + REFUSAL_DELAY_MAX_US,
                   "a want was not refused after its deadline");
    }
}

static void
check_state(const Oracle *oracle)
{
    QueueState state;
    Queue_GetState(oracle->queue, oracle->now, &state);
    FUZZ_CHECK(state.queued == count(oracle, ID_WAITING),
               "number of queued wants differs");
    FUZZ_CHECK(state.granted == count(oracle, ID_GRANTED),
               "number of grants differs");
    FUZZ_CHECK(state.running == count(oracle, ID_RUNNING),
               "number of running requests differs");
    FUZZ_CHECK(state.queued <= MAX_WANTS,
               "more wants are queued than the maximum");
}

static void
run_step(Oracle *oracle)
{
    unsigned kind = fuzz_pick(oracle->input, 16);
    if (kind < 6) {
        add_want(oracle);
    }
    else if (kind < 10) {
        dispatch(oracle);
    }
    else if (kind < 12) {
        finish(oracle, kind == 10);
    }
    else if (kind == 12) {
        withdraw(oracle);
    }
    else if (kind == 13 && fuzz_pick(oracle->input, 4) == 0) {
        lose_owner(oracle);
    }
    else if (kind == 14 && fuzz_pick(oracle->input, 4) == 0) {
        change_settings(oracle);
    }
    else {
        pass_time(oracle);
    }
    check_actions(oracle);
    check_state(oracle);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    FuzzInput input = fuzz_input(bytes, length);
    Oracle oracle = {.input = &input, .now = US_PER_S, .slots = 2};
    oracle.queue = Queue_New(&(QueueConfig){
        .max_wants = MAX_WANTS,
        .max_ended_ids = IDS,
        .slots = oracle.slots,
        .grant_ttl = GRANT_TTL_US,
        .prefill_tokens_s = 1000,
        .decode_tokens_s = 20,
        .seed = 1,
    });
    for (int i = 0; i < STEPS_PER_RUN; i++) {
        run_step(&oracle);
    }
    Queue_Free(oracle.queue);
    return 0;
}
