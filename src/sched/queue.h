/** @file
 * The request queue of an agent. Orders wants by tier, rank and deadline,
 * grants them while slots are free, and stores the ids of refused and ended
 * requests to detect duplicates. Has no I/O and reads no clock: the caller
 * passes the time and executes the queued actions.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_H
#define LAURELLIFT_SCHED_QUEUE_H

#include <stddef.h>

#include "sched/fair_accounts.h"
#include "sched/outlook.h"
#include "sched/work.h"

typedef struct WantQueue WantQueue;

typedef struct QueueConfig {
    uint32_t max_wants;
    uint32_t max_ended_ids;
    uint32_t slots; /**< Number of concurrent requests at the endpoint. */
    TimeUs grant_ttl;
    double prefill_tokens_s; /**< Initial estimate. */
    double decode_tokens_s;  /**< Initial estimate, per stream. */
    uint64_t seed; /**< First grant id; must differ between incarnations. */
    /** Refuses a want as soon as requests of higher tier or rank are expected
     * to prevent it from ending before its deadline. Meant for wants that are
     * queued at several agents and fail only when all of them refuse. */
    bool refuse_early;
    /** Number of requests granted in addition to the slots, so that a slot
     * does not idle while its completion and the next grant are in transit. */
    uint32_t prefetch_requests;
    /** Minimum wait of a want before it is prefetched. Until then another
     * endpoint may still offer it a free slot. */
    TimeUs prefetch_min_wait;
    /** Quantile of measured run times that the margin on predicted run times
     * covers; 0 selects the default. A lower value gives a smaller margin, so
     * that fewer long requests are refused because their run time is
     * uncertain. */
    double run_quantile;
    /** Lets short requests of a lower rank go ahead while they are served less
     * often than higher ranks of their tier (fair_ranks.h). */
    bool fair_ranks;
    /** Grants requests beyond the share of their account after those within
     * a share (fair_accounts.h). Wants without an account are ordered as
     * without this switch. */
    bool fair_accounts;
    /** Switches for measurements: grant in order of arrival, refuse no want
     * because of its deadline. */
    bool no_priority;
    bool no_deadline;
} QueueConfig;

typedef enum QueueActionKind {
    QUEUE_GRANT,
    QUEUE_REFUSE,
} QueueActionKind;

/** A message to send to the owner of a want. */
typedef struct QueueAction {
    QueueActionKind kind;
    RequestId id;
    uint64_t owner; /**< Value that was passed to Queue_AddWant. */
    uint64_t grant_id;
    uint32_t ttl_ms; /**< Time until the grant expires. */
    RefuseReason reason;
    uint32_t retry_after_ms;
    uint64_t account;         /**< Of the want; 0 without shares. */
    AccountStanding standing; /**< Of the account; of refusals only. */
} QueueAction;

/** Measurements of a finished request. */
typedef struct QueueResult {
    TimeUs first_piece_at; /**< 0 if no piece arrived. */
    uint32_t output_tokens;
    uint32_t cached_tokens;
    bool complete;
} QueueResult;

/** Load of the queue, as reported in AgentState. */
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
    double rate_limit;    /**< Requests per second; 0 without a limit. */
    double margin;        /**< Safety factor applied to predicted run times. */
    uint32_t lowest_tier; /**< Entries should send no wants of lower tiers. */
    uint32_t retry_after_ms;
    uint32_t booked; /**< Bookings that wait for their requests. */
    bool leaving;
} QueueState;

WantQueue *Queue_New(const QueueConfig *config);
void Queue_Free(WantQueue *queue);

/** Adds a want. An action grants or refuses it, immediately or later.
 * @param owner  any number that identifies the link of the sender. */
void Queue_AddWant(WantQueue *queue, const WorkSpec *work, uint64_t owner,
                   TimeUs now);

/** Keeps capacity free for a request whose caller was told to come back at @p
 * from (bookings.h).
 * @return false if too much is booked for that time. */
