/** @file
 * The agent's links, which entries open to it. They carry wants, grants,
 * dispatches, answers and reports of the agent's state.
 */
#include "agent/state.h"

#include <xxhash.h>

#include "kernel/counter.h"
#include "kernel/log.h"

/* Period at which an unchanged state report is sent. */
#define UNCHANGED_REPORT_INTERVAL_US US_PER_S
#define ACTIONS_PER_BATCH 64

uint64_t
AgentLinks_Token(const Link *link)
{
    return (uint64_t)(uintptr_t)Link_Data(link);
}

int
AgentLinks_Send(Agent *agent, uint64_t token, const Wire__Frame *frame)
{
    Link *link =
        g_hash_table_lookup(agent->entry_links, GSIZE_TO_POINTER(token));
    return link == NULL ? ERR_UNAVAILABLE : Link_Send(link, frame);
}

static void
send_grant(Agent *agent, const QueueAction *action)
{
    Counter_Add(Counter_Get("agent_granted_total", "Grants sent."), 1);
    agent->ended_id_bound++;
    WantInfo *info = Wants_Find(agent->wants, action->id);
    if (info != NULL) {
        info->granted_at = Clock_Now();
    }
    Wire__RequestId id = agent_wire_id(action->id);
    Wire__Grant grant = WIRE__GRANT__INIT;
    grant.id = &id;
    grant.grant_id = action->grant_id;
    grant.ttl_ms = action->ttl_ms;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_GRANT;
    frame.grant = &grant;
    AgentLinks_Send(agent, action->owner, &frame);
}

static void
send_refuse(Agent *agent, const QueueAction *action)
{
    char counter[64];
    g_snprintf(counter, sizeof(counter), "agent_refused_total{reason=\"%s\"}",
               RefuseReason_Name(action->reason));
    Counter_Add(Counter_Get(counter, "Wants and dispatches refused."), 1);
    Wants_Remove(agent->wants, action->id);
    Wire__RequestId id = agent_wire_id(action->id);
    Wire__Refuse refuse = WIRE__REFUSE__INIT;
    refuse.id = &id;
    refuse.reason = (Wire__RefuseReason)action->reason;
    refuse.retry_after_ms = action->retry_after_ms;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_REFUSE;
    frame.refuse = &refuse;
    AgentLinks_Send(agent, action->owner, &frame);
}

void
AgentLinks_FlushQueue(Agent *agent)
{
    QueueAction actions[ACTIONS_PER_BATCH];
    size_t count;
    while ((count = Queue_TakeActions(agent->queue, actions,
                                      ACTIONS_PER_BATCH)) > 0)
    {
        for (size_t i = 0; i < count; i++) {
            if (actions[i].kind == QUEUE_GRANT) {
                send_grant(agent, &actions[i]);
            }
            else {
                send_refuse(agent, &actions[i]);
            }
        }
    }
}

static void
fill_models(const Agent *agent, Wire__AgentState *state)
{
    guint count = agent->endpoint.models->len;
    state->models = g_new0(Wire__ModelState *, count);
    for (guint i = 0; i < count; i++) {
        Wire__ModelState *model = g_new(Wire__ModelState, 1);
        wire__model_state__init(model);
        model->model = g_ptr_array_index(agent->endpoint.models, i);
        model->loaded = true;
        state->models[state->n_models++] = model;
    }
}

static void
free_state(Wire__AgentState *state)
{
    for (size_t i = 0; i < state->n_models; i++) {
        g_free(state->models[i]);
    }
    g_free(state->models);
    g_free(state->queued_by_tier);
}

static void
fill_state(Agent *agent, Wire__AgentState *state)
{
    QueueState queue;
    Queue_GetState(agent->queue, Clock_Now(), &queue);
    state->kind = agent->endpoint.is_engine ? "engine" : "service";
    state->service = agent->endpoint.service;
    state->leaving = queue.leaving;
    state->slots = queue.slots;
    state->running = queue.running + queue.granted;
    state->queued = queue.queued;
    state->queued_by_tier =
        g_memdup2(queue.queued_by_tier, sizeof(queue.queued_by_tier));
    state->n_queued_by_tier = WORK_TIERS;
    state->queued_prompt_tokens = queue.queued_prompt_tokens;
    state->queued_output_tokens = queue.queued_output_tokens;
    state->prefill_tokens_s = (float)queue.prefill_tokens_s;
    state->decode_tokens_s = (float)queue.decode_tokens_s;
    state->lowest_tier = queue.lowest_tier;
    state->retry_after_ms = queue.retry_after_ms;
    fill_models(agent, state);
}

