/** @file
 * Fleet task: the replicated state, the functions of fleet.h, and the links.
 */
#include "fleet/fleet.h"

#include <string.h>

#include <sodium.h>

#include "fleet/directory_file.h"
#include "fleet/rollout_log.h"
#include "fleet/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "routes/origin_news.h"
#include "wire/deflate.h"
#include "wire/identity.h"

#define PART FLEET_PART
#define TASK_NAME "fleet"
#define CRASH_FILE_NAME "crashes"
/* Period of the check for expired commands and for the end of draining. */
#define TICK_MS 100
/* Delay that combines several changes of the directory into one save. */
#define SAVE_DELAY_MS 250
/* Time after which a departure that is not committed is not acknowledged. With
 * the period of the check and the way of the reply it stays below the second
 * after which an endpoint turns to another control host. */
#define DEPARTURE_TIMEOUT_US (700 * US_PER_MS)
/* A read that waits for the confirmation that this host is the leader. */
typedef struct PendingRead {
    Fleet *fleet;
    FleetDone done;
    void *arg;
} PendingRead;

/* ---- The replicated state ---- */

static void
send_superseded(Fleet *fleet, const GPtrArray *superseded)
{
    for (guint i = 0; i < superseded->len; i++) {
        FleetGateways_SendRecord(
            fleet, Directory_Find(fleet->directory, superseded->pdata[i]));
    }
}

RouteTable *
Fleet_Table(Fleet *fleet)
{
    if (!fleet->table_is_stale) {
        return fleet->newest_table;
    }
    fleet->table_is_stale = false;
    fleet->tables_decoded++;
    RouteTable *table = NULL;
    Error err = ERROR_INIT;
    GBytes *plain =
        fleet->document.version == 0
            ? NULL
            : Deflate_Unpack(g_bytes_get_data(fleet->document.deflated, NULL),
                             g_bytes_get_size(fleet->document.deflated),
                             fleet->document.inflated_length);
    if (plain != NULL) {
        gsize length;
        const char *text = g_bytes_get_data(plain, &length);
        if (fleet->codec->decode(text, length, &table, &err) != ERR_OK) {
            LOG_ERROR(PART,
                      "Configuration document cannot be decoded. why=\"%s\"",
                      err.text);
        }
        g_bytes_unref(plain);
    }
    RouteTable_Unref(fleet->newest_table);
    fleet->newest_table = table;
    GPtrArray *superseded = g_ptr_array_new();
    Directory_SetTable(fleet->directory, table, superseded);
    send_superseded(fleet, superseded);
    g_ptr_array_unref(superseded);
    return table;
}

static void schedule_save(Fleet *fleet);

/* Updates the directory and sends changed records to every gateway. */
static void
update_directory(Fleet *fleet, const EndpointRecord *record)
{
    GPtrArray *superseded = g_ptr_array_new();
    if (Directory_Update(fleet->directory, record, superseded)) {
        const EndpointRecord *known =
            Directory_Find(fleet->directory, record->id);
        LOG_INFO(PART,
                 "Endpoint changed. id=%s state=%d address=%s born=%llu "
                 "sequence=%llu",
                 known->id, (int)known->state,
                 known->address != NULL ? known->address : "",
                 (unsigned long long)known->born,
                 (unsigned long long)known->sequence);
        FleetGateways_SendRecord(fleet, known);
        schedule_save(fleet);
    }
    send_superseded(fleet, superseded);
    g_ptr_array_unref(superseded);
}

static void
update_from_departure(void *arg, const EndpointRecord *record)
{
    update_directory(arg, record);
}

static void
on_apply(void *owner, uint64_t index, const uint8_t *command, size_t length)
{
    Fleet *fleet = owner;
    uint64_t id;
    if (Document_Apply(&fleet->document, command, length, &id)) {
        LOG_INFO(PART,
                 "Configuration document applied. version=%llu index=%llu",
                 (unsigned long long)fleet->document.version,
                 (unsigned long long)index);
        Counter_Set(Counter_Get("fleet_config_version",
                                "Version of the newest configuration."),
                    (int64_t)fleet->document.version);
        fleet->table_is_stale = true;
        FleetGateways_SchedulePush(fleet);
    }
    EndpointRecord departure;
    if (Departures_Apply(fleet->departures, command, length, &departure)) {
        update_directory(fleet, &departure);
    }
    FleetOutcome outcome =
        FleetRollouts_OnApply(fleet, index, id, command, length);
    FleetCommands_Finish(fleet, id, outcome);
}

static void
on_command_durable(void *owner, uint64_t index, const uint8_t *command,
                   size_t length)
{
}

static void
on_truncated(void *owner, uint64_t index)
{
}

