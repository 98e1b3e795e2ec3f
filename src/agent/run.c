/** @file
 * Runs: a dispatched request on the endpoint, over HTTP, and its answer on
 * the way back to the entry.
 */
#include "agent/state.h"

#include <string.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include "kernel/log.h"

struct Run {
    Agent *agent;
    RequestId id;
    uint64_t token; /* entry that the answer goes to */
    struct evhttp_connection *connection;
    struct evhttp_request *request;
    bool head_sent;
    uint64_t length; /* bytes of the answer so far */
    XXH3_state_t *hash;
    TimeUs first_piece;
};

guint
AgentRun_HashId(gconstpointer id)
{
    const RequestId *request = id;
    return (guint)(request->high ^ request->low);
}

gboolean
AgentRun_EqualId(gconstpointer a, gconstpointer b)
{
    const RequestId *first = a;
    const RequestId *second = b;
    return work_same_id(*first, *second);
}

static Wire__RequestId
wire_id(RequestId id)
{
    Wire__RequestId wire = WIRE__REQUEST_ID__INIT;
    wire.high = id.high;
    wire.low = id.low;
    return wire;
}

static void
send_head(Run *run)
{
    if (run->head_sent) {
        return;
    }
    run->head_sent = true;
    Wire__RequestId id = wire_id(run->id);
    Wire__AnswerHead head = WIRE__ANSWER_HEAD__INIT;
    head.id = &id;
    head.status = (uint32_t)evhttp_request_get_response_code(run->request);
    const char *type = evhttp_find_header(
        evhttp_request_get_input_headers(run->request), "Content-Type");
    head.content_type = type == NULL ? "" : (char *)type;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_HEAD;
    frame.answer_head = &head;
    AgentLinks_Send(run->agent, run->token, &frame);
}

static void
on_chunk(struct evhttp_request *request, void *arg)
{
    Run *run = arg;
    send_head(run);
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    if (size == 0) {
        return;
    }
    if (run->first_piece == 0) {
        run->first_piece = Clock_Now();
        Queue_FirstPiece(run->agent->queue, run->id, run->first_piece);
    }
    Wire__RequestId id = wire_id(run->id);
    Wire__AnswerPiece piece = WIRE__ANSWER_PIECE__INIT;
    piece.id = &id;
    piece.offset = run->length;
    piece.data.data = evbuffer_pullup(in, -1);
    piece.data.len = size;
    XXH3_64bits_update(run->hash, piece.data.data, size);
    run->length += size;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_PIECE;
    frame.answer_piece = &piece;
    AgentLinks_Send(run->agent, run->token, &frame);
    evbuffer_drain(in, size);
}

static void
send_end(Run *run, Wire__EndOutcome outcome, const char *detail)
{
    Wire__RequestId id = wire_id(run->id);
    Wire__AnswerEnd end = WIRE__ANSWER_END__INIT;
    end.id = &id;
    end.outcome = outcome;
    end.length = run->length;
    end.hash = XXH3_64bits_digest(run->hash);
    end.detail = (char *)detail;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ANSWER_END;
    frame.answer_end = &end;
    AgentLinks_Send(run->agent, run->token, &frame);
}

static void
free_run(Run *run)
{
    g_hash_table_remove(run->agent->runs, &run->id);
    XXH3_freeState(run->hash);
    g_free(run);
}

static void
finish(Run *run, Wire__EndOutcome outcome, const char *detail)
{
    Agent *agent = run->agent;
    send_end(run, outcome, detail);
    QueueResult result = {
        .first_piece = run->first_piece,
        .complete = outcome == WIRE__END_OUTCOME__END_COMPLETE,
    };
    Queue_Finished(agent->queue, run->id, &result, Clock_Now());
    free_run(run);
    AgentLinks_FlushQueue(agent);
}

