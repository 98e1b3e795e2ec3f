/** @file
 * Fleet task: what the leader knows of the roll-outs in progress. Gateways
 * report cumulative numbers, so that a new leader learns the evidence with the
 * first reports; what an earlier leader lent is unknown to it.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fleet/rollouts.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#define PART FLEET_PART
/* Longest time since a majority confirmed the leadership for which the leader
 * replies to reports. A permit is valid for EXPOSURE_PERMIT_US after the
 * confirmation, before which no other leader lends. */
#define CONFIRMED_MAX_US (700 * US_PER_MS)
/* Interval of confirmations while a roll-out is in progress. */
#define CONFIRM_PERIOD_US (200 * US_PER_MS)
/* Time for which a new leader decides nothing for want of evidence, since the
 * gateways may not have reported yet: several reports. */
#define SETTLE_US (1 * US_PER_S)
/* Age of a report from which it says nothing about the present. */
#define REPORT_MAX_AGE_US (1 * US_PER_S)
/* Time before the deadline at which a roll-out with too few answers for the
 * test is decided; at which any other one is, after the last look of the test;
 * and at which an accepted one is completed while requests still run at old
 * versions. Each change takes the time of a commit. */
#define DECIDE_FEW_BEFORE_MS 2500
#define DECIDE_BEFORE_MS 1500
#define COMPLETE_BEFORE_MS 1000
/* Time after which a change that was not applied is proposed again. */
#define PROPOSE_AGAIN_US (2 * US_PER_S)
/* Time without a ready endpoint of the target after which an accepted roll-out
 * is reverted: longer than a restart of a gateway's link needs. */
#define GONE_US (1 * US_PER_S)
/* Time without a ready endpoint of another version after which the target is
 * accepted without a comparison: longer than endpoints that crashed together
 * need to start and announce themselves. */
#define OLD_GONE_US (3 * US_PER_S)
/* Of the answers at a target with too few for the test, the largest fraction
 * of failures with which it is accepted at the end: no more than twice the
 * failures of the worst services that are in order. */
#define FEW_FAILURES_MAX 0.28
/* Most versions that are taken from a report. */
#define VERSIONS_MAX 16

/* The newest report of a gateway's process. */
typedef struct GatewayReport {
    char *name; /* of the gateway */
    TimeUs reported_at;
    uint64_t revision;
    uint64_t requests;
    uint64_t sent;
    uint32_t running_old;
    uint32_t ready_target;
    uint32_t ready_old;
    RolloutSamples *samples; /* cumulative */
    GPtrArray *old_versions; /* char * */
} GatewayReport;

static void
free_report(gpointer data)
{
    GatewayReport *report = data;
    RolloutSamples_Free(report->samples);
    g_ptr_array_unref(report->old_versions);
    g_free(report->name);
    g_free(report);
}

static void
free_run(gpointer data)
{
    RolloutRun *run = data;
    RolloutTest_Free(run->test);
    Exposure_Free(run->exposure);
    g_hash_table_destroy(run->gateways);
    g_free(run);
}

GHashTable *
RolloutRuns_New(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_run);
}

static RolloutRun *
start_run(Fleet *fleet, const Rollout *rollout)
{
    TimeUs now = Clock_Now();
    int64_t wall_ms = Clock_WallMs();
    const FleetRolloutBounds *bounds = &fleet->rollouts->bounds;
    RolloutRun *run = g_new0(RolloutRun, 1);
    run->order = rollout->order;
    run->started_at = now;
    run->test = RolloutTest_New(
        now - (wall_ms - (int64_t)rollout->ordered_at_ms) * US_PER_MS,
        now + ((int64_t)rollout->deadline_ms - wall_ms) * US_PER_MS);
    run->exposure =
        Exposure_New(bounds->exposure_share, bounds->exposure_slack, now);
    run->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_report);
    g_hash_table_replace(fleet->rollouts->runs, g_strdup(rollout->service),
                         run);
    return run;
}

static RolloutRun *
find_run(Fleet *fleet, const Rollout *rollout)
{
    RolloutRun *run =
        g_hash_table_lookup(fleet->rollouts->runs, rollout->service);
    return run != NULL && run->order == rollout->order
               ? run
               : start_run(fleet, rollout);
}

void
RolloutRuns_Begin(Fleet *fleet, const Rollout *rollout)
{
    Exposure_SetFirst(start_run(fleet, rollout)->exposure);
}

void
FleetRollouts_OnLeadership(Fleet *fleet)
{
    g_hash_table_remove_all(fleet->rollouts->runs);
    fleet->rollouts->confirmed_at = 0;
    fleet->rollouts->asked_at = 0;
    FleetRollouts_Push(fleet);
}

