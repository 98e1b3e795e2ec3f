/** @file
 * Queries of entries and agents: rules, members, quarantine, fencing floors.
 */
#include <string.h>

#include "control/service.h"
#include "rules/delta.h"

static void
answer_rules(Control *control, Link *link, const Wire__RulesRequest *request)
{
    const Rulebook *book = State_Rulebook(control->state);
    const char *base = Rulebook_FindText(book, request->have_version);
    Wire__Rules rules = WIRE__RULES__INIT;
    Wire__RulesDelta delta = WIRE__RULES_DELTA__INIT;
    rules.version = Rulebook_Version(book);
    rules.text = (char *)Rulebook_Text(book);
    if (request->accepts_delta && base != NULL) {
        RulesDelta diff = RulesDelta_Make(base, rules.text);
        delta.prefix = diff.prefix;
        delta.suffix = diff.suffix;
        delta.middle.data = (uint8_t *)diff.middle;
        delta.middle.len = diff.middle_length;
        delta.hash = diff.hash;
        rules.text = "";
        rules.base_version = request->have_version;
        rules.delta = &delta;
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_RULES;
    frame.rules = &rules;
    Link_Send(link, &frame);
}

static void
answer_members(Control *control, Link *link, uint64_t have_version)
{
    Wire__Members members = WIRE__MEMBERS__INIT;
    Members_Fill(control->members, have_version, &members);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_MEMBERS;
    frame.members = &members;
    Link_Send(link, &frame);
    g_free(members.members);
    g_free(members.gone);
}

static void
answer_quarantine(Control *control, Link *link)
{
    Wire__Quarantine quarantine = WIRE__QUARANTINE__INIT;
    quarantine.version = State_QuarantineVersion(control->state);
    quarantine.entries =
        State_ListQuarantine(control->state, &quarantine.n_entries);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUARANTINE;
    frame.quarantine = &quarantine;
    Link_Send(link, &frame);
    for (size_t i = 0; i < quarantine.n_entries; i++) {
        g_free(quarantine.entries[i]);
    }
    g_free(quarantine.entries);
}

/* A request for a fencing floor: the latest fencing number of a subject. The
 * reply waits until a majority confirms that this host is the leader. */
typedef struct FenceQuery {
    Control *control;
    Link *link;
    uint64_t link_serial; /* detects that the link was closed meanwhile */
    char *subject;
} FenceQuery;

static void
send_floor(const FenceQuery *query, bool known)
{
    const Control *control = query->control;
    if (Control_LinkSerial(control, query->link) != query->link_serial) {
        return;
    }
    Wire__FenceReply reply = WIRE__FENCE_REPLY__INIT;
    reply.subject = query->subject;
    reply.known = known;
    reply.floor = State_GetFenceNumber(control->state, query->subject);
    Wire__Withdrawal withdrawal;
    if (State_GetWithdrawal(control->state, query->subject, &withdrawal)) {
        reply.withdrawal = &withdrawal;
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_FENCE_REPLY;
    frame.fence_reply = &reply;
    Link_Send(query->link, &frame);
}

static void
on_fence_confirmed(void *arg, bool is_leader)
{
    FenceQuery *query = arg;
    ReplicaStatus status;
    Replica_GetStatus(query->control->replica, &status);
    send_floor(query,
               is_leader && status.applied_index >= status.commit_index);
    g_free(query->subject);
    g_free(query);
}

/* Only a confirmed leader returns the floor: a host with an out-of-date floor
 * would let the agent accept an old order. Other hosts reply `known = false`.
 */
static void
answer_fence(Control *control, Link *link, const Wire__FenceRequest *request)
{
    FenceQuery *query = g_new0(FenceQuery, 1);
    query->control = control;
    query->link = link;
    query->link_serial = Control_LinkSerial(control, link);
    query->subject = g_strdup(request->subject);
    if (control->is_leader) {
        Replica_ConfirmLeadership(control->replica, on_fence_confirmed, query);
        return;
    }
    on_fence_confirmed(query, false);
}

bool
Queries_OnFrame(Control *control, Link *link, const Wire__Frame *frame)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_RULES_REQUEST:
        answer_rules(control, link, frame->rules_request);
        return true;
    case WIRE__FRAME__BODY_MEMBERS_REQUEST:
        answer_members(control, link, frame->members_request->have_version);
        return true;
    case WIRE__FRAME__BODY_QUARANTINE_REQUEST:
        answer_quarantine(control, link);
        return true;
    case WIRE__FRAME__BODY_FENCE_REQUEST:
        answer_fence(control, link, frame->fence_request);
        return true;
    default:
        return false;
    }
}
