/** @file
 * Gateway: links to the keepers of engines' slots. A request asks a few of
 * them at once, is sent on the first grant, and withdraws the other wants.
 */
#include <string.h>

#include "gateway/state.h"
#include "kernel/log.h"
#include "sched/choose.h"
#include "wire/address.h"

/* Keepers asked for one request: enough that a busy engine does not decide
 * alone, few enough that withdrawals stay cheap. */
#define ASKED_MAX 2
/* Loads that a keeper told fade over this span. */
#define LOAD_FADE_US (500 * US_PER_MS)

typedef struct Keeper {
    Keepers *keepers;
    char *endpoint_id;
    char *address;
    Link *link;
    unsigned wants;  /* of this gateway, not granted yet */
    unsigned held;   /* slots that this gateway holds */
    unsigned others; /* requests of other gateways, as last told */
    TimeUs told_at;
} Keeper;

typedef struct Want {
    uint64_t id;
    Call *call;
    Keeper *asked[ASKED_MAX];
    unsigned count;
    Keeper *holder; /* that granted it */
} Want;

struct Keepers {
    Gateway *gateway;
    GHashTable *by_endpoint; /* endpoint id -> Keeper */
    GHashTable *wants;       /* id -> Want */
};

Keepers *
Keepers_New(Gateway *gateway)
{
    Keepers *keepers = g_new0(Keepers, 1);
    keepers->gateway = gateway;
    keepers->by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
    keepers->wants =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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
    g_free(keepers);
}

/* ---- Wants ---- */

static void
send_end(Keeper *keeper, uint64_t id, bool ran)
{
    Wire__SlotEnd end = WIRE__SLOT_END__INIT;
    end.id = id;
    end.ran = ran;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_END;
    frame.slot_end = &end;
    Link_Send(keeper->link, &frame);
}

static void
drop_asked(Want *want, const Keeper *keeper)
{
    for (unsigned i = 0; i < want->count; i++) {
        if (want->asked[i] == keeper) {
            want->asked[i]->wants--;
            want->asked[i] = want->asked[--want->count];
            return;
        }
    }
}

/* Withdraws what was not granted. */
static void
withdraw(Want *want)
{
    while (want->count > 0) {
        Keeper *keeper = want->asked[0];
        send_end(keeper, want->id, false);
        drop_asked(want, keeper);
    }
}

void
Keepers_End(Call *call, bool complete)
{
    Keepers *keepers = call->gateway->keepers;
    Want *want = call->grant == 0
                     ? NULL
                     : g_hash_table_lookup(keepers->wants, &call->grant);
    call->grant = 0;
    if (want == NULL) {
        return;
    }
    withdraw(want);
    if (want->holder != NULL) {
        want->holder->held--;
        send_end(want->holder, want->id, complete);
    }
    g_hash_table_remove(keepers->wants, &want->id);
}

void
Keepers_FirstEvent(Call *call)
{
    Want *want =
        call->grant == 0
            ? NULL
            : g_hash_table_lookup(call->gateway->keepers->wants, &call->grant);
    if (want == NULL || want->holder == NULL) {
        return;
    }
    Wire__SlotPrefilled prefilled = WIRE__SLOT_PREFILLED__INIT;
    prefilled.id = want->id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_PREFILLED;
    frame.slot_prefilled = &prefilled;
    Link_Send(want->holder->link, &frame);
}

static void
send_want(const Want *want, Keeper *keeper, uint32_t slots)
{
    const Call *call = want->call;
    TimeUs left = call->deadline - Clock_Now();
    Wire__SlotWant message = WIRE__SLOT_WANT__INIT;
    message.id = want->id;
    message.tier = call->tier;
    message.rank = call->rank;
    message.deadline_ms = (uint32_t)MAX(left / US_PER_MS, 0);
    message.prompt_tokens = call->prompt_tokens;
    message.output_tokens = call->output_tokens;
    message.slots = slots;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_WANT;
    frame.slot_want = &message;
    Link_Send(keeper->link, &frame);
}

/* ---- Links ---- */

static void
on_up(Link *link, void *owner)
{
    const Keeper *keeper = owner;
    LOG_INFO(GATEWAY_PART, "Slot keeper in touch. endpoint=%s",
             keeper->endpoint_id);
}

/* Wants at a lost keeper go elsewhere; slots that it granted are used. */
static void
on_down(Link *link, void *owner)
{
    Keeper *keeper = owner;
    Keepers *keepers = keeper->keepers;
    LOG_INFO(GATEWAY_PART, "Slot keeper lost. endpoint=%s",
             keeper->endpoint_id);
    GPtrArray *stranded = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->wants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Want *want = value;
        drop_asked(want, keeper);
        if (want->holder == keeper) {
            want->holder = NULL;
            keeper->held--;
            want->call->grant = 0;
            g_hash_table_iter_remove(&iter);
        }
        else if (want->holder == NULL && want->count == 0) {
            g_ptr_array_add(stranded, want->call);
            want->call->grant = 0;
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < stranded->len; i++) {
        Line_Add(keepers->gateway, stranded->pdata[i]);
    }
    g_ptr_array_unref(stranded);
}

static void
take_load(Keeper *keeper, uint32_t queued, uint32_t busy)
{
    unsigned own = keeper->wants + keeper->held;
    unsigned all = queued + busy;
    keeper->others = all > own ? all - own : 0;
    keeper->told_at = Clock_Now();
}

