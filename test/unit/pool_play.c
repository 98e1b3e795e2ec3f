/** @file
 * Simulation of a pool of engines under competition.
 */
#include "pool_play.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "pool_play_state.h"

const Kind PoolPlay_Kinds[POOL_PLAY_RANKS] = {
    {.share = 0.4,
     .prompt = 700,
     .output = 120,
     .target_ms = 800,
     .deadline_ms = 5000},
    {.share = 0.3,
     .prompt = 1500,
     .output = 260,
     .target_ms = 1200,
     .deadline_ms = 10000},
    {.share = 0.3,
     .prompt = 2500,
     .output = 40,
     .target_ms = 2000,
     .deadline_ms = 4000},
};

/* ---- Events ---- */

static bool
is_before(const Event *a, const Event *b)
{
    return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

void
PoolPlay_Push(Play *play, TimeUs at, Event event)
{
    event.at = at;
    event.sequence = ++play->sequence;
    g_array_append_val(play->events, event);
    Event *heap = (Event *)(void *)play->events->data;
    guint index = play->events->len - 1;
    while (index > 0 && is_before(&heap[index], &heap[(index - 1) / 2])) {
        Event swapped = heap[index];
        heap[index] = heap[(index - 1) / 2];
        heap[(index - 1) / 2] = swapped;
        index = (index - 1) / 2;
    }
}

static Event
pop(Play *play)
{
    Event *heap = (Event *)(void *)play->events->data;
    Event first = heap[0];
    guint count = play->events->len - 1;
    heap[0] = heap[count];
    g_array_set_size(play->events, count);
    for (guint index = 0; index * 2 + 1 < count;) {
        guint child = index * 2 + 1;
        if (child + 1 < count && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!is_before(&heap[child], &heap[index])) {
            break;
        }
        Event swapped = heap[index];
        heap[index] = heap[child];
        heap[child] = swapped;
        index = child;
    }
    return first;
}

/* ---- Faults and distances ---- */

static bool
in_fault(const Play *play)
{
    return play->now >= play->spec->fault_from_ms * US_PER_MS &&
           play->now < play->spec->fault_until_ms * US_PER_MS;
}

bool
PoolPlay_IsFrozen(const Play *play, unsigned engine)
{
    return engine < play->spec->frozen && in_fault(play);
}

bool
PoolPlay_IsLost(const Play *play, unsigned engine)
{
    unsigned from_end = play->spec->engines - 1 - engine;
    return from_end < play->spec->crashed &&
           play->now >= play->spec->fault_from_ms * US_PER_MS;
}

unsigned
PoolPlay_Distance(unsigned gateway, unsigned engine)
{
    unsigned from = gateway % ZONES;
    unsigned to = engine % ZONES;
    return from == to ? 0 : from % 2 == to % 2 ? 1 : 2;
}

bool
PoolPlay_IsCut(const Play *play, unsigned gateway, unsigned engine)
{
    return play->spec->region_cut && in_fault(play) &&
           PoolPlay_Distance(gateway, engine) == 2;
}

TimeUs
PoolPlay_Delay(unsigned gateway, unsigned engine)
{
    static const TimeUs delays[] = {300, 800, 30 * US_PER_MS};
    return delays[PoolPlay_Distance(gateway, engine)];
}

/* ---- Engines ---- */

static void
start_on_engine(Play *play, PlayEngine *engine, unsigned index)
{
    Request *request = pool_play_request(play, index);
    engine->running++;
    TimeUs prefill = (TimeUs)(request->prompt / PREFILL_TOKENS_MS /
                              engine->speed * US_PER_MS);
    engine->prefill_free_at =
        MAX(engine->prefill_free_at, play->now) + prefill;
    TimeUs end =
        engine->prefill_free_at + (TimeUs)(request->actual_output * TOKEN_MS /
                                           engine->speed * US_PER_MS);
    unsigned at = request->granted_by;
    PoolPlay_Push(
        play, engine->prefill_free_at,
        (Event){.kind = EVENT_FIRST, .request = index, .engine = at});
    PoolPlay_Push(
        play, end,
        (Event){.kind = EVENT_RUN_ENDED, .request = index, .engine = at});
}

static void
on_run_ended(Play *play, const Event *event)
{
    PlayEngine *engine = &play->engines[event->engine];
    engine->running--;
    Request *request = pool_play_request(play, event->request);
    PoolPlay_Push(play,
                  play->now + PoolPlay_Delay(request->gateway, event->engine),
                  (Event){.kind = EVENT_ANSWERED,
                          .request = event->request,
                          .engine = event->engine});
    gpointer next = g_queue_pop_head(&engine->fifo);
    if (next != NULL) {
        start_on_engine(play, engine, GPOINTER_TO_UINT(next) - 1);
    }
}

static void
on_sent(Play *play, const Event *event)
{
    PlayEngine *engine = &play->engines[event->engine];
    if (engine->running >= SLOTS) {
        g_queue_push_tail(&engine->fifo, GUINT_TO_POINTER(event->request + 1));
        return;
    }
    start_on_engine(play, engine, event->request);
}

/* ---- Keepers ---- */

static unsigned
varint_bytes(uint64_t value)
{
    unsigned bytes = 1;
    while (value >= 128) {
        value /= 128;
        bytes++;
    }
    return bytes;
}

static unsigned
wait_bytes(const PlannedWait *wait)
{
    TimeUs more = wait->expected - wait->planned;
    return varint_bytes((uint64_t)(wait->planned / US_PER_MS)) +
           varint_bytes((uint64_t)(more / US_PER_MS));
}

/* Returns the size of an outlook on the wire. */
static unsigned
outlook_bytes(const EngineOutlook *outlook)
{
    unsigned bytes =
        8 + varint_bytes((uint64_t)outlook->first_base_us) +
        varint_bytes((uint64_t)(outlook->first_us_per_token * 1000)) +
        varint_bytes((uint64_t)outlook->decode_us_per_token) +
        varint_bytes((uint64_t)(outlook->mean_run / US_PER_MS)) + 4;
    bytes += outlook->account_count > 0 ? 2 + 8 * outlook->account_count : 0;
    for (unsigned i = 0; i < outlook->count; i++) {
        const ClassWait *wait = &outlook->waits[i];
        bytes += 1 + wait_bytes(&wait->on_time) + wait_bytes(&wait->late);
    }
    return bytes;
}

WorkSpec
PoolPlay_Work(const Play *play, const Request *request, unsigned index)
{
    const Kind *kind = &PoolPlay_Kinds[request->rank];
    return (WorkSpec){
        .id = {.high = request->gateway + 1, .low = index + 1},
        .tier = request->tier,
        .account = PoolPlay_AccountHash(play, request),
        .rank = request->rank,
        .deadline = request->deadline,
        .first_piece_deadline =
            MAX(request->arrived_at + kind->target_ms * US_PER_MS, play->now),
        .prompt_tokens = request->prompt,
        .output_tokens = kind->output,
        .longest_output_tokens = 2 * kind->output,
    };
}

static void
schedule_tick(Play *play, unsigned e)
{
    PlayEngine *engine = &play->engines[e];
    TimeUs next = Queue_NextTimer(engine->queue);
    if (next == TIME_NEVER ||
        (engine->tick_at > play->now && engine->tick_at <= next))
    {
        return;
    }
    engine->tick_at = MAX(next, play->now + US_PER_MS);
    PoolPlay_Push(play, engine->tick_at,
                  (Event){.kind = EVENT_TICK, .request = 0, .engine = e});
}

static void
take_actions(Play *play, unsigned e)
{
    PlayEngine *engine = &play->engines[e];
    QueueAction action;
    while (Queue_TakeActions(engine->queue, &action, 1) == 1) {
        unsigned index = (unsigned)action.id.low - 1;
        const Request *request = pool_play_request(play, index);
        Event reply = {.kind = EVENT_REFUSED, .request = index, .engine = e};
        play->result->claimed_refused +=
            action.kind == QUEUE_REFUSE && (request->claimed >> e & 1) != 0;
        if (action.kind == QUEUE_GRANT) {
            reply.kind = EVENT_GRANTED;
            Queue_OnDispatch(engine->queue, action.id, action.grant_id,
                             play->now);
        }
        QueueState state;
        Queue_GetState(engine->queue, play->now, &state);
        Reply *content = g_new0(Reply, 1);
        content->busy = state.running + state.granted;
        content->prefill_tokens_s = state.prefill_tokens_s;
        content->decode_tokens_s = state.decode_tokens_s;
        content->retry_after_ms = action.retry_after_ms;
        Queue_GetOutlook(engine->queue, play->now, &content->outlook);
        content->has_outlook =
            action.kind == QUEUE_REFUSE || content->outlook.count > 0;
        play->result->outlook_bytes +=
            content->has_outlook ? outlook_bytes(&content->outlook) : 0;
        reply.reply = content;
        PoolPlay_Push(play, play->now + PoolPlay_Delay(request->gateway, e),
                      reply);
    }
    schedule_tick(play, e);
}

static void
add_want(Play *play, const Event *event, const WorkSpec *work)
{
    WantQueue *queue = play->engines[event->engine].queue;
    Request *request = pool_play_request(play, event->request);
    QueueState before;
    QueueState after;
    Queue_GetState(queue, play->now, &before);
    Queue_AddWant(queue, work, request->gateway, play->now);
    Queue_GetState(queue, play->now, &after);
    if (after.booked < before.booked) {
        play->result->claimed++;
        request->claimed |= 1ULL << event->engine;
    }
}

/* Handles an event at a keeper. */
static void
at_keeper(Play *play, const Event *event)
{
    PlayEngine *engine = &play->engines[event->engine];
    if (PoolPlay_IsLost(play, event->engine)) {
        return;
    }
    if (PoolPlay_IsFrozen(play, event->engine)) {
        PoolPlay_Push(play, play->spec->fault_until_ms * US_PER_MS, *event);
        return;
    }
    const Request *request = pool_play_request(play, event->request);
    WorkSpec work = PoolPlay_Work(play, request, event->request);
    switch (event->kind) {
    case EVENT_WANT:
        add_want(play, event, &work);
        break;
    case EVENT_BOOK:
        if (Queue_Book(engine->queue, &work, request->told_at, play->now)) {
            play->result->booked++;
            pool_play_request(play, event->request)->booked = true;
        }
        else {
            play->result->not_booked++;
        }
        break;
    case EVENT_WITHDRAWN:
        Queue_Withdraw(engine->queue, work.id, request->gateway, play->now);
        break;
    case EVENT_UNUSED:
    case EVENT_SLOT_END:
        Queue_OnFinished(
            engine->queue, work.id,
            &(QueueResult){.complete = event->kind == EVENT_SLOT_END},
            play->now);
        break;
    case EVENT_PREFILLED:
        Queue_OnFirstPiece(engine->queue, work.id, play->now);
        break;
    default:
        Queue_Tick(engine->queue, play->now);
        break;
    }
    take_actions(play, event->engine);
}

/* ---- Callers ---- */

static double
draw_normal(GRand *random)
{
    double sum = 0;
    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(random);
    }
    return sum - 6;
}

