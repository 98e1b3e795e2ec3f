/** @file
 * Gateway: wants for slots of engines. The wants of a request are sent
 * to a few keepers at once and to more while it waits. The first grant
 * dispatches the request and withdraws the other wants.
 */
#include <string.h>

#include <xxhash.h>

#include "gateway/keepers.h"
#include "gateway/paces.h"
#include "gateway/zones.h"
#include "kernel/log.h"
#include "sched/balancer.h"

/* Keepers in the first round of wants: those with the best expected run
 * time. */
#define FIRST_ROUND_WANTS 2
/* Delay of the second round of wants, which is limited to the region. */
#define SECOND_ROUND_MS 12
/* Time between the later rounds, which include all regions. A request that
 * waits less than a round trip between regions gains nothing from them. */
#define LATER_ROUND_MS 90
/* Spreads hashes of similar request ids over all values (Knuth). */
#define SPREAD_FACTOR 2654435761U
/* Engines with a higher error rate get no wants while there are others. */
#define ERROR_RATE_MAX 0.3
/* Keepers in each later round: enough to find a free slot, and few enough to
 * bound the number of messages in a fleet of any size. */
#define LATER_ROUND_WANTS 6
/* Time until the view of the pool is asked again for a request that waits at
 * some keepers while all others are known to be late. Outlooks change within
 * about this time. */
#define RECHECK_MS 250
/* Part of the latency target after which a request without hope is refused,
 * and the least time for keepers to reply: a round trip between regions. */
#define HOPELESS_DIVISOR 8
#define HOPELESS_MIN_MS 70
/* Time over which the load in a keeper's report decays to 0. */
#define LOAD_DECAY_US (300 * US_PER_MS)
/* Assumed speeds of an engine before its keeper reports them, in tokens/s. */
#define DEFAULT_PREFILL_TOKENS_S 20000
#define DEFAULT_DECODE_TOKENS_S 200

void
Want_Free(gpointer data)
{
    Want *want = data;
    event_free(want->next_round_timer);
    g_ptr_array_unref(want->pending);
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
    end.unsent = outcome == SLOT_UNUSED;
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
    for (guint i = 0; i < want->pending->len; i++) {
        Want_SendEnd(want->pending->pdata[i], want->id, SLOT_NOT_SERVED);
    }
    g_ptr_array_set_size(want->pending, 0);
    event_del(want->next_round_timer);
}

void
Keepers_EndWant(Call *call, SlotOutcome outcome)
{
    Keepers *keepers = call->gateway->keepers;
    Want *want = call->want_id == 0
                     ? NULL
                     : g_hash_table_lookup(keepers->wants, &call->want_id);
    call->want_id = 0;
    if (want == NULL) {
        return;
    }
    Want_Withdraw(want);
    if (want->granted_by != NULL) {
        want->granted_by->granted_slots--;
        Want_SendEnd(want->granted_by, want->id, outcome);
    }
    g_hash_table_remove(keepers->wants, &want->id);
}

void
Keepers_ReportPrefilled(Call *call)
{
    Want *want = call->want_id == 0
                     ? NULL
                     : g_hash_table_lookup(call->gateway->keepers->wants,
                                           &call->want_id);
    if (want == NULL || want->granted_by == NULL) {
        return;
    }
    Wire__SlotPrefilled prefilled = WIRE__SLOT_PREFILLED__INIT;
    prefilled.id = want->id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_PREFILLED;
    frame.slot_prefilled = &prefilled;
    Link_Send(want->granted_by->link, &frame);
}

void
Keepers_ReportRate(const Endpoint *endpoint, double rate, TimeUs sent_at)
{
    const Keeper *keeper = g_hash_table_lookup(
        endpoint->gateway->keepers->by_endpoint, endpoint->id);
    if (keeper == NULL || !Link_IsConnected(keeper->link)) {
        return;
    }
    Wire__SlotRate message = WIRE__SLOT_RATE__INIT;
    message.born = endpoint->born;
    message.rate = rate;
    message.sent_age_ms =
        (uint32_t)MAX((Clock_Now() - sent_at) / US_PER_MS, 0);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_RATE;
    frame.slot_rate = &message;
    Link_Send(keeper->link, &frame);
}

