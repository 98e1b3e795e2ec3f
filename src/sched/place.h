/** @file
 * Placement in an entry: selects the agents that receive a want for a request,
 * by predicted finish time. Has no I/O and reads no clock: the caller passes
 * the time. Only Place_New, Place_Add and Place_SetTargets allocate memory.
 */
#ifndef LAURELLIFT_SCHED_PLACE_H
#define LAURELLIFT_SCHED_PLACE_H

#include <stddef.h>

#include "sched/work.h"

/** Maximum number of agents that receive a want for one request. */
#define PLACE_WANTS_MAX 4
/** Maximum number of targets of one endpoint. */
#define PLACE_TARGETS_MAX 16

typedef struct PlaceTable PlaceTable;

/** Handle of an endpoint in the table. Functions ignore the handle of a
 * removed endpoint. */
typedef struct PlaceHandle {
    uint32_t index;
    uint32_t generation; /**< 0 in a handle that refers to no endpoint. */
} PlaceHandle;

typedef struct PlaceConfig {
    uint32_t capacity;     /**< Maximum number of endpoints. */
    uint32_t wants;        /**< Number of wants per request. */
    uint64_t zone;         /**< Hash of this entry's zone. */
    uint64_t region;       /**< Hash of this entry's region. */
    TimeUs zone_latency;   /**< One-way latency between zones. */
    TimeUs region_latency; /**< One-way latency between regions. */
    double region_bytes_s; /**< Budget for requests to other regions, in
                              bytes/s; 0: no limit. */
    /** Switches for measurements: ignore cached prefixes, use the mean speed
     * for all endpoints, send no wants as probes. */
    bool no_affinity;
    bool no_speed;
    bool no_probe;
} PlaceConfig;

/** An endpoint as it announced itself. */
typedef struct PlaceEndpoint {
    uint64_t name;   /**< Hash of the endpoint's name. */
    uint64_t zone;   /**< Hash of the endpoint's zone. */
    uint64_t region; /**< Hash of the endpoint's region. */
    uint32_t target_count;
    uint64_t targets[PLACE_TARGETS_MAX]; /**< Work_TargetHash values. */
} PlaceEndpoint;

/** The last state report of an agent, which may be outdated. */
typedef struct PlaceReport {
    uint64_t sequence; /**< A report without a higher one is ignored. */
    uint32_t slots;
    uint32_t running;
    uint32_t queued;
    /** Queued requests by tier. If all are 0, the tiers are unknown and every
     * queued request counts as granted before a new one. */
    uint32_t queued_by_tier[WORK_TIERS];
    uint32_t queued_prompt_tokens;
    uint32_t queued_output_tokens;
    double prefill_tokens_s;
    double decode_tokens_s; /**< Speed of one stream. */
    uint32_t lowest_tier;   /**< Lowest tier (highest number) that the agent
                               accepts. */
    uint32_t retry_after_ms;
    bool leaving;
} PlaceReport;

/** Measurements that the entry made of a finished request. */
typedef struct PlaceResult {
    TimeUs dispatched_at;  /**< Time at which the dispatch was sent. */
    TimeUs first_piece_at; /**< 0 if no piece arrived. */
    TimeUs ended_at;
    uint32_t output_tokens;
    uint32_t cached_tokens;
    bool complete;
} PlaceResult;

/** Result of Place_Pick. */
typedef struct PlaceChoice {
    uint32_t count;
    PlaceHandle
        endpoints[PLACE_WANTS_MAX]; /**< In order of score, best first. */
    TimeUs predicted_finish;        /**< Prediction for the best endpoint. */
    RefuseReason reason;            /**< Valid when count is 0. */
    uint32_t retry_after_ms;        /**< Valid when count is 0. */
    bool target_exists; /**< At least one endpoint serves the target. */
} PlaceChoice;

PlaceTable *Place_New(const PlaceConfig *config);
void Place_Free(PlaceTable *table);

/** Adds an endpoint.
 * @return ERR_FULL if the table has reached its capacity. */
int Place_Add(PlaceTable *table, const PlaceEndpoint *endpoint, TimeUs now,
              PlaceHandle *handle);
void Place_Remove(PlaceTable *table, PlaceHandle handle);

/** Replaces the targets that the endpoint serves. */
void Place_SetTargets(PlaceTable *table, PlaceHandle handle,
                      const uint64_t *targets, uint32_t count);

void Place_OnReport(PlaceTable *table, PlaceHandle handle,
                    const PlaceReport *report, TimeUs now);

/** Records whether the link to the endpoint's agent is connected. Only
 * connected endpoints are chosen. */
void Place_SetConnected(PlaceTable *table, PlaceHandle handle, bool connected);

/** Records prefix blocks that the endpoint cached (@p cached) or evicted. */
void Place_UpdateCache(PlaceTable *table, PlaceHandle handle,
                       const uint64_t *blocks, uint32_t count, bool cached);
void Place_ResetCache(PlaceTable *table, PlaceHandle handle);

/** Selects the agents that receive a want for @p work, or refuses it.
 * @return true if @p pick holds at least one endpoint. */
bool Place_Pick(PlaceTable *table, const WorkSpec *work, TimeUs now,
                PlaceChoice *pick);

/** Selects agents again after all wants of a request were refused.
 * @param refused  endpoints that refused the request and are excluded. */
bool Place_PickAgain(PlaceTable *table, const WorkSpec *work, TimeUs now,
                     const PlaceHandle *refused, uint32_t refused_count,
                     PlaceChoice *pick);

/** Record that a request was dispatched to an endpoint, was refused by it, or
 * finished there. */
void Place_OnDispatched(PlaceTable *table, PlaceHandle handle,
                        const WorkSpec *work, TimeUs now);
void Place_OnRefused(PlaceTable *table, PlaceHandle handle,
                     const WorkSpec *work, RefuseReason reason,
                     uint32_t retry_after_ms, TimeUs now);
void Place_OnFinished(PlaceTable *table, PlaceHandle handle,
                      const WorkSpec *work, const PlaceResult *result,
                      TimeUs now);

#endif
