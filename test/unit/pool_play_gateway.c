/** @file
 * Gateways of the simulated pool: wants as gateway/wants.c and
 * gateway/keepers.c send them, with and without the view.
 */
#include "pool_play_state.h"

#include <string.h>

#include "sched/balancer.h"

/* As in gateway/wants.c. */
#define FIRST_ROUND_WANTS 2
#define SECOND_ROUND_US (12 * US_PER_MS)
#define LATER_ROUND_US (90 * US_PER_MS)
#define RECHECK_US (250 * US_PER_MS)
#define LATER_ROUND_WANTS 6
#define LOAD_DECAY_US (300 * US_PER_MS)
#define DEFAULT_PREFILL_TOKENS_S 20000
#define DEFAULT_DECODE_TOKENS_S 200
/* Time after which a gateway notices that a keeper's host is gone. */
#define LOSS_NOTICED_US (100 * US_PER_MS)

typedef struct Candidates {
    BalancerCandidate balance[ENGINES_MAX];
    PoolCandidate pool[ENGINES_MAX];
} Candidates;

static bool
is_known_lost(const Play *play, unsigned engine)
{
    return PoolPlay_IsLost(play, engine) &&
           play->now >=
               play->spec->fault_from_ms * US_PER_MS + LOSS_NOTICED_US;
}

/* Returns the engine at which capacity is booked for a request: the one with
 * the highest hash, so that each gateway finds it when the caller returns. */
static unsigned
booking_engine(const Play *play, const Request *request)
{
    unsigned best = 0;
    uint32_t best_hash = 0;
    for (unsigned e = 0; e < play->spec->engines; e++) {
        uint32_t hash = (request->key * 64 + e + 1) * 2654435761U;
        hash = (hash ^ hash >> 15) * 2246822519U;
        hash ^= hash >> 13;
        if (hash > best_hash && !is_known_lost(play, e)) {
            best = e;
            best_hash = hash;
        }
    }
    return best;
}

static void
collect(const Play *play, const Request *request, Candidates *out)
{
    const Kind *kind = &PoolPlay_Kinds[request->rank];
    for (unsigned e = 0; e < play->spec->engines; e++) {
        const PlayKeeper *keeper = &play->keepers[request->gateway][e];
        double age = (double)(play->now - keeper->busy_at) / LOAD_DECAY_US;
        double reported =
            keeper->busy_at != 0 && age < 1 ? keeper->busy * (1 - age) : 0;
        double prefill = keeper->prefill_tokens_s > 0
                             ? keeper->prefill_tokens_s
                             : DEFAULT_PREFILL_TOKENS_S;
        double decode = keeper->decode_tokens_s > 0 ? keeper->decode_tokens_s
                                                    : DEFAULT_DECODE_TOKENS_S;
        bool asked = ((request->pending | request->refused) >> e & 1) != 0;
        out->balance[e] = (BalancerCandidate){
            .usable = !asked && !is_known_lost(play, e),
            .distance = PoolPlay_Distance(request->gateway, e),
            .load = MAX(reported, keeper->granted_slots) / SLOTS,
            .expected_run_ms =
                1000 * (request->prompt / prefill + kind->output / decode),
        };
        out->pool[e] = (PoolCandidate){
            .view = &keeper->view,
            .usable = out->balance[e].usable,
            .cost_ms = Balancer_CostMs(&out->balance[e]),
        };
    }
    if (play->spec->bookings) {
        out->pool[booking_engine(play, request)].preferred = true;
    }
}

static PoolRequest
pool_request(const Play *play, const Request *request)
{
    const Kind *kind = &PoolPlay_Kinds[request->rank];
    return (PoolRequest){
        .account = PoolPlay_AccountHash(play, request),
        .tier = request->tier,
        .rank = request->rank,
        .prompt_tokens = request->prompt,
        .output_tokens = kind->output,
        .longest_output_tokens = 2 * kind->output,
        .deadline = request->deadline,
        .first_deadline = request->arrived_at + kind->target_ms * US_PER_MS,
    };
}

