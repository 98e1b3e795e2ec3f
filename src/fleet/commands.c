/** @file
 * Fleet task: commands that this host proposed or submitted to the leader and
 * that are not yet applied.
 */
#include <string.h>

#include "fleet/state.h"
#include "kernel/log.h"

/* Time after which a command that was not applied is reported as
 * FLEET_UNKNOWN. */
#define COMMAND_TIMEOUT_US (4 * US_PER_S)
/* Time after which a submitted command that was not applied is sent again: it
 * may have been lost on its way, or with a leader. Longer than a commit takes
 * over the links between two regions. */
#define RESUBMIT_US (200 * US_PER_MS)

typedef struct PendingCommand {
    FleetDone done;
    void *arg;
    TimeUs expires_at;
    GBytes *submitted; /* command that is submitted again; NULL: it is not */
    TimeUs submit_at;
} PendingCommand;

void
FleetCommands_FreePending(gpointer data)
{
    PendingCommand *pending = data;
    if (pending->submitted != NULL) {
        g_bytes_unref(pending->submitted);
    }
    g_free(pending);
}

static void
report(const PendingCommand *pending, const FleetResult *result)
{
    if (pending->done != NULL) {
        pending->done(pending->arg, result);
    }
}

bool
FleetCommands_IsPending(const Fleet *fleet, uint64_t id)
{
    return g_hash_table_contains(fleet->pending_commands, &id);
}

void
FleetCommands_Finish(Fleet *fleet, uint64_t id, FleetOutcome outcome)
{
    const PendingCommand *pending =
        g_hash_table_lookup(fleet->pending_commands, &id);
    if (pending == NULL) {
        return;
    }
    FleetResult result = {
        .outcome = outcome,
        .version = fleet->document.version,
        .text = outcome == FLEET_CONFLICT
                    ? "Another change was applied at the same time."
                    : NULL,
    };
    report(pending, &result);
    g_hash_table_remove(fleet->pending_commands, &id);
}

/* Reports FLEET_UNKNOWN for the pending commands that @p applies names. */
static void
fail_if(Fleet *fleet, bool (*applies)(const PendingCommand *, TimeUs),
        TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->pending_commands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (applies(value, now)) {
            FleetResult result = {.outcome = FLEET_UNKNOWN};
            report(value, &result);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static bool
is_any(const PendingCommand *pending, TimeUs now)
{
    return true;
}

static bool
is_proposed_only(const PendingCommand *pending, TimeUs now)
{
    return pending->submitted == NULL;
}

static bool
has_expired(const PendingCommand *pending, TimeUs now)
{
    return now >= pending->expires_at;
}

void
FleetCommands_FailAll(Fleet *fleet)
{
    fail_if(fleet, is_any, 0);
}

void
FleetCommands_OnLeadershipLost(Fleet *fleet)
{
    fail_if(fleet, is_proposed_only, 0);
}

static void
submit(const Fleet *fleet, PendingCommand *pending, TimeUs now)
{
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(pending->submitted, &length);
    int result = Replica_Submit(fleet->replica, bytes, length);
    if (result != ERR_OK) {
        LOG_DEBUG(FLEET_PART, "Command is not submitted yet. code=%d", result);
    }
    pending->submit_at = now + RESUBMIT_US;
}

void
FleetCommands_OnTick(Fleet *fleet, TimeUs now)
{
    fail_if(fleet, has_expired, now);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->pending_commands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PendingCommand *pending = value;
        if (pending->submitted != NULL && now >= pending->submit_at) {
            submit(fleet, pending, now);
        }
    }
}

void
FleetCommands_ReportNotLeader(Fleet *fleet, FleetDone done, void *arg)
{
    ReplicaStatus status;
    Replica_GetStatus(fleet->replica, &status);
    FleetResult result = {.outcome = FLEET_UNAVAILABLE};
    char *host = g_strdup(status.leader_address);
    char *colon = strrchr(host, ':');
    if (!status.is_leader && status.leader != 0 &&
        status.leader != status.id && colon != NULL)
    {
        *colon = '\0';
        result.outcome = FLEET_NOT_LEADER;
        result.leader = host;
    }
    done(arg, &result);
    g_free(host);
}

static PendingCommand *
add_pending(Fleet *fleet, uint64_t id, TimeUs timeout, FleetDone done,
            void *arg)
{
    PendingCommand *pending = g_new0(PendingCommand, 1);
    *pending = (PendingCommand){
        .done = done,
        .arg = arg,
        .expires_at = Clock_Now() + timeout,
    };
    g_hash_table_insert(fleet->pending_commands, g_memdup2(&id, sizeof(id)),
                        pending);
    return pending;
}

void
FleetCommands_Submit(Fleet *fleet, uint64_t id, GBytes *command,
                     TimeUs timeout, FleetDone done, void *arg)
{
    PendingCommand *pending = add_pending(fleet, id, timeout, done, arg);
    pending->submitted = command;
    submit(fleet, pending, Clock_Now());
}

bool
FleetCommands_Propose(Fleet *fleet, uint64_t id, GBytes *command,
                      FleetDone done, void *arg)
{
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(command, &length);
    int result = Replica_Propose(fleet->replica, bytes, length);
    g_bytes_unref(command);
    if (result != ERR_OK) {
        if (done != NULL) {
            FleetCommands_ReportNotLeader(fleet, done, arg);
        }
        return false;
    }
    add_pending(fleet, id, COMMAND_TIMEOUT_US, done, arg);
    return true;
}