/* @param told_ms  0 for a want; else the time after which the caller of the
 *                 refused request was told to come back. */
static void
send_want(const Want *want, Keeper *keeper, uint32_t slots, uint32_t told_ms)
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
    TimeUs limit = Call_FirstOutputLimit(call);
    if (limit != 0) {
        message.first_limit_ms =
            (uint32_t)MAX((limit - Clock_Now()) / US_PER_MS, 1);
    }
    message.prompt_tokens = call->prompt_tokens;
    message.output_tokens = call->expected_tokens;
    message.longest_output_tokens = call->output_tokens;
    message.told_ms = told_ms;
    message.endpoint = keeper->endpoint_id;
    message.slots = slots;
    const Endpoint *endpoint =
        Endpoints_Find(call->gateway, keeper->endpoint_id);
    message.born = endpoint == NULL ? 0 : endpoint->born;
    message.account = Pool_AccountOf(call);
    if (call->gateway->options->bounds.spares_memory) {
        const RouteService *service =
            RouteTable_Service(call->table, call->service);
        message.memory_tokens = service == NULL ? 0 : service->kv_tokens;
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_WANT;
    frame.slot_want = &message;
    Link_Send(keeper->link, &frame);
}

/* ---- Choice of keepers ---- */

/* Returns the keeper's load per slot: the larger of the decayed report and the
 * slots granted to this gateway. */
static double
keeper_load(const Keeper *keeper, const Endpoint *endpoint, TimeUs now)
{
    double age = (double)(now - keeper->busy_reported_at) / LOAD_DECAY_US;
    double reported = age < 1 ? keeper->busy_slots * (1 - age) : 0;
    return MAX(reported, keeper->granted_slots) / endpoint->slots;
}

/* Returns the requests that wait for the keeper's engine, by its newest
 * report. Each waits at FIRST_ROUND_WANTS keepers or more. */
static double
keeper_queued(const Keeper *keeper, TimeUs now)
{
    double age = (double)(now - keeper->busy_reported_at) / LOAD_DECAY_US;
    return age < 1 ? keeper->queued_wants * (1 - age) / FIRST_ROUND_WANTS : 0;
}

/* Returns the expected run time of the call on the keeper's engine, in
 * milliseconds. */
static double
expected_run_ms(const Keeper *keeper, const Call *call)
{
    double prefill = keeper->prefill_tokens_s > 0 ? keeper->prefill_tokens_s
                                                  : DEFAULT_PREFILL_TOKENS_S;
    double decode = keeper->decode_tokens_s > 0 ? keeper->decode_tokens_s
                                                : DEFAULT_DECODE_TOKENS_S;
    return 1000 *
           (call->prompt_tokens / prefill + call->expected_tokens / decode);
}

/* Connected keepers whose engines may serve a call, in parallel arrays. Those
 * to which the wants of the call may be sent are usable. */
typedef struct KeeperChoice {
    BalancerCandidate *candidates;
    PoolCandidate *pool;
    Keeper **keepers;
    Endpoint **endpoints;
    bool *open;     /* whether the want may be sent there, in any zone */
    double *queued; /* waiting requests, as the keepers last reported */
    uint32_t *slots;
    size_t count;
} KeeperChoice;

static bool
was_sent(const Want *want, const Keeper *keeper)
{
    return want != NULL && (g_ptr_array_find(want->pending, keeper, NULL) ||
                            g_ptr_array_find(want->refused, keeper, NULL));
}

