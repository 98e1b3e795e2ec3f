/** @file
 * Leases: what an entry needs to know that its rules are the ones in force.
 *
 * An entry asks in one of two ways. With `confirm` the leader answers after
 * a majority has confirmed that it still leads. Without, every voter answers
 * at once with the version accepted here and the newest one on its disk, and
 * the entry compares a majority of answers.
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

/* All that was committed when the majority was asked must be applied before
 * this host may say which rules are in force. */
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

/* A confirmation covers the questions asked before it began. */
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
