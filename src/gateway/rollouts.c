/** @file
 * Gateway: sides of calls, permits and evidence of roll-outs.
 */
#include "gateway/rollout_run.h"

#include <string.h>

#include <xxhash.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* Interval of reports while a roll-out is in progress. */
#define REPORT_MS 250
/* Time without the leader after which an accepted roll-out may have been
 * reverted: longer than an election takes, and well under the time in which a
 * bad version must get no more requests. Then the old versions serve, which
 * run until the roll-out has completed. */
#define ACCEPTED_SILENT_US (2 * US_PER_S)

static void
free_run(gpointer data)
{
    RolloutRun *run = data;
    g_free(run->leader);
    g_hash_table_destroy(run->sent_at);
    RolloutSamples_Free(run->samples);
    g_free(run);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    RolloutRun_SendReports(arg);
}

Rollouts *
Rollouts_New(Gateway *gateway)
{
    Rollouts *rollouts = g_new0(Rollouts, 1);
    rollouts->gateway = gateway;
    rollouts->table = RolloutTable_New();
    rollouts->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_run);
    rollouts->timer =
        event_new(gateway->base, -1, EV_PERSIST, on_timer, rollouts);
    return rollouts;
}

void
Rollouts_Free(Rollouts *rollouts)
{
    event_free(rollouts->timer);
    g_hash_table_destroy(rollouts->runs);
    RolloutTable_Free(rollouts->table);
    g_free(rollouts);
}

/* ---- Versions of endpoints ---- */

bool
RolloutRun_IsTarget(const Rollout *rollout, const Endpoint *endpoint)
{
    return strcmp(endpoint->software, rollout->target) == 0;
}

/* Returns the roll-out of the endpoint's service, or NULL. */
static const Rollout *
rollout_of(const Endpoint *endpoint)
{
    return RolloutTable_Find(endpoint->gateway->rollouts->table,
                             endpoint->service);
}

/* Endpoints are ordered by a hash that all gateways share, other than that of
 * an earlier roll-out. */
static uint64_t
order_of(const Endpoint *endpoint, const Rollout *rollout)
{
    return XXH3_64bits_withSeed(endpoint->id, strlen(endpoint->id),
                                rollout->order);
}

/* Returns whether an endpoint of the target is one of the few to which the
 * requests of a trial go, so that these are as busy as the old ones. */
static bool
is_in_trial(const Rollout *rollout, const Endpoint *endpoint)
{
    const Gateway *gateway = endpoint->gateway;
    TimeUs now = Clock_Now();
    unsigned count = 0;
    unsigned before = 0;
    uint64_t own = order_of(endpoint, rollout);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *other = value;
        if (strcmp(other->service, rollout->service) != 0 ||
            !RolloutRun_IsTarget(rollout, other) ||
            !Endpoint_IsUsable(other, now))
        {
            continue;
        }
        count++;
        before += order_of(other, rollout) < own ? 1 : 0;
    }
    double share = gateway->options->bounds.exposure_share;
    return before < MAX(1, (unsigned)(count * share));
}

/* ---- The run of a roll-out ---- */

RolloutRun *
RolloutRun_Find(const Gateway *gateway, const Rollout *rollout)
{
    RolloutRun *run =
        g_hash_table_lookup(gateway->rollouts->runs, rollout->service);
    return run != NULL && run->order == rollout->order ? run : NULL;
}

RolloutRun *
RolloutRun_FindOrder(const Rollouts *rollouts, uint64_t order)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rollouts->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        RolloutRun *run = value;
        if (run->order == order) {
            return run;
        }
    }
    return NULL;
}

static void
start_run(Rollouts *rollouts, const Rollout *rollout)
{
    RolloutRun *run = g_new0(RolloutRun, 1);
    run->order = rollout->order;
    run->sent_at =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    run->samples = RolloutSamples_New();
    g_hash_table_replace(rollouts->runs, g_strdup(rollout->service), run);
    if (!event_pending(rollouts->timer, EV_TIMEOUT, NULL)) {
        struct timeval period = {.tv_usec = REPORT_MS * US_PER_MS};
        event_add(rollouts->timer, &period);
    }
}

static bool
has_permit(const RolloutRun *run, TimeUs now)
{
    return now < run->permit_until && run->sent + run->reserved < run->lent;
}

/* Returns whether an accepted roll-out is known to be in force still, so that
 * only the candidate serves new calls. */
static bool
is_moved(const RolloutRun *run, TimeUs now)
{
    return run != NULL && now - run->heard_at <= ACCEPTED_SILENT_US;
}

/* ---- Records ---- */

static void
on_changed(Rollouts *rollouts, const Rollout *rollout, TimeUs asked_at)
{
    Gateway *gateway = rollouts->gateway;
    LOG_INFO(GATEWAY_PART,
             "Roll-out changed. service=%s to=%s state=%s order=%llu "
             "revision=%llu",
             rollout->service, rollout->target,
             Rollout_StateName(rollout->state),
             (unsigned long long)rollout->order,
             (unsigned long long)rollout->revision);
    if (Rollout_InProgress(rollout) &&
        RolloutRun_Find(gateway, rollout) == NULL) {
        start_run(rollouts, rollout);
    }
    RolloutRun *run = RolloutRun_Find(gateway, rollout);
    if (run != NULL) {
        run->heard_at = MAX(run->heard_at, asked_at);
    }
    Keepers_WithdrawUseless(gateway->keepers);
    RolloutRun_SendReports(rollouts);
    ServiceQueue_Pump(gateway, rollout->service);
}

