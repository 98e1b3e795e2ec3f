/** @file
 * Sweep: the leader proposes to mark the running claims of disconnected
 * entries as lost. Marking a claim too early is harmless: a lost claim is
 * never run again, and its owner may still report the result.
 */
#include <sodium.h>

#include "control/replies.h"
#include "control/service.h"
#include "kernel/log.h"

#define SWEEP_OWNERS_MAX 256

static void
on_marked_lost(void *arg, const Wire__CommandReply *reply)
{
}

static void
propose_lost(Control *control, const GArray *lost_owners)
{
    uint8_t id[COMMAND_ID_BYTES];
    randombytes_buf(id, sizeof(id));
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    command.kind = WIRE__COMMAND_KIND__COMMAND_CLAIMS_LOST;
    command.owners = (uint64_t *)lost_owners->data;
    command.n_owners = lost_owners->len;
    LOG_WARN(CONTROL_PART,
             "Marking claims of disconnected entries as lost. entries=%u",
             lost_owners->len);
    Commands_Submit(control, &command, on_marked_lost, NULL);
}

/* Whether the owner has had no link for CONTROL_OWNER_ABSENCE_MS. Records the
 * time at which its absence was first seen. */
static bool
has_timed_out(Control *control, uint64_t owner, TimeUs now)
{
    if (Control_HasPeer(control, owner)) {
        g_hash_table_remove(control->absent_since, &owner);
        return false;
    }
    const TimeUs *since = g_hash_table_lookup(control->absent_since, &owner);
    if (since == NULL) {
        g_hash_table_insert(control->absent_since,
                            g_memdup2(&owner, sizeof(owner)),
                            g_memdup2(&now, sizeof(now)));
        return false;
    }
    return now - *since >= CONTROL_OWNER_ABSENCE_MS * US_PER_MS;
}

void
Sweep_Tick(Control *control, TimeUs now)
{
    if (!control->is_leader) {
        return;
    }
    GHashTable *owners = Claims_RunningOwners(State_Claims(control->state));
    GArray *lost_owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, owners);
    while (lost_owners->len < SWEEP_OWNERS_MAX &&
           g_hash_table_iter_next(&iter, &key, NULL))
    {
        uint64_t owner = *(uint64_t *)key;
        if (has_timed_out(control, owner, now)) {
            g_array_append_val(lost_owners, owner);
            g_hash_table_remove(control->absent_since, &owner);
        }
    }
    if (lost_owners->len > 0) {
        propose_lost(control, lost_owners);
    }
    g_array_free(lost_owners, TRUE);
    g_hash_table_unref(owners);
}

void
Sweep_Reset(Control *control)
{
    g_hash_table_remove_all(control->absent_since);
}
