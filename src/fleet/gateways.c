/** @file
 * Fleet task: answers queries of gateways and sends them configuration and
 * endpoint records.
 */
#include <string.h>

#include "fleet/state.h"
#include "kernel/log.h"
#include "routes/endpoint_wire.h"
#include "sched/shares.h"

/* Delay that combines several configuration changes into one push. */
#define PUSH_DELAY_US (60 * US_PER_MS)
/* A gateway gets a share while its last query is at most this old. The value
 * is longer than the time for which a gateway uses its share without a
 * reply. */
#define GATEWAY_ACTIVE_US (6 * US_PER_S)
/* Time for which a new leader sends no shares, so that it has received the
 * demand of every gateway before it splits a limit. */
#define SHARES_DELAY_US (2500 * US_PER_MS)
/* Maximum number of endpoints in one reply. */
#define SHARES_MAX 256

/* A query that waits for the confirmation that this host is the leader. */
typedef struct Query {
    Fleet *fleet;
    Link *link;
    uint64_t serial;
    uint64_t nonce;
    uint64_t version;
    TimeUs asked_at;
    GPtrArray *endpoints; /* Wire__EndpointUse, answered with shares */
} Query;

static FleetPeer *
find_peer(const Fleet *fleet, const Link *link)
{
    return g_hash_table_lookup(fleet->peers, link);
}

static bool
is_active(const FleetPeer *peer, TimeUs now)
{
    return peer->is_gateway && peer->last_query_at != 0 &&
           now - peer->last_query_at <= GATEWAY_ACTIVE_US;
}

uint32_t
FleetGateways_Count(const Fleet *fleet, TimeUs silent_us, uint32_t *silent)
{
    uint32_t count = 0;
    *silent = 0;
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const FleetPeer *peer = value;
        if (is_active(peer, now)) {
            count++;
            *silent += now - peer->last_query_at > silent_us ? 1 : 0;
        }
    }
    return count;
}

static uint32_t
count_gateways(const Fleet *fleet)
{
    uint32_t silent;
    return FleetGateways_Count(fleet, GATEWAY_ACTIVE_US, &silent);
}

/* Returns the share of an endpoint's rate limit, in requests/s, that the
 * gateway @p self may use. */
static double
split_share(const Fleet *fleet, const FleetPeer *self,
            const Wire__EndpointUse *use)
{
    guint count = 0;
    size_t position = 0;
    TimeUs now = Clock_Now();
    double *demands = g_new0(double, g_hash_table_size(fleet->peers) + 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const FleetPeer *peer = value;
        if (!is_active(peer, now)) {
            continue;
        }
        const double *demand =
            g_hash_table_lookup(peer->endpoint_demands, use->endpoint);
        if (peer == self) {
            position = count;
        }
        demands[count++] = demand == NULL ? 0 : *demand;
    }
    double share = Shares_Split(use->rate, demands, count, position);
    g_free(demands);
    return share;
}

static void
fill_document(const Fleet *fleet, Wire__ConfigState *state)
{
    gsize length;
    state->document.data =
        (uint8_t *)g_bytes_get_data(fleet->document.deflated, &length);
    state->document.len = length;
    state->document_bytes = fleet->document.inflated_length;
}

static void
send_state(Link *link, Wire__ConfigState *state)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CONFIG_STATE;
    frame.config_state = state;
    Link_Send(link, &frame);
}

static void
free_endpoint_use(gpointer data)
{
    Wire__EndpointUse *use = data;
    g_free(use->endpoint);
    g_free(use);
}

/* Sets the shares of the endpoints in the query. */
static void
set_endpoint_shares(const Query *query, const FleetPeer *peer)
{
    for (guint i = 0; i < query->endpoints->len; i++) {
        Wire__EndpointUse *use = query->endpoints->pdata[i];
        use->share = split_share(query->fleet, peer, use) / use->rate;
    }
}

/* Stores the demand of the endpoints in a query, and copies them for the
 * reply.
 */
static GPtrArray *
read_endpoints(const FleetPeer *peer, const Wire__ConfigQuery *query)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(free_endpoint_use);
    g_hash_table_remove_all(peer->endpoint_demands);
    for (size_t i = 0; i < query->n_endpoints && i < SHARES_MAX; i++) {
        const Wire__EndpointUse *use = query->endpoints[i];
        if (!(use->rate > 0)) {
            continue;
        }
        g_hash_table_insert(peer->endpoint_demands, g_strdup(use->endpoint),
                            g_memdup2(&use->demand, sizeof(use->demand)));
        Wire__EndpointUse *copy = g_new(Wire__EndpointUse, 1);
        wire__endpoint_use__init(copy);
        copy->endpoint = g_strdup(use->endpoint);
        copy->rate = use->rate;
        g_ptr_array_add(copies, copy);
    }
    return copies;
}

static void
send_reply(const Query *query, bool is_leader)
{
    Fleet *fleet = query->fleet;
    ReplicaStatus status;
    Replica_GetStatus(fleet->replica, &status);
    Wire__ConfigState state = WIRE__CONFIG_STATE__INIT;
    state.nonce = query->nonce;
    state.confirmed = is_leader;
    state.version = fleet->document.version;
    state.gateways = count_gateways(fleet);
    state.leader = is_leader ? (char *)"" : status.leader_address;
    char *hosts[REPLICA_MEMBERS_MAX];
    for (unsigned i = 0; i < status.host_count; i++) {
        hosts[i] = status.addresses[i];
    }
    state.n_hosts = status.host_count;
    state.hosts = hosts;
    if (is_leader && fleet->document.version > query->version) {
        fill_document(fleet, &state);
    }
    if (is_leader && Clock_Now() - fleet->leader_since >= SHARES_DELAY_US) {
        set_endpoint_shares(query, find_peer(fleet, query->link));
        state.n_endpoints = query->endpoints->len;
        state.endpoints = (Wire__EndpointUse **)query->endpoints->pdata;
    }
    RolloutMessages rollouts = {.count = 0};
    if (is_leader) {
        RolloutMessages_Fill(&rollouts, FleetRollouts_Table(fleet));
        state.n_rollouts = rollouts.count;
        state.rollouts = rollouts.pointers;
    }
    send_state(query->link, &state);
    RolloutMessages_Clear(&rollouts);
}

