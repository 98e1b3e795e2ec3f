/** @file
 * Gateway: versions of software that began streams. Each gateway tells every
 * control host and some keepers which version sent the first event of a
 * stream; a gateway at which a caller takes up another's stream asks them.
 * What nobody knows is not guessed, unless only one version can have begun the
 * stream and all control hosts have replied; what is uncertain is refused.
 */
#include <string.h>
#include <strings.h>

#include "gateway/origin_copies.h"
#include "gateway/origins.h"
#include "gateway/sole_versions.h"
#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "routes/origin_news.h"

/* Longest wait for the first reply to a question: the lower of a fixed limit
 * and the remaining time divided by this number. */
#define ASK_MAX_US (1 * US_PER_S)
#define ASK_DIVISOR 3
/* Time until the question is repeated, since the news of a stream may still be
 * on its way. It doubles each time. */
#define ASK_AGAIN_US (30 * US_PER_MS)
/* Time for which an origin is kept after the caller's deadline. */
#define KEPT_LONGER_US (2 * US_PER_S)
/* Time with a control host after which a gateway knows all endpoints: the
 * longest delay of an announcement. */
#define ENDPOINTS_KNOWN_US (10 * US_PER_S)
/* Before that, a call waits for an endpoint of its version for the caller's
 * time divided by WAIT_DIVISOR. */
#define WAIT_DIVISOR 3
#define WAIT_STEP_US (50 * US_PER_MS)
/* Retry-After of a call whose origin or endpoint may become known. */
#define UNKNOWN_RETRY_AFTER_MS 500

struct Origins {
    Gateway *gateway;
    StreamOrigins *begun;  /* streams that began here */
    OriginCopies *copies;  /* of them, at keepers */
    GHashTable *questions; /* nonce -> Call */
    SoleVersions *sole;
    uint64_t last_nonce;
};

Origins *
Origins_New(Gateway *gateway)
{
    Origins *origins = g_new0(Origins, 1);
    origins->gateway = gateway;
    origins->begun = StreamOrigins_New(ORIGIN_NEWS_TABLE_MAX);
    origins->copies = OriginCopies_New(gateway);
    origins->questions = g_hash_table_new(g_int64_hash, g_int64_equal);
    origins->sole = SoleVersions_New(gateway);
    return origins;
}

void
Origins_Free(Origins *origins)
{
    StreamOrigins_Free(origins->begun);
    OriginCopies_Free(origins->copies);
    g_hash_table_destroy(origins->questions);
    SoleVersions_Free(origins->sole);
    g_free(origins);
}

static void
count_lookup(const char *result)
{
    char *name =
        g_strdup_printf("gateway_streams_taken_up_total{by=\"%s\"}", result);
    Counter_Add(Counter_Get(name, "Streams that callers took up, by what told "
                                  "how they began."),
                1);
    g_free(name);
}

void
Origins_OnEndpoints(Origins *origins, const char *service)
{
    SoleVersions_OnEndpoints(origins->sole, service);
}

void
Origins_OnLeft(Origins *origins, const Endpoint *endpoint)
{
    SoleVersions_OnLeft(origins->sole, endpoint);
}

void
Origins_OnTable(Origins *origins, const RouteTable *table)
{
    SoleVersions_OnTable(origins->sole, table);
}

/* ---- Binding ---- */

static void
bind_call(Call *call, const char *service, const char *software)
{
    CallOrigin *origin = &call->origin;
    char *old_service = origin->service;
    char *old_software = origin->software;
    origin->bound = true;
    origin->service = g_strdup(service);
    origin->software = g_strdup(software);
    g_free(old_service);
    g_free(old_software);
}

/* Stores how a stream began, and tells every control host and some keepers. */
static void
publish(const Call *call, const char *software)
{
    const Gateway *gateway = call->gateway;
    TimeUs now = Clock_Now();
    StreamOrigin origin = {
        .request = call->id,
        .service = call->origin.service,
        .account = call->account != NULL ? call->account->name : "",
        .software = software,
        .expires_at = MAX(call->caller_deadline, now) + KEPT_LONGER_US,
    };
    if (!OriginNews_Add(gateway->origins->begun, &origin, now)) {
        return;
    }
    Wire__StreamOrigin message;
    Wire__StreamOrigin *pointer = &message;
    OriginNews_Fill(&message, &origin, now);
    Wire__StreamOriginNews news = WIRE__STREAM_ORIGIN_NEWS__INIT;
    news.n_origins = 1;
    news.origins = &pointer;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS;
    frame.stream_origin_news = &news;
    GatewayControl_SendAll(gateway->control, &frame);
    OriginCopies_Tell(gateway->origins->copies, call, &origin);
}

