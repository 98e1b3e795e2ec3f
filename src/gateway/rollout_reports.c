/** @file
 * Gateway: reports of roll-outs to the leader, its permits, and the answers
 * that are evidence.
 */
#include <math.h>
#include <string.h>

#include "gateway/rollout_run.h"
#include "kernel/log.h"
#include "sched/exposure.h"

/* Shorter run times count as this one: below it the errors of the round trip
 * prevail. */
#define TIME_MIN_US (1 * US_PER_MS)
/* Most versions that a report names. */
#define VERSIONS_MAX 16

/* ---- Reports ---- */

/* Returns whether the call runs at a version other than the target, or is
 * bound to one while it looks for an endpoint. */
static bool
is_at_old(const Call *call, const Rollout *rollout)
{
    if (call->endpoint != NULL) {
        return strcmp(call->endpoint->service, rollout->service) == 0 &&
               !RolloutRun_IsTarget(rollout, call->endpoint);
    }
    return call->origin.bound &&
           strcmp(call->origin.service, rollout->service) == 0 &&
           strcmp(call->origin.software, rollout->target) != 0;
}

/* Counts calls, not requests of known endpoints: an endpoint that has left may
 * still run some. */
static uint32_t
count_at_old(const Gateway *gateway, const Rollout *rollout)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer conn;
    g_hash_table_iter_init(&iter, gateway->conns);
    while (g_hash_table_iter_next(&iter, &conn, NULL)) {
        const Call *call = Conn_Call(conn);
        count += call != NULL && is_at_old(call, rollout) ? 1 : 0;
    }
    return count;
}

static void
count_endpoints(const Gateway *gateway, const Rollout *rollout,
                Wire__RolloutReport *report)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (strcmp(endpoint->service, rollout->service) != 0) {
            continue;
        }
        bool ready = endpoint->state == ENDPOINT_READY;
        if (RolloutRun_IsTarget(rollout, endpoint)) {
            report->ready_target += ready ? 1 : 0;
            continue;
        }
        if (ready && !Rollout_IsBarred(rollout, endpoint->software)) {
            report->ready_old++;
        }
        bool known = false;
        for (size_t i = 0; i < report->n_old_versions; i++) {
            known = known ||
                    strcmp(report->old_versions[i], endpoint->software) == 0;
        }
        if (!known && report->n_old_versions < VERSIONS_MAX) {
            report->old_versions[report->n_old_versions++] =
                endpoint->software;
        }
    }
}

static void
fill_samples(const RolloutSum *const *sums, size_t count,
             Wire__RolloutSample *items, Wire__RolloutSample **pointers)
{
    for (size_t i = 0; i < count; i++) {
        const RolloutSample *sample = &sums[i]->sample;
        Wire__RolloutSample *item = &items[i];
        wire__rollout_sample__init(item);
        item->route = sums[i]->route;
        item->candidate = sums[i]->side == ROLLOUT_CANDIDATE;
        item->load_class = sums[i]->load_class;
        item->answers = sample->answers;
        item->failures = sample->failures;
        item->timed = sample->timed;
        item->log_sum = sample->log_sum;
        item->log_square_sum = sample->log_square_sum;
        pointers[i] = item;
    }
}

static gboolean
is_sent_before(gpointer key, gpointer sent_at, gpointer time)
{
    return *(const TimeUs *)sent_at < *(const TimeUs *)time;
}

/* Records a report. Those that are too old to bring a permit are forgotten,
 * as a leader that has no majority does not reply. */
static void
remember_report(const RolloutRun *run, uint64_t nonce, TimeUs now)
{
    TimeUs oldest = now - EXPOSURE_PERMIT_US;
    g_hash_table_foreach_remove(run->sent_at, is_sent_before, &oldest);
    g_hash_table_insert(run->sent_at, g_memdup2(&nonce, sizeof(nonce)),
                        g_memdup2(&now, sizeof(now)));
}

static void
send_report(Rollouts *rollouts, const Rollout *rollout, RolloutRun *run)
{
    const Gateway *gateway = rollouts->gateway;
    const char *leader = GatewayControl_Leader(gateway->control);
    if (leader == NULL) {
        return;
    }
    uint64_t nonce = ++rollouts->last_nonce;
    if (g_strcmp0(run->leader, leader) != 0) {
        /* Replies of an earlier leader do not count from now on. */
        g_free(run->leader);
        run->leader = g_strdup(leader);
        run->first_nonce = nonce;
        g_hash_table_remove_all(run->sent_at);
    }
    Wire__RolloutReport report = WIRE__ROLLOUT_REPORT__INIT;
    char *versions[VERSIONS_MAX];
    report.nonce = nonce;
    report.service = rollout->service;
    report.target = rollout->target;
    report.order = run->order;
    report.revision = rollout->revision;
    report.requests = run->requests;
    report.sent = run->sent;
    report.lent = run->lent;
    report.old_versions = versions;
    report.running_old = count_at_old(gateway, rollout);
    count_endpoints(gateway, rollout, &report);
    size_t count = RolloutSamples_Count(run->samples);
    const RolloutSum **sums = g_new0(const RolloutSum *, count + 1);
    Wire__RolloutSample *items = g_new0(Wire__RolloutSample, count + 1);
    Wire__RolloutSample **pointers = g_new0(Wire__RolloutSample *, count + 1);
    RolloutSamples_List(run->samples, sums);
    fill_samples(sums, count, items, pointers);
    report.n_samples = count;
    report.samples = pointers;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ROLLOUT_REPORT;
    frame.rollout_report = &report;
    if (GatewayControl_SendLeader(gateway->control, &frame)) {
        remember_report(run, nonce, Clock_Now());
    }
    g_free(sums);
    g_free(items);
    g_free(pointers);
}

