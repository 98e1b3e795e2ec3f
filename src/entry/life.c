/** @file
 * State machine of one request.
 */
#include "entry/life.h"

#include <stddef.h>
#include <string.h>

typedef struct Step {
    Life *life;
    const LifeEvent *event;
    TimeUs now;
    LifeActions *actions;
} Step;

void
Life_Init(Life *life, bool claims, TimeUs deadline)
{
    memset(life, 0, sizeof(*life));
    life->state = claims ? LIFE_CLAIMING : LIFE_WANTING;
    life->claims = claims;
    life->deadline = deadline;
    life->timer_at = deadline;
}

const char *
Life_StateName(LifeState state)
{
    static const char *const names[] = {
        [LIFE_CLAIMING] = "claiming",   [LIFE_WANTING] = "wanting",
        [LIFE_SPENT] = "spent",         [LIFE_STREAMING] = "streaming",
        [LIFE_RECORDING] = "recording", [LIFE_ENDED] = "ended",
    };
    return names[state];
}

bool
Life_Tried(const Life *life, uint64_t agent)
{
    for (uint32_t i = 0; i < life->tried_count; i++) {
        if (life->tried[i] == agent) {
            return true;
        }
    }
    return false;
}

static void
act(Step *step, const LifeAction *action)
{
    INVARIANT(step->actions->count < LIFE_ACTIONS_MAX);
    step->actions->list[step->actions->count++] = *action;
}

static void
withdraw_wants(Step *step, const LifeAgent *except)
{
    Life *life = step->life;
    for (uint32_t i = 0; i < life->want_count; i++) {
        if (except == NULL || life->wants[i].agent != except->agent) {
            act(step, &(LifeAction){.kind = LIFE_DO_WITHDRAW,
                                    .agent = life->wants[i]});
        }
    }
    life->want_count = 0;
}

static void
end(Step *step)
{
    step->life->state = LIFE_ENDED;
    step->life->timer_at = TIME_NEVER;
    act(step, &(LifeAction){.kind = LIFE_DO_END});
}

static void
record(Step *step, LifeRecord what)
{
    if (step->life->claim_held) {
        act(step, &(LifeAction){.kind = LIFE_DO_RECORD, .record = what});
    }
}

static void
tell_failure(Step *step, LifeFailure failure, bool not_run,
             RefuseReason reason, uint32_t retry_after_ms)
{
    if (step->life->caller_gone) {
        return;
    }
    act(step, &(LifeAction){
                  .kind = LIFE_DO_FAIL,
                  .failure = failure,
                  .not_run = not_run,
                  .reason = reason,
                  .retry_after_ms = retry_after_ms,
              });
}

/* Ends a request that has provably not run. */
static void
fail_not_run(Step *step, LifeFailure failure, RefuseReason reason,
             uint32_t retry_after_ms)
{
    withdraw_wants(step, NULL);
    record(step, LIFE_RECORD_RELEASE);
    tell_failure(step, failure, true, reason, retry_after_ms);
    end(step);
}

/* Ends a request whose outcome is not known. */
static void
fail_unknown(Step *step, LifeFailure failure)
{
    record(step, LIFE_RECORD_UNKNOWN);
    tell_failure(step, failure, false, REFUSE_NONE, 0);
    end(step);
}

static void
cancel(Step *step)
{
    act(step, &(LifeAction){.kind = LIFE_DO_CANCEL, .agent = step->life->to});
}

static void
offer(Step *step)
{
    step->life->state = LIFE_WANTING;
    step->life->offers++;
    act(step, &(LifeAction){.kind = LIFE_DO_OFFER});
}

static bool
is_running(const Life *life)
{
    return life->state == LIFE_SPENT || life->state == LIFE_STREAMING;
}

/* True for an event of the incarnation that got the dispatch. */
static bool
from_runner(const Step *step)
{
    const Life *life = step->life;
    return is_running(life) && step->event->agent.agent == life->to.agent &&
           step->event->agent.incarnation == life->to.incarnation;
}

