/** @file
 * Fuzz target for the state machine of a request, which receives events in any
 * order. The oracle checks each action against the earlier events and actions,
 * which are all that the caller and the agents can observe.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/life.h"

#define AGENTS 3
#define NEXT_INCARNATION 2
#define TIME_STEP_US (40 * US_PER_MS)
#define DEADLINE_US (2 * US_PER_S)
/* Timer events after the end of the input within which the request must end.
 */
#define FINAL_TIMERS_MAX 8

#define CHECK(condition)                                                      \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__, __LINE__,  \
                    #condition);                                              \
            abort();                                                          \
        }                                                                     \
    } while (0)

typedef struct Input {
    const uint8_t *data;
    size_t size;
} Input;

/* Expected state of the request, derived from the events and actions. */
typedef struct Oracle {
    Life life;
    TimeUs now;
    bool wanted[AGENTS];
    bool dispatched;
    bool proven_not_run; /* the current event proves that the request
                            did not run */
    LifeAgent dispatched_agent;
    uint64_t grant_id;
    bool claim_granted;
    bool claim_requested;
    uint32_t record_count;
    LifeClaimOutcome recorded_outcome;
    bool recorded;
    uint64_t forwarded_bytes;
    uint32_t answer_count;
    bool caller_gone;
    bool ended;
} Oracle;

static uint8_t
take_byte(Input *input)
{
    if (input->size == 0) {
        return 0;
    }
    input->size--;
    return *input->data++;
}

static void
check_answer(Oracle *oracle, const LifeAction *action)
{
    CHECK(!oracle->caller_gone);
    CHECK(++oracle->answer_count == 1);
    if (action->not_run) {
        CHECK(!oracle->dispatched || oracle->proven_not_run);
    }
}

static void
check_finish(const Oracle *oracle, const LifeEvent *event,
             const LifeAction *action)
{
    CHECK(oracle->dispatched);
    if (oracle->claim_granted) {
        CHECK(oracle->record_count == 1 &&
              oracle->recorded_outcome == LIFE_RECORD_DONE);
        CHECK(!action->recorded || oracle->recorded);
        return;
    }
    CHECK(event->kind == LIFE_ON_END && event->hash_matches);
    CHECK(event->length == oracle->forwarded_bytes);
}

static void
check_record(Oracle *oracle, const LifeAction *action)
{
    CHECK(++oracle->record_count == 1);
    oracle->recorded_outcome = action->record;
    if (action->record == LIFE_RECORD_RELEASE) {
        CHECK(!oracle->dispatched || oracle->proven_not_run);
    }
}

static void
check_end(Oracle *oracle)
{
    oracle->ended = true;
    CHECK(oracle->answer_count == 1 || oracle->caller_gone);
    CHECK(!oracle->claim_granted || oracle->record_count == 1);
    for (uint32_t i = 0; i < AGENTS; i++) {
        CHECK(!oracle->wanted[i]);
    }
}

static void
check_dispatch(Oracle *oracle, const LifeEvent *event)
{
    CHECK(!oracle->dispatched);
    CHECK(event->kind == LIFE_ON_GRANT && event->lease_valid);
    CHECK(oracle->now < oracle->life.deadline);
    CHECK(oracle->now < event->grant_expires_at);
    CHECK(!oracle->claim_requested || oracle->claim_granted);
    CHECK(oracle->life.state == LIFE_DISPATCHED);
    oracle->dispatched = true;
    oracle->dispatched_agent = event->agent;
    oracle->grant_id = event->grant_id;
    oracle->wanted[event->agent.agent - 1] = false;
}