static unsigned
pick_rank(GRand *random)
{
    double point = g_rand_double(random);
    unsigned rank = 0;
    while (rank < POOL_PLAY_RANKS - 1 && point >= PoolPlay_Kinds[rank].share) {
        point -= PoolPlay_Kinds[rank++].share;
    }
    return rank;
}

/* Returns the requests in a ms that all engines together can run. */
static double
capacity_per_ms(const Play *play)
{
    double slot_ms = 0;
    for (unsigned r = 0; r < POOL_PLAY_RANKS; r++) {
        const Kind *kind = &PoolPlay_Kinds[r];
        slot_ms += kind->share * (kind->prompt / PREFILL_TOKENS_MS +
                                  kind->output * TOKEN_MS);
    }
    double speeds = 0;
    for (unsigned e = 0; e < play->spec->engines; e++) {
        speeds += play->engines[e].speed;
    }
    return speeds * SLOTS / slot_ms;
}

static unsigned
span_of(TimeUs at)
{
    return (unsigned)MIN(at / US_PER_MS / POOL_PLAY_SPAN_MS,
                         POOL_PLAY_SPANS - 1);
}

static void
arrive(Play *play)
{
    unsigned rank = pick_rank(play->random);
    const Kind *kind = &PoolPlay_Kinds[rank];
    double length = exp(0.3 * draw_normal(play->random));
    /* A third of the gateways has most of the callers. */
    unsigned gateway = (unsigned)g_rand_int_range(play->random, 0, GATEWAYS);
    if (g_rand_double(play->random) < 0.5) {
        gateway = gateway / 3 * 3;
    }
    Request request = {
        .tier = g_rand_double(play->random) < 0.3 ? 0 : 1,
        .rank = rank,
        .gateway = gateway,
        .first_arrived_at = play->now,
        .arrived_at = play->now,
        .deadline = play->now + kind->deadline_ms * US_PER_MS,
        .prompt = kind->prompt,
        .actual_output = MIN(kind->output * length, 2.0 * kind->output),
    };
    if (play->spec->accounts) {
        PoolPlay_SetAccount(play, &request);
    }
    request.key = play->result->callers;
    if (play->spec->sizes) {
        request.prompt += (uint32_t)g_rand_int_range(play->random, 0, 400);
    }
    play->result->callers++;
    play->result->classes[pool_play_class(&request)].callers++;
    play->result->arrived_in[span_of(play->now)]++;
    PoolPlay_StartRequest(play, &request);
}