void
Origins_OnFirstEvent(Call *call)
{
    if (!call->origin.bound) {
        bind_call(call, call->endpoint->service,
                  Endpoint_CertainSoftware(call->endpoint));
    }
    if (call->route->resumable) {
        publish(call, call->origin.software);
    }
}

void
Origins_OnReplaced(Endpoint *endpoint)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, endpoint->gateway->conns);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        Call *call = Conn_Call(key);
        if (call != NULL && call->endpoint == endpoint && call->origin.bound) {
            bind_call(call, endpoint->service, "");
            publish(call, "");
        }
    }
}

bool
Origins_CanGoOn(Call *call)
{
    if (!call->origin.bound) {
        return true;
    }
    if (call->origin.software[0] == '\0') {
        const char *software =
            SoleVersions_Find(call->gateway->origins->sole, call, false);
        if (software == NULL) {
            return false;
        }
        bind_call(call, call->origin.service, software);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, call->gateway->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *endpoint = value;
        if (endpoint->state == ENDPOINT_READY &&
            Endpoint_MayContinue(endpoint, call)) {
            return true;
        }
    }
    return false;
}

/* ---- Questions ---- */

/* Returns the id of the request that began the stream which the call takes up,
 * or NULL if the caller does not name exactly one. */
static const char *
named_origin(const Call *call)
{
    const char *name = call->gateway->options->fields->resumes;
    const char *request = NULL;
    for (guint i = 0; i < call->fields->len; i++) {
        const H1Field *field = &g_array_index(call->fields, H1Field, i);
        if (strcasecmp(field->name, name) != 0) {
            continue;
        }
        if (request != NULL) {
            return NULL;
        }
        request = field->value;
    }
    bool valid = request != NULL && request[0] != '\0' &&
                 strlen(request) <= STREAM_ORIGIN_ID_MAX;
    return valid ? request : NULL;
}

static void
refuse(Call *call, const char *code, const char *message,
       uint32_t retry_after_ms)
{
    LOG_INFO(GATEWAY_PART, "Stream cannot go on. id=%s why=%s software=%s",
             call->id, code,
             call->origin.software != NULL ? call->origin.software : "");
    count_lookup(code);
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = code,
                        .message = message,
                        .retry_after_ms = retry_after_ms,
                    });
}

static bool
refuse_unknown(Call *call, uint32_t retry_after_ms)
{
    refuse(call, "origin_unknown",
           "It is not known which version of the software began the stream.",
           retry_after_ms);
    return false;
}

/* Binds the call to an origin, or refuses it if the stream is not the call's
 * or its service is not of the route any more. */
static bool
apply_origin(Call *call, const StreamOrigin *origin, const char *found_by)
{
    const char *account = call->account != NULL ? call->account->name : "";
    if (strcmp(origin->account, account) != 0) {
        return refuse_unknown(call, 0);
    }
    const char *service = Route_FindService(call->route, origin->service);
    if (service == NULL) {
        refuse(call, "service_gone",
               "The service that began the stream does not serve the route.",
               0);
        return false;
    }
    call->service = service;
    if (origin->software[0] == '\0') {
        return refuse_unknown(call, 0);
    }
    bind_call(call, service, origin->software);
    call->origin.lookup = ORIGIN_FOUND;
    count_lookup(found_by);
    return true;
}

void
Origins_EndQuestion(Call *call)
{
    if (call->origin.nonce != 0) {
        g_hash_table_remove(call->gateway->origins->questions,
                            &call->origin.nonce);
        call->origin.nonce = 0;
    }
    g_clear_pointer(&call->origin.replies, OriginReplies_Free);
    if (call->origin.lookup == ORIGIN_ASKED) {
        call->origin.lookup = ORIGIN_NOT_ASKED;
    }
}

static void
fill_question(Wire__Frame *frame, Wire__StreamOriginQuery *query,
              const Call *call, const char *request)
{
    wire__stream_origin_query__init(query);
    query->nonce = call->origin.nonce;
    query->request = (char *)request;
    wire__frame__init(frame);
    frame->body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_QUERY;
    frame->stream_origin_query = query;
}

/* Returns whether the control hosts together know all origins: each has been
 * connected for longer than any origin lives. Otherwise keepers are asked
 * too. */
static bool
hosts_know_all(const Gateway *gateway)
{
    TimeUs since = GatewayControl_ConnectedSince(gateway->control);
    return Clock_Now() - since >= STREAM_ORIGIN_LIFE_MAX_US;
}