static void
fill_blocks(Wire__AgentState *state, const GArray *cached,
            const GArray *evicted)
{
    state->cached = (uint64_t *)cached->data;
    state->n_cached = cached->len;
    state->evicted = (uint64_t *)evicted->data;
    state->n_evicted = evicted->len;
}

/* Passes the cache changes since the last report to the queue. */
static void
update_queue_cache(Agent *agent, const Wire__AgentState *state)
{
    if (state->cache_reset) {
        Queue_ResetCache(agent->queue);
    }
    Queue_UpdateCache(agent->queue, state->cached, (uint32_t)state->n_cached,
                      true);
    Queue_UpdateCache(agent->queue, state->evicted, (uint32_t)state->n_evicted,
                      false);
}

/* Returns true if the report differs from the last one or that one is at least
 * UNCHANGED_REPORT_INTERVAL_US old. The sequence number must not be set yet,
 * as it would make each report differ. */
static bool
is_report_due(Agent *agent, const Wire__AgentState *state, TimeUs now)
{
    size_t size = wire__agent_state__get_packed_size(state);
    uint8_t *bytes = g_malloc(size);
    wire__agent_state__pack(state, bytes);
    uint64_t hash = XXH3_64bits(bytes, size);
    g_free(bytes);
    if (hash == agent->report_hash &&
        now - agent->report_sent_at < UNCHANGED_REPORT_INTERVAL_US)
    {
        return false;
    }
    agent->report_hash = hash;
    agent->report_sent_at = now;
    return true;
}

static void
send_to_entries(Agent *agent, Wire__AgentState *state)
{
    state->sequence = ++agent->report_sequence;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_AGENT_STATE;
    frame.agent_state = state;
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, agent->entry_links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        Link_Send(link, &frame);
    }
}

void
AgentLinks_SendState(Agent *agent)
{
    Wire__AgentState state = WIRE__AGENT_STATE__INIT;
    fill_state(agent, &state);
    GArray *cached = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    state.cache_reset = Cache_TakeChanges(agent->cache, cached, evicted);
    fill_blocks(&state, cached, evicted);
    update_queue_cache(agent, &state);
    if (is_report_due(agent, &state, Clock_Now())) {
        send_to_entries(agent, &state);
    }
    free_state(&state);
    g_array_free(cached, TRUE);
    g_array_free(evicted, TRUE);
}

/* Sends the first report on a link, which contains all cached blocks. */
static void
send_first_state(Agent *agent, Link *link)
{
    Wire__AgentState state = WIRE__AGENT_STATE__INIT;
    fill_state(agent, &state);
    state.sequence = ++agent->report_sequence;
    GArray *cached = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    Cache_List(agent->cache, cached);
    state.cache_reset = true;
    fill_blocks(&state, cached, evicted);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_AGENT_STATE;
    frame.agent_state = &state;
    Link_Send(link, &frame);
    free_state(&state);
    g_array_free(cached, TRUE);
    g_array_free(evicted, TRUE);
}

void
AgentLinks_SendGoodbye(Agent *agent)
{
    Wire__Goodbye goodbye = WIRE__GOODBYE__INIT;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_GOODBYE;
    frame.goodbye = &goodbye;
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, agent->entry_links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        Link_Send(link, &frame);
    }
    AgentControl_SendAll(agent, &frame);
}

Subjects
AgentLinks_ReadSubjects(uint64_t fingerprint, const uint64_t *parts,
                        size_t count)
{
    Subjects subjects = {
        .request = fingerprint,
        .part_count = (uint32_t)MIN(count, SUBJECT_PARTS_MAX),
    };
    memcpy(subjects.parts, parts, subjects.part_count * sizeof(parts[0]));
    return subjects;
}