static void
send_to(Play *play, unsigned index, unsigned engine, EventKind kind)
{
    const Request *request = pool_play_request(play, index);
    TimeUs at = play->now + PoolPlay_Delay(request->gateway, engine);
    if (PoolPlay_IsCut(play, request->gateway, engine)) {
        at += play->spec->fault_until_ms * US_PER_MS - play->now;
    }
    PoolPlay_Push(play, at,
                  (Event){.kind = kind, .request = index, .engine = engine});
}

static void
send_want(Play *play, unsigned index, unsigned engine)
{
    Request *request = pool_play_request(play, index);
    request->pending |= 1ULL << engine;
    request->asked++;
    play->result->wants++;
    send_to(play, index, engine, EVENT_WANT);
}

static void
schedule_round(Play *play, unsigned index, TimeUs delay)
{
    Request *request = pool_play_request(play, index);
    PoolPlay_Push(play, play->now + delay,
                  (Event){.kind = EVENT_ROUND,
                          .request = index,
                          .engine = ++request->round});
}

static unsigned
send_best(Play *play, unsigned index, Candidates *candidates,
          unsigned max_distance, unsigned max_count)
{
    for (unsigned e = 0; e < play->spec->engines; e++) {
        candidates->balance[e].usable =
            candidates->balance[e].usable &&
            candidates->balance[e].distance <= max_distance;
    }
    for (unsigned sent = 0; sent < max_count; sent++) {
        int best = Balancer_ChooseEndpoint(candidates->balance,
                                           play->spec->engines, G_MAXDOUBLE);
        if (best < 0) {
            return sent;
        }
        candidates->balance[best].usable = false;
        send_want(play, index, (unsigned)best);
    }
    return max_count;
}

/* Sends the wants that the view chooses.
 * @return false if the view decides nothing. */
static bool
send_by_view(Play *play, unsigned index, const Candidates *candidates,
             bool *sent)
{
    Request *request = pool_play_request(play, index);
    if (!play->spec->use_view) {
        return false;
    }
    PoolRequest wanted = pool_request(play, request);
    PoolSearch search = {
        .limited = request->limited,
        .hopeless = request->known_late,
        .refused = (unsigned)__builtin_popcountll(request->refused),
    };
    PoolChoice choice;
    PoolView_Choose(candidates->pool, play->spec->engines, &wanted, &search,
                    play->now, &choice);
    if (!choice.limited) {
        return false;
    }
    request->known_late = request->known_late || choice.hopeless;
    request->limited = true;
    for (size_t i = 0; i < choice.count; i++) {
        send_want(play, index, (unsigned)choice.chosen[i]);
    }
    *sent = choice.count > 0;
    if (!request->known_late) {
        schedule_round(play, index, *sent ? LATER_ROUND_US : RECHECK_US);
    }
    return true;
}

static bool
send_next_round(Play *play, unsigned index)
{
    Candidates candidates;
    Request *request = pool_play_request(play, index);
    collect(play, request, &candidates);
    bool sent = false;
    if (send_by_view(play, index, &candidates, &sent)) {
        return sent;
    }
    sent = send_best(play, index, &candidates, request->max_distance,
                     LATER_ROUND_WANTS) > 0;
    bool more = sent || request->max_distance < 2;
    if (more) {
        schedule_round(play, index, LATER_ROUND_US);
    }
    request->max_distance = 2;
    return more;
}

/* Asks the engine at which capacity may be booked for the request, if requests
 * of its class wait there. */
static void
send_preferred(Play *play, unsigned index, Candidates *candidates)
{
    PoolRequest wanted = pool_request(play, pool_play_request(play, index));
    for (unsigned e = 0; e < play->spec->engines; e++) {
        const PoolCandidate *candidate = &candidates->pool[e];
        if (candidate->preferred && candidate->usable &&
            EngineView_Waits(candidate->view, &wanted, play->now))
        {
            candidates->balance[e].usable = false;
            send_want(play, index, e);
        }
    }
}

void
PoolPlay_StartRequest(Play *play, const Request *request)
{
    g_array_append_vals(play->requests, request, 1);
    unsigned index = play->requests->len - 1;
    pool_play_request(play, index)->max_distance = 1;
    PoolPlay_Push(play, request->deadline,
                  (Event){.kind = EVENT_DEADLINE, .request = index});
    Candidates candidates = {.pool = {{.usable = false}}};
    collect(play, request, &candidates);
    bool sent = false;
    if (!send_by_view(play, index, &candidates, &sent)) {
        send_preferred(play, index, &candidates);
        send_best(play, index, &candidates, 2, FIRST_ROUND_WANTS);
        schedule_round(play, index, SECOND_ROUND_US);
    }
}

