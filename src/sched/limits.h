/** @file
 * Account limits in an entry: requests per second, tokens per second and
 * concurrent requests. Each entry enforces its share of every limit. Has no
 * I/O and reads no clock.
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

/** @param accounts  number of accounts, whose indexes start at 0. */
LimitTable *Limits_New(uint32_t accounts);
void Limits_Free(LimitTable *table);

/** Sets the limits of an account. Its current use is kept. */
void Limits_Set(LimitTable *table, uint32_t account,
                const AccountLimits *limits, TimeUs now);

/** Sets the fraction of every limit that this entry may use, 0 to 1. */
void Limits_SetShare(LimitTable *table, uint32_t account, double share);

/** Admits or refuses a request according to the limits of its account.
 * @param tokens  estimated tokens of the request.
 * @param retry_after_ms  set if the request is refused.
 * @return true if the request is admitted. */
bool Limits_Admit(LimitTable *table, uint32_t account, uint32_t tokens,
                  TimeUs now, uint32_t *retry_after_ms);

/** Ends an admitted request.
 * @param tokens  estimate that was passed to Limits_Admit.
 * @param tokens_used  measured tokens, which replace the estimate. */
void Limits_Release(LimitTable *table, uint32_t account, uint32_t tokens,
                    uint32_t tokens_used, TimeUs now);

/** Returns the recent request rate of the account per second, including
 * refused requests. */
double Limits_Demand(const LimitTable *table, uint32_t account, TimeUs now);

#endif
