/** @file
 * The entry's links to control hosts: the rule lease, rules, members, and
 * commands about claims.
 */
#include "entry/state.h"

#include <sodium.h>

#include "kernel/log.h"

#define LEASE_PERIOD_US (500 * US_PER_MS)
#define COMMAND_ID_BYTES 16

static void
broadcast(Entry *entry, const Wire__Frame *frame)
{
    for (guint i = 0; i < entry->control_links->len; i++) {
        Link_Send(g_ptr_array_index(entry->control_links, i), frame);
    }
}

static void
ask_lease(Entry *entry, TimeUs now)
{
    Wire__LeaseRequest request = WIRE__LEASE_REQUEST__INIT;
    request.sequence = ++entry->lease_sequence;
    request.have_version = entry->rules_version;
    entry->lease_asked_at = now;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &request;
    broadcast(entry, &frame);
}

static void
ask_members(Entry *entry)
{
    Wire__MembersRequest request = WIRE__MEMBERS_REQUEST__INIT;
    request.have_version = entry->members_version;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_MEMBERS_REQUEST;
    frame.members_request = &request;
    broadcast(entry, &frame);
}

void
EntryControl_Tick(Entry *entry, TimeUs now)
{
    if (now - entry->lease_asked_at >= LEASE_PERIOD_US) {
        ask_lease(entry, now);
        ask_members(entry);
    }
}

bool
EntryControl_HasLease(const Entry *entry, TimeUs now)
{
    return entry->rules != NULL && now < entry->lease_until;
}

static void
ask_rules(Entry *entry, Link *link)
{
    Wire__RulesRequest request = WIRE__RULES_REQUEST__INIT;
    request.have_version = entry->rules_version;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_RULES_REQUEST;
    frame.rules_request = &request;
    Link_Send(link, &frame);
}

static void
on_lease(Entry *entry, Link *link, const Wire__LeaseReply *reply)
{
    if (!reply->granted || reply->sequence != entry->lease_sequence) {
        return;
    }
    if (reply->rules_version != entry->rules_version) {
        ask_rules(entry, link);
        return;
    }
    TimeUs length = entry->settings->entry->lease_ms * US_PER_MS;
    entry->lease_until = entry->lease_asked_at + length;
}

static void
set_limits(Entry *entry)
{
    uint32_t count = Rules_AccountCount(entry->rules);
    Limits_Free(entry->limits);
    entry->limits = Limits_New(count);
}

static void
on_rules(Entry *entry, const Wire__Rules *message)
{
    if (message->version <= entry->rules_version) {
        return;
    }
    size_t found;
    Rules *rules =
        Rules_Parse(message->text, strlen(message->text), NULL, 0, &found);
    if (rules == NULL) {
        LOG_ERROR(ENTRY_PART, "Accepted rules do not parse. version=%llu",
                  (unsigned long long)message->version);
        return;
    }
    Rules_Unref(entry->rules);
    entry->rules = rules;
    entry->rules_version = message->version;
    set_limits(entry);
    LOG_INFO(ENTRY_PART, "Rules in force. version=%llu accounts=%u",
             (unsigned long long)message->version, Rules_AccountCount(rules));
    ask_lease(entry, Clock_Now());
}

static void
on_command_reply(Entry *entry, const Wire__CommandReply *reply)
{
    GBytes *id = g_bytes_new(reply->command_id.data, reply->command_id.len);
    Request *request = g_hash_table_lookup(entry->commands, id);
    g_hash_table_remove(entry->commands, id);
    g_bytes_unref(id);
    if (request != NULL) {
        Request_Claimed(request, reply);
    }
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Entry *entry = owner;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_LEASE_REPLY:
        on_lease(entry, link, frame->lease_reply);
        break;
    case WIRE__FRAME__BODY_RULES:
        on_rules(entry, frame->rules);
        break;
    case WIRE__FRAME__BODY_MEMBERS:
        EntryPeers_Update(entry, frame->members);
        break;
    case WIRE__FRAME__BODY_COMMAND_REPLY:
        on_command_reply(entry, frame->command_reply);
        break;
    default:
        break;
    }
}

static void
on_up(Link *link, void *owner)
{
    Entry *entry = owner;
    ask_lease(entry, Clock_Now());
    ask_members(entry);
}

static void
on_down(Link *link, void *owner)
{
}

static const LinkOps control_ops = {
    .up = on_up,
    .down = on_down,
    .frame = on_frame,
};

int
EntryControl_Open(Entry *entry, Error *err)
{
    const Settings *settings = entry->settings;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        Address address;
        int result =
            Address_Parse(settings->control_hosts[i].address, &address, err);
        if (result != ERR_OK) {
            return result;
        }
        g_ptr_array_add(entry->control_links,
                        Link_Dial(entry->base, &entry->self, &address,
                                  &control_ops, entry));
    }
    return ERR_OK;
}

void
EntryControl_Close(Entry *entry)
{
    for (guint i = 0; i < entry->control_links->len; i++) {
        Link_Close(g_ptr_array_index(entry->control_links, i));
    }
    g_ptr_array_free(entry->control_links, TRUE);
    g_hash_table_destroy(entry->commands);
}

static void
fill_answer(const Request *request, Wire__Command *command)
{
    command->status = request->answer_status;
    command->content_type =
        request->answer_type == NULL ? "" : request->answer_type;
    if (request->kept != NULL) {
        command->answer.data = request->kept->data;
        command->answer.len = request->kept->len;
    }
}

int
EntryControl_SendClaim(Request *request, Wire__CommandKind kind, bool wait)
{
    Entry *entry = request->entry;
    uint8_t id[COMMAND_ID_BYTES];
    randombytes_buf(id, sizeof(id));
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    command.kind = kind;
    command.account = request->account;
    command.key = request->idempotency_key;
    command.body_hash = request->body_hash;
    command.owner = entry->self.incarnation;
    if (kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE) {
        fill_answer(request, &command);
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_COMMAND;
    frame.command = &command;
    if (wait) {
        g_hash_table_insert(entry->commands, g_bytes_new(id, sizeof(id)),
                            request);
    }
    broadcast(entry, &frame);
    return ERR_OK;
}
