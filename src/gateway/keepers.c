/** @file
 * Gateway: links to the keepers of engines' slots.
 */
#include <string.h>

#include "gateway/keepers.h"
#include "kernel/log.h"
#include "sched/work.h"
#include "wire/address.h"

/* Removes the want, which no keeper can grant any more, and adds its call to
 * @p requeued. */
static void
abandon_want(Want *want, GHashTableIter *iter, GPtrArray *requeued)
{
    g_ptr_array_add(requeued, want->call);
    want->call->want_id = 0;
    g_hash_table_iter_remove(iter);
}

static void
requeue_calls(Keepers *keepers, GPtrArray *requeued)
{
    for (guint i = 0; i < requeued->len; i++) {
        ServiceQueue_Add(keepers->gateway, requeued->pdata[i]);
    }
    g_ptr_array_unref(requeued);
}

/* Withdraws the want from the keepers whose engines may not serve it. */
static void
withdraw_from_useless(Want *want)
{
    TimeUs now = Clock_Now();
    for (guint i = want->pending->len; i > 0; i--) {
        Keeper *keeper = want->pending->pdata[i - 1];
        const Endpoint *endpoint =
            Endpoints_Find(keeper->keepers->gateway, keeper->endpoint_id);
        if (endpoint != NULL && Endpoint_MayServe(endpoint, want->call, now)) {
            continue;
        }
        Want_SendEnd(keeper, want->id, SLOT_NOT_SERVED);
        g_ptr_array_remove_index_fast(want->pending, i - 1);
    }
}

static void
withdraw_useless(evutil_socket_t fd, short events, void *arg)
{
    Keepers *keepers = arg;
    GPtrArray *requeued = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->wants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Want *want = value;
        if (want->granted_by != NULL) {
            continue;
        }
        withdraw_from_useless(want);
        if (want->pending->len == 0) {
            abandon_want(want, &iter, requeued);
        }
    }
    requeue_calls(keepers, requeued);
}

void
Keepers_WithdrawUseless(Keepers *keepers)
{
    event_active(keepers->withdraw_event, EV_TIMEOUT, 0);
}

Keepers *
Keepers_New(Gateway *gateway)
{
    Keepers *keepers = g_new0(Keepers, 1);
    keepers->gateway = gateway;
    keepers->by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
    keepers->wants =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, Want_Free);
    keepers->withdraw_event =
        event_new(gateway->base, -1, 0, withdraw_useless, keepers);
    return keepers;
}

static void
free_keeper(Keeper *keeper)
{
    Link_Close(keeper->link);
    g_free(keeper->endpoint_id);
    g_free(keeper->address);
    g_free(keeper);
}

void
Keepers_Free(Keepers *keepers)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        free_keeper(value);
    }
    g_hash_table_destroy(keepers->by_endpoint);
    g_hash_table_destroy(keepers->wants);
    event_free(keepers->withdraw_event);
    g_free(keepers);
}

static void
on_connected(Link *link, void *owner)
{
    const Keeper *keeper = owner;
    LOG_INFO(GATEWAY_PART, "Slot keeper connected. endpoint=%s",
             keeper->endpoint_id);
    Origins_OnKeeper(keeper->keepers->gateway->origins, keeper->endpoint_id,
                     keeper->address, link);
    /* The keeper may have started again without the engine. */
    const Endpoint *endpoint =
        Endpoints_Find(keeper->keepers->gateway, keeper->endpoint_id);
    if (endpoint != NULL && endpoint->rate_limit.rate > 0) {
        Keepers_ReportRate(endpoint, endpoint->rate_limit.rate,
                           endpoint->rate_limit.named_at);
    }
}

/* Queues the calls whose wants only this keeper could still grant. Calls that
 * it granted a slot continue to run. */
