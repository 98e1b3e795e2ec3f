/** @file
 * What the keeper of an engine expects of the time that requests will wait
 * there. Sent with grants and refusals; pool_view.h uses it.
 */
#ifndef LAURELLIFT_SCHED_OUTLOOK_H
#define LAURELLIFT_SCHED_OUTLOOK_H

#include "sched/work.h"

/** Ranks of a tier that are told apart; higher numbers count as the last. */
#define OUTLOOK_RANKS 4
#define OUTLOOK_CLASSES (WORK_TIERS * OUTLOOK_RANKS)
/** Classes of requests within the share of their account, followed by those of
 * requests beyond. */
#define OUTLOOK_WAITS (2 * OUTLOOK_CLASSES)
/** Largest number of accounts beyond a share that an outlook names. Requests
 * of further ones count as within. */
#define OUTLOOK_ACCOUNTS_MAX 16
/** Bits of an account's hash that are left out for its tier and ranks. */
#define OUTLOOK_ACCOUNT_MASK 63U

/** Wait of a new request by the plan of the slots, and the same if requests of
 * higher classes keep coming, which is not shorter. */
typedef struct PlannedWait {
    TimeUs planned;
    TimeUs expected;
} PlannedWait;

/** Waits of new requests of one class. Those whose first piece would miss its
 * deadline wait behind the whole class. */
typedef struct ClassWait {
    unsigned class_index; /**< outlook_class(), and OUTLOOK_CLASSES more for
                             requests beyond the share of their account. */
    PlannedWait on_time;
    PlannedWait late;
    bool bookable; /**< Capacity may be kept for requests that come back. */
} ClassWait;

typedef struct EngineOutlook {
    double first_base_us;       /**< Time to the first piece: fixed part, */
    double first_us_per_token;  /**< and for each prompt token. */
    double decode_us_per_token; /**< Of one stream; 0 while unknown. */
    TimeUs mean_run;            /**< Of the requests that run now. */
    double margin;              /**< Factor on predicted run times. */
    double first_margin;        /**< Factor on times to the first piece. */
    unsigned count;             /**< Classes that have a wait. */
    ClassWait waits[OUTLOOK_WAITS];
    unsigned account_count;
    /** Accounts beyond their share: the hash without OUTLOOK_ACCOUNT_MASK, and
     * there the tier (bits 4 and 5) and a bit for each rank that is beyond. */
    uint64_t accounts[OUTLOOK_ACCOUNTS_MAX];
} EngineOutlook;

static inline unsigned
outlook_class(uint32_t tier, uint32_t rank)
{
    tier = tier < WORK_TIERS ? tier : WORK_TIERS - 1;
    rank = rank < OUTLOOK_RANKS ? rank : OUTLOOK_RANKS - 1;
    return tier * OUTLOOK_RANKS + rank;
}

/** Returns the class of a request, with regard to the share of its account at
 * the engine. */
static inline unsigned
outlook_class_of(const EngineOutlook *outlook, uint64_t account, uint32_t tier,
                 uint32_t rank)
{
    unsigned class_index = outlook_class(tier, rank);
    uint64_t key = (account & ~(uint64_t)OUTLOOK_ACCOUNT_MASK) |
                   class_index / OUTLOOK_RANKS << OUTLOOK_RANKS;
    uint64_t rank_bit = 1ULL << class_index % OUTLOOK_RANKS;
    uint64_t rank_bits = (1ULL << OUTLOOK_RANKS) - 1;
    for (unsigned i = 0; account != 0 && i < outlook->account_count; i++) {
        if ((outlook->accounts[i] & ~rank_bits) == key &&
            (outlook->accounts[i] & rank_bit) != 0)
        {
            return class_index + OUTLOOK_CLASSES;
        }
    }
    return class_index;
}

#endif
