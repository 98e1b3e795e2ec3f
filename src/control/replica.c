/** @file
 * Replica: passes the outputs of the log core to the store's writer thread,
 * the links and the owner of the state, and their results back to the core.
 */
#include "control/replica.h"

#include <string.h>

#include <sys/random.h>

#include "control/replica_state.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#define HEARTBEAT_INTERVAL_US (100 * US_PER_MS)
#define ELECTION_TIMEOUT_US (500 * US_PER_MS)
/* Election timeout with automatic membership, where gateways wait for a leader
 * after every restart. It spans several heartbeats and exceeds the time for
 * which the processor quota may suspend a host. */
#define ELECTION_TIMEOUT_AUTO_US (350 * US_PER_MS)
/* A host that reconnects with another disk replaces its old membership entry
 * when the old disk has been silent for this time. */
#define REPLACE_TIMEOUT_US (5 * US_PER_S)
/* Shorter replace timeout with automatic membership: the platform provides the
 * folder, so another disk at a known address means that the old disk is lost.
 */
#define REPLACE_TIMEOUT_AUTO_US (500 * US_PER_MS)
/* Automatic membership keeps one voter in each availability zone. */
#define ZONE_VOTERS_MIN 1
/* A member that has been silent for this time is not live: a voter then gives
 * its vote to a live host of its zone, a host without a vote is removed.
 * Longer than a leader's links take to reconnect, shorter than the repair of a
 * host. */
#define SURPLUS_TIMEOUT_US (1500 * US_PER_MS)
#define TICK_INTERVAL_US (25 * US_PER_MS)
/* A snapshot is taken after this many applied entries or bytes of commands. */
#define SNAPSHOT_INTERVAL_ENTRIES 10000
#define SNAPSHOT_INTERVAL_BYTES (16u * 1024 * 1024)
/* Longest time for which committed entries are applied without a pause. */
#define APPLY_MAX_US (20 * US_PER_MS)
/* A leadership confirmation fails after this time. */
#define CONFIRM_TIMEOUT_US (2 * US_PER_S)
/* Interval of the log record of a host that is not a member yet. */
#define JOIN_LOG_INTERVAL_US (10 * US_PER_S)

/* A pending leadership confirmation. */
typedef struct LeadershipConfirmation {
    uint64_t ticket; /* result of LogCore_RequestReadIndex */
    uint64_t term;
    TimeUs deadline;
    void (*done)(void *arg, bool is_leader);
    void *arg;
} LeadershipConfirmation;

void
Replica_Schedule(Replica *replica)
{
    event_active(replica->output_event, EV_TIMEOUT, 0);
}

void
Replica_ReportTruncated(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    uint64_t last_kept = MAX(status.durable_index, status.applied_index);
    if (last_kept >= replica->reported_index) {
        return;
    }
    replica->reported_index = last_kept;
    replica->ops->truncated(replica->owner, last_kept + 1);
}

/* Reports newly durable commands to the owner. */
static void
report_durable(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    replica->reported_index =
        MAX(replica->reported_index, status.snapshot_index);
    while (replica->reported_index < status.durable_index) {
        replica->reported_index++;
        const StoreEntry *entry =
            LogCore_Entry(replica->core, replica->reported_index);
        if (entry == NULL || entry->kind != LOG_ENTRY_COMMAND) {
            continue;
        }
        GBytes *data = g_bytes_ref(entry->data);
        gsize length;
        const uint8_t *command = g_bytes_get_data(data, &length);
        replica->ops->command_durable(replica->owner, replica->reported_index,
                                      command, length);
        g_bytes_unref(data);
    }
}

static void
apply_entry(Replica *replica, const StoreEntry *entry)
{
    if (entry->kind != LOG_ENTRY_COMMAND) {
        return;
    }
    uint64_t index = entry->index;
    GBytes *data = g_bytes_ref(entry->data);
    gsize length;
    const uint8_t *command = g_bytes_get_data(data, &length);
    replica->applied_bytes += length;
    replica->ops->apply(replica->owner, index, command, length);
    g_bytes_unref(data);
}

static int
restore_snapshot(Replica *replica, const StoreSnapshot *snapshot, Error *err)
{
    LogConfig config;
    GBytes *state = NULL;
    int result = LogConfig_UnpackSnapshot(snapshot->data, &config, &state);
    if (result != ERR_OK) {
        return Error_Set(err, result,
                         "The snapshot does not contain a valid membership.");
    }
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(state, &length);
    result = replica->ops->restore(replica->owner, bytes, length, err);
    g_bytes_unref(state);
    replica->applied_bytes = 0;
    replica->reported_index = MAX(replica->reported_index, snapshot->index);
    return result;
}

