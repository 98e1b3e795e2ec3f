/** @file
 * Gateway: links to control hosts. The gateway queries the leader for the
 * newest configuration, which renews the lease, and receives endpoint records.
 */
#include <string.h>

#include "gateway/state.h"
#include "kernel/log.h"
#include "routes/endpoint_wire.h"
#include "wire/address.h"
#include "wire/deflate.h"

/* Time between queries, short enough for several in one lease. */
#define QUERY_PERIOD_MS 900
/* Time to wait for an answer before the next host is queried. */
#define ANSWER_TIMEOUT_MS 600
/* Time between queries while no host has confirmed that it leads. */
#define RETRY_DELAY_MS 150
/* The lease ends this long before the operators' limit, to allow for the time
 * that a request takes from the gateway to the endpoint. */
#define LEASE_MARGIN_MS 500
#define HOSTS_MAX 12
#define ACCOUNTS_MAX 256
/* Endpoints with a rate limit in a query. */
#define ENDPOINTS_MAX 128

typedef struct Host {
    GatewayControl *control;
    char *address;
    Link *link;
    bool listed;         /* in the newest member list, or from the settings */
    TimeUs connected_at; /* when it connected last */
} Host;

struct GatewayControl {
    Gateway *gateway;
    GPtrArray *hosts; /* Host */
    struct event *timer;
    uint64_t query_nonce;       /* id of the pending query; 0 if none */
    TimeUs queried_at;          /* when the newest query was sent */
    guint queried_index;        /* host queried while no leader is known */
    char *leader;               /* address of the leading host, or NULL */
    TimeUs hosts_changed_at;    /* when a host was last connected or removed */
    unsigned surplus_endpoints; /* with rate limits that did not fit into the
                                   newest query */
};

static void
set_timer(GatewayControl *control, uint32_t ms)
{
    struct timeval span = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(control->timer, &span);
}

static Host *
find_host(const GatewayControl *control, const char *address)
{
    for (guint i = 0; i < control->hosts->len; i++) {
        Host *host = control->hosts->pdata[i];
        if (strcmp(host->address, address) == 0) {
            return host;
        }
    }
    return NULL;
}

/* ---- Queries ---- */

/* Units of accounts that are returned with a query. */
typedef struct AccountUses {
    Wire__AccountUse items[ACCOUNTS_MAX];
    Wire__AccountUse *pointers[ACCOUNTS_MAX];
    size_t count;
} AccountUses;

static void
add_use(void *arg, const char *account, double units)
{
    AccountUses *uses = arg;
    if (uses->count == ACCOUNTS_MAX) {
        return;
    }
    Wire__AccountUse *use = &uses->items[uses->count];
    wire__account_use__init(use);
    use->account = (char *)account;
    use->returned = units;
    uses->pointers[uses->count++] = use;
}

/* Endpoints with a rate limit, as sent with a query. */
typedef struct EndpointUses {
    Wire__EndpointUse items[ENDPOINTS_MAX];
    Wire__EndpointUse *pointers[ENDPOINTS_MAX];
    size_t count;
} EndpointUses;

/* Adds the endpoints with a rate limit.
 * @return the number of those that do not fit. */
static unsigned
add_endpoints(const Gateway *gateway, EndpointUses *uses)
{
    unsigned surplus = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (endpoint->rate_limit.rate <= 0) {
            continue;
        }
        if (uses->count == ENDPOINTS_MAX) {
            surplus++;
            continue;
        }
        Wire__EndpointUse *use = &uses->items[uses->count];
        wire__endpoint_use__init(use);
        use->endpoint = endpoint->id;
        use->rate = endpoint->rate_limit.rate;
        use->demand = ServiceQueue_Demand(gateway, endpoint->service);
        uses->pointers[uses->count++] = use;
    }
    return surplus;
}

/* Logs a change of the number of endpoints whose rate limits are shared
 * equally, since a query has no room for them. */
static void
log_surplus(GatewayControl *control, unsigned surplus)
{
    if (surplus != control->surplus_endpoints) {
        control->surplus_endpoints = surplus;
        LOG_WARN(GATEWAY_PART,
                 "Rate limits of some endpoints are not reported. surplus=%u",
                 surplus);
    }
}

