/** @file
 * Ledger of the limits of client accounts, kept by the leading control host
 * for all gateways. Gateways ask it for units when they have too few
 * (quota_purse.h), so that an account within its limit is admitted wherever
 * its requests arrive.
 *
 * Answers the load of many gateways with few requests of each account: there a
 * gateway's part of a limit is smaller than a single request, and requests
 * come in lumps. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_QUOTA_LEDGER_H
#define LAURELLIFT_SCHED_QUOTA_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

typedef struct QuotaLedger QuotaLedger;

/** Limit of an account, over all gateways. */
typedef struct QuotaLimit {
    double rate;  /**< Units per second. */
    double burst; /**< Units that may be used at once. */
} QuotaLimit;

/** A gateway's request for units. */
typedef struct QuotaAsk {
    double units;      /**< Needed for a request; 0 if only spare ones are
                            asked for. */
    double spare;      /**< Further units that the gateway would store. */
    double returned;   /**< Units that the gateway gives back before. */
    uint32_t rank;     /**< Of the request; 0 is the highest. */
    uint32_t delay_ms; /**< Longest wait that is preferred to a refusal. */
} QuotaAsk;

typedef struct QuotaGrant {
    bool admitted;    /**< The units for the request are granted. */
    double units;     /**< Granted units, spare ones included. */
    uint32_t wait_ms; /**< Time until an admitted request may proceed, or until
                           a refused one may be retried. */
    double level;     /**< Units of the account before the request. */
    double reserve;   /**< Units that were kept for more urgent ranks. */
    bool contended;   /**< Requests of some rank have recently found too few
                           units, so that all are to be decided here. */
} QuotaGrant;

QuotaLedger *QuotaLedger_New(void);
void QuotaLedger_Free(QuotaLedger *ledger);

/** Empties all accounts, when another host has kept the ledger until now. */
void QuotaLedger_Restart(QuotaLedger *ledger, TimeUs now);

/** Answers a gateway.
 * @param alone  fraction of the gateways, 0 to 1, that may be using their part
 *               of each limit without asking; it is left out of the rate. */
QuotaGrant QuotaLedger_Ask(QuotaLedger *ledger, const char *account,
                           const QuotaLimit *limit, double alone,
                           const QuotaAsk *ask, TimeUs now);

/** Returns units that a gateway did not use. */
void QuotaLedger_Return(QuotaLedger *ledger, const char *account,
                        double units);

#endif
