/** @file
 * Gateway: limits of client accounts. Each gateway holds a share of an
 * account's limit, which the leading control host follows demand with; while
 * it hears nothing it keeps the share it has.
 */
#include <math.h>

#include "gateway/state.h"
#include "kernel/log.h"

/* Gateways assumed before the leader has said how many there are. */
#define GATEWAYS_UNKNOWN 8
/* Time constant of the measured demand. */
#define DEMAND_US (2 * US_PER_S)
/* Part of the operators' slack that may be saved up; the rest covers requests
 * that overdraw a share and shares that change at different moments. */
#define SLACK_PART 0.8
#define WAIT_MIN_MS 50
#define WAIT_MAX_MS 30000

typedef struct Quota {
    TimeUs shared_at; /* when the leader gave the share */
    double share;     /* units a second; below 0: none was given yet */
    double level;     /* units in hand; below 0 after a large request */
    TimeUs filled_at;
    TimeUs promised_until; /* refused requests were told to return by then */
    double demand;         /* units a second, moving mean */
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

static uint32_t
gateways_of(const Quotas *quotas)
{
    uint32_t known = quotas->gateway->gateways;
    return known > 0 ? known : GATEWAYS_UNKNOWN;
}

static double
share_of(const Quotas *quotas, const Quota *quota, const RouteAccount *account)
{
    if (quota->share >= 0) {
        return MIN(quota->share, account->rate);
    }
    return account->rate / gateways_of(quotas);
}

/* Units that may be saved up: the share's part of the burst, and an even part
 * of the slack, so that a gateway with a small share can take a large request
 * that is within the account's limit. */
static double
capacity_of(const Quotas *quotas, double share, const RouteAccount *account)
{
    double part = account->rate > 0 ? share / account->rate : 0;
    double slack = account->counts_tokens
                       ? quotas->gateway->options->bounds.quota_slack /
                             gateways_of(quotas)
                       : 0;
    return part * account->burst + SLACK_PART * slack;
}

static Quota *
find(Quotas *quotas, const RouteAccount *account, TimeUs now)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account->name);
    if (quota == NULL) {
        quota = g_new0(Quota, 1);
        quota->share = -1;
        quota->filled_at = now;
        quota->demand_at = now;
        quota->level =
            capacity_of(quotas, share_of(quotas, quota, account), account);
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

/* When a refused request finds room: after the debt and after those that
 * were refused before it, so that they do not all return at once. */
static uint32_t
wait_ms(Quota *quota, double share, double cost, TimeUs now)
{
    if (share <= 0) {
        return WAIT_MAX_MS;
    }
    TimeUs free_at = now + (TimeUs)(-quota->level / share * US_PER_S);
    TimeUs at = MAX(free_at, quota->promised_until);
    at = MIN(at, now + WAIT_MAX_MS * US_PER_MS);
    quota->promised_until = at + (TimeUs)(cost / share * US_PER_S);
    return (uint32_t)MAX((at - now) / US_PER_MS, WAIT_MIN_MS);
}

QuotaDecision
Quotas_Take(Quotas *quotas, const RouteAccount *account, double cost,
            uint32_t delay_ms)
{
    QuotaDecision decision = {.admitted = true, .share_age = -1};
    if (account->rate <= 0) {
        return decision;
    }
    TimeUs now = Clock_Now();
    Quota *quota = find(quotas, account, now);
    measure_demand(quota, cost, now);
    double share = share_of(quotas, quota, account);
    double capacity = capacity_of(quotas, share, account);
    double seconds = (double)(now - quota->filled_at) / (double)US_PER_S;
    quota->level = MIN(quota->level + share * seconds, capacity);
    quota->filled_at = now;
    decision.level = quota->level;
    decision.share = share;
    decision.demand = quota->demand;
    decision.share_age = quota->share < 0 ? -1 : now - quota->shared_at;
    double debt_ms = share > 0 ? -quota->level / share * 1000 : WAIT_MAX_MS;
    if (debt_ms <= delay_ms) {
        decision.wait_ms = (uint32_t)MAX(debt_ms, 0);
        quota->level -= cost;
        return decision;
    }
    decision.admitted = false;
    decision.wait_ms = wait_ms(quota, share, cost, now);
    return decision;
}

void
Quotas_GiveBack(Quotas *quotas, const RouteAccount *account, double cost)
{
    Quota *quota = g_hash_table_lookup(quotas->by_account, account->name);
    if (quota != NULL) {
        quota->level += cost;
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
Quotas_Each(Quotas *quotas,
            void (*visit)(void *arg, const char *account, double demand,
                          double share),
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
        visit(arg, key, quota->demand, MAX(quota->share, 0));
    }
}