static void
send_query(GatewayControl *control, Host *host)
{
    Gateway *gateway = control->gateway;
    static uint64_t last_nonce;
    control->query_nonce = ++last_nonce;
    control->queried_at = Clock_Now();
    AccountUses uses = {.count = 0};
    Quotas_TakeExcess(gateway->quotas, add_use, &uses);
    Wire__ConfigQuery query = WIRE__CONFIG_QUERY__INIT;
    query.nonce = control->query_nonce;
    query.version =
        gateway->table == NULL ? 0 : RouteTable_Version(gateway->table);
    query.n_use = uses.count;
    query.use = uses.pointers;
    EndpointUses endpoints = {.count = 0};
    log_surplus(control, add_endpoints(gateway, &endpoints));
    query.n_endpoints = endpoints.count;
    query.endpoints = endpoints.pointers;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_CONFIG_QUERY;
    frame.config_query = &query;
    Link_Send(host->link, &frame);
}

/* Queries the leader, or the next connected host if the leader is unknown or
 * not connected. */
static void
query_leader(GatewayControl *control)
{
    Host *host =
        control->leader == NULL ? NULL : find_host(control, control->leader);
    for (guint i = 0; i < control->hosts->len &&
                      (host == NULL || !Link_IsConnected(host->link));
         i++)
    {
        control->queried_index =
            (control->queried_index + 1) % control->hosts->len;
        host = control->hosts->pdata[control->queried_index];
    }
    if (host == NULL || !Link_IsConnected(host->link)) {
        set_timer(control, RETRY_DELAY_MS);
        return;
    }
    send_query(control, host);
    set_timer(control, ANSWER_TIMEOUT_MS);
}

/* Sets the address of the leader, NULL if it is unknown. Questions to another
 * leader end, since its late answers decide nothing any more.
 * @return whether it is another one than before. */
static bool
set_leader(GatewayControl *control, const char *address)
{
    if (g_strcmp0(control->leader, address) == 0) {
        return false;
    }
    g_free(control->leader);
    control->leader = g_strdup(address);
    Quotas_OnLeaderLost(control->gateway->quotas);
    return true;
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    GatewayControl *control = arg;
    if (control->query_nonce != 0) {
        /* The host did not answer; it is unreachable or hangs. */
        set_leader(control, NULL);
        control->query_nonce = 0;
    }
    query_leader(control);
}

/* ---- Answers ---- */

/* Puts the configuration in force if it is newer than the present one. */
static void
apply_document(Gateway *gateway, const Wire__ConfigState *state)
{
    if (state->document.len == 0 ||
        (gateway->table != NULL &&
         state->version <= RouteTable_Version(gateway->table)))
    {
        return;
    }
    GBytes *plain = Deflate_Unpack(state->document.data, state->document.len,
                                   state->document_bytes);
    if (plain == NULL) {
        LOG_ERROR(GATEWAY_PART,
                  "Failed to decompress the configuration. version=%llu",
                  (unsigned long long)state->version);
        return;
    }
    gsize length;
    const char *text = g_bytes_get_data(plain, &length);
    RouteTable *table = NULL;
    Error err = ERROR_INIT;
    if (gateway->options->codec->decode(text, length, &table, &err) == ERR_OK)
    {
        Gateway_SetTable(gateway, table);
    }
    else {
        LOG_ERROR(
            GATEWAY_PART,
            "Failed to decode the configuration. version=%llu why=\"%s\"",
            (unsigned long long)state->version, err.text);
    }
    g_bytes_unref(plain);
}

/* Extends the lease, counted from the query, if a majority confirmed that the
 * gateway has the newest configuration. */
static void
renew_lease(GatewayControl *control, const Wire__ConfigState *state)
{
    Gateway *gateway = control->gateway;
    uint64_t version =
        gateway->table == NULL ? 0 : RouteTable_Version(gateway->table);
    uint32_t revocation_ms = gateway->options->bounds.key_revocation_ms;
    if (!state->confirmed || version < state->version || version == 0) {
        return;
    }
    TimeUs span = revocation_ms == 0
                      ? TIME_NEVER / 2
                      : ((TimeUs)revocation_ms - LEASE_MARGIN_MS) * US_PER_MS;
    TimeUs until = control->queried_at + span;
    if (Clock_Now() >= gateway->lease_until) {
        LOG_INFO(GATEWAY_PART, "Lease gained. version=%llu",
                 (unsigned long long)version);
    }
    gateway->lease_until = MAX(gateway->lease_until, until);
    Gateway_ReadmitHeld(gateway);
}

