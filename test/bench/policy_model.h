/** @file
 * Types of the policy bench: cases, policies, requests and results. All times
 * are virtual.
 */
#ifndef LAURELLIFT_TEST_BENCH_POLICY_MODEL_H
#define LAURELLIFT_TEST_BENCH_POLICY_MODEL_H

#include <glib.h>

#include "sched/work.h"

#define ZONES 3
#define SERVERS_MAX 24
/** Requests that arrive before this time are not measured. */
#define MEASURE_START_US (40 * US_PER_S)
/** Requests that arrive at or after this time are not measured. */
#define MEASURE_END_US (220 * US_PER_S)
/** Arrivals end at this time. */
#define ARRIVALS_END_US (320 * US_PER_S)

/** Simulated deployment: its engines and its mix of requests. */
typedef enum Deployment {
    DEPLOYMENT_SAHIL,
    DEPLOYMENT_MILK,
} Deployment;

/** Load and faults of one benchmark case; every policy runs each case. */
typedef struct Case {
    const char *name;
    Deployment deployment;
    double load;         /**< Demand as a fraction of the capacity. */
    double burst_load;   /**< Load in 10 s of every 60 s; 0 means no bursts. */
    TimeUs report_lag;   /**< Delay of load reports and cache events. */
    TimeUs crash_period; /**< Time between engine crashes; 0 means none. */
    bool slow_engine; /**< One engine slows down to a quarter of its speed. */
    bool zone_lost;   /**< Zone 1 fails for a third of the measured time. */
    /** The regions are disconnected for a third of the measured time. */
    bool region_cut;
    double max_waste; /**< Bound on Result.waste; 0 means no bound. */
    bool in_short;    /**< Run with --short too. */
} Case;

/** Method by which an entry chooses an endpoint. */
typedef enum Routing {
    ROUTING_LAURELLIFT,
    ROUTING_RANDOM,
    ROUTING_ROUND_ROBIN,
    ROUTING_LEAST_LOADED, /**< Fewest requests in the last load report. */
} Routing;

typedef struct Policy {
    const char *name;
    Routing routing;
    bool no_affinity;
    bool no_speed;
    bool no_probe;
    bool no_priority;
    bool no_deadline;
} Policy;

typedef enum Outcome {
    OUTCOME_OPEN,
    OUTCOME_GOOD, /**< Answered in full by its deadline. */
    OUTCOME_REFUSED,
    OUTCOME_LATE,
    OUTCOME_LOST, /**< Its endpoint or link failed after dispatch. */
} Outcome;

typedef struct BenchRequest {
    WorkSpec work;
    TimeUs arrival;
    uint32_t entry; /**< Index of the receiving entry, equal to its zone. */
    Outcome outcome;
    TimeUs ended_at;
    int server; /**< Server it was dispatched to; -1 before that. */
    TimeUs dispatched_at;
    TimeUs first_piece_at;
    uint32_t prefilled;        /**< Prompt tokens computed for this request. */
    uint32_t cached_elsewhere; /**< Part of prefilled that another engine had
                                    cached. */
    uint32_t cached;        /**< Prompt tokens taken from the prefix cache. */
    uint32_t pending_wants; /**< Bit set of servers with a pending want. */
    uint32_t sent_wants; /**< Bit set of all servers that were sent a want. */
} BenchRequest;

typedef struct TierResult {
    uint32_t offered;
    uint32_t good;
    uint32_t refused;
    uint32_t late;
    uint32_t lost;
    double possible; /**< Requests that fit into the capacity. */
    double demand;   /**< Cost as a fraction of the capacity. */
} TierResult;

typedef struct Result {
    TierResult tiers[WORK_TIERS];
    double good;     /**< Fraction of all requests that are good. */
    double possible; /**< Upper bound of the member good. */
    /** Fraction of the computed prompt tokens that belong to unsuccessful
     * requests or were cached at another engine. */
    double waste;
    uint32_t inversions; /**< Requests shed in favor of a lower tier. */
    double region_bytes;
    uint64_t hash; /**< Hash of all outcomes and their times. */
} Result;

/** Returns the region of a zone: 0 for zones 0 and 1, 1 for zone 2. */
static inline uint32_t
region_of(uint32_t zone)
{
    return zone / 2;
}

/** Generates the requests of a case.
 * @return array of BenchRequest in order of arrival. */
GArray *Load_NewRequests(const Case *bench_case);

/** Runs @p requests under a policy and records their outcomes.
 * @return bytes sent between the regions. */
double Sim_Run(const Case *bench_case, const Policy *policy, GArray *requests);

uint32_t Sim_ServerCount(Deployment deployment);
uint32_t Sim_ServerZone(uint32_t server);
/** Returns the relative speed of a server at a time; 0 while it is down. */
double Sim_ServerSpeed(const Case *bench_case, uint32_t server, TimeUs now);
/** Returns whether two zones are connected at a time. */
bool Sim_Connected(const Case *bench_case, uint32_t a, uint32_t b, TimeUs now);

/** Sets the demand, and the upper bound of the goodput that a scheduler could
 * reach if it knew all requests and the capacity in advance. */
void Result_SetBound(const Case *bench_case, GArray *requests, Result *result);

/** Adds measurements of the finished requests to a result that Result_SetBound
 * has filled in. */
void Result_Measure(const Case *bench_case, GArray *requests, Result *result);

#endif
