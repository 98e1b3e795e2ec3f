/** @file
 * Simulation of a pool of engines under competition: gateways that send wants
 * to the keepers' queues with their network delays, engines that run what was
 * granted, and callers that come back once when a refusal lets them.
 */
#ifndef LAURELLIFT_TEST_UNIT_POOL_PLAY_H
#define LAURELLIFT_TEST_UNIT_POOL_PLAY_H

#include <stdbool.h>
#include <stdint.h>

#define POOL_PLAY_RANKS 3
#define POOL_PLAY_TIERS 2
#define POOL_PLAY_CLASSES (POOL_PLAY_RANKS * POOL_PLAY_TIERS)
/* Refusals are counted over parts of the run of this length. */
/* Accounts with POOL_PLAY_LARGE large ones first. All requests of one account
 * have one tier. */
#define POOL_PLAY_ACCOUNTS 16
#define POOL_PLAY_LARGE 3
#define POOL_PLAY_SPAN_MS 250
#define POOL_PLAY_SPANS 160

typedef struct PoolCase {
    bool use_view;
    bool sizes;    /* prompts differ, and callers return to other gateways */
    bool bookings; /* capacity is kept for callers that come back */
    unsigned engines;
    double load;        /* demand / capacity of all engines */
    int run_ms;         /* time for which requests arrive */
    int burst_until_ms; /* until then the demand is burst_load */
    double burst_load;
    int fault_from_ms; /* frozen keepers and crashed engines */
    int fault_until_ms;
    unsigned frozen;  /* keepers that are frozen from fault_from_ms */
    unsigned crashed; /* engines that are lost at fault_from_ms */
    bool region_cut;  /* no messages between the regions meanwhile */
    uint32_t seed;
    bool
        accounts; /* callers belong to accounts; load is of the usual demand */
    bool fair_accounts;   /* of the queues */
    double account_burst; /* factor of the demand of the account that bursts */
    unsigned burst_account;
    int account_burst_from_ms;
    /* Results by account count callers that arrive from the burst until then,
     * while the demand goes on for the longest deadline. */
    int count_until_ms;
} PoolCase;

/* What the callers of one tier and rank got. A caller that came back counts
 * once, with its last answer. */
typedef struct PoolClassResult {
    unsigned callers;
    unsigned served;
} PoolClassResult;

typedef struct PoolResult {
    PoolClassResult classes[POOL_PLAY_CLASSES];
    PoolClassResult accounts[POOL_PLAY_ACCOUNTS][POOL_PLAY_RANKS];
    /* Slot time of served requests, in ms at speed 1. */
    double account_slot_ms[POOL_PLAY_ACCOUNTS];
    unsigned callers;
    unsigned served;
    unsigned refusals; /* of first and second requests */
    unsigned wrong;    /* refusals while an engine would have served */
    unsigned returns;  /* callers that came back */
    unsigned returns_served;
    unsigned booked;         /* bookings that keepers accepted */
    unsigned not_booked;     /* those beyond their limit */
    unsigned booked_callers; /* that came back for an accepted booking */
    unsigned booked_served;
    unsigned claimed;          /* bookings that a request has claimed */
    unsigned claimed_refused;  /* of these requests, refused by that keeper */
    unsigned wants;            /* messages to keepers */
    unsigned refusal_wants;    /* those of refused requests */
    unsigned refused_after_12; /* refused requests that asked more */
    unsigned known_late; /* refused, and late at all engines by the view when
                            they arrived */
    unsigned known_late_over; /* of these, refused later than an eighth of the
                                 objective */
    unsigned known_late_wants_over; /* of these, asked more than 12 */
    unsigned outlook_bytes;         /* in all answers of keepers */
    unsigned rounds; /* wake-ups of gateways by timers of wants */
    double refusal_p10_ms, refusal_p50_ms, refusal_p90_ms;
    unsigned refused_in[POOL_PLAY_SPANS]; /* by arrival of the request */
    unsigned arrived_in[POOL_PLAY_SPANS];
} PoolResult;

/** Returns the tier of all requests of an account. */
unsigned PoolPlay_AccountTier(unsigned account);

void PoolPlay_Run(const PoolCase *play, PoolResult *result);

#endif