/* Applies what is committed. After APPLY_MAX_US the rest is left for the next
 * iteration of the event loop, so that heartbeats go on. */
static int
apply_committed(Replica *replica, Error *err)
{
    const StoreEntry *entry;
    const StoreSnapshot *snapshot;
    TimeUs end = Clock_Now() + APPLY_MAX_US;
    for (;;) {
        switch (LogCore_NextApply(replica->core, &entry, &snapshot)) {
        case LOG_APPLY_NONE:
            report_durable(replica);
            return ERR_OK;
        case LOG_APPLY_ENTRY: {
            StoreEntry copy = *entry;
            g_bytes_ref(copy.data);
            report_durable(replica);
            apply_entry(replica, &copy);
            g_bytes_unref(copy.data);
            if (Clock_Now() >= end) {
                Replica_Schedule(replica);
                return ERR_OK;
            }
            break;
        }
        case LOG_APPLY_SNAPSHOT: {
            int result = restore_snapshot(replica, snapshot, err);
            if (result != ERR_OK) {
                return result;
            }
            break;
        }
        }
    }
}

static void
compact_log(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    if (status.applied_index - status.snapshot_index <
            SNAPSHOT_INTERVAL_ENTRIES &&
        replica->applied_bytes < SNAPSHOT_INTERVAL_BYTES)
    {
        return;
    }
    GBytes *state = replica->ops->snapshot(replica->owner);
    LogCore_Compact(replica->core, state);
    g_bytes_unref(state);
    replica->applied_bytes = 0;
    LOG_INFO(REPLICA_PART, "Snapshot taken. index=%llu",
             (unsigned long long)status.applied_index);
}

/* Completes the confirmations that succeeded, failed or timed out. */
static void
complete_confirmations(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    TimeUs now = Clock_Now();
    for (guint i = 0; i < replica->confirmations->len;) {
        LeadershipConfirmation confirmation =
            g_array_index(replica->confirmations, LeadershipConfirmation, i);
        bool is_leader = status.is_leader && status.term == confirmation.term;
        bool confirmed = is_leader && LogCore_IsReadIndexReady(
                                          replica->core, confirmation.ticket);
        if (is_leader && !confirmed && now < confirmation.deadline) {
            i++;
            continue;
        }
        g_array_remove_index(replica->confirmations, i);
        confirmation.done(confirmation.arg, confirmed);
    }
}

/* Updates the metrics and reports a change of leadership to the owner. */
static void
report_leadership(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    Counter_Set(Counter_Get("replica_term", "Term of the replicated log."),
                (int64_t)status.term);
    Counter_Set(Counter_Get("replica_commit_index", "Committed entries."),
                (int64_t)status.commit_index);
    if (status.is_leader == replica->was_leader) {
        return;
    }
    replica->was_leader = status.is_leader;
    Counter_Set(Counter_Get("replica_leads", "1 while this host leads."),
                status.is_leader);
    LOG_INFO(REPLICA_PART, "%s term=%llu last=%llu",
             status.is_leader ? "Leads." : "Leads no longer.",
             (unsigned long long)status.term,
             (unsigned long long)status.last_index);
    replica->ops->leadership_changed(replica->owner, status.is_leader);
}

static void
submit_batches(Replica *replica)
{
    StoreBatch batch;
    while (LogCore_TakeBatch(replica->core, &batch)) {
        PendingBatch pending = {.sequence = batch.sequence,
                                .submitted_at = Clock_Now()};
        g_array_append_val(replica->pending_batches, pending);
        StoreWriter_Submit(replica->writer, &batch);
    }
}

static void
send_messages(Replica *replica)
{
    LogMessage message;
    while (LogCore_TakeMessage(replica->core, &message)) {
        ReplicaLinks_Send(replica, &message);
        LogMessage_Clear(&message);
    }
}

/* Processes all pending outputs of the core. */
static void
process_outputs(Replica *replica)
{
    LogCore_Flush(replica->core, Clock_Now());
    submit_batches(replica);
    send_messages(replica);
    Error err = ERROR_INIT;
    int result = apply_committed(replica, &err);
    if (result != ERR_OK) {
        LOG_ERROR(REPLICA_PART,
                  "Restoring the state from a snapshot failed. why=\"%s\"",
                  err.text);
    }
    INVARIANT(result == ERR_OK);
    complete_confirmations(replica);
    report_leadership(replica);
    compact_log(replica);
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    if (status.config_index != replica->peers_config_index) {
        LOG_INFO(REPLICA_PART,
                 "Membership changed. index=%llu members=%u voters=%u",
                 (unsigned long long)status.config_index, status.config->count,
                 LogConfig_VoterCount(status.config));
        ReplicaLinks_Update(replica);
    }
}