static void
check_action(Oracle *oracle, const LifeEvent *event, const LifeAction *action)
{
    CHECK(!oracle->ended);
    switch (action->kind) {
    case LIFE_DO_CLAIM:
        oracle->claim_requested = true;
        break;
    case LIFE_DO_WITHDRAW:
        oracle->wanted[action->agent.agent - 1] = false;
        break;
    case LIFE_DO_DISPATCH:
        check_dispatch(oracle, event);
        break;
    case LIFE_DO_PIECE:
        CHECK(event->offset + action->offset == oracle->forwarded_bytes);
        oracle->forwarded_bytes = event->offset + event->length;
        break;
    case LIFE_DO_RESUME:
        CHECK(action->offset == oracle->forwarded_bytes);
        CHECK(event->agent.incarnation ==
              oracle->dispatched_agent.incarnation);
        break;
    case LIFE_DO_RECORD:
        check_record(oracle, action);
        break;
    case LIFE_DO_FINISH:
        check_finish(oracle, event, action);
        oracle->answer_count++;
        break;
    case LIFE_DO_STORED_ANSWER:
        CHECK(!oracle->dispatched);
        oracle->answer_count++;
        break;
    case LIFE_DO_FAIL:
        check_answer(oracle, action);
        break;
    case LIFE_DO_END:
        check_end(oracle);
        break;
    default:
        break;
    }
}

/* Updates the oracle from an event, before the state machine handles it. */
static void
observe_event(Oracle *oracle, const LifeEvent *event)
{
    bool from_dispatched_agent =
        oracle->dispatched &&
        event->agent.agent == oracle->dispatched_agent.agent &&
        event->agent.incarnation == oracle->dispatched_agent.incarnation;
    bool refused = event->kind == LIFE_ON_REFUSE && from_dispatched_agent &&
                   event->grant_id == oracle->grant_id &&
                   oracle->life.state == LIFE_DISPATCHED;
    bool not_run = event->kind == LIFE_ON_END && from_dispatched_agent &&
                   event->end == LIFE_END_NOT_RUN &&
                   oracle->life.state == LIFE_DISPATCHED;
    oracle->proven_not_run =
        refused || not_run || event->kind == LIFE_ON_DISPATCH_FAILED;
    oracle->claim_granted =
        oracle->claim_granted ||
        (event->kind == LIFE_ON_CLAIM && oracle->life.state == LIFE_CLAIMING &&
         event->claim == LIFE_CLAIM_GRANTED);
    if (event->kind == LIFE_ON_RECORDED) {
        oracle->recorded = true;
    }
    if (event->kind == LIFE_ON_CALLER_DISCONNECTED) {
        oracle->caller_gone = true;
    }
    if (event->kind == LIFE_ON_REFUSE ||
        event->kind == LIFE_ON_AGENT_DISCONNECTED) {
        oracle->wanted[event->agent.agent - 1] = false;
    }
}

static void
step(Oracle *oracle, const LifeEvent *event)
{
    LifeActions actions;
    if (oracle->ended) {
        Life_Step(&oracle->life, event, oracle->now, &actions);
        CHECK(actions.count == 0);
        return;
    }
    observe_event(oracle, event);
    Life_Step(&oracle->life, event, oracle->now, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        check_action(oracle, event, &actions.list[i]);
    }
    CHECK(oracle->ended == (oracle->life.state == LIFE_ENDED));
    CHECK(oracle->ended ||
          oracle->life.timer_at <= oracle->life.deadline +
                                       LIFE_CALLER_GONE_TIMEOUT_US +
                                       LIFE_RECORD_TIMEOUT_US);
}

/* Handles LIFE_DO_SEND_WANTS as the entry does: reports the agents that
 * receive a want. */
static void
report_wants(Oracle *oracle, Input *input)
{
    LifeAgent agents[AGENTS];
    LifeEvent event = {.kind = LIFE_ON_WANTS_SENT, .want_agents = agents};
    uint8_t chosen = take_byte(input);
    event.reason = chosen & 0x80 ? REFUSE_SHED : REFUSE_NONE;
    for (uint64_t agent = 1; agent <= AGENTS; agent++) {
        if ((chosen >> agent & 1) != 0 &&
            !Life_HasSentWant(&oracle->life, agent)) {
            agents[event.want_agent_count++] =
                (LifeAgent){.agent = agent, .incarnation = 1};
            oracle->wanted[agent - 1] = true;
        }
    }
    step(oracle, &event);
}