static GBytes *
on_snapshot(void *owner)
{
    const Fleet *fleet = owner;
    GBytes *state = RolloutLog_AppendTo(Document_Save(&fleet->document),
                                        FleetRollouts_Table(fleet));
    return Departures_AppendTo(state, fleet->departures);
}

static int
on_restore(void *owner, const uint8_t *bytes, size_t length, Error *err)
{
    Fleet *fleet = owner;
    int result = Document_Load(&fleet->document, bytes, length, err);
    if (result == ERR_OK) {
        fleet->table_is_stale = true;
        result = FleetRollouts_OnRestore(fleet, bytes, length, err);
    }
    if (result == ERR_OK) {
        result = Departures_Load(fleet->departures, bytes, length, err);
    }
    if (result == ERR_OK) {
        Departures_ForEach(fleet->departures, update_from_departure, fleet);
    }
    return result;
}

static void
on_leadership_changed(void *owner, bool is_leader)
{
    Fleet *fleet = owner;
    fleet->is_leader = is_leader;
    fleet->leader_since = Clock_Now();
    FleetRollouts_OnLeadership(fleet);
    if (!is_leader) {
        FleetCommands_OnLeadershipLost(fleet);
    }
    else {
        FleetQuotas_OnLeader(fleet);
        FleetGateways_SchedulePush(fleet);
    }
}

static const ReplicaOps replica_ops = {
    .apply = on_apply,
    .command_durable = on_command_durable,
    .truncated = on_truncated,
    .snapshot = on_snapshot,
    .restore = on_restore,
    .leadership_changed = on_leadership_changed,
};

/* ---- Links ---- */

static void
free_peer(gpointer data)
{
    FleetPeer *peer = data;
    g_hash_table_destroy(peer->endpoint_demands);
    g_free(peer);
}

static void
on_connected(Link *link, void *owner)
{
    Fleet *fleet = owner;
    FleetPeer *peer = g_new0(FleetPeer, 1);
    peer->serial = ++fleet->last_serial;
    peer->link = link;
    peer->endpoint_demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(fleet->peers, link, peer);
    LOG_INFO(PART, "Peer connected. peer=%s", Link_Peer(link)->name);
    if (Link_Peer(link)->role == WIRE__ROLE__ROLE_GATEWAY) {
        peer->is_gateway = true;
        FleetGateways_SendDirectory(fleet, link);
        FleetCrashes_SendAll(fleet, link);
    }
}

