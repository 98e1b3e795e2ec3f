/** @file
 * The agent's task: its start, timers, planned stop and end.
 */
#include "agent/agent.h"

#include "agent/state.h"
#include "kernel/log.h"
#include "wire/client_memory.h"

#define TICK_INTERVAL_MS 20
#define REPORT_INTERVAL_MS 250
#define PRESENCE_INTERVAL_US US_PER_S
#define DEFAULT_SLOTS 1
#define CACHE_BLOCKS_MAX 8192
/* If the last tick is at least this long ago, the handler of a frame first
 * expires grants and wants. */
#define LATE_TICK_MS 100
/* Parts of the machine's memory, one of so many, that all agents of a process
 * may take for unacknowledged answers, of which an entry in the same process
 * has a copy, and for large chunks that are not complete. */
#define ANSWERS_DIVISOR 8
#define INPUTS_DIVISOR 16
/* No agent needs more than that. */
#define ANSWERS_MAX_BYTES ((size_t)32 * 1024 * 1024)
#define INPUTS_MAX_BYTES ((size_t)64 * 1024 * 1024)
/* Maximum time that a planned stop waits for acknowledgements of answers after
 * the last run has ended. */
#define STOP_ACK_TIMEOUT_MS 2000

static void
update_leaving(Agent *agent, TimeUs now)
{
    bool leaving = !AgentEndpoint_IsUsable(agent, now);
    if (agent->leaving == leaving) {
        return;
    }
    agent->leaving = leaving;
    LOG_INFO(AGENT_PART, "%s endpoint=%s",
             leaving ? "Endpoint accepts no new requests."
                     : "Endpoint accepts requests.",
             agent->own->name);
    Queue_SetLeaving(agent->queue, leaving, now);
    AgentLinks_FlushQueue(agent);
    AgentLinks_SendState(agent);
    AgentControl_SendPresence(agent);
}

static void
tick_queue(Agent *agent, TimeUs now)
{
    agent->last_tick_at = now;
    Queue_Tick(agent->queue, now);
    AgentLinks_FlushQueue(agent);
}

void
Agent_Refresh(Agent *agent, TimeUs now)
{
    update_leaving(agent, now);
    if (now - agent->last_tick_at >= LATE_TICK_MS * US_PER_MS) {
        tick_queue(agent, now);
    }
}

/* Performs the next step of a planned stop: waits until the runs have ended,
 * then until the answers are acknowledged, then sends Goodbye on the links. */
