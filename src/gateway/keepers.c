/** @file
 * Gateway: links to the keepers of engines' slots. A request asks a few of
 * them at once, is sent on the first grant, and withdraws the other wants.
 */
#include <string.h>

#include "gateway/state.h"
#include "kernel/log.h"
#include "sched/choose.h"
#include "sched/work.h"
#include "wire/address.h"

/* Keepers asked at once: the best by expected time to the end. */
#define ASKED_FIRST 2
/* A request that waits this long asks all keepers of its region, and after
 * the longer span those beyond: a round trip between regions is worth it
 * only for requests that would wait longer than it takes. */
#define ASK_REGION_MS 12
#define ASK_ALL_MS 90
#define REACH_REGION 1
#define REACH_ALL 2
/* Loads that a keeper told fade over this span. */
#define LOAD_FADE_US (300 * US_PER_MS)
/* Pace of an engine that has not told its own, in tokens a second. */
#define PREFILL_UNKNOWN 20000
#define DECODE_UNKNOWN 200

typedef struct Keeper {
    Keepers *keepers;
    char *endpoint_id;
    char *address;
    Link *link;
    unsigned held; /* slots that this gateway holds */
    unsigned busy; /* slots that all gateways held, as last told */
    TimeUs told_at;
    uint32_t prefill_tokens_s;
    uint32_t decode_tokens_s;
} Keeper;

typedef struct Want {
    uint64_t id;
    Call *call;
    GPtrArray *asked;   /* Keeper, that have neither granted nor refused */
    GPtrArray *refused; /* Keeper */
    uint32_t retry_after_ms; /* the least that a keeper named; 0: none */
    Keeper *holder;          /* that granted it */
    unsigned reach;          /* how far it asks when it widens next */
    struct event *widen;
} Want;

struct Keepers {
    Gateway *gateway;
    GHashTable *by_endpoint; /* endpoint id -> Keeper */
    GHashTable *wants;       /* id -> Want */
};

static void
free_want(gpointer data)
{
    Want *want = data;
    event_free(want->widen);
    g_ptr_array_unref(want->asked);
    g_ptr_array_unref(want->refused);
    g_free(want);
}

Keepers *
Keepers_New(Gateway *gateway)
{
    Keepers *keepers = g_new0(Keepers, 1);
    keepers->gateway = gateway;
    keepers->by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
    keepers->wants =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_want);
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

/* Withdraws what was not granted. */
static void
withdraw(Want *want)
{
    for (guint i = 0; i < want->asked->len; i++) {
        send_end(want->asked->pdata[i], want->id, false);
    }
    g_ptr_array_set_size(want->asked, 0);
    event_del(want->widen);
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
    TimeUs first =
        call->received + call->route->target_ms * US_PER_MS - Clock_Now();
    message.first_ms = (uint32_t)MAX(first / US_PER_MS, 0);
    message.prompt_tokens = call->prompt_tokens;
    message.output_tokens = call->output_tokens;
    message.slots = slots;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_WANT;
    frame.slot_want = &message;
    Link_Send(keeper->link, &frame);
}

/* ---- Placing ---- */

static double
load_of(const Keeper *keeper, const Endpoint *endpoint, TimeUs now)
{
    double age = (double)(now - keeper->told_at) / LOAD_FADE_US;
    double told = age < 1 ? keeper->busy * (1 - age) : 0;
    return MAX(told, keeper->held) / endpoint->slots;
}

/* Expected time of the call on the keeper's engine, in milliseconds. */
static double
run_ms(const Keeper *keeper, const Call *call)
{
    double prefill = keeper->prefill_tokens_s > 0 ? keeper->prefill_tokens_s
                                                  : PREFILL_UNKNOWN;
    double decode =
        keeper->decode_tokens_s > 0 ? keeper->decode_tokens_s : DECODE_UNKNOWN;
    return 1000 *
           (call->prompt_tokens / prefill + call->output_tokens / decode);
}

/* Keepers that a call may ask. */
typedef struct Choice {
    ChooseCandidate *candidates;
    Keeper **keepers;
    uint32_t *slots;
    size_t count;
} Choice;

static bool
is_asked(const Want *want, const Keeper *keeper)
{
    return want != NULL && (g_ptr_array_find(want->asked, keeper, NULL) ||
                            g_ptr_array_find(want->refused, keeper, NULL));
}

static void
fill_choice(Choice *choice, const Call *call, const Want *want)
{
    const Keepers *keepers = call->gateway->keepers;
    TimeUs now = Clock_Now();
    guint size = g_hash_table_size(keepers->by_endpoint) + 1;
    choice->candidates = g_new0(ChooseCandidate, size);
    choice->keepers = g_new0(Keeper *, size);
    choice->slots = g_new0(uint32_t, size);
    choice->count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Keeper *keeper = value;
        const Endpoint *endpoint =
            Endpoints_Find(call->gateway, keeper->endpoint_id);
        if (endpoint == NULL || !Link_IsUp(keeper->link) ||
            strcmp(endpoint->service, call->service) != 0 ||
            is_asked(want, keeper))
        {
            continue;
        }
        choice->keepers[choice->count] = keeper;
        choice->slots[choice->count] = endpoint->slots;
        choice->candidates[choice->count++] = (ChooseCandidate){
            .usable = Endpoint_Usable(endpoint, now),
            .tried = Endpoint_WasTried(endpoint, call),
            .distance = Endpoint_Distance(endpoint),
            .load = load_of(keeper, endpoint, now),
            .error_rate = endpoint->error_rate,
            .run_ms = run_ms(keeper, call),
        };
    }
}

