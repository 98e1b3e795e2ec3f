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
    const char *base = Rulebook_TextOf(book, request->have_version);
    Wire__Rules rules = WIRE__RULES__INIT;
    Wire__RulesDelta delta = WIRE__RULES_DELTA__INIT;
    rules.version = Rulebook_Version(book);
    rules.text = (char *)Rulebook_Text(book);
    if (request->accepts_delta && base != NULL) {
        RulesDelta made = RulesDelta_Make(base, rules.text);
        delta.prefix = made.prefix;
        delta.suffix = made.suffix;
        delta.middle.data = (uint8_t *)made.middle;
        delta.middle.len = made.middle_length;
        delta.hash = made.hash;
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
    quarantine.entries = Quarantine_List(State_Quarantine(control->state),
                                         &quarantine.n_entries);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUARANTINE;
    frame.quarantine = &quarantine;
    Link_Send(link, &frame);
    for (size_t i = 0; i < quarantine.n_entries; i++) {
        g_free(quarantine.entries[i]);
    }
    g_free(quarantine.entries);
}

/* A request for a fencing floor that waits until a majority confirms that this
 * host is the leader. */
typedef struct FenceAsk {
    Control *control;
    Link *link;
    uint64_t link_serial; /* detects that the link was closed meanwhile */
    char *subject;
} FenceAsk;

static void
send_floor(const FenceAsk *ask, bool known)
{
    const Control *control = ask->control;
    if (Control_LinkSerial(control, ask->link) != ask->link_serial) {
        return;
    }
    Wire__FenceReply reply = WIRE__FENCE_REPLY__INIT;
    reply.subject = ask->subject;
    reply.known = known;
    reply.floor = State_Fence(control->state, ask->subject);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_FENCE_REPLY;
    frame.fence_reply = &reply;
    Link_Send(ask->link, &frame);
}

static void
on_fence_confirmed(void *arg, bool leads)
{
    FenceAsk *ask = arg;
    ReplicaStatus status;
    Replica_GetStatus(ask->control->replica, &status);
    send_floor(ask, leads && status.applied >= status.commit);
    g_free(ask->subject);
    g_free(ask);
}

/* Only a confirmed leader returns the floor: a host with an out-of-date floor
 * would let the agent accept an old order. Other hosts reply `known = false`.
 */
static void
answer_fence(Control *control, Link *link, const Wire__FenceRequest *request)
{
    FenceAsk *ask = g_new0(FenceAsk, 1);
    ask->control = control;
    ask->link = link;
    ask->link_serial = Control_LinkSerial(control, link);
    ask->subject = g_strdup(request->subject);
    if (control->is_leader) {
        Replica_ConfirmLeadership(control->replica, on_fence_confirmed, ask);
        return;
    }
    on_fence_confirmed(ask, false);
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