void
Rollouts_OnState(Rollouts *rollouts, const Wire__ConfigState *state,
                 TimeUs asked_at)
{
    if (rollouts->gateway->options->bounds.exposure_share <= 0) {
        return;
    }
    for (size_t i = 0; i < state->n_rollouts; i++) {
        const Wire__Rollout *message = state->rollouts[i];
        RolloutRun *run = RolloutRun_FindOrder(rollouts, message->order);
        if (run != NULL) {
            run->heard_at = MAX(run->heard_at, asked_at);
        }
        if (RolloutTable_Update(rollouts->table, Rollout_Read(message))) {
            char *service = g_strdup(message->service);
            on_changed(rollouts, RolloutTable_Find(rollouts->table, service),
                       asked_at);
            g_free(service);
        }
    }
}

/* ---- Sides of calls ---- */

/* Returns the roll-out that decides which versions may serve the call, or
 * NULL: a stream that has begun goes on at its version. */
static const Rollout *
rollout_for(const Call *call)
{
    return call->origin.bound
               ? NULL
               : RolloutTable_Find(call->gateway->rollouts->table,
                                   call->service);
}

void
Rollouts_Forget(Call *call)
{
    CallRollout *own = &call->rollout;
    if (own->reserved) {
        own->reserved = false;
        RolloutRun *run =
            RolloutRun_FindOrder(call->gateway->rollouts, own->order);
        if (run != NULL) {
            run->reserved--;
        }
    }
}

static void
log_side(const Call *call, const Rollout *rollout, const RolloutRun *run,
         const char *why)
{
    TimeUs now = Clock_Now();
    bool candidate = call->rollout.side == SIDE_CANDIDATE;
    LOG_INFO(GATEWAY_PART,
             "Side of a roll-out. id=%s service=%s to=%s state=%s side=%s "
             "sent=%llu reserved=%llu lent=%llu permit_left_ms=%lld "
             "why=\"%s\"",
             call->id, rollout->service, rollout->target,
             Rollout_StateName(rollout->state), candidate ? "new" : "old",
             (unsigned long long)run->sent, (unsigned long long)run->reserved,
             (unsigned long long)run->lent,
             (long long)((run->permit_until - now) / US_PER_MS), why);
    char name[64];
    g_snprintf(name, sizeof(name), "gateway_rollout_sides_total{side=\"%s\"}",
               candidate ? "new" : "old");
    Counter_Add(Counter_Get(name, "Calls by their side of a roll-out."), 1);
}

void
Rollouts_Assign(Call *call)
{
    const Rollout *rollout = rollout_for(call);
    RolloutRun *run =
        rollout == NULL ? NULL : RolloutRun_Find(call->gateway, rollout);
    if (run == NULL || rollout->state != WIRE__ROLLOUT_STATE__ROLLOUT_SERVING)
    {
        Rollouts_Forget(call);
        call->rollout.side = SIDE_NONE;
        return;
    }
    TimeUs now = Clock_Now();
    CallRollout *own = &call->rollout;
    if (own->order != run->order) {
        Rollouts_Forget(call);
        own->order = run->order;
        own->side = SIDE_NONE;
    }
    if (own->side == SIDE_CANDIDATE &&
        (!own->reserved || now >= run->permit_until))
    {
        Rollouts_FallBack(call, own->reserved ? "the permit expired"
                                              : "an attempt failed");
    }
    if (own->side != SIDE_NONE) {
        return;
    }
    own->side = call->attempts == 0 && has_permit(run, now) ? SIDE_CANDIDATE
                                                            : SIDE_OLD;
    if (own->side == SIDE_CANDIDATE) {
        own->reserved = true;
        run->reserved++;
    }
    log_side(call, rollout, run,
             own->side == SIDE_CANDIDATE ? "permit"
             : call->attempts > 0        ? "further attempt"
                                         : "no permit");
}

bool
Rollouts_IsTrial(const Call *call)
{
    return call->rollout.side == SIDE_CANDIDATE;
}

bool
Rollouts_FallBack(Call *call, const char *why)
{
    if (call->rollout.side != SIDE_CANDIDATE) {
        return false;
    }
    Rollouts_Forget(call);
    call->rollout.side = SIDE_OLD;
    const Rollout *rollout = rollout_for(call);
    const RolloutRun *run =
        rollout == NULL ? NULL : RolloutRun_Find(call->gateway, rollout);
    if (run != NULL) {
        log_side(call, rollout, run, why);
    }
    return true;
}

bool
Rollouts_MayServe(const Endpoint *endpoint, const Call *call)
{
    const Rollout *rollout = call->origin.bound ? NULL : rollout_of(endpoint);
    if (rollout == NULL) {
        return true;
    }
    const RolloutRun *run = RolloutRun_Find(endpoint->gateway, rollout);
    TimeUs now = Clock_Now();
    bool target = RolloutRun_IsTarget(rollout, endpoint);
    if (!target && Rollout_IsBarred(rollout, endpoint->software)) {
        return false;
    }
    switch (rollout->state) {
    case WIRE__ROLLOUT_STATE__ROLLOUT_SERVING:
        return target ? call->rollout.reserved && run != NULL &&
                            call->rollout.order == run->order &&
                            now < run->permit_until &&
                            is_in_trial(rollout, endpoint)
                      : call->rollout.side != SIDE_CANDIDATE;
    case WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED:
        return target == is_moved(run, now);
    case WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED:
        return !target;
    default:
        return true;
    }
}
