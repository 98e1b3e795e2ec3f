/** @file
 * Agent task: start, timers, stop and dump.
 */
#include "agent/agent.h"

#include "agent/state.h"
#include "kernel/log.h"

#define TICK_MS 20
#define REPORT_MS 250
#define DEFAULT_SLOTS 1
#define MAX_WANTS 4096
#define MAX_TOMBSTONES 8192

static void
check_leaving(Agent *agent, TimeUs now)
{
    bool leaving = agent->draining || !AgentEndpoint_Usable(agent, now);
    QueueState state;
    Queue_State(agent->queue, now, &state);
    if (state.leaving == leaving) {
        return;
    }
    LOG_INFO(AGENT_PART, "%s endpoint=%s",
             leaving ? "Endpoint takes no new work." : "Endpoint takes work.",
             agent->own->name);
    Queue_SetLeaving(agent->queue, leaving, now);
    AgentLinks_SendState(agent);
    AgentLinks_SendPresence(agent);
}

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Agent *agent = arg;
    TimeUs now = Clock_Now();
    check_leaving(agent, now);
    Queue_Tick(agent->queue, now);
    AgentLinks_FlushQueue(agent);
    if (agent->draining && g_hash_table_size(agent->runs) == 0) {
        Task_Drained(agent->task);
    }
}

static void
on_report(evutil_socket_t fd, short events, void *arg)
{
    AgentLinks_SendState(arg);
    AgentLinks_SendPresence(arg);
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

static int
start(TaskHandle self, void *state, Error *err)
{
    Agent *agent = state;
    agent->task = self;
    agent->base = Task_Base(self);
    int result =
        Address_Parse(agent->own->endpoint, &agent->endpoint_address, err);
    if (result == ERR_OK) {
        result = AgentEndpoint_Listen(agent, err);
    }
    if (result == ERR_OK) {
        result = AgentLinks_Open(agent, err);
    }
    if (result != ERR_OK) {
        return result;
    }
    Queue_SetLeaving(agent->queue, true, Clock_Now());
    agent->tick = add_timer(agent, on_tick, TICK_MS);
    agent->report = add_timer(agent, on_report, REPORT_MS);
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
}

static void
stop(TaskHandle self, void *state)
{
    Agent *agent = state;
    AgentRun_FreeAll(agent);
    AgentLinks_Close(agent);
    evhttp_free(agent->http);
    event_free(agent->tick);
    event_free(agent->report);
    Queue_Free(agent->queue);
    g_hash_table_destroy(agent->runs);
    g_ptr_array_free(agent->endpoint.models, TRUE);
    g_free(agent);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Agent *agent = state;
    QueueState queue;
    Queue_State(agent->queue, Clock_Now(), &queue);
    json_object_set_new(out, "slots", json_integer(queue.slots));
    json_object_set_new(out, "running", json_integer(queue.running));
    json_object_set_new(out, "granted", json_integer(queue.granted));
    json_object_set_new(out, "queued", json_integer(queue.queued));
    json_object_set_new(out, "leaving", json_boolean(queue.leaving));
}

static const TaskOps agent_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

static Agent *
new_agent(const Settings *settings, const SettingsAgent *own)
{
    Agent *agent = g_new0(Agent, 1);
    agent->settings = settings;
    agent->own = own;
    agent->self = Self_Make(settings, WIRE__ROLE__ROLE_AGENT, own->name);
    agent->endpoint.models = g_ptr_array_new_with_free_func(g_free);
    agent->runs = g_hash_table_new(AgentRun_HashId, AgentRun_EqualId);
    agent->queue = Queue_New(&(QueueConfig){
        .max_wants = MAX_WANTS,
        .max_tombstones = MAX_TOMBSTONES,
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
        /* Lives as long as the process, like the task's name. */
        char *name = g_strdup_printf("agent:%s", own->name);
        Kernel_AddTask(kernel, &(TaskSpec){
                                   .name = name,
                                   .ops = &agent_ops,
                                   .state = new_agent(settings, own),
                               });
    }
    return ERR_OK;
}
