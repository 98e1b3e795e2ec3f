/** @file
 * Detection of endpoint crashes. The runs that the endpoint has not survived
 * yet are reported to control when it turns out to have ended: it refuses a
 * connection, announces another boot id, or stops announcing itself. Reports
 * are resent until control has recorded them.
 */
#include "agent/state.h"

#include <string.h>

#include <event2/bufferevent.h>
#include <sodium.h>
#include <xxhash.h>

#include "kernel/counter.h"
#include "kernel/log.h"
#include "sched/crash_table.h"

#define REPORTS_MAX 64
#define RESEND_INTERVAL_MS 500
/* All runs that one crash breaks are noticed within this time. */
#define SETTLE_MS 50
#define PROBE_TIMEOUT_S 1

/* A report that control has not confirmed as recorded. */
typedef struct CrashReport {
    Wire__CommandKind kind;
    uint8_t id[COMMAND_ID_BYTES];
    GArray *fingerprints; /* uint64_t */
    GArray *parts;        /* uint64_t; hashes of parts of prompts */
    uint64_t incarnation; /* of the endpoint that crashed */
} CrashReport;

struct CrashWatch {
    Agent *agent;
    RunHistory history;
    TimeUs unanswered_at; /* end of the first unanswered run in the history */
    TimeUs ended_at;      /* when the endpoint's newest end was detected */
    uint64_t restart_count; /* restarts of the endpoint */
    uint64_t agent_hash;    /* of the agent's name and incarnation */
    CrashTable *survived;   /* parts of prompts that the endpoint survived */
    struct event *probe;
    struct bufferevent *connection; /* of the probe */
    GPtrArray *reports;             /* of CrashReport */
    TimeUs sent_at;
};

static void
free_report(gpointer data)
{
    CrashReport *report = data;
    g_array_free(report->fingerprints, TRUE);
    g_array_free(report->parts, TRUE);
    g_free(report);
}

static void
stop_probe(CrashWatch *watch)
{
    if (watch->connection != NULL) {
        bufferevent_free(watch->connection);
        watch->connection = NULL;
    }
    event_del(watch->probe);
}

static void
send_report(const CrashWatch *watch, const CrashReport *report)
{
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = (uint8_t *)report->id;
    command.command_id.len = COMMAND_ID_BYTES;
    command.kind = report->kind;
    command.author = watch->agent->own->name;
    command.subject = watch->agent->own->name;
    command.fingerprints = (uint64_t *)report->fingerprints->data;
    command.n_fingerprints = report->fingerprints->len;
    command.parts = (uint64_t *)report->parts->data;
    command.n_parts = report->parts->len;
    command.incarnation = report->incarnation;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND;
    frame.command = &command;
    AgentControl_SendAll(watch->agent, &frame);
}

static CrashReport *
new_report(CrashWatch *watch, Wire__CommandKind kind)
{
    CrashReport *report = g_new0(CrashReport, 1);
    report->kind = kind;
    report->fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    report->parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    randombytes_buf(report->id, sizeof(report->id));
    return report;
}

/* Sends a report and stores it until it is recorded. */
static void
add_report(CrashWatch *watch, CrashReport *report)
{
    if (watch->reports->len == REPORTS_MAX) {
        LOG_WARN(AGENT_PART, "Crash reports are not recorded; dropping one.");
        g_ptr_array_remove_index(watch->reports, 0);
    }
    g_ptr_array_add(watch->reports, report);
    send_report(watch, report);
}

/* A crash report that is being filled. */
typedef struct CrashedRuns {
    const CrashWatch *watch;
    CrashReport *report;
} CrashedRuns;

static void
add_run(void *arg, const EndedRun *run)
{
    const CrashedRuns *crashed = arg;
    const Subjects *subjects = &run->subjects;
    g_array_append_val(crashed->report->fingerprints, subjects->request);
    for (uint32_t i = 1; i < subject_count(subjects); i++) {
        Subject part = subject_at(subjects, i);
        if (!CrashTable_IsAcquitted(crashed->watch->survived, part,
                                    Clock_Now())) {
            g_array_append_val(crashed->report->parts, part.hash);
        }
    }
}

/* Reports the end of the endpoint with the runs that ended in one of the ways
 * (mask of RunEnd). */
static void
report_crash(CrashWatch *watch, unsigned ends, const char *why)
{
    stop_probe(watch);
    watch->ended_at = Clock_Now();
    CrashReport *report = new_report(watch, WIRE__COMMAND_KIND__COMMAND_CRASH);
    report->incarnation =
        XXH3_64bits_withSeed(&watch->restart_count,
                             sizeof(watch->restart_count), watch->agent_hash);
    CrashedRuns crashed = {.watch = watch, .report = report};
    size_t count = RunHistory_Take(&watch->history, ends, add_run, &crashed);
    if (count == 0) {
        free_report(report);
        return;
    }
    LOG_WARN(AGENT_PART,
             "Endpoint crashed with requests in flight. endpoint=%s "
             "requests=%zu parts=%u why=\"%s\"",
             watch->agent->own->name, count, report->parts->len, why);
    Counter_Add(Counter_Get("agent_crashes_total",
                            "Crashes of endpoints with requests in flight."),
                1);
    add_report(watch, report);
}

/* Reports an end that is proved. The agent sees all runs of its endpoint, so
 * that answered runs are suspects only if no other is. */
static void
report_proved_crash(CrashWatch *watch, const char *why)
{
    bool unanswered = RunHistory_Count(&watch->history, RUN_UNANSWERED) > 0;
    report_crash(watch, unanswered ? RUN_UNANSWERED : RUN_ANSWERED, why);
    watch->history.count = 0;
}

