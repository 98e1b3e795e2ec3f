/** @file
 * What a gateway knows of the waits at all engines of a service, from the
 * outlooks that their keepers send with grants and refusals. Decides which
 * keepers a request asks, whether any engine can still serve it, and when its
 * caller should come back.
 *
 * Meant for demand beyond the capacity of a pool of tens of engines, where a
 * search through all of them costs callers the time that they need to come
 * back. Without a view, with few engines and while half of the engines can
 * serve the request, it decides nothing. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_POOL_VIEW_H
#define LAURELLIFT_SCHED_POOL_VIEW_H

#include <stddef.h>

#include "sched/outlook.h"

/** Largest number of keepers that a request asks at once while the pool is
 * short of capacity. Pools of so few engines are searched without a view. */
#define POOL_WANTS_MAX 12
/** Largest number that a later round asks: all that may still serve it. */
#define POOL_CHOSEN_MAX 48
/** Age at which an outlook is ignored. */
#define POOL_OUTLOOK_TTL_US (1 * US_PER_S)

/** What a gateway knows of one engine. Zero-initialised: nothing. */
typedef struct EngineView {
    EngineOutlook outlook;
    TimeUs heard_at;     /**< 0 if its keeper told nothing. */
    TimeUs closed_until; /**< It takes no requests until then. */
} EngineView;

typedef enum EngineFit {
    ENGINE_UNKNOWN, /**< Nothing is known, or only what is too old. */
    ENGINE_IN_TIME,
    ENGINE_LATE,
} EngineFit;

/** Data of a request that the decisions use. */
typedef struct PoolRequest {
    uint64_t account; /**< Hash; 0 if no shares of accounts are kept. */
    uint32_t tier;
    uint32_t rank;
    uint32_t prompt_tokens;
    uint32_t output_tokens;         /**< Expected number. */
    uint32_t longest_output_tokens; /**< Upper bound; 0 if unknown. */
    TimeUs deadline;
    TimeUs first_deadline; /**< When the first piece is due; 0 if never. */
    TimeUs first_limit; /**< The caller gives up unless it has the first piece;
                           0 if only the deadline counts. */
} PoolRequest;

typedef struct PoolCandidate {
    const EngineView *view;
    bool usable; /**< Can be asked; otherwise it counts as an engine only. */
    bool preferred; /**< Capacity may be booked there for the request. */
    double cost_ms; /**< Balancer_CostMs() */
} PoolCandidate;

/** State of the search of one request. */
typedef struct PoolSearch {
    bool limited;     /**< The view has limited an earlier round. */
    bool hopeless;    /**< PoolChoice.hopeless of that round. */
    unsigned refused; /**< Keepers that refused the request. */
} PoolSearch;

typedef struct PoolChoice {
    /** The pool is short of capacity: exactly the keepers of @c chosen are to
     * be asked now. Otherwise the view decides nothing. */
    bool limited;
    /** In the first round: all engines are known to be late, so that the
     * search ends with the keepers that are asked now. */
    bool hopeless;
    size_t count;
    size_t
        chosen[POOL_CHOSEN_MAX]; /**< Positions of candidates, best first. */
    unsigned in_time; /**< Usable candidates by what is known of them. */
    unsigned unknown;
    unsigned late;
    TimeUs oldest_age; /**< Of the outlooks of the late ones. */
} PoolChoice;

/** Stores an outlook.
 * @param outlook  NULL if no class has a wait and the speeds are unchanged. */
void EngineView_OnOutlook(EngineView *view, const EngineOutlook *outlook,
                          TimeUs now);

/** Records that the engine takes no requests now. */
void EngineView_OnClosed(EngineView *view, TimeUs now);

/** Returns whether the engine can serve a request that is sent now.
 * @param lateness  time by which it would be late; valid for ENGINE_LATE. */
EngineFit EngineView_Judge(const EngineView *view, const PoolRequest *request,
                           TimeUs now, TimeUs *lateness);

/** Returns whether requests of the class of a request are known to wait at the
 * engine. */
bool EngineView_Waits(const EngineView *view, const PoolRequest *request,
                      TimeUs now);

/** Decides whom the request asks now. A first round asks engines that are
 * known to be late, too, since an outlook may be wrong; later rounds ask only
 * others, and none if the request is hopeless. An empty limited choice means
 * that no other engine can serve it. */
void PoolView_Choose(const PoolCandidate *candidates, size_t count,
                     const PoolRequest *request, const PoolSearch *search,
                     TimeUs now, PoolChoice *choice);

/** Returns the time after which an engine is expected to have capacity for a
 * refused request, in ms, or 0 if that is unknown or too late for its caller
 * to come back.
 * @param key  spreads callers; a hash of the request. */
uint32_t PoolView_BookingMs(const EngineView *view, const PoolRequest *request,
                            uint32_t key, TimeUs now);

/** Returns the time after which the caller of a refused request should come
 * back, in ms: the least wait of the view, and not before the time that the
 * keepers have named.
 * @param named_ms  least time in the refusals of keepers.
 * @param key  spreads callers; a hash of the request. */
uint32_t PoolView_ReturnMs(const PoolCandidate *candidates, size_t count,
                           const PoolRequest *request, uint32_t named_ms,
                           uint32_t key, TimeUs now);

#endif
