/** @file
 * Entries of the policy bench. An entry uses the placement under test, or a
 * baseline policy that dispatches each request without asking for a slot.
 */
#include "policy_sim.h"

/* Sizes of messages in bytes, for the region traffic. */
#define WANT_BYTES 200.0
#define SMALL_BYTES 60.0
#define BYTES_PER_TOKEN 4.0

static void
end(Sim *sim, BenchRequest *request, Outcome outcome)
{
    request->outcome = outcome;
    request->ended = sim->now;
}

static void
send(Sim *sim, const BenchRequest *request, uint32_t server, SimEventKind kind,
     uint64_t number, double bytes)
{
    Sim_Send(sim, request->entry, server, bytes,
             (SimEvent){
                 .kind = kind,
                 .server = server,
                 .request = sim_index(request),
                 .number = number,
             });
}

static double
body_bytes(const BenchRequest *request)
{
    return SMALL_BYTES + request->work.prompt_tokens * BYTES_PER_TOKEN;
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
pick_plain(Sim *sim, SimEntry *entry)
{
    if (sim->policy->routing == ROUTING_LEAST) {
        return least_loaded(sim, entry);
    }
    for (uint32_t tries = 0; tries < sim->server_count * 4; tries++) {
        uint32_t server = entry->next++ % sim->server_count;
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
send_plain(Sim *sim, BenchRequest *request)
{
    int server = pick_plain(sim, &sim->entries[request->entry]);
    if (server < 0) {
        end(sim, request, OUTCOME_REFUSED);
        return;
    }
    request->server = server;
    request->started = sim->now;
    send(sim, request, (uint32_t)server, EVENT_DISPATCH, 0,
         body_bytes(request));
}

static void
offer(Sim *sim, BenchRequest *request)
{
    PlaceChoice pick;
    const SimEntry *entry = &sim->entries[request->entry];
    PlaceHandle refused[SERVERS_MAX];
    uint32_t refused_count = 0;
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (request->tried & 1U << i) {
            refused[refused_count++] = entry->handles[i];
        }
    }
    if (!Place_PickAgain(entry->places, &request->work, sim->now, refused,
                         refused_count, &pick))
    {
        end(sim, request, OUTCOME_REFUSED);
        return;
    }
    for (uint32_t i = 0; i < pick.count; i++) {
        uint32_t server = server_of(sim, request->entry, pick.endpoints[i]);
        request->wants |= 1U << server;
        request->tried |= 1U << server;
        send(sim, request, server, EVENT_WANT, 0, WANT_BYTES);
    }
}

void
SimEntry_Arrive(Sim *sim, uint32_t index)
{
    BenchRequest *request = sim_request(sim, index);
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
        offer(sim, request);
        return;
    }
    send_plain(sim, request);
}

static void
withdraw(Sim *sim, BenchRequest *request)
{
    for (uint32_t i = 0; i < sim->server_count; i++) {
        if (request->wants & 1U << i) {
            send(sim, request, i, EVENT_WITHDRAW, 0, SMALL_BYTES);
        }
    }
    request->wants = 0;
}

static void
report_end(Sim *sim, const BenchRequest *request, bool complete)
{
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnFinished(entry->places, entry->handles[request->server],
                     &request->work,
                     &(PlaceResult){
                         .dispatched_at = request->started,
                         .first_piece_at = request->first_piece,
                         .ended_at = sim->now,
                         .output_tokens = request->work.output_tokens,
                         .cached_tokens = request->cached,
                         .complete = complete,
                     },
                     sim->now);
}

void
SimEntry_Deadline(Sim *sim, uint32_t index)
{
    BenchRequest *request = sim_request(sim, index);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    end(sim, request, OUTCOME_LATE);
    withdraw(sim, request);
    if (request->server >= 0) {
        send(sim, request, (uint32_t)request->server, EVENT_CANCEL, 0,
             SMALL_BYTES);
        report_end(sim, request, false);
    }
}

void
SimEntry_Grant(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = sim_request(sim, event->request);
    if (request->outcome != OUTCOME_OPEN || request->server >= 0) {
        send(sim, request, event->server, EVENT_WITHDRAW, 0, SMALL_BYTES);
        return;
    }
    request->server = (int)event->server;
    request->started = sim->now;
    request->wants &= ~(1U << event->server);
    withdraw(sim, request);
    send(sim, request, event->server, EVENT_DISPATCH, event->number,
         body_bytes(request));
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnDispatched(entry->places, entry->handles[event->server],
                       &request->work, sim->now);
}

void
SimEntry_Refuse(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = sim_request(sim, event->request);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    bool of_dispatch = request->server == (int)event->server;
    if (!of_dispatch && request->server >= 0) {
        return;
    }
    SimEntry *entry = &sim->entries[request->entry];
    Place_OnRefused(entry->places, entry->handles[event->server],
                    &request->work, (RefuseReason)(event->number >> 32),
                    (uint32_t)event->number, sim->now);
    request->wants &= ~(1U << event->server);
    if (of_dispatch) {
        end(sim, request, OUTCOME_REFUSED);
    }
    else if (request->wants == 0) {
        offer(sim, request);
    }
}

void
SimEntry_First(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = sim_request(sim, event->request);
    if (request->first_piece == 0) {
        request->first_piece = sim->now;
    }
}

void
SimEntry_End(Sim *sim, const SimEvent *event)
{
    BenchRequest *request = sim_request(sim, event->request);
    if (request->outcome != OUTCOME_OPEN) {
        return;
    }
    bool complete = event->number != 0;
    end(sim, request, complete ? OUTCOME_GOOD : OUTCOME_LOST);
    report_end(sim, request, complete);
}

static void
take_report(const Sim *sim, SimEntry *entry, uint32_t server,
            const SimReport *report)
{
    PlaceHandle handle = entry->handles[server];
    entry->stale_load[server] = report->load;
    Place_OnReport(entry->places, handle, &report->state, sim->now);
    Place_UpdateCache(entry->places, handle,
                      (const uint64_t *)(void *)report->cached->data,
                      report->cached->len, true);
    Place_UpdateCache(entry->places, handle,
                      (const uint64_t *)(void *)report->dropped->data,
                      report->dropped->len, false);
}

void
SimEntry_Report(Sim *sim, const SimEvent *event)
{
    SimReport *report = event->data;
    SimEntry *entry = &sim->entries[event->number];
    if (entry->connected[event->server]) {
        take_report(sim, entry, event->server, report);
    }
    if (--report->readers == 0) {
        g_array_free(report->cached, TRUE);
        g_array_free(report->dropped, TRUE);
        g_free(report);
    }
}

/* Handles the loss of the link to a server. Requests dispatched to it end as
 * lost because their outcome is unknown. Requests whose only want is at this
 * server send wants to other servers. */
static void
lose_server(Sim *sim, uint32_t zone, uint32_t server)
{
    for (uint32_t i = 0; i < sim->requests->len; i++) {
        BenchRequest *request = sim_request(sim, i);
        if (request->arrival > sim->now) {
            break;
        }
        if (request->entry != zone || request->outcome != OUTCOME_OPEN) {
            continue;
        }
        if (request->server == (int)server) {
            end(sim, request, OUTCOME_LOST);
            report_end(sim, request, false);
        }
        else if (request->wants == 1U << server) {
            request->wants = 0;
            offer(sim, request);
        }
        request->wants &= ~(1U << server);
    }
}

void
SimEntry_Link(Sim *sim, uint32_t zone, uint32_t server, bool up)
{
    SimEntry *entry = &sim->entries[zone];
    if (entry->connected[server] == up) {
        return;
    }
    entry->connected[server] = up;
    Place_SetConnected(entry->places, entry->handles[server], up);
    if (!up) {
        lose_server(sim, zone, server);
        Queue_OnOwnerGone(sim->servers[server].queue, zone + 1, sim->now);
    }
}
