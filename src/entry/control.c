/** @file
 * Links to control hosts: rule lease, rules, members and quarantine list.
 */
#include "entry/state.h"

#include <string.h>

#include "kernel/log.h"

#define LEASE_PERIOD_US (700 * US_PER_MS)
/* Minimum time between the starts of two lease rounds after LEASE_RETRY. */
#define LEASE_RETRY_INTERVAL_US (50 * US_PER_MS)
#define MEMBERS_PERIOD_US (500 * US_PER_MS)

static void
send_to_all_hosts(Entry *entry, const Wire__Frame *frame)
{
    for (guint i = 0; i < entry->hosts->len; i++) {
        ControlHost *host = g_ptr_array_index(entry->hosts, i);
        Link_Send(host->link, frame);
    }
}

static void
start_lease_round(Entry *entry, TimeUs now)
{
    Wire__LeaseRequest request = WIRE__LEASE_REQUEST__INIT;
    request.sequence = Lease_StartRound(&entry->lease, now);
    request.have_version = entry->lease.version;
    request.confirm = entry->lease.leader_mode;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &request;
    send_to_all_hosts(entry, &frame);
}

static void
request_members(ControlHost *host)
{
    Wire__MembersRequest request = WIRE__MEMBERS_REQUEST__INIT;
    request.have_version = host->members_version;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_MEMBERS_REQUEST;
    frame.members_request = &request;
    Link_Send(host->link, &frame);
}

static void
request_quarantine(Entry *entry, ControlHost *host)
{
    Wire__QuarantineRequest request = WIRE__QUARANTINE_REQUEST__INIT;
    request.have_version = EntrySuspects_Version(entry->suspects);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_QUARANTINE_REQUEST;
    frame.quarantine_request = &request;
    Link_Send(host->link, &frame);
}

static void
fill_presence(const Entry *entry, Wire__Presence *presence)
{
    presence->role = WIRE__ROLE__ROLE_ENTRY;
    presence->name = entry->settings->name;
    presence->incarnation = entry->self.incarnation;
    presence->address = entry->settings->entry->http;
    presence->zone = entry->settings->zone;
    presence->region = entry->settings->region;
    presence->leaving = entry->draining;
}

void
EntryControl_SendPresence(Entry *entry)
{
    Wire__Presence presence = WIRE__PRESENCE__INIT;
    fill_presence(entry, &presence);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_PRESENCE;
    frame.presence = &presence;
    send_to_all_hosts(entry, &frame);
}

void
EntryControl_Tick(Entry *entry, TimeUs now)
{
    if (now >= entry->next_lease_round_at) {
        entry->next_lease_round_at = now + LEASE_PERIOD_US;
        start_lease_round(entry, now);
    }
    if (now < entry->next_members_request_at) {
        return;
    }
    entry->next_members_request_at = now + MEMBERS_PERIOD_US;
    for (guint i = 0; i < entry->hosts->len; i++) {
        request_members(g_ptr_array_index(entry->hosts, i));
    }
}

bool
EntryControl_HasLease(const Entry *entry, TimeUs now)
{
    return entry->rules != NULL && now < entry->lease.expires_at;
}

/* Schedules the next round for LEASE_RETRY_INTERVAL_US after the start of the
 * last one. */
static void
schedule_lease_retry(Entry *entry)
{
    TimeUs due = entry->lease.round_started_at + LEASE_RETRY_INTERVAL_US;
    entry->next_lease_round_at = MIN(entry->next_lease_round_at, due);
}

static void
on_lease_reply(Entry *entry, ControlHost *host, const Wire__LeaseReply *reply)
{
    LeaseReply lease_reply = {
        .replica = reply->replica,
        .granted = reply->granted,
        .rules_version = reply->rules_version,
        .pending_version = reply->pending_version,
        .config_index = reply->config_index,
        .voter_count = (uint32_t)MIN(reply->n_voters, LEASE_HOSTS_MAX),
    };
    memcpy(lease_reply.voters, reply->voters,
           lease_reply.voter_count * sizeof(lease_reply.voters[0]));
    if (reply->quarantine_version > EntrySuspects_Version(entry->suspects)) {
        request_quarantine(entry, host);
    }
    switch (Lease_OnReply(&entry->lease, reply->sequence, &lease_reply)) {
    case LEASE_FETCH:
        EntryRules_Request(entry, host->link);
        break;
    case LEASE_RETRY:
        schedule_lease_retry(entry);
        break;
    default:
        break;
    }
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    ControlHost *host = owner;
    Entry *entry = host->entry;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_LEASE_REPLY:
        on_lease_reply(entry, host, frame->lease_reply);
        break;
    case WIRE__FRAME__BODY_RULES:
        if (EntryRules_OnRules(entry, frame->rules)) {
            start_lease_round(entry, Clock_Now());
        }
        break;
    case WIRE__FRAME__BODY_MEMBERS:
        EntryPeers_Update(entry, host, frame->members);
        break;
    case WIRE__FRAME__BODY_QUARANTINE:
        EntrySuspects_Set(entry->suspects, frame->quarantine);
        break;
    case WIRE__FRAME__BODY_COMMAND_REPLY:
        EntryClaims_OnReply(entry->claims, frame->command_reply);
        break;
    default:
        break;
    }
}

static void
on_connected(Link *link, void *owner)
{
    ControlHost *host = owner;
    /* The version numbers of member lists restart with the host. */
    host->members_version = 0;
    EntryControl_SendPresence(host->entry);
    host->entry->next_lease_round_at = 0;
    request_members(host);
}

static void
on_disconnected(Link *link, void *owner)
{
}

static const LinkOps control_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

static int
add_host(Entry *entry, const SettingsControlHost *setting, Error *err)
{
    Address address;
    int result = Address_Parse(setting->address, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    ControlHost *host = g_new0(ControlHost, 1);
    host->entry = entry;
    host->id = setting->id;
    host->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_ptr_array_add(entry->hosts, host);
    host->link =
        Link_Dial(entry->base, &entry->self, &address, &control_ops, host);
    return ERR_OK;
}

int
EntryControl_Open(Entry *entry, Error *err)
{
    const Settings *settings = entry->settings;
    entry->lease.duration = settings->entry->lease_ms * US_PER_MS;
    entry->lease.leader_mode =
        settings->entry->lease_mode == SETTINGS_LEASE_LEADER;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        int result = add_host(entry, &settings->control_hosts[i], err);
        if (result != ERR_OK) {
            return result;
        }
    }
    return ERR_OK;
}

void
EntryControl_Close(Entry *entry)
{
    for (guint i = 0; i < entry->hosts->len; i++) {
        ControlHost *host = g_ptr_array_index(entry->hosts, i);
        Link_Close(host->link);
        g_hash_table_destroy(host->entries);
        g_free(host);
    }
    g_ptr_array_free(entry->hosts, TRUE);
}
