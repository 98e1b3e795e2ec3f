/** @file
 * Entries of the policy bench. An entry uses the placement under test, or a
 * baseline policy that dispatches each request without asking for a slot.
 */
#include "policy_sim.h"

/* Sizes of messages, from which the traffic between the regions is counted. */
#define WANT_BYTES 200.0
#define CONTROL_BYTES 60.0
#define BYTES_PER_TOKEN 4.0

static void
finish_request(Sim *sim, BenchRequest *request, Outcome outcome)
{
    request->outcome = outcome;
    request->ended_at = sim->now;
}

static void
send_to_server(Sim *sim, const BenchRequest *request, uint32_t server,
               SimEventKind kind, uint64_t number, double bytes)
{
    Sim_Send(sim, request->entry, server, bytes,
             (SimEvent){
                 .kind = kind,
                 .server = server,
                 .request = request_index(request),
                 .number = number,
             });
}

static double
dispatch_bytes(const BenchRequest *request)
{
    return CONTROL_BYTES + request->work.prompt_tokens * BYTES_PER_TOKEN;
}

static uint32_t
server_of(const Sim *sim, uint32_t entry, PlaceHandle handle)
{
    uint32_t server = 0;
    while (sim->entries[entry].handles[server].index != handle.index) {
        server++;
    }
    INVARIANT(server < sim->server_count);
    return server;
}

static int
least_loaded(const Sim *sim, const SimEntry *entry)
{
    int best = -1;
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (entry->connected[i] &&
            (best < 0 || entry->stale_load[i] < entry->stale_load[best]))
        {
            best = (int)i;
        }
    }
    return best;
}

static int
pick_baseline(Sim *sim, SimEntry *entry)
{
    if (sim->policy->routing == ROUTING_LEAST_LOADED) {
        return least_loaded(sim, entry);
    }
    for (uint32_t attempt = 0; attempt < sim->server_count * 4; attempt++) {
        uint32_t server = entry->next_server++ % sim->server_count;
        if (sim->policy->routing == ROUTING_RANDOM) {
            server = g_rand_int(sim->rand) % sim->server_count;
        }
        if (entry->connected[server]) {
            return (int)server;
        }
    }
    return -1;
}

static void
dispatch_baseline(Sim *sim, BenchRequest *request)
{
    int server = pick_baseline(sim, &sim->entries[request->entry]);
    if (server < 0) {
        finish_request(sim, request, OUTCOME_REFUSED);
        return;
    }
    request->server = server;
    request->dispatched_at = sim->now;
    send_to_server(sim, request, (uint32_t)server, EVENT_DISPATCH, 0,
                   dispatch_bytes(request));
}

static void
send_wants(Sim *sim, BenchRequest *request)
{
    PlaceChoice choice;
    const SimEntry *entry = &sim->entries[request->entry];
    PlaceHandle refused[SERVERS_MAX];
    uint32_t refused_count = 0;
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (request->sent_wants & 1U << i) {
            refused[refused_count++] = entry->handles[i];
        }
    }
    if (!Place_PickAgain(entry->places, &request->work, sim->now, refused,
                         refused_count, &choice))
    {
        finish_request(sim, request, OUTCOME_REFUSED);
        return;
    }
    for (uint32_t i = 0; i < choice.count; i++) {
        uint32_t server = server_of(sim, request->entry, choice.endpoints[i]);
        request->pending_wants |= 1U << server;
        request->sent_wants |= 1U << server;
        send_to_server(sim, request, server, EVENT_WANT, 0, WANT_BYTES);
    }
}

void
SimEntry_OnArrival(Sim *sim, uint32_t index)
{
    BenchRequest *request = request_at(sim, index);
    if (sim->bench_case->zone_lost &&
        !Sim_Connected(sim->bench_case, request->entry, request->entry,
                       sim->now))
    {
        request->entry = 0;
    }
    Events_Push(&sim->events, (SimEvent){
                                  .at = request->work.deadline,
                                  .kind = EVENT_DEADLINE,
                                  .request = index,
                              });
    if (sim->policy->routing == ROUTING_LAURELLIFT) {
        send_wants(sim, request);
        return;
    }
    dispatch_baseline(sim, request);
}

static void
withdraw(Sim *sim, BenchRequest *request)
{
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (request->pending_wants & 1U << i) {
            send_to_server(sim, request, i, EVENT_WITHDRAW, 0, CONTROL_BYTES);
        }
    }
    request->pending_wants = 0;
}

static void
report_finished(Sim *sim, const BenchRequest *request, bool complete)
{
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnFinished(entry->places, entry->handles[request->server],
                     &request->work,
                     &(PlaceResult){
                         .dispatched_at = request->dispatched_at,
                         .first_piece_at = request->first_piece_at,
                         .ended_at = sim->now,
                         .output_tokens = request->work.output_tokens,
                         .cached_tokens = request->cached,
                         .complete = complete,
                     },
                     sim->now);
}

