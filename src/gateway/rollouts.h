/** @file
 * Gateway: roll-outs of services to versions of their software. While one is
 * in progress, each call is assigned a side, the target version (candidate) or
 * the old ones, and the gateway reports to the leader what it sent and how it
 * was answered. The leader's permits bound what is sent to the candidate.
 */
#ifndef LAURELLIFT_GATEWAY_ROLLOUTS_H
#define LAURELLIFT_GATEWAY_ROLLOUTS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "wire/generated/wire.pb-c.h"

typedef struct Call Call;
typedef struct Endpoint Endpoint;
typedef struct Gateway Gateway;
typedef struct Rollouts Rollouts;

/* Side of a call that looks for an endpoint. */
typedef enum CallSide {
    SIDE_NONE, /* not assigned */
    SIDE_OLD,
    SIDE_CANDIDATE,
} CallSide;

/* What a call keeps of its service's roll-out. */
typedef struct CallRollout {
    uint64_t order; /* of the roll-out that the members below are of */
    CallSide side;
    bool reserved;       /* a request of the permit is set aside for it */
    uint64_t counted_in; /* order in whose requests the call was counted */
    bool counts;         /* the answer of the present attempt is evidence */
    bool to_candidate;   /* side of the present attempt */
    unsigned load_class; /* of its endpoint, before it was sent */
    TimeUs begun_at;     /* from which the run time of the attempt counts */
} CallRollout;

/* How an attempt ended, as evidence. */
typedef enum RolloutEnd {
    ROLLOUT_ANSWERED, /* with the first event or a complete answer */
    ROLLOUT_FAILED,
    ROLLOUT_NO_EVIDENCE, /* not run, or the caller left */
} RolloutEnd;

Rollouts *Rollouts_New(Gateway *gateway);
void Rollouts_Free(Rollouts *rollouts);

/* Applies the roll-outs that a control host sent.
 * @param asked_at  when the query that it answers was sent; 0 for a push. */
void Rollouts_OnState(Rollouts *rollouts, const Wire__ConfigState *state,
                      TimeUs asked_at);

/* Applies the leader's reply to a report. */
void Rollouts_OnPermit(Rollouts *rollouts, const Wire__RolloutPermit *permit);

/* Assigns a side to a call that looks for an endpoint. */
void Rollouts_Assign(Call *call);

/* Assigns the old side to a call of the candidate's, none of whose endpoints
 * has capacity.
 * @return false if the call is not of the candidate's side, or only the
 *         candidate may serve it. */
bool Rollouts_FallBack(Call *call, const char *why);

/* Returns whether the endpoint is of a version that may serve the call. */
bool Rollouts_MayServe(const Endpoint *endpoint, const Call *call);

/* Returns whether the call is of the candidate's side while the old ones
 * serve too, so that it need not wait for an endpoint. */
bool Rollouts_IsTrial(const Call *call);

/* Records that the call is sent to the endpoint. */
void Rollouts_OnSend(Call *call, const Endpoint *endpoint);

/* Records that the head of an answer arrived. */
void Rollouts_OnHead(Call *call);

/* Records how the call's present attempt ended; later ends of it are
 * ignored, but for a failure after the first event. */
void Rollouts_OnEnd(Call *call, RolloutEnd end);

/* Returns what the call has set aside of a permit. */
void Rollouts_Forget(Call *call);

/* Sends the next reports at once, as the leader has changed. */
void Rollouts_OnLeader(Rollouts *rollouts);

#endif
