/** @file
 * State of one run of the policy bench, shared by its modules.
 */
#ifndef LAURELLIFT_TEST_BENCH_POLICY_SIM_H
#define LAURELLIFT_TEST_BENCH_POLICY_SIM_H

#include "policy_engine.h"
#include "policy_events.h"
#include "sched/place.h"
#include "sched/queue.h"

typedef enum SimEventKind {
    EVENT_ARRIVE,
    EVENT_DEADLINE,
    EVENT_WANT,
    EVENT_WITHDRAW,
    EVENT_GRANT,
    EVENT_REFUSE,
    EVENT_DISPATCH,
    EVENT_CANCEL,
    EVENT_FIRST,
    EVENT_END,
    EVENT_ENGINE,
    EVENT_TIMER,
    EVENT_MAKE_REPORT,
    EVENT_REPORT,
    EVENT_FAULT,
    EVENT_LINKS,
} SimEventKind;

/** What a report carries to an entry. */
typedef struct SimReport {
    PlaceReport state;
    uint32_t load; /**< Requests in the engine, for the baselines. */
    GArray *cached;
    GArray *dropped;
    uint32_t readers; /**< Deliveries to come. */
} SimReport;

typedef struct SimServer {
    Engine *engine;
    WantQueue *queue;
    double speed;
    TimeUs timer; /**< Armed for. */
    uint64_t epoch;
    uint64_t reports;
} SimServer;

typedef struct SimEntry {
    PlaceTable *places;
    PlaceHandle handles[SERVERS_MAX];
    bool connected[SERVERS_MAX];
    uint32_t stale_load[SERVERS_MAX]; /**< As the last report said. */
    uint32_t next;                    /**< Of round robin. */
} SimEntry;

typedef struct Sim {
    const Case *bench_case;
    const Policy *policy;
    TimeUs now;
    SimEvents events;
    GRand *rand;
    GArray *requests; /**< of BenchRequest */
    uint32_t server_count;
    SimServer servers[SERVERS_MAX];
    SimEntry entries[ZONES];
    double region_bytes;
} Sim;

static inline BenchRequest *
sim_request(const Sim *sim, uint32_t index)
{
    return &g_array_index(sim->requests, BenchRequest, index);
}

static inline uint32_t
sim_index(const BenchRequest *request)
{
    return (uint32_t)request->work.id.low - 1;
}

/** Sends a message between an entry and a server; it arrives unless the
 * two are cut off. @p bytes are counted on the region link. */
void Sim_Send(Sim *sim, uint32_t entry, uint32_t server, double bytes,
              SimEvent event);

/** Entry side. */
void SimEntry_Arrive(Sim *sim, uint32_t request);
void SimEntry_Deadline(Sim *sim, uint32_t request);
void SimEntry_Grant(Sim *sim, const SimEvent *event);
void SimEntry_Refuse(Sim *sim, const SimEvent *event);
void SimEntry_First(Sim *sim, const SimEvent *event);
void SimEntry_End(Sim *sim, const SimEvent *event);
void SimEntry_Report(Sim *sim, const SimEvent *event);
/** An entry notices that a server came or went. */
void SimEntry_Link(Sim *sim, uint32_t entry, uint32_t server, bool up);

/** Server side: agent and engine. */
void SimServer_Open(Sim *sim, uint32_t server);
void SimServer_Close(Sim *sim, uint32_t server);
void SimServer_OnEvent(Sim *sim, const SimEvent *event);
/** Takes over the speed of now; at 0 the engine crashes. */
void SimServer_UpdateSpeed(Sim *sim, uint32_t server);

#endif
