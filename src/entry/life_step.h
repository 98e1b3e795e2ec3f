/** @file
 * Private header of the request state machine (life*.c): functions that its
 * modules share. Other modules include life.h.
 */
#ifndef LAURELLIFT_ENTRY_LIFE_STEP_H
#define LAURELLIFT_ENTRY_LIFE_STEP_H

#include "entry/life.h"

/** Arguments of one call of Life_Step. */
typedef struct LifeStep {
    Life *life;
    const LifeEvent *event;
    TimeUs now;
    LifeActions *actions; /**< The handlers append to it. */
} LifeStep;

/* ---- life_step.c ---- */

/** Appends an action to the list that Life_Step returns. */
void LifeStep_AddAction(LifeStep *step, const LifeAction *action);
/** Withdraws all open wants.
 * @param except  agent whose want is not withdrawn, or NULL. */
void LifeStep_WithdrawWants(LifeStep *step, const LifeAgent *except);
/** Ends the request. Later events are ignored. */
void LifeStep_End(LifeStep *step);
/** Records the outcome of the claim. Does nothing if no claim is held. */
void LifeStep_Record(LifeStep *step, LifeClaimOutcome outcome);
/** Reports a failure to the caller, unless Life.caller_gone is set. */
void LifeStep_ReportFailure(LifeStep *step, LifeFailure failure, bool not_run,
                            RefuseReason reason, uint32_t retry_after_ms);
/** Ends a request that is proven not to have run: withdraws its wants,
 * releases its claim and reports the failure. */
void LifeStep_FailNotRun(LifeStep *step, LifeFailure failure,
                         RefuseReason reason, uint32_t retry_after_ms);
/** Ends a dispatched request whose outcome is unknown, and reports the
 * failure. */
void LifeStep_FailUnknown(LifeStep *step, LifeFailure failure);
/** Cancels the request at the agent that it was dispatched to. */
void LifeStep_Cancel(LifeStep *step);
/** Starts a round of wants. */
void LifeStep_SendWants(LifeStep *step);
/** Returns true from the dispatch to the end of the answer. */
bool LifeStep_IsRunning(const Life *life);
/** Returns true if the event is from the agent incarnation that the running
 * request was dispatched to. */
bool LifeStep_IsFromDispatchedAgent(const LifeStep *step);

/* ---- life_want.c: claim, wants and dispatch ---- */

void LifeWant_OnBegin(LifeStep *step);
void LifeWant_OnClaim(LifeStep *step);
void LifeWant_OnWantsSent(LifeStep *step);
void LifeWant_OnGrant(LifeStep *step);
void LifeWant_OnRefuse(LifeStep *step);
/** Removes the want of the event's agent. If it was the last open want, starts
 * another round of wants, or fails the request once LIFE_WANT_ROUNDS_MAX or
 * the deadline is reached.
 * @param reason  why the agent does not run the request. */
void LifeWant_RemoveWant(LifeStep *step, RefuseReason reason,
                         uint32_t retry_after_ms);
/** Fails a dispatched request that is proven not to have run. */
void LifeWant_FailDispatch(LifeStep *step, RefuseReason reason,
                           uint32_t retry_after_ms);

/* ---- life_answer.c: after the dispatch ---- */

void LifeAnswer_OnHead(LifeStep *step);
void LifeAnswer_OnPiece(LifeStep *step);
void LifeAnswer_OnEnd(LifeStep *step);
void LifeAnswer_OnAgentDisconnected(LifeStep *step);
void LifeAnswer_OnAgentConnected(LifeStep *step);
/** Ends the request after a complete answer.
 * @param recorded  false if the claim's outcome was not recorded in time. */
void LifeAnswer_Finish(LifeStep *step, bool recorded);

#endif
