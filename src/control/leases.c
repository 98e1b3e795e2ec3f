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
on_confirmed(void *arg, bool is_leader)
{
    Control *control = arg;
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    bool granted = is_leader && status.applied_index >= status.commit_index;
    for (guint i = 0; i < control->lease_confirming->len; i++) {
        PendingLeaseRequest *pending =
            &g_array_index(control->lease_confirming, PendingLeaseRequest, i);
        if (pending->link != NULL) {
            send_reply(control, pending->link, pending->sequence, granted);
        }
    }
    g_array_set_size(control->lease_confirming, 0);
    if (control->lease_queue->len > 0) {
        start_confirmation(control);
    }
}

/* A confirmation is valid only for requests that arrived before it started. */
static void
start_confirmation(Control *control)
{
    GArray *confirming = control->lease_queue;
    control->lease_queue = control->lease_confirming;
    control->lease_confirming = confirming;
    Replica_ConfirmLeadership(control->replica, on_confirmed, control);
}

static void
queue_request(Control *control, Link *link, uint64_t sequence)
{
    PendingLeaseRequest pending = {.link = link, .sequence = sequence};
    g_array_append_val(control->lease_queue, pending);
    if (control->lease_confirming->len == 0) {
        start_confirmation(control);
    }
}

void
Leases_OnFrame(Control *control, Link *link, const Wire__LeaseRequest *request)
{
    if (request->confirm && control->is_leader) {
        queue_request(control, link, request->sequence);
        return;
    }
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    bool granted = !request->confirm && status.is_voter && !status.read_only;
    send_reply(control, link, request->sequence, granted);
}

static void
clear_link(GArray *requests, const Link *link)
{
    for (guint i = 0; i < requests->len; i++) {
        PendingLeaseRequest *pending =
            &g_array_index(requests, PendingLeaseRequest, i);
        if (pending->link == link) {
            pending->link = NULL;
        }
    }
}

void
Leases_OnLinkDown(Control *control, Link *link)
{
    clear_link(control->lease_queue, link);
    clear_link(control->lease_confirming, link);
}

void
Leases_OnAppended(Control *control, uint64_t index,
                  const Wire__Command *command)
{
    if (command->kind == WIRE__COMMAND_KIND__COMMAND_APPLY_RULES) {
        g_array_append_val(control->pending_rules, index);
    }
}

void
Leases_OnTruncated(Control *control, uint64_t index)
{
    GArray *pending = control->pending_rules;
    while (pending->len > 0 &&
           g_array_index(pending, uint64_t, pending->len - 1) >= index)
    {
        g_array_set_size(pending, pending->len - 1);
    }
}

void
Leases_OnApplied(Control *control, uint64_t index)
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
