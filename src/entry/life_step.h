/** @file
 * One step of a request's life, shared by the modules that make up its state
 * machine. Internal to them; life.h is what others use.
 */
#ifndef LAURELLIFT_ENTRY_LIFE_STEP_H
#define LAURELLIFT_ENTRY_LIFE_STEP_H

#include "entry/life.h"

/** An event on its way through the state machine. */
typedef struct LifeStep {
    Life *life;
    const LifeEvent *event;
    TimeUs now;
    LifeActions *actions;
} LifeStep;

/* ---- life_step.c ---- */

/** Adds an action for the caller of Life_Step. */
void LifeStep_Act(LifeStep *step, const LifeAction *action);
/** Withdraws all wants but that of @p except (may be NULL). */
void LifeStep_WithdrawWants(LifeStep *step, const LifeAgent *except);
/** Ends the request; nothing happens to it afterwards. */
void LifeStep_End(LifeStep *step);
/** Records how a claimed request ended; nothing without a claim. */
void LifeStep_Record(LifeStep *step, LifeClaimOutcome what);
/** Tells the caller, unless it is gone. */
void LifeStep_TellFailure(LifeStep *step, LifeFailure failure, bool not_run,
                          RefuseReason reason, uint32_t retry_after_ms);
/** Ends a request that has provably not run. */
void LifeStep_FailNotRun(LifeStep *step, LifeFailure failure,
                         RefuseReason reason, uint32_t retry_after_ms);
/** Ends a request whose outcome is not known. */
void LifeStep_FailUnknown(LifeStep *step, LifeFailure failure);
/** Cancels the request at its runner. */
void LifeStep_Cancel(LifeStep *step);
/** Asks for agents to send wants to. */
void LifeStep_SendWants(LifeStep *step);
/** True after the dispatch, until the answer has ended. */
bool LifeStep_IsRunning(const Life *life);
/** True for an event of the incarnation that got the dispatch. */
bool LifeStep_FromRunner(const LifeStep *step);

/* ---- life_want.c: up to the dispatch ---- */

void LifeOffer_OnBegin(LifeStep *step);
void LifeOffer_OnClaim(LifeStep *step);
void LifeOffer_OnOffered(LifeStep *step);
void LifeOffer_OnGrant(LifeStep *step);
void LifeOffer_OnRefuse(LifeStep *step);
/** The want of the event's agent is gone: offers again, or refuses. */
void LifeOffer_LoseWant(LifeStep *step, RefuseReason reason,
                        uint32_t retry_after_ms);
/** The dispatch provably did not and will not run. */
void LifeOffer_FailDispatch(LifeStep *step, RefuseReason reason,
                            uint32_t retry_after_ms);

/* ---- life_answer.c: after the dispatch ---- */

void LifeAnswer_OnHead(LifeStep *step);
void LifeAnswer_OnPiece(LifeStep *step);
void LifeAnswer_OnEnd(LifeStep *step);
void LifeAnswer_OnAgentDown(LifeStep *step);
void LifeAnswer_OnAgentUp(LifeStep *step);
/** Passes the end of a whole answer on. @p recorded: its claim is, too. */
void LifeAnswer_Finish(LifeStep *step, bool recorded);

#endif
