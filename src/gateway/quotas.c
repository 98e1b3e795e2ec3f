/** @file
 * Gateway: quotas of client accounts. Each gateway has a share of an account's
 * limit, which the leading control host adjusts to the demand. A gateway that
 * receives no new share keeps its last one.
 */
#include <math.h>

#include "gateway/state.h"

/* Time constant of the moving mean of demand. */
#define DEMAND_DECAY_US (2 * US_PER_S)
/* Fraction of the operators' slack that buckets may accumulate. The rest
 * covers requests that overdraw a share, and gateways that apply a change of
 * shares at different times. */
#define SLACK_FRACTION 0.8

typedef struct Quota {
    TimeUs share_set_at; /* when the leader set the share */
    double share;        /* units/s; negative before the leader sets one */
    Bucket bucket;
    double demand; /* moving mean at demand_at, in units/s */
    TimeUs demand_at;
} Quota;

struct Quotas {
    Gateway *gateway;
    GHashTable *by_account; /* account name -> Quota */
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

/* Returns this gateway's share in units/s: an equal one until the leader sets
 * it. */
static double
gateway_share(const Quotas *quotas, const Quota *quota,
              const RouteAccount *account)
{
    if (quota->share >= 0) {
        return MIN(quota->share, account->rate);
    }
    return account->rate / Gateway_Count(quotas->gateway);
}

/* Returns the rate and capacity of this gateway's bucket. The capacity is the
 * burst in proportion to the share, plus an equal part of the slack, so that a
 * gateway with a small share can admit a large request that is within the
 * account's limit. */
static BucketLimit
bucket_limit(const Quotas *quotas, const Quota *quota,
             const RouteAccount *account)
{
    double share = gateway_share(quotas, quota, account);
    double fraction = account->rate > 0 ? share / account->rate : 0;
    double slack = account->counts_tokens
                       ? quotas->gateway->options->bounds.quota_slack /
                             Gateway_Count(quotas->gateway)
                       : 0;
    return (BucketLimit){
        .rate = share,
        .capacity = fraction * account->burst + SLACK_FRACTION * slack,
    };
}

static Quota *
find_quota(Quotas *quotas, const RouteAccount *account, TimeUs now)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account->name);
    if (quota == NULL) {
        quota = g_new0(Quota, 1);
        quota->share = -1;
        quota->demand_at = now;
        BucketLimit limit = bucket_limit(quotas, quota, account);
        Bucket_Init(&quota->bucket, &limit, now);
        g_hash_table_insert(quotas->by_account, g_strdup(account->name),
                            quota);
    }
    return quota;
}

/* Decays the mean demand to @p now and adds a request's cost. */
static void
measure_demand(Quota *quota, double cost, TimeUs now)
{
    double span = (double)(now - quota->demand_at);
    double decay = exp(-span / (double)DEMAND_DECAY_US);
    quota->demand = quota->demand * decay +
                    cost / ((double)DEMAND_DECAY_US / (double)US_PER_S);
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
    Quota *quota = find_quota(quotas, account, now);
    measure_demand(quota, request->cost, now);
    BucketLimit limit = bucket_limit(quotas, quota, account);
    decision.answer = Bucket_Take(&quota->bucket, &limit, request, now);
    decision.cost = request->cost;
    decision.share = limit.rate;
    decision.demand = quota->demand;
    decision.share_age = quota->share < 0 ? -1 : now - quota->share_set_at;
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
        quota->share_set_at = Clock_Now();
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