static void on_connected(Link *link, void *owner);
static void on_disconnected(Link *link, void *owner);
static void on_frame(Link *link, const Wire__Frame *frame, void *owner);

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

static void
add_host(GatewayControl *control, const char *text)
{
    Address address;
    Error err = ERROR_INIT;
    if (control->hosts->len >= HOSTS_MAX ||
        Address_Parse(text, &address, &err) != ERR_OK)
    {
        LOG_WARN(GATEWAY_PART,
                 "Ignored an invalid or surplus control host. address=%s",
                 text);
        return;
    }
    Host *host = g_new0(Host, 1);
    host->control = control;
    host->address = g_strdup(text);
    host->listed = true;
    g_ptr_array_add(control->hosts, host);
    host->link = Link_Dial(control->gateway->base, &control->gateway->self,
                           &address, &link_ops, host);
}

/* Applies a member list: adds new hosts and removes disconnected ones that are
 * no longer listed. */
static void
update_hosts(GatewayControl *control, const Wire__ConfigState *state)
{
    /* Only a list that a majority confirmed removes hosts. */
    for (guint i = 0; i < control->hosts->len; i++) {
        Host *host = control->hosts->pdata[i];
        host->listed = !state->confirmed;
    }
    for (size_t i = 0; i < state->n_hosts; i++) {
        Host *host = find_host(control, state->hosts[i]);
        if (host == NULL) {
            add_host(control, state->hosts[i]);
        }
        else {
            host->listed = true;
        }
    }
    for (guint i = control->hosts->len; i > 0; i--) {
        Host *host = control->hosts->pdata[i - 1];
        if (!host->listed && !Link_IsConnected(host->link)) {
            control->hosts_changed_at = Clock_Now();
            g_ptr_array_remove_index_fast(control->hosts, i - 1);
            Link_Close(host->link);
            g_free(host->address);
            g_free(host);
        }
    }
}

/* Handles a configuration that was sent without a query. Only a leader sends
 * one, so the host is the leader and is queried at once if the gateway has no
 * lease. */
static void
on_push(GatewayControl *control, Host *host)
{
    if (set_leader(control, host->address)) {
        Rollouts_OnLeader(control->gateway->rollouts);
    }
    if (!Gateway_HasLease(control->gateway)) {
        query_leader(control);
    }
}

static void
on_state(GatewayControl *control, Host *host, const Wire__ConfigState *state)
{
    Gateway *gateway = control->gateway;
    apply_document(gateway, state);
    if (state->nonce == 0) {
        /* A push may be old when it is read, and no majority confirmed it. */
        Rollouts_OnState(gateway->rollouts, state, 0);
        on_push(control, host);
        return;
    }
    if (state->nonce != control->query_nonce) {
        return;
    }
    control->query_nonce = 0;
    if (state->n_hosts > 0) {
        update_hosts(control, state);
    }
    if (!state->confirmed) {
        bool named = state->leader[0] != '\0' &&
                     strcmp(state->leader, host->address) != 0;
        set_leader(control, named ? state->leader : NULL);
        set_timer(control, RETRY_DELAY_MS);
        return;
    }
    if (set_leader(control, host->address)) {
        LOG_INFO(GATEWAY_PART, "Leading control host. address=%s",
                 host->address);
        Rollouts_OnLeader(gateway->rollouts);
    }
    Rollouts_OnState(gateway->rollouts, state, control->queried_at);
    gateway->gateway_count = state->gateways;
    renew_lease(control, state);
    Quotas_OnLeaderHeard(gateway->quotas);
    for (size_t i = 0; i < state->n_endpoints; i++) {
        Endpoint *endpoint =
            Endpoints_Find(gateway, state->endpoints[i]->endpoint);
        if (endpoint != NULL) {
            endpoint->rate_share = state->endpoints[i]->share;
        }
    }
    set_timer(control, QUERY_PERIOD_MS);
}

static void
on_endpoints(Gateway *gateway, const Wire__EndpointNews *list)
{
    for (size_t i = 0; i < list->n_endpoints; i++) {
        EndpointRecord record;
        EndpointWire_Read(list->endpoints[i], &record);
        Endpoints_Update(gateway, &record);
    }
}

