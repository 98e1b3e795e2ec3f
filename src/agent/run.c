/** @file
 * Runs a dispatched request on the endpoint over HTTP.
 *
 * Each run opens a new connection. If the endpoint closed a persistent
 * connection while a request was being sent on it, it would be unknown whether
 * the request ran.
 */
#include "agent/state.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "agent/run_input.h"
#include "agent/usage.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "sched/named_rate.h"
#include "sched/rest.h"

/* TCP keepalive detects a dead connection within about
 * KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3
#define UNACKED_TIMEOUT_MS 10000
#define DETAIL_BYTES 96
#define FINAL_STATUS_MIN 200
#define FINAL_STATUS_MAX 599
#define DUMP_RUNS_MAX 64
#define PREFIX_HEADER "X-Laurellift-Prefix"
#define RATE_HEADER "X-Laurellift-Rate-Limit"

struct Run {
    Agent *agent;
    Answer *answer;
    RequestId id;
    Subjects subjects;
    int status;    /* of the answer; 0 before its head */
    bool has_work; /* the want was found, so that work is valid */
    WorkSpec work;
    /* Number of leading blocks that the cache model held at the start. */
    uint32_t expected_blocks;
    struct evhttp_connection *connection;
    RunInput input;
    struct evhttp_request *request;
    struct event *deadline_timer;
    struct event *pause; /* stops reading after evhttp's callback returns */
    enum evhttp_request_error error;
    bool failed;
    Usage usage;
    TimeUs started_at;
    TimeUs first_piece_at;
};

typedef struct Ending {
    Wire__EndOutcome outcome;
    const char *name; /* outcome label of agent_runs_total */
    const char *detail;
} Ending;

static void
count_ending(const char *name)
{
    char counter[64];
    g_snprintf(counter, sizeof(counter), "agent_runs_total{outcome=\"%s\"}",
               name);
    Counter_Add(Counter_Get(counter, "Runs that ended, by outcome."), 1);
}

static void
free_connection(evutil_socket_t fd, short events, void *connection)
{
    evhttp_connection_free(connection);
}

static void
free_run(Run *run)
{
    g_hash_table_remove(run->agent->runs, &run->id);
    RunInput_Close(&run->input);
    if (run->deadline_timer != NULL) {
        event_free(run->deadline_timer);
    }
    event_free(run->pause);
    g_free(run);
}

/* Counts the prompt tokens of a run. Uncached ones of an incomplete run are
 * also counted as wasted. */
static void
count_tokens(const Run *run, const UsageTokens *tokens, bool complete)
{
    if (!run->has_work || run->work.prompt_tokens == 0) {
        return;
    }
    uint32_t prompt = run->work.prompt_tokens;
    uint32_t cached = MIN(tokens->cached, prompt);
    Counter_Add(Counter_Get("agent_prompt_tokens_total",
                            "Prompt tokens of requests that ran."),
                prompt);
    Counter_Add(Counter_Get("agent_cached_tokens_total",
                            "Prompt tokens found in the prefix cache."),
                cached);
    if (!complete) {
        Counter_Add(Counter_Get("agent_wasted_prefill_tokens_total",
                                "Uncached prompt tokens of runs that did "
                                "not complete."),
                    prompt - cached);
    }
}

/* Records the run as one that the endpoint may end under. One that was
 * cancelled while it was being answered is no suspect. */
static void
record_end(const Run *run, const Ending *ending)
{
    bool cancelled = ending->outcome == WIRE__END_OUTCOME__END_CANCELLED;
    if (ending->outcome == WIRE__END_OUTCOME__END_NOT_RUN ||
        run->subjects.request == 0 || (cancelled && run->first_piece_at != 0))
    {
        return;
    }
    bool complete = ending->outcome == WIRE__END_OUTCOME__END_COMPLETE;
    EndedRun ended = {
        .subjects = run->subjects,
        .wrote = complete && run->status >= 200 && run->status < 300,
        .end = complete    ? RUN_ANSWERED
               : cancelled ? RUN_CANCELLED
                           : RUN_BROKEN,
        .alone = run->has_work && run->work.alone,
        .started_at = run->started_at,
        .at = Clock_Now(),
    };
    AgentCrash_OnRunEnded(run->agent->crashes, &ended);
}