static void
on_confirmed(void *arg, bool is_leader)
{
    Query *query = arg;
    const FleetPeer *peer = find_peer(query->fleet, query->link);
    if (is_leader) {
        FleetQuotas_OnConfirmed(query->fleet, query->asked_at);
    }
    if (peer != NULL && peer->serial == query->serial) {
        send_reply(query, is_leader);
    }
    g_ptr_array_unref(query->endpoints);
    g_free(query);
}

static void
on_query(Fleet *fleet, FleetPeer *peer, const Wire__ConfigQuery *query)
{
    peer->last_query_at = Clock_Now();
    peer->is_gateway = true;
    FleetQuotas_OnGatewayBack(fleet, Link_Peer(peer->link)->name);
    FleetQuotas_OnReturned(fleet, query);
    Query *pending = g_new0(Query, 1);
    *pending = (Query){
        .fleet = fleet,
        .link = peer->link,
        .serial = peer->serial,
        .nonce = query->nonce,
        .version = query->version,
        .asked_at = peer->last_query_at,
        .endpoints = read_endpoints(peer, query),
    };
    Replica_ConfirmLeadership(fleet->replica, on_confirmed, pending);
}

void
FleetGateways_Broadcast(Fleet *fleet, const Wire__Frame *frame)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const FleetPeer *peer = value;
        if (peer->is_gateway) {
            Link_Send(peer->link, frame);
        }
    }
}

void
FleetGateways_OnFrame(Fleet *fleet, Link *link, const Wire__Frame *frame)
{
    FleetPeer *peer = find_peer(fleet, link);
    if (peer == NULL) {
        return;
    }
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_CONFIG_QUERY:
        on_query(fleet, peer, frame->config_query);
        break;
    case WIRE__FRAME__BODY_CRASH_NEWS:
        FleetCrashes_OnNews(fleet, frame->crash_news);
        break;
    case WIRE__FRAME__BODY_ENDPOINT_LEAVING:
        Fleet_OnEndpointLeaving(fleet, frame->endpoint_leaving);
        break;
    case WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS:
        FleetOrigins_OnNews(fleet, frame->stream_origin_news);
        break;
    case WIRE__FRAME__BODY_QUOTA_QUERY:
        FleetQuotas_OnQuery(fleet, link, frame->quota_query);
        break;
    case WIRE__FRAME__BODY_ROLLOUT_REPORT:
        FleetRollouts_OnReport(fleet, link, frame->rollout_report);
        break;
    case WIRE__FRAME__BODY_STREAM_ORIGIN_QUERY:
        FleetOrigins_OnQuery(fleet, link, frame->stream_origin_query);
        break;
    default:
        break;
    }
}

void
FleetGateways_SchedulePush(Fleet *fleet)
{
    if (!fleet->push_scheduled) {
        fleet->push_scheduled = true;
        struct timeval delay = {.tv_usec = PUSH_DELAY_US};
        event_add(fleet->push_event, &delay);
    }
}

void
FleetGateways_OnPush(evutil_socket_t fd, short events, void *arg)
{
    Fleet *fleet = arg;
    fleet->push_scheduled = false;
    Fleet_Table(fleet);
    if (!fleet->is_leader || fleet->document.version == 0) {
        return;
    }
    Wire__ConfigState state = WIRE__CONFIG_STATE__INIT;
    state.version = fleet->document.version;
    state.gateways = count_gateways(fleet);
    fill_document(fleet, &state);
    RolloutMessages rollouts;
    RolloutMessages_Fill(&rollouts, FleetRollouts_Table(fleet));
    state.n_rollouts = rollouts.count;
    state.rollouts = rollouts.pointers;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CONFIG_STATE;
    frame.config_state = &state;
    FleetGateways_Broadcast(fleet, &frame);
    RolloutMessages_Clear(&rollouts);
}

static void
send_record(Link *link, const EndpointRecord *record)
{
    Wire__EndpointRecord wire_record;
    EndpointWire_Fill(&wire_record, record);
    Wire__EndpointRecord *pointer = &wire_record;
    Wire__EndpointNews list = WIRE__ENDPOINT_NEWS__INIT;
    list.n_endpoints = 1;
    list.endpoints = &pointer;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_ENDPOINT_NEWS;
    frame.endpoint_news = &list;
    Link_Send(link, &frame);
}

static void
send_record_to_link(void *arg, const EndpointRecord *record)
{
    send_record(arg, record);
}

void
FleetGateways_SendDirectory(Fleet *fleet, Link *link)
{
    Directory_ForEach(fleet->directory, send_record_to_link, link);
}

void
FleetGateways_SendRecord(Fleet *fleet, const EndpointRecord *record)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const FleetPeer *peer = value;
        if (Link_Peer(peer->link)->role == WIRE__ROLE__ROLE_GATEWAY) {
            send_record(peer->link, record);
        }
    }
}