void
SimEntry_OnDeadline(Sim *sim, uint32_t index)
{
    BenchRequest *request = request_at(sim, index);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    finish_request(sim, request, OUTCOME_LATE);
    withdraw(sim, request);
    if (request->server >= 0) {
        send_to_server(sim, request, (uint32_t)request->server, EVENT_CANCEL,
                       0, CONTROL_BYTES);
        report_finished(sim, request, false);
    }
}

void
SimEntry_OnGrant(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = request_at(sim, event->request);
    if (request->outcome != OUTCOME_OPEN || request->server >= 0) {
        send_to_server(sim, request, event->server, EVENT_WITHDRAW, 0,
                       CONTROL_BYTES);
        return;
    }
    request->server = (int)event->server;
    request->dispatched_at = sim->now;
    request->pending_wants &= ~(1U << event->server);
    withdraw(sim, request);
    send_to_server(sim, request, event->server, EVENT_DISPATCH, event->number,
                   dispatch_bytes(request));
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnDispatched(entry->places, entry->handles[event->server],
                       &request->work, sim->now);
}

void
SimEntry_OnRefusal(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = request_at(sim, event->request);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    bool dispatch_refused = request->server == (int)event->server;
    if (!dispatch_refused && request->server >= 0) {
        return;
    }
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnRefused(entry->places, entry->handles[event->server],
                    &request->work, (RefuseReason)(event->number >> 32),
                    (uint32_t)event->number, sim->now);
    request->pending_wants &= ~(1U << event->server);
    if (dispatch_refused) {
        finish_request(sim, request, OUTCOME_REFUSED);
    }
    else if (request->pending_wants == 0) {
        send_wants(sim, request);
    }
}

void
SimEntry_OnFirstPiece(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = request_at(sim, event->request);
    if (request->first_piece_at == 0) {
        request->first_piece_at = sim->now;
    }
}

void
SimEntry_OnEnd(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = request_at(sim, event->request);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    bool complete = event->number != 0;
    finish_request(sim, request, complete ? OUTCOME_GOOD : OUTCOME_LOST);
    report_finished(sim, request, complete);
}

static void
apply_report(const Sim *sim, SimEntry *entry, uint32_t server,
             const SimReport *report)
{
    PlaceHandle handle = entry->handles[server];
    entry->stale_load[server] = report->load;
    Place_OnReport(entry->places, handle, &report->state, sim->now);
    Place_UpdateCache(entry->places, handle,
                      (const uint64_t *)(void *)report->cached->data,
                      report->cached->len, true);
    Place_UpdateCache(entry->places, handle,
                      (const uint64_t *)(void *)report->evicted->data,
                      report->evicted->len, false);
}

void
SimEntry_OnReport(Sim *sim, const SimEvent *event)
{
    SimReport *report = event->data;
    SimEntry *entry = &sim->entries[event->number];
    if (entry->connected[event->server]) {
        apply_report(sim, entry, event->server, report);
    }
    if (--report->pending_receivers == 0) {
        g_array_free(report->cached, TRUE);
        g_array_free(report->evicted, TRUE);
        g_free(report);
    }
}

/* Handles the loss of the link to a server. Requests dispatched to it end as
 * lost because their outcome is unknown. Requests whose only want is at this
 * server send wants to other servers. */
static void
handle_disconnect(Sim *sim, uint32_t zone, uint32_t server)
{
    for (uint32_t i = 0; i < sim->requests->len; i++) {
        BenchRequest *request = request_at(sim, i);
        if (request->arrival > sim->now) {
            break;
        }
        if (request->entry != zone || request->outcome != OUTCOME_OPEN) {
            continue;
        }
        if (request->server == (int)server) {
            finish_request(sim, request, OUTCOME_LOST);
            report_finished(sim, request, false);
        }
        else if (request->pending_wants == 1U << server) {
            request->pending_wants = 0;
            send_wants(sim, request);
        }
        request->pending_wants &= ~(1U << server);
    }
}

void
SimEntry_SetConnected(Sim *sim, uint32_t zone, uint32_t server, bool connected)
{
    SimEntry *entry = &sim->entries[zone];
    if (entry->connected[server] == connected) {
        return;
    }
    entry->connected[server] = connected;
    Place_SetConnected(entry->places, entry->handles[server], connected);
    if (!connected) {
        handle_disconnect(sim, zone, server);
        Queue_OnOwnerDisconnected(sim->servers[server].queue, zone + 1,
                                  sim->now);
    }
}
