/** @file
 * Detection of endpoint crashes. The fingerprints of runs whose connections
 * broke are stored as suspects and reported to control if the endpoint turns
 * out to have crashed: it refuses a connection, announces another boot id, or
 * stops announcing itself. An announcement with the same boot id discards
 * them. Reports are resent until control has recorded them.
 */
#include "agent/state.h"

#include <string.h>

#include <event2/bufferevent.h>
#include <sodium.h>

#include "kernel/counter.h"
#include "kernel/log.h"

#define FINGERPRINTS_MAX 256
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
} CrashReport;

struct CrashWatch {
    Agent *agent;
    GArray *suspects;        /* fingerprints, uint64_t */
    TimeUs first_suspect_at; /* time of the first broken run */
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
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND;
    frame.command = &command;
    AgentControl_SendAll(watch->agent, &frame);
}

/* Sends a report and stores it until it is recorded. Takes ownership of
 * @p fingerprints. */
static void
add_report(CrashWatch *watch, Wire__CommandKind kind, GArray *fingerprints)
{
    if (watch->reports->len == REPORTS_MAX) {
        g_ptr_array_remove_index(watch->reports, 0);
    }
    CrashReport *report = g_new0(CrashReport, 1);
    report->kind = kind;
    report->fingerprints = fingerprints;
    randombytes_buf(report->id, sizeof(report->id));
    g_ptr_array_add(watch->reports, report);
    send_report(watch, report);
}

static void
report_crash(CrashWatch *watch, const char *why)
{
    stop_probe(watch);
    if (watch->suspects->len == 0) {
        return;
    }
    LOG_WARN(AGENT_PART,
             "Endpoint crashed with requests in flight. endpoint=%s "
             "requests=%u why=\"%s\"",
             watch->agent->own->name, watch->suspects->len, why);
    Counter_Add(Counter_Get("agent_crashes_total",
                            "Crashes of endpoints with requests in flight."),
                1);
    GArray *fingerprints = watch->suspects;
    watch->suspects = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    add_report(watch, WIRE__COMMAND_KIND__COMMAND_CRASH, fingerprints);
}

void
AgentCrash_OnRanAlone(CrashWatch *watch, uint64_t fingerprint)
{
    GArray *fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(fingerprints, fingerprint);
    add_report(watch, WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR, fingerprints);
}

static void
on_probe_event(struct bufferevent *connection, short events, void *arg)
{
    CrashWatch *watch = arg;
    bool accepted = (events & BEV_EVENT_CONNECTED) != 0;
    stop_probe(watch);
    if (!accepted) {
        report_crash(watch, "it refuses connections");
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
AgentCrash_AddSuspect(CrashWatch *watch, uint64_t fingerprint)
{
    if (watch->suspects->len == 0) {
        watch->first_suspect_at = Clock_Now();
        struct timeval delay = {.tv_usec = SETTLE_MS * US_PER_MS};
        event_add(watch->probe, &delay);
    }
    if (fingerprint != 0 && watch->suspects->len < FINGERPRINTS_MAX) {
        g_array_append_val(watch->suspects, fingerprint);
    }
}

void
AgentCrash_OnRefused(CrashWatch *watch)
{
    report_crash(watch, "it refuses connections");
}

void
AgentCrash_OnAnnounced(CrashWatch *watch, bool restarted)
{
    if (restarted) {
        report_crash(watch, "it restarted");
        return;
    }
    bool settled =
        Clock_Now() - watch->first_suspect_at > 2 * SETTLE_MS * US_PER_MS;
    if (watch->suspects->len > 0 && settled) {
        g_array_set_size(watch->suspects, 0);
        stop_probe(watch);
    }
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
    if (watch->suspects->len > 0 && now - watch->first_suspect_at >= timeout &&
        watch->agent->endpoint.last_seen_at < watch->first_suspect_at)
    {
        report_crash(watch, "its announcements stopped");
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
    json_object_set_new(out, "suspects", json_integer(watch->suspects->len));
    json_object_set_new(out, "unrecorded_reports",
                        json_integer(watch->reports->len));
}

CrashWatch *
AgentCrash_New(Agent *agent)
{
    CrashWatch *watch = g_new0(CrashWatch, 1);
    watch->agent = agent;
    watch->suspects = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    watch->reports = g_ptr_array_new_with_free_func(free_report);
    watch->probe = event_new(agent->base, -1, 0, start_probe, watch);
    return watch;
}

void
AgentCrash_Free(CrashWatch *watch)
{
    stop_probe(watch);
    event_free(watch->probe);
    g_array_free(watch->suspects, TRUE);
    g_ptr_array_free(watch->reports, TRUE);
    g_free(watch);
}