static void
withdraw_pending(Play *play, unsigned index)
{
    Request *request = pool_play_request(play, index);
    for (unsigned e = 0; e < play->spec->engines; e++) {
        if ((request->pending >> e & 1) != 0) {
            send_to(play, index, e, EVENT_WITHDRAWN);
        }
    }
    request->pending = 0;
}

/* Returns whether an engine that was not asked would take the request by its
 * own plan. */
static bool
would_be_taken(const Play *play, const Request *request, unsigned index)
{
    for (unsigned e = 0; e < play->spec->engines; e++) {
        WorkSpec work = PoolPlay_Work(play, request, index);
        if ((request->refused >> e & 1) == 0 && !PoolPlay_IsLost(play, e) &&
            !PoolPlay_IsFrozen(play, e) &&
            !PoolPlay_IsCut(play, request->gateway, e) &&
            Queue_PredictLateness(
                play->engines[e].queue, &work,
                play->now + PoolPlay_Delay(request->gateway, e)) <= 0)
        {
            return true;
        }
    }
    return false;
}

static uint32_t
retry_after_ms(const Play *play, const Request *request, unsigned index)
{
    if (!request->limited) {
        return request->retry_after_ms;
    }
    Candidates candidates;
    collect(play, request, &candidates);
    PoolRequest wanted = pool_request(play, request);
    return PoolView_ReturnMs(candidates.pool, play->spec->engines, &wanted,
                             request->retry_after_ms, index * 2654435761U,
                             play->now);
}

static void
count_refusal(Play *play, const Request *request, unsigned index)
{
    PoolResult *result = play->result;
    double ms = (double)(play->now - request->arrived_at) / US_PER_MS;
    g_array_append_val(play->refusal_ms, ms);
    result->refusals++;
    result->refusal_wants += request->asked;
    result->refused_after_12 += request->asked > POOL_WANTS_MAX;
    result->wrong += would_be_taken(play, request, index);
    result->known_late += request->known_late;
    double eighth_ms = PoolPlay_Kinds[request->rank].target_ms / 8.0;
    result->known_late_over += request->known_late && ms > eighth_ms;
    result->known_late_wants_over +=
        request->known_late && request->asked > POOL_WANTS_MAX;
    TimeUs span = request->arrived_at / US_PER_MS / POOL_PLAY_SPAN_MS;
    result->refused_in[MIN(span, POOL_PLAY_SPANS - 1)]++;
}

/* Books capacity for a refused request where the view shows that it will be
 * free in time.
 * @return when the caller should come back, in ms. */
static uint32_t
book(Play *play, Request *request, unsigned index)
{
    unsigned engine = booking_engine(play, request);
    const EngineView *view = &play->keepers[request->gateway][engine].view;
    PoolRequest wanted = pool_request(play, request);
    uint32_t ms =
        PoolView_BookingMs(view, &wanted, index * 2654435761U, play->now);
    if (ms == 0 || request->returned) {
        return retry_after_ms(play, request, index);
    }
    request->told_at = play->now + ms * US_PER_MS;
    send_to(play, index, engine, EVENT_BOOK);
    return ms;
}

/* Ends a request that no keeper can grant; its caller may come back once. */
static void
refuse(Play *play, unsigned index)
{
    Request *request = pool_play_request(play, index);
    request->ended = true;
    count_refusal(play, request, index);
    TimeUs wait = (play->spec->bookings && request->limited
                       ? book(play, request, index)
                       : retry_after_ms(play, request, index)) *
                  US_PER_MS;
    if (!request->returned && wait <= (request->deadline - play->now) / 3) {
        PoolPlay_Push(play, play->now + wait,
                      (Event){.kind = EVENT_RETURN, .request = index});
    }
}