bool Queue_Book(WantQueue *queue, const WorkSpec *work, TimeUs from,
                TimeUs now);

/** Removes a want or an unused grant that its owner has withdrawn. */
void Queue_Withdraw(WantQueue *queue, RequestId id, uint64_t owner,
                    TimeUs now);

/** Processes a dispatch.
 * @return REFUSE_NONE if the slot is reserved and the caller must run the
 *         request now. Any other value means that the request has not run and
 *         will never run here. */
RefuseReason Queue_OnDispatch(WantQueue *queue, RequestId id,
                              uint64_t grant_id, TimeUs now);

/** Frees the slot of a request that completed, failed or was cancelled. */
void Queue_OnFinished(WantQueue *queue, RequestId id,
                      const QueueResult *result, TimeUs now);

/** Records the first piece of the answer, which ends the prefill phase. */
void Queue_OnFirstPiece(WantQueue *queue, RequestId id, TimeUs now);

/** Removes the wants and unused grants of an owner whose link disconnected. */
void Queue_OnOwnerDisconnected(WantQueue *queue, uint64_t owner, TimeUs now);

/** Refuses the waiting requests for a target that is no longer served. */
void Queue_RefuseTarget(WantQueue *queue, uint64_t target, TimeUs now);

/** Starts or ends draining. A draining queue refuses wants and dispatches. */
void Queue_SetLeaving(WantQueue *queue, bool leaving, TimeUs now);

void Queue_SetSlots(WantQueue *queue, uint32_t slots, TimeUs now);

/** Sets the memory of the engine in tokens; 0 if it is unknown. Requests are
 * granted only while all that the engine holds fit with their longest outputs,
 * since an engine that holds more than its memory ends. */
void Queue_SetMemory(WantQueue *queue, uint64_t tokens, TimeUs now);

/** Applies an answer of the endpoint that names a rate limit, or none (0).
 * Requests are granted at that rate.
 * @return true when the limit began, changed or ended. */
bool Queue_OnNamedRate(WantQueue *queue, double rate, TimeUs sent_at,
                       TimeUs now);
/** Grants nothing for a time that the endpoint asks for.
 * @return true when its rest begins or gets longer. */
bool Queue_OnRest(WantQueue *queue, uint32_t ms, TimeUs now);
/** Applies an answer that does not refuse its request: after a rest, requests
 * return by and by. */
void Queue_OnServed(WantQueue *queue, TimeUs now);
/** Ends the rate limit and the rest, as the endpoint was replaced. */
void Queue_ResetRate(WantQueue *queue, TimeUs now);
/** Does not count a granted request against the rate, since it was not sent.
 */
void Queue_OnUnsent(WantQueue *queue, TimeUs now);

/** Records prefix blocks that the endpoint cached (@p cached) or evicted. */
void Queue_UpdateCache(WantQueue *queue, const uint64_t *blocks,
                       uint32_t count, bool cached);
void Queue_ResetCache(WantQueue *queue);

/** Ends expired grants and refuses wants that cannot meet their deadline. Must
 * be called at the time that Queue_NextTimer returns. */
void Queue_Tick(WantQueue *queue, TimeUs now);
TimeUs Queue_NextTimer(const WantQueue *queue);

/** Moves up to @p capacity actions to @p actions. Must be called until it
 * returns 0. */
size_t Queue_TakeActions(WantQueue *queue, QueueAction *actions,
                         size_t capacity);

/** Predicts the waits of new requests, from the plan that refuses late
 * ones. */
void Queue_GetOutlook(const WantQueue *queue, TimeUs now,
                      EngineOutlook *outlook);

/** Predicts by how much a want that is added now would be late; 0 or less
 * means that it would be served. */
TimeUs Queue_PredictLateness(const WantQueue *queue, const WorkSpec *work,
                             TimeUs now);

void Queue_GetState(const WantQueue *queue, TimeUs now, QueueState *state);

/** Returns the number of pairs of account and tier that have a share. */
unsigned Queue_CountAccounts(const WantQueue *queue);

#endif