static void
on_disconnected(Link *link, void *owner)
{
    Fleet *fleet = owner;
    const FleetPeer *peer = g_hash_table_lookup(fleet->peers, link);
    if (peer != NULL && peer->is_gateway) {
        FleetQuotas_OnGatewayLost(fleet, peer);
    }
    g_hash_table_remove(fleet->peers, link);
    Replica_OnLinkDisconnected(fleet->replica, link);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Fleet *fleet = owner;
    if (Link_Peer(link)->role == WIRE__ROLE__ROLE_CONTROL) {
        Replica_OnFrame(fleet->replica, link, frame);
        return;
    }
    FleetGateways_OnFrame(fleet, link, frame);
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

/* ---- Requests of operators and endpoints ---- */

static void
propose(Fleet *fleet, const Document *document, FleetDone done, void *arg)
{
    uint64_t id;
    randombytes_buf(&id, sizeof(id));
    FleetCommands_Propose(fleet, id, Document_PackCommand(id, document), done,
                          arg);
}

void
Fleet_Replace(Fleet *fleet, const char *document, size_t length,
              FleetDone done, void *arg)
{
    RouteTable *table = NULL;
    Error err = ERROR_INIT;
    if (fleet->codec->decode(document, length, &table, &err) != ERR_OK) {
        LOG_WARN(PART, "Configuration document is invalid. why=\"%s\"",
                 err.text);
        FleetResult result = {.outcome = FLEET_INVALID, .text = err.text};
        done(arg, &result);
        return;
    }
    uint64_t version = RouteTable_Version(table);
    RouteTable_Unref(table);
    if (version <= fleet->document.version) {
        LOG_INFO(PART,
                 "Configuration document is not newer than the current one "
                 "and is ignored. offered=%llu "
                 "held=%llu",
                 (unsigned long long)version,
                 (unsigned long long)fleet->document.version);
        FleetResult result = {
            .outcome = FLEET_DONE,
            .version = fleet->document.version,
        };
        done(arg, &result);
        return;
    }
    Document proposed = {
        .version = version,
        .deflated = Deflate_Pack(document, length),
        .inflated_length = (uint32_t)length,
    };
    propose(fleet, &proposed, done, arg);
    Document_Clear(&proposed);
}

static void
on_read_confirmed(void *arg, bool is_leader)
{
    PendingRead *read = arg;
    Fleet *fleet = read->fleet;
    if (!is_leader) {
        FleetCommands_ReportNotLeader(fleet, read->done, read->arg);
        g_free(read);
        return;
    }
    FleetResult result = {
        .outcome = FLEET_DONE,
        .version = fleet->document.version,
    };
    if (result.version != 0) {
        result.document =
            Deflate_Unpack(g_bytes_get_data(fleet->document.deflated, NULL),
                           g_bytes_get_size(fleet->document.deflated),
                           fleet->document.inflated_length);
    }
    read->done(read->arg, &result);
    if (result.document != NULL) {
        g_bytes_unref(result.document);
    }
    g_free(read);
}

void
Fleet_Read(Fleet *fleet, FleetDone done, void *arg)
{
    PendingRead *read = g_new0(PendingRead, 1);
    *read = (PendingRead){.fleet = fleet, .done = done, .arg = arg};
    Replica_ConfirmLeadership(fleet->replica, on_read_confirmed, read);
}

static void
on_save(evutil_socket_t fd, short events, void *arg)
{
    const Fleet *fleet = arg;
    StateFile_Save(fleet->directory_file,
                   DirectoryFile_Pack(fleet->directory));
}

static void
schedule_save(Fleet *fleet)
{
    if (!event_pending(fleet->save_event, EV_TIMEOUT, NULL)) {
        struct timeval delay = {.tv_usec = SAVE_DELAY_MS * US_PER_MS};
        event_add(fleet->save_event, &delay);
    }
}

/* Returns whether an announcement, after it has updated the directory, must be
 * committed before it is acknowledged. One that the directory ignored ends no
 * use of the endpoint.
 * @param before  state of the endpoint before the update. */
static bool
must_commit(const Fleet *fleet, const EndpointRecord *record,
            EndpointState before)
{
    const EndpointRecord *known = Directory_Find(fleet->directory, record->id);
    if (record->state == ENDPOINT_READY || known == NULL ||
        known->state == ENDPOINT_READY)
    {
        return false;
    }
    return before == ENDPOINT_READY ||
           !Departures_Has(fleet->departures, known);
}

/* Submits the departure of an endpoint as the directory has it. */
static void
commit_departure(Fleet *fleet, const char *endpoint_id, FleetDone done,
                 void *arg)
{
    uint64_t id;
    randombytes_buf(&id, sizeof(id));
    EndpointRecord departure = *Directory_Find(fleet->directory, endpoint_id);
    departure.stored = false;
    FleetCommands_Submit(fleet, id, Departures_PackCommand(id, &departure),
                         DEPARTURE_TIMEOUT_US, done, arg);
}

void
Fleet_UpdateEndpoint(Fleet *fleet, const EndpointRecord *record,
                     FleetDone done, void *arg)
{
    Fleet_Table(fleet); /* the directory needs the newest one */
    const EndpointRecord *known = Directory_Find(fleet->directory, record->id);
    EndpointState before = known == NULL ? ENDPOINT_UNKNOWN : known->state;
    update_directory(fleet, record);
    if (must_commit(fleet, record, before)) {
        commit_departure(fleet, record->id, done, arg);
        return;
    }
    FleetResult result = {.outcome = FLEET_DONE};
    done(arg, &result);
}

void
Fleet_OnEndpointLeaving(Fleet *fleet, const Wire__EndpointLeaving *leaving)
{
    if (!Directory_SetLeaving(fleet->directory, leaving->id, leaving->born)) {
        return;
    }
    LOG_INFO(PART,
             "Endpoint says in an answer that it leaves. id=%s born=%llu",
             leaving->id, (unsigned long long)leaving->born);
    FleetGateways_SendRecord(fleet,
                             Directory_Find(fleet->directory, leaving->id));
    schedule_save(fleet);
}

/* ---- The task ---- */

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Fleet *fleet = arg;
    TimeUs now = Clock_Now();
    FleetCommands_OnTick(fleet, now);
    FleetRollouts_OnTick(fleet, now);
    if (fleet->draining && !fleet->is_leader) {
        Task_ReportDrained(fleet->task);
    }
}

static void
load_directory(Fleet *fleet)
{
    GBytes *content = StateFile_Load(fleet->directory_file);
    if (content == NULL) {
        return;
    }
    if (DirectoryFile_Unpack(content, fleet->directory) != ERR_OK) {
        LOG_WARN(PART, "File with the directory of endpoints is malformed and "
                       "ignored.");
    }
    g_bytes_unref(content);
}

