/** @file
 * Keeper task. Wants wait in a WantQueue; a granted slot stays occupied until
 * its gateway reports the end of the request or disconnects. The keeper also
 * knows how some streams began, for gateways and control hosts that start
 * again.
 */
#include "keeper/keeper.h"

#include <string.h>

#include <glib.h>

#include "keeper/origins.h"
#include "keeper/outlook.h"
#include "keeper/probe.h"
#include "keeper/share_counters.h"
#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "sched/queue.h"
#include "wire/identity.h"
#include "wire/link.h"

#define PART "keeper"
#define TASK_NAME "keeper"
#define MAX_WANTS 4096
#define MAX_ENDED_IDS 4096
/* Grant lifetime. No grant expires, because occupy_slot() dispatches each
 * grant in the queue before it sends the grant to the gateway. */
#define GRANT_TTL_US (60 * US_PER_S)
/* Speeds in tokens/s that are assumed until those of the engine are measured.
 * They are the speeds of a fast engine, so that no want is refused because of
 * an estimate. */
#define INITIAL_PREFILL_TOKENS_S 40000
#define INITIAL_DECODE_TOKENS_S 500
/* Number of slots until the first want carries the configured number. */
#define INITIAL_SLOTS 1
#define ACTION_BATCH_MAX 32
/* Retry delay sent with a refusal because the engine was replaced: its
 * successor announces itself within about one heartbeat. */
#define REPLACED_RETRY_AFTER_MS 500
/* Time for which wants for the replaced engine are refused: gateways learn of
 * the successor within two heartbeats, and an engine may later return under
 * its old id. */
#define REPLACED_REFUSE_US (3 * US_PER_S)
/* Fraction of requests whose run time the margin on predictions covers.
 * Callers' estimates are often far off: with a higher fraction no engine would
 * accept the longest requests, most of which end in time. */
#define RUN_TIME_QUANTILE 0.75
/* Number of requests granted beyond the slots of a full engine. One covers the
 * time from the end of a request until the next one arrives at the engine: up
 * to two round trips between regions. */
#define PREFETCH_REQUESTS 1
/* Minimum wait of a want before it is prefetched. A gateway sends wants to
 * further engines of the region after 12 ms; a request that still waits after
 * 30 ms has found no free slot there. */
#define PREFETCH_MIN_WAIT_US (30 * US_PER_MS)

typedef struct Keeper {
    TaskHandle task;
    const KeeperOptions *options;
    struct event_base *base;
    LinkIdentity self;
    LinkServer *link_server;
    WantQueue *queue;
    uint32_t slots;
    uint64_t memory_tokens;   /* of the engine; 0 without a bound */
    uint64_t rated_born;      /* start of the engine that names a rate limit */
    uint64_t replaced_target; /* Work_TargetHash() of the replaced engine */
    TimeUs replaced_until;    /* end of refusing wants for that engine */
    uint64_t last_serial;     /* serial of the link that connected last */
    GHashTable *links_by_serial; /* serial -> Link */
    GHashTable *granted_ids;     /* set of RequestId that occupy a slot */
    struct event *timer;
    Counter *queued_gauge;
    Counter *busy_gauge;
    Counter *rate_gauge;
    ShareCounters shares;
    Counter *booked_counter;
    Counter *unbooked_counter;
    uint64_t engine_born;   /* as the engine last reported; 0 if unknown */
    bool start_uncertain;   /* the engine may have started again since */
    Probe *probe;           /* NULL without a configured engine address */
    KeeperOrigins *origins; /* of streams, as gateways told */
} Keeper;

static uint64_t
link_serial(const Link *link)
{
    return (uint64_t)(uintptr_t)Link_Data(link);
}

static RequestId
make_request_id(const Link *link, uint64_t id)
{
    return (RequestId){.high = link_serial(link), .low = id};
}

static void
send_grant(Keeper *keeper, Link *link, const QueueAction *action)
{
    QueueState state;
    Queue_GetState(keeper->queue, Clock_Now(), &state);
    Wire__SlotGrant grant = WIRE__SLOT_GRANT__INIT;
    grant.id = action->id.low;
    grant.queued = state.queued;
    grant.busy = state.running + state.granted;
    grant.prefill_tokens_s = (uint32_t)state.prefill_tokens_s;
    grant.decode_tokens_s = (uint32_t)state.decode_tokens_s;
    grant.born = keeper->engine_born;
    grant.start_uncertain = keeper->start_uncertain;
    OutlookMessage outlook;
    Outlook_Fill(&outlook, keeper->queue, Clock_Now());
    if (outlook.message.n_waits > 0) {
        grant.outlook = &outlook.message;
    }
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_GRANT;
    frame.slot_grant = &grant;
    Link_Send(link, &frame);
}