static void
ask(Call *call, const char *request)
{
    const Gateway *gateway = call->gateway;
    CallOrigin *origin = &call->origin;
    if (origin->nonce == 0) {
        origin->nonce = ++gateway->origins->last_nonce;
        g_hash_table_insert(gateway->origins->questions, &origin->nonce, call);
    }
    Wire__StreamOriginQuery query;
    Wire__Frame frame;
    fill_question(&frame, &query, call, request);
    origin->hosts_asked = GatewayControl_SendAll(gateway->control, &frame);
    if (request[0] != '\0' && !hosts_know_all(gateway)) {
        Keepers_SendRoute(gateway->keepers, call->route, &frame);
    }
}

void
Origins_OnKeeper(Origins *origins, const char *endpoint_id,
                 const char *address, Link *link)
{
    OriginCopies_SendAll(origins->copies, address, link);
    const Endpoint *endpoint = Endpoints_Find(origins->gateway, endpoint_id);
    if (endpoint == NULL || hosts_know_all(origins->gateway)) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->questions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Call *call = value;
        const char *request = named_origin(call);
        if (request == NULL ||
            !Route_HasService(call->route, endpoint->service)) {
            continue;
        }
        Wire__StreamOriginQuery query;
        Wire__Frame frame;
        fill_question(&frame, &query, call, request);
        Link_Send(link, &frame);
    }
}

static void
log_origin(const Call *call, const StreamOrigin *origin)
{
    const Gateway *gateway = call->gateway;
    TimeUs now = Clock_Now();
    LOG_INFO(
        GATEWAY_PART,
        "Origin of a stream is known. id=%s resumes=%s service=%s software=%s "
        "replies=%u hosts_asked=%u waited_ms=%lld hosts_connected_ms=%lld",
        call->id, origin->request, origin->service, origin->software,
        OriginReplies_Count(call->origin.replies), call->origin.hosts_asked,
        (long long)((now - call->origin.asked_at) / US_PER_MS),
        (long long)((now - GatewayControl_ConnectedSince(gateway->control)) /
                    US_PER_MS));
}

/* Applies what the replies agree on.
 * @return false when the call was refused and is freed. */
static bool
apply_replies(Call *call, TimeUs now)
{
    const OriginReplies *replies = call->origin.replies;
    const StreamOrigin *origin = OriginReplies_Origin(replies, now);
    log_origin(call, origin);
    if (!apply_origin(call, origin,
                      OriginReplies_HasHost(replies) ? "control" : "keeper"))
    {
        return false;
    }
    Origins_EndQuestion(call);
    return true;
}

/* Binds a call whose origin nobody knows to the only version at which it can
 * have begun.
 * @return false when there is none, and the call was refused and is freed. */
static bool
assume_sole(Call *call, uint32_t retry_after_ms)
{
    const char *software =
        SoleVersions_Find(call->gateway->origins->sole, call, true);
    if (software == NULL) {
        return refuse_unknown(call, retry_after_ms);
    }
    LOG_INFO(GATEWAY_PART,
             "Stream is taken for one of the only version. id=%s service=%s "
             "software=%s",
             call->id, call->service, software);
    bind_call(call, call->service, software);
    call->origin.lookup = ORIGIN_FOUND;
    count_lookup("only_version");
    return true;
}

/* Decides a call about whose origin nobody has told anything. A gateway that
 * is cut off does not know which versions have joined, so that the replies of
 * all control hosts are needed, which follow the endpoint records that they
 * had.
 * @return false when the call was refused and is freed. */
static bool
decide_unknown(Call *call, uint32_t retry_after_ms)
{
    bool asked = OriginReplies_AllReplied(call->origin.replies,
                                          call->origin.hosts_asked);
    Origins_EndQuestion(call);
    return asked ? assume_sole(call, retry_after_ms)
                 : refuse_unknown(call, UNKNOWN_RETRY_AFTER_MS);
}

/* Asks how the stream began, again if need be, and holds the call meanwhile.
 * @param request  id of the request that began it; "" if the caller does not
 *                 name one: only the control hosts' replies are awaited then.
 * @return false when the call is held, or was refused and is freed. */
