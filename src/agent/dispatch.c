/** @file
 * Dispatches: which of them run, and what is said of the others. A refusal
 * says "not run", so it is sent only when that is proved.
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

/* A path that can stand in a request line. */
static bool
is_path(const char *path)
{
    for (const char *at = path; *at != '\0'; at++) {
        if (!g_ascii_isgraph(*at)) {
            return false;
        }
    }
    return path[0] == '/';
}

static void
refuse(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
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

/* True when the request provably did not run here. As long as the queue has
 * forgotten no tombstone, a request that it does not know has not run. */
static bool
did_not_run(const Agent *agent, RequestId id, RefuseReason reason)
{
    bool queue_knows_all = agent->ended_id_bound < AGENT_ENDED_IDS_MAX;
    return Wants_DidNotRun(agent->wants, id) ||
           (reason != REFUSE_DUPLICATE && queue_knows_all);
}

/* Answers a dispatch that the queue did not take. */
static void
answer_untaken(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
               RefuseReason reason)
{
    RequestId id = {dispatch->id->high, dispatch->id->low};
    if (did_not_run(agent, id, reason)) {
        Wants_Remove(agent->wants, id);
        Wants_NoteNotRun(agent->wants, id);
        refuse(agent, link, dispatch,
               reason == REFUSE_DUPLICATE ? REFUSE_LAPSED : reason);
    }
    else if (g_hash_table_lookup(agent->answers, &id) == NULL) {
        AgentAnswer_SendUnknown(link, id);
    }
}

/* What the queue does not know of a dispatch. */
static RefuseReason
check_dispatch(const Agent *agent, const Wire__Dispatch *dispatch,
               const Method *method)
{
    if (method == NULL || !is_path(dispatch->path)) {
        return REFUSE_UNFIT;
    }
    if (dispatch->deadline_ms == 0) {
        return REFUSE_DEADLINE;
    }
    if (AgentControl_Quarantined(agent, dispatch->fingerprint)) {
        return REFUSE_QUARANTINED;
    }
    return REFUSE_NONE;
}

void
AgentDispatch_Take(Agent *agent, Link *link, const Wire__Dispatch *dispatch)
{
    RequestId id = {.high = dispatch->id->high, .low = dispatch->id->low};
    TimeUs now = Clock_Now();
    RefuseReason reason =
        Queue_OnDispatch(agent->queue, id, dispatch->grant_id, now);
    agent->ended_id_bound++;
    if (reason != REFUSE_NONE) {
        answer_untaken(agent, link, dispatch, reason);
        return;
    }
    const Method *method = find_method(dispatch->method);
    reason = check_dispatch(agent, dispatch, method);
    if (reason != REFUSE_NONE) {
        /* The queue keeps a tombstone: it never runs here. */
        QueueResult nothing = {.complete = false};
        Queue_OnFinished(agent->queue, id, &nothing, now);
        Wants_Remove(agent->wants, id);
        Wants_NoteNotRun(agent->wants, id);
        refuse(agent, link, dispatch, reason);
        return;
    }
    AgentRun_Start(agent, link, dispatch, method->type);
}