static void
come_back(Play *play, unsigned index)
{
    Request *old = pool_play_request(play, index);
    Request request = {
        .account = old->account,
        .first_arrived_at = old->first_arrived_at,
        .tier = old->tier,
        .rank = old->rank,
        .gateway =
            play->spec->sizes ? (old->gateway + 17) % GATEWAYS : old->gateway,
        .prompt = old->prompt,
        .key = old->key,
        .booked = old->booked,
        .arrived_at = play->now,
        .deadline = old->deadline,
        .actual_output = old->actual_output,
        .returned = true,
    };
    play->result->returns++;
    play->result->booked_callers += request.booked;
    PoolPlay_StartRequest(play, &request);
}

static void
on_refused(Play *play, const Event *event, Request *request)
{
    unsigned index = event->request;
    request->pending &= ~(1ULL << event->engine);
    if (request->ended || request->granted) {
        return;
    }
    request->refused |= 1ULL << event->engine;
    request->retry_after_ms =
        request->retry_after_ms == 0
            ? event->reply->retry_after_ms
            : MIN(request->retry_after_ms, event->reply->retry_after_ms);
    while (request->pending == 0 && send_next_round(play, index)) {
    }
    if (request->pending == 0) {
        refuse(play, index);
    }
}

static void
on_granted(Play *play, const Event *event, Request *request)
{
    unsigned index = event->request;
    if (request->ended || request->granted) {
        send_to(play, index, event->engine, EVENT_UNUSED);
        return;
    }
    request->pending &= ~(1ULL << event->engine);
    withdraw_pending(play, index);
    request->granted = true;
    request->granted_by = event->engine;
    play->keepers[request->gateway][event->engine].granted_slots++;
    send_to(play, index, event->engine, EVENT_SENT);
}

static void
count_account(Play *play, const Request *request)
{
    if (!pool_play_is_counted(play, request)) {
        return;
    }
    play->result->accounts[request->account][request->rank].served++;
    play->result->account_slot_ms[request->account] +=
        request->prompt / PREFILL_TOKENS_MS +
        request->actual_output * TOKEN_MS;
}

static void
on_answered(Play *play, const Event *event, Request *request)
{
    play->keepers[request->gateway][event->engine].granted_slots--;
    send_to(play, event->request, event->engine, EVENT_SLOT_END);
    if (!request->ended && !PoolPlay_IsLost(play, event->engine)) {
        request->ended = true;
        play->result->served++;
        play->result->classes[pool_play_class(request)].served++;
        play->result->returns_served += request->returned;
        count_account(play, request);
        play->result->booked_served += request->returned && request->booked;
    }
}

static void
read_reply(Play *play, const Event *event, const Request *request)
{
    PlayKeeper *keeper = &play->keepers[request->gateway][event->engine];
    const Reply *reply = event->reply;
    keeper->busy = reply->busy;
    keeper->busy_at = play->now;
    if (event->kind == EVENT_GRANTED) {
        keeper->prefill_tokens_s = reply->prefill_tokens_s;
        keeper->decode_tokens_s = reply->decode_tokens_s;
    }
    EngineView_OnOutlook(
        &keeper->view, reply->has_outlook ? &reply->outlook : NULL, play->now);
}

/* The wants at a lost keeper are void. */
static void
forget_lost(Play *play, unsigned index)
{
    Request *request = pool_play_request(play, index);
    for (unsigned e = 0; e < play->spec->engines; e++) {
        if (is_known_lost(play, e)) {
            request->pending &= ~(1ULL << e);
        }
    }
}

void
PoolPlay_AtGateway(Play *play, const Event *event)
{
    Request *request = pool_play_request(play, event->request);
    switch (event->kind) {
    case EVENT_REFUSED:
        read_reply(play, event, request);
        on_refused(play, event, request);
        break;
    case EVENT_GRANTED:
        read_reply(play, event, request);
        on_granted(play, event, request);
        break;
    case EVENT_ANSWERED:
        on_answered(play, event, request);
        break;
    case EVENT_ROUND:
        if (!request->ended && !request->granted &&
            event->engine == request->round) {
            play->result->rounds++;
            forget_lost(play, event->request);
            bool sent = send_next_round(play, event->request);
            request = pool_play_request(play, event->request);
            if (!sent && request->pending == 0) {
                refuse(play, event->request);
            }
        }
        break;
    case EVENT_DEADLINE:
        if (!request->ended) {
            request->ended = true;
            withdraw_pending(play, event->request);
        }
        break;
    case EVENT_RETURN:
        come_back(play, event->request);
        break;
    default:
        break;
    }
}
