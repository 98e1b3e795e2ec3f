/** @file
 * What the gateway's keepers.c and wants.c share.
 */
#ifndef LAURELLIFT_GATEWAY_KEEPERS_H
#define LAURELLIFT_GATEWAY_KEEPERS_H

#include "gateway/state.h"

/* How far a want asks. */
#define REACH_REGION 1
#define REACH_ALL 2

typedef struct Keeper {
    Keepers *keepers;
    char *endpoint_id;
    Link *link;
    unsigned held; /* slots that this gateway holds */
    unsigned busy; /* slots that all gateways held, as last told */
    TimeUs told_at;
    uint32_t prefill_tokens_s;
    uint32_t decode_tokens_s;
} Keeper;

typedef struct Want {
    uint64_t id;
    Call *call;
    GPtrArray *asked;   /* Keeper, that have neither granted nor refused */
    GPtrArray *refused; /* Keeper */
    uint32_t retry_after_ms; /* the least that a keeper named; 0: none */
    Keeper *holder;          /* that granted it */
    unsigned reach;          /* how far it asks when it widens next */
    struct event *widen;
} Want;

struct Keepers {
    Gateway *gateway;
    GHashTable *by_endpoint; /* endpoint id -> Keeper */
    GHashTable *wants;       /* id -> Want */
};

void Want_Free(gpointer want);

/* Gives a slot or a want back. */
void Want_SendEnd(Keeper *keeper, uint64_t id, SlotOutcome outcome);

/* Withdraws what was not granted. */
void Want_Withdraw(Want *want);

/* Asks more keepers within the want's reach, and reaches farther next.
 * @return false once all have been asked. */
bool Want_SendMore(Want *want);

#endif
