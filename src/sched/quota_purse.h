/** @file
 * Units of one account's limit at one gateway. The gateway takes the cost of a
 * request from the units that the ledger (quota_ledger.h) has granted it, and
 * asks for more when they do not suffice. It stores a few units and may owe a
 * few, so that most requests need no question where a gateway has many of the
 * account. While the account asks for more than its limit, the ledger decides
 * on each request, because only it knows what urgent ones at other gateways
 * need. While no ledger answers, the gateway uses its part of the limit and no
 * more. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_QUOTA_PURSE_H
#define LAURELLIFT_SCHED_QUOTA_PURSE_H

#include "sched/bucket.h"
#include "sched/quota_ledger.h"

/** What one gateway may use of a limit without a question. */
typedef struct QuotaPart {
    BucketLimit alone; /**< While no ledger answers. */
    double credit;     /**< Units that it may owe to the ledger. */
    double store;      /**< Units that it may store. */
} QuotaPart;

typedef struct QuotaPurse {
    double level; /**< Granted and unused units; negative if units are owed. */
    Bucket alone; /**< Empty while the ledger answers. */
    TimeUs contended_until; /**< Until then the ledger decides alone. */
} QuotaPurse;

/** Returns the part of one of @p gateways gateways.
 * @param slack  units by which all gateways may exceed the limit. */
QuotaPart QuotaPurse_Part(const QuotaLimit *limit, double slack,
                          uint32_t gateways);

void QuotaPurse_Init(QuotaPurse *purse, TimeUs now);

/** Takes the cost of a request without a question.
 * @return false when the ledger must be asked. */
bool QuotaPurse_Take(QuotaPurse *purse, const QuotaPart *part, double cost,
                     TimeUs now);

/** Returns the question for a request, which takes over the balance of the
 * purse: QuotaPurse_Add() returns the balance (cost minus units of the ask)
 * when the question is refused or abandoned. */
QuotaAsk QuotaPurse_Ask(QuotaPurse *purse, const QuotaPart *part,
                        const BucketRequest *request, TimeUs now);

/** Returns the units to ask for without a request; 0 if there are enough. */
double QuotaPurse_Lacking(const QuotaPurse *purse, const QuotaPart *part,
                          TimeUs now);

/** Adds granted, refunded or carried units. */
void QuotaPurse_Add(QuotaPurse *purse, double units);

/** Removes the units beyond those that may be stored.
 * @return their number, to be returned to the ledger. */
double QuotaPurse_TakeExcess(QuotaPurse *purse, const QuotaPart *part,
                             TimeUs now);

/** Decides while no ledger answers. */
BucketDecision QuotaPurse_TakeAlone(QuotaPurse *purse, const QuotaPart *part,
                                    const BucketRequest *request, TimeUs now);

/** Records that the ledger can be reached: the gateway's part is empty from
 * now on, and what it overdrew is owed. */
void QuotaPurse_OnAnswer(QuotaPurse *purse, TimeUs now);

/** Applies what an answer says of the account (QuotaGrant.contended). */
void QuotaPurse_SetContended(QuotaPurse *purse, bool contended, TimeUs now);

#endif