static void
make_arbitrary_event(Input *input, const Oracle *oracle, LifeEvent *event)
{
    *event = (LifeEvent){0};
    event->kind = (LifeEventKind)(take_byte(input) % (LIFE_ON_SHED + 1));
    uint8_t sender = take_byte(input);
    event->agent = (LifeAgent){
        .agent = sender % AGENTS + 1,
        .incarnation = sender / AGENTS % 8 == 0 ? NEXT_INCARNATION : 1,
    };
    uint8_t detail = take_byte(input);
    event->grant_id = detail % 3;
    event->grant_expires_at =
        oracle->now + (detail % 5) * LIFE_GRANT_MARGIN_US;
    event->lease_valid = detail % 7 != 0;
    event->claim = (LifeClaimResult)(detail % (LIFE_CLAIM_MISMATCH + 1));
    event->reason = (RefuseReason)(detail % (REFUSE_QUARANTINED + 1));
    uint64_t overlap = detail % 4;
    event->offset = oracle->forwarded_bytes + 1 -
                    (overlap <= oracle->forwarded_bytes ? overlap : 0);
    event->length = detail / 4 % 8;
    event->end = (LifeEndOutcome)(detail % (LIFE_END_NOT_RUN + 1));
    if (event->kind == LIFE_ON_END && detail % 4 != 0) {
        event->length = oracle->forwarded_bytes;
    }
    event->hash_matches = detail % 5 != 0;
}

/* Chooses an event with which the request makes progress, so that many runs
 * reach the end of the request. */
static void
make_progress_event(Input *input, const Oracle *oracle, LifeEvent *event)
{
    const Life *life = &oracle->life;
    make_arbitrary_event(input, oracle, event);
    event->agent = life->dispatched_agent;
    event->end = LIFE_END_COMPLETE;
    event->hash_matches = true;
    switch (life->state) {
    case LIFE_CLAIMING:
        event->kind = LIFE_ON_CLAIM;
        event->claim = LIFE_CLAIM_GRANTED;
        break;
    case LIFE_WANTING:
        event->kind = LIFE_ON_GRANT;
        event->agent = life->wants[0];
        event->grant_expires_at = oracle->now + US_PER_S;
        break;
    case LIFE_DISPATCHED:
        event->kind = LIFE_ON_HEAD;
        break;
    case LIFE_STREAMING:
        event->kind = event->grant_id == 0 ? LIFE_ON_END : LIFE_ON_PIECE;
        event->offset = oracle->forwarded_bytes;
        event->length = event->grant_id == 0 ? oracle->forwarded_bytes : 1;
        break;
    default:
        event->kind = LIFE_ON_RECORDED;
        break;
    }
}

static bool
wants_requested(const Oracle *oracle, uint32_t rounds_before)
{
    return !oracle->ended && oracle->life.want_rounds != rounds_before;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Input input = {.data = data, .size = size};
    Oracle oracle = {.now = US_PER_S};
    bool needs_claim = take_byte(&input) % 2 == 1;
    Life_Init(&oracle.life, needs_claim, oracle.now + DEADLINE_US);
    LifeEvent event = {.kind = LIFE_ON_BEGIN};
    uint32_t timers = 0;
    while (!oracle.ended && timers < FINAL_TIMERS_MAX) {
        uint32_t rounds = oracle.life.want_rounds;
        step(&oracle, &event);
        while (wants_requested(&oracle, rounds)) {
            rounds = oracle.life.want_rounds;
            report_wants(&oracle, &input);
        }
        bool drained = input.size == 0;
        timers += drained ? 1 : 0;
        oracle.now += (take_byte(&input) % 4) * TIME_STEP_US;
        if (take_byte(&input) % 2 == 0) {
            make_progress_event(&input, &oracle, &event);
        }
        else {
            make_arbitrary_event(&input, &oracle, &event);
        }
        if (drained) {
            /* Without further input, the timers alone must end the request. */
            oracle.now = oracle.life.timer_at;
            event = (LifeEvent){.kind = LIFE_ON_TIMER};
        }
    }
    CHECK(oracle.ended);
    step(&oracle, &event);
    return 0;
}