static void
send_refusal(Keeper *keeper, Link *link, const QueueAction *action)
{
    QueueState state;
    Queue_GetState(keeper->queue, Clock_Now(), &state);
    Wire__SlotRefuse refuse = WIRE__SLOT_REFUSE__INIT;
    refuse.id = action->id.low;
    refuse.reason = (Wire__RefuseReason)action->reason;
    refuse.retry_after_ms = action->retry_after_ms;
    refuse.queued = state.queued;
    refuse.busy = state.running + state.granted;
    OutlookMessage outlook;
    Outlook_Fill(&outlook, keeper->queue, Clock_Now());
    refuse.outlook = &outlook.message;
    char share[SHARE_TEXT_BYTES];
    ShareCounters_OnRefused(&keeper->shares, action, share);
    LOG_INFO(PART,
             "Slot refused. want=%llu gateway=%s reason=%s queued=%u busy=%u "
             "slots=%u prefill_tokens_s=%.0f decode_tokens_s=%.0f margin=%.2f "
             "retry_after_ms=%u%s",
             (unsigned long long)action->id.low, Link_Peer(link)->name,
             RefuseReason_Name(action->reason), state.queued,
             state.running + state.granted, state.slots,
             state.prefill_tokens_s, state.decode_tokens_s, state.margin,
             action->retry_after_ms, share);
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_SLOT_REFUSE;
    frame.slot_refuse = &refuse;
    Link_Send(link, &frame);
}

/* Occupies a granted slot and sends the grant to its gateway. Withdraws the
 * grant when the gateway has disconnected. */
static void
occupy_slot(Keeper *keeper, const QueueAction *action)
{
    Link *link = g_hash_table_lookup(keeper->links_by_serial, &action->owner);
    TimeUs now = Clock_Now();
    if (link == NULL) {
        Queue_Withdraw(keeper->queue, action->id, action->owner, now);
        return;
    }
    if (Queue_OnDispatch(keeper->queue, action->id, action->grant_id, now) !=
        REFUSE_NONE)
    {
        return;
    }
    RequestId *id = g_memdup2(&action->id, sizeof(action->id));
    g_hash_table_add(keeper->granted_ids, id);
    send_grant(keeper, link, action);
}

static void
update_gauges(const Keeper *keeper)
{
    QueueState state;
    Queue_GetState(keeper->queue, Clock_Now(), &state);
    Counter_Set(keeper->queued_gauge, state.queued);
    Counter_Set(keeper->busy_gauge, state.running + state.granted);
    Counter_Set(keeper->shares.accounts, Queue_CountAccounts(keeper->queue));
}