/* ---- Confirmations of the leadership ---- */

typedef struct Confirmation {
    Fleet *fleet;
    TimeUs asked_at;
} Confirmation;

static void
on_confirmed(void *arg, bool is_leader)
{
    Confirmation *confirmation = arg;
    FleetRollouts *rollouts = confirmation->fleet->rollouts;
    if (is_leader) {
        rollouts->confirmed_at =
            MAX(rollouts->confirmed_at, confirmation->asked_at);
    }
    g_free(confirmation);
}

static void
confirm(Fleet *fleet, TimeUs now)
{
    if (now - fleet->rollouts->asked_at < CONFIRM_PERIOD_US) {
        return;
    }
    fleet->rollouts->asked_at = now;
    Confirmation *confirmation = g_new0(Confirmation, 1);
    *confirmation = (Confirmation){.fleet = fleet, .asked_at = now};
    Replica_ConfirmLeadership(fleet->replica, on_confirmed, confirmation);
}

/* ---- Reports ---- */

/* Adds the answers since the gateway's previous report to the evidence. */
static void
add_sample(const RolloutRun *run, const GatewayReport *report,
           const Wire__RolloutSample *sample, TimeUs now)
{
    RolloutSide side = sample->candidate ? ROLLOUT_CANDIDATE : ROLLOUT_OLD;
    RolloutSum *sum = RolloutSamples_Find(report->samples, sample->route, side,
                                          sample->load_class);
    if (sum == NULL) {
        LOG_DEBUG(PART, "Report has too many samples. gateway=%s route=%s",
                  report->name, sample->route);
        return;
    }
    RolloutSample *known = &sum->sample;
    if (sample->answers < known->answers ||
        sample->failures < known->failures || sample->timed < known->timed)
    {
        return; /* overtaken by a later report */
    }
    RolloutSample batch = {
        .answers = sample->answers - known->answers,
        .failures = sample->failures - known->failures,
        .timed = sample->timed - known->timed,
        .log_sum = sample->log_sum - known->log_sum,
        .log_square_sum = sample->log_square_sum - known->log_square_sum,
    };
    if (batch.answers == 0) {
        return;
    }
    *known = (RolloutSample){
        .answers = sample->answers,
        .failures = sample->failures,
        .timed = sample->timed,
        .log_sum = sample->log_sum,
        .log_square_sum = sample->log_square_sum,
    };
    RolloutTest_Add(run->test, sample->route, side, sample->load_class, &batch,
                    now);
}

static GatewayReport *
find_report(const RolloutRun *run, const char *id, const char *name)
{
    GatewayReport *report = g_hash_table_lookup(run->gateways, id);
    if (report == NULL) {
        report = g_new0(GatewayReport, 1);
        report->name = g_strdup(name);
        report->samples = RolloutSamples_New();
        report->old_versions = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(run->gateways, g_strdup(id), report);
    }
    return report;
}

static void
read_report(const RolloutRun *run, GatewayReport *report,
            const Wire__RolloutReport *message, TimeUs now)
{
    report->reported_at = now;
    report->revision = message->revision;
    report->requests = message->requests;
    report->sent = message->sent;
    report->running_old = message->running_old;
    report->ready_target = message->ready_target;
    report->ready_old = message->ready_old;
    g_ptr_array_set_size(report->old_versions, 0);
    for (size_t i = 0; i < message->n_old_versions && i < VERSIONS_MAX; i++) {
        g_ptr_array_add(report->old_versions,
                        g_strdup(message->old_versions[i]));
    }
    for (size_t i = 0; i < message->n_samples; i++) {
        add_sample(run, report, message->samples[i], now);
    }
}

static void
reply(const Fleet *fleet, Link *link, const Wire__RolloutReport *message,
      uint64_t number, TimeUs now)
{
    Wire__RolloutPermit permit = WIRE__ROLLOUT_PERMIT__INIT;
    permit.nonce = message->nonce;
    permit.service = message->service;
    permit.target = message->target;
    permit.order = message->order;
    permit.number = number;
    permit.confirmed_age_ms =
        (uint32_t)((now - fleet->rollouts->confirmed_at) / US_PER_MS);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ROLLOUT_PERMIT;
    frame.rollout_permit = &permit;
    Link_Send(link, &frame);
}

