/** @file
 * Gateway: wants for slots of engines. The wants of a request go to a few
 * keepers at once and to more while it waits. The first grant dispatches the
 * request and withdraws the other wants.
 */
#include <string.h>

#include "gateway/keepers.h"
#include "kernel/log.h"
#include "sched/balancer.h"

/* Keepers in the first round of wants: those with the best expected run
 * time. */
#define ASKED_FIRST 2
/* Time from the first to the second round of wants, which stays within the
 * region, and between the later rounds, which reach all regions. A round trip
 * between regions only pays off for a request that would wait longer. */
#define ASK_REGION_MS 12
#define ASK_MORE_MS 90
/* Engines with a higher error rate get no wants while there are others. */
#define ERROR_RATE_MAX 0.3
/* Keepers in each later round: enough to find a free slot, and few enough to
 * bound the number of messages in a fleet of any size. */
#define ASKED_MORE 6
/* Time over which the load in a keeper's report decays to 0. */
#define LOAD_FADE_US (300 * US_PER_MS)
/* Assumed speeds of an engine before its keeper reports them, in tokens/s. */
#define PREFILL_UNKNOWN 20000
#define DECODE_UNKNOWN 200

void
Want_Free(gpointer data)
{
    Want *want = data;
    event_free(want->widen);
    g_ptr_array_unref(want->asked);
    g_ptr_array_unref(want->refused);
    g_free(want);
}

/* ---- Wants ---- */

void
Want_SendEnd(Keeper *keeper, uint64_t id, SlotOutcome outcome)
{
    Wire__SlotEnd end = WIRE__SLOT_END__INIT;
    end.id = id;
    end.ran = outcome == SLOT_SERVED;
    if (outcome == SLOT_OTHER_INSTANCE) {
        end.gone_endpoint = keeper->endpoint_id;
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_END;
    frame.slot_end = &end;
    Link_Send(keeper->link, &frame);
}

void
Want_Withdraw(Want *want)
{
    for (guint i = 0; i < want->asked->len; i++) {
        Want_SendEnd(want->asked->pdata[i], want->id, SLOT_NOT_SERVED);
    }
    g_ptr_array_set_size(want->asked, 0);
    event_del(want->widen);
}

void
Keepers_End(Call *call, SlotOutcome outcome)
{
    Keepers *keepers = call->gateway->keepers;
    Want *want = call->grant == 0
                     ? NULL
                     : g_hash_table_lookup(keepers->wants, &call->grant);
    call->grant = 0;
    if (want == NULL) {
        return;
    }
    Want_Withdraw(want);
    if (want->holder != NULL) {
        want->holder->held--;
        Want_SendEnd(want->holder, want->id, outcome);
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
    TimeUs first = call->received_at +
                   call->route->latency_target_ms * US_PER_MS - Clock_Now();
    message.first_ms = (uint32_t)MAX(first / US_PER_MS, 0);
    message.prompt_tokens = call->prompt_tokens;
    message.output_tokens = call->expected_tokens;
    message.longest_output_tokens = call->output_tokens;
    message.endpoint = keeper->endpoint_id;
    message.slots = slots;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_WANT;
    frame.slot_want = &message;
    Link_Send(keeper->link, &frame);
}

/* ---- Choice of keepers ---- */

/* Returns the load per slot: the reported one, or this gateway's slots if
 * these are more. */

static double
load_of(const Keeper *keeper, const Endpoint *endpoint, TimeUs now)
{
    double age = (double)(now - keeper->told_at) / LOAD_FADE_US;
    double told = age < 1 ? keeper->busy * (1 - age) : 0;
    return MAX(told, keeper->held) / endpoint->slots;
}

/* Returns the expected run time of the call on the keeper's engine, in
 * milliseconds. */
static double
expected_run_ms(const Keeper *keeper, const Call *call)
{
    double prefill = keeper->prefill_tokens_s > 0 ? keeper->prefill_tokens_s
                                                  : PREFILL_UNKNOWN;
    double decode =
        keeper->decode_tokens_s > 0 ? keeper->decode_tokens_s : DECODE_UNKNOWN;
    return 1000 *
           (call->prompt_tokens / prefill + call->expected_tokens / decode);
}

/* Keepers that the wants of a call may go to; parallel arrays. */
typedef struct Choice {
    BalancerCandidate *candidates;
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

/* Collects the connected keepers of the call's service that have not got the
 * want yet. */
static void
fill_choice(Choice *choice, const Call *call, const Want *want)
{
    const Keepers *keepers = call->gateway->keepers;
    TimeUs now = Clock_Now();
    guint size = g_hash_table_size(keepers->by_endpoint) + 1;
    choice->candidates = g_new0(BalancerCandidate, size);
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
        choice->candidates[choice->count++] = (BalancerCandidate){
            .usable = Endpoint_Usable(endpoint, now),
            .tried = Endpoint_WasTried(endpoint, call),
            .distance = Endpoint_Distance(endpoint),
            .load = load_of(keeper, endpoint, now),
            .error_rate = Endpoint_ErrorRate(endpoint, now),
            .expected_run_ms = expected_run_ms(keeper, call),
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

/* Sends the want to at most @p most of the usable candidates, best first.
 * @return the number of keepers that it was sent to. */
static guint
ask(Want *want, Choice *choice, guint most)
{
    for (guint asked = 0; asked < most; asked++) {
        int best = Balancer_ChooseEndpoint(choice->candidates, choice->count,
                                           G_MAXDOUBLE);
        if (best < 0) {
            return asked;
        }
        choice->candidates[best].usable = false;
        Keeper *keeper = choice->keepers[best];
        g_ptr_array_add(want->asked, keeper);
        send_want(want, keeper, choice->slots[best]);
    }
    return most;
}

/* Excludes candidates beyond the distance, and failing engines while there are
 * others: an engine that fails at once always has free slots and would attract
 * all requests. */
static void
limit_reach(Choice *choice, unsigned reach)
{
    bool others = false;
    for (size_t i = 0; i < choice->count; i++) {
        BalancerCandidate *candidate = &choice->candidates[i];
        candidate->usable = candidate->usable && candidate->distance <= reach;
        others = others || (candidate->usable &&
                            candidate->error_rate <= ERROR_RATE_MAX);
    }
    for (size_t i = 0; i < choice->count && others; i++) {
        if (choice->candidates[i].error_rate > ERROR_RATE_MAX) {
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

bool
Want_SendMore(Want *want)
{
    Choice choice;
    fill_choice(&choice, want->call, want);
    limit_reach(&choice, want->reach);
    guint asked = ask(want, &choice, ASKED_MORE);
    clear_choice(&choice);
    bool more = asked > 0 || want->reach < REACH_ALL;
    if (more) {
        set_widen(want, ASK_MORE_MS);
    }
    want->reach = REACH_ALL;
    return more;
}

/* Starts the next round while the request still waits. */
static void
on_widen(evutil_socket_t fd, short events, void *arg)
{
    Want_SendMore(arg);
}

bool
Keepers_Want(Call *call)
{
    Choice choice;
    fill_choice(&choice, call, NULL);
    if (Balancer_ChooseEndpoint(choice.candidates, choice.count, G_MAXDOUBLE) <
        0) {
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
