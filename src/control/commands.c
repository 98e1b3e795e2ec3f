/** @file
 * Commands: proposes them to the replicated log and passes on their outcomes.
 */
#include <string.h>

#include "control/replies.h"
#include "control/service.h"
#include "kernel/log.h"

/* Callback that waits for the outcome of a command. Several may wait for one
 * command id. */
typedef struct Waiter {
    CommandDone done;
    void *arg;
    Link *link; /* NULL unless the reply is sent to a link */
    TimeUs deadline;
    struct Waiter *next;
} Waiter;

uint64_t
Commands_ClockMs(const Control *control)
{
    TimeUs elapsed = Clock_Now() - control->clock_base_time;
    return control->clock_base_ms + (uint64_t)(elapsed / US_PER_MS);
}

static void
reply_error(const Control *control, const Wire__Command *command, int code,
            const char *text, CommandDone done, void *arg)
{
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    Wire__CommandReply reply = WIRE__COMMAND_REPLY__INIT;
    reply.command_id = command->command_id;
    reply.code = code;
    reply.text = (char *)text;
    reply.leader = status.is_leader ? 0 : status.leader;
    reply.retry_after_ms = CONTROL_RETRY_AFTER_MS;
    done(arg, &reply);
}

/* Packs the command with the leader's clocks and the retention time, so that
 * every host applies the same values. */
static uint8_t *
pack_stamped(const Control *control, const Wire__Command *command,
             size_t *length)
{
    Wire__Command stamped = *command;
    Wire__RulesDelta delta;
    stamped.wall_ms = (uint64_t)Clock_WallMs();
    stamped.clock_ms = Commands_ClockMs(control);
    stamped.retention_ms =
        (uint64_t)control->settings->control->claim_retention_s * 1000;
    stamped.delta = NULL;
    if (stamped.kind == WIRE__COMMAND_KIND__COMMAND_APPLY_RULES) {
        Rulebook_MakeDelta(State_Rulebook(control->state), &stamped, &delta);
    }
    *length = wire__command__get_packed_size(&stamped);
    uint8_t *bytes = g_malloc(*length);
    wire__command__pack(&stamped, bytes);
    return bytes;
}

static int
propose_command(Control *control, const Wire__Command *command)
{
    size_t length;
    uint8_t *bytes = pack_stamped(control, command, &length);
    int result = Replica_Propose(control->replica, bytes, length);
    g_free(bytes);
    return result;
}

static void
add_waiter(Control *control, GBytes *id, CommandDone done, void *arg,
           Link *link)
{
    Waiter *waiter = g_new0(Waiter, 1);
    waiter->done = done;
    waiter->arg = arg;
    waiter->link = link;
    waiter->deadline = Clock_Now() + CONTROL_COMMAND_TIMEOUT_MS * US_PER_MS;
    waiter->next = g_hash_table_lookup(control->waiters, id);
    g_hash_table_insert(control->waiters, g_bytes_ref(id), waiter);
}

/* Removes the newest waiter for @p id. */
static void
remove_newest_waiter(Control *control, GBytes *id)
{
    Waiter *waiter = g_hash_table_lookup(control->waiters, id);
    if (waiter->next == NULL) {
        g_hash_table_remove(control->waiters, id);
    }
    else {
        g_hash_table_insert(control->waiters, g_bytes_ref(id), waiter->next);
    }
    g_free(waiter);
}

static const char *
refusal_text(int code)
{
    return code == ERR_FULL ? "Too many commands are pending."
                            : "This control host is not the leader.";
}

/* The waiter is added before the proposal, because a cluster with one voter
 * may apply the command before Replica_Propose returns. */
static void
submit_command(Control *control, const Wire__Command *command,
               CommandDone done, void *arg, Link *link)
{
    if (command->command_id.len != COMMAND_ID_BYTES) {
        reply_error(control, command, ERR_INVALID,
                    "A command id must have 16 bytes.", done, arg);
        return;
    }
    GBytes *id =
        g_bytes_new(command->command_id.data, command->command_id.len);
    bool in_flight = g_hash_table_contains(control->waiters, id);
    add_waiter(control, id, done, arg, link);
    int result = in_flight ? ERR_OK : propose_command(control, command);
    if (result != ERR_OK) {
        remove_newest_waiter(control, id);
        reply_error(control, command, result, refusal_text(result), done, arg);
    }
    g_bytes_unref(id);
}

