/** @file
 * Simulation run of the policy bench: topology, faults, links and event loop.
 */
#include "policy_sim.h"

#define SEED 7
#define ZONE_LATENCY_US 500
#define REGION_LATENCY_US (30 * US_PER_MS)
#define LOCAL_LATENCY_US 100
#define REGION_BYTES_S (30e6 / 8)
#define FAULT_START_US (100 * US_PER_S)
#define FAULT_END_US (160 * US_PER_S)
#define LOST_ZONE 1
#define SLOW_SERVER 2
#define SLOW_FACTOR 0.25
#define CRASH_LENGTH_US (5 * US_PER_S)
/* Time until missing heartbeats reveal a lost link. */
#define LINK_DETECTION_US (1 * US_PER_S)

static const double generation_speed[] = {1.0, 1.75, 3.0};

uint32_t
Sim_ServerCount(Deployment deployment)
{
    return deployment == DEPLOYMENT_SAHIL ? 12 : 9;
}

uint32_t
Sim_ServerZone(uint32_t server)
{
    return server / 3 % ZONES;
}

static bool
in_fault_time(TimeUs now)
{
    return now >= FAULT_START_US && now < FAULT_END_US;
}

static bool
is_crashed(const Case *bench_case, uint32_t server, TimeUs now)
{
    TimeUs period = bench_case->crash_period;
    if (period == 0 || now < period || now % period >= CRASH_LENGTH_US) {
        return false;
    }
    uint32_t count = Sim_ServerCount(bench_case->deployment);
    return now / period * 5 % count == server;
}

double
Sim_ServerSpeed(const Case *bench_case, uint32_t server, TimeUs now)
{
    bool lost = bench_case->zone_lost && in_fault_time(now) &&
                Sim_ServerZone(server) == LOST_ZONE;
    if (lost || is_crashed(bench_case, server, now)) {
        return 0;
    }
    double speed = generation_speed[server % 3];
    bool slow = bench_case->slow_engine && server == SLOW_SERVER &&
                now >= FAULT_START_US;
    return slow ? speed * SLOW_FACTOR : speed;
}

bool
Sim_Connected(const Case *bench_case, uint32_t a, uint32_t b, TimeUs now)
{
    if (!in_fault_time(now)) {
        return true;
    }
    bool lost = bench_case->zone_lost && (a == LOST_ZONE || b == LOST_ZONE);
    bool cut = bench_case->region_cut && region_of(a) != region_of(b);
    return !lost && !cut;
}

void
Sim_Send(Sim *sim, uint32_t entry, uint32_t server, double bytes,
         SimEvent event)
{
    uint32_t zone = Sim_ServerZone(server);
    if (!Sim_Connected(sim->bench_case, entry, zone, sim->now)) {
        return;
    }
    TimeUs latency = LOCAL_LATENCY_US;
    if (region_of(zone) != region_of(entry)) {
        latency = REGION_LATENCY_US;
        sim->region_bytes += bytes;
    }
    else if (zone != entry) {
        latency = ZONE_LATENCY_US;
    }
    event.at = sim->now + latency;
    Events_Push(&sim->events, event);
}

static void
open_entry(Sim *sim, uint32_t zone)
{
    SimEntry *entry = &sim->entries[zone];
    entry->next_server = zone;
    entry->places = Place_New(&(PlaceConfig){
        .capacity = sim->server_count,
        .wants = 3,
        .zone = zone + 1,
        .region = region_of(zone) + 1,
        .zone_latency = ZONE_LATENCY_US,
        .region_latency = REGION_LATENCY_US,
        .region_bytes_s = REGION_BYTES_S,
        .no_affinity = sim->policy->no_affinity,
        .no_speed = sim->policy->no_speed,
        .no_probe = sim->policy->no_probe,
    });
    for (uint32_t i = 0; i < sim->server_count; i++) {
        uint32_t server_zone = Sim_ServerZone(i);
        Place_Add(entry->places,
                  &(PlaceEndpoint){
                      .name = i + 1,
                      .zone = server_zone + 1,
                      .region = region_of(server_zone) + 1,
                      .target_count = 1,
                      .targets = {Work_TargetHash(true, "model")},
                  },
                  0, &entry->handles[i]);
        SimEntry_SetConnected(sim, zone, i, true);
    }
}