static void
on_begin(Step *step)
{
    if (step->life->begun) {
        return;
    }
    step->life->begun = true;
    if (step->life->claims) {
        act(step, &(LifeAction){.kind = LIFE_DO_CLAIM});
        /* Until its reply says otherwise the claim may be held. */
        step->life->claim_held = true;
        return;
    }
    offer(step);
}

static void
on_claim(Step *step)
{
    Life *life = step->life;
    if (life->state != LIFE_CLAIMING) {
        return;
    }
    LifeFailure failure = LIFE_FAIL_CONTROL;
    uint32_t retry_after_ms = LIFE_RETRY_AFTER_MS;
    life->claim_held = step->event->claim == LIFE_CLAIM_GRANTED;
    switch (step->event->claim) {
    case LIFE_CLAIM_GRANTED:
        offer(step);
        return;
    case LIFE_CLAIM_FINISHED:
        act(step, &(LifeAction){.kind = LIFE_DO_KEPT});
        end(step);
        return;
    case LIFE_CLAIM_RUNNING:
        failure = LIFE_FAIL_CLAIM_RUNNING;
        break;
    case LIFE_CLAIM_LOST:
        failure = LIFE_FAIL_CLAIM_LOST;
        retry_after_ms = 0;
        break;
    case LIFE_CLAIM_MISMATCH:
        failure = LIFE_FAIL_CLAIM_MISMATCH;
        retry_after_ms = 0;
        break;
    case LIFE_CLAIM_FAILED:
        break;
    }
    fail_not_run(step, failure, REFUSE_NONE, retry_after_ms);
}

static void
on_offered(Step *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (life->state != LIFE_WANTING) {
        return;
    }
    for (uint32_t i = 0; i < event->offered_count; i++) {
        if (life->tried_count == LIFE_AGENTS_MAX) {
            break;
        }
        life->wants[life->want_count++] = event->offered[i];
        life->tried[life->tried_count++] = event->offered[i].agent;
    }
    if (life->want_count > 0) {
        return;
    }
    bool all_tried = event->reason == REFUSE_NONE;
    fail_not_run(
        step, LIFE_FAIL_REFUSED, all_tried ? life->last_reason : event->reason,
        all_tried ? life->last_retry_after_ms : event->retry_after_ms);
}

static bool
wants_from(const Life *life, const LifeAgent *agent)
{
    for (uint32_t i = 0; i < life->want_count; i++) {
        if (life->wants[i].agent == agent->agent &&
            life->wants[i].incarnation == agent->incarnation)
        {
            return true;
        }
    }
    return false;
}

static bool
forget_want(Life *life, uint64_t agent)
{
    for (uint32_t i = 0; i < life->want_count; i++) {
        if (life->wants[i].agent == agent) {
            life->wants[i] = life->wants[--life->want_count];
            return true;
        }
    }
    return false;
}

/* One want less. Offers the request anew when none is left, as long as the
 * budget of rounds and the deadline allow it. */
static void
lose_want(Step *step, RefuseReason reason, uint32_t retry_after_ms)
{
    Life *life = step->life;
    if (!forget_want(life, step->event->agent.agent)) {
        return;
    }
    if (reason == REFUSE_QUARANTINED) {
        fail_not_run(step, LIFE_FAIL_REFUSED, reason, 0);
        return;
    }
    life->last_reason = reason;
    life->last_retry_after_ms = retry_after_ms;
    if (life->want_count > 0) {
        return;
    }
    bool may_offer =
        life->offers < LIFE_OFFERS_MAX && step->now < life->deadline;
    if (may_offer) {
        offer(step);
        return;
    }
    fail_not_run(step, LIFE_FAIL_REFUSED, reason, retry_after_ms);
}

static void
give_back_grant(Step *step)
{
    act(step,
        &(LifeAction){.kind = LIFE_DO_WITHDRAW, .agent = step->event->agent});
}