static void
on_output_event(evutil_socket_t fd, short events, void *arg)
{
    process_outputs(arg);
}

/* Fills the initial membership from the settings. Returns true when this host
 * has the lowest id and all others are connected, have an empty log and allow
 * bootstrapping. */
static bool
build_initial_config(Replica *replica, LogConfig *config)
{
    const Settings *settings = replica->settings;
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    *config = (LogConfig){.count = 0};
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        const SettingsControlHost *host = &settings->control_hosts[i];
        LogMember *member = &config->members[config->count++];
        member->id = host->id;
        g_strlcpy(member->address, host->address, LOG_ADDRESS_BYTES);
        if (host->id == status.id) {
            member->disk_id = status.disk_id;
            g_strlcpy(member->zone, settings->zone, LOG_ZONE_BYTES);
            continue;
        }
        const ReplicaIdentity *identity =
            ReplicaLinks_FindIdentity(replica, host->id);
        if (host->id < status.id || identity == NULL || !identity->bootstrap ||
            identity->last_index != 0)
        {
            return false;
        }
        member->disk_id = identity->disk_id;
        g_strlcpy(member->zone, identity->zone, LOG_ZONE_BYTES);
    }
    config->votes = config->count;
    return true;
}

/* Bootstraps the cluster on the host with the lowest id once every configured
 * host is connected and reports an empty log. */
static void
try_bootstrap(Replica *replica, TimeUs now)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    if (status.last_index != 0) {
        return;
    }
    LogConfig config;
    if (replica->settings->control->bootstrap &&
        build_initial_config(replica, &config))
    {
        LOG_INFO(REPLICA_PART, "New cluster bootstrapped. voters=%u",
                 config.count);
        LogCore_Bootstrap(replica->core, &config, now);
        LogCore_Tick(replica->core, now);
        return;
    }
    if (now - replica->join_logged_at >= JOIN_LOG_INTERVAL_US) {
        replica->join_logged_at = now;
        LOG_INFO(REPLICA_PART,
                 "Log is empty; waiting to join a cluster. bootstrap=%s",
                 replica->settings->control->bootstrap ? "yes" : "no");
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    Replica *replica = arg;
    TimeUs now = Clock_Now();
    try_bootstrap(replica, now);
    ReplicaLinks_ReportIdentities(replica, now);
    ReplicaDisk_Check(replica, now);
    LogCore_Tick(replica->core, now);
    process_outputs(replica);
    ReplicaHealth_Check(replica, now);
}

int
Replica_Propose(Replica *replica, const uint8_t *command, size_t length)
{
    GBytes *data = g_bytes_new(command, length);
    int result = LogCore_Propose(replica->core, data);
    g_bytes_unref(data);
    Replica_Schedule(replica);
    return result;
}

int
Replica_Submit(Replica *replica, const uint8_t *command, size_t length)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    return status.is_leader
               ? Replica_Propose(replica, command, length)
               : ReplicaLinks_Forward(replica, status.leader, command, length);
}

void
Replica_ConfirmLeadership(Replica *replica,
                          void (*done)(void *arg, bool is_leader), void *arg)
{
    uint64_t ticket = LogCore_RequestReadIndex(replica->core);
    if (ticket == 0) {
        done(arg, false);
        return;
    }
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    LeadershipConfirmation confirmation = {
        .ticket = ticket,
        .term = status.term,
        .deadline = Clock_Now() + CONFIRM_TIMEOUT_US,
        .done = done,
        .arg = arg,
    };
    g_array_append_val(replica->confirmations, confirmation);
    Replica_Schedule(replica);
}

int
Replica_ChangeMember(Replica *replica, uint32_t id, const char *address,
                     Error *err)
{
    Address parsed;
    if (address != NULL && Address_Parse(address, &parsed, err) != ERR_OK) {
        return err->code;
    }
    const ReplicaIdentity *identity = ReplicaLinks_FindIdentity(replica, id);
    uint64_t disk_id = identity == NULL ? 0 : identity->disk_id;
    int result =
        LogCore_ChangeMember(replica->core, id, disk_id, address, err);
    Replica_Schedule(replica);
    return result;
}

void
Replica_TransferLeadership(Replica *replica)
{
    LogCore_TransferLeadership(replica->core, Clock_Now());
    Replica_Schedule(replica);
}

void
Replica_BeginPlannedStop(Replica *replica)
{
    replica->leaving = true;
    ReplicaLinks_SendHello(replica);
    Replica_TransferLeadership(replica);
}

