/** @file
 * Gateway: tells which runs an endpoint may have ended under. The runs that
 * ended shortly before an endpoint was last heard of, and those that it has
 * not answered since, are kept until it is heard of again, or proved to have
 * ended.
 */
#include <errno.h>
#include <string.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "sched/crash_table.h"
#include "wire/address.h"

/* Delay of the probe after a run that was not answered. The probe is left out
 * when the endpoint is heard of meanwhile. */
#define PROBE_DELAY_MS 50
#define PROBE_TIMEOUT_MS 400
/* Delay of the next probe after one without a reply. */
#define PROBE_RETRY_MS 100
/* Delay of the next probe after an accepted one, while the endpoint is silent
 * and may still end under the run. */
#define PROBE_AGAIN_MS 1000
/* Time after an unanswered run for which the endpoint is probed again. */
#define PROBE_AGAIN_MAX_US (5 * US_PER_S)
/* Connection attempts without a reply, with nothing heard since, after which
 * the endpoint is presumed to have ended. */
#define UNANSWERED_MAX 2
/* A run that the gateway cancelled is followed by a probe only if the endpoint
 * was silent for so long. */
#define SILENCE_MIN_US (500 * US_PER_MS)

/* Ends the probe and its reference to the endpoint, which may be freed. */
static void
end_probing(Endpoint *endpoint)
{
    EndWatch *watch = &endpoint->watch;
    if (watch->probe != NULL) {
        bufferevent_free(watch->probe);
        watch->probe = NULL;
    }
    if (watch->timer != NULL) {
        event_free(watch->timer);
        watch->timer = NULL;
        Endpoint_Unref(endpoint);
    }
}

void
EndWatch_Clear(Endpoint *endpoint)
{
    RunHistory_Clear(&endpoint->watch.history);
    end_probing(endpoint);
}

static bool
is_probing(const EndWatch *watch)
{
    return watch->timer != NULL;
}

/* ---- Ends ---- */

/* Returns the ends (mask of RunEnd) of the runs that the endpoint may have
 * ended under. A leaving endpoint ends anyway, after it has answered all runs.
 */
static unsigned
suspect_ends(const Endpoint *endpoint, EndEvidence evidence)
{
    if (endpoint->state != ENDPOINT_READY && !endpoint->superseded) {
        return RUN_BROKEN;
    }
    return evidence == END_PROVED ? RUN_ANY : RUN_UNANSWERED;
}

static void
count_end(Endpoint *endpoint, EndEvidence evidence, const char *why)
{
    EndWatch *watch = &endpoint->watch;
    size_t count = Suspects_AddCrashes(
        endpoint->gateway->suspects, &watch->history,
        suspect_ends(endpoint, evidence),
        CrashTable_Incarnation(endpoint->id, endpoint->born));
    watch->unanswered = 0;
    watch->ended = MAX(watch->ended, evidence);
    if (evidence == END_PROVED) {
        watch->history.count = 0;
    }
    if (count > 0) {
        LOG_INFO(GATEWAY_PART,
                 "Endpoint ended. id=%s born=%llu requests=%zu why=\"%s\"",
                 endpoint->id, (unsigned long long)endpoint->born, count, why);
    }
}

void
EndWatch_OnEnded(Endpoint *endpoint, const char *why)
{
    endpoint->ended_at = Clock_Now();
    endpoint->end_proved_at = endpoint->ended_at;
    count_end(endpoint, END_PROVED, why);
}

/* ---- Probes ---- */

bool
EndWatch_IsRefusal(short events)
{
    int error = EVUTIL_SOCKET_ERROR();
    /* libevent does not set the error of a connection that is refused at
     * once. */
    return (events & BEV_EVENT_ERROR) != 0 && error != ETIMEDOUT &&
           error != EHOSTUNREACH && error != ENETUNREACH;
}

static void start_probe(evutil_socket_t fd, short events, void *arg);

static void
schedule_probe(Endpoint *endpoint, uint32_t ms)
{
    EndWatch *watch = &endpoint->watch;
    if (watch->timer == NULL) {
        Endpoint_Ref(endpoint);
        watch->timer =
            event_new(endpoint->gateway->base, -1, 0, start_probe, endpoint);
    }
    struct timeval delay = {
        .tv_sec = ms / 1000,
        .tv_usec = ms % 1000 * US_PER_MS,
    };
    event_add(watch->timer, &delay);
}

/* Counts an attempt without a reply.
 * @return true when the next attempt shall tell whether the endpoint ended. */