/* Sets the state of every link from the topology. Runs LINK_DETECTION_US after
 * each change of the topology. */
static void
update_links(Sim *sim)
{
    for (uint32_t zone = 0; zone < ZONES; zone++) {
        for (uint32_t i = 0; i < sim->server_count; i++) {
            bool connected = Sim_Connected(sim->bench_case, zone,
                                           Sim_ServerZone(i), sim->now);
            SimEntry_SetConnected(sim, zone, i, connected);
        }
    }
}

static void
push_fault(Sim *sim, TimeUs at)
{
    Events_Push(&sim->events,
                (SimEvent){.at = at, .kind = EVENT_UPDATE_SPEEDS});
    Events_Push(&sim->events, (SimEvent){.at = at + LINK_DETECTION_US,
                                         .kind = EVENT_UPDATE_LINKS});
}

static void
push_faults(Sim *sim)
{
    push_fault(sim, FAULT_START_US);
    push_fault(sim, FAULT_END_US);
    TimeUs period = sim->bench_case->crash_period;
    for (TimeUs at = period; period > 0 && at < ARRIVALS_END_US; at += period)
    {
        push_fault(sim, at);
        push_fault(sim, at + CRASH_LENGTH_US);
    }
}

static void
handle_event(Sim *sim, const SimEvent *event)
{
    switch ((SimEventKind)event->kind) {
    case EVENT_ARRIVAL:
        SimEntry_OnArrival(sim, event->request);
        break;
    case EVENT_DEADLINE:
        SimEntry_OnDeadline(sim, event->request);
        break;
    case EVENT_GRANT:
        SimEntry_OnGrant(sim, event);
        break;
    case EVENT_REFUSE:
        SimEntry_OnRefusal(sim, event);
        break;
    case EVENT_FIRST_PIECE:
        SimEntry_OnFirstPiece(sim, event);
        break;
    case EVENT_END:
        SimEntry_OnEnd(sim, event);
        break;
    case EVENT_REPORT:
        SimEntry_OnReport(sim, event);
        break;
    case EVENT_UPDATE_SPEEDS:
        for (uint32_t i = 0; i < sim->server_count; i++) {
            SimServer_UpdateSpeed(sim, i);
        }
        break;
    case EVENT_UPDATE_LINKS:
        update_links(sim);
        break;
    default:
        SimServer_OnEvent(sim, event);
        break;
    }
}

static void
push_arrivals(Sim *sim)
{
    for (uint32_t i = 0; i < sim->requests->len; i++) {
        BenchRequest *request = request_at(sim, i);
        request->work.id.low = i + 1;
        Events_Push(&sim->events, (SimEvent){
                                      .at = request->arrival,
                                      .kind = EVENT_ARRIVAL,
                                      .request = i,
                                  });
    }
}

double
Sim_Run(const Case *bench_case, const Policy *policy, GArray *requests)
{
    Sim *sim = g_new0(Sim, 1);
    sim->bench_case = bench_case;
    sim->policy = policy;
    sim->requests = requests;
    sim->rand = g_rand_new_with_seed(SEED);
    sim->events.heap = g_array_new(FALSE, FALSE, sizeof(SimEvent));
    sim->server_count = Sim_ServerCount(bench_case->deployment);
    for (uint32_t i = 0; i < sim->server_count; i++) {
        SimServer_Open(sim, i);
    }
    for (uint32_t i = 0; i < ZONES; i++) {
        open_entry(sim, i);
    }
    push_arrivals(sim);
    push_faults(sim);
    SimEvent event;
    while (Events_Pop(&sim->events, &event)) {
        sim->now = event.at;
        handle_event(sim, &event);
    }
    double bytes = sim->region_bytes;
    for (uint32_t i = 0; i < sim->server_count; i++) {
        SimServer_Close(sim, i);
    }
    for (uint32_t i = 0; i < ZONES; i++) {
        Place_Free(sim->entries[i].places);
    }
    g_array_free(sim->events.heap, TRUE);
    g_rand_free(sim->rand);
    g_free(sim);
    return bytes;
}