static void
on_disconnected(Link *link, void *owner)
{
    Keeper *keeper = owner;
    Keepers *keepers = keeper->keepers;
    LOG_INFO(GATEWAY_PART, "Slot keeper lost. endpoint=%s",
             keeper->endpoint_id);
    keeper->view = (EngineView){.heard_at = 0};
    GPtrArray *requeued = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->wants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Want *want = value;
        g_ptr_array_remove_fast(want->pending, keeper);
        g_ptr_array_remove_fast(want->refused, keeper);
        if (want->granted_by == keeper) {
            want->granted_by = NULL;
            keeper->granted_slots--;
            want->call->want_id = 0;
            g_hash_table_iter_remove(&iter);
        }
        else if (want->granted_by == NULL && want->pending->len == 0) {
            abandon_want(want, &iter, requeued);
        }
    }
    requeue_calls(keepers, requeued);
}

static void
update_load(Keeper *keeper, uint32_t busy, uint32_t queued)
{
    keeper->busy_slots = busy;
    keeper->queued_wants = queued;
    keeper->busy_reported_at = Clock_Now();
}

static void
on_grant(Keeper *keeper, const Wire__SlotGrant *grant)
{
    Keepers *keepers = keeper->keepers;
    update_load(keeper, grant->busy, grant->queued);
    keeper->prefill_tokens_s = grant->prefill_tokens_s;
    keeper->decode_tokens_s = grant->decode_tokens_s;
    if (grant->outlook != NULL) {
        Keeper_ReadOutlook(keeper, grant->outlook);
    }
    else {
        EngineView_OnOutlook(&keeper->view, NULL, Clock_Now());
    }
    uint64_t id = grant->id;
    Want *want = g_hash_table_lookup(keepers->wants, &id);
    Endpoint *endpoint = Endpoints_Find(keepers->gateway, keeper->endpoint_id);
    if (want == NULL || want->granted_by != NULL || endpoint == NULL) {
        Want_SendEnd(keeper, id, SLOT_UNUSED);
        return;
    }
    g_ptr_array_remove_fast(want->pending, keeper);
    Endpoint_OnStartSeen(endpoint, grant->born, grant->start_uncertain);
    if (!Endpoint_MayServe(endpoint, want->call, Clock_Now())) {
        Want_SendEnd(keeper, id, SLOT_UNUSED);
        if (want->pending->len == 0) {
            Call *call = want->call;
            Keepers_EndWant(call, SLOT_NOT_SERVED);
            ServiceQueue_Add(keepers->gateway, call);
        }
        return;
    }
    Want_Withdraw(want);
    want->granted_by = keeper;
    keeper->granted_slots++;
    Call_SendTo(want->call, endpoint);
}

void
Keepers_RefuseWant(Want *want, const Keeper *last, const char *reason)
{
    Call *call = want->call;
    Gateway *gateway = call->gateway;
    if (Rollouts_FallBack(call, "all engines refused")) {
        Keepers_EndWant(call, SLOT_NOT_SERVED);
        ServiceQueue_Add(gateway, call);
        return;
    }
    uint32_t retry_after_ms = Want_ReturnMs(want);
    LOG_INFO(GATEWAY_PART,
             "No slot for the request. id=%s refused=%u unanswered=%u "
             "last=%s reason=%s queued=%u busy=%u want=%llu by=%s "
             "retry_after_ms=%u",
             call->id, want->refused->len, want->pending->len,
             last != NULL ? last->endpoint_id : "", reason,
             last != NULL ? last->queued_wants : 0,
             last != NULL ? last->busy_slots : 0, (unsigned long long)want->id,
             want->limited ? "view" : "search", retry_after_ms);
    Keepers_EndWant(call, SLOT_NOT_SERVED);
    if (call->maybe_ran) {
        Call_Fail(call, &(CallError){
                            .status = 502,
                            .code = "endpoint_failed",
                            .message = "The endpoint failed and no other "
                                       "can finish the request in time.",
                        });
        return;
    }
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "overloaded",
                        .message = "No endpoint can finish the request "
                                   "in time.",
                        .retry_after_ms = retry_after_ms,
                    });
}