static void
on_grant(Step *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (life->state != LIFE_WANTING || !wants_from(life, &event->agent)) {
        if (!from_runner(step)) {
            give_back_grant(step);
        }
        return;
    }
    if (step->now >= event->grant_until - LIFE_GRANT_MARGIN_US) {
        give_back_grant(step);
        lose_want(step, REFUSE_LAPSED, LIFE_RETRY_AFTER_MS);
        return;
    }
    if (step->now >= life->deadline) {
        fail_not_run(step, LIFE_FAIL_DEADLINE, REFUSE_DEADLINE,
                     LIFE_RETRY_AFTER_MS);
        return;
    }
    if (!event->may_start) {
        fail_not_run(step, LIFE_FAIL_NO_LEASE, REFUSE_NONE,
                     LIFE_RETRY_AFTER_MS);
        return;
    }
    /* Commit point: spent before the dispatch is queued. */
    life->state = LIFE_SPENT;
    life->dispatched = true;
    life->to = event->agent;
    life->grant_id = event->grant_id;
    withdraw_wants(step, &event->agent);
    act(step, &(LifeAction){
                  .kind = LIFE_DO_DISPATCH,
                  .agent = event->agent,
                  .grant_id = event->grant_id,
              });
}

/* The dispatch provably did not and will not run. */
static void
fail_dispatch(Step *step, RefuseReason reason, uint32_t retry_after_ms)
{
    step->life->dispatched = false;
    fail_not_run(step, LIFE_FAIL_REFUSED, reason, retry_after_ms);
}

static void
on_refuse(Step *step)
{
    const LifeEvent *event = step->event;
    if (step->life->state == LIFE_WANTING) {
        lose_want(step, event->reason, event->retry_after_ms);
        return;
    }
    bool of_dispatch = step->life->state == LIFE_SPENT && from_runner(step) &&
                       event->grant_id != 0 &&
                       event->grant_id == step->life->grant_id;
    if (of_dispatch) {
        fail_dispatch(step, event->reason, event->retry_after_ms);
    }
}

static void
on_head(Step *step)
{
    Life *life = step->life;
    if (!from_runner(step) || life->have_head) {
        return;
    }
    life->have_head = true;
    life->state = LIFE_STREAMING;
    act(step, &(LifeAction){.kind = LIFE_DO_HEAD});
}

static void
on_piece(Step *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (!from_runner(step)) {
        return;
    }
    if (!life->have_head || event->offset > life->received) {
        cancel(step);
        fail_unknown(step, LIFE_FAIL_BROKEN);
        return;
    }
    uint64_t known = life->received - event->offset;
    if (known >= event->length) {
        return;
    }
    life->received = event->offset + event->length;
    act(step, &(LifeAction){.kind = LIFE_DO_PIECE, .offset = known});
}

static void
finish(Step *step, bool recorded)
{
    if (!step->life->caller_gone) {
        act(step, &(LifeAction){.kind = LIFE_DO_FINISH, .recorded = recorded});
    }
    end(step);
}

