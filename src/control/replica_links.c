/** @file
 * Replica: links to the other control hosts. Each host dials all others.
 * Frames of the log protocol are ignored until the peer has sent a
 * ReplicaHello.
 */
#include <string.h>

#include "control/log_config_wire.h"
#include "control/replica_state.h"
#include "control/replica_wire.h"
#include "kernel/log.h"

static ReplicaPeer *
find_peer(const Replica *replica, uint32_t id)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        ReplicaPeer *peer = replica->peers->pdata[i];
        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

const ReplicaIdentity *
ReplicaLinks_FindIdentity(const Replica *replica, uint32_t id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->identities);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ReplicaIdentity *identity = value;
        if (identity->id == id) {
            return identity;
        }
    }
    return NULL;
}

static const char *
own_address(const Replica *replica)
{
    const Settings *settings = replica->settings;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        if (settings->control_hosts[i].id == settings->control->id) {
            return settings->control_hosts[i].address;
        }
    }
    return "";
}

static void
send_hello(Replica *replica, Link *link)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    Wire__ReplicaHello hello = WIRE__REPLICA_HELLO__INIT;
    hello.id = status.id;
    hello.disk_id = status.disk_id;
    hello.bootstrap = replica->settings->control->bootstrap;
    hello.last_index = status.last_index;
    hello.address = (char *)own_address(replica);
    hello.leaving = replica->leaving;
    LogConfigWire wire;
    LogConfig_ToWire(status.config, &wire);
    hello.members = &wire.list;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_REPLICA_HELLO;
    frame.replica_hello = &hello;
    Link_Send(link, &frame);
}

/* Adopts the membership received from a peer, so that a host that has none yet
 * can dial the members. */
static void
learn_members(Replica *replica, const Wire__LogMembers *members)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    if (status.config->count > 0 || members == NULL || members->n_members == 0)
    {
        return;
    }
    if (LogConfig_FromWire(members, &replica->learned_config) != ERR_OK) {
        LOG_WARN(REPLICA_PART,
                 "Ignored an invalid membership in a replica hello.");
        return;
    }
    ReplicaLinks_Update(replica);
}

static void
on_replica_hello(Replica *replica, Link *link, const Wire__ReplicaHello *hello)
{
    ReplicaIdentity *identity = g_new0(ReplicaIdentity, 1);
    identity->id = hello->id;
    identity->disk_id = hello->disk_id;
    identity->bootstrap = hello->bootstrap;
    identity->last_index = hello->last_index;
    g_strlcpy(identity->address, hello->address, LOG_ADDRESS_BYTES);
    g_strlcpy(identity->zone, Link_Peer(link)->zone, LOG_ZONE_BYTES);
    g_hash_table_insert(replica->identities, link, identity);
    LogCore_OnLeaving(replica->core, hello->id, hello->disk_id,
                      hello->leaving);
    learn_members(replica, hello->members);
    LogCore_OnLinkConnected(replica->core, hello->id);
    LOG_INFO(REPLICA_PART,
             "Control host identified itself. id=%u disk=%016llx", hello->id,
             (unsigned long long)hello->disk_id);
}

/* Proposes a command that another host forwarded. It is not passed on: a host
 * that has lost the leadership leaves it to the sender to find the next. */
static void
on_forwarded(Replica *replica, const Wire__ForwardedCommand *forwarded)
{
    int result = Replica_Propose(replica, forwarded->command.data,
                                 forwarded->command.len);
    if (result != ERR_OK) {
        LOG_INFO(REPLICA_PART, "Forwarded command is not proposed. code=%d",
                 result);
    }
}

static void
on_message(Replica *replica, Link *link, const Wire__Frame *frame)
{
    const ReplicaIdentity *identity =
        g_hash_table_lookup(replica->identities, link);
    if (identity == NULL) {
        return;
    }
    if (frame->body_case == WIRE__FRAME__BODY_FORWARDED_COMMAND) {
        on_forwarded(replica, frame->forwarded_command);
        return;
    }
    LogMessage message;
    if (!ReplicaWire_Read(frame, &message)) {
        return;
    }
    message.from = identity->id;
    message.from_disk_id = identity->disk_id;
    LogCore_Receive(replica->core, &message, Clock_Now());
    LogMessage_Clear(&message);
    Replica_ReportTruncated(replica);
    Replica_Schedule(replica);
}

void
Replica_OnFrame(Replica *replica, Link *link, const Wire__Frame *frame)
{
    const Wire__Hello *peer_hello = Link_Peer(link);
    if (peer_hello == NULL || peer_hello->role != WIRE__ROLE__ROLE_CONTROL) {
        LOG_WARN(REPLICA_PART, "Frame of the log protocol ignored: the peer "
                               "is not a control host.");
        return;
    }
    if (frame->body_case != WIRE__FRAME__BODY_REPLICA_HELLO) {
        on_message(replica, link, frame);
        return;
    }
    on_replica_hello(replica, link, frame->replica_hello);
    send_hello(replica, link);
    ReplicaPeer *peer = find_peer(replica, frame->replica_hello->id);
    if (peer != NULL) {
        peer->incoming = link;
    }
    Replica_Schedule(replica);
}

void
Replica_OnLinkDisconnected(Replica *replica, Link *link)
{
    g_hash_table_remove(replica->identities, link);
    for (guint i = 0; i < replica->peers->len; i++) {
        ReplicaPeer *peer = replica->peers->pdata[i];
        if (peer->incoming == link) {
            peer->incoming = NULL;
        }
    }
}

static void
on_connected(Link *link, void *owner)
{
    send_hello(owner, link);
}

