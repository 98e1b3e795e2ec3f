/** @file
 * State of one simulation run, shared by the modules of the policy bench.
 */
#ifndef LAURELLIFT_TEST_BENCH_POLICY_SIM_H
#define LAURELLIFT_TEST_BENCH_POLICY_SIM_H

#include "policy_engine.h"
#include "policy_events.h"
#include "sched/place.h"
#include "sched/queue.h"

typedef enum SimEventKind {
    EVENT_ARRIVAL,
    EVENT_DEADLINE,
    EVENT_WANT,
    EVENT_WITHDRAW,
    EVENT_GRANT,
    EVENT_REFUSE,
    EVENT_DISPATCH,
    EVENT_CANCEL,
    EVENT_FIRST_PIECE,
    EVENT_END,
    EVENT_ENGINE_DUE,
    EVENT_QUEUE_TIMER,
    EVENT_MAKE_REPORT,
    EVENT_REPORT,
    EVENT_UPDATE_SPEEDS,
    EVENT_UPDATE_LINKS,
} SimEventKind;

/** Load report and cache events of a server; all entries share one copy. */
typedef struct SimReport {
    PlaceReport state;
    uint32_t load;   /**< Requests at the engine, for ROUTING_LEAST_LOADED. */
    GArray *cached;  /**< Array of uint64_t: hashes of cached blocks. */
    GArray *evicted; /**< Array of uint64_t: hashes of evicted blocks. */
    uint32_t pending_receivers; /**< Entries that have not received it yet. */
} SimReport;

typedef struct SimServer {
    Engine *engine;
    WantQueue *queue;
    double speed;
    TimeUs timer_at;       /**< Time of the latest EVENT_QUEUE_TIMER. */
    uint64_t engine_event; /**< SimEvent.number of the latest EVENT_ENGINE_DUE;
                                earlier ones are ignored. */
    uint64_t report_sequence; /**< Sequence of the last load report. */
} SimServer;

typedef struct SimEntry {
    PlaceTable *places;
    PlaceHandle handles[SERVERS_MAX];
    bool connected[SERVERS_MAX];
    /** Load in the last report of each server. */
    uint32_t stale_load[SERVERS_MAX];
    uint32_t next_server; /**< Next server in round-robin order. */
} SimEntry;

typedef struct Sim {
    const Case *bench_case;
    const Policy *policy;
    TimeUs now;
    SimEvents events;
    GRand *rand;
    GArray *requests; /**< Array of BenchRequest. */
    uint32_t server_count;
    SimServer servers[SERVERS_MAX];
    SimEntry entries[ZONES];
    double region_bytes; /**< Bytes sent between the regions. */
} Sim;

static inline BenchRequest *
request_at(const Sim *sim, uint32_t index)
{
    return &g_array_index(sim->requests, BenchRequest, index);
}

static inline uint32_t
request_index(const BenchRequest *request)
{
    return (uint32_t)request->work.id.low - 1;
}

/** Sends a message between an entry and a server. The message is lost if their
 * zones are disconnected now. @p bytes count as region traffic if the two are
 * in different regions. */
void Sim_Send(Sim *sim, uint32_t entry, uint32_t server, double bytes,
              SimEvent event);

/* Functions of an entry. */
void SimEntry_OnArrival(Sim *sim, uint32_t request);
void SimEntry_OnDeadline(Sim *sim, uint32_t request);
void SimEntry_OnGrant(Sim *sim, const SimEvent *event);
void SimEntry_OnRefusal(Sim *sim, const SimEvent *event);
void SimEntry_OnFirstPiece(Sim *sim, const SimEvent *event);
void SimEntry_OnEnd(Sim *sim, const SimEvent *event);
void SimEntry_OnReport(Sim *sim, const SimEvent *event);
/** Sets the state of the link between an entry and a server. */
void SimEntry_SetConnected(Sim *sim, uint32_t entry, uint32_t server,
                           bool connected);

/* Functions of a server, which is an agent and its engine. */
void SimServer_Open(Sim *sim, uint32_t server);
void SimServer_Close(Sim *sim, uint32_t server);
void SimServer_OnEvent(Sim *sim, const SimEvent *event);
/** Sets the engine to the current speed of Sim_ServerSpeed. At speed 0 the
 * engine crashes. */
void SimServer_UpdateSpeed(Sim *sim, uint32_t server);

#endif
