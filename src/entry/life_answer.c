/** @file
 * State machine of a request after its dispatch: the answer, and
 * disconnected links to the agent that runs the request.
 */
#include "entry/life_step.h"

void
LifeAnswer_OnHead(LifeStep *step)
{
    Life *life = step->life;
    if (!LifeStep_IsFromDispatchedAgent(step) || life->have_head) {
        return;
    }
    life->have_head = true;
    life->state = LIFE_STREAMING;
    LifeStep_AddAction(step, &(LifeAction){.kind = LIFE_DO_HEAD});
}

void
LifeAnswer_OnPiece(LifeStep *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (!LifeStep_IsFromDispatchedAgent(step)) {
        return;
    }
    if (!life->have_head || event->offset > life->received_bytes) {
        LifeStep_Cancel(step);
        LifeStep_FailUnknown(step, LIFE_FAIL_BROKEN);
        return;
    }
    uint64_t received_before = life->received_bytes - event->offset;
    if (received_before >= event->length) {
        return;
    }
    life->received_bytes = event->offset + event->length;
    LifeStep_AddAction(
        step, &(LifeAction){.kind = LIFE_DO_PIECE, .offset = received_before});
}

void
LifeAnswer_Finish(LifeStep *step, bool recorded)
{
    if (!step->life->caller_gone) {
        LifeStep_AddAction(
            step, &(LifeAction){.kind = LIFE_DO_FINISH, .recorded = recorded});
    }
    LifeStep_End(step);
}

void
LifeAnswer_OnEnd(LifeStep *step)
{
    Life *life = step->life;
    const LifeEvent *event = step->event;
    if (!LifeStep_IsFromDispatchedAgent(step)) {
        return;
    }
    if (event->end == LIFE_END_NOT_RUN && !life->have_head) {
        LifeWant_FailDispatch(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        return;
    }
    bool complete = event->end == LIFE_END_COMPLETE && life->have_head &&
                    event->length == life->received_bytes &&
                    event->hash_matches;
    if (!complete) {
        LifeStep_FailUnknown(step, LIFE_FAIL_BROKEN);
        return;
    }
    if (!life->claim_held) {
        LifeAnswer_Finish(step, true);
        return;
    }
    life->state = LIFE_RECORDING;
    life->timer_at = step->now + LIFE_RECORD_TIMEOUT_US;
    LifeStep_Record(step, LIFE_RECORD_DONE);
}

void
LifeAnswer_OnAgentDisconnected(LifeStep *step)
{
    Life *life = step->life;
    if (life->state == LIFE_WANTING) {
        LifeWant_RemoveWant(step, REFUSE_LEAVING, LIFE_RETRY_AFTER_MS);
        return;
    }
    bool runs_request =
        LifeStep_IsRunning(life) &&
        step->event->agent.agent == life->dispatched_agent.agent;
    if (!runs_request || life->agent_disconnected) {
        return;
    }
    life->agent_disconnected = true;
    TimeUs resume_until = step->now + LIFE_RESUME_TIMEOUT_US;
    life->timer_at =
        resume_until < life->timer_at ? resume_until : life->timer_at;
}

void
LifeAnswer_OnAgentConnected(LifeStep *step)
{
    Life *life = step->life;
    if (!LifeStep_IsRunning(life) ||
        step->event->agent.agent != life->dispatched_agent.agent)
    {
        return;
    }
    if (step->event->agent.incarnation != life->dispatched_agent.incarnation) {
        LifeStep_FailUnknown(step, LIFE_FAIL_LOST);
        return;
    }
    life->agent_disconnected = false;
    life->timer_at = life->caller_gone
                         ? life->deadline + LIFE_CALLER_GONE_TIMEOUT_US
                         : life->deadline;
    LifeStep_AddAction(step, &(LifeAction){
                                 .kind = LIFE_DO_RESUME,
                                 .agent = life->dispatched_agent,
                                 .offset = life->received_bytes,
                                 .have_head = life->have_head,
                             });
}