static void
on_arrival(Play *play)
{
    arrive(play);
    const PoolCase *spec = play->spec;
    double load = play->now < spec->burst_until_ms * US_PER_MS
                      ? spec->burst_load
                      : spec->load;
    load *= spec->accounts ? PoolPlay_AccountsDemand(play) : 1;
    double gap = -log(1 - g_rand_double(play->random)) /
                 (load * play->capacity_per_ms) * US_PER_MS;
    TimeUs next = play->now + (TimeUs)gap;
    if (next < spec->run_ms * US_PER_MS) {
        PoolPlay_Push(play, next, (Event){.kind = EVENT_ARRIVAL});
    }
}

/* ---- Run ---- */

static void
handle(Play *play, Event *event)
{
    switch (event->kind) {
    case EVENT_ARRIVAL:
        on_arrival(play);
        break;
    case EVENT_SENT:
        on_sent(play, event);
        break;
    case EVENT_RUN_ENDED:
        on_run_ended(play, event);
        break;
    case EVENT_FIRST: {
        /* The gateway forwards it, and tells the keeper. */
        const Request *request = pool_play_request(play, event->request);
        TimeUs delay = 2 * PoolPlay_Delay(request->gateway, event->engine);
        event->kind = EVENT_PREFILLED;
        PoolPlay_Push(play, play->now + delay, *event);
        break;
    }
    case EVENT_WANT:
    case EVENT_WITHDRAWN:
    case EVENT_BOOK:
    case EVENT_UNUSED:
    case EVENT_SLOT_END:
    case EVENT_PREFILLED:
    case EVENT_TICK:
        at_keeper(play, event);
        break;
    default:
        PoolPlay_AtGateway(play, event);
        break;
    }
}