/* Reports what the endpoint has survived, so that control clears it: a suspect
 * that ran alone, and suspected parts of a prompt that was answered. */
static void
on_survived(void *arg, const EndedRun *run)
{
    CrashWatch *watch = arg;
    const Subjects *subjects = &run->subjects;
    CrashReport *report =
        new_report(watch, WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR);
    if (run->end == RUN_ANSWERED && run->alone &&
        AgentControl_IsSuspected(watch->agent, subjects->request))
    {
        g_array_append_val(report->fingerprints, subjects->request);
    }
    bool acquits = EndedRun_IsAcquittal(run);
    for (uint32_t i = 1; acquits && i < subject_count(subjects); i++) {
        Subject part = subject_at(subjects, i);
        CrashTable_Acquit(watch->survived, part, Clock_Now());
        if (AgentControl_IsListedPart(watch->agent, part.hash)) {
            g_array_append_val(report->parts, part.hash);
        }
    }
    if (report->fingerprints->len + report->parts->len == 0) {
        free_report(report);
        return;
    }
    add_report(watch, report);
}

static void
on_probe_event(struct bufferevent *connection, short events, void *arg)
{
    CrashWatch *watch = arg;
    bool accepted = (events & BEV_EVENT_CONNECTED) != 0;
    stop_probe(watch);
    if (!accepted) {
        report_proved_crash(watch, "it refuses connections");
    }
}

/* Connects to the endpoint to test whether it still accepts connections. */
static void
start_probe(evutil_socket_t fd, short events, void *arg)
{
    CrashWatch *watch = arg;
    const Address *address = &watch->agent->endpoint_address;
    stop_probe(watch);
    watch->connection =
        bufferevent_socket_new(watch->agent->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(watch->connection, NULL, NULL, on_probe_event, watch);
    struct timeval limit = {.tv_sec = PROBE_TIMEOUT_S};
    bufferevent_set_timeouts(watch->connection, &limit, &limit);
    bufferevent_socket_connect(watch->connection,
                               (const struct sockaddr *)&address->storage,
                               (int)address->length);
}

void
AgentCrash_OnRunEnded(CrashWatch *watch, const EndedRun *run)
{
    bool first = RunHistory_Count(&watch->history, RUN_UNANSWERED) == 0;
    RunHistory_Add(&watch->history, run);
    if (run->end == RUN_ANSWERED) {
        return;
    }
    if (run->started_at < watch->ended_at) {
        report_proved_crash(watch, "it had ended before the run did");
        return;
    }
    if (first) {
        watch->unanswered_at = run->at;
        struct timeval delay = {.tv_usec = SETTLE_MS * US_PER_MS};
        event_add(watch->probe, &delay);
    }
}

void
AgentCrash_OnRefused(CrashWatch *watch)
{
    report_proved_crash(watch, "it refuses connections");
}

void
AgentCrash_OnAnnounced(CrashWatch *watch, bool restarted)
{
    if (restarted) {
        report_proved_crash(watch, "it restarted");
        watch->restart_count++;
        return;
    }
    RunHistory_RemoveSurvived(&watch->history, Clock_Now(), on_survived,
                              watch);
}

void
AgentCrash_OnReply(CrashWatch *watch, const Wire__CommandReply *reply)
{
    if (reply->code != ERR_OK || reply->command_id.len != COMMAND_ID_BYTES) {
        return;
    }
    for (guint i = 0; i < watch->reports->len; i++) {
        const CrashReport *report = g_ptr_array_index(watch->reports, i);
        if (memcmp(report->id, reply->command_id.data, COMMAND_ID_BYTES) == 0)
        {
            g_ptr_array_remove_index(watch->reports, i);
            return;
        }
    }
}

void
AgentCrash_Tick(CrashWatch *watch, TimeUs now)
{
    TimeUs timeout = watch->agent->own->announce_ms * US_PER_MS;
    if (RunHistory_Count(&watch->history, RUN_UNANSWERED) > 0 &&
        now - watch->unanswered_at >= timeout &&
        watch->agent->endpoint.last_seen_at < watch->unanswered_at)
    {
        report_crash(watch, RUN_UNANSWERED, "its announcements stopped");
    }
    if (now - watch->sent_at < RESEND_INTERVAL_MS * US_PER_MS) {
        return;
    }
    watch->sent_at = now;
    for (guint i = 0; i < watch->reports->len; i++) {
        send_report(watch, g_ptr_array_index(watch->reports, i));
    }
}

void
AgentCrash_Dump(const CrashWatch *watch, json_t *out)
{
    size_t suspects = RunHistory_Count(&watch->history, RUN_UNANSWERED);
    json_object_set_new(out, "suspects", json_integer((json_int_t)suspects));
    json_object_set_new(out, "unrecorded_reports",
                        json_integer(watch->reports->len));
}

CrashWatch *
AgentCrash_New(Agent *agent)
{
    CrashWatch *watch = g_new0(CrashWatch, 1);
    watch->agent = agent;
    watch->reports = g_ptr_array_new_with_free_func(free_report);
    watch->survived = CrashTable_New();
    watch->agent_hash = XXH3_64bits_withSeed(
        agent->own->name, strlen(agent->own->name), agent->self.incarnation);
    watch->probe = event_new(agent->base, -1, 0, start_probe, watch);
    return watch;
}

void
AgentCrash_Free(CrashWatch *watch)
{
    stop_probe(watch);
    RunHistory_Clear(&watch->history);
    event_free(watch->probe);
    g_ptr_array_free(watch->reports, TRUE);
    CrashTable_Free(watch->survived);
    g_free(watch);
}