void
FleetRollouts_OnReport(Fleet *fleet, Link *link,
                       const Wire__RolloutReport *message)
{
    const Rollout *rollout =
        RolloutTable_Find(fleet->rollouts->table, message->service);
    if (!Fleet_HasRollouts(fleet) || !fleet->is_leader || rollout == NULL ||
        !Rollout_InProgress(rollout) || rollout->order != message->order)
    {
        return;
    }
    TimeUs now = Clock_Now();
    const RolloutRun *run = find_run(fleet, rollout);
    const Wire__Hello *peer = Link_Peer(link);
    char *id = g_strdup_printf("%s#%llu", peer->name,
                               (unsigned long long)peer->incarnation);
    read_report(run, find_report(run, id, peer->name), message, now);
    Exposure_OnReport(run->exposure, id, message->requests, message->sent,
                      message->lent, now);
    /* Without replies, permits expire. */
    if (!run->stopped &&
        now - fleet->rollouts->confirmed_at <= CONFIRMED_MAX_US &&
        fleet->rollouts->confirmed_at >= fleet->leader_since)
    {
        bool lends = rollout->state == WIRE__ROLLOUT_STATE__ROLLOUT_SERVING;
        reply(fleet, link, message,
              lends ? Exposure_Lend(run->exposure, id, now) : 0, now);
    }
    g_free(id);
}

/* ---- Decisions ---- */

/* What all gateways that reported lately say. */
typedef struct Overview {
    uint64_t requests;
    uint64_t sent;
    bool ready_target; /* some gateway knows a ready endpoint of the target */
    bool ready_old;
    bool idle_old;     /* no request runs at an old version, at any gateway */
    unsigned silent;   /* connected gateways without a recent report */
    unsigned reported; /* gateways with one */
} Overview;

/* Returns the newest report of the gateway's process, or NULL. */
static const GatewayReport *
report_of(const RolloutRun *run, const FleetPeer *peer)
{
    const Wire__Hello *hello = Link_Peer(peer->link);
    char *id = g_strdup_printf("%s#%llu", hello->name,
                               (unsigned long long)hello->incarnation);
    const GatewayReport *report = g_hash_table_lookup(run->gateways, id);
    g_free(id);
    return report;
}

static Overview
overlook(Fleet *fleet, const Rollout *rollout, const RolloutRun *run,
         TimeUs now)
{
    FleetQuotas_SilentFraction(fleet); /* forgets gateways without a lease */
    Overview overview = {
        .idle_old = g_hash_table_size(fleet->lost_gateways) == 0,
    };
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, run->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GatewayReport *report = value;
        overview.requests += report->requests;
        overview.sent += report->sent;
        if (now - report->reported_at <= REPORT_MAX_AGE_US) {
            overview.reported++;
            overview.ready_target |= report->ready_target > 0;
            overview.ready_old |= report->ready_old > 0;
        }
    }
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const FleetPeer *peer = value;
        if (!peer->is_gateway || Link_Peer(peer->link) == NULL) {
            continue;
        }
        const GatewayReport *report = report_of(run, peer);
        if (report == NULL || now - report->reported_at > REPORT_MAX_AGE_US) {
            overview.silent++;
            overview.idle_old = false;
        }
        else if (report->revision != rollout->revision ||
                 report->running_old > 0) {
            overview.idle_old = false;
        }
    }
    return overview;
}

static void
print_verdict(Rollout *rollout, const char *why, const RolloutReason *reason,
              const Overview *overview)
{
    g_free(rollout->verdict);
    rollout->verdict = g_strdup_printf(
        "%s; route %s, new %llu of %llu failed, old %llu of %llu failed, "
        "times %.2f, evidence %.3g of %.3g, answers %llu, sent %llu of %llu",
        why, reason->route[0] != '\0' ? reason->route : "all",
        (unsigned long long)reason->candidate_failures,
        (unsigned long long)reason->candidate_answers,
        (unsigned long long)reason->old_failures,
        (unsigned long long)reason->old_answers, reason->time_ratio,
        reason->evidence, reason->evidence_required,
        (unsigned long long)reason->answers,
        (unsigned long long)overview->sent,
        (unsigned long long)overview->requests);
}

/* Bars the versions that the gateways report besides the target. */
static void
bar_old(const RolloutRun *run, Rollout *rollout)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, run->gateways);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GatewayReport *report = value;
        for (guint i = 0; i < report->old_versions->len; i++) {
            Rollout_Bar(rollout, report->old_versions->pdata[i]);
        }
    }
}

/* The next state of a roll-out, and why; the state is ROLLOUT_NONE if it stays
 * as it is. */
typedef struct Step {
    RolloutState state;
    const char *why;
} Step;

/* Decides a roll-out that the test leaves undecided up to its end: one with
 * few answers is accepted unless many of them failed, and one without answers
 * is accepted only if the service had no requests either. */
