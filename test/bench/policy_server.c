/** @file
 * Servers of the policy bench: the agent's queue under test and a simulated
 * engine.
 */
#include "policy_sim.h"

#include <string.h>

#define REPORT_INTERVAL_US (500 * US_PER_MS)
#define GRANT_TTL_US (500 * US_PER_MS)
/* Fraction of the newly cached blocks that a report omits, which simulates
 * lost cache events. */
#define CACHE_EVENT_LOSS_RATIO 0.2
#define CONTROL_BYTES 60.0
#define BYTES_PER_TOKEN 4.0
#define ACTIONS_MAX 64

static uint32_t
best_cached(const WorkSpec *work, void *context)
{
    const Sim *sim = context;
    uint32_t best = 0;
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (sim->servers[i].speed > 0) {
            uint32_t cached =
                Engine_CachedBlocks(sim->servers[i].engine, work);
            best = MAX(best, cached);
        }
    }
    return best;
}

static void
schedule_engine_event(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    TimeUs at = Engine_NextEventTime(server->engine);
    server->engine_event++;
    if (at != TIME_NEVER) {
        Events_Push(&sim->events, (SimEvent){
                                      .at = at,
                                      .kind = EVENT_ENGINE_DUE,
                                      .server = index,
                                      .number = server->engine_event,
                                  });
    }
}

static void
schedule_queue_timer(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    TimeUs at = MAX(Queue_NextTimer(server->queue), sim->now + US_PER_MS);
    bool scheduled = server->timer_at > sim->now && server->timer_at <= at;
    if (at == TIME_NEVER || scheduled) {
        return;
    }
    server->timer_at = at;
    Events_Push(&sim->events, (SimEvent){
                                  .at = at,
                                  .kind = EVENT_QUEUE_TIMER,
                                  .server = index,
                              });
}

static void
send_actions(Sim *sim, uint32_t index)
{
    QueueAction actions[ACTIONS_MAX];
    size_t count;
    WantQueue *queue = sim->servers[index].queue;
    while ((count = Queue_TakeActions(queue, actions, ACTIONS_MAX)) > 0) {
        for (size_t i = 0; i < count; i++) {
            const QueueAction *action = &actions[i];
            bool granted = action->kind == QUEUE_GRANT;
            uint64_t refusal =
                (uint64_t)action->reason << 32 | action->retry_after_ms;
            Sim_Send(sim, (uint32_t)action->owner - 1, index, CONTROL_BYTES,
                     (SimEvent){
                         .kind = granted ? EVENT_GRANT : EVENT_REFUSE,
                         .server = index,
                         .request = (uint32_t)action->id.low - 1,
                         .number = granted ? action->grant_id : refusal,
                     });
        }
    }
    schedule_queue_timer(sim, index);
}

static void
send_answer(Sim *sim, uint32_t index, const BenchRequest *request,
            SimEventKind kind, bool complete)
{
    double bytes = CONTROL_BYTES;
    if (kind == EVENT_END) {
        bytes += request->work.output_tokens * BYTES_PER_TOKEN;
    }
    Sim_Send(sim, request->entry, index, bytes,
             (SimEvent){
                 .kind = kind,
                 .server = index,
                 .request = request_index(request),
                 .number = complete,
             });
}

static void
finish_run(Sim *sim, uint32_t index, const BenchRequest *request,
           bool complete)
{
    Queue_OnFinished(
        sim->servers[index].queue, request->work.id,
        &(QueueResult){
            .first_piece_at = complete ? request->first_piece_at : 0,
            .output_tokens = request->work.output_tokens,
            .cached_tokens = request->cached,
            .complete = complete,
        },
        sim->now);
    send_answer(sim, index, request, EVENT_END, complete);
}

/* Advances the engine to the current time and reports its events to the queue
 * and the entries. */
static void
run_engine(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    EngineEvent event = Engine_Advance(server->engine, sim->now);
    while (event.kind != ENGINE_NO_EVENT) {
        if (event.kind == ENGINE_FIRST_PIECE) {
            Queue_OnFirstPiece(server->queue, event.request->work.id,
                               sim->now);
            send_answer(sim, index, event.request, EVENT_FIRST_PIECE, false);
        }
        else {
            finish_run(sim, index, event.request, true);
        }
        event = Engine_Advance(server->engine, sim->now);
    }
}

static void
on_dispatch(Sim *sim, const SimEvent *event)
{
    SimServer *server = &sim->servers[event->server];
    BenchRequest *request = request_at(sim, event->request);
    RefuseReason reason = REFUSE_NONE;
    if (sim->policy->routing == ROUTING_LAURELLIFT) {
        reason = Queue_OnDispatch(server->queue, request->work.id,
                                  event->number, sim->now);
    }
    if (reason != REFUSE_NONE || server->speed <= 0) {
        Sim_Send(sim, request->entry, event->server, CONTROL_BYTES,
                 (SimEvent){
                     .kind = EVENT_REFUSE,
                     .server = event->server,
                     .request = event->request,
                     .number = (uint64_t)reason << 32,
                 });
        return;
    }
    Engine_Submit(server->engine, request);
}

