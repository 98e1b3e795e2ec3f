/** @file
 * Entry task: start, timer, stop and dump.
 */
#include "entry/entry.h"

#include "entry/state.h"
#include "kernel/log.h"

#define TICK_MS 100
#define PLACE_CAPACITY 4096
#define WANTS_PER_REQUEST 2
#define ZONE_LATENCY_US 1000
#define REGION_LATENCY_US 30000

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Entry *entry = arg;
    EntryControl_Tick(entry, Clock_Now());
    if (entry->draining && g_hash_table_size(entry->requests) == 0) {
        Task_Drained(entry->task);
    }
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Entry *entry = state;
    entry->task = self;
    entry->base = Task_Base(self);
    int result = EntryControl_Open(entry, err);
    if (result == ERR_OK) {
        result = EntryCaller_Listen(entry, err);
    }
    if (result != ERR_OK) {
        return result;
    }
    entry->tick = event_new(entry->base, -1, EV_PERSIST, on_tick, entry);
    struct timeval period = {.tv_usec = TICK_MS * US_PER_MS};
    event_add(entry->tick, &period);
    return ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
drain(TaskHandle self, void *state)
{
    Entry *entry = state;
    entry->draining = true;
}

static void
stop(TaskHandle self, void *state)
{
    Entry *entry = state;
    GHashTableIter iter;
    gpointer request;
    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &request)) {
        Request_Free(request);
        g_hash_table_iter_init(&iter, entry->requests);
    }
    EntryPeers_Close(entry);
    EntryControl_Close(entry);
    if (entry->tick != NULL) {
        event_free(entry->tick);
    }
    if (entry->http != NULL) {
        evhttp_free(entry->http);
    }
    Place_Free(entry->places);
    Limits_Free(entry->limits);
    Rules_Unref(entry->rules);
    g_hash_table_destroy(entry->requests);
    g_free(entry);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Entry *entry = state;
    json_object_set_new(out, "requests",
                        json_integer(g_hash_table_size(entry->requests)));
    json_object_set_new(out, "rules_version",
                        json_integer((json_int_t)entry->rules_version));
    json_object_set_new(
        out, "lease", json_boolean(EntryControl_HasLease(entry, Clock_Now())));
    json_t *peers = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_t *link = json_object();
        Link_Dump(((Peer *)value)->link, link);
        json_array_append_new(peers, link);
    }
    json_object_set_new(out, "agents", peers);
}

static const TaskOps entry_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

static guint
hash_id(gconstpointer id)
{
    const RequestId *request = id;
    return (guint)(request->high ^ request->low);
}

static gboolean
equal_id(gconstpointer a, gconstpointer b)
{
    const RequestId *first = a;
    const RequestId *second = b;
    return work_same_id(*first, *second);
}

int
Entry_AddTask(Kernel *kernel, const Settings *settings, Error *err)
{
    Entry *entry = g_new0(Entry, 1);
    entry->settings = settings;
    entry->self = Self_Make(settings, WIRE__ROLE__ROLE_ENTRY, settings->name);
    entry->peers = g_hash_table_new(g_str_hash, g_str_equal);
    entry->requests = g_hash_table_new(hash_id, equal_id);
    entry->commands = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
    entry->control_links = g_ptr_array_new();
    entry->limits = Limits_New(0);
    entry->places = Place_New(&(PlaceConfig){
        .capacity = PLACE_CAPACITY,
        .wants = WANTS_PER_REQUEST,
        .zone = Work_Target(false, settings->zone),
        .region = Work_Target(false, settings->region),
        .zone_latency = ZONE_LATENCY_US,
        .region_latency = REGION_LATENCY_US,
    });
    Kernel_AddTask(kernel, &(TaskSpec){
                               .name = "entry",
                               .ops = &entry_ops,
                               .state = entry,
                           });
    return ERR_OK;
}
