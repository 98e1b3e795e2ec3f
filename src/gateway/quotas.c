/** @file
 * Gateway: limits of client accounts. Each gateway holds a share of an
 * account's limit, which the leading control host follows demand with; while
 * it hears nothing it keeps the share it has.
 */
#include <math.h>

#include "gateway/state.h"

/* Time constant of the measured demand. */
#define DEMAND_US (2 * US_PER_S)
/* Part of the operators' slack that may be saved up; the rest covers requests
 * that overdraw a share and shares that change at different moments. */
#define SLACK_PART 0.8

typedef struct Quota {
    TimeUs shared_at; /* when the leader gave the share */
    double share;     /* units a second; below 0: none was given yet */
    Bucket bucket;
    double demand; /* units a second, moving mean */
    TimeUs demand_at;
} Quota;

struct Quotas {
    Gateway *gateway;
    GHashTable *by_account; /* name -> Quota */
};

Quotas *
Quotas_New(Gateway *gateway)
{
    Quotas *quotas = g_new0(Quotas, 1);
    quotas->gateway = gateway;
    quotas->by_account =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return quotas;
}

void
Quotas_Free(Quotas *quotas)
{
    g_hash_table_destroy(quotas->by_account);
    g_free(quotas);
}

static double
share_of(const Quotas *quotas, const Quota *quota, const RouteAccount *account)
{
    if (quota->share >= 0) {
        return MIN(quota->share, account->rate);
    }
    return account->rate / Gateway_Count(quotas->gateway);
}

/* The part of a limit that this gateway holds. What may be saved up is the
 * share's part of the burst, and an even part of the slack, so that a gateway
 * with a small share can take a large request that is within the account's
 * limit. */
static BucketLimit
limit_of(const Quotas *quotas, const Quota *quota, const RouteAccount *account)
{
    double share = share_of(quotas, quota, account);
    double part = account->rate > 0 ? share / account->rate : 0;
    double slack = account->counts_tokens
                       ? quotas->gateway->options->bounds.quota_slack /
                             Gateway_Count(quotas->gateway)
                       : 0;
    return (BucketLimit){
        .rate = share,
        .capacity = part * account->burst + SLACK_PART * slack,
    };
}

static Quota *
find(Quotas *quotas, const RouteAccount *account, TimeUs now)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account->name);
    if (quota == NULL) {
        quota = g_new0(Quota, 1);
        quota->share = -1;
        quota->demand_at = now;
        BucketLimit limit = limit_of(quotas, quota, account);
        Bucket_Init(&quota->bucket, &limit, now);
        g_hash_table_insert(quotas->by_account, g_strdup(account->name),
                            quota);
    }
    return quota;
}

static void
measure_demand(Quota *quota, double cost, TimeUs now)
{
    double span = (double)(now - quota->demand_at);
    double kept = exp(-span / (double)DEMAND_US);
    quota->demand =
        quota->demand * kept + cost / ((double)DEMAND_US / (double)US_PER_S);
    quota->demand_at = now;
}

QuotaDecision
Quotas_Take(Quotas *quotas, const RouteAccount *account,
            const BucketRequest *request)
{
    QuotaDecision decision = {.answer.admitted = true, .share_age = -1};
    if (account->rate <= 0) {
        return decision;
    }
    TimeUs now = Clock_Now();
    Quota *quota = find(quotas, account, now);
    measure_demand(quota, request->cost, now);
    BucketLimit limit = limit_of(quotas, quota, account);
    decision.answer = Bucket_Take(&quota->bucket, &limit, request, now);
    decision.cost = request->cost;
    decision.share = limit.rate;
    decision.demand = quota->demand;
    decision.share_age = quota->share < 0 ? -1 : now - quota->shared_at;
    return decision;
}

void
Quotas_Refund(Quotas *quotas, const RouteAccount *account, double cost)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account->name);
    if (quota != NULL) {
        Bucket_Refund(&quota->bucket, cost);
    }
}

void
Quotas_SetShare(Quotas *quotas, const char *account, double share)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account);
    if (quota != NULL) {
        quota->share = share;
        quota->shared_at = Clock_Now();
    }
}

void
Quotas_ForEach(Quotas *quotas,
               void (*visit)(void *arg, const char *account, double demand),
               void *arg)
{
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, quotas->by_account);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        Quota *quota = value;
        measure_demand(quota, 0, now);
        visit(arg, key, quota->demand);
    }
}
