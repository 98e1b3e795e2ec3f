/** @file
 * Types and functions that keepers.c and wants.c share.
 */
#ifndef LAURELLIFT_GATEWAY_KEEPERS_H
#define LAURELLIFT_GATEWAY_KEEPERS_H

#include "gateway/state.h"

/* Values of Want.max_distance, as returned by Endpoint_Distance. */
#define DISTANCE_REGION 1
#define DISTANCE_ALL 2

typedef struct Keeper {
    Keepers *keepers;
    char *endpoint_id;
    Link *link;
    unsigned granted_slots; /* granted to this gateway, not yet returned */
    unsigned busy_slots;   /* slots in use by all gateways, as last reported */
    unsigned queued_wants; /* wants that wait, in the same report */
    TimeUs busy_reported_at; /* time of that report */
    uint32_t prefill_tokens_s;
    uint32_t decode_tokens_s;
} Keeper;

typedef struct Want {
    uint64_t id;
    Call *call;
    GPtrArray *pending;      /* Keepers that have not replied */
    GPtrArray *refused;      /* Keepers that refused it */
    uint32_t retry_after_ms; /* lowest value in a refusal; 0 if none */
    Keeper *granted_by;      /* Keeper that granted it, or NULL */
    unsigned max_distance;   /* largest endpoint distance in the next round */
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

/* Withdraws the want from all keepers that have not replied. */
void Want_Withdraw(Want *want);

/* Starts the next round: sends the want to more keepers within max_distance,
 * and raises max_distance to DISTANCE_ALL for the following rounds.
 * @return false when no keeper is left, in this round or a following one. */
bool Want_SendNextRound(Want *want);

#endif
