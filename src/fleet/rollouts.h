/** @file
 * State that the sources of the fleet's roll-outs share.
 */
#ifndef LAURELLIFT_FLEET_ROLLOUTS_H
#define LAURELLIFT_FLEET_ROLLOUTS_H

#include "fleet/state.h"
#include "sched/exposure.h"
#include "sched/rollout_samples.h"
#include "sched/rollout_test.h"

/* What the leader knows of a roll-out in progress. */
typedef struct RolloutRun {
    uint64_t order;       /* log index of the order */
    TimeUs started_at;    /* when this host began to keep it */
    RolloutTest *test;    /* evidence */
    Exposure *exposure;   /* ledger */
    GHashTable *gateways; /* id of a gateway's process -> GatewayReport */
    bool stopped; /* the target is bad; nothing more is lent, whether or not
                     the log takes the verdict */
    TimeUs proposed_at; /* when a change was last proposed; 0: never */
    uint64_t proposed_at_revision; /* revision that it replaces */
    RolloutState proposed_state;
    TimeUs ready_at; /* when the target last had a ready endpoint, or was not
                        known to have none */
    TimeUs old_ready_at; /* the same of the other versions */
} RolloutRun;

struct FleetRollouts {
    FleetRolloutBounds bounds;
    RolloutTable *table;
    GHashTable *runs;    /* service -> RolloutRun; in use by the leader */
    TimeUs confirmed_at; /* a majority confirmed the leadership since then */
    TimeUs asked_at;     /* when a confirmation was last asked for */
};

/* ---- rollout_runs.c ---- */

GHashTable *RolloutRuns_New(void);

/* Begins to keep a roll-out that this host ordered itself, so that no other
 * leader can have lent a request to its target. */
void RolloutRuns_Begin(Fleet *fleet, const Rollout *rollout);

/* ---- rollouts.c ---- */

/* Proposes that a roll-out replace the one with its revision, which it was
 * copied from. Takes ownership of it. */
void FleetRollouts_Propose(Fleet *fleet, Rollout *rollout);

#endif
