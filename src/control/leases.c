/** @file
 * Leases: replies from which an entry learns whether its rules are in force.
 *
 * A request with `confirm` is granted by the leader after a majority has
 * confirmed its leadership. A request without `confirm` is answered at once by
 * every voter with its applied rules version and the newest one on its disk,
 * and the entry compares the replies of a majority.
 */
#include "control/service.h"

static void
send_reply(const Control *control, Link *link, uint64_t sequence, bool granted)
{
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    Wire__LeaseReply reply = WIRE__LEASE_REPLY__INIT;
    reply.sequence = sequence;
    reply.granted = granted;
    reply.rules_version = Rulebook_Version(State_Rulebook(control->state));
    reply.pending_version = Leases_PendingVersion(control);
    reply.quarantine_version = State_QuarantineVersion(control->state);
    reply.term = status.term;
    reply.replica = status.is_voter ? status.id : 0;
    reply.config_index = status.config_index;
    reply.voters = status.voters;
    reply.n_voters = status.voter_count;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_LEASE_REPLY;
    frame.lease_reply = &reply;
    Link_Send(link, &frame);
}

static void start_confirmation(Control *control);

/* Grants the requests only when every committed command is applied here:
 * otherwise the rules of this host may be out of date. */
static void
on_confirmed(void *arg, bool leads)
{
    Control *control = arg;
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    bool granted = leads && status.applied >= status.commit;
    for (guint i = 0; i < control->lease_asked->len; i++) {
        LeaseAsk *ask = &g_array_index(control->lease_asked, LeaseAsk, i);
        if (ask->link != NULL) {
            send_reply(control, ask->link, ask->sequence, granted);
        }
    }
    g_array_set_size(control->lease_asked, 0);
    if (control->lease_waiting->len > 0) {
        start_confirmation(control);
    }
}

/* A confirmation is valid only for requests that arrived before it started. */
static void
start_confirmation(Control *control)
{
    GArray *asked = control->lease_waiting;
    control->lease_waiting = control->lease_asked;
    control->lease_asked = asked;
    Replica_ConfirmLeadership(control->replica, on_confirmed, control);
}

static void
ask_leader(Control *control, Link *link, uint64_t sequence)
{
    LeaseAsk ask = {.link = link, .sequence = sequence};
    g_array_append_val(control->lease_waiting, ask);
    if (control->lease_asked->len == 0) {
        start_confirmation(control);
    }
}

void
Leases_OnFrame(Control *control, Link *link, const Wire__LeaseRequest *request)
{
    if (request->confirm && control->is_leader) {
        ask_leader(control, link, request->sequence);
        return;
    }
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    bool granted = !request->confirm && status.is_voter && !status.read_only;
    send_reply(control, link, request->sequence, granted);
}

static void
forget_link(GArray *asks, const Link *link)
{
    for (guint i = 0; i < asks->len; i++) {
        LeaseAsk *ask = &g_array_index(asks, LeaseAsk, i);
        if (ask->link == link) {
            ask->link = NULL;
        }
    }
}

void
Leases_LinkDown(Control *control, Link *link)
{
    forget_link(control->lease_waiting, link);
    forget_link(control->lease_asked, link);
}

void
Leases_Appended(Control *control, uint64_t index, const Wire__Command *command)
{
    if (command->kind == WIRE__COMMAND_KIND__COMMAND_APPLY_RULES) {
        g_array_append_val(control->pending_rules, index);
    }
}

void
Leases_Truncated(Control *control, uint64_t index)
{
    GArray *pending = control->pending_rules;
    while (pending->len > 0 &&
           g_array_index(pending, uint64_t, pending->len - 1) >= index)
    {
        g_array_set_size(pending, pending->len - 1);
    }
}

void
Leases_Applied(Control *control, uint64_t index)
{
    GArray *pending = control->pending_rules;
    guint applied = 0;
    while (applied < pending->len &&
           g_array_index(pending, uint64_t, applied) <= index)
    {
        applied++;
    }
    if (applied > 0) {
        g_array_remove_range(pending, 0, applied);
    }
}

uint64_t
Leases_PendingVersion(const Control *control)
{
    const GArray *pending = control->pending_rules;
    if (pending->len > 0) {
        return g_array_index(pending, uint64_t, pending->len - 1);
    }
    return Rulebook_Version(State_Rulebook(control->state));
}