static void
clear_choice(Choice *choice)
{
    g_free(choice->candidates);
    g_free(choice->keepers);
    g_free(choice->slots);
}

/* Asks up to @p most keepers within the want's reach, best first. */
static void
ask(Want *want, Choice *choice, guint most)
{
    for (guint asked = 0; asked < most; asked++) {
        int best =
            Choose_Endpoint(choice->candidates, choice->count, G_MAXDOUBLE);
        if (best < 0) {
            return;
        }
        choice->candidates[best].usable = false;
        Keeper *keeper = choice->keepers[best];
        g_ptr_array_add(want->asked, keeper);
        send_want(want, keeper, choice->slots[best]);
    }
}

static void
limit_reach(Choice *choice, unsigned reach)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (choice->candidates[i].distance > reach) {
            choice->candidates[i].usable = false;
        }
    }
}

static void
set_widen(Want *want, uint32_t ms)
{
    struct timeval span = {.tv_usec = ms * US_PER_MS};
    event_add(want->widen, &span);
}

/* Asks all keepers within the want's reach, and reaches farther next time. */
static void
widen(Want *want)
{
    Choice choice;
    fill_choice(&choice, want->call, want);
    limit_reach(&choice, want->reach);
    ask(want, &choice, G_MAXUINT);
    clear_choice(&choice);
    if (want->reach == REACH_REGION) {
        set_widen(want, ASK_ALL_MS - ASK_REGION_MS);
    }
    want->reach++;
}

/* The request still waits. */
static void
on_widen(evutil_socket_t fd, short events, void *arg)
{
    widen(arg);
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
        g_ptr_array_remove_fast(want->asked, keeper);
        g_ptr_array_remove_fast(want->refused, keeper);
        if (want->holder == keeper) {
            want->holder = NULL;
            keeper->held--;
            want->call->grant = 0;
            g_hash_table_iter_remove(&iter);
        }
        else if (want->holder == NULL && want->asked->len == 0) {
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
take_load(Keeper *keeper, uint32_t busy)
{
    keeper->busy = busy;
    keeper->told_at = Clock_Now();
}

static void
on_grant(Keeper *keeper, const Wire__SlotGrant *grant)
{
    Keepers *keepers = keeper->keepers;
    take_load(keeper, grant->busy);
    keeper->prefill_tokens_s = grant->prefill_tokens_s;
    keeper->decode_tokens_s = grant->decode_tokens_s;
    uint64_t id = grant->id;
    Want *want = g_hash_table_lookup(keepers->wants, &id);
    Endpoint *endpoint = Endpoints_Find(keepers->gateway, keeper->endpoint_id);
    if (want == NULL || want->holder != NULL || endpoint == NULL) {
        send_end(keeper, id, false);
        return;
    }
    g_ptr_array_remove_fast(want->asked, keeper);
    if (!Endpoint_Usable(endpoint, Clock_Now())) {
        send_end(keeper, id, false);
        if (want->asked->len == 0) {
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
    take_load(keeper, refuse->busy);
    uint64_t id = refuse->id;
    Want *want = g_hash_table_lookup(keeper->keepers->wants, &id);
    if (want == NULL) {
        return;
    }
    g_ptr_array_remove_fast(want->asked, keeper);
    if (want->holder != NULL) {
        return;
    }
    g_ptr_array_add(want->refused, keeper);
    want->retry_after_ms =
        want->retry_after_ms == 0
            ? refuse->retry_after_ms
            : MIN(want->retry_after_ms, refuse->retry_after_ms);
    while (want->asked->len == 0 && want->reach <= REACH_ALL) {
        widen(want);
    }
    if (want->asked->len > 0) {
        return;
    }
    LOG_INFO(GATEWAY_PART,
             "No slot for the request. id=%s refused=%u last=%s reason=%s "
             "queued=%u busy=%u want=%llu",
             want->call->id, want->refused->len, keeper->endpoint_id,
             Work_ReasonName((RefuseReason)refuse->reason), refuse->queued,
             refuse->busy, (unsigned long long)id);
    uint32_t retry_after_ms = want->retry_after_ms;
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
                        .retry_after_ms = retry_after_ms,
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

bool
Keepers_Want(Call *call)
{
    Choice choice;
    fill_choice(&choice, call, NULL);
    if (Choose_Endpoint(choice.candidates, choice.count, G_MAXDOUBLE) < 0) {
        clear_choice(&choice);
        return false;
    }
    Want *want = g_new0(Want, 1);
    want->id = ++call->gateway->next_want;
    want->call = call;
    want->asked = g_ptr_array_new();
    want->refused = g_ptr_array_new();
    want->reach = REACH_REGION;
    want->widen = event_new(call->gateway->base, -1, 0, on_widen, want);
    call->grant = want->id;
    g_hash_table_replace(call->gateway->keepers->wants, &want->id, want);
    ask(want, &choice, ASKED_FIRST);
    set_widen(want, ASK_REGION_MS);
    clear_choice(&choice);
    return true;
}