static bool
count_unanswered(Endpoint *endpoint)
{
    EndWatch *watch = &endpoint->watch;
    if (++watch->unanswered < UNANSWERED_MAX) {
        return watch->history.count > 0;
    }
    count_end(endpoint, END_PRESUMED, "it does not reply");
    return false;
}

void
EndWatch_OnUnanswered(Endpoint *endpoint)
{
    if (count_unanswered(endpoint) && !is_probing(&endpoint->watch)) {
        schedule_probe(endpoint, PROBE_RETRY_MS);
    }
}

static void
on_probe_event(struct bufferevent *probe, short events, void *arg)
{
    Endpoint *endpoint = arg;
    bool connected = (events & BEV_EVENT_CONNECTED) != 0;
    bool refused = EndWatch_IsRefusal(events);
    endpoint->watch.probe = NULL;
    bufferevent_free(probe);
    if (refused) {
        EndWatch_OnEnded(endpoint, "it refuses connections");
    }
    else if (!connected && count_unanswered(endpoint)) {
        schedule_probe(endpoint, PROBE_RETRY_MS);
        return;
    }
    else if (connected &&
             Clock_Now() - endpoint->watch.suspected_at < PROBE_AGAIN_MAX_US)
    {
        schedule_probe(endpoint, PROBE_AGAIN_MS);
        return;
    }
    end_probing(endpoint);
}

/* Connects to the endpoint unless it was heard of since it was suspected. */
static void
start_probe(evutil_socket_t fd, short events, void *arg)
{
    Endpoint *endpoint = arg;
    EndWatch *watch = &endpoint->watch;
    Address address;
    if (watch->history.count == 0 || watch->heard_at > watch->suspected_at ||
        Address_Parse(endpoint->address, &address, NULL) != ERR_OK)
    {
        end_probing(endpoint);
        return;
    }
    watch->probe = bufferevent_socket_new(endpoint->gateway->base, -1,
                                          BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(watch->probe, NULL, NULL, on_probe_event, endpoint);
    struct timeval limit = {.tv_usec = PROBE_TIMEOUT_MS * US_PER_MS};
    bufferevent_set_timeouts(watch->probe, &limit, &limit);
    bufferevent_enable(watch->probe, EV_READ | EV_WRITE);
    Counter_Add(Counter_Get("gateway_endpoint_probes_total",
                            "Connections dialled to find out whether an "
                            "endpoint has ended."),
                1);
    if (bufferevent_socket_connect(watch->probe,
                                   (struct sockaddr *)&address.storage,
                                   (int)address.length) != 0)
    {
        LOG_WARN(GATEWAY_PART, "Failed to probe an endpoint. id=%s",
                 endpoint->id);
        end_probing(endpoint);
    }
}

/* ---- Runs ---- */

static void
on_survived(void *arg, const EndedRun *run)
{
    const Endpoint *endpoint = arg;
    if (EndedRun_IsAcquittal(run)) {
        Suspects_OnSurvived(endpoint->gateway->suspects, &run->subjects);
    }
}

void
EndWatch_OnHeard(Endpoint *endpoint)
{
    EndWatch *watch = &endpoint->watch;
    watch->heard_at = Clock_Now();
    watch->unanswered = 0;
    watch->ended = END_UNKNOWN;
    RunHistory_RemoveSurvived(&watch->history, watch->heard_at, on_survived,
                              endpoint);
}

void
EndWatch_OnRunEnded(Endpoint *endpoint, const EndedRun *run)
{
    EndWatch *watch = &endpoint->watch;
    RunHistory_Add(&watch->history, run);
    if (run->end == RUN_ANSWERED) {
        return;
    }
    watch->suspected_at = run->at;
    if (watch->ended != END_UNKNOWN) {
        count_end(endpoint, watch->ended, "it had ended before the run did");
        return;
    }
    TimeUs silent = run->at - MAX(run->started_at, watch->heard_at);
    if (!is_probing(watch) &&
        (run->end != RUN_CANCELLED || silent >= SILENCE_MIN_US))
    {
        schedule_probe(endpoint, PROBE_DELAY_MS);
    }
}

void
EndWatch_OnUnexpectedClose(Endpoint *endpoint)
{
    EndWatch *watch = &endpoint->watch;
    watch->suspected_at = Clock_Now();
    if (!is_probing(watch) && watch->history.count > 0) {
        schedule_probe(endpoint, PROBE_DELAY_MS);
    }
}