void
Commands_Submit(Control *control, const Wire__Command *command,
                CommandDone done, void *arg)
{
    submit_command(control, command, done, arg, NULL);
}

static void
finish_waiters(Waiter *waiter, const Wire__CommandReply *reply)
{
    while (waiter != NULL) {
        Waiter *next = waiter->next;
        waiter->done(waiter->arg, reply);
        g_free(waiter);
        waiter = next;
    }
}

void
Commands_OnApplied(Control *control, const Wire__CommandReply *reply)
{
    GBytes *id = g_bytes_new(reply->command_id.data, reply->command_id.len);
    gpointer stored_id;
    gpointer waiters;
    if (g_hash_table_steal_extended(control->waiters, id, &stored_id,
                                    &waiters)) {
        g_bytes_unref(stored_id);
        finish_waiters(waiters, reply);
    }
    g_bytes_unref(id);
}

static void
fail_waiters(Control *control, GBytes *id, Waiter *waiters, int code,
             const char *text)
{
    gsize length;
    Wire__CommandReply reply = WIRE__COMMAND_REPLY__INIT;
    reply.command_id.data = (uint8_t *)g_bytes_get_data(id, &length);
    reply.command_id.len = length;
    reply.code = code;
    reply.text = (char *)text;
    reply.retry_after_ms = CONTROL_RETRY_AFTER_MS;
    finish_waiters(waiters, &reply);
}

void
Commands_FailAll(Control *control, int code, const char *text)
{
    GHashTable *waiters = control->waiters;
    control->waiters = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
    GHashTableIter iter;
    gpointer id;
    gpointer waiter;
    g_hash_table_iter_init(&iter, waiters);
    while (g_hash_table_iter_next(&iter, &id, &waiter)) {
        fail_waiters(control, id, waiter, code, text);
    }
    g_hash_table_destroy(waiters);
}

void
Commands_Tick(Control *control, TimeUs now)
{
    GHashTableIter iter;
    gpointer id;
    gpointer waiter;
    GPtrArray *expired = g_ptr_array_new();
    g_hash_table_iter_init(&iter, control->waiters);
    while (g_hash_table_iter_next(&iter, &id, &waiter)) {
        if (now >= ((Waiter *)waiter)->deadline) {
            g_ptr_array_add(expired, id);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        g_hash_table_steal_extended(
            control->waiters, g_ptr_array_index(expired, i), &id, &waiter);
        fail_waiters(control, id, waiter, ERR_TIMEOUT,
                     "No majority accepted the command in time; retry with "
                     "the same command id.");
        g_bytes_unref(id);
    }
    g_ptr_array_free(expired, TRUE);
}

static void
reply_to_link(void *arg, const Wire__CommandReply *reply)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND_REPLY;
    frame.command_reply = (Wire__CommandReply *)reply;
    if (arg != NULL) {
        Link_Send(arg, &frame);
    }
}

/* Whether a peer of this role may send this kind of command. */
static bool
is_allowed(Wire__Role role, Wire__CommandKind kind)
{
    switch (kind) {
    case WIRE__COMMAND_KIND__COMMAND_CLAIM:
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE:
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE:
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN:
        return role == WIRE__ROLE__ROLE_ENTRY;
    case WIRE__COMMAND_KIND__COMMAND_CRASH:
    case WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR:
        return role == WIRE__ROLE__ROLE_ENTRY ||
               role == WIRE__ROLE__ROLE_AGENT;
    case WIRE__COMMAND_KIND__COMMAND_WITHDRAWAL:
        return role == WIRE__ROLE__ROLE_AGENT;
    default:
        return false;
    }
}

void
Commands_OnFrame(Control *control, Link *link, const Wire__Command *command)
{
    const Wire__Hello *peer = Link_Peer(link);
    if (!is_allowed(peer->role, command->kind)) {
        reply_error(control, command, ERR_DENIED,
                    "This role is not allowed to send this command.",
                    reply_to_link, link);
        return;
    }
    Wire__Command with_owner = *command;
    if (with_owner.owner == 0) {
        with_owner.owner = peer->incarnation;
    }
    submit_command(control, &with_owner, reply_to_link, link, link);
}

void
Commands_OnLinkDown(Control *control, Link *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, control->waiters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        for (Waiter *waiter = value; waiter != NULL; waiter = waiter->next) {
            if (waiter->link == link) {
                waiter->link = NULL;
                waiter->arg = NULL;
            }
        }
    }
}
