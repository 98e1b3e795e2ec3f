/** @file
 * Gateway task: the listener, the table in force and the planned stop.
 */
#include "gateway/gateway.h"

#include <string.h>

#include "gateway/state.h"
#include "gateway/zones.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "server/reader.h"
#include "wire/address.h"
#include "wire/client_memory.h"
#include "wire/identity.h"

#define PART GATEWAY_PART
#define TASK_NAME "gateway"
/* Time for which new connections are still accepted during a planned stop, so
 * that the load balancer can notice it. */
#define STOP_ACCEPT_MS 3000
#define STOP_POLL_MS 50
/* Time before the end of a stop at which requests without an answer get one:
 * their callers otherwise see a closed connection. */
#define STOP_LAST_ANSWERS_US (150 * US_PER_MS)
#define LISTEN_BACKLOG 512
/* Assumed number of gateways before the leader reports it. At most a few dozen
 * share a limit, and a share that is too small for a second does less harm
 * than one that is too large. */
#define DEFAULT_GATEWAY_COUNT 12

bool
Gateway_HasLease(const Gateway *gateway)
{
    return gateway->options->bounds.key_revocation_ms == 0 ||
           Clock_Now() < gateway->lease_until;
}

bool
Gateway_IsReady(const Gateway *gateway)
{
    return gateway->table != NULL && !gateway->stopping &&
           Gateway_HasLease(gateway);
}

/* Opens links to the keepers of all engines. */
static void
connect_keepers(Gateway *gateway)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        const RouteService *service =
            RouteTable_Service(gateway->table, endpoint->service);
        if (service != NULL && service->is_engine) {
            Keepers_Connect(gateway->keepers, endpoint);
        }
    }
}

uint32_t
Gateway_Count(const Gateway *gateway)
{
    return gateway->gateway_count > 0 ? gateway->gateway_count
                                      : DEFAULT_GATEWAY_COUNT;
}

void
Gateway_ReadmitHeld(Gateway *gateway)
{
    GQueue held = gateway->held_calls;
    g_queue_init(&gateway->held_calls);
    Call *call;
    while ((call = g_queue_pop_head(&held)) != NULL) {
        Call_Readmit(call);
    }
}

/* Reports a limit of bodies that the memory of the process does not allow. */
static void
check_largest_body(const RouteTable *table)
{
    size_t allowed = RouteTable_Limits(table)->max_body_bytes;
    size_t largest =
        ClientBudget_LargestBody(ClientBudget_Bound(ClientMemory_Budget()));
    if (allowed > largest) {
        LOG_ERROR(PART,
                  "The memory of this host does not allow bodies as large as "
                  "the configuration does. max_body_bytes=%zu largest=%zu",
                  allowed, largest);
    }
}

void
Gateway_SetTable(Gateway *gateway, RouteTable *table)
{
    LOG_INFO(PART, "Applied a new configuration. version=%llu before=%llu",
             (unsigned long long)RouteTable_Version(table),
             gateway->table == NULL
                 ? 0ULL
                 : (unsigned long long)RouteTable_Version(gateway->table));
    RouteTable_Unref(gateway->table);
    gateway->table = table;
    Origins_OnTable(gateway->origins, table);
    Endpoints_OnTable(gateway);
    check_largest_body(table);
    Counter_Set(Counter_Get("gateway_config_version",
                            "Version of the configuration in force."),
                (int64_t)RouteTable_Version(table));
    connect_keepers(gateway);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int length, void *arg)
{
    Conn_New(arg, fd);
}

static void
drain_conns(Gateway *gateway, bool close_idle)
{
    GList *conns = g_hash_table_get_keys(gateway->conns);
    for (GList *at = conns; at != NULL; at = at->next) {
        Conn_Drain(at->data, close_idle);
    }
    g_list_free(conns);
}

/* Calls a function for each connection; the end of a call may free the
 * connections of others. */
static void
for_each_conn(const Gateway *gateway, void (*visit)(Conn *conn))
{
    GList *conns = g_hash_table_get_keys(gateway->conns);
    for (GList *at = conns; at != NULL; at = at->next) {
        if (g_hash_table_contains(gateway->conns, at->data)) {
            visit(at->data);
        }
    }
    g_list_free(conns);
}

static void
on_fail_barred(evutil_socket_t fd, short events, void *arg)
{
    for_each_conn(arg, Conn_CheckBarred);
}

void
Gateway_FailBarred(Gateway *gateway)
{
    if (gateway->fail_barred_event == NULL) {
        gateway->fail_barred_event =
            event_new(gateway->base, -1, 0, on_fail_barred, gateway);
    }
    event_active(gateway->fail_barred_event, EV_TIMEOUT, 0);
}

/* Closes the listener once the load balancer has had time to notice the stop,
 * and reports the task as drained when all requests are answered. */
