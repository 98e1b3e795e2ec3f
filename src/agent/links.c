/** @file
 * The agent's links: entries dial it, it dials the control hosts.
 */
#include "agent/state.h"

#include "kernel/log.h"

#define ACTIONS_AT_ONCE 64

static uint64_t
token_of(const Link *link)
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
send_action(Agent *agent, const QueueAction *action)
{
    Wire__RequestId id = WIRE__REQUEST_ID__INIT;
    id.high = action->id.high;
    id.low = action->id.low;
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Grant grant = WIRE__GRANT__INIT;
    Wire__Refuse refuse = WIRE__REFUSE__INIT;
    if (action->kind == QUEUE_GRANT) {
        grant.id = &id;
        grant.grant_id = action->grant_id;
        grant.ttl_ms = action->ttl_ms;
        frame.body_case = WIRE__FRAME__BODY_GRANT;
        frame.grant = &grant;
    }
    else {
        refuse.id = &id;
        refuse.reason = (Wire__RefuseReason)action->reason;
        refuse.retry_after_ms = action->retry_after_ms;
        frame.body_case = WIRE__FRAME__BODY_REFUSE;
        frame.refuse = &refuse;
    }
    AgentLinks_Send(agent, action->owner, &frame);
}

void
AgentLinks_FlushQueue(Agent *agent)
{
    QueueAction actions[ACTIONS_AT_ONCE];
    size_t count;
    while ((count =
                Queue_TakeActions(agent->queue, actions, ACTIONS_AT_ONCE)) > 0)
    {
        for (size_t i = 0; i < count; i++) {
            send_action(agent, &actions[i]);
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
free_models(Wire__AgentState *state)
{
    for (size_t i = 0; i < state->n_models; i++) {
        g_free(state->models[i]);
    }
    g_free(state->models);
}

void
AgentLinks_SendState(Agent *agent)
{
    QueueState queue;
    Queue_State(agent->queue, Clock_Now(), &queue);
    Wire__AgentState state = WIRE__AGENT_STATE__INIT;
    state.sequence = ++agent->report_sequence;
    state.kind = agent->endpoint.is_engine ? "engine" : "service";
    state.service = agent->endpoint.service;
    state.leaving = queue.leaving;
    state.slots = queue.slots;
    state.running = queue.running + queue.granted;
    state.queued = queue.queued;
    state.queued_prompt_tokens = queue.queued_prompt_tokens;
    state.queued_output_tokens = queue.queued_output_tokens;
    state.prefill_tokens_s = (float)queue.prefill_tokens_s;
    state.decode_tokens_s = (float)queue.decode_tokens_s;
    state.lowest_tier = queue.lowest_tier;
    state.retry_after_ms = queue.retry_after_ms;
    fill_models(agent, &state);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_AGENT_STATE;
    frame.agent_state = &state;
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, agent->entry_links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        Link_Send(link, &frame);
    }
    free_models(&state);
}

void
AgentLinks_SendPresence(Agent *agent)
{
    Wire__Presence presence = WIRE__PRESENCE__INIT;
    presence.role = WIRE__ROLE__ROLE_AGENT;
    presence.name = agent->own->name;
    presence.incarnation = agent->self.incarnation;
    presence.address = agent->own->listen;
    presence.zone = agent->settings->zone;
    presence.region = agent->settings->region;
    presence.kind = agent->endpoint.is_engine ? "engine" : "service";
    presence.service = agent->endpoint.service;
    presence.models = (char **)agent->endpoint.models->pdata;
    presence.n_models = agent->endpoint.models->len;
    presence.leaving = !AgentEndpoint_Usable(agent, Clock_Now());
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_PRESENCE;
    frame.presence = &presence;
    for (guint i = 0; i < agent->control_links->len; i++) {
        Link_Send(g_ptr_array_index(agent->control_links, i), &frame);
    }
}

static void
on_want(Agent *agent, Link *link, const Wire__Want *want)
{
    if (want->id == NULL || want->tier >= WORK_TIERS) {
        return;
    }
    TimeUs now = Clock_Now();
    bool is_model = want->model[0] != '\0';
    Work work = {
        .id = {.high = want->id->high, .low = want->id->low},
        .target =
            Work_Target(is_model, is_model ? want->model : want->service),
        .fingerprint = want->fingerprint,
        .tier = want->tier,
        .deadline = now + want->deadline_ms * US_PER_MS,
        .prompt_tokens = want->prompt_tokens,
        .output_tokens = want->output_tokens,
        .alone = want->alone,
    };
    while (work.prefix_count < want->n_prefix_hash &&
           work.prefix_count < WORK_PREFIX_BLOCKS)
    {
        work.prefix[work.prefix_count] = want->prefix_hash[work.prefix_count];
        work.prefix_count++;
    }
    Queue_Want(agent->queue, &work, token_of(link), now);
}

static void
on_entry_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Agent *agent = owner;
    const Wire__RequestId *wire_id = Frame_RequestId(frame);
    if (wire_id == NULL) {
        return;
    }
    RequestId id = {.high = wire_id->high, .low = wire_id->low};
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_WANT:
        on_want(agent, link, frame->want);
        break;
    case WIRE__FRAME__BODY_WITHDRAW:
        Queue_Withdraw(agent->queue, id, token_of(link), Clock_Now());
        break;
    case WIRE__FRAME__BODY_DISPATCH:
        AgentRun_Start(agent, token_of(link), frame->dispatch);
        break;
    case WIRE__FRAME__BODY_CANCEL:
        AgentRun_Cancel(agent, id);
        break;
    default:
        break;
    }
    AgentLinks_FlushQueue(agent);
}