static void
set_up_engines(Play *play)
{
    static const double speeds[] = {0.6, 1.7, 1.7};
    for (unsigned e = 0; e < play->spec->engines; e++) {
        play->engines[e] = (PlayEngine){
            .speed = speeds[e / ZONES % G_N_ELEMENTS(speeds)],
            /* As the keeper's task configures it. */
            .queue = Queue_New(&(QueueConfig){
                .max_wants = 4096,
                .max_ended_ids = 4096,
                .slots = SLOTS,
                .grant_ttl = 60 * US_PER_S,
                .prefill_tokens_s = 40000,
                .decode_tokens_s = 500,
                .seed = 100 + e,
                .refuse_early = true,
                .fair_ranks = true,
                .fair_accounts = play->spec->fair_accounts,
                .run_quantile = 0.75,
                .prefetch_requests = 1,
                .prefetch_min_wait = 30 * US_PER_MS,
            }),
        };
        g_queue_init(&play->engines[e].fifo);
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

static double
quantile(GArray *values, double fraction)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double,
                         (guint)(fraction * (values->len - 1)));
}

void
PoolPlay_Run(const PoolCase *spec, PoolResult *result)
{
    Play *play = g_new0(Play, 1);
    *result = (PoolResult){.callers = 0};
    play->spec = spec;
    play->result = result;
    play->random = g_rand_new_with_seed(spec->seed);
    play->events = g_array_new(FALSE, FALSE, sizeof(Event));
    play->requests = g_array_new(FALSE, FALSE, sizeof(Request));
    play->refusal_ms = g_array_new(FALSE, FALSE, sizeof(double));
    set_up_engines(play);
    play->capacity_per_ms = capacity_per_ms(play);
    PoolPlay_Push(play, US_PER_MS, (Event){.kind = EVENT_ARRIVAL});
    while (play->events->len > 0) {
        Event event = pop(play);
        play->now = event.at;
        handle(play, &event);
        if (event.kind == EVENT_GRANTED || event.kind == EVENT_REFUSED) {
            g_free(event.reply);
        }
    }
    result->refusal_p10_ms = quantile(play->refusal_ms, 0.1);
    result->refusal_p50_ms = quantile(play->refusal_ms, 0.5);
    result->refusal_p90_ms = quantile(play->refusal_ms, 0.9);
    for (unsigned e = 0; e < spec->engines; e++) {
        Queue_Free(play->engines[e].queue);
        g_queue_clear(&play->engines[e].fifo);
    }
    g_array_unref(play->events);
    g_array_unref(play->requests);
    g_array_unref(play->refusal_ms);
    g_rand_free(play->random);
    g_free(play);
}