static void
on_connected(Link *link, void *owner)
{
    Host *host = owner;
    LOG_INFO(GATEWAY_PART, "Control host connected. address=%s",
             host->address);
    host->connected_at = Clock_Now();
    host->control->hosts_changed_at = host->connected_at;
    Suspects_SendAll(host->control->gateway->suspects, link);
    Origins_SendAll(host->control->gateway->origins, link);
    Endpoints_SendLeaving(host->control->gateway, link);
    if (host->control->query_nonce == 0) {
        query_leader(host->control);
    }
}

static void
on_disconnected(Link *link, void *owner)
{
    Host *host = owner;
    GatewayControl *control = host->control;
    LOG_INFO(GATEWAY_PART, "Control host lost. address=%s", host->address);
    if (g_strcmp0(control->leader, host->address) == 0) {
        set_leader(control, NULL);
        control->query_nonce = 0;
        set_timer(control, RETRY_DELAY_MS);
    }
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Host *host = owner;
    Gateway *gateway = host->control->gateway;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_CONFIG_STATE:
        on_state(host->control, host, frame->config_state);
        break;
    case WIRE__FRAME__BODY_ENDPOINT_NEWS:
        on_endpoints(gateway, frame->endpoint_news);
        break;
    case WIRE__FRAME__BODY_CRASH_NEWS:
        Suspects_OnNews(gateway->suspects, frame->crash_news);
        break;
    case WIRE__FRAME__BODY_QUOTA_REPLY:
        Quotas_OnReply(gateway->quotas, frame->quota_reply);
        break;
    case WIRE__FRAME__BODY_ROLLOUT_PERMIT:
        Rollouts_OnPermit(gateway->rollouts, frame->rollout_permit);
        break;
    case WIRE__FRAME__BODY_STREAM_ORIGIN_REPLY:
        Origins_OnReply(gateway->origins, host, frame->stream_origin_reply);
        break;
    default:
        break;
    }
}

bool
GatewayControl_MayGetLease(const GatewayControl *control)
{
    if (control->gateway->table == NULL) {
        return true;
    }
    for (guint i = 0; i < control->hosts->len; i++) {
        const Host *host = control->hosts->pdata[i];
        if (Link_IsConnected(host->link)) {
            return true;
        }
    }
    return false;
}

TimeUs
GatewayControl_ConnectedSince(const GatewayControl *control)
{
    for (guint i = 0; i < control->hosts->len; i++) {
        const Host *host = control->hosts->pdata[i];
        if (!Link_IsConnected(host->link)) {
            return Clock_Now();
        }
    }
    return control->hosts_changed_at;
}

const char *
GatewayControl_Leader(const GatewayControl *control)
{
    return control->leader;
}

bool
GatewayControl_SendLeader(const GatewayControl *control,
                          const Wire__Frame *frame)
{
    const Host *host =
        control->leader == NULL ? NULL : find_host(control, control->leader);
    if (host == NULL || !Link_IsConnected(host->link)) {
        return false;
    }
    Link_Send(host->link, frame);
    return true;
}

TimeUs
GatewayControl_InformedSince(const GatewayControl *control)
{
    TimeUs since = Clock_Now();
    for (guint i = 0; i < control->hosts->len; i++) {
        const Host *host = control->hosts->pdata[i];
        if (Link_IsConnected(host->link)) {
            since = MIN(since, host->connected_at);
        }
    }
    return since;
}

unsigned
GatewayControl_SendAll(const GatewayControl *control, const Wire__Frame *frame)
{
    unsigned count = 0;
    for (guint i = 0; i < control->hosts->len; i++) {
        const Host *host = control->hosts->pdata[i];
        if (Link_IsConnected(host->link)) {
            Link_Send(host->link, frame);
            count++;
        }
    }
    return count;
}

GatewayControl *
GatewayControl_New(Gateway *gateway)
{
    GatewayControl *control = g_new0(GatewayControl, 1);
    control->gateway = gateway;
    control->hosts = g_ptr_array_new();
    control->timer = event_new(gateway->base, -1, 0, on_timer, control);
    for (const char *const *host = gateway->options->hosts; *host != NULL;
         host++) {
        add_host(control, *host);
    }
    set_timer(control, RETRY_DELAY_MS);
    return control;
}

void
GatewayControl_Free(GatewayControl *control)
{
    for (guint i = 0; i < control->hosts->len; i++) {
        Host *host = control->hosts->pdata[i];
        Link_Close(host->link);
        g_free(host->address);
        g_free(host);
    }
    g_ptr_array_unref(control->hosts);
    event_free(control->timer);
    g_free(control->leader);
    g_free(control);
}