static void
on_entry_up(Link *link, void *owner)
{
    Agent *agent = owner;
    uint64_t token = ++agent->next_token;
    Link_SetData(link, GSIZE_TO_POINTER(token));
    g_hash_table_insert(agent->entry_links, GSIZE_TO_POINTER(token), link);
    LOG_INFO(AGENT_PART, "Entry joined. endpoint=%s entry=%s",
             agent->own->name, Link_Peer(link)->name);
    AgentLinks_SendState(agent);
}

static void
on_entry_down(Link *link, void *owner)
{
    Agent *agent = owner;
    uint64_t token = token_of(link);
    g_hash_table_remove(agent->entry_links, GSIZE_TO_POINTER(token));
    Queue_OwnerGone(agent->queue, token, Clock_Now());
    AgentLinks_FlushQueue(agent);
}

static const LinkOps entry_ops = {
    .up = on_entry_up,
    .down = on_entry_down,
    .frame = on_entry_frame,
};

static void
on_control_up(Link *link, void *owner)
{
    AgentLinks_SendPresence(owner);
}

static void
on_control_down(Link *link, void *owner)
{
}

static void
on_control_frame(Link *link, const Wire__Frame *frame, void *owner)
{
}

static const LinkOps control_ops = {
    .up = on_control_up,
    .down = on_control_down,
    .frame = on_control_frame,
};

int
AgentLinks_Open(Agent *agent, Error *err)
{
    agent->entry_links = g_hash_table_new(NULL, NULL);
    agent->control_links = g_ptr_array_new();
    Address address;
    int result = Address_Parse(agent->own->listen, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    agent->entries = Link_Listen(agent->base, &agent->self, &address,
                                 &entry_ops, agent, err);
    if (agent->entries == NULL) {
        return err->code;
    }
    for (unsigned i = 0; i < agent->settings->control_hosts_count; i++) {
        const char *text = agent->settings->control_hosts[i].address;
        result = Address_Parse(text, &address, err);
        if (result != ERR_OK) {
            return result;
        }
        g_ptr_array_add(agent->control_links,
                        Link_Dial(agent->base, &agent->self, &address,
                                  &control_ops, agent));
    }
    return ERR_OK;
}

void
AgentLinks_Close(Agent *agent)
{
    for (guint i = 0; i < agent->control_links->len; i++) {
        Link_Close(g_ptr_array_index(agent->control_links, i));
    }
    g_ptr_array_free(agent->control_links, TRUE);
    Link_CloseServer(agent->entries);
    g_hash_table_destroy(agent->entry_links);
}