static void
finish_run(Run *run, const Ending *ending)
{
    Agent *agent = run->agent;
    bool complete = ending->outcome == WIRE__END_OUTCOME__END_COMPLETE;
    bool ran = ending->outcome != WIRE__END_OUTCOME__END_NOT_RUN;
    UsageTokens tokens = Usage_Read(&run->usage);
    if (complete && run->has_work) {
        AgentReport_UpdateCache(agent, &run->work, run->expected_blocks,
                                tokens.cached_stated ? (int64_t)tokens.cached
                                                     : -1);
    }
    record_end(run, ending);
    if (ran) {
        count_tokens(run, &tokens, complete);
    }
    count_ending(ending->name);
    AgentAnswer_End(run->answer, ending->outcome, ending->detail,
                    tokens.cached);
    QueueResult result = {
        .first_piece_at = run->first_piece_at,
        .output_tokens = tokens.output,
        .cached_tokens = tokens.cached,
        .complete = complete,
    };
    Queue_OnFinished(agent->queue, run->id, &result, Clock_Now());
    free_run(run);
    AgentLinks_FlushQueue(agent);
}

/* Applies the rate limit that the answer names, if any. */
static void
read_rate_limit(const Run *run)
{
    const char *text = evhttp_find_header(
        evhttp_request_get_input_headers(run->request), RATE_HEADER);
    double rate = text == NULL ? 0 : NamedRate_Parse(text);
    if (text != NULL && rate == 0) {
        if (!run->agent->bad_rate_logged) {
            LOG_WARN(AGENT_PART, "Invalid rate limit is ignored. endpoint=%s",
                     run->agent->own->name);
        }
        run->agent->bad_rate_logged = true;
        return;
    }
    if (Queue_OnNamedRate(run->agent->queue, rate, run->started_at,
                          Clock_Now())) {
        LOG_INFO(AGENT_PART, "Rate limit of the endpoint. rate=%.3f", rate);
    }
}

/* Applies the rest that a refusal asks for, or an answer after one. */
static void
read_rest(const Run *run)
{
    WantQueue *queue = run->agent->queue;
    if (evhttp_request_get_response_code(run->request) != HTTP_SERVUNAVAIL) {
        Queue_OnServed(queue, Clock_Now());
        return;
    }
    const char *text = evhttp_find_header(
        evhttp_request_get_input_headers(run->request), "Retry-After");
    uint32_t ms = text == NULL ? 0 : Rest_Parse(text);
    if (Queue_OnRest(queue, ms, Clock_Now())) {
        LOG_INFO(AGENT_PART, "Endpoint asks for rest. endpoint=%s rest_ms=%u",
                 run->agent->own->name, ms);
    }
}

static void
forward_head(Run *run)
{
    if (AgentAnswer_HasHead(run->answer)) {
        return;
    }
    read_rate_limit(run);
    read_rest(run);
    const char *type = evhttp_find_header(
        evhttp_request_get_input_headers(run->request), "Content-Type");
    int status = evhttp_request_get_response_code(run->request);
    run->status = status;
    AgentAnswer_SetHead(run->answer, (uint32_t)status,
                        type == NULL ? "" : type);
}

bool
AgentRun_IsFinalStatus(int status)
{
    return status >= FINAL_STATUS_MIN && status <= FINAL_STATUS_MAX;
}

static bool
has_final_status(const Run *run)
{
    return AgentRun_IsFinalStatus(
        evhttp_request_get_response_code(run->request));
}

static void
on_chunk(struct evhttp_request *request, void *arg)
{
    Run *run = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    if (!has_final_status(run)) {
        evbuffer_drain(in, size);
        return;
    }
    forward_head(run);
    if (size == 0) {
        return;
    }
    if (run->first_piece_at == 0) {
        run->first_piece_at = Clock_Now();
        Queue_OnFirstPiece(run->agent->queue, run->id, run->first_piece_at);
    }
    const uint8_t *data = evbuffer_pullup(in, -1);
    Usage_Scan(&run->usage, (const char *)data, size);
    AgentAnswer_AddPiece(run->answer, data, size);
    evbuffer_drain(in, size);
    if (AgentAnswer_IsFull(run->answer)) {
        /* evhttp enables reading after this callback, so the pause must be
         * deferred. */
        event_active(run->pause, EV_TIMEOUT, 0);
    }
}

void
AgentRun_SetReading(Run *run, bool reading)
{
    struct bufferevent *socket =
        evhttp_connection_get_bufferevent(run->connection);
    if (reading) {
        event_del(run->pause);
        bufferevent_enable(socket, EV_READ);
    }
    else {
        bufferevent_disable(socket, EV_READ);
    }
}

static void
on_pause(evutil_socket_t fd, short events, void *arg)
{
    Run *run = arg;
    if (AgentAnswer_IsFull(run->answer)) {
        AgentRun_SetReading(run, false);
    }
}