static bool
ask_and_hold(Call *call, const char *request)
{
    CallOrigin *origin = &call->origin;
    TimeUs now = Clock_Now();
    if (origin->lookup == ORIGIN_NOT_ASKED) {
        origin->lookup = ORIGIN_ASKED;
        origin->replies = OriginReplies_New(request);
        origin->asked_at = now;
        origin->ask_until =
            now + MIN((call->caller_deadline - now) / ASK_DIVISOR, ASK_MAX_US);
        origin->ask_again_at = now;
        origin->ask_delay = ASK_AGAIN_US;
    }
    /* A control host that was not connected when a stream's version turned out
     * to be uncertain does not know of it, so that others are awaited. */
    unsigned hosts = hosts_know_all(call->gateway) ? origin->hosts_asked : 0;
    switch (OriginReplies_Judge(origin->replies, hosts, now)) {
    case ORIGIN_OPEN:
        break;
    case ORIGIN_EXPIRED:
        Origins_EndQuestion(call);
        return refuse_unknown(call, 0);
    case ORIGIN_SETTLED:
    case ORIGIN_DISPUTED:
        return apply_replies(call, now);
    }
    if (OriginReplies_Count(origin->replies) > 0) {
        Call_Hold(call, OriginReplies_SettlesAt(origin->replies));
        return false;
    }
    bool unnamed = request[0] == '\0';
    if (now >= origin->ask_until ||
        (unnamed &&
         OriginReplies_AllReplied(origin->replies, origin->hosts_asked)))
    {
        return decide_unknown(call, unnamed ? 0 : UNKNOWN_RETRY_AFTER_MS);
    }
    if (now >= origin->ask_again_at) {
        ask(call, request);
        origin->ask_again_at = now + origin->ask_delay;
        origin->ask_delay *= 2;
    }
    Call_Hold(call, MIN(origin->ask_again_at, origin->ask_until));
    return false;
}

/* Holds a call for which no endpoint of its version is known while the gateway
 * has not yet heard of all endpoints. Once it has, the queue refuses the call.
 * @return false when the call is held, or was refused and is freed. */
static bool
await_version(Call *call)
{
    TimeUs now = Clock_Now();
    TimeUs informed_since =
        GatewayControl_InformedSince(call->gateway->control);
    if (Origins_CanGoOn(call) || now - informed_since >= ENDPOINTS_KNOWN_US) {
        return true;
    }
    TimeUs until = call->received_at +
                   (call->caller_deadline - call->received_at) / WAIT_DIVISOR;
    if (now >= until) {
        refuse(call, "version_unknown",
               "No endpoint with the version of the software that began the "
               "stream is known yet.",
               UNKNOWN_RETRY_AFTER_MS);
        return false;
    }
    Call_Hold(call, MIN(now + WAIT_STEP_US, until));
    return false;
}

/* Finds out how the stream began that the call takes up.
 * @return false when the call is held, or was refused and is freed. */
static bool
find_origin(Call *call)
{
    const char *request = named_origin(call);
    const StreamOrigin *origin =
        request == NULL ? NULL
                        : StreamOrigins_Find(call->gateway->origins->begun,
                                             request, Clock_Now());
    if (origin != NULL) {
        Origins_EndQuestion(call);
        return apply_origin(call, origin, "gateway");
    }
    if (request == NULL &&
        SoleVersions_Find(call->gateway->origins->sole, call, true) == NULL)
    {
        return refuse_unknown(call, 0);
    }
    return ask_and_hold(call, request == NULL ? "" : request);
}

bool
Origins_Resolve(Call *call)
{
    const GatewayFields *fields = call->gateway->options->fields;
    bool has_events = Call_Field(call, fields->last_event) != NULL;
    if (call->route->kind != ROUTE_STREAM || !has_events) {
        return true;
    }
    return (call->origin.lookup == ORIGIN_FOUND || find_origin(call)) &&
           await_version(call);
}

void
Origins_OnReply(Origins *origins, const void *host,
                const Wire__StreamOriginReply *reply)
{
    uint64_t nonce = reply->nonce;
    Call *call = g_hash_table_lookup(origins->questions, &nonce);
    if (call == NULL || (reply->origin == NULL && host == NULL)) {
        return;
    }
    if (reply->origin == NULL) {
        OriginReplies_AddUnknown(call->origin.replies, host);
    }
    else {
        TimeUs now = Clock_Now();
        StreamOrigin origin = OriginNews_Read(reply->origin, now);
        OriginReplies_Add(call->origin.replies, host, &origin, now);
    }
    Call_Readmit(call);
}

void
Origins_Forget(Call *call)
{
    Origins_EndQuestion(call);
    g_clear_pointer(&call->origin.software, g_free);
    g_clear_pointer(&call->origin.service, g_free);
    call->origin.bound = false;
}

void
Origins_SendAll(const Origins *origins, Link *link)
{
    OriginNews_SendAll(origins->begun, link, Clock_Now());
}