static void
on_stop_timer(evutil_socket_t fd, short events, void *arg)
{
    Gateway *gateway = arg;
    TimeUs now = Clock_Now();
    for_each_conn(gateway, Conn_CheckStop);
    if (now >= gateway->stop_started_at +
                   gateway->options->bounds.stop_ms * US_PER_MS -
                   STOP_LAST_ANSWERS_US)
    {
        for_each_conn(gateway, Conn_EndStop);
    }
    if (now < gateway->stop_started_at + STOP_ACCEPT_MS * US_PER_MS) {
        return;
    }
    if (gateway->listener != NULL) {
        evconnlistener_free(gateway->listener);
        gateway->listener = NULL;
    }
    drain_conns(gateway, true);
    if (gateway->call_count == 0 && g_hash_table_size(gateway->conns) == 0) {
        Task_ReportDrained(gateway->task);
    }
}

static void
drain(TaskHandle self, void *state)
{
    Gateway *gateway = state;
    gateway->stopping = true;
    gateway->stop_started_at = Clock_Now();
    struct timeval period = {.tv_usec = STOP_POLL_MS * US_PER_MS};
    event_add(gateway->stop_timer, &period);
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Gateway *gateway = state;
    gateway->task = self;
    gateway->base = Task_Base(self);
    gateway->stop_timer =
        event_new(gateway->base, -1, EV_PERSIST, on_stop_timer, gateway);
    Address address;
    int result = Address_Parse(gateway->options->listen, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    gateway->listener = evconnlistener_new_bind(
        gateway->base, on_accept, gateway,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        LISTEN_BACKLOG, (struct sockaddr *)&address.storage,
        (int)address.length);
    if (gateway->listener == NULL) {
        return Error_Set(err, ERR_IO, "Failed to listen on %s.",
                         gateway->options->listen);
    }
    Reader_PrepareListener(evconnlistener_get_fd(gateway->listener));
    gateway->quotas = Quotas_New(gateway);
    gateway->retries = Retries_New(gateway);
    gateway->run_times = RunTimes_New();
    gateway->held = Held_New(gateway);
    gateway->suspects = Suspects_New(gateway);
    gateway->origins = Origins_New(gateway);
    gateway->zones = Zones_New(gateway);
    gateway->rollouts = Rollouts_New(gateway);
    gateway->keepers = Keepers_New(gateway);
    gateway->control = GatewayControl_New(gateway);
    return ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
stop(TaskHandle self, void *state)
{
    Gateway *gateway = state;
    GList *conns = g_hash_table_get_keys(gateway->conns);
    for (GList *at = conns; at != NULL; at = at->next) {
        Conn_Free(at->data);
    }
    g_list_free(conns);
    if (gateway->listener != NULL) {
        evconnlistener_free(gateway->listener);
    }
    event_free(gateway->stop_timer);
    if (gateway->fail_barred_event != NULL) {
        event_free(gateway->fail_barred_event);
    }
    GatewayControl_Free(gateway->control);
    ServiceQueue_FreeAll(gateway);
    Keepers_Free(gateway->keepers);
    Quotas_Free(gateway->quotas);
    Retries_Free(gateway->retries);
    RunTimes_Free(gateway->run_times);
    Held_Free(gateway->held);
    Suspects_Free(gateway->suspects);
    Origins_Free(gateway->origins);
    Zones_Free(gateway->zones);
    Rollouts_Free(gateway->rollouts);
    Endpoints_FreeAll(gateway);
    Directory_Free(gateway->directory);
    RouteTable_Unref(gateway->table);
    g_hash_table_destroy(gateway->conns);
    g_hash_table_destroy(gateway->endpoints);
    g_hash_table_destroy(gateway->queues);
    g_free(gateway);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    const Gateway *gateway = state;
    json_object_set_new(
        out, "version",
        json_integer(gateway->table == NULL
                         ? 0
                         : (json_int_t)RouteTable_Version(gateway->table)));
    json_object_set_new(out, "ready", json_boolean(Gateway_IsReady(gateway)));
    json_object_set_new(out, "requests", json_integer(gateway->call_count));
    json_object_set_new(out, "connections",
                        json_integer(g_hash_table_size(gateway->conns)));
    json_object_set_new(out, "endpoints",
                        json_integer(g_hash_table_size(gateway->endpoints)));
}

static const TaskOps task_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

Gateway *
Gateway_AddTask(Kernel *kernel, const GatewayOptions *options)
{
    Gateway *gateway = g_new0(Gateway, 1);
    gateway->options = options;
    gateway->self = (LinkIdentity){
        .role = WIRE__ROLE__ROLE_GATEWAY,
        .name = options->name,
        .incarnation = LinkIdentity_NewIncarnation(),
        .zone = options->zone,
        .region = options->region,
    };
    g_queue_init(&gateway->held_calls);
    gateway->directory = Directory_New();
    gateway->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    gateway->queues = g_hash_table_new(g_str_hash, g_str_equal);
    gateway->conns = g_hash_table_new(NULL, NULL);
    TaskSpec spec = {.name = TASK_NAME, .ops = &task_ops, .state = gateway};
    Kernel_AddTask(kernel, &spec);
    return gateway;
}