static int
start_link_server(Fleet *fleet, Error *err)
{
    const Settings *settings = fleet->settings;
    const char *text = NULL;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        if (settings->control_hosts[i].id == settings->control->id) {
            text = settings->control_hosts[i].address;
        }
    }
    INVARIANT(text != NULL);
    Address address;
    int result = Address_Parse(text, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    fleet->link_server = Link_Listen(fleet->base, &fleet->self, &address,
                                     &link_ops, fleet, err);
    return fleet->link_server == NULL ? err->code : ERR_OK;
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Fleet *fleet = state;
    fleet->task = self;
    fleet->base = Task_Base(self);
    fleet->push_event =
        event_new(fleet->base, -1, 0, FleetGateways_OnPush, fleet);
    fleet->tick_event = event_new(fleet->base, -1, EV_PERSIST, on_tick, fleet);
    fleet->save_event = event_new(fleet->base, -1, 0, on_save, fleet);
    fleet->crash_save_event =
        event_new(fleet->base, -1, 0, FleetCrashes_OnSave, fleet);
    load_directory(fleet);
    FleetCrashes_Load(fleet);
    fleet->replica = Replica_Open(fleet->base, fleet->settings, &fleet->self,
                                  &replica_ops, fleet, err);
    if (fleet->replica == NULL) {
        return err->code;
    }
    struct timeval period = {.tv_usec = TICK_MS * US_PER_MS};
    event_add(fleet->tick_event, &period);
    return start_link_server(fleet, err);
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
drain(TaskHandle self, void *state)
{
    Fleet *fleet = state;
    fleet->draining = true;
    Replica_BeginPlannedStop(fleet->replica);
}

static void
stop(TaskHandle self, void *state)
{
    Fleet *fleet = state;
    FleetCommands_FailAll(fleet);
    if (fleet->replica != NULL) {
        Replica_Close(fleet->replica);
    }
    if (fleet->link_server != NULL) {
        Link_CloseServer(fleet->link_server);
    }
    event_free(fleet->push_event);
    event_free(fleet->save_event);
    event_free(fleet->crash_save_event);
    event_free(fleet->tick_event);
    RouteTable_Unref(fleet->newest_table);
    Document_Clear(&fleet->document);
    Directory_Free(fleet->directory);
    Departures_Free(fleet->departures);
    CrashTable_Free(fleet->crashes);
    StreamOrigins_Free(fleet->origins);
    QuotaLedger_Free(fleet->quotas);
    FleetRollouts_Free(fleet->rollouts);
    g_hash_table_destroy(fleet->lost_gateways);
    StateFile_Free(fleet->directory_file);
    StateFile_Free(fleet->crash_file);
    g_hash_table_destroy(fleet->peers);
    g_hash_table_destroy(fleet->pending_commands);
    g_free(fleet);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Fleet *fleet = state;
    json_object_set_new(out, "version",
                        json_integer((json_int_t)fleet->document.version));
    json_object_set_new(out, "peers",
                        json_integer(g_hash_table_size(fleet->peers)));
    json_object_set_new(
        out, "barred",
        json_integer((json_int_t)CrashTable_Count(fleet->crashes, true)));
    json_object_set_new(out, "silent_gateways",
                        json_real(FleetQuotas_SilentFraction(fleet)));
    json_object_set_new(
        out, "departures",
        json_integer((json_int_t)Departures_Count(fleet->departures)));
    json_object_set_new(out, "tables_decoded",
                        json_integer(fleet->tables_decoded));
    json_t *replica = json_object();
    Replica_Dump(fleet->replica, replica);
    json_object_set_new(out, "replica", replica);
}

static const TaskOps task_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

Fleet *
Fleet_AddTask(Kernel *kernel, const FleetOptions *options)
{
    Fleet *fleet = g_new0(Fleet, 1);
    fleet->settings = options->settings;
    fleet->codec = options->codec;
    fleet->self = LinkIdentity_Make(
        options->settings, WIRE__ROLE__ROLE_CONTROL, options->settings->name);
    fleet->directory = Directory_New();
    fleet->departures = Departures_New();
    fleet->crashes = CrashTable_New();
    fleet->origins = StreamOrigins_New(ORIGIN_NEWS_TABLE_MAX);
    fleet->quotas = QuotaLedger_New();
    fleet->rollouts = FleetRollouts_New(&options->rollouts);
    fleet->lost_gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const char *folder = options->settings->control->data_dir;
    fleet->directory_file = StateFile_New(folder, DIRECTORY_FILE_NAME);
    fleet->crash_file = StateFile_New(folder, CRASH_FILE_NAME);
    fleet->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
    fleet->pending_commands = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, g_free, FleetCommands_FreePending);
    TaskSpec spec = {
        .name = TASK_NAME,
        .ops = &task_ops,
        .state = fleet,
    };
    Kernel_AddTask(kernel, &spec);
    return fleet;
}