static void
run_actions(Keeper *keeper)
{
    QueueAction actions[ACTION_BATCH_MAX];
    size_t count;
    while ((count = Queue_TakeActions(keeper->queue, actions,
                                      ACTION_BATCH_MAX)) > 0)
    {
        for (size_t i = 0; i < count; i++) {
            Link *link = g_hash_table_lookup(keeper->links_by_serial,
                                             &actions[i].owner);
            if (actions[i].kind == QUEUE_GRANT) {
                occupy_slot(keeper, &actions[i]);
            }
            else if (link != NULL) {
                send_refusal(keeper, link, &actions[i]);
            }
        }
    }
    update_gauges(keeper);
    TimeUs next = Queue_NextTimer(keeper->queue);
    if (next == TIME_NEVER) {
        event_del(keeper->timer);
        return;
    }
    TimeUs delay = MAX(next - Clock_Now(), US_PER_MS);
    struct timeval tv = {.tv_sec = delay / US_PER_S,
                         .tv_usec = delay % US_PER_S};
    event_add(keeper->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Keeper *keeper = arg;
    Queue_Tick(keeper->queue, Clock_Now());
    run_actions(keeper);
}

/* Refuses a want for an engine that was replaced. The gateway that sent it has
 * not yet received the record of the successor. */
static void
refuse_replaced(Keeper *keeper, Link *link, RequestId id)
{
    QueueAction action = {
        .kind = QUEUE_REFUSE,
        .id = id,
        .reason = REFUSE_LEAVING,
        .retry_after_ms = REPLACED_RETRY_AFTER_MS,
    };
    send_refusal(keeper, link, &action);
}

/* Keeps capacity free for a request that comes back. */
static void
book_return(Keeper *keeper, const Link *link, const WorkSpec *work,
            uint32_t told_ms)
{
    TimeUs now = Clock_Now();
    bool booked =
        Queue_Book(keeper->queue, work, now + told_ms * US_PER_MS, now);
    LOG_INFO(PART,
             "Capacity %s for a request that comes back. want=%llu gateway=%s "
             "tier=%u rank=%u prompt=%u output=%u told_ms=%u",
             booked ? "is booked" : "is not booked: the limit is reached",
             (unsigned long long)work->id.low, Link_Peer(link)->name,
             work->tier, work->rank, work->prompt_tokens, work->output_tokens,
             told_ms);
    Counter_Add(booked ? keeper->booked_counter : keeper->unbooked_counter, 1);
}

static void
on_slot_want(Keeper *keeper, Link *link, const Wire__SlotWant *want)
{
    TimeUs now = Clock_Now();
    if (want->slots > 0 && want->slots != keeper->slots) {
        LOG_INFO(PART, "Number of engine slots changed. slots=%u before=%u",
                 want->slots, keeper->slots);
        keeper->slots = want->slots;
        Queue_SetSlots(keeper->queue, want->slots, now);
    }
    if (want->memory_tokens != keeper->memory_tokens) {
        LOG_INFO(PART, "Memory of the engine changed. tokens=%llu before=%llu",
                 (unsigned long long)want->memory_tokens,
                 (unsigned long long)keeper->memory_tokens);
        keeper->memory_tokens = want->memory_tokens;
        Queue_SetMemory(keeper->queue, want->memory_tokens, now);
    }
    if (want->born > keeper->rated_born && keeper->rated_born != 0) {
        LOG_INFO(PART, "Rate limit ended with its engine.");
        keeper->rated_born = 0;
        Queue_ResetRate(keeper->queue, now);
    }
    WorkSpec work = {
        .id = make_request_id(link, want->id),
        .target = Work_TargetHash(false, want->endpoint),
        .tier = MIN(want->tier, WORK_TIERS - 1),
        .rank = want->rank,
        .deadline = now + want->deadline_ms * US_PER_MS,
        .first_piece_deadline = now + want->first_ms * US_PER_MS,
        .first_piece_limit = want->first_limit_ms == 0
                                 ? 0
                                 : now + want->first_limit_ms * US_PER_MS,
        .prompt_tokens = want->prompt_tokens,
        .output_tokens = want->output_tokens,
        .longest_output_tokens = want->longest_output_tokens,
        .account = want->account,
    };
    if (work.target == keeper->replaced_target && now < keeper->replaced_until)
    {
        refuse_replaced(keeper, link, work.id);
        return;
    }
    if (want->told_ms > 0) {
        book_return(keeper, link, &work, want->told_ms);
        return;
    }
    Queue_AddWant(keeper->queue, &work, link_serial(link), now);
}

static void
release_slot(Keeper *keeper, RequestId id, bool complete, TimeUs now)
{
    QueueResult result = {.complete = complete};
    Queue_OnFinished(keeper->queue, id, &result, now);
}

/* Refuses all wants for an engine when another engine has answered at its
 * address. Otherwise each request would be granted, sent to that address and
 * refused by the other engine, one after another. */
static void
on_engine_replaced(Keeper *keeper, const char *endpoint, TimeUs now)
{
    LOG_INFO(PART, "Engine was replaced. before=%s", endpoint);
    keeper->replaced_target = Work_TargetHash(false, endpoint);
    keeper->replaced_until = now + REPLACED_REFUSE_US;
    Queue_RefuseTarget(keeper->queue, keeper->replaced_target, now);
}

static void
on_slot_rate(Keeper *keeper, const Link *link, const Wire__SlotRate *rate)
{
    TimeUs now = Clock_Now();
    if (rate->born < keeper->rated_born ||
        (rate->rate <= 0 && rate->born != keeper->rated_born))
    {
        return;
    }
    if (rate->born > keeper->rated_born) {
        keeper->rated_born = rate->born;
        Queue_ResetRate(keeper->queue, now);
    }
    TimeUs sent_at = now - rate->sent_age_ms * US_PER_MS;
    if (Queue_OnNamedRate(keeper->queue, rate->rate, sent_at, now)) {
        LOG_INFO(PART, "Rate limit of the engine. rate=%.3f gateway=%s",
                 rate->rate, Link_Peer(link)->name);
        Counter_Set(keeper->rate_gauge, (int64_t)(rate->rate * 1000));
    }
}

static void
on_slot_end(Keeper *keeper, Link *link, const Wire__SlotEnd *end)
{
    RequestId id = make_request_id(link, end->id);
    TimeUs now = Clock_Now();
    if (end->gone_endpoint[0] != '\0') {
        on_engine_replaced(keeper, end->gone_endpoint, now);
    }
    if (g_hash_table_remove(keeper->granted_ids, &id)) {
        if (end->unsent) {
            Queue_OnUnsent(keeper->queue, now);
        }
        release_slot(keeper, id, end->ran, now);
        return;
    }
    Queue_Withdraw(keeper->queue, id, link_serial(link), now);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Keeper *keeper = owner;
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS:
        KeeperOrigins_OnNews(keeper->origins, frame->stream_origin_news);
        return;
    case WIRE__FRAME__BODY_STREAM_ORIGIN_QUERY:
        KeeperOrigins_OnQuery(keeper->origins, link,
                              frame->stream_origin_query);
        return;
    case WIRE__FRAME__BODY_SLOT_WANT:
        on_slot_want(keeper, link, frame->slot_want);
        break;
    case WIRE__FRAME__BODY_SLOT_END:
        on_slot_end(keeper, link, frame->slot_end);
        break;
    case WIRE__FRAME__BODY_SLOT_RATE:
        on_slot_rate(keeper, link, frame->slot_rate);
        break;
    case WIRE__FRAME__BODY_SLOT_PREFILLED:
        Queue_OnFirstPiece(keeper->queue,
                           make_request_id(link, frame->slot_prefilled->id),
                           Clock_Now());
        break;
    default:
        return;
    }
    run_actions(keeper);
}

