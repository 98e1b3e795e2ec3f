/** @file
 * Entry task: start, timer, drain, stop and state dump.
 */
#include "entry/entry.h"

#include "entry/state.h"
#include "kernel/log.h"

#define TICK_MS 100
#define ENDPOINTS_MAX 4096
#define WANTS_PER_REQUEST 2
#define ZONE_LATENCY_US 1000
#define REGION_LATENCY_US 30000
/* Maximum number of requests in a state dump. */
#define DUMP_REQUESTS_MAX 100
/* Number of ticks between two runs of EntryAnswer_SendAcks. */
#define TICKS_PER_ACK 2
/* Time before the end of a stop at which requests without an answer get one:
 * their callers otherwise see a closed connection. */
#define STOP_LAST_ANSWERS_MS 300

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Entry *entry = arg;
    TimeUs now = Clock_Now();
    EntryControl_Tick(entry, now);
    EntryClaims_Tick(entry->claims, now);
    if (++entry->tick_count % TICKS_PER_ACK == 0) {
        EntryAnswer_SendAcks(entry);
    }
    if (entry->draining && now >= entry->answer_all_at) {
        Request_AnswerAll(entry);
    }
    if (entry->draining && g_hash_table_size(entry->requests) == 0 &&
        EntryClaims_PendingCount(entry->claims) == 0)
    {
        Task_ReportDrained(entry->task);
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
    TimeUs span_ms = entry->settings->stop_timeout_ms;
    entry->answer_all_at =
        Clock_Now() + MAX(span_ms - STOP_LAST_ANSWERS_MS, 0) * US_PER_MS;
    EntryControl_SendPresence(entry);
}

static void
free_requests(Entry *entry)
{
    GHashTableIter iter;
    gpointer request;
    g_hash_table_iter_init(&iter, entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &request)) {
        Request_Free(request);
        g_hash_table_iter_init(&iter, entry->requests);
    }
    g_hash_table_destroy(entry->requests);
}

static void
stop(TaskHandle self, void *state)
{
    Entry *entry = state;
    free_requests(entry);
    entry->requests = g_hash_table_new(NULL, NULL);
    EntryPeers_Close(entry);
    EntryControl_Close(entry);
    if (entry->tick != NULL) {
        event_free(entry->tick);
    }
    EntryCaller_Close(entry);
    EntryClaims_Free(entry->claims);
    EntrySuspects_Free(entry->suspects);
    Place_Free(entry->places);
    EntryAccounts_Free(entry->accounts);
    EntryRules_Free(entry);
    g_ptr_array_free(entry->ack_due, TRUE);
    g_hash_table_destroy(entry->requests);
    g_free(entry);
}

static json_t *
dump_waiting(const Entry *entry)
{
    json_t *waiting = json_array();
    for (uint32_t tier = 0; tier < WORK_TIERS; tier++) {
        json_array_append_new(waiting,
                              json_integer(entry->waiting[tier].length));
    }
    return waiting;
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Entry *entry = state;
    json_t *part = json_pack(
        "{s:i, s:o, s:o, s:I, s:b, s:s, s:I, s:I, s:i, s:o, s:b}", "requests",
        (int)g_hash_table_size(entry->requests), "request_list",
        Request_Dump(entry, DUMP_REQUESTS_MAX), "waiting_by_tier",
        dump_waiting(entry), "rules_version", (json_int_t)entry->lease.version,
        "lease", EntryControl_HasLease(entry, Clock_Now()), "lease_mode",
        entry->lease.leader_mode ? "leader" : "majority", "lease_renewals",
        (json_int_t)entry->lease.renewals, "lease_retries",
        (json_int_t)entry->lease.retries, "claim_commands",
        (int)EntryClaims_PendingCount(entry->claims), "agents",
        EntryPeers_Dump(entry), "draining", entry->draining);
    json_object_update(out, part);
    json_decref(part);
}

static const TaskOps entry_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

int
Entry_AddTask(Kernel *kernel, const Settings *settings, Error *err)
{
    Entry *entry = g_new0(Entry, 1);
    entry->settings = settings;
    entry->self =
        LinkIdentity_Make(settings, WIRE__ROLE__ROLE_ENTRY, settings->name);
    entry->peers = g_hash_table_new(g_str_hash, g_str_equal);
    entry->peers_by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry->peers_by_place = g_ptr_array_new();
    entry->requests = g_hash_table_new(RequestId_HashKey, RequestId_EqualKeys);
    entry->ack_due = g_ptr_array_new();
    entry->hosts = g_ptr_array_new();
    entry->claims = EntryClaims_New(entry);
    entry->suspects = EntrySuspects_New();
    entry->accounts = EntryAccounts_New();
    entry->places = Place_New(&(PlaceConfig){
        .capacity = ENDPOINTS_MAX,
        .wants = WANTS_PER_REQUEST,
        .zone = Work_TargetHash(false, settings->zone),
        .region = Work_TargetHash(false, settings->region),
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