static void
add_in_progress(void *arg, const Rollout *rollout)
{
    if (Rollout_InProgress(rollout)) {
        g_ptr_array_add(arg, rollout->service);
    }
}

void
RolloutRun_SendReports(Rollouts *rollouts)
{
    GPtrArray *services = g_ptr_array_new();
    RolloutTable_ForEach(rollouts->table, add_in_progress, services);
    for (guint i = 0; i < services->len; i++) {
        const Rollout *rollout =
            RolloutTable_Find(rollouts->table, services->pdata[i]);
        RolloutRun *run = RolloutRun_Find(rollouts->gateway, rollout);
        if (run != NULL) {
            send_report(rollouts, rollout, run);
        }
    }
    if (services->len == 0) {
        event_del(rollouts->timer);
    }
    g_ptr_array_unref(services);
}

void
Rollouts_OnLeader(Rollouts *rollouts)
{
    RolloutRun_SendReports(rollouts);
}

static gboolean
is_before(gpointer key, gpointer value, gpointer nonce)
{
    return *(const uint64_t *)key <= *(const uint64_t *)nonce;
}

void
Rollouts_OnPermit(Rollouts *rollouts, const Wire__RolloutPermit *permit)
{
    const Rollout *rollout =
        RolloutTable_Find(rollouts->table, permit->service);
    RolloutRun *run =
        rollout == NULL ? NULL : RolloutRun_Find(rollouts->gateway, rollout);
    uint64_t nonce = permit->nonce;
    if (run == NULL || run->order != permit->order || nonce < run->first_nonce)
    {
        return;
    }
    const TimeUs *sent_at = g_hash_table_lookup(run->sent_at, &nonce);
    if (sent_at == NULL) {
        return;
    }
    TimeUs confirmed_at = *sent_at - permit->confirmed_age_ms * US_PER_MS;
    run->lent = MAX(run->lent, permit->number);
    run->permit_until =
        MAX(run->permit_until, confirmed_at + EXPOSURE_PERMIT_US);
    run->heard_at = MAX(run->heard_at, confirmed_at);
    g_hash_table_foreach_remove(run->sent_at, is_before, &nonce);
}

/* ---- Evidence ---- */

static unsigned
load_class_of(const Endpoint *endpoint)
{
    double load = Endpoint_Load(endpoint, Clock_Now());
    return load < 0.5 ? 0 : load < 1 ? 1 : 2;
}

void
Rollouts_OnSend(Call *call, const Endpoint *endpoint)
{
    const Rollout *rollout =
        RolloutTable_Find(call->gateway->rollouts->table, endpoint->service);
    RolloutRun *run =
        rollout == NULL ? NULL : RolloutRun_Find(call->gateway, rollout);
    CallRollout *own = &call->rollout;
    own->counts = false;
    if (run == NULL || !Rollout_InProgress(rollout)) {
        Rollouts_Forget(call);
        return;
    }
    bool target = RolloutRun_IsTarget(rollout, endpoint);
    Rollouts_Forget(call);
    own->order = run->order;
    own->to_candidate = target;
    own->load_class = load_class_of(endpoint);
    run->requests += own->counted_in != run->order ? 1 : 0;
    own->counted_in = run->order;
    run->sent += target ? 1 : 0;
    /* The evidence of both sides begins with the first request to the
     * candidate and ends when it is accepted. */
    own->counts = run->sent > 0 &&
                  rollout->state == WIRE__ROLLOUT_STATE__ROLLOUT_SERVING;
}

/* Returns the sum to which the call's answer is added, or NULL if the
 * configuration has more routes than are told apart. */
static RolloutSample *
find_sample(RolloutRun *run, const Call *call)
{
    const CallRollout *own = &call->rollout;
    RolloutSum *sum = RolloutSamples_Find(
        run->samples, call->route->name,
        own->to_candidate ? ROLLOUT_CANDIDATE : ROLLOUT_OLD, own->load_class);
    if (sum != NULL) {
        return &sum->sample;
    }
    if (!run->samples_full_logged) {
        LOG_WARN(GATEWAY_PART,
                 "Answers of further routes are no evidence for the roll-out. "
                 "order=%llu sums=%zu route=%s",
                 (unsigned long long)run->order,
                 RolloutSamples_Count(run->samples), call->route->name);
        run->samples_full_logged = true;
    }
    return NULL;
}

void
Rollouts_OnHead(Call *call)
{
    call->rollout.begun_at = Upstream_BegunAt(call->upstream);
}

void
Rollouts_OnEnd(Call *call, RolloutEnd end)
{
    CallRollout *own = &call->rollout;
    bool counts = own->counts;
    own->counts = counts && end == ROLLOUT_ANSWERED && call->is_stream;
    RolloutRun *run =
        counts ? RolloutRun_FindOrder(call->gateway->rollouts, own->order)
               : NULL;
    Subject barred;
    if (run == NULL || end == ROLLOUT_NO_EVIDENCE ||
        (end == ROLLOUT_FAILED &&
         Suspects_FindBarred(call->gateway->suspects, call, &barred)))
    {
        return;
    }
    RolloutSample *sum = find_sample(run, call);
    if (sum == NULL) {
        return;
    }
    sum->answers++;
    if (end == ROLLOUT_FAILED) {
        sum->failures++;
        return;
    }
    TimeUs time = MAX(Clock_Now() - own->begun_at, TIME_MIN_US);
    double ms = (double)time / (double)US_PER_MS;
    sum->timed++;
    sum->log_sum += log(ms);
    sum->log_square_sum += log(ms) * log(ms);
}
