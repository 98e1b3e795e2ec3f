/** @file
 * State machine of a request up to its dispatch: claim, wants, grants and
 * refusals.
 */
#include "entry/life_step.h"

void
LifeWant_OnBegin(LifeStep *step)
{
    if (step->life->started) {
        return;
    }
    step->life->started = true;
    if (step->life->needs_claim) {
        LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_CLAIM});
        /* The claim may be granted before its reply arrives, so a request
         * that ends earlier has to release it. */
        step->life->claim_held = true;
        return;
    }
    LifeStep_SendWants(step);
}

void
LifeWant_OnClaim(LifeStep *step)
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
        LifeStep_SendWants(step);
        return;
    case LIFE_CLAIM_FINISHED:
        LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_STORED_ANSWER});
        LifeStep_End(step);
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
    LifeStep_FailNotRun(step, failure, REFUSE_NONE, retry_after_ms);
}

void
LifeWant_OnWantsSent(LifeStep *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (life->state != LIFE_WANTING) {
        return;
    }
    for (uint32_t i = 0; i < event->want_agent_count; i++) {
        if (life->wanted_agent_count == LIFE_AGENTS_MAX) {
            break;
        }
        life->wants[life->want_count++] = event->want_agents[i];
        life->wanted_agents[life->wanted_agent_count++] =
            event->want_agents[i].agent;
    }
    if (life->want_count > 0) {
        return;
    }
    bool all_tried = event->reason == REFUSE_NONE;
    LifeStep_FailNotRun(
        step, LIFE_FAIL_REFUSED, all_tried ? life->last_reason : event->reason,
        all_tried ? life->last_retry_after_ms : event->retry_after_ms);
}

static bool
has_want(const Life *life, const LifeAgent *agent)
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
remove_want(Life *life, uint64_t agent)
{
    for (uint32_t i = 0; i < life->want_count; i++) {
        if (life->wants[i].agent == agent) {
            life->wants[i] = life->wants[--life->want_count];
            return true;
        }
    }
    return false;
}

void
LifeWant_RemoveWant(LifeStep *step, RefuseReason reason,
                    uint32_t retry_after_ms)
{
    Life *life = step->life;
    if (!remove_want(life, step->event->agent.agent)) {
        return;
    }
    if (reason == REFUSE_QUARANTINED) {
        LifeStep_FailNotRun(step, LIFE_FAIL_REFUSED, reason, 0);
        return;
    }
    life->last_reason = reason;
    life->last_retry_after_ms = retry_after_ms;
    if (life->want_count > 0) {
        return;
    }
    bool may_retry =
        life->want_rounds < LIFE_WANT_ROUNDS_MAX && step->now < life->deadline;
    if (may_retry) {
        LifeStep_SendWants(step);
        return;
    }
    LifeStep_FailNotRun(step, LIFE_FAIL_REFUSED, reason, retry_after_ms);
}

static void
withdraw_grant(LifeStep *step)
{
    LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_WITHDRAW,
                                           .agent = step->event->agent});
}

void
LifeWant_OnGrant(LifeStep *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (life->state != LIFE_WANTING || !has_want(life, &event->agent)) {
        if (!LifeStep_IsFromDispatchedAgent(step)) {
            withdraw_grant(step);
        }
        return;
    }
    if (step->now >= event->grant_expires_at - LIFE_GRANT_MARGIN_US) {
        withdraw_grant(step);
        LifeWant_RemoveWant(step, REFUSE_LAPSED, LIFE_RETRY_AFTER_MS);
        return;
    }
    if (step->now >= life->deadline) {
        LifeStep_FailNotRun(step, LIFE_FAIL_DEADLINE, REFUSE_DEADLINE,
                            LIFE_RETRY_AFTER_MS);
        return;
    }
    if (!event->lease_valid) {
        LifeStep_FailNotRun(step, LIFE_FAIL_NO_LEASE, REFUSE_NONE,
                            LIFE_RETRY_AFTER_MS);
        return;
    }
    /* Commit point: the state changes before the dispatch is queued, so the
     * request is never dispatched twice. */
    life->state = LIFE_DISPATCHED;
    life->dispatched = true;
    life->dispatched_agent = event->agent;
    life->grant_id = event->grant_id;
    LifeStep_WithdrawWants(step, &event->agent);
    LifeStep_AddAction(step, &(LifeAction){
                                 .kind = LIFE_DO_DISPATCH,
                                 .agent = event->agent,
                                 .grant_id = event->grant_id,
                             });
}

void
LifeWant_FailDispatch(LifeStep *step, RefuseReason reason,
                      uint32_t retry_after_ms)
{
    step->life->dispatched = false;
    LifeStep_FailNotRun(step, LIFE_FAIL_REFUSED, reason, retry_after_ms);
}

void
LifeWant_OnRefuse(LifeStep *step)
{
    const LifeEvent *event = step->event;
    if (step->life->state == LIFE_WANTING) {
        LifeWant_RemoveWant(step, event->reason, event->retry_after_ms);
        return;
    }
    bool refuses_dispatch = step->life->state == LIFE_DISPATCHED &&
                            LifeStep_IsFromDispatchedAgent(step) &&
                            event->grant_id != 0 &&
                            event->grant_id == step->life->grant_id;
    if (refuses_dispatch) {
        LifeWant_FailDispatch(step, event->reason, event->retry_after_ms);
    }
}
