/** @file
 * The agent's links to control hosts. Sends presence and requests the
 * quarantine list, and passes frames on to crash reporting and orders.
 */
#include "agent/state.h"

#include "kernel/log.h"

typedef enum SuspectFlag {
    SUSPECT_ALONE = 1,       /* no other request may run at the same time */
    SUSPECT_QUARANTINED = 2, /* must not run */
    SUSPECT_PART = 4,        /* a part of a prompt, not a request */
} SuspectFlag;

#define QUARANTINE_REQUEST_INTERVAL_MS 1000
#define DUMP_SUSPECTS_MAX 64

void
AgentControl_SendAll(Agent *agent, const Wire__Frame *frame)
{
    for (guint i = 0; i < agent->control_links->len; i++) {
        Link_Send(g_ptr_array_index(agent->control_links, i), frame);
    }
}

void
AgentControl_SendPresence(Agent *agent)
{
    Wire__Presence presence = WIRE__PRESENCE__INIT;
    presence.role = WIRE__ROLE__ROLE_AGENT;
    presence.name = agent->own->name;
    presence.incarnation = agent->self.incarnation;
    presence.address = agent->own->advertise != NULL ? agent->own->advertise
                                                     : agent->own->listen;
    presence.zone = agent->settings->zone;
    presence.region = agent->settings->region;
    presence.kind = agent->endpoint.is_engine ? "engine" : "service";
    presence.service = agent->endpoint.service;
    presence.models = (char **)agent->endpoint.models->pdata;
    presence.n_models = agent->endpoint.models->len;
    presence.leaving = !AgentEndpoint_IsUsable(agent, Clock_Now());
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_PRESENCE;
    frame.presence = &presence;
    AgentControl_SendAll(agent, &frame);
    agent->presence_sent_at = Clock_Now();
}

static gpointer
key_of(uint64_t fingerprint)
{
    return GSIZE_TO_POINTER(fingerprint);
}

static bool
has_flag(const Agent *agent, uint64_t fingerprint, SuspectFlag flag)
{
    gpointer flags = g_hash_table_lookup(agent->suspects, key_of(fingerprint));
    return (GPOINTER_TO_INT(flags) & flag) != 0;
}

bool
AgentControl_IsQuarantined(const Agent *agent, const Subjects *subjects)
{
    for (uint32_t i = 0; i < subject_count(subjects); i++) {
        if (has_flag(agent, subject_at(subjects, i).hash, SUSPECT_QUARANTINED))
        {
            return true;
        }
    }
    return false;
}

bool
AgentControl_IsSuspected(const Agent *agent, uint64_t fingerprint)
{
    return has_flag(agent, fingerprint, SUSPECT_ALONE);
}

bool
AgentControl_IsListedPart(const Agent *agent, uint64_t part)
{
    return has_flag(agent, part, SUSPECT_PART);
}

static void
on_quarantine(Agent *agent, const Wire__Quarantine *message)
{
    if (message->version <= agent->quarantine_version) {
        return;
    }
    agent->quarantine_version = message->version;
    g_hash_table_remove_all(agent->suspects);
    for (size_t i = 0; i < message->n_entries; i++) {
        const Wire__QuarantineEntry *entry = message->entries[i];
        int flags = (entry->is_part       ? SUSPECT_PART
                     : entry->crashes > 0 ? SUSPECT_ALONE
                                          : 0) |
                    (entry->quarantined ? SUSPECT_QUARANTINED : 0);
        g_hash_table_insert(agent->suspects, key_of(entry->fingerprint),
                            GINT_TO_POINTER(flags));
    }
}

static void
request_quarantine(Agent *agent)
{
    Wire__QuarantineRequest request = WIRE__QUARANTINE_REQUEST__INIT;
    request.have_version = agent->quarantine_version;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUARANTINE_REQUEST;
    frame.quarantine_request = &request;
    AgentControl_SendAll(agent, &frame);
}

void
AgentControl_Dump(const Agent *agent, json_t *out)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer key;
    gpointer flags;
    g_hash_table_iter_init(&iter, agent->suspects);
    while (json_array_size(list) < DUMP_SUSPECTS_MAX &&
           g_hash_table_iter_next(&iter, &key, &flags))
    {
        char name[20];
        uint64_t fingerprint = GPOINTER_TO_SIZE(key);
        bool quarantined = GPOINTER_TO_INT(flags) & SUSPECT_QUARANTINED;
        g_snprintf(name, sizeof(name), "%016" G_GINT64_MODIFIER "x",
                   fingerprint);
        json_array_append_new(list,
                              json_pack("{s:s, s:b}", "fingerprint", name,
                                        "quarantined", (int)quarantined));
    }
    json_object_set_new(out, "suspected", list);
}

void
AgentControl_Tick(Agent *agent)
{
    TimeUs now = Clock_Now();
    if (now - agent->quarantine_requested_at >=
        QUARANTINE_REQUEST_INTERVAL_MS * US_PER_MS)
    {
        agent->quarantine_requested_at = now;
        request_quarantine(agent);
    }
}

static void
on_connected(Link *link, void *owner)
{
    Agent *agent = owner;
    AgentControl_SendPresence(agent);
    if (!AgentWithdrawal_MayServe(agent->withdrawal)) {
        AgentOrders_RequestFloor(agent->orders);
    }
}

static void
on_disconnected(Link *link, void *owner)
{
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Agent *agent = owner;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_QUARANTINE:
        on_quarantine(agent, frame->quarantine);
        break;
    case WIRE__FRAME__BODY_COMMAND_REPLY:
        AgentCrash_OnReply(agent->crashes, frame->command_reply);
        AgentWithdrawal_OnReply(agent->withdrawal, frame->command_reply);
        break;
    case WIRE__FRAME__BODY_FENCE_REPLY:
        AgentOrders_OnFloor(agent->orders, frame->fence_reply);
        break;
    case WIRE__FRAME__BODY_ORDER:
        AgentOrders_OnOrder(agent->orders, link, frame->order);
        break;
    default:
        break;
    }
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

int
AgentControl_Open(Agent *agent, Error *err)
{
    for (unsigned i = 0; i < agent->settings->control_hosts_count; i++) {
        const char *text = agent->settings->control_hosts[i].address;
        Address address;
        int result = Address_Parse(text, &address, err);
        if (result != ERR_OK) {
            return result;
        }
        g_ptr_array_add(
            agent->control_links,
            Link_Dial(agent->base, &agent->self, &address, &link_ops, agent));
    }
    return ERR_OK;
}

void
AgentControl_Close(Agent *agent)
{
    for (guint i = 0; i < agent->control_links->len; i++) {
        Link_Close(g_ptr_array_index(agent->control_links, i));
    }
    g_ptr_array_free(agent->control_links, TRUE);
}