/* Returns true if the answer itself marks its end: by Content-Length, chunked
 * encoding, a status without a body, or the last event of a stream. Otherwise
 * a closed connection may have truncated it. */
static bool
has_end_marker(const Run *run)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(run->request);
    int status = evhttp_request_get_response_code(run->request);
    return evhttp_find_header(headers, "Content-Length") != NULL ||
           evhttp_find_header(headers, "Transfer-Encoding") != NULL ||
           status == 204 || status == 304 || Usage_StreamDone(&run->usage);
}

static Ending
broken_ending(const Run *run, char detail[DETAIL_BYTES])
{
    Ending ending = {
        .outcome = WIRE__END_OUTCOME__END_BROKEN,
        .name = "broken",
        .detail = detail,
    };
    if (run->failed && run->error == EVREQ_HTTP_TIMEOUT) {
        ending.name = "silent";
        g_snprintf(detail, DETAIL_BYTES,
                   "The endpoint sent nothing for %u ms.",
                   run->agent->own->idle_ms);
        return ending;
    }
    g_strlcpy(detail, "The endpoint's connection broke.", DETAIL_BYTES);
    return ending;
}

static const Ending ending_not_run = {
    .outcome = WIRE__END_OUTCOME__END_NOT_RUN,
    .name = "not_run",
    .detail = "Could not connect to the endpoint.",
};
static const Ending ending_complete = {
    .outcome = WIRE__END_OUTCOME__END_COMPLETE,
    .name = "complete",
    .detail = "",
};
static const Ending ending_truncated = {
    .outcome = WIRE__END_OUTCOME__END_BROKEN,
    .name = "cut",
    .detail = "The answer has no length and no end marker.",
};

static const Ending ending_bad_status = {
    .outcome = WIRE__END_OUTCOME__END_BROKEN,
    .name = "bad_status",
    .detail = "The answer's status is not that of a final answer.",
};

static void
on_error(enum evhttp_request_error error, void *arg)
{
    Run *run = arg;
    run->error = error;
    run->failed = true;
}

/* evhttp passes NULL if an established connection failed, and a request with
 * status 0 if no connection was established. */
static void
on_done(struct evhttp_request *request, void *arg)
{
    Run *run = arg;
    Agent *agent = run->agent;
    event_base_once(agent->base, -1, EV_TIMEOUT, free_connection,
                    run->connection, NULL);
    if (request == NULL) {
        char detail[DETAIL_BYTES];
        Ending ending = broken_ending(run, detail);
        finish_run(run, &ending);
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        AgentCrash_OnRefused(agent->crashes);
        finish_run(run, &ending_not_run);
        return;
    }
    if (!has_final_status(run)) {
        finish_run(run, &ending_bad_status);
        return;
    }
    on_chunk(request, run);
    finish_run(run,
               has_end_marker(run) ? &ending_complete : &ending_truncated);
}

static void
on_deadline(evutil_socket_t fd, short events, void *arg)
{
    AgentRun_Cancel(arg, "The deadline has passed.");
}

static void
add_prefix_header(const Run *run, struct evkeyvalq *headers)
{
    if (!run->has_work || run->work.prefix_count == 0) {
        return;
    }
    GString *value = g_string_new(NULL);
    for (uint32_t i = 0; i < run->work.prefix_count; i++) {
        g_string_append_printf(value, "%s%016" G_GINT64_MODIFIER "x",
                               i == 0 ? "" : ",", run->work.prefix[i]);
    }
    evhttp_add_header(headers, PREFIX_HEADER, value->str);
    g_string_free(value, TRUE);
}

static void
fill_request(Run *run, const Wire__Dispatch *dispatch)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(run->request);
    evhttp_add_header(headers, "Host", run->agent->own->endpoint);
    evhttp_add_header(headers, "Connection", "close");
    for (size_t i = 0; i < dispatch->n_headers; i++) {
        evhttp_add_header(headers, dispatch->headers[i]->name,
                          dispatch->headers[i]->value);
    }
    add_prefix_header(run, headers);
    if (dispatch->body.len > 0) {
        /* evhttp adds the length for some methods only. */
        char length[24];
        g_snprintf(length, sizeof(length), "%zu", dispatch->body.len);
        evhttp_add_header(headers, "Content-Length", length);
        evbuffer_add(evhttp_request_get_output_buffer(run->request),
                     dispatch->body.data, dispatch->body.len);
    }
}