static void
on_disconnected(Link *link, void *owner)
{
    Replica *replica = owner;
    g_hash_table_remove(replica->identities, link);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Replica *replica = owner;
    if (frame->body_case == WIRE__FRAME__BODY_REPLICA_HELLO) {
        on_replica_hello(replica, link, frame->replica_hello);
        Replica_Schedule(replica);
        return;
    }
    on_message(replica, link, frame);
}

static const LinkOps outgoing_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

static void
close_peer(Replica *replica, ReplicaPeer *peer)
{
    if (peer->outgoing != NULL) {
        g_hash_table_remove(replica->identities, peer->outgoing);
        Link_Close(peer->outgoing);
    }
    g_free(peer);
}

static void
dial_peer(Replica *replica, uint32_t id, const char *address)
{
    Address parsed;
    Error err = ERROR_INIT;
    if (Address_Parse(address, &parsed, &err) != ERR_OK) {
        LOG_WARN(REPLICA_PART,
                 "Control host address is invalid. id=%u why=\"%s\"", id,
                 err.text);
        return;
    }
    ReplicaPeer *peer = g_new0(ReplicaPeer, 1);
    peer->id = id;
    g_strlcpy(peer->address, address, LOG_ADDRESS_BYTES);
    peer->outgoing = Link_Dial(replica->base, replica->self, &parsed,
                               &outgoing_ops, replica);
    g_ptr_array_add(replica->peers, peer);
}

/* Returns the address of a host from the membership, the membership received
 * from a peer or the settings; NULL when none contains it. */
static const char *
find_address(const Replica *replica, const LogConfig *config, uint32_t id)
{
    const LogMember *member = LogConfig_Find(config, id);
    if (member == NULL) {
        member = LogConfig_Find(&replica->learned_config, id);
    }
    if (member != NULL) {
        return member->address;
    }
    const Settings *settings = replica->settings;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        if (settings->control_hosts[i].id == id) {
            return settings->control_hosts[i].address;
        }
    }
    return NULL;
}

static void
ensure_peer(Replica *replica, const LogConfig *config, uint32_t id)
{
    if (id == replica->settings->control->id || find_peer(replica, id) != NULL)
    {
        return;
    }
    dial_peer(replica, id, find_address(replica, config, id));
}

void
ReplicaLinks_Update(Replica *replica)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    const Settings *settings = replica->settings;
    for (guint i = replica->peers->len; i > 0; i--) {
        ReplicaPeer *peer = replica->peers->pdata[i - 1];
        const char *address = find_address(replica, status.config, peer->id);
        if (address == NULL || strcmp(address, peer->address) != 0) {
            g_ptr_array_remove_index_fast(replica->peers, i - 1);
            close_peer(replica, peer);
        }
    }
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        ensure_peer(replica, status.config, settings->control_hosts[i].id);
    }
    for (unsigned i = 0; i < status.config->count; i++) {
        ensure_peer(replica, status.config, status.config->members[i].id);
    }
    for (unsigned i = 0; i < replica->learned_config.count; i++) {
        ensure_peer(replica, status.config,
                    replica->learned_config.members[i].id);
    }
    replica->peers_config_index = status.config_index;
}

/* Returns a connected link to a host, or NULL. */
static Link *
find_link(const Replica *replica, uint32_t id)
{
    const ReplicaPeer *peer = find_peer(replica, id);
    if (peer == NULL) {
        return NULL;
    }
    if (peer->outgoing != NULL && Link_IsConnected(peer->outgoing)) {
        return peer->outgoing;
    }
    return peer->incoming != NULL && Link_IsConnected(peer->incoming)
               ? peer->incoming
               : NULL;
}

void
ReplicaLinks_Send(Replica *replica, const LogMessage *message)
{
    Link *link = find_link(replica, message->to);
    if (link != NULL) {
        ReplicaWire_Send(link, message);
    }
}

int
ReplicaLinks_Forward(Replica *replica, uint32_t leader, const uint8_t *command,
                     size_t length)
{
    Link *link = leader == 0 ? NULL : find_link(replica, leader);
    if (link == NULL) {
        return ERR_UNAVAILABLE;
    }
    Wire__ForwardedCommand forwarded = WIRE__FORWARDED_COMMAND__INIT;
    forwarded.command.data = (uint8_t *)command;
    forwarded.command.len = length;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_FORWARDED_COMMAND;
    frame.forwarded_command = &forwarded;
    return Link_Send(link, &frame);
}

/* With automatic membership, passes a connected host to the core as a
 * candidate to join. */
static void
request_join(Replica *replica, const ReplicaIdentity *identity, TimeUs now)
{
    if (!replica->settings->control->auto_members ||
        identity->address[0] == '\0') {
        return;
    }
    LogMember candidate = {.id = identity->id, .disk_id = identity->disk_id};
    g_strlcpy(candidate.address, identity->address, LOG_ADDRESS_BYTES);
    g_strlcpy(candidate.zone, identity->zone, LOG_ZONE_BYTES);
    LogCore_OnJoinRequest(replica->core, &candidate, now);
}

void
ReplicaLinks_ReportIdentities(Replica *replica, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, replica->identities);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ReplicaIdentity *identity = value;
        LogCore_OnHello(replica->core, identity->id, identity->disk_id, now);
        request_join(replica, identity, now);
    }
}

void
ReplicaLinks_SendHello(Replica *replica)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        ReplicaPeer *peer = replica->peers->pdata[i];
        if (peer->outgoing != NULL && Link_IsConnected(peer->outgoing)) {
            send_hello(replica, peer->outgoing);
        }
    }
}

void
ReplicaLinks_Close(Replica *replica)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        close_peer(replica, replica->peers->pdata[i]);
    }
    g_ptr_array_set_size(replica->peers, 0);
}
