/** @file
 * Types and functions that keepers.c and wants.c share.
 */
#ifndef LAURELLIFT_GATEWAY_KEEPERS_H
#define LAURELLIFT_GATEWAY_KEEPERS_H

#include "gateway/state.h"
#include "sched/pool_view.h"

/* Values of Want.max_distance, as returned by Endpoint_Distance. */
#define DISTANCE_REGION 1
#define DISTANCE_ALL 2

typedef struct Keeper {
    Keepers *keepers;
    char *endpoint_id;
    char *address; /* IP:PORT of the keeper, whichever engine is beside it */
    Link *link;
    unsigned granted_slots; /* granted to this gateway, not yet returned */
    unsigned busy_slots;   /* slots in use by all gateways, as last reported */
    unsigned queued_wants; /* wants that wait, in the same report */
    TimeUs busy_reported_at; /* time of that report */
    uint32_t prefill_tokens_s;
    uint32_t decode_tokens_s;
    EngineView view; /* waits at the engine */
} Keeper;

typedef struct Want {
    uint64_t id;
    Call *call;
    GPtrArray *pending;      /* Keepers that have not replied */
    GPtrArray *refused;      /* Keepers that refused it */
    uint32_t retry_after_ms; /* lowest value in a refusal; 0 if none */
    Keeper *granted_by;      /* Keeper that granted it, or NULL */
    unsigned max_distance;   /* largest endpoint distance in the next round */
    bool limited; /* asks only the keepers that the view of the pool chooses */
    bool hopeless;                  /* all engines were known to be late */
    struct event *next_round_timer; /* starts the next round of wants */
} Want;

struct Keepers {
    Gateway *gateway;
    GHashTable *by_endpoint; /* endpoint id -> Keeper */
    GHashTable *wants;       /* want id -> Want */
    struct event *withdraw_event;
};

void Want_Free(gpointer want);

/* Notifies a keeper that a granted slot is free again, or withdraws a want. */
void Want_SendEnd(Keeper *keeper, uint64_t id, SlotOutcome outcome);

/* Refuses the want's call, which no engine can serve in time, and frees both;
 * a call of a roll-out's trial goes on at the old versions instead.
 * @param last  keeper that refused it last; NULL if the view did. */
void Keepers_RefuseWant(Want *want, const Keeper *last, const char *reason);

/* Withdraws the want from all keepers that have not replied. */
void Want_Withdraw(Want *want);

/* Starts the next round: sends the want to more keepers within max_distance,
 * and raises max_distance to DISTANCE_ALL for the following rounds.
 * @return false when no keeper is left, in this round or a following one. */
bool Want_SendNextRound(Want *want);

/* Returns when the caller should come back after all keepers have refused, in
 * milliseconds. */
uint32_t Want_ReturnMs(const Want *want);

/* ---- pool.c ---- */

/* Stores what a keeper told of the waits at its engine. */
void Keeper_ReadOutlook(Keeper *keeper, const Wire__EngineOutlook *message);

/* Returns the data of a call that the view of the pool uses. */
PoolRequest Pool_RequestOf(const Call *call);

/* Returns the hash by which keepers tell accounts apart; 0 if engine time is
 * not divided between them. */
uint64_t Pool_AccountOf(const Call *call);

/* Records that the view of the pool chooses whom a request asks. */
void Pool_LogChoice(const Want *want, const PoolChoice *choice);

#endif
