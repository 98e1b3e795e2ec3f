/** @file
 * Sweep: the leader proposes to mark the running claims of disconnected
 * entries as lost. Marking a claim too early is harmless: a lost claim is
 * never run again, and its owner may still report the result.
 */
#include <sodium.h>

#include "control/replies.h"
#include "control/service.h"
#include "kernel/log.h"

#define OWNERS_A_SWEEP 256

static void
on_swept(void *arg, const Wire__CommandReply *reply)
{
}

static void
propose(Control *control, const GArray *gone)
{
    uint8_t id[COMMAND_ID_BYTES];
    randombytes_buf(id, sizeof(id));
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    command.kind = WIRE__COMMAND_KIND__COMMAND_CLAIMS_LOST;
    command.owners = (uint64_t *)gone->data;
    command.n_owners = gone->len;
    LOG_WARN(CONTROL_PART,
             "Marking claims of disconnected entries as lost. entries=%u",
             gone->len);
    Commands_Submit(control, &command, on_swept, NULL);
}

/* Whether the owner has had no link for CONTROL_OWNER_GONE_MS. Records the
 * time at which its absence was first seen. */
static bool
is_gone(Control *control, uint64_t owner, TimeUs now)
{
    if (Control_HasPeer(control, owner)) {
        g_hash_table_remove(control->absent, &owner);
        return false;
    }
    const TimeUs *since = g_hash_table_lookup(control->absent, &owner);
    if (since == NULL) {
        g_hash_table_insert(control->absent, g_memdup2(&owner, sizeof(owner)),
                            g_memdup2(&now, sizeof(now)));
        return false;
    }
    return now - *since >= CONTROL_OWNER_GONE_MS * US_PER_MS;
}

void
Sweep_Tick(Control *control, TimeUs now)
{
    if (!control->is_leader) {
        return;
    }
    GHashTable *owners = Claims_RunningOwners(State_Claims(control->state));
    GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, owners);
    while (gone->len < OWNERS_A_SWEEP &&
           g_hash_table_iter_next(&iter, &key, NULL)) {
        uint64_t owner = *(uint64_t *)key;
        if (is_gone(control, owner, now)) {
            g_array_append_val(gone, owner);
            g_hash_table_remove(control->absent, &owner);
        }
    }
    if (gone->len > 0) {
        propose(control, gone);
    }
    g_array_free(gone, TRUE);
    g_hash_table_unref(owners);
}

void
Sweep_Reset(Control *control)
{
    g_hash_table_remove_all(control->absent);
}
