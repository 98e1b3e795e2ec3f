/** @file
 * The agent's queue: wants in tier order, then by deadline; grants while
 * slots are free; tombstones of refused and ended requests. Pure: the
 * caller passes the time and carries out the actions.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_H
#define LAURELLIFT_SCHED_QUEUE_H

#include <stddef.h>

#include "sched/work.h"

typedef struct WantQueue WantQueue;

typedef struct QueueConfig {
    uint32_t max_wants;
    uint32_t max_ended_ids;
    uint32_t slots; /**< Requests that the endpoint runs at once. */
    TimeUs grant_ttl;
    double prefill_tokens_s; /**< First guess; measured afterwards. */
    double decode_tokens_s;  /**< Of one stream. */
    uint64_t seed;           /**< Makes grant ids differ by incarnation. */
    /** Refuse work early that better work keeps from starting. For wants that
     * stand in several queues and end only when all refuse. */
    bool refuse_early;
    /** Requests that may be on their way to the endpoint beyond its slots, so
     * that a slot does not stand idle while its end and the next grant
     * travel. */
    uint32_t prefetch_requests;
    /** Only for wants that waited this long: others may yet find a free slot
     * elsewhere. */
    TimeUs prefetch_min_wait;
    /** Share of runs that the margin on predicted run times covers; 0: the
     * usual one. Lower where long work must not be refused on a guess. */
    double run_quantile;
    bool no_priority; /**< Switches for measurements. */
    bool no_deadline;
} QueueConfig;

typedef enum QueueActionKind {
    QUEUE_GRANT,
    QUEUE_REFUSE,
} QueueActionKind;

/** Something to send to the owner of a want. */
typedef struct QueueAction {
    QueueActionKind kind;
    RequestId id;
    uint64_t owner; /**< As passed to Queue_AddWant. */
    uint64_t grant_id;
    uint32_t ttl_ms;
    RefuseReason reason;
    uint32_t retry_after_ms;
} QueueAction;

/** What the agent saw of a request that ran. */
typedef struct QueueResult {
    TimeUs first_piece_at; /**< 0: none came. */
    uint32_t output_tokens;
    uint32_t cached_tokens;
    bool complete;
} QueueResult;

/** Figures for AgentState. */
typedef struct QueueState {
    uint32_t slots;
    uint32_t running;
    uint32_t granted;
    uint32_t queued;
    uint32_t queued_by_tier[WORK_TIERS];
    uint32_t queued_prompt_tokens;
    uint32_t queued_output_tokens;
    double prefill_tokens_s;
    double decode_tokens_s;
    double margin; /**< Factor on predicted run times. */
    uint32_t lowest_tier;
    uint32_t retry_after_ms;
    bool leaving;
} QueueState;

WantQueue *Queue_New(const QueueConfig *config);
void Queue_Free(WantQueue *queue);

/** Takes a want of @p owner (any number that names the entry's link). It is
 * granted or refused by an action, now or later. */
void Queue_AddWant(WantQueue *queue, const WorkSpec *work, uint64_t owner,
                   TimeUs now);

/** Forgets a want or an unused grant. */
void Queue_Withdraw(WantQueue *queue, RequestId id, uint64_t owner,
                    TimeUs now);

/** A dispatch has come.
 * @return REFUSE_NONE: the slot is taken and the request is to be run now.
 *         Anything else: it has not run and never will here. */
RefuseReason Queue_OnDispatch(WantQueue *queue, RequestId id,
                              uint64_t grant_id, TimeUs now);

/** The request ended, was cancelled or broke: its slot is free. */
void Queue_OnFinished(WantQueue *queue, RequestId id,
                      const QueueResult *result, TimeUs now);

/** The first piece of the answer came: prefill is over. */
void Queue_OnFirstPiece(WantQueue *queue, RequestId id, TimeUs now);

/** The owner's link is gone: forgets its wants and unused grants. */
void Queue_OnOwnerGone(WantQueue *queue, uint64_t owner, TimeUs now);

/** The target is gone: refuses the wants that wait for it. */
void Queue_RefuseTarget(WantQueue *queue, uint64_t target, TimeUs now);

/** While leaving, wants and dispatches are refused. */
void Queue_SetLeaving(WantQueue *queue, bool leaving, TimeUs now);

void Queue_SetSlots(WantQueue *queue, uint32_t slots, TimeUs now);

/** Prefix blocks that the endpoint cached or dropped. */
void Queue_UpdateCache(WantQueue *queue, const uint64_t *blocks,
                       uint32_t count, bool cached);
void Queue_ResetCache(WantQueue *queue);

/** Expires grants and hopeless wants; call it at Queue_NextTimer. */
void Queue_Tick(WantQueue *queue, TimeUs now);
TimeUs Queue_NextTimer(const WantQueue *queue);

/** Moves out up to @p capacity actions; call until it returns 0. */
size_t Queue_TakeActions(WantQueue *queue, QueueAction *actions,
                         size_t capacity);

void Queue_GetState(const WantQueue *queue, TimeUs now, QueueState *state);

#endif