static void
on_grant(Keeper *keeper, const Wire__SlotGrant *grant)
{
    Keepers *keepers = keeper->keepers;
    take_load(keeper, grant->queued, grant->busy);
    uint64_t id = grant->id;
    Want *want = g_hash_table_lookup(keepers->wants, &id);
    Endpoint *endpoint = Endpoints_Find(keepers->gateway, keeper->endpoint_id);
    if (want == NULL || want->holder != NULL || endpoint == NULL) {
        send_end(keeper, id, false);
        return;
    }
    drop_asked(want, keeper);
    if (!Endpoint_Usable(endpoint, Clock_Now())) {
        send_end(keeper, id, false);
        if (want->count == 0) {
            Call *call = want->call;
            Keepers_End(call, false);
            Line_Add(keepers->gateway, call);
        }
        return;
    }
    withdraw(want);
    want->holder = keeper;
    keeper->held++;
    Call_SendTo(want->call, endpoint);
}

static void
on_refuse(Keeper *keeper, const Wire__SlotRefuse *refuse)
{
    take_load(keeper, refuse->queued, refuse->busy);
    uint64_t id = refuse->id;
    Want *want = g_hash_table_lookup(keeper->keepers->wants, &id);
    if (want == NULL) {
        return;
    }
    drop_asked(want, keeper);
    if (want->holder != NULL || want->count > 0) {
        return;
    }
    Call *call = want->call;
    Keepers_End(call, false);
    if (call->maybe_ran) {
        Call_Fail(call, &(CallError){
                            .status = 502,
                            .code = "endpoint_failed",
                            .message = "The endpoint failed and no other "
                                       "could go on in time.",
                        });
        return;
    }
    Call_Fail(call, &(CallError){
                        .status = 503,
                        .code = "overloaded",
                        .message = "The request would not finish in time.",
                        .retry_after_ms = refuse->retry_after_ms,
                    });
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
    default:
        break;
    }
}

static const LinkOps link_ops = {
    .up = on_up,
    .down = on_down,
    .frame = on_frame,
};

static Keeper *
dial(Keepers *keepers, const Endpoint *endpoint)
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
        LOG_WARN(GATEWAY_PART, "Slot keeper has no address. why=\"%s\"",
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
Keepers_Watch(Keepers *keepers, const Endpoint *endpoint)
{
    if (keepers->gateway->options->keeper_port != 0 &&
        g_hash_table_lookup(keepers->by_endpoint, endpoint->id) == NULL)
    {
        dial(keepers, endpoint);
    }
}

void
Keepers_Unwatch(Keepers *keepers, const char *endpoint_id)
{
    Keeper *keeper = g_hash_table_lookup(keepers->by_endpoint, endpoint_id);
    if (keeper == NULL) {
        return;
    }
    g_hash_table_remove(keepers->by_endpoint, endpoint_id);
    on_down(keeper->link, keeper);
    free_keeper(keeper);
}

/* ---- Placing ---- */

static double
load_of(const Keeper *keeper, const Endpoint *endpoint, TimeUs now)
{
    double age = (double)(now - keeper->told_at) / LOAD_FADE_US;
    double others = age < 1 ? keeper->others * (1 - age / 2) : 0;
    return (keeper->wants + keeper->held + others) / endpoint->slots;
}

bool
Keepers_Want(Call *call)
{
    Keepers *keepers = call->gateway->keepers;
    TimeUs now = Clock_Now();
    guint size = g_hash_table_size(keepers->by_endpoint);
    ChooseCandidate *candidates = g_new0(ChooseCandidate, size + 1);
    Keeper **order = g_new0(Keeper *, size + 1);
    uint32_t *slots = g_new0(uint32_t, size + 1);
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Keeper *keeper = value;
        const Endpoint *endpoint =
            Endpoints_Find(call->gateway, keeper->endpoint_id);
        if (endpoint == NULL || !Link_IsUp(keeper->link) ||
            strcmp(endpoint->service, call->service) != 0)
        {
            continue;
        }
        order[count] = keeper;
        slots[count] = endpoint->slots;
        candidates[count++] = (ChooseCandidate){
            .usable = Endpoint_Usable(endpoint, now),
            .tried = Endpoint_WasTried(endpoint, call),
            .distance = Endpoint_Distance(endpoint),
            .load = load_of(keeper, endpoint, now),
            .error_rate = endpoint->error_rate,
            .run_ms = endpoint->latency_ms,
        };
    }
    Want *want = NULL;
    while (want == NULL || want->count < ASKED_MAX) {
        int best = Choose_Endpoint(candidates, count, G_MAXDOUBLE);
        if (best < 0) {
            break;
        }
        candidates[best].usable = false;
        if (want == NULL) {
            want = g_new0(Want, 1);
            want->id = ++call->gateway->next_want;
            want->call = call;
            call->grant = want->id;
            g_hash_table_replace(keepers->wants, &want->id, want);
        }
        Keeper *keeper = order[best];
        want->asked[want->count++] = keeper;
        keeper->wants++;
        send_want(want, keeper, slots[best]);
    }
    g_free(candidates);
    g_free(order);
    g_free(slots);
    return want != NULL;
}
