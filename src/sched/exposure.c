/** @file
 * Ledger of the requests that gateways may send to a candidate version.
 */
#include "sched/exposure.h"

#include <math.h>
#include <stdbool.h>

#include <glib.h>

/* Fractions of the bound that are lent. The rest covers streams that are
 * resumed at the candidate, which are sent without a permit. */
#define SHARE_LENT 0.8
#define SLACK_LENT 0.5
/* Time constant of a gateway's recent demand. */
#define DEMAND_DECAY_US (2 * US_PER_S)
/* A gateway is lent what it needs for this time: two reports of 250 ms, so
 * that a lost one does not stop its requests to the candidate. */
#define NEED_S 0.5
/* Recent requests below which a gateway has no demand. */
#define DEMAND_MIN 0.05
/* Tolerance of sums of doubles, in requests. */
#define ROUNDING 1e-6

typedef struct Gateway {
    uint64_t requests;
    uint64_t sent;
    uint64_t lent;
    double demand; /* requests, decayed */
    TimeUs at;     /* time of the demand */
} Gateway;

struct Exposure {
    double share;
    double slack;
    TimeUs lends_from;
    bool is_first;        /* no earlier leader has lent anything */
    bool knows_all;       /* the list of expected gateways is complete */
    GHashTable *gateways; /* id -> Gateway */
    GHashTable *expected; /* ids that have not reported */
    double first_limit;   /* limit by the first reports of all gateways */
    double first_lent;    /* lent by the first reports */
    uint64_t requests;
    uint64_t lent;
};

Exposure *
Exposure_New(double share, double slack, TimeUs now)
{
    Exposure *exposure = g_new0(Exposure, 1);
    exposure->share = share;
    exposure->slack = slack;
    exposure->lends_from = now + EXPOSURE_PERMIT_US;
    exposure->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    exposure->expected =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    exposure->first_limit = SLACK_LENT * slack;
    return exposure;
}

void
Exposure_Free(Exposure *exposure)
{
    g_hash_table_destroy(exposure->gateways);
    g_hash_table_destroy(exposure->expected);
    g_free(exposure);
}

void
Exposure_SetFirst(Exposure *exposure)
{
    exposure->is_first = true;
}

void
Exposure_Expect(Exposure *exposure, const char *const *gateways, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!g_hash_table_contains(exposure->gateways, gateways[i])) {
            g_hash_table_add(exposure->expected, g_strdup(gateways[i]));
        }
    }
    exposure->knows_all = true;
}

/* Adds a gateway that has reported for the first time. */
static Gateway *
add_gateway(Exposure *exposure, const char *id, uint64_t requests,
            uint64_t lent, TimeUs now)
{
    Gateway *gateway = g_new0(Gateway, 1);
    gateway->at = now;
    g_hash_table_insert(exposure->gateways, g_strdup(id), gateway);
    g_hash_table_remove(exposure->expected, id);
    exposure->first_limit += SHARE_LENT * exposure->share * (double)requests;
    exposure->first_lent += (double)lent;
    return gateway;
}

static double
demand_of(const Gateway *gateway, TimeUs now)
{
    TimeUs age = MAX(now - gateway->at, 0);
    return gateway->demand * exp(-(double)age / (double)DEMAND_DECAY_US);
}

void
Exposure_OnReport(Exposure *exposure, const char *id, uint64_t requests,
                  uint64_t sent, uint64_t lent, TimeUs now)
{
    lent = MAX(lent, sent);
    Gateway *gateway = g_hash_table_lookup(exposure->gateways, id);
    if (gateway == NULL) {
        gateway = add_gateway(exposure, id, requests, lent, now);
    }
    gateway->demand = demand_of(gateway, now);
    gateway->at = MAX(gateway->at, now);
    if (requests > gateway->requests) {
        uint64_t more = requests - gateway->requests;
        gateway->demand += (double)more;
        exposure->requests += more;
        gateway->requests = requests;
    }
    gateway->sent = MAX(gateway->sent, sent);
    if (lent > gateway->lent) {
        exposure->lent += lent - gateway->lent;
        gateway->lent = lent;
    }
}

/* Returns what the earlier leader may have lent to gateways that have not
 * reported. Its limit was the one by all requests that it knew of; those of
 * the unknown gateways add to the true limit what they add to this sum, and
 * are left out of both. */
static double
set_aside(const Exposure *exposure)
{
    if (exposure->is_first ||
        (exposure->knows_all && g_hash_table_size(exposure->expected) == 0))
    {
        return 0;
    }
    return MAX(exposure->first_limit - exposure->first_lent, 0);
}

double
Exposure_Committed(const Exposure *exposure)
{
    return (double)exposure->lent + set_aside(exposure);
}

double
Exposure_Limit(const Exposure *exposure)
{
    return SHARE_LENT * exposure->share * (double)exposure->requests +
           SLACK_LENT * exposure->slack;
}

/* Demand of all gateways. */
typedef struct Demand {
    double sum;
    double waiting; /* gateways with demand that were lent nothing yet */
} Demand;

static Demand
sum_demand(const Exposure *exposure, TimeUs now)
{
    Demand demand = {.sum = 0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, exposure->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        double one = demand_of(value, now);
        const Gateway *gateway = value;
        demand.sum += one;
        demand.waiting += gateway->lent == 0 && one >= DEMAND_MIN ? 1 : 0;
    }
    return demand;
}

/* Returns the cumulative number up to which a gateway may be lent by its part
 * of recent demand and by its need. */
static double
target_of(const Exposure *exposure, const Gateway *gateway, double own,
          double all)
{
    double limit = Exposure_Limit(exposure) - set_aside(exposure);
    double part = 1 + MAX(limit, 0) * own / all;
    double rate = own * (double)US_PER_S / (double)DEMAND_DECAY_US;
    double need = ceil(exposure->share * rate * NEED_S);
    return floor(MIN(part, (double)gateway->sent + MAX(need, 1)));
}

uint64_t
Exposure_Lend(Exposure *exposure, const char *id, TimeUs now)
{
    Gateway *gateway = g_hash_table_lookup(exposure->gateways, id);
    if (gateway == NULL) {
        return 0;
    }
    double own = demand_of(gateway, now);
    bool is_quiet = !exposure->is_first && now < exposure->lends_from;
    if (is_quiet || own < DEMAND_MIN) {
        return gateway->lent;
    }
    Demand all = sum_demand(exposure, now);
    double left =
        Exposure_Limit(exposure) - Exposure_Committed(exposure) + ROUNDING;
    if (gateway->lent > 0) {
        left -= all.waiting;
    }
    double target = target_of(exposure, gateway, own, all.sum);
    double more = MIN(target - (double)gateway->lent, floor(left));
    if (more >= 1) {
        gateway->lent += (uint64_t)more;
        exposure->lent += (uint64_t)more;
    }
    return gateway->lent;
}