static void
enable_keepalive(Run *run)
{
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    int period = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    unsigned unacked = UNACKED_TIMEOUT_MS;
    struct bufferevent *socket =
        evhttp_connection_get_bufferevent(run->connection);
    evutil_socket_t fd = bufferevent_getfd(socket);
    if (fd < 0) {
        return;
    }
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &period, sizeof(period));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
}

static struct timeval
timeval_from_ms(uint32_t ms)
{
    return (struct timeval){
        .tv_sec = ms / 1000,
        .tv_usec = (ms % 1000) * US_PER_MS,
    };
}

static Run *
new_run(Agent *agent, Link *link, const Wire__Dispatch *dispatch)
{
    Run *run = g_new0(Run, 1);
    run->agent = agent;
    run->id = (RequestId){dispatch->id->high, dispatch->id->low};
    run->subjects = AgentLinks_ReadSubjects(
        dispatch->fingerprint, dispatch->parts, dispatch->n_parts);
    run->started_at = Clock_Now();
    WantInfo *info = Wants_Find(agent->wants, run->id);
    if (info != NULL) {
        run->has_work = true;
        run->work = info->work;
        run->expected_blocks = Cache_CountLeading(
            agent->cache, info->work.prefix, info->work.prefix_count);
    }
    Wants_RecordRun(agent->wants, run->id);
    run->answer = AgentAnswer_New(agent, link, run, dispatch);
    run->pause = event_new(agent->base, -1, 0, on_pause, run);
    run->deadline_timer = event_new(agent->base, -1, 0, on_deadline, run);
    struct timeval left = timeval_from_ms(dispatch->deadline_ms);
    event_add(run->deadline_timer, &left);
    g_hash_table_insert(agent->runs, &run->id, run);
    return run;
}

/* Opens the connection and sends the request. May end and free the run. */
static void
send_request(Run *run, const Wire__Dispatch *dispatch,
             enum evhttp_cmd_type method)
{
    Agent *agent = run->agent;
    const Address *address = &agent->endpoint_address;
    run->connection = evhttp_connection_base_new(agent->base, NULL,
                                                 address->host, address->port);
    struct timeval idle = timeval_from_ms(agent->own->idle_ms);
    RunInput_Open(&run->input, &agent->inputs, agent->base, run->connection);
    evhttp_connection_set_timeout_tv(run->connection, &idle);
    run->request = evhttp_request_new(on_done, run);
    evhttp_request_set_chunked_cb(run->request, on_chunk);
    evhttp_request_set_error_cb(run->request, on_error);
    fill_request(run, dispatch);
    RequestId id = run->id;
    if (evhttp_make_request(run->connection, run->request, method,
                            dispatch->path) != 0)
    {
        event_base_once(agent->base, -1, EV_TIMEOUT, free_connection,
                        run->connection, NULL);
        finish_run(run, &ending_not_run);
        return;
    }
    if (g_hash_table_lookup(agent->runs, &id) == run) {
        enable_keepalive(run);
    }
}

void
AgentRun_Start(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
               enum evhttp_cmd_type method)
{
    send_request(new_run(agent, link, dispatch), dispatch, method);
}

void
AgentRun_Cancel(Run *run, const char *why)
{
    RunInput_Close(&run->input);
    evhttp_connection_free(run->connection);
    finish_run(run, &(Ending){
                        .outcome = WIRE__END_OUTCOME__END_CANCELLED,
                        .name = "cancelled",
                        .detail = why,
                    });
}

void
AgentRun_Tick(Agent *agent, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Run *run = value;
        if (AgentAnswer_IsAbandoned(run->answer, now)) {
            AgentRun_Cancel(run, "The entry did not reconnect in time.");
            g_hash_table_iter_init(&iter, agent->runs);
        }
    }
}

void
AgentRun_FreeAll(Agent *agent)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Run *run = value;
        struct evhttp_connection *connection = run->connection;
        free_run(run);
        evhttp_connection_free(connection);
        g_hash_table_iter_init(&iter, agent->runs);
    }
}

void
AgentRun_Dump(const Agent *agent, json_t *out)
{
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, agent->runs);
    while (json_array_size(out) < DUMP_RUNS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value))
    {
        const Run *run = value;
        json_int_t age_ms = (now - run->started_at) / US_PER_MS;
        json_array_append_new(
            out, json_pack("{s:i, s:I, s:I, s:b}", "tier", (int)run->work.tier,
                           "age_ms", age_ms, "prompt_tokens",
                           (json_int_t)run->work.prompt_tokens, "answering",
                           run->first_piece_at != 0));
    }
}
