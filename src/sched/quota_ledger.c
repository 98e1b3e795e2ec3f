/** @file
 * Ledger of account limits: one token bucket per account.
 */
#include "sched/quota_ledger.h"

#include <glib.h>

#include "sched/bucket.h"

/* Fraction of the burst below which no spare units are granted, so that they
 * remain for requests that wait for them. */
#define SPARE_LEVEL 0.5

struct QuotaLedger {
    GHashTable *by_account; /* account name -> Bucket */
    TimeUs started_at;
};

QuotaLedger *
QuotaLedger_New(void)
{
    QuotaLedger *ledger = g_new0(QuotaLedger, 1);
    ledger->by_account =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ledger;
}

void
QuotaLedger_Free(QuotaLedger *ledger)
{
    g_hash_table_destroy(ledger->by_account);
    g_free(ledger);
}

void
QuotaLedger_Restart(QuotaLedger *ledger, TimeUs now)
{
    g_hash_table_remove_all(ledger->by_account);
    ledger->started_at = now;
}

/* Returns the account's bucket, which has been filled since the ledger
 * started. */
static Bucket *
find_bucket(QuotaLedger *ledger, const char *account)
{
    Bucket *bucket = g_hash_table_lookup(ledger->by_account, account);
    if (bucket == NULL) {
        bucket = g_new0(Bucket, 1);
        const BucketLimit empty = {.rate = 0};
        Bucket_Init(bucket, &empty, ledger->started_at);
        g_hash_table_insert(ledger->by_account, g_strdup(account), bucket);
    }
    return bucket;
}

QuotaGrant
QuotaLedger_Ask(QuotaLedger *ledger, const char *account,
                const QuotaLimit *limit, double alone, const QuotaAsk *ask,
                TimeUs now)
{
    Bucket *bucket = find_bucket(ledger, account);
    BucketLimit rest = {
        .rate = limit->rate * (1 - CLAMP(alone, 0, 1)),
        .capacity = limit->burst,
    };
    QuotaGrant grant = {.admitted = true};
    if (ask->returned > 0) {
        Bucket_Refund(bucket, ask->returned);
    }
    if (ask->units > 0) {
        BucketRequest request = {
            .cost = ask->units,
            .rank = ask->rank,
            .delay_ms = ask->delay_ms,
        };
        BucketDecision decision = Bucket_Take(bucket, &rest, &request, now);
        grant.admitted = decision.admitted;
        grant.units = decision.admitted ? ask->units : 0;
        grant.wait_ms = decision.wait_ms;
        grant.level = decision.level;
        grant.reserve = decision.reserve;
    }
    if (grant.admitted) {
        grant.units += Bucket_TakeSurplus(
            bucket, &rest, SPARE_LEVEL * rest.capacity, ask->spare, now);
    }
    grant.contended = Bucket_IsContended(bucket, now);
    return grant;
}

void
QuotaLedger_Return(QuotaLedger *ledger, const char *account, double units)
{
    Bucket_Refund(find_bucket(ledger, account), units);
}