static void
collect_candidates(KeeperChoice *choice, Call *call, const Want *want)
{
    const Keepers *keepers = call->gateway->keepers;
    TimeUs now = Clock_Now();
    guint size = g_hash_table_size(keepers->by_endpoint) + 1;
    choice->candidates = g_new0(BalancerCandidate, size);
    choice->pool = g_new0(PoolCandidate, size);
    choice->keepers = g_new0(Keeper *, size);
    choice->endpoints = g_new0(Endpoint *, size);
    choice->open = g_new0(bool, size);
    choice->queued = g_new0(double, size);
    choice->slots = g_new0(uint32_t, size);
    choice->count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, keepers->by_endpoint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Keeper *keeper = value;
        Endpoint *endpoint =
            Endpoints_Find(call->gateway, keeper->endpoint_id);
        if (endpoint == NULL || !Link_IsConnected(keeper->link) ||
            strcmp(endpoint->service, call->service) != 0 ||
            !Endpoint_MayServe(endpoint, call, now))
        {
            continue;
        }
        double load = keeper_load(keeper, endpoint, now);
        bool busy = Rollouts_IsTrial(call) && load >= 1;
        choice->keepers[choice->count] = keeper;
        choice->endpoints[choice->count] = endpoint;
        choice->queued[choice->count] = keeper_queued(keeper, now);
        choice->open[choice->count] = !busy && !was_sent(want, keeper);
        choice->slots[choice->count] = endpoint->slots;
        choice->candidates[choice->count] = (BalancerCandidate){
            .usable = choice->open[choice->count],
            .tried = Endpoint_WasTried(endpoint, call),
            .distance = Endpoint_Distance(endpoint),
            .load = load,
            .error_rate = Endpoint_ErrorRate(endpoint, now),
            .expected_run_ms =
                expected_run_ms(keeper, call) * Paces_Factor(endpoint),
            .rate_wait_ms = Endpoint_RateWaitMs(endpoint),
        };
        choice->count++;
    }
    if (want == NULL) {
        Zones_Choose(call, choice->endpoints, choice->queued,
                     choice->candidates, choice->count);
    }
    else {
        Zones_SetCosts(call, choice->endpoints, choice->candidates,
                       choice->count);
    }
}

static void
free_candidates(KeeperChoice *choice)
{
    g_free(choice->candidates);
    g_free(choice->pool);
    g_free(choice->keepers);
    g_free(choice->slots);
    g_free(choice->endpoints);
    g_free(choice->open);
    g_free(choice->queued);
}

/* Sends the want to at most @p max_count of the usable candidates, best first.
 * @return the number of keepers that it was sent to. */
static guint
send_wants(Want *want, KeeperChoice *choice, guint max_count)
{
    for (guint sent = 0; sent < max_count; sent++) {
        int best = Balancer_ChooseEndpoint(choice->candidates, choice->count,
                                           G_MAXDOUBLE);
        if (best < 0) {
            return sent;
        }
        choice->candidates[best].usable = false;
        Keeper *keeper = choice->keepers[best];
        g_ptr_array_add(want->pending, keeper);
        send_want(want, keeper, choice->slots[best], 0);
    }
    return max_count;
}

/* Excludes candidates farther than @p max_distance, and failing engines while
 * there are others: an engine that fails at once always has free slots and
 * would attract all requests. */
