/** @file
 * Fleet task: commands that this host proposed and that are not yet applied.
 */
#include <string.h>

#include "fleet/state.h"

/* Time after which a command that was not applied is reported as
 * FLEET_UNAVAILABLE. It may still be applied later. */
#define COMMAND_TIMEOUT_US (4 * US_PER_S)

typedef struct PendingCommand {
    FleetDone done;
    void *arg;
    TimeUs expires_at;
} PendingCommand;

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

void
FleetCommands_FailAll(Fleet *fleet)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->pending_commands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        FleetResult result = {.outcome = FLEET_UNAVAILABLE};
        report(value, &result);
        g_hash_table_iter_remove(&iter);
    }
}

void
FleetCommands_Expire(Fleet *fleet, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->pending_commands);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PendingCommand *pending = value;
        if (now >= pending->expires_at) {
            FleetResult result = {.outcome = FLEET_UNAVAILABLE};
            report(pending, &result);
            g_hash_table_iter_remove(&iter);
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
    PendingCommand *pending = g_new0(PendingCommand, 1);
    *pending = (PendingCommand){
        .done = done,
        .arg = arg,
        .expires_at = Clock_Now() + COMMAND_TIMEOUT_US,
    };
    g_hash_table_insert(fleet->pending_commands, g_memdup2(&id, sizeof(id)),
                        pending);
    return true;
}