static void
on_end(Step *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (!from_runner(step)) {
        return;
    }
    if (event->end == LIFE_END_NOT_RUN && !life->have_head) {
        fail_dispatch(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        return;
    }
    bool whole = event->end == LIFE_END_COMPLETE && life->have_head &&
                 event->length == life->received && event->hash_matches;
    if (!whole) {
        fail_unknown(step, LIFE_FAIL_BROKEN);
        return;
    }
    if (!life->claim_held) {
        finish(step, true);
        return;
    }
    life->state = LIFE_RECORDING;
    life->timer_at = step->now + LIFE_RECORD_US;
    record(step, LIFE_RECORD_DONE);
}

static void
on_agent_down(Step *step)
{
    Life *life = step->life;
    if (life->state == LIFE_WANTING) {
        lose_want(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        return;
    }
    bool runner =
        is_running(life) && step->event->agent.agent == life->to.agent;
    if (!runner || life->link_down) {
        return;
    }
    life->link_down = true;
    TimeUs until = step->now + LIFE_RESUME_US;
    life->timer_at = until < life->timer_at ? until : life->timer_at;
}

static void
on_agent_up(Step *step)
{
    Life *life = step->life;
    if (!is_running(life) || step->event->agent.agent != life->to.agent) {
        return;
    }
    if (step->event->agent.incarnation != life->to.incarnation) {
        fail_unknown(step, LIFE_FAIL_LOST);
        return;
    }
    life->link_down = false;
    life->timer_at =
        life->caller_gone ? life->deadline + LIFE_GRACE_US : life->deadline;
    act(step, &(LifeAction){
                  .kind = LIFE_DO_RESUME,
                  .agent = life->to,
                  .offset = life->received,
                  .have_head = life->have_head,
              });
}

/* The caller is told that the outcome is unknown; a non-idempotent request
 * runs on for a while so that its answer can be kept. */
static void
pass_deadline(Step *step)
{
    Life *life = step->life;
    if (!life->claim_held || life->caller_gone || life->link_down) {
        cancel(step);
        fail_unknown(step, LIFE_FAIL_LOST);
        return;
    }
    tell_failure(step, LIFE_FAIL_LOST, false, REFUSE_NONE, 0);
    life->caller_gone = true;
    life->timer_at = life->deadline + LIFE_GRACE_US;
}

static void
on_timer(Step *step)
{
    Life *life = step->life;
    if (step->now < life->timer_at) {
        return;
    }
    if (life->state == LIFE_RECORDING) {
        finish(step, false);
        return;
    }
    if (is_running(life)) {
        pass_deadline(step);
        return;
    }
    fail_not_run(step, LIFE_FAIL_DEADLINE, REFUSE_DEADLINE,
                 LIFE_RETRY_AFTER_MS);
}

static void
on_caller_gone(Step *step)
{
    Life *life = step->life;
    life->caller_gone = true;
    if (!is_running(life) && life->state != LIFE_RECORDING) {
        fail_not_run(step, LIFE_FAIL_DEADLINE, REFUSE_NONE, 0);
        return;
    }
    if (life->claim_held) {
        return;
    }
    cancel(step);
    end(step);
}

static void
on_event(Step *step)
{
    switch (step->event->kind) {
    case LIFE_ON_BEGIN:
        on_begin(step);
        break;
    case LIFE_ON_CLAIM:
        on_claim(step);
        break;
    case LIFE_ON_OFFERED:
        on_offered(step);
        break;
    case LIFE_ON_GRANT:
        on_grant(step);
        break;
    case LIFE_ON_REFUSE:
        on_refuse(step);
        break;
    case LIFE_ON_DISPATCH_FAILED:
        if (step->life->state == LIFE_SPENT) {
            fail_dispatch(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        }
        break;
    case LIFE_ON_HEAD:
        on_head(step);
        break;
    case LIFE_ON_PIECE:
        on_piece(step);
        break;
    case LIFE_ON_END:
        on_end(step);
        break;
    case LIFE_ON_UNKNOWN:
        if (from_runner(step)) {
            fail_unknown(step, LIFE_FAIL_LOST);
        }
        break;
    default:
        break;
    }
}

static void
on_outside_event(Step *step)
{
    switch (step->event->kind) {
    case LIFE_ON_AGENT_DOWN:
        on_agent_down(step);
        break;
    case LIFE_ON_AGENT_UP:
        on_agent_up(step);
        break;
    case LIFE_ON_RECORDED:
        if (step->life->state == LIFE_RECORDING) {
            finish(step, true);
        }
        break;
    case LIFE_ON_TIMER:
        on_timer(step);
        break;
    case LIFE_ON_CALLER_GONE:
        on_caller_gone(step);
        break;
    case LIFE_ON_SHED:
        if (step->life->state == LIFE_WANTING) {
            fail_not_run(step, LIFE_FAIL_REFUSED, REFUSE_SHED,
                         step->event->retry_after_ms);
        }
        break;
    default:
        break;
    }
}

void
Life_Step(Life *life, const LifeEvent *event, TimeUs now, LifeActions *actions)
{
    Step step = {
        .life = life,
        .event = event,
        .now = now,
        .actions = actions,
    };
    actions->count = 0;
    if (life->state == LIFE_ENDED) {
        return;
    }
    if (event->kind < LIFE_ON_AGENT_DOWN) {
        on_event(&step);
    }
    else {
        on_outside_event(&step);
    }
}
