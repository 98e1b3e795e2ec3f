/** @file
 * Account limits, in the entry: requests and tokens a second, requests at
 * one time. Each entry applies its share of every limit. Pure.
 */
#ifndef LAURELLIFT_SCHED_LIMITS_H
#define LAURELLIFT_SCHED_LIMITS_H

#include "sched/work.h"

typedef struct LimitTable LimitTable;

typedef struct AccountLimits {
    uint32_t requests_s; /**< 0: no limit. */
    uint32_t tokens_s;   /**< 0: no limit. */
    uint32_t concurrent; /**< 0: no limit. */
} AccountLimits;

/** @param accounts  accounts are named by 0 .. accounts - 1. */
LimitTable *Limits_New(uint32_t accounts);
void Limits_Free(LimitTable *table);

/** Sets an account's limits; what it has used is kept. */
void Limits_Set(LimitTable *table, uint32_t account,
                const AccountLimits *limits, TimeUs now);

/** The part of every limit that this entry may use, 0 to 1. */
void Limits_SetShare(LimitTable *table, uint32_t account, double share);

/** Counts a request against its account.
 * @param retry_after_ms  set when it is refused.
 * @return true when it is within the limits. */
bool Limits_Admit(LimitTable *table, uint32_t account, uint32_t tokens,
                  TimeUs now, uint32_t *retry_after_ms);

/** The request ended.
 * @param tokens_used  corrects the estimate given to Limits_Admit. */
void Limits_Release(LimitTable *table, uint32_t account, uint32_t tokens,
                    uint32_t tokens_used, TimeUs now);

/** Requests a second that the account asked for lately. */
double Limits_Demand(const LimitTable *table, uint32_t account, TimeUs now);

#endif
