/** @file
 * Terms of the policy bench: cases, policies, requests and their outcomes.
 * All times are virtual.
 */
#ifndef LAURELLIFT_TEST_BENCH_POLICY_MODEL_H
#define LAURELLIFT_TEST_BENCH_POLICY_MODEL_H

#include <glib.h>

#include "sched/work.h"

#define ZONES 3
#define SERVERS_MAX 24
/** Requests that arrive before this are not measured. */
#define WARM_UP (40 * US_PER_S)
/** Requests that arrive from this on are not measured. */
#define COOL_DOWN (220 * US_PER_S)
/** Requests arrive until this. */
#define RUN_END (320 * US_PER_S)

typedef enum Office {
    OFFICE_SAHIL,
    OFFICE_MILK,
} Office;

/** One situation that every policy is run in. */
typedef struct Case {
    const char *name;
    Office office;
    double load;         /**< Demand, as a share of the capacity. */
    double burst;        /**< Load factor in 10 s of every 60 s. 0: none. */
    TimeUs report_lag;   /**< Age of load reports and cache events. */
    TimeUs crash_period; /**< An engine crashes this often. 0: never. */
    bool slow_engine;    /**< One engine runs at a quarter of its speed. */
    bool zone_lost;      /**< Zone 1 is gone for a third of the run. */
    bool region_cut;     /**< The region link is cut for a third of it. */
    double max_waste;    /**< Bound on wasted prefill. 0: none. */
    bool in_short;       /**< Part of the short form. */
} Case;

/** How requests are routed. */
typedef enum Routing {
    ROUTING_LAURELLIFT,
    ROUTING_RANDOM,
    ROUTING_ROUND_ROBIN,
    ROUTING_LEAST, /**< Least outstanding by stale reports. */
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

/** What became of a request. */
typedef enum Outcome {
    OUTCOME_OPEN,
    OUTCOME_GOOD, /**< Whole by its deadline. */
    OUTCOME_REFUSED,
    OUTCOME_LATE,
    OUTCOME_LOST, /**< Its endpoint or link failed after dispatch. */
} Outcome;

typedef struct BenchRequest {
    WorkSpec work;
    TimeUs arrival;
    uint32_t entry; /**< Same number as its zone. */
    Outcome outcome;
    TimeUs ended;
    int server; /**< Dispatched to. -1: to none. */
    TimeUs started;
    TimeUs first_piece;
    uint32_t prefilled; /**< Prompt tokens computed for it. */
    uint32_t sparable;  /**< Those that some engine had cached. */
    uint32_t cached;
    uint32_t wants; /**< Bit set of servers. */
    uint32_t tried; /**< Servers that ever got a want. */
} BenchRequest;

typedef struct TierResult {
    uint32_t offered;
    uint32_t good;
    uint32_t refused;
    uint32_t late;
    uint32_t lost;
    double possible; /**< Requests that full knowledge finishes. */
    double demand;   /**< Share of the capacity. */
} TierResult;

typedef struct Result {
    TierResult tiers[WORK_TIERS];
    double good;     /**< Of all offered. */
    double possible; /**< Of all offered. */
    double waste;    /**< Share of prefill tokens. */
    uint32_t inversions;
    double region_bytes;
    uint64_t hash; /**< Of all outcomes. */
} Result;

/** Zone of a server or entry. Zones 0 and 1 are region 0. */
static inline uint32_t
region_of(uint32_t zone)
{
    return zone / 2;
}

/** Requests of a case, in order of arrival (of BenchRequest). */
GArray *Load_New(const Case *bench_case);

/** Runs @p requests under a policy and records their outcomes.
 * @return bytes over the region link. */
double Sim_Run(const Case *bench_case, const Policy *policy, GArray *requests);

/** Engines of an office. */
uint32_t Sim_ServerCount(Office office);
uint32_t Sim_ServerZone(uint32_t server);
/** Speed of a server at a time; 0 while it is down. */
double Sim_ServerSpeed(const Case *bench_case, uint32_t server, TimeUs now);
/** Whether two zones can talk at a time. */
bool Sim_Connected(const Case *bench_case, uint32_t a, uint32_t b, TimeUs now);

/** Fills in the demand and what full knowledge could finish. */
void Result_Bound(const Case *bench_case, GArray *requests, Result *result);

/** Adds the measures of finished requests to a result of Result_Bound. */
void Result_Measure(const Case *bench_case, GArray *requests, Result *result);

#endif
