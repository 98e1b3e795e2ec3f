/** @file
 * Control task: connects the replica, the state machine, the links to entries,
 * agents and other control hosts, and the administration API.
 */
#include "control/control.h"

#include <string.h>

#include <sodium.h>

#include "control/replies.h"
#include "control/service.h"
#include "kernel/log.h"
#include "wire/identity.h"

#define BOOTSTRAP_AUTHOR "bootstrap"

uint64_t
Control_LinkSerial(const Control *control, const Link *link)
{
    const uint64_t *serial = g_hash_table_lookup(control->open_links, link);
    return serial == NULL ? 0 : *serial;
}

bool
Control_HasPeer(const Control *control, uint64_t incarnation)
{
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, control->open_links);
    while (g_hash_table_iter_next(&iter, &link, NULL)) {
        const Wire__Hello *peer = Link_Peer(link);
        if (peer != NULL && peer->incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

/* ---- Callbacks of the replica ---- */

static void
on_apply(void *owner, uint64_t index, const uint8_t *bytes, size_t length)
{
    Control *control = owner;
    Wire__Command *command = wire__command__unpack(NULL, length, bytes);
    if (command == NULL) {
        LOG_ERROR(CONTROL_PART, "Command cannot be decoded. index=%llu",
                  (unsigned long long)index);
        return;
    }
    Wire__CommandReply reply;
    State_Apply(control->state, index, command, &reply);
    Leases_OnApplied(control, index);
    Commands_OnApplied(control, &reply);
    wire__command__free_unpacked(command, NULL);
}

static void
on_command_durable(void *owner, uint64_t index, const uint8_t *bytes,
                   size_t length)
{
    Wire__Command *command = wire__command__unpack(NULL, length, bytes);
    if (command != NULL) {
        Leases_OnAppended(owner, index, command);
        wire__command__free_unpacked(command, NULL);
    }
}

static void
on_truncated(void *owner, uint64_t index)
{
    Leases_OnTruncated(owner, index);
}

static GBytes *
on_snapshot(void *owner)
{
    const Control *control = owner;
    return State_Save(control->state);
}

static int
on_restore(void *owner, const uint8_t *bytes, size_t length, Error *err)
{
    Control *control = owner;
    State *state = State_Load(&state_limits, bytes, length, err);
    if (state == NULL) {
        return ERR_CORRUPT;
    }
    State_Free(control->state);
    control->state = state;
    return ERR_OK;
}

static void
on_bootstrapped(void *arg, const Wire__CommandReply *reply)
{
    if (reply->code != ERR_OK && reply->code != ERR_CONFLICT) {
        LOG_ERROR(CONTROL_PART, "Bootstrap rules were refused. why=\"%s\"",
                  reply->text);
    }
}

/* The first leader of a new cluster applies the rule file named in its
 * settings. The change is based on version 0, so it is refused as a conflict
 * if another change was accepted first. */
static void
apply_bootstrap_rules(Control *control)
{
    const char *path = control->settings->control->rules;
    if (Rulebook_Version(State_Rulebook(control->state)) != 0 ||
        path == NULL || path[0] == '\0')
    {
        return;
    }
    char *text;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        LOG_ERROR(CONTROL_PART, "Cannot read rule file. path=%s", path);
        return;
    }
    uint8_t id[COMMAND_ID_BYTES];
    randombytes_buf(id, sizeof(id));
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    command.kind = WIRE__COMMAND_KIND__COMMAND_APPLY_RULES;
    command.author = BOOTSTRAP_AUTHOR;
    command.text = text;
    Commands_Submit(control, &command, on_bootstrapped, NULL);
    g_free(text);
}

static void
on_leadership_changed(void *owner, bool is_leader)
{
    Control *control = owner;
    control->is_leader = is_leader;
    control->clock_base_time = Clock_Now();
    control->clock_base_ms = State_ClockMs(control->state);
    Sweep_Reset(control);
    if (!is_leader) {
        Commands_FailAll(control, ERR_TIMEOUT,
                         "Leadership changed; retry with the same command "
                         "id.");
        LOG_INFO(CONTROL_PART, "Leads no longer.");
        return;
    }
    LOG_INFO(CONTROL_PART, "Leads.");
    apply_bootstrap_rules(control);
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
on_connected(Link *link, void *owner)
{
    Control *control = owner;
    uint64_t serial = ++control->link_serial;
    g_hash_table_insert(control->open_links, link,
                        g_memdup2(&serial, sizeof(serial)));
    LOG_INFO(CONTROL_PART, "Peer connected. peer=%s", Link_Peer(link)->name);
}

static void
on_disconnected(Link *link, void *owner)
{
    Control *control = owner;
    g_hash_table_remove(control->open_links, link);
    Members_OnLinkDown(control->members, link, Clock_Now());
    Commands_OnLinkDown(control, link);
    Leases_OnLinkDown(control, link);
    Replica_OnLinkDisconnected(control->replica, link);
}

static void
on_presence(Control *control, Link *link, const Wire__Presence *presence)
{
    const Wire__Hello *peer = Link_Peer(link);
    if (presence->role != peer->role ||
        presence->incarnation != peer->incarnation) {
        return;
    }
    Members_Update(control->members, link, presence);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Control *control = owner;
    if (Link_Peer(link)->role == WIRE__ROLE__ROLE_CONTROL) {
        Replica_OnFrame(control->replica, link, frame);
        return;
    }
    if (Queries_OnFrame(control, link, frame)) {
        return;
    }
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_LEASE_REQUEST:
        Leases_OnFrame(control, link, frame->lease_request);
        break;
    case WIRE__FRAME__BODY_PRESENCE:
        on_presence(control, link, frame->presence);
        break;
    case WIRE__FRAME__BODY_COMMAND:
        Commands_OnFrame(control, link, frame->command);
        break;
    case WIRE__FRAME__BODY_ORDER_REPLY:
        Orders_OnReply(control, frame->order_reply);
        break;
    default:
        break;
    }
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

/* ---- The task ---- */

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Control *control = arg;
    TimeUs now = Clock_Now();
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    Leases_OnApplied(control, status.applied_index);
    Members_Tick(control->members, now);
    Commands_Tick(control, now);
    Orders_Tick(control, now);
    Sweep_Tick(control, now);
    if (control->draining && !status.is_leader) {
        Task_ReportDrained(control->task);
    }
}

static int
open_listeners(Control *control, Error *err)
{
    const SettingsControlHost *host =
        Control_FindHost(control, control->settings->control->id);
    INVARIANT(host != NULL);
    Address address;
    int result = Address_Parse(host->address, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    control->link_server = Link_Listen(control->base, &control->self, &address,
                                       &link_ops, control, err);
    if (control->link_server == NULL) {
        return err->code;
    }
    result = Address_Parse(host->admin, &address, err);
    return result == ERR_OK ? Admin_Open(control, &address, err) : result;
}

static int
start(TaskHandle self, void *state, Error *err)
{
    Control *control = state;
    control->task = self;
    control->base = Task_Base(self);
    control->replica =
        Replica_Open(control->base, control->settings, &control->self,
                     &replica_ops, control, err);
    if (control->replica == NULL) {
        return err->code;
    }
    int result = open_listeners(control, err);
    if (result != ERR_OK) {
        return result;
    }
    control->tick = event_new(control->base, -1, EV_PERSIST, on_tick, control);
    struct timeval period = {.tv_usec = CONTROL_TICK_MS * US_PER_MS};
    event_add(control->tick, &period);
    return ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

/* A leader transfers leadership first, and on_tick reports the task as drained
 * once this host is no longer the leader. */
static void
drain(TaskHandle self, void *state)
{
    Control *control = state;
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    control->draining = true;
    if (status.is_leader && status.voter_count > 1) {
        Replica_TransferLeadership(control->replica);
        return;
    }
    Task_ReportDrained(self);
}

static void
close_all(Control *control)
{
    if (control->tick != NULL) {
        event_free(control->tick);
    }
    Commands_FailAll(control, ERR_TIMEOUT,
                     "This host is shutting down; retry with the same "
                     "command id.");
    Orders_FailAll(control);
    if (control->replica != NULL) {
        Replica_Close(control->replica);
    }
    Admin_Close(control);
    if (control->link_server != NULL) {
        Link_CloseServer(control->link_server);
    }
}

static void
stop(TaskHandle self, void *state)
{
    Control *control = state;
    close_all(control);
    State_Free(control->state);
    Members_Free(control->members);
    g_array_free(control->pending_rules, TRUE);
    g_array_free(control->lease_queue, TRUE);
    g_array_free(control->lease_confirming, TRUE);
    g_hash_table_destroy(control->waiters);
    g_hash_table_destroy(control->orders);
    g_hash_table_destroy(control->absent_since);
    g_hash_table_destroy(control->open_links);
    g_free(control);
}

static json_t *
links_to_json(const Control *control)
{
    json_t *links = json_array();
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, control->open_links);
    while (g_hash_table_iter_next(&iter, &link, NULL)) {
        json_t *one = json_object();
        Link_Dump(link, one);
        json_array_append_new(links, one);
    }
    return links;
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    Control *control = state;
    const Claims *claims = State_Claims(control->state);
    json_t *replica = json_object();
    Replica_Dump(control->replica, replica);
    json_t *values = json_pack(
        "{s:o, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}",
        "replica", replica, "leads", control->is_leader, "clock_ms",
        (json_int_t)State_ClockMs(control->state), "rules_version",
        (json_int_t)Rulebook_Version(State_Rulebook(control->state)),
        "rules_pending_version", (json_int_t)Leases_PendingVersion(control),
        "claims", (json_int_t)Claims_Count(claims), "claims_running",
        (json_int_t)Claims_RunningCount(claims), "claim_answer_bytes",
        (json_int_t)Claims_AnswerBytes(claims), "commands_waiting",
        (json_int_t)g_hash_table_size(control->waiters), "quarantine",
        (json_int_t)State_QuarantineCount(control->state), "entries",
        Members_ToJson(control->members, WIRE__ROLE__ROLE_ENTRY), "agents",
        Members_ToJson(control->members, WIRE__ROLE__ROLE_AGENT), "links",
        links_to_json(control));
    json_object_update(out, values);
    json_decref(values);
}

static const TaskOps control_ops = {
    .start = start,
    .receive = receive,
    .drain = drain,
    .stop = stop,
    .dump = dump,
};

static Control *
new_control(const Settings *settings)
{
    Control *control = g_new0(Control, 1);
    control->settings = settings;
    control->self =
        LinkIdentity_Make(settings, WIRE__ROLE__ROLE_CONTROL, settings->name);
    control->state = State_New(&state_limits);
    control->members =
        Members_New((uint32_t)control->self.incarnation & 0xffffffu);
    control->pending_rules = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    control->lease_queue =
        g_array_new(FALSE, FALSE, sizeof(PendingLeaseRequest));
    control->lease_confirming =
        g_array_new(FALSE, FALSE, sizeof(PendingLeaseRequest));
    control->waiters = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
    control->orders = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
    control->absent_since =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    control->open_links = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return control;
}

int
Control_AddTask(Kernel *kernel, const Settings *settings, Error *err)
{
    Kernel_AddTask(kernel, &(TaskSpec){
                               .name = "control",
                               .ops = &control_ops,
                               .state = new_control(settings),
                           });
    return ERR_OK;
}