static void
on_done(struct evhttp_request *request, void *arg)
{
    Run *run = arg;
    bool complete =
        request != NULL && evhttp_request_get_response_code(request) != 0;
    if (complete) {
        send_head(run);
        on_chunk(request, run);
    }
    finish(run,
           complete ? WIRE__END_OUTCOME__END_COMPLETE
                    : WIRE__END_OUTCOME__END_BROKEN,
           complete ? "" : "The endpoint's connection broke.");
}

static void
refuse_dispatch(Agent *agent, uint64_t token, const Wire__Dispatch *dispatch,
                RefuseReason reason)
{
    Wire__RequestId id = *dispatch->id;
    Wire__Refuse refuse = WIRE__REFUSE__INIT;
    refuse.id = &id;
    refuse.grant_id = dispatch->grant_id;
    refuse.reason = (Wire__RefuseReason)reason;
    refuse.retry_after_ms = 1000;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_REFUSE;
    frame.refuse = &refuse;
    AgentLinks_Send(agent, token, &frame);
}

static enum evhttp_cmd_type
method_of(const char *name)
{
    if (strcmp(name, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    if (strcmp(name, "PUT") == 0) {
        return EVHTTP_REQ_PUT;
    }
    if (strcmp(name, "DELETE") == 0) {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

static void
add_headers(Run *run, const Wire__Dispatch *dispatch)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(run->request);
    evhttp_add_header(headers, "Host", run->agent->own->endpoint);
    evhttp_add_header(headers, "Connection", "close");
    for (size_t i = 0; i < dispatch->n_headers; i++) {
        evhttp_add_header(headers, dispatch->headers[i]->name,
                          dispatch->headers[i]->value);
    }
    if (dispatch->body.len > 0) {
        evbuffer_add(evhttp_request_get_output_buffer(run->request),
                     dispatch->body.data, dispatch->body.len);
    }
}

void
AgentRun_Start(Agent *agent, uint64_t token, const Wire__Dispatch *dispatch)
{
    RequestId id = {.high = dispatch->id->high, .low = dispatch->id->low};
    RefuseReason reason =
        Queue_Dispatch(agent->queue, id, dispatch->grant_id, Clock_Now());
    if (reason != REFUSE_NONE) {
        refuse_dispatch(agent, token, dispatch, reason);
        return;
    }
    Run *run = g_new0(Run, 1);
    run->agent = agent;
    run->id = id;
    run->token = token;
    run->hash = XXH3_createState();
    XXH3_64bits_reset(run->hash);
    g_hash_table_insert(agent->runs, &run->id, run);
    const Address *address = &agent->endpoint_address;
    run->connection = evhttp_connection_base_new(agent->base, NULL,
                                                 address->host, address->port);
    evhttp_connection_free_on_completion(run->connection);
    run->request = evhttp_request_new(on_done, run);
    evhttp_request_set_chunked_cb(run->request, on_chunk);
    add_headers(run, dispatch);
    if (evhttp_make_request(run->connection, run->request,
                            method_of(dispatch->method), dispatch->path) != 0)
    {
        LOG_WARN(AGENT_PART, "Cannot reach the endpoint. endpoint=%s",
                 agent->own->name);
        finish(run, WIRE__END_OUTCOME__END_BROKEN, "Cannot reach it.");
    }
}

static void
abandon(Run *run)
{
    evhttp_cancel_request(run->request);
}

void
AgentRun_Cancel(Agent *agent, RequestId id)
{
    Run *run = g_hash_table_lookup(agent->runs, &id);
    if (run == NULL) {
        return;
    }
    abandon(run);
    finish(run, WIRE__END_OUTCOME__END_CANCELLED, "Cancelled.");
}

void
AgentRun_FreeAll(Agent *agent)
{
    GHashTableIter iter;
    gpointer run;
    g_hash_table_iter_init(&iter, agent->runs);
    while (g_hash_table_iter_next(&iter, NULL, &run)) {
        abandon(run);
        free_run(run);
        g_hash_table_iter_init(&iter, agent->runs);
    }
}