static void
advance_stop(Agent *agent, TimeUs now)
{
    if (agent->goodbye_sent) {
        Task_ReportDrained(agent->task);
        return;
    }
    if (g_hash_table_size(agent->runs) > 0) {
        agent->idle_since = now;
        return;
    }
    bool may_wait = now - agent->idle_since < STOP_ACK_TIMEOUT_MS * US_PER_MS;
    if (!may_wait || AgentAnswer_AllAcknowledged(agent)) {
        AgentLinks_SendGoodbye(agent);
        agent->goodbye_sent = true;
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Agent *agent = arg;
    TimeUs now = Clock_Now();
    update_leaving(agent, now);
    tick_queue(agent, now);
    AgentRun_Tick(agent, now);
    AgentAnswer_Tick(agent, now);
    AgentCrash_Tick(agent->crashes, now);
    AgentOrders_Tick(agent->orders);
    AgentWithdrawal_Tick(agent->withdrawal, Clock_Now());
    AgentControl_Tick(agent);
    if (agent->draining) {
        advance_stop(agent, now);
    }
}

static void
on_report(evutil_socket_t fd, short events, void *arg)
{
    Agent *agent = arg;
    Wants_Expire(agent->wants, Clock_Now(), agent->own->grant_ms * US_PER_MS);
    AgentLinks_SendState(agent);
    if (Clock_Now() - agent->presence_sent_at >= PRESENCE_INTERVAL_US) {
        AgentControl_SendPresence(agent);
    }
}

static struct event *
add_timer(Agent *agent, event_callback_fn callback, int period_ms)
{
    struct event *timer =
        event_new(agent->base, -1, EV_PERSIST, callback, agent);
    struct timeval period = {.tv_usec = period_ms * US_PER_MS};
    event_add(timer, &period);
    return timer;
}

static void
on_send_due(evutil_socket_t fd, short events, void *arg)
{
    AgentAnswer_SendDue(arg);
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Agent *agent = state;
    agent->task = self;
    agent->base = Task_Base(self);
    agent->send_due = event_new(agent->base, -1, 0, on_send_due, agent);
    agent->crashes = AgentCrash_New(agent);
    agent->leaving = true;
    Queue_SetLeaving(agent->queue, true, Clock_Now());
    int result =
        Address_Parse(agent->own->endpoint, &agent->endpoint_address, err);
    if (result == ERR_OK) {
        result = AgentEndpoint_Listen(agent, err);
    }
    if (result == ERR_OK) {
        result = AgentLinks_Open(agent, err);
    }
    if (result == ERR_OK) {
        result = AgentControl_Open(agent, err);
    }
    if (result != ERR_OK) {
        return result;
    }
    agent->tick = add_timer(agent, on_tick, TICK_INTERVAL_MS);
    agent->report = add_timer(agent, on_report, REPORT_INTERVAL_MS);
    return ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
drain(TaskHandle self, void *state)
{
    Agent *agent = state;
    agent->draining = true;
    agent->idle_since = Clock_Now();
    Agent_Refresh(agent, agent->idle_since);
}

static void
stop(TaskHandle self, void *state)
{
    Agent *agent = state;
    AgentWithdrawal_Free(agent->withdrawal);
    AgentRun_FreeAll(agent);
    AgentOrders_Free(agent->orders);
    if (agent->crashes != NULL) {
        AgentCrash_Free(agent->crashes);
    }
    AgentControl_Close(agent);
    AgentLinks_Close(agent);
    if (agent->http != NULL) {
        HttpServer_Free(agent->http);
    }
    if (agent->tick != NULL) {
        event_free(agent->tick);
        event_free(agent->report);
    }
    g_hash_table_destroy(agent->answers);
    g_ptr_array_free(agent->answers_due, TRUE);
    if (agent->send_due != NULL) {
        event_free(agent->send_due);
    }
    g_hash_table_destroy(agent->runs);
    g_hash_table_destroy(agent->suspects);
    Queue_Free(agent->queue);
    Wants_Free(agent->wants);
    Cache_Free(agent->cache);
    g_ptr_array_free(agent->endpoint.models, TRUE);
    g_free(agent);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    AgentDump_Fill(state, out);
}

static const TaskOps agent_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

/* Sets the bounds of what the agent holds of answers. */
static void
set_memory(Agent *agent, const Settings *settings)
{
    size_t part = ClientMemory_MachineBytes(settings->memory_mb) /
                  MAX(settings->agents_count, 1);
    agent->unacked_max = MIN(part / ANSWERS_DIVISOR, ANSWERS_MAX_BYTES);
    agent->inputs.max_bytes = MIN(part / INPUTS_DIVISOR, INPUTS_MAX_BYTES);
    g_queue_init(&agent->inputs.waiting);
}

static Agent *
new_agent(const Settings *settings, const SettingsAgent *own)
{
    Agent *agent = g_new0(Agent, 1);
    set_memory(agent, settings);
    agent->settings = settings;
    agent->own = own;
    agent->self =
        LinkIdentity_Make(settings, WIRE__ROLE__ROLE_AGENT, own->name);
    agent->endpoint.models = g_ptr_array_new_with_free_func(g_free);
    agent->endpoint.kv_free = -1;
    agent->runs = g_hash_table_new(RequestId_HashKey, RequestId_EqualKeys);
    agent->answers = g_hash_table_new_full(
        RequestId_HashKey, RequestId_EqualKeys, NULL, AgentAnswer_Free);
    agent->answers_due = g_ptr_array_new();
    agent->suspects = g_hash_table_new(NULL, NULL);
    agent->entry_links = g_hash_table_new(NULL, NULL);
    agent->control_links = g_ptr_array_new();
    agent->wants = Wants_New(AGENT_WANTS_MAX);
    agent->cache = Cache_New(CACHE_BLOCKS_MAX);
    agent->orders = AgentOrders_New(agent);
    agent->withdrawal = AgentWithdrawal_New(agent);
    agent->queue = Queue_New(&(QueueConfig){
        .max_wants = AGENT_WANTS_MAX,
        .max_ended_ids = AGENT_ENDED_IDS_MAX,
        .slots = DEFAULT_SLOTS,
        .grant_ttl = own->grant_ms * US_PER_MS,
        .seed = agent->self.incarnation << 20,
    });
    return agent;
}

int
Agent_AddTasks(Kernel *kernel, const Settings *settings, Error *err)
{
    for (unsigned i = 0; i < settings->agents_count; i++) {
        const SettingsAgent *own = &settings->agents[i];
        /* Never freed: the task uses it until the process ends. */
        char *name = g_strdup_printf("agent:%s", own->name);
        Kernel_AddTask(kernel, &(TaskSpec){
                                   .name = name,
                                   .ops = &agent_ops,
                                   .state = new_agent(settings, own),
                               });
    }
    return ERR_OK;
}
