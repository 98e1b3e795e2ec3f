/** @file
 * State machine of one request: initialization, timers and dispatch of
 * events to their handlers.
 */
#include "entry/life_step.h"

#include <string.h>

void
Life_Init(Life *life, bool needs_claim, TimeUs deadline)
{
    memset(life, 0, sizeof(*life));
    life->state = needs_claim ? LIFE_CLAIMING : LIFE_WANTING;
    life->needs_claim = needs_claim;
    life->deadline = deadline;
    life->timer_at = deadline;
}

const char *
Life_StateName(LifeState state)
{
    static const char *const names[] = {
        [LIFE_CLAIMING] = "claiming",   [LIFE_WANTING] = "wanting",
        [LIFE_DISPATCHED] = "spent",    [LIFE_STREAMING] = "streaming",
        [LIFE_RECORDING] = "recording", [LIFE_ENDED] = "ended",
    };
    return names[state];
}

bool
Life_HasSentWant(const Life *life, uint64_t agent)
{
    for (uint32_t i = 0; i < life->wanted_agent_count; i++) {
        if (life->wanted_agents[i] == agent) {
            return true;
        }
    }
    return false;
}

/* Reports an unknown outcome to the caller. A request with a claim continues
 * to run for LIFE_CALLER_GONE_TIMEOUT_US, so that its answer can be stored. A
 * request is cancelled if it has no claim, or if its caller or its agent is
 * already disconnected. */
static void
on_deadline(LifeStep *step)
{
    Life *life = step->life;
    if (!life->claim_held || life->caller_gone || life->agent_disconnected) {
        LifeStep_Cancel(step);
        LifeStep_FailUnknown(step, LIFE_FAIL_LOST);
        return;
    }
    LifeStep_ReportFailure(step, LIFE_FAIL_LOST, false, REFUSE_NONE, 0);
    life->caller_gone = true;
    life->timer_at = life->deadline + LIFE_CALLER_GONE_TIMEOUT_US;
}

static void
on_timer(LifeStep *step)
{
    Life *life = step->life;
    if (step->now < life->timer_at) {
        return;
    }
    if (life->state == LIFE_RECORDING) {
        LifeAnswer_Finish(step, false);
        return;
    }
    if (LifeStep_IsRunning(life)) {
        on_deadline(step);
        return;
    }
    LifeStep_FailNotRun(step, LIFE_FAIL_DEADLINE, REFUSE_DEADLINE,
                        LIFE_RETRY_AFTER_MS);
}

static void
on_caller_disconnected(LifeStep *step)
{
    Life *life = step->life;
    life->caller_gone = true;
    if (!LifeStep_IsRunning(life) && life->state != LIFE_RECORDING) {
        LifeStep_FailNotRun(step, LIFE_FAIL_DEADLINE, REFUSE_NONE, 0);
        return;
    }
    if (life->claim_held) {
        return;
    }
    LifeStep_Cancel(step);
    LifeStep_End(step);
}

/* Gives the caller an answer before the entry ends. A run with a claim is not
 * cancelled: its agent keeps the answer, and the control hosts keep the claim.
 */
static void
on_stop(LifeStep *step)
{
    Life *life = step->life;
    if (life->state == LIFE_RECORDING) {
        LifeAnswer_Finish(step, false);
        return;
    }
    if (!LifeStep_IsRunning(life)) {
        LifeStep_FailNotRun(step, LIFE_FAIL_STOPPING, REFUSE_NONE,
                            step->event->retry_after_ms);
        return;
    }
    if (!life->claim_held) {
        LifeStep_Cancel(step);
        LifeStep_FailUnknown(step, LIFE_FAIL_LOST);
        return;
    }
    LifeStep_ReportFailure(step, LIFE_FAIL_LOST, false, REFUSE_NONE, 0);
    life->caller_gone = true;
}

static void
on_request_event(LifeStep *step)
{
    switch (step->event->kind) {
    case LIFE_ON_BEGIN:
        LifeWant_OnBegin(step);
        break;
    case LIFE_ON_CLAIM:
        LifeWant_OnClaim(step);
        break;
    case LIFE_ON_WANTS_SENT:
        LifeWant_OnWantsSent(step);
        break;
    case LIFE_ON_GRANT:
        LifeWant_OnGrant(step);
        break;
    case LIFE_ON_REFUSE:
        LifeWant_OnRefuse(step);
        break;
    case LIFE_ON_DISPATCH_FAILED:
        if (step->life->state == LIFE_DISPATCHED) {
            LifeWant_FailDispatch(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        }
        break;
    case LIFE_ON_HEAD:
        LifeAnswer_OnHead(step);
        break;
    case LIFE_ON_PIECE:
        LifeAnswer_OnPiece(step);
        break;
    case LIFE_ON_END:
        LifeAnswer_OnEnd(step);
        break;
    case LIFE_ON_UNKNOWN:
        if (LifeStep_IsFromDispatchedAgent(step)) {
            LifeStep_FailUnknown(step, LIFE_FAIL_LOST);
        }
        break;
    default:
        break;
    }
}

static void
on_external_event(LifeStep *step)
{
    switch (step->event->kind) {
    case LIFE_ON_AGENT_DISCONNECTED:
        LifeAnswer_OnAgentDisconnected(step);
        break;
    case LIFE_ON_AGENT_CONNECTED:
        LifeAnswer_OnAgentConnected(step);
        break;
    case LIFE_ON_RECORDED:
        if (step->life->state == LIFE_RECORDING) {
            LifeAnswer_Finish(step, true);
        }
        break;
    case LIFE_ON_TIMER:
        on_timer(step);
        break;
    case LIFE_ON_CALLER_DISCONNECTED:
        on_caller_disconnected(step);
        break;
    case LIFE_ON_STOP:
        on_stop(step);
        break;
    case LIFE_ON_SHED:
        if (step->life->state == LIFE_WANTING) {
            LifeStep_FailNotRun(step, LIFE_FAIL_REFUSED, REFUSE_SHED,
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
    LifeStep step = {
        .life = life,
        .event = event,
        .now = now,
        .actions = actions,
    };
    actions->count = 0;
    if (life->state == LIFE_ENDED) {
        return;
    }
    if (event->kind < LIFE_ON_AGENT_DISCONNECTED) {
        on_request_event(&step);
    }
    else {
        on_external_event(&step);
    }
}
