/** @file
 * Handling of dispatches: starts the request or replies why it does not run.
 * A refusal states that the request has not run, so that it may be sent to
 * another endpoint. It is therefore sent only if that is certain.
 */
#include "agent/state.h"

#include <string.h>

#include "kernel/counter.h"

typedef struct Method {
    const char *name;
    enum evhttp_cmd_type type;
} Method;

static const Method methods[] = {
    {"GET", EVHTTP_REQ_GET},     {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},     {"DELETE", EVHTTP_REQ_DELETE},
    {"PATCH", EVHTTP_REQ_PATCH},
};

static const Method *
find_method(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return &methods[i];
        }
    }
    return NULL;
}

/* Returns true if the path is valid in an HTTP request line. */
static bool
is_valid_path(const char *path)
{
    for (const char *at = path; *at != '\0'; at++) {
        if (!g_ascii_isgraph(*at)) {
            return false;
        }
    }
    return path[0] == '/';
}

static void
send_refuse(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
            RefuseReason reason)
{
    char counter[64];
    g_snprintf(counter, sizeof(counter), "agent_refused_total{reason=\"%s\"}",
               RefuseReason_Name(reason));
    Counter_Add(Counter_Get(counter, "Wants and dispatches refused."), 1);
    Wire__RequestId id = *dispatch->id;
    Wire__Refuse message = WIRE__REFUSE__INIT;
    message.id = &id;
    message.grant_id = dispatch->grant_id;
    message.reason = (Wire__RefuseReason)reason;
    message.retry_after_ms = 1000;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_REFUSE;
    frame.refuse = &message;
    Link_Send(link, &frame);
}

/* Returns true if the request certainly did not run here. As long as the
 * queue has removed no ended id, a request without an ended id has not run. */
static bool
did_not_run(const Agent *agent, RequestId id, RefuseReason reason)
{
    bool has_all_ended_ids = agent->ended_id_bound < AGENT_ENDED_IDS_MAX;
    return Wants_DidNotRun(agent->wants, id) ||
           (reason != REFUSE_DUPLICATE && has_all_ended_ids);
}

/* Replies to a dispatch that the queue refused: with a refusal if the request
 * certainly did not run, else with Unknown unless its answer is stored. */
static void
reject_dispatch(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
                RefuseReason reason)
{
    RequestId id = {dispatch->id->high, dispatch->id->low};
    if (did_not_run(agent, id, reason)) {
        Wants_Remove(agent->wants, id);
        Wants_RecordNotRun(agent->wants, id);
        send_refuse(agent, link, dispatch,
                    reason == REFUSE_DUPLICATE ? REFUSE_LAPSED : reason);
    }
    else if (g_hash_table_lookup(agent->answers, &id) == NULL) {
        AgentAnswer_SendUnknown(link, id);
    }
}

/* Checks the fields of a dispatch that the queue does not check. */
static RefuseReason
check_dispatch(const Agent *agent, const Wire__Dispatch *dispatch,
               const Method *method)
{
    if (method == NULL || !is_valid_path(dispatch->path)) {
        return REFUSE_UNFIT;
    }
    if (dispatch->deadline_ms == 0) {
        return REFUSE_DEADLINE;
    }
    Subjects subjects = AgentLinks_ReadSubjects(
        dispatch->fingerprint, dispatch->parts, dispatch->n_parts);
    if (AgentControl_IsQuarantined(agent, &subjects)) {
        return REFUSE_QUARANTINED;
    }
    return REFUSE_NONE;
}

void
AgentDispatch_OnDispatch(Agent *agent, Link *link,
                         const Wire__Dispatch *dispatch)
{
    RequestId id = {.high = dispatch->id->high, .low = dispatch->id->low};
    TimeUs now = Clock_Now();
    RefuseReason reason =
        Queue_OnDispatch(agent->queue, id, dispatch->grant_id, now);
    agent->ended_id_bound++;
    if (reason != REFUSE_NONE) {
        reject_dispatch(agent, link, dispatch, reason);
        return;
    }
    const Method *method = find_method(dispatch->method);
    reason = check_dispatch(agent, dispatch, method);
    if (reason != REFUSE_NONE) {
        /* The queue stores the ended id, so the request never runs here. */
        QueueResult nothing = {.complete = false};
        Queue_OnFinished(agent->queue, id, &nothing, now);
        Wants_Remove(agent->wants, id);
        Wants_RecordNotRun(agent->wants, id);
        send_refuse(agent, link, dispatch, reason);
        return;
    }
    AgentRun_Start(agent, link, dispatch, method->type);
}