static void
exclude_candidates(KeeperChoice *choice, unsigned max_distance)
{
    bool others = false;
    for (size_t i = 0; i < choice->count; i++) {
        BalancerCandidate *candidate = &choice->candidates[i];
        candidate->usable =
            candidate->usable && candidate->distance <= max_distance;
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
schedule_next_round(Want *want, uint32_t ms)
{
    struct timeval span = {.tv_usec = ms * US_PER_MS};
    event_add(want->next_round_timer, &span);
}

/* Finds the keeper at which capacity is booked for a call that is refused: the
 * one with the highest hash of request and engine, so that any gateway finds
 * it when the caller repeats the request under another id.
 * @return its position, or -1. */
static int
find_booking_keeper(const KeeperChoice *choice, Call *call)
{
    uint64_t key = Call_Fingerprint(call);
    uint64_t highest = 0;
    int found = -1;
    for (size_t i = 0; i < choice->count; i++) {
        const char *id = choice->keepers[i]->endpoint_id;
        uint64_t hash = XXH3_64bits_withSeed(id, strlen(id), key);
        if (found < 0 || hash > highest) {
            highest = hash;
            found = (int)i;
        }
    }
    return found;
}

/* Describes the keepers for the view of the pool, in all zones, without
 * failing engines while there are others that are not late. */
static void
fill_pool(KeeperChoice *choice, Call *call)
{
    PoolRequest request = Pool_RequestOf(call);
    TimeUs now = Clock_Now();
    TimeUs lateness;
    bool others = false;
    for (size_t i = 0; i < choice->count; i++) {
        others =
            others || (choice->open[i] &&
                       choice->candidates[i].error_rate <= ERROR_RATE_MAX &&
                       EngineView_Judge(&choice->keepers[i]->view, &request,
                                        now, &lateness) != ENGINE_LATE);
    }
    for (size_t i = 0; i < choice->count; i++) {
        const BalancerCandidate *candidate = &choice->candidates[i];
        bool excluded = others && candidate->error_rate > ERROR_RATE_MAX;
        choice->pool[i] = (PoolCandidate){
            .view = &choice->keepers[i]->view,
            .usable = choice->open[i] && !excluded,
            .cost_ms = Balancer_CostMs(candidate),
        };
    }
    int booking = find_booking_keeper(choice, call);
    if (booking >= 0) {
        choice->pool[booking].preferred = true;
    }
}

/* Returns the time after which a request that the view knows to be late
 * everywhere is refused, whether or not the asked keepers have replied: one of
 * them may be frozen. */
static uint32_t
hopeless_ms(const Call *call)
{
    TimeUs until = call->received_at + call->route->latency_target_ms *
                                           US_PER_MS / HOPELESS_DIVISOR;
    TimeUs left_ms = (until - Clock_Now()) / US_PER_MS;
    return (uint32_t)MAX(left_ms, HOPELESS_MIN_MS);
}

/* Sends the wants that the view of the pool chooses, if it shows that the pool
 * is short of capacity.
 * @return false if it decides nothing. */
static bool
send_by_view(Want *want, KeeperChoice *choice, guint *sent)
{
    if (choice->count <= POOL_WANTS_MAX) {
        return false;
    }
    fill_pool(choice, want->call);
    PoolRequest request = Pool_RequestOf(want->call);
    PoolSearch search = {
        .limited = want->limited,
        .hopeless = want->hopeless,
        .refused = want->refused->len,
    };
    PoolChoice chosen;
    PoolView_Choose(choice->pool, choice->count, &request, &search,
                    Clock_Now(), &chosen);
    if (!chosen.limited) {
        return false;
    }
    if (!want->limited) {
        Pool_LogChoice(want, &chosen);
    }
    want->limited = true;
    want->hopeless = want->hopeless || chosen.hopeless;
    want->max_distance = DISTANCE_ALL;
    for (size_t i = 0; i < chosen.count; i++) {
        Keeper *keeper = choice->keepers[chosen.chosen[i]];
        g_ptr_array_add(want->pending, keeper);
        send_want(want, keeper, choice->slots[chosen.chosen[i]], 0);
    }
    *sent = (guint)chosen.count;
    if (want->hopeless) {
        schedule_next_round(want, hopeless_ms(want->call));
    }
    else {
        schedule_next_round(want,
                            chosen.count > 0 ? LATER_ROUND_MS : RECHECK_MS);
    }
    return true;
}

bool
Want_SendNextRound(Want *want)
{
    KeeperChoice choice;
    collect_candidates(&choice, want->call, want);
    guint sent = 0;
    if (send_by_view(want, &choice, &sent)) {
        free_candidates(&choice);
        return sent > 0;
    }
    exclude_candidates(&choice, want->max_distance);
    sent = send_wants(want, &choice, LATER_ROUND_WANTS);
    free_candidates(&choice);
    bool more = sent > 0 || want->max_distance < DISTANCE_ALL;
    if (more) {
        schedule_next_round(want, LATER_ROUND_MS);
    }
    want->max_distance = Zones_MayLeaveRegion(want->call, sent > 0)
                             ? DISTANCE_ALL
                             : DISTANCE_REGION;
    return more;
}

/* Books capacity for the refused request where the view shows that it will be
 * free in time.
 * @return when the caller should come back, in milliseconds; 0 if none was
 *         booked. */
static uint32_t
book_return(const Want *want, const KeeperChoice *choice, uint32_t key)
{
    int booking = find_booking_keeper(choice, want->call);
    if (booking < 0 || want->call->maybe_ran) {
        return 0;
    }
    Keeper *keeper = choice->keepers[booking];
    PoolRequest request = Pool_RequestOf(want->call);
    uint32_t ms =
        PoolView_BookingMs(&keeper->view, &request, key, Clock_Now());
    if (ms > 0) {
        LOG_INFO(
            GATEWAY_PART,
            "Capacity is booked for the caller's return. id=%s "
            "endpoint=%s age_ms=%lld told_ms=%u",
            want->call->id, keeper->endpoint_id,
            (long long)((Clock_Now() - keeper->view.heard_at) / US_PER_MS),
            ms);
        send_want(want, keeper, choice->slots[booking], ms);
    }
    return ms;
}

uint32_t
Want_ReturnMs(const Want *want)
{
    if (!want->limited) {
        return want->retry_after_ms;
    }
    KeeperChoice choice;
    collect_candidates(&choice, want->call, want);
    fill_pool(&choice, want->call);
    PoolRequest request = Pool_RequestOf(want->call);
    uint32_t key = g_str_hash(want->call->id) * SPREAD_FACTOR;
    uint32_t ms = book_return(want, &choice, key);
    if (ms == 0) {
        ms = PoolView_ReturnMs(choice.pool, choice.count, &request,
                               want->retry_after_ms, key, Clock_Now());
    }
    free_candidates(&choice);
    return ms;
}

/* Starts the next round while the request still waits. */
static void
on_next_round_timer(evutil_socket_t fd, short events, void *arg)
{
    Want *want = arg;
    Call *call = want->call;
    if (want->max_distance == DISTANCE_ALL &&
        Rollouts_FallBack(call, "the engines are busy"))
    {
        Keepers_EndWant(call, SLOT_NOT_SERVED);
        ServiceQueue_Add(call->gateway, call);
        return;
    }
    if (want->hopeless) {
        Keepers_RefuseWant(want, NULL, "late_everywhere");
        return;
    }
    Want_SendNextRound(want);
}

/* Asks the keeper that may keep capacity for the request, if requests of its
 * class wait there. Needs the choice of send_by_view(). */
static void
send_preferred(Want *want, KeeperChoice *choice)
{
    PoolRequest request = Pool_RequestOf(want->call);
    for (size_t i = 0; i < choice->count; i++) {
        const PoolCandidate *candidate = &choice->pool[i];
        if (candidate->preferred && candidate->usable &&
            EngineView_Waits(candidate->view, &request, Clock_Now()))
        {
            choice->candidates[i].usable = false;
            g_ptr_array_add(want->pending, choice->keepers[i]);
            send_want(want, choice->keepers[i], choice->slots[i], 0);
        }
    }
}

bool
Keepers_SendWants(Call *call)
{
    KeeperChoice choice;
    collect_candidates(&choice, call, NULL);
    if (Balancer_ChooseEndpoint(choice.candidates, choice.count, G_MAXDOUBLE) <
        0) {
        free_candidates(&choice);
        return false;
    }
    Want *want = g_new0(Want, 1);
    want->id = ++call->gateway->last_want_id;
    want->call = call;
    want->pending = g_ptr_array_new();
    want->refused = g_ptr_array_new();
    want->max_distance = DISTANCE_REGION;
    want->next_round_timer =
        event_new(call->gateway->base, -1, 0, on_next_round_timer, want);
    call->want_id = want->id;
    g_hash_table_replace(call->gateway->keepers->wants, &want->id, want);
    guint sent = 0;
    if (!send_by_view(want, &choice, &sent)) {
        send_preferred(want, &choice);
        send_wants(want, &choice, FIRST_ROUND_WANTS);
        schedule_next_round(want, SECOND_ROUND_MS);
    }
    free_candidates(&choice);
    return true;
}
