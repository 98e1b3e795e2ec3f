/** @file
 * Fleet task: the ledger of account limits, which the leader keeps for all
 * gateways. A new leader begins with empty accounts, since its predecessor may
 * have granted all units until then.
 */
#include "fleet/state.h"
#include "kernel/counter.h"

/* Longest time since a majority confirmed the leadership for which the leader
 * grants units. It exceeds the interval between queries of one gateway. A
 * leader that is cut off stops before another one is elected. */
#define CONFIRMED_MAX_US (1500 * US_PER_MS)
/* Time without a query after which a gateway may be using its part of each
 * limit, and the interval at which such gateways are counted. */
#define SILENT_US (1500 * US_PER_MS)
#define SILENT_CHECK_US (200 * US_PER_MS)
/* Longest time after its last query for which a gateway has a lease. */
#define LEASE_MAX_US (6 * US_PER_S)

void
FleetQuotas_OnLeader(Fleet *fleet)
{
    QuotaLedger_Restart(fleet->quotas, Clock_Now());
    fleet->confirmed_at = 0;
}

void
FleetQuotas_OnConfirmed(Fleet *fleet, TimeUs asked_at)
{
    fleet->confirmed_at = MAX(fleet->confirmed_at, asked_at);
}

/* Returns the number of lost gateways that may still have a lease, and forgets
 * the others. */
static uint32_t
count_lost(Fleet *fleet, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->lost_gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const TimeUs *queried_at = value;
        if (now - *queried_at > LEASE_MAX_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return g_hash_table_size(fleet->lost_gateways);
}

void
FleetQuotas_OnGatewayLost(Fleet *fleet, const FleetPeer *peer)
{
    count_lost(fleet, Clock_Now());
    if (peer->last_query_at != 0) {
        g_hash_table_replace(
            fleet->lost_gateways, g_strdup(Link_Peer(peer->link)->name),
            g_memdup2(&peer->last_query_at, sizeof(peer->last_query_at)));
    }
}

void
FleetQuotas_OnGatewayBack(Fleet *fleet, const char *name)
{
    g_hash_table_remove(fleet->lost_gateways, name);
}

double
FleetQuotas_SilentFraction(Fleet *fleet)
{
    TimeUs now = Clock_Now();
    if (now - fleet->silent_checked_at >= SILENT_CHECK_US) {
        uint32_t silent;
        uint32_t count = FleetGateways_Count(fleet, SILENT_US, &silent);
        uint32_t lost = count_lost(fleet, now);
        fleet->silent_checked_at = now;
        fleet->silent_fraction =
            count + lost == 0 ? 0 : (double)(silent + lost) / (count + lost);
    }
    return fleet->silent_fraction;
}

/* Returns the account if this host keeps its ledger, or NULL. */
static const RouteAccount *
find_kept(Fleet *fleet, const char *name, TimeUs now)
{
    if (!fleet->is_leader || Fleet_Table(fleet) == NULL ||
        fleet->confirmed_at < fleet->leader_since ||
        now - fleet->confirmed_at > CONFIRMED_MAX_US)
    {
        return NULL;
    }
    return RouteTable_FindAccount(Fleet_Table(fleet), name);
}

static void
count_answer(const char *answer)
{
    char name[64];
    g_snprintf(name, sizeof(name), "fleet_quota_queries_total{answer=\"%s\"}",
               answer);
    Counter_Add(Counter_Get(name, "Questions of gateways for units of a "
                                  "limit, by answer."),
                1);
}

void
FleetQuotas_OnQuery(Fleet *fleet, Link *link, const Wire__QuotaQuery *query)
{
    TimeUs now = Clock_Now();
    Wire__QuotaReply reply = WIRE__QUOTA_REPLY__INIT;
    reply.nonce = query->nonce;
    const RouteAccount *account = find_kept(fleet, query->account, now);
    if (account != NULL) {
        QuotaLimit limit = {.rate = account->rate, .burst = account->burst};
        QuotaAsk ask = {
            .units = query->units,
            .spare = query->spare,
            .returned = query->returned,
            .rank = query->rank,
            .delay_ms = query->delay_ms,
        };
        QuotaGrant grant =
            QuotaLedger_Ask(fleet->quotas, query->account, &limit,
                            FleetQuotas_SilentFraction(fleet), &ask, now);
        reply.kept = true;
        reply.admitted = grant.admitted;
        reply.units = (float)grant.units;
        reply.wait_ms = grant.wait_ms;
        reply.level = (float)grant.level;
        reply.reserve = (float)grant.reserve;
        reply.contended = grant.contended;
    }
    count_answer(account == NULL  ? "not kept"
                 : reply.admitted ? "granted"
                                  : "refused");
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUOTA_REPLY;
    frame.quota_reply = &reply;
    Link_Send(link, &frame);
}

void
FleetQuotas_OnReturned(Fleet *fleet, const Wire__ConfigQuery *query)
{
    TimeUs now = Clock_Now();
    for (size_t i = 0; i < query->n_use; i++) {
        const Wire__AccountUse *use = query->use[i];
        if (use->returned > 0 && find_kept(fleet, use->account, now) != NULL) {
            QuotaLedger_Return(fleet->quotas, use->account, use->returned);
        }
    }
}