static void
on_refuse(Keeper *keeper, const Wire__SlotRefuse *refuse)
{
    update_load(keeper, refuse->busy, refuse->queued);
    if (refuse->reason == WIRE__REFUSE_REASON__REFUSE_LEAVING) {
        EngineView_OnClosed(&keeper->view, Clock_Now());
    }
    else if (refuse->outlook != NULL) {
        Keeper_ReadOutlook(keeper, refuse->outlook);
    }
    uint64_t id = refuse->id;
    Want *want = g_hash_table_lookup(keeper->keepers->wants, &id);
    if (want == NULL) {
        return;
    }
    g_ptr_array_remove_fast(want->pending, keeper);
    if (want->granted_by != NULL) {
        return;
    }
    g_ptr_array_add(want->refused, keeper);
    want->retry_after_ms =
        want->retry_after_ms == 0
            ? refuse->retry_after_ms
            : MIN(want->retry_after_ms, refuse->retry_after_ms);
    while (want->pending->len == 0 && Want_SendNextRound(want)) {
    }
    if (want->pending->len > 0) {
        return;
    }
    Keepers_RefuseWant(want, keeper,
                       RefuseReason_Name((RefuseReason)refuse->reason));
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_SLOT_GRANT:
        on_grant(owner, frame->slot_grant);
        break;
    case WIRE__FRAME__BODY_SLOT_REFUSE:
        on_refuse(owner, frame->slot_refuse);
        break;
    case WIRE__FRAME__BODY_STREAM_ORIGIN_REPLY:
        Origins_OnReply(((Keeper *)owner)->keepers->gateway->origins, NULL,
                        frame->stream_origin_reply);
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

static Keeper *
connect_keeper(Keepers *keepers, const Endpoint *endpoint)
{
    char *host = g_strdup(endpoint->address);
    char *colon = strrchr(host, ':');
    if (colon != NULL) {
        *colon = '\0';
    }
    char *text =
        g_strdup_printf("%s:%u", host, keepers->gateway->options->keeper_port);
    g_free(host);
    Address address;
    Error err = ERROR_INIT;
    if (Address_Parse(text, &address, &err) != ERR_OK) {
        LOG_WARN(GATEWAY_PART, "Invalid address of a slot keeper. why=\"%s\"",
                 err.text);
        g_free(text);
        return NULL;
    }
    Keeper *keeper = g_new0(Keeper, 1);
    keeper->keepers = keepers;
    keeper->endpoint_id = g_strdup(endpoint->id);
    keeper->address = text;
    keeper->link = Link_Dial(keepers->gateway->base, &keepers->gateway->self,
                             &address, &link_ops, keeper);
    g_hash_table_insert(keepers->by_endpoint, keeper->endpoint_id, keeper);
    return keeper;
}

void
Keepers_Connect(Keepers *keepers, const Endpoint *endpoint)
{
    if (keepers->gateway->options->keeper_port != 0 &&
        g_hash_table_lookup(keepers->by_endpoint, endpoint->id) == NULL)
    {
        connect_keeper(keepers, endpoint);
    }
}

void
Keepers_SendRoute(const Keepers *keepers, const Route *route,
                  const Wire__Frame *frame)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Keeper *keeper = value;
        const Endpoint *endpoint =
            Endpoints_Find(keepers->gateway, keeper->endpoint_id);
        if (endpoint != NULL && Route_HasService(route, endpoint->service)) {
            Link_Send(keeper->link, frame);
        }
    }
}

void
Keepers_Disconnect(Keepers *keepers, const char *endpoint_id)
{
    Keeper *keeper = g_hash_table_lookup(keepers->by_endpoint, endpoint_id);
    if (keeper == NULL) {
        return;
    }
    g_hash_table_remove(keepers->by_endpoint, endpoint_id);
    on_disconnected(keeper->link, keeper);
    free_keeper(keeper);
}