static Step
decide_at_end(const RolloutReason *reason, const Overview *overview)
{
    static const Step accepted = {WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED,
                                  "undecided at the end"};
    static const Step unused = {WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED,
                                "the service has no requests"};
    static const Step failing = {WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED,
                                 "undecided at the end, many failures"};
    static const Step silent = {WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED,
                                "no answers"};
    if (reason->answers == 0) {
        return overview->requests == 0 ? unused : silent;
    }
    return (double)reason->candidate_failures >
                   FEW_FAILURES_MAX * (double)reason->candidate_answers
               ? failing
               : accepted;
}

static Step
next_step(const Rollout *rollout, RolloutRun *run, const Overview *overview,
          RolloutReason *reason, TimeUs now)
{
    static const Step stay = {WIRE__ROLLOUT_STATE__ROLLOUT_NONE, ""};
    int64_t left_ms = (int64_t)rollout->deadline_ms - Clock_WallMs();
    bool settled = now - run->started_at >= SETTLE_US;
    bool serving = rollout->state == WIRE__ROLLOUT_STATE__ROLLOUT_SERVING;
    RolloutVerdict verdict = RolloutTest_Judge(run->test, now, reason);
    /* Only reports of all gateways show that endpoints have left. */
    bool informed = overview->silent == 0 && overview->reported > 0;
    if (overview->ready_target || !informed) {
        run->ready_at = now;
    }
    if (overview->ready_old || !informed) {
        run->old_ready_at = now;
    }
    bool gone = now - MAX(run->ready_at, run->started_at) >= GONE_US;
    bool old_gone =
        now - MAX(run->old_ready_at, run->started_at) >= OLD_GONE_US;
    if (verdict == ROLLOUT_BAD) {
        return (Step){WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED,
                      reason->cause == ROLLOUT_CAUSE_TIMES
                          ? "slower than the old versions"
                          : "more failures than the old versions"};
    }
    if (serving && !overview->ready_target) {
        return settled && informed && left_ms <= 0
                   ? (Step){WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED,
                            "no endpoint announces the version"}
                   : stay;
    }
    if (serving && old_gone) {
        return (Step){WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED,
                      "no endpoint of another version"};
    }
    if (serving && verdict == ROLLOUT_GOOD) {
        return (Step){WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED,
                      "nothing speaks against it"};
    }
    if (serving) {
        int64_t decide_before_ms = reason->answers < ROLLOUT_ANSWERS_MIN
                                       ? DECIDE_FEW_BEFORE_MS
                                       : DECIDE_BEFORE_MS;
        return settled && left_ms <= decide_before_ms
                   ? decide_at_end(reason, overview)
                   : stay;
    }
    if (settled && gone) {
        return (Step){WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED,
                      "the endpoints of the version left"};
    }
    if (settled && informed && overview->idle_old) {
        return (Step){WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETED,
                      "no request runs at an old version"};
    }
    return settled && left_ms <= COMPLETE_BEFORE_MS
               ? (Step){WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETED,
                        "the deadline is near"}
               : stay;
}

static void
decide(Fleet *fleet, const Rollout *rollout, TimeUs now)
{
    RolloutRun *run = find_run(fleet, rollout);
    Overview overview = overlook(fleet, rollout, run, now);
    RolloutReason reason = {.cause = ROLLOUT_CAUSE_NONE};
    Step step = next_step(rollout, run, &overview, &reason, now);
    bool is_pending = run->proposed_at_revision == rollout->revision &&
                      run->proposed_state == step.state &&
                      now - run->proposed_at < PROPOSE_AGAIN_US;
    if (step.state == WIRE__ROLLOUT_STATE__ROLLOUT_NONE || is_pending) {
        return;
    }
    run->stopped = step.state == WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED;
    run->proposed_state = step.state;
    run->proposed_at = now;
    run->proposed_at_revision = rollout->revision;
    Rollout *changed = Rollout_Copy(rollout);
    changed->state = step.state;
    if (step.state == WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED) {
        Rollout_Bar(changed, changed->target);
    }
    else if (step.state == WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETED) {
        bar_old(run, changed);
    }
    print_verdict(changed, step.why, &reason, &overview);
    FleetRollouts_Propose(fleet, changed);
}

static void
decide_if_in_progress(void *arg, const Rollout *rollout)
{
    Fleet *fleet = arg;
    if (Rollout_InProgress(rollout)) {
        TimeUs now = Clock_Now();
        confirm(fleet, now);
        decide(fleet, rollout, now);
    }
    else {
        g_hash_table_remove(fleet->rollouts->runs, rollout->service);
    }
}

void
FleetRollouts_OnTick(Fleet *fleet, TimeUs now)
{
    if (fleet->is_leader && Fleet_HasRollouts(fleet)) {
        RolloutTable_ForEach(fleet->rollouts->table, decide_if_in_progress,
                             fleet);
    }
}
