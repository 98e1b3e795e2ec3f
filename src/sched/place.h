/** @file
 * Placement, in the entry: which agents get a want for a request, by the
 * predicted finish. Pure: the caller passes the time. No allocation after
 * Place_New and Place_Add.
 */
#ifndef LAURELLIFT_SCHED_PLACE_H
#define LAURELLIFT_SCHED_PLACE_H

#include <stddef.h>

#include "sched/work.h"

/** Most agents that get a want for one request. */
#define PLACE_WANTS_MAX 4
/** Most models of one endpoint. */
#define PLACE_TARGETS_MAX 16

typedef struct PlaceTable PlaceTable;

/** Handle of an endpoint in the table; a removed one no longer resolves. */
typedef struct PlaceHandle {
    uint32_t index;
    uint32_t generation; /**< 0 is no endpoint. */
} PlaceHandle;

typedef struct PlaceConfig {
    uint32_t capacity;     /**< Most endpoints. */
    uint32_t wants;        /**< Wants for one request. */
    uint64_t zone;         /**< Hash of this entry's zone. */
    uint64_t region;       /**< Hash of this entry's region. */
    TimeUs zone_latency;   /**< One way, between zones. */
    TimeUs region_latency; /**< One way, between regions. */
    double region_bytes_s; /**< Budget of the region link. */
    bool no_affinity;      /**< Switches for measurements. */
    bool no_speed;
    bool no_probe;
} PlaceConfig;

/** An endpoint as it announced itself. */
typedef struct PlaceEndpoint {
    uint64_t name; /**< Hash of its name. */
    uint64_t zone;
    uint64_t region;
    uint32_t target_count;
    uint64_t targets[PLACE_TARGETS_MAX]; /**< Work_TargetHash of each. */
} PlaceEndpoint;

/** The agent's last state report. It may be old. */
typedef struct PlaceReport {
    uint64_t sequence; /**< Older ones than the last are passed over. */
    uint32_t slots;
    uint32_t running;
    uint32_t queued;
    /** Of them, by tier. All 0: not known, each may be ahead. */
    uint32_t queued_by_tier[WORK_TIERS];
    uint32_t queued_prompt_tokens;
    uint32_t queued_output_tokens;
    double prefill_tokens_s;
    double decode_tokens_s; /**< Of one stream. */
    uint32_t lowest_tier;   /**< Lower tiers are refused there. */
    uint32_t retry_after_ms;
    bool leaving;
} PlaceReport;

/** What an entry saw of a request that ran. */
typedef struct PlaceResult {
    TimeUs dispatched_at;  /**< When dispatch was sent. */
    TimeUs first_piece_at; /**< 0: none came. */
    TimeUs ended_at;
    uint32_t output_tokens;
    uint32_t cached_tokens;
    bool complete;
} PlaceResult;

/** The outcome of Place_Pick. */
typedef struct PlaceChoice {
    uint32_t count;
    PlaceHandle endpoints[PLACE_WANTS_MAX]; /**< Best first. */
    TimeUs predicted_finish;                /**< Predicted, of the best. */
    RefuseReason reason;                    /**< When count is 0. */
    uint32_t retry_after_ms;                /**< When count is 0. */
    bool target_exists; /**< Some endpoint serves the target. */
} PlaceChoice;

PlaceTable *Place_New(const PlaceConfig *config);
void Place_Free(PlaceTable *table);

/** Adds an endpoint. ERR_FULL at the capacity. */
int Place_Add(PlaceTable *table, const PlaceEndpoint *endpoint, TimeUs now,
              PlaceHandle *handle);
void Place_Remove(PlaceTable *table, PlaceHandle handle);

/** Replaces the models that the endpoint has loaded. */
void Place_SetTargets(PlaceTable *table, PlaceHandle handle,
                      const uint64_t *targets, uint32_t count);

void Place_OnReport(PlaceTable *table, PlaceHandle handle,
                    const PlaceReport *report, TimeUs now);

/** Marks the endpoint usable or not, as its link comes and goes. */
void Place_SetConnected(PlaceTable *table, PlaceHandle handle, bool up);

/** Prefix blocks that the endpoint cached (@p cached) or dropped. */
void Place_UpdateCache(PlaceTable *table, PlaceHandle handle,
                       const uint64_t *blocks, uint32_t count, bool cached);
void Place_ResetCache(PlaceTable *table, PlaceHandle handle);

/** Chooses agents for @p work, or refuses it at once.
 * @return true when @p pick names at least one endpoint. */
bool Place_Pick(PlaceTable *table, const WorkSpec *work, TimeUs now,
                PlaceChoice *pick);

/** Chooses again after all wants of a request were refused.
 * @param refused  endpoints that refused it; they are left out. */
bool Place_PickAgain(PlaceTable *table, const WorkSpec *work, TimeUs now,
                     const PlaceHandle *refused, uint32_t refused_count,
                     PlaceChoice *pick);

/** Feedback of one request: dispatched there, refused there, ended there. */
void Place_OnDispatched(PlaceTable *table, PlaceHandle handle,
                        const WorkSpec *work, TimeUs now);
void Place_OnRefused(PlaceTable *table, PlaceHandle handle,
                     const WorkSpec *work, RefuseReason reason,
                     uint32_t retry_after_ms, TimeUs now);
void Place_OnFinished(PlaceTable *table, PlaceHandle handle,
                      const WorkSpec *work, const PlaceResult *result,
                      TimeUs now);

#endif