static void
on_connected(Link *link, void *owner)
{
    Keeper *keeper = owner;
    uint64_t serial = ++keeper->last_serial;
    Link_SetData(link, (void *)(uintptr_t)serial);
    g_hash_table_insert(keeper->links_by_serial,
                        g_memdup2(&serial, sizeof(serial)), link);
    LOG_INFO(PART, "Gateway connected. gateway=%s", Link_Peer(link)->name);
}

/* Releases the slots of a disconnected gateway, which has withdrawn its
 * requests or stopped. If a request still runs at the engine, its slot is
 * granted again, and the engine's own queue absorbs the excess request. */
static void
on_disconnected(Link *link, void *owner)
{
    Keeper *keeper = owner;
    uint64_t serial = link_serial(link);
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, keeper->granted_ids);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        RequestId id = *(RequestId *)key;
        if (id.high == serial) {
            g_hash_table_iter_remove(&iter);
            release_slot(keeper, id, false, now);
        }
    }
    Queue_OnOwnerDisconnected(keeper->queue, serial, now);
    g_hash_table_remove(keeper->links_by_serial, &serial);
    run_actions(keeper);
}

static const LinkOps link_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

/* Refuses wants while the engine does not answer, so that gateways choose
 * other engines. */
static void
on_probe_changed(void *owner, bool answers)
{
    Keeper *keeper = owner;
    LOG_WARN(PART, "Engine %s. address=%s",
             answers ? "answers again" : "does not answer",
             keeper->options->engine);
    Queue_SetLeaving(keeper->queue, !answers, Clock_Now());
    run_actions(keeper);
}

static void
on_probe_answered(void *owner, const char *body, size_t length)
{
    Keeper *keeper = owner;
    uint64_t born = keeper->options->read_start == NULL
                        ? 0
                        : keeper->options->read_start(body, length);
    if (born != 0 && keeper->engine_born != 0 && born != keeper->engine_born) {
        LOG_INFO(PART, "Engine started again. born=%llu before=%llu",
                 (unsigned long long)born,
                 (unsigned long long)keeper->engine_born);
    }
    keeper->engine_born = born;
    keeper->start_uncertain = false;
}

static void
on_probe_lost(void *owner)
{
    Keeper *keeper = owner;
    keeper->start_uncertain = true;
}

static const ProbeOps probe_ops = {
    .changed = on_probe_changed,
    .answered = on_probe_answered,
    .lost = on_probe_lost,
};