static void
make_report(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    QueueState state;
    Queue_GetState(server->queue, sim->now, &state);
    SimReport *report = g_new0(SimReport, 1);
    report->load = Engine_Load(server->engine);
    report->pending_receivers = ZONES;
    report->state = (PlaceReport){
        .sequence = ++server->report_sequence,
        .slots = state.slots,
        .running = state.running + state.granted,
        .queued = state.queued,
        .queued_prompt_tokens = state.queued_prompt_tokens,
        .queued_output_tokens = state.queued_output_tokens,
        .prefill_tokens_s = state.prefill_tokens_s,
        .decode_tokens_s = state.decode_tokens_s,
        .lowest_tier = state.lowest_tier,
        .retry_after_ms = state.retry_after_ms,
        .leaving = state.leaving,
    };
    memcpy(report->state.queued_by_tier, state.queued_by_tier,
           sizeof(state.queued_by_tier));
    report->cached = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    report->evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    Engine_TakeCacheEvents(server->engine, report->cached, report->evicted);
    for (guint i = report->cached->len; i > 0; i--) {
        if (g_rand_double(sim->rand) < CACHE_EVENT_LOSS_RATIO) {
            g_array_remove_index_fast(report->cached, i - 1);
        }
    }
    Queue_UpdateCache(server->queue,
                      (const uint64_t *)(void *)report->cached->data,
                      report->cached->len, true);
    Queue_UpdateCache(server->queue,
                      (const uint64_t *)(void *)report->evicted->data,
                      report->evicted->len, false);
    for (uint32_t i = 0; i < ZONES; i++) {
        Events_Push(&sim->events,
                    (SimEvent){
                        .at = sim->now + sim->bench_case->report_lag,
                        .kind = EVENT_REPORT,
                        .server = index,
                        .number = i,
                        .data = report,
                    });
    }
    if (sim->now < ARRIVALS_END_US) {
        Events_Push(&sim->events, (SimEvent){
                                      .at = sim->now + REPORT_INTERVAL_US,
                                      .kind = EVENT_MAKE_REPORT,
                                      .server = index,
                                  });
    }
}

void
SimServer_OnEvent(Sim *sim, const SimEvent *event)
{
    SimServer *server = &sim->servers[event->server];
    BenchRequest *request = request_at(sim, event->request);
    bool outdated = event->kind == EVENT_ENGINE_DUE &&
                    event->number != server->engine_event;
    if (outdated) {
        return;
    }
    run_engine(sim, event->server);
    switch ((SimEventKind)event->kind) {
    case EVENT_WANT:
        Queue_AddWant(server->queue, &request->work, request->entry + 1,
                      sim->now);
        break;
    case EVENT_WITHDRAW:
        Queue_Withdraw(server->queue, request->work.id, request->entry + 1,
                       sim->now);
        break;
    case EVENT_DISPATCH:
        on_dispatch(sim, event);
        break;
    case EVENT_CANCEL:
        if (Engine_Cancel(server->engine, request)) {
            finish_run(sim, event->server, request, false);
        }
        break;
    case EVENT_QUEUE_TIMER:
        Queue_Tick(server->queue, sim->now);
        break;
    case EVENT_MAKE_REPORT:
        make_report(sim, event->server);
        break;
    default:
        break;
    }
    schedule_engine_event(sim, event->server);
    send_actions(sim, event->server);
}

void
SimServer_UpdateSpeed(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    double speed = Sim_ServerSpeed(sim->bench_case, index, sim->now);
    if (speed == server->speed) {
        return;
    }
    run_engine(sim, index);
    server->speed = speed;
    Engine_SetSpeed(server->engine, speed);
    Queue_SetLeaving(server->queue, speed <= 0, sim->now);
    if (speed <= 0) {
        BenchRequest *request = Engine_Crash(server->engine);
        while (request != NULL) {
            finish_run(sim, index, request, false);
            request = Engine_Crash(server->engine);
        }
        Queue_ResetCache(server->queue);
        for (uint32_t i = 0; i < ZONES; i++) {
            SimEntry *entry = &sim->entries[i];
            Place_ResetCache(entry->places, entry->handles[index]);
        }
    }
    schedule_engine_event(sim, index);
    send_actions(sim, index);
}

void
SimServer_Open(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    server->speed = Sim_ServerSpeed(sim->bench_case, index, 0);
    server->engine = Engine_New();
    Engine_SetSpeed(server->engine, server->speed);
    Engine_SetBestCached(server->engine, best_cached, sim);
    server->queue = Queue_New(&(QueueConfig){
        .max_wants = 4096,
        .max_ended_ids = 4096,
        .slots = ENGINE_BATCH_MAX,
        .grant_ttl = GRANT_TTL_US,
        .seed = (uint64_t)(index + 1) << 32,
        .no_priority = sim->policy->no_priority,
        .no_deadline = sim->policy->no_deadline,
    });
    Events_Push(&sim->events, (SimEvent){
                                  .at = index * 7 * US_PER_MS,
                                  .kind = EVENT_MAKE_REPORT,
                                  .server = index,
                              });
}

void
SimServer_Close(Sim *sim, uint32_t index)
{
    Engine_Free(sim->servers[index].engine);
    Queue_Free(sim->servers[index].queue);
}
