/** @file
 * Periodic HTTP probe of the keeper's engine.
 */
#include "keeper/probe.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

#include "kernel/clock.h"
#include "sched/rest.h"
#include "wire/address.h"
#include "wire/http.h"

/* Time between probes. A crash closes open connections at once, so the period
 * matters for engines that hang or that answer again. */
#define PROBE_PERIOD_MS 250
/* Longest wait for the answer to one probe. */
#define PROBE_TIMEOUT_MS 300
/* Longest time from a probe to the end of its answer, however much comes. */
#define PROBE_ANSWER_MS 600
/* Largest head, body and unread input of an answer. */
#define ANSWER_MAX_BYTES (64 * 1024)
/* Number of consecutive failures after which the engine is reported as not
 * answering. The second probe follows the first failure at once. */
#define UNRESPONSIVE_FAILURES 2

struct Probe {
    struct event_base *base;
    Address address;
    char *path;
    const ProbeOps *ops;
    void *owner;
    struct evhttp_connection *connection;
    struct event *timer;
    struct event *deadline; /* ends a probe whose answer does not end */
    unsigned consecutive_failures;
    bool unresponsive;
    bool keeps_open; /* the last answer leaves the connection open */
    bool freed; /* set by Probe_Free(); on_answer() then starts no new probe */
};

static void
schedule_probe(Probe *probe, unsigned ms)
{
    struct timeval delay = {.tv_sec = ms / 1000,
                            .tv_usec = ms % 1000 * US_PER_MS};
    event_add(probe->timer, &delay);
}

static void
record_result(Probe *probe, bool answered)
{
    probe->consecutive_failures =
        answered ? 0 : probe->consecutive_failures + 1;
    bool unresponsive = probe->consecutive_failures >= UNRESPONSIVE_FAILURES;
    if (unresponsive != probe->unresponsive) {
        probe->unresponsive = unresponsive;
        probe->ops->changed(probe->owner, !unresponsive);
    }
}

/* Sets the time limit of reads, or none while the connection is idle, which
 * then stays open until the engine closes it. */
static void
limit_reads(Probe *probe, bool limited)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(probe->connection);
    struct timeval limit = {.tv_usec = PROBE_TIMEOUT_MS * US_PER_MS};
    bufferevent_set_timeouts(stream, limited ? &limit : NULL, &limit);
}

/* Returns whether an answer ends its connection. */
static bool
ends_connection(struct evhttp_request *request)
{
    const char *field = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Connection");
    return field != NULL && g_ascii_strcasecmp(field, "close") == 0;
}

static void
report_answer(Probe *probe, struct evhttp_request *request)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    const char *body = length > 0 ? (const char *)evbuffer_pullup(in, -1) : "";
    probe->keeps_open = !ends_connection(request);
    if (evhttp_request_get_response_code(request) == HTTP_OK) {
        probe->ops->answered(probe->owner, body, length);
    }
}

/* Returns the time until the next probe after an answer. */
static unsigned
pause_after(struct evhttp_request *request)
{
    const char *rest = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Retry-After");
    bool asks_for_rest =
        evhttp_request_get_response_code(request) == HTTP_SERVUNAVAIL &&
        rest != NULL;
    return MAX(asks_for_rest ? Rest_Parse(rest) : 0, PROBE_PERIOD_MS);
}

static void
on_answer(struct evhttp_request *request, void *arg)
{
    Probe *probe = arg;
    if (probe->freed) {
        return;
    }
    event_del(probe->deadline);
    bool answered =
        request != NULL && evhttp_request_get_response_code(request) > 0;
    record_result(probe, answered);
    if (answered) {
        limit_reads(probe, false);
        report_answer(probe, request);
        schedule_probe(probe, pause_after(request));
        return;
    }
    probe->ops->lost(probe->owner);
    schedule_probe(probe,
                   probe->consecutive_failures != 1 ? PROBE_PERIOD_MS : 0);
}

static void
send_probe(Probe *probe)
{
    struct evhttp_request *request = evhttp_request_new(on_answer, probe);
    limit_reads(probe, true);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      probe->address.host);
    if (evhttp_make_request(probe->connection, request, EVHTTP_REQ_GET,
                            probe->path) != 0)
    {
        record_result(probe, false);
        schedule_probe(probe, PROBE_PERIOD_MS);
        return;
    }
    struct timeval limit = {.tv_usec = PROBE_ANSWER_MS * US_PER_MS};
    event_add(probe->deadline, &limit);
}

/* Probes again at once, since a restart of the engine closes its
 * connections. */
static void
on_closed(struct evhttp_connection *connection, void *arg)
{
    Probe *probe = arg;
    if (probe->freed || !probe->keeps_open) {
        return;
    }
    probe->keeps_open = false;
    probe->ops->lost(probe->owner);
    if (event_pending(probe->timer, EV_TIMEOUT, NULL)) {
        schedule_probe(probe, 0);
    }
}

static void
open_connection(Probe *probe)
{
    probe->connection = evhttp_connection_base_new(
        probe->base, NULL, probe->address.host, probe->address.port);
    struct timeval limit = {.tv_usec = PROBE_TIMEOUT_MS * US_PER_MS};
    evhttp_connection_set_timeout_tv(probe->connection, &limit);
    evhttp_connection_set_closecb(probe->connection, on_closed, probe);
    Http_LimitInput(probe->connection, ANSWER_MAX_BYTES, ANSWER_MAX_BYTES);
    evhttp_connection_set_max_body_size(probe->connection, ANSWER_MAX_BYTES);
}

/* Replaces the connection of a probe whose answer does not end. */
static void
on_deadline(evutil_socket_t fd, short events, void *arg)
{
    Probe *probe = arg;
    probe->keeps_open = false;
    evhttp_connection_free(probe->connection);
    open_connection(probe);
    probe->ops->lost(probe->owner);
    record_result(probe, false);
    schedule_probe(probe, PROBE_PERIOD_MS);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    send_probe(arg);
}

Probe *
Probe_New(struct event_base *base, const char *address, const char *path,
          const ProbeOps *ops, void *owner, Error *err)
{
    Address parsed;
    if (Address_Parse(address, &parsed, err) != ERR_OK) {
        return NULL;
    }
    Probe *probe = g_new0(Probe, 1);
    probe->base = base;
    probe->address = parsed;
    probe->path = g_strdup(path);
    probe->ops = ops;
    probe->owner = owner;
    probe->deadline = event_new(base, -1, 0, on_deadline, probe);
    probe->timer = event_new(base, -1, 0, on_timer, probe);
    open_connection(probe);
    schedule_probe(probe, PROBE_PERIOD_MS);
    return probe;
}

void
Probe_Free(Probe *probe)
{
    probe->freed = true;
    evhttp_connection_free(probe->connection);
    event_free(probe->timer);
    event_free(probe->deadline);
    g_free(probe->path);
    g_free(probe);
}