static int
start(TaskHandle self, void *state, Error *err)
{
    Keeper *keeper = state;
    keeper->task = self;
    keeper->base = Task_Base(self);
    keeper->timer = event_new(keeper->base, -1, 0, on_timer, keeper);
    Address address;
    int result = Address_Parse(keeper->options->listen, &address, err);
    if (result != ERR_OK) {
        return result;
    }
    if (keeper->options->engine != NULL) {
        keeper->probe =
            Probe_New(keeper->base, keeper->options->engine,
                      keeper->options->probe_path, &probe_ops, keeper, err);
        if (keeper->probe == NULL) {
            return err->code;
        }
    }
    keeper->link_server = Link_Listen(keeper->base, &keeper->self, &address,
                                      &link_ops, keeper, err);
    return keeper->link_server == NULL ? err->code : ERR_OK;
}

static void
receive(TaskHandle self, void *state, const Message *message)
{
}

static void
stop(TaskHandle self, void *state)
{
    Keeper *keeper = state;
    if (keeper->link_server != NULL) {
        Link_CloseServer(keeper->link_server);
    }
    if (keeper->probe != NULL) {
        Probe_Free(keeper->probe);
    }
    event_free(keeper->timer);
    Queue_Free(keeper->queue);
    KeeperOrigins_Free(keeper->origins);
    g_hash_table_destroy(keeper->links_by_serial);
    g_hash_table_destroy(keeper->granted_ids);
    g_free(keeper);
}

static void
dump(TaskHandle self, void *state, json_t *out)
{
    const Keeper *keeper = state;
    QueueState queue;
    Queue_GetState(keeper->queue, Clock_Now(), &queue);
    json_object_set_new(out, "slots", json_integer(queue.slots));
    json_object_set_new(out, "running", json_integer(queue.running));
    json_object_set_new(out, "queued", json_integer(queue.queued));
    json_object_set_new(
        out, "origins",
        json_integer((json_int_t)KeeperOrigins_Count(keeper->origins)));
}

static const TaskOps task_ops = {
    .start = start,
    .receive = receive,
    .stop = stop,
    .dump = dump,
};

void
Keeper_AddTask(Kernel *kernel, const KeeperOptions *options)
{
    Keeper *keeper = g_new0(Keeper, 1);
    keeper->options = options;
    keeper->self = (LinkIdentity){
        .role = WIRE__ROLE__ROLE_KEEPER,
        .name = options->name,
        .incarnation = LinkIdentity_NewIncarnation(),
        .zone = options->zone,
        .region = options->region,
    };
    keeper->slots = INITIAL_SLOTS;
    keeper->queued_gauge = Counter_Get("keeper_queued", "Requests that wait.");
    keeper->busy_gauge = Counter_Get("keeper_busy", "Slots in use.");
    ShareCounters_Init(&keeper->shares);
    keeper->rate_gauge =
        Counter_Get("keeper_rate_limit_millis",
                    "Requests in 1000 s that the engine takes; 0 without a "
                    "limit.");
    keeper->origins = KeeperOrigins_New();
    keeper->booked_counter =
        Counter_Get("keeper_bookings_total{kept=\"yes\"}",
                    "Refused requests that capacity is kept for.");
    keeper->unbooked_counter =
        Counter_Get("keeper_bookings_total{kept=\"no\"}", NULL);
    QueueConfig config = {
        .max_wants = MAX_WANTS,
        .max_ended_ids = MAX_ENDED_IDS,
        .slots = INITIAL_SLOTS,
        .grant_ttl = GRANT_TTL_US,
        .prefill_tokens_s = INITIAL_PREFILL_TOKENS_S,
        .decode_tokens_s = INITIAL_DECODE_TOKENS_S,
        .seed = keeper->self.incarnation,
        .refuse_early = true,
        .fair_ranks = true,
        /* Gateways name accounts only where their settings say so. */
        .fair_accounts = true,
        .run_quantile = RUN_TIME_QUANTILE,
        .prefetch_requests = PREFETCH_REQUESTS,
        .prefetch_min_wait = PREFETCH_MIN_WAIT_US,
    };
    keeper->queue = Queue_New(&config);
    keeper->links_by_serial =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    keeper->granted_ids = g_hash_table_new_full(
        RequestId_HashKey, RequestId_EqualKeys, g_free, NULL);
    TaskSpec spec = {.name = TASK_NAME, .ops = &task_ops, .state = keeper};
    Kernel_AddTask(kernel, &spec);
}
