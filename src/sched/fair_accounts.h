/** @file
 * Divides the time of an engine between the accounts of a tier, by max-min
 * fairness: an account that asks for less than its share gets all of it, the
 * others get equal parts of what is left. A request counts as the time that
 * its prompt and output tokens take at the measured speeds of the engine.
 * While there is less capacity than demand, the requests beyond an account's
 * share are granted after those within a share. The higher ranks of an account
 * use its share first.
 *
 * Answers the load in which one account asks for several times its usual and
 * takes the slots that the others need. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_FAIR_ACCOUNTS_H
#define LAURELLIFT_SCHED_FAIR_ACCOUNTS_H

#include "sched/fair_ranks.h"

/** Number of pairs of account and tier that are told apart. A further one
 * replaces the one that asked for the least time; the replaced account begins
 * anew, with nothing used. */
#define FAIR_ACCOUNTS_MAX 64
/** Time constant of the decaying sums. */
#define FAIR_ACCOUNTS_DECAY_US (4 * US_PER_S)

/** What one account asked for and got in one tier. Sums are in microseconds of
 * slot time and decay. */
typedef struct AccountRecord {
    uint64_t account; /**< Hash; 0 if the record is unused. */
    uint32_t tier;
    double granted[FAIR_RANKS];
    double refused;
    double waiting;          /**< Of the requests that wait now. */
    bool beyond[FAIR_RANKS]; /**< Further requests of the rank are beyond the
                                account's share. */
    TimeUs beyond_since[FAIR_RANKS]; /**< Valid while they are. */
} AccountRecord;

typedef struct FairAccounts {
    AccountRecord records[FAIR_ACCOUNTS_MAX];
    unsigned count;
    /** Largest slot time that an account gets in each tier; INFINITY while
     * nothing was refused and nothing waits. */
    double share[WORK_TIERS];
    TimeUs at; /**< Time of the sums. */
} FairAccounts;

/** What a queue knows of one account, in mean numbers of slots over the decay
 * time. */
typedef struct AccountStanding {
    double used;  /**< Granted to the ranks that use the share first. */
    double share; /**< INFINITY while the demand does not exceed what is
                     granted. */
    double asked; /**< Granted, refused and waiting. */
    bool beyond;
} AccountStanding;

void FairAccounts_Init(FairAccounts *accounts);

/** Adds slot time that was granted, or subtracts what was not used. Requests
 * without an account are not counted. */
void FairAccounts_AddGranted(FairAccounts *accounts, const WorkSpec *work,
                             double slot_time);
void FairAccounts_AddRefused(FairAccounts *accounts, const WorkSpec *work,
                             double slot_time);

/** Begins to decide anew which requests are beyond a share. All waiting
 * requests must be added before FairAccounts_EndUpdate(). */
void FairAccounts_BeginUpdate(FairAccounts *accounts, TimeUs now);
void FairAccounts_AddWaiting(FairAccounts *accounts, const WorkSpec *work,
                             double slot_time);
/** @param ranks  order in which the ranks of an account use its share. */
void FairAccounts_EndUpdate(FairAccounts *accounts, const FairRanks *ranks);

/** Returns whether the request is beyond the share of its account. A request
 * without an account, or of one that is not recorded, is not. */
bool FairAccounts_IsBeyond(const FairAccounts *accounts, const WorkSpec *work);

/** Returns the sums of the request's account, for logs. */
AccountStanding FairAccounts_Standing(const FairAccounts *accounts,
                                      const FairRanks *ranks,
                                      const WorkSpec *work);

#endif
