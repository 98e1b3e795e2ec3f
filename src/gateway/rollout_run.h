/** @file
 * Gateway: state that the sources of roll-outs share.
 */
#ifndef LAURELLIFT_GATEWAY_ROLLOUT_RUN_H
#define LAURELLIFT_GATEWAY_ROLLOUT_RUN_H

#include "gateway/state.h"
#include "routes/rollout.h"
#include "sched/rollout_samples.h"

/* What the gateway keeps of a roll-out in progress. */
typedef struct RolloutRun {
    uint64_t order;
    uint64_t requests; /* sent to the service, without further attempts */
    uint64_t sent;     /* to the candidate, with further attempts */
    uint64_t reserved; /* set aside for calls that look for an endpoint */
    uint64_t lent;     /* largest number in a permit */
    TimeUs permit_until;
    TimeUs heard_at;      /* newest time at which the state was known to be the
                             leader's newest */
    uint64_t first_nonce; /* of the reports to the present leader */
    char *leader;         /* to which the reports are sent */
    GHashTable *sent_at;  /* nonce of a report -> when it was sent; those that
                             can still bring a permit */
    RolloutSamples *samples; /* answers since the order */
    bool samples_full_logged;
} RolloutRun;

struct Rollouts {
    Gateway *gateway;
    RolloutTable *table;
    GHashTable *runs; /* service -> RolloutRun */
    struct event *timer;
    uint64_t last_nonce;
};

/* ---- rollouts.c ---- */

/* Returns whether the endpoint is of the version that the roll-out moves to.
 */
bool RolloutRun_IsTarget(const Rollout *rollout, const Endpoint *endpoint);

/* Returns the run of a roll-out in progress, or NULL. */
RolloutRun *RolloutRun_Find(const Gateway *gateway, const Rollout *rollout);

/* Returns the run of the roll-out that an order began, or NULL. */
RolloutRun *RolloutRun_FindOrder(const Rollouts *rollouts, uint64_t order);

/* ---- rollout_reports.c ---- */

/* Reports all roll-outs in progress to the leader. */
void RolloutRun_SendReports(Rollouts *rollouts);

#endif