static Replica *
new_replica(struct event_base *base, const Settings *settings,
            const LinkIdentity *self, const ReplicaOps *ops, void *owner)
{
    Replica *replica = g_new0(Replica, 1);
    replica->base = base;
    replica->settings = settings;
    replica->self = self;
    replica->ops = ops;
    replica->owner = owner;
    replica->peers = g_ptr_array_new();
    replica->identities = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    replica->confirmations =
        g_array_new(FALSE, FALSE, sizeof(LeadershipConfirmation));
    replica->pending_batches = g_array_new(FALSE, FALSE, sizeof(PendingBatch));
    replica->tick_timer = event_new(base, -1, EV_PERSIST, on_tick, replica);
    replica->output_event = event_new(base, -1, 0, on_output_event, replica);
    return replica;
}

static Store *
open_store(const Settings *settings, StoreImage *image, Error *err)
{
    uint64_t disk_id;
    if (getrandom(&disk_id, sizeof(disk_id), 0) != sizeof(disk_id)) {
        Error_Set(err, ERR_IO, "Generating a random disk id failed.");
        return NULL;
    }
    StoreFiles files;
    const char *path = settings->control->data_dir;
    if (StoreFiles_OpenFolder(path, &files, err) != ERR_OK) {
        return NULL;
    }
    return Store_Open(&files, settings->control->id, disk_id, image, err);
}

static int
open_core(Replica *replica, Error *err)
{
    StoreImage image;
    Store *store = open_store(replica->settings, &image, err);
    if (store == NULL) {
        return err->code;
    }
    bool automatic = replica->settings->control->auto_members;
    LogCoreSpec spec = {
        .id = replica->settings->control->id,
        .disk_id = image.disk_id,
        .timing = {.heartbeat_interval = HEARTBEAT_INTERVAL_US,
                   .election_timeout = automatic ? ELECTION_TIMEOUT_AUTO_US
                                                 : ELECTION_TIMEOUT_US,
                   .replace_timeout = automatic ? REPLACE_TIMEOUT_AUTO_US
                                                : REPLACE_TIMEOUT_US,
                   .zone_voters = automatic ? ZONE_VOTERS_MIN : 0,
                   .surplus_timeout = SURPLUS_TIMEOUT_US},
        .seed = g_random_int(),
        .now = Clock_Now(),
        .image = &image,
    };
    replica->core = LogCore_New(&spec, err);
    StoreImage_Clear(&image);
    if (replica->core != NULL) {
        replica->writer = StoreWriter_Start(replica->base, store,
                                            ReplicaDisk_OnSaved, replica, err);
    }
    if (replica->writer == NULL) {
        Store_Close(store);
        return err->code;
    }
    return apply_committed(replica, err);
}

Replica *
Replica_Open(struct event_base *base, const Settings *settings,
             const LinkIdentity *self, const ReplicaOps *ops, void *owner,
             Error *err)
{
    if (settings->control_hosts_count > REPLICA_VOTERS_MAX) {
        Error_Set(err, ERR_INVALID,
                  "The settings list more than %d control hosts.",
                  REPLICA_VOTERS_MAX);
        return NULL;
    }
    TimeUs started_at = Clock_Now();
    Replica *replica = new_replica(base, settings, self, ops, owner);
    replica->cause_since = started_at;
    if (open_core(replica, err) != ERR_OK) {
        Replica_Close(replica);
        return NULL;
    }
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    LOG_INFO(REPLICA_PART,
             "Replicated log opened. id=%u disk=%016llx term=%llu "
             "snapshot=%llu last=%llu open_ms=%lld",
             status.id, (unsigned long long)status.disk_id,
             (unsigned long long)status.term,
             (unsigned long long)status.snapshot_index,
             (unsigned long long)status.last_index,
             (long long)(Clock_Now() - started_at) / US_PER_MS);
    ReplicaLinks_Update(replica);
    replica->join_logged_at = Clock_Now();
    struct timeval period = {.tv_usec = TICK_INTERVAL_US};
    event_add(replica->tick_timer, &period);
    event_active(replica->tick_timer, EV_TIMEOUT, 0);
    return replica;
}

void
Replica_Close(Replica *replica)
{
    event_free(replica->tick_timer);
    event_free(replica->output_event);
    for (guint i = 0; i < replica->confirmations->len; i++) {
        LeadershipConfirmation *confirmation =
            &g_array_index(replica->confirmations, LeadershipConfirmation, i);
        confirmation->done(confirmation->arg, false);
    }
    ReplicaLinks_Close(replica);
    if (replica->writer != NULL) {
        StoreWriter_Close(replica->writer);
    }
    if (replica->core != NULL) {
        LogCore_Free(replica->core);
    }
    g_ptr_array_unref(replica->peers);
    g_hash_table_destroy(replica->identities);
    g_array_unref(replica->confirmations);
    g_array_unref(replica->pending_batches);
    g_free(replica);
}
