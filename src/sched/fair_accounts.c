/** @file
 * Max-min shares of the accounts of a tier.
 */
#include "sched/fair_accounts.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

/* Decayed slot time below which an account is forgotten. */
#define FORGOTTEN_US 100.0

void
FairAccounts_Init(FairAccounts *accounts)
{
    *accounts = (FairAccounts){.count = 0};
    for (unsigned t = 0; t < WORK_TIERS; t++) {
        accounts->share[t] = INFINITY;
    }
}

static unsigned
tier_of(const WorkSpec *work)
{
    return MIN(work->tier, WORK_TIERS - 1);
}

static unsigned
rank_of(const WorkSpec *work)
{
    return MIN(work->rank, FAIR_RANKS - 1);
}

static double
granted_to_all_ranks(const AccountRecord *record)
{
    double sum = 0;
    for (unsigned r = 0; r < FAIR_RANKS; r++) {
        sum += record->granted[r];
    }
    return sum;
}

static double
asked(const AccountRecord *record)
{
    return granted_to_all_ranks(record) + record->refused + record->waiting;
}

static const AccountRecord *
find_record(const FairAccounts *accounts, const WorkSpec *work)
{
    for (unsigned i = 0; i < accounts->count; i++) {
        const AccountRecord *record = &accounts->records[i];
        if (record->account == work->account && record->tier == tier_of(work))
        {
            return record;
        }
    }
    return NULL;
}

/* Returns the record of the request's account, or NULL if it has none. */
static AccountRecord *
get_record(FairAccounts *accounts, const WorkSpec *work)
{
    if (work->account == 0) {
        return NULL;
    }
    const AccountRecord *found = find_record(accounts, work);
    if (found != NULL) {
        return &accounts->records[found - accounts->records];
    }
    AccountRecord *record = &accounts->records[0];
    if (accounts->count < FAIR_ACCOUNTS_MAX) {
        record = &accounts->records[accounts->count++];
    }
    else {
        for (unsigned i = 1; i < accounts->count; i++) {
            if (asked(&accounts->records[i]) < asked(record)) {
                record = &accounts->records[i];
            }
        }
    }
    *record = (AccountRecord){
        .account = work->account,
        .tier = tier_of(work),
    };
    return record;
}

void
FairAccounts_AddGranted(FairAccounts *accounts, const WorkSpec *work,
                        double slot_time)
{
    AccountRecord *record = get_record(accounts, work);
    if (record != NULL) {
        double *granted = &record->granted[rank_of(work)];
        *granted = MAX(*granted + slot_time, 0);
    }
}

void
FairAccounts_AddRefused(FairAccounts *accounts, const WorkSpec *work,
                        double slot_time)
{
    AccountRecord *record = get_record(accounts, work);
    if (record != NULL) {
        record->refused += slot_time;
    }
}

void
FairAccounts_BeginUpdate(FairAccounts *accounts, TimeUs now)
{
    double factor = exp(-(double)MAX(now - accounts->at, 0) /
                        (double)FAIR_ACCOUNTS_DECAY_US);
    accounts->at = now;
    unsigned kept = 0;
    for (unsigned i = 0; i < accounts->count; i++) {
        AccountRecord *record = &accounts->records[i];
        for (unsigned r = 0; r < FAIR_RANKS; r++) {
            record->granted[r] *= factor;
        }
        record->refused *= factor;
        record->waiting = 0;
        if (asked(record) >= FORGOTTEN_US) {
            accounts->records[kept++] = *record;
        }
    }
    accounts->count = kept;
}

void
FairAccounts_AddWaiting(FairAccounts *accounts, const WorkSpec *work,
                        double slot_time)
{
    AccountRecord *record = get_record(accounts, work);
    if (record != NULL) {
        record->waiting += slot_time;
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

/* Returns the largest share of a tier: what was granted is divided so that no
 * account gets more than it asked for, and the others get equal parts. */
static double
find_share(const FairAccounts *accounts, unsigned tier)
{
    double demands[FAIR_ACCOUNTS_MAX];
    unsigned count = 0;
    double left = 0;
    bool unmet = false;
    for (unsigned i = 0; i < accounts->count; i++) {
        const AccountRecord *record = &accounts->records[i];
        if (record->tier == tier) {
            demands[count++] = asked(record);
            left += granted_to_all_ranks(record);
            unmet = unmet || record->refused + record->waiting > 0;
        }
    }
    if (!unmet) {
        return INFINITY;
    }
    qsort(demands, count, sizeof(demands[0]), compare_doubles);
    for (unsigned i = 0; i < count; i++) {
        double equal = left / (count - i);
        if (demands[i] >= equal) {
            return equal;
        }
        left -= demands[i];
    }
    return INFINITY;
}

/* Returns the slot time that was granted to the ranks of the account that are
 * not after the rank of @p work. */
static double
granted_up_to(const AccountRecord *record, const FairRanks *ranks,
              const WorkSpec *work)
{
    WorkSpec own = {.tier = tier_of(work), .rank = rank_of(work)};
    double sum = 0;
    for (unsigned r = 0; r < FAIR_RANKS; r++) {
        WorkSpec other = {.tier = own.tier, .rank = r};
        if (FairRanks_Order(ranks, &other) <= FairRanks_Order(ranks, &own)) {
            sum += record->granted[r];
        }
    }
    return sum;
}

void
FairAccounts_EndUpdate(FairAccounts *accounts, const FairRanks *ranks)
{
    for (unsigned t = 0; t < WORK_TIERS; t++) {
        accounts->share[t] = find_share(accounts, t);
    }
    for (unsigned i = 0; i < accounts->count; i++) {
        AccountRecord *record = &accounts->records[i];
        for (unsigned r = 0; r < FAIR_RANKS; r++) {
            WorkSpec work = {.tier = record->tier, .rank = r};
            bool beyond = granted_up_to(record, ranks, &work) >=
                          accounts->share[record->tier];
            if (beyond && !record->beyond[r]) {
                record->beyond_since[r] = accounts->at;
            }
            record->beyond[r] = beyond;
        }
    }
}

bool
FairAccounts_IsBeyond(const FairAccounts *accounts, const WorkSpec *work)
{
    if (work->account == 0) {
        return false;
    }
    const AccountRecord *record = find_record(accounts, work);
    return record != NULL && record->beyond[rank_of(work)];
}

AccountStanding
FairAccounts_Standing(const FairAccounts *accounts, const FairRanks *ranks,
                      const WorkSpec *work)
{
    AccountStanding standing = {
        .share = accounts->share[tier_of(work)] / FAIR_ACCOUNTS_DECAY_US,
    };
    const AccountRecord *record =
        work->account == 0 ? NULL : find_record(accounts, work);
    if (record != NULL) {
        standing.used =
            granted_up_to(record, ranks, work) / FAIR_ACCOUNTS_DECAY_US;
        standing.asked = asked(record) / FAIR_ACCOUNTS_DECAY_US;
        standing.beyond = record->beyond[rank_of(work)];
    }
    return standing;
}
