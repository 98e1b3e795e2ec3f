/** @file
 * State machine of a request: functions that append actions or end the
 * request, shared by its modules.
 */
#include "entry/life_step.h"

void
LifeStep_AddAction(LifeStep *step, const LifeAction *action)
{
    INVARIANT(step->actions->count < LIFE_ACTIONS_MAX);
    step->actions->list[step->actions->count++] = *action;
}

void
LifeStep_WithdrawWants(LifeStep *step, const LifeAgent *except)
{
    Life *life = step->life;
    for (uint32_t i = 0; i < life->want_count; i++) {
        if (except == NULL || life->wants[i].agent != except->agent) {
            LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_WITHDRAW,
                                                   .agent = life->wants[i]});
        }
    }
    life->want_count = 0;
}

void
LifeStep_End(LifeStep *step)
{
    step->life->state = LIFE_ENDED;
    step->life->timer_at = TIME_NEVER;
    LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_END});
}

void
LifeStep_Record(LifeStep *step, LifeClaimOutcome outcome)
{
    if (step->life->claim_held) {
        LifeStep_AddAction(
            step, &(LifeAction){.kind = LIFE_DO_RECORD, .record = outcome});
    }
}

void
LifeStep_ReportFailure(LifeStep *step, LifeFailure failure, bool not_run,
                       RefuseReason reason, uint32_t retry_after_ms)
{
    if (step->life->caller_gone) {
        return;
    }
    LifeStep_AddAction(step, &(LifeAction){
                                 .kind = LIFE_DO_FAIL,
                                 .failure = failure,
                                 .not_run = not_run,
                                 .reason = reason,
                                 .retry_after_ms = retry_after_ms,
                             });
}

void
LifeStep_FailNotRun(LifeStep *step, LifeFailure failure, RefuseReason reason,
                    uint32_t retry_after_ms)
{
    LifeStep_WithdrawWants(step, NULL);
    LifeStep_Record(step, LIFE_RECORD_RELEASE);
    LifeStep_ReportFailure(step, failure, true, reason, retry_after_ms);
    LifeStep_End(step);
}

void
LifeStep_FailUnknown(LifeStep *step, LifeFailure failure)
{
    LifeStep_Record(step, LIFE_RECORD_UNKNOWN);
    LifeStep_ReportFailure(step, failure, false, REFUSE_NONE, 0);
    LifeStep_End(step);
}

void
LifeStep_Cancel(LifeStep *step)
{
    LifeStep_AddAction(step,
                       &(LifeAction){.kind = LIFE_DO_CANCEL,
                                     .agent = step->life->dispatched_agent});
}

void
LifeStep_SendWants(LifeStep *step)
{
    step->life->state = LIFE_WANTING;
    step->life->want_rounds++;
    LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_SEND_WANTS});
}

bool
LifeStep_IsRunning(const Life *life)
{
    return life->state == LIFE_DISPATCHED || life->state == LIFE_STREAMING;
}

bool
LifeStep_IsFromDispatchedAgent(const LifeStep *step)
{
    const Life *life = step->life;
    return LifeStep_IsRunning(life) &&
           step->event->agent.agent == life->dispatched_agent.agent &&
           step->event->agent.incarnation ==
               life->dispatched_agent.incarnation;
}