static void
fill_work(const Agent *agent, const Wire__Want *want, TimeUs now,
          WorkSpec *work)
{
    bool is_model = want->model[0] != '\0';
    *work = (WorkSpec){
        .id = {.high = want->id->high, .low = want->id->low},
        .target =
            Work_TargetHash(is_model, is_model ? want->model : want->service),
        .subjects = AgentLinks_ReadSubjects(want->fingerprint, want->parts,
                                            want->n_parts),
        .tier = want->tier,
        .deadline = now + want->deadline_ms * US_PER_MS,
        .prompt_tokens = want->prompt_tokens,
        .output_tokens = want->output_tokens,
        .alone =
            want->alone || AgentControl_IsSuspected(agent, want->fingerprint),
    };
    while (work->prefix_count < want->n_prefix_hash &&
           work->prefix_count < WORK_PREFIX_BLOCKS_MAX)
    {
        work->prefix[work->prefix_count] =
            want->prefix_hash[work->prefix_count];
        work->prefix_count++;
    }
}

static void
on_want(Agent *agent, Link *link, const Wire__Want *want)
{
    if (want->tier >= WORK_TIERS) {
        return;
    }
    TimeUs now = Clock_Now();
    WorkSpec work;
    fill_work(agent, want, now, &work);
    if (AgentControl_IsQuarantined(agent, &work.subjects)) {
        send_refuse(agent, &(QueueAction){
                               .kind = QUEUE_REFUSE,
                               .id = work.id,
                               .owner = AgentLinks_Token(link),
                               .reason = REFUSE_QUARANTINED,
                           });
        return;
    }
    /* A request that was dispatched here must not be listed as waiting, as
     * that would count as proof that it did not run. */
    if (!g_hash_table_contains(agent->answers, &work.id)) {
        Wants_Add(agent->wants, &work, AgentLinks_Token(link), now);
    }
    Queue_AddWant(agent->queue, &work, AgentLinks_Token(link), now);
}

static void
on_withdraw(Agent *agent, Link *link, RequestId id)
{
    uint64_t token = AgentLinks_Token(link);
    const WantInfo *info = Wants_Find(agent->wants, id);
    if (info != NULL && info->owner == token) {
        Wants_Remove(agent->wants, id);
    }
    Queue_Withdraw(agent->queue, id, token, Clock_Now());
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Agent *agent = owner;
    const Wire__RequestId *wire_id = Frame_RequestId(frame);
    if (wire_id == NULL) {
        return;
    }
    Agent_Refresh(agent, Clock_Now());
    RequestId id = {.high = wire_id->high, .low = wire_id->low};
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_WANT:
        on_want(agent, link, frame->want);
        break;
    case WIRE__FRAME__BODY_WITHDRAW:
        on_withdraw(agent, link, id);
        break;
    case WIRE__FRAME__BODY_DISPATCH:
        AgentDispatch_OnDispatch(agent, link, frame->dispatch);
        break;
    case WIRE__FRAME__BODY_CANCEL:
        AgentAnswer_OnCancel(agent, link, id);
        break;
    case WIRE__FRAME__BODY_ANSWER_ACK:
        AgentAnswer_OnAck(agent, link, frame->answer_ack);
        break;
    case WIRE__FRAME__BODY_RESUME:
        AgentAnswer_OnResume(agent, link, frame->resume);
        break;
    default:
        break;
    }
    AgentLinks_FlushQueue(agent);
}

static void
on_connected(Link *link, void *owner)
{
    Agent *agent = owner;
    uint64_t token = ++agent->next_token;
    Link_SetData(link, GSIZE_TO_POINTER(token));
    g_hash_table_insert(agent->entry_links, GSIZE_TO_POINTER(token), link);
    LOG_INFO(AGENT_PART, "Entry connected. endpoint=%s entry=%s",
             agent->own->name, Link_Peer(link)->name);
    send_first_state(agent, link);
}

static void
on_disconnected(Link *link, void *owner)
{
    Agent *agent = owner;
    uint64_t token = AgentLinks_Token(link);
    g_hash_table_remove(agent->entry_links, GSIZE_TO_POINTER(token));
    Wants_RemoveOwner(agent->wants, token);
    AgentAnswer_OnOwnerDisconnected(agent, token);
    Queue_OnOwnerDisconnected(agent->queue, token, Clock_Now());
    AgentLinks_FlushQueue(agent);
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

int
AgentLinks_Open(Agent *agent, Error *err)
{
    Address address;
    int result = Address_Parse(agent->own->listen, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    agent->entry_server = Link_Listen(agent->base, &agent->self, &address,
                                      &link_ops, agent, err);
    return agent->entry_server == NULL ? err->code : ERR_OK;
}

void
AgentLinks_Close(Agent *agent)
{
    if (agent->entry_server != NULL) {
        Link_CloseServer(agent->entry_server);
    }
    g_hash_table_destroy(agent->entry_links);
}
