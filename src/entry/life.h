/** @file
 * Life of one request as a pure state machine: events in, actions out. No
 * sockets, no clock, no allocation.
 *
 *     CLAIMING -> WANTING -> SPENT -> STREAMING -> (RECORDING) -> ENDED
 *
 * A request is SPENT from the moment before its dispatch is queued. A spent
 * request is never offered again, and is "not run" only when the incarnation
 * that it was dispatched to says so.
 */
#ifndef LAURELLIFT_ENTRY_LIFE_H
#define LAURELLIFT_ENTRY_LIFE_H

#include "sched/work.h"

/** Most agents that one request is offered to, over all rounds. */
#define LIFE_AGENTS_MAX 12
/** Rounds of wants before the request is given up. */
#define LIFE_WANT_ROUNDS_MAX 3
/** A grant is not used this short before it lapses. */
#define LIFE_GRANT_MARGIN_US (20 * US_PER_MS)
/** Longest wait for the same incarnation of an agent to come back. */
#define LIFE_RESUME_TIMEOUT_US (10 * US_PER_S)
/** Longest wait for the outcome of a claim to be recorded. */
#define LIFE_RECORD_TIMEOUT_US (2 * US_PER_S)
/** How long a non-idempotent request may run on without a caller. */
#define LIFE_CALLER_GONE_TIMEOUT_US (30 * US_PER_S)
#define LIFE_RETRY_AFTER_MS 1000

typedef enum LifeState {
    LIFE_CLAIMING,   /**< Waits for its claim. */
    LIFE_WANTING,    /**< Wants are out; nothing was dispatched. */
    LIFE_DISPATCHED, /**< Dispatched once; no answer yet. */
    LIFE_STREAMING,  /**< The head of the answer has come. */
    LIFE_RECORDING,  /**< The answer is whole; its claim is being recorded. */
    LIFE_ENDED,
} LifeState;

/** One incarnation of an agent. */
typedef struct LifeAgent {
    uint64_t agent; /**< Number of the agent in this entry; never reused. */
    uint64_t incarnation;
} LifeAgent;

typedef enum LifeEventKind {
    LIFE_ON_BEGIN,
    LIFE_ON_CLAIM,           /**< claim */
    LIFE_ON_WANTS_SENT,      /**< offered, want_agent_count, or reason;
                               REFUSE_NONE: all were tried before. */
    LIFE_ON_GRANT,           /**< agent, grant_id, grant_until, may_start */
    LIFE_ON_REFUSE,          /**< agent, grant_id, reason, retry_after_ms */
    LIFE_ON_DISPATCH_FAILED, /**< The dispatch was never queued. */
    LIFE_ON_HEAD,            /**< agent */
    LIFE_ON_PIECE,           /**< agent, offset, length */
    LIFE_ON_END,             /**< agent, end, length, hash_matches */
    LIFE_ON_UNKNOWN,         /**< agent: knows nothing of the request. */
    LIFE_ON_AGENT_DOWN,      /**< agent.agent */
    LIFE_ON_AGENT_UP,        /**< agent */
    LIFE_ON_RECORDED,        /**< The outcome of the claim is recorded. */
    LIFE_ON_TIMER,           /**< Life.timer_at has passed. */
    LIFE_ON_CALLER_GONE,
    LIFE_ON_SHED, /**< The entry needs the room for a higher tier. */
} LifeEventKind;

/** What the claim of a non-idempotent request met. */
typedef enum LifeClaimResult {
    LIFE_CLAIM_FAILED, /**< Not recorded; may be retried. */
    LIFE_CLAIM_GRANTED,
    LIFE_CLAIM_RUNNING,
    LIFE_CLAIM_FINISHED,
    LIFE_CLAIM_LOST,
    LIFE_CLAIM_MISMATCH,
} LifeClaimResult;

/** How the agent says that the request ended. */
typedef enum LifeEndOutcome {
    LIFE_END_COMPLETE,
    LIFE_END_BROKEN,
    LIFE_END_NOT_RUN, /**< The endpoint never received it. */
} LifeEndOutcome;

typedef struct LifeEvent {
    LifeEventKind kind;
    LifeAgent agent;
    uint64_t grant_id;
    TimeUs grant_until; /**< By this process's clock. */
    bool may_start;     /**< A rule lease is held now. */
    LifeClaimResult claim;
    RefuseReason reason;
    uint32_t retry_after_ms;
    uint64_t offset;
    uint64_t length;
    LifeEndOutcome end;
    bool hash_matches;
    const LifeAgent *want_agents;
    uint32_t want_agent_count;
} LifeEvent;

typedef enum LifeActionKind {
    LIFE_DO_CLAIM,
    LIFE_DO_SEND_WANTS, /**< Send wants; answer with LIFE_ON_WANTS_SENT. */
    LIFE_DO_WITHDRAW,   /**< agent */
    LIFE_DO_DISPATCH,   /**< agent, grant_id */
    LIFE_DO_CANCEL,     /**< agent */
    LIFE_DO_RESUME,     /**< agent, offset, have_head */
    LIFE_DO_HEAD,       /**< Pass the head on. */
    LIFE_DO_PIECE,  /**< Pass the piece on without its first offset bytes. */
    LIFE_DO_RECORD, /**< record */
    LIFE_DO_FINISH, /**< Give the whole answer its end. recorded */
    LIFE_DO_STORED_ANSWER, /**< Give the kept answer of the claim. */
    LIFE_DO_FAIL,          /**< failure, not_run, reason, retry_after_ms */
    LIFE_DO_END,           /**< Forget the request. Always the last action. */
} LifeActionKind;

typedef enum LifeClaimOutcome {
    LIFE_RECORD_DONE,
    LIFE_RECORD_RELEASE, /**< Proven not run. */
    LIFE_RECORD_UNKNOWN,
} LifeClaimOutcome;

typedef enum LifeFailure {
    LIFE_FAIL_REFUSED, /**< reason says why. */
    LIFE_FAIL_DEADLINE,
    LIFE_FAIL_NO_LEASE,
    LIFE_FAIL_LOST,   /**< The agent was lost after the dispatch. */
    LIFE_FAIL_BROKEN, /**< The answer failed or does not match its check. */
    LIFE_FAIL_CONTROL,
    LIFE_FAIL_CLAIM_RUNNING,
    LIFE_FAIL_CLAIM_LOST,
    LIFE_FAIL_CLAIM_MISMATCH,
} LifeFailure;

typedef struct LifeAction {
    LifeActionKind kind;
    LifeAgent agent;
    uint64_t grant_id;
    uint64_t offset;
    bool have_head;
    bool recorded;
    bool not_run;
    LifeClaimOutcome record;
    LifeFailure failure;
    RefuseReason reason;
    uint32_t retry_after_ms;
} LifeAction;

#define LIFE_ACTIONS_MAX (LIFE_AGENTS_MAX + 6)

typedef struct LifeActions {
    uint32_t count;
    LifeAction list[LIFE_ACTIONS_MAX];
} LifeActions;

typedef struct Life {
    LifeState state;
    bool started;
    bool needs_claim; /**< Non-idempotent: needs a claim. */
    bool claim_held;
    bool caller_gone;
    bool dispatched; /**< A dispatch may have left this process. */
    bool link_down;  /**< To the agent that it was dispatched to. */
    bool have_head;
    TimeUs deadline;
    TimeUs timer_at; /**< When LIFE_ON_TIMER is due. */
    uint64_t received_bytes;
    uint32_t want_rounds;
    uint32_t want_count;
    uint32_t tried_count;
    LifeAgent wants[LIFE_AGENTS_MAX];
    uint64_t tried[LIFE_AGENTS_MAX];
    LifeAgent dispatched_agent; /**< The agent that it was dispatched to. */
    uint64_t grant_id;
    RefuseReason last_reason; /**< Of the last want that was refused. */
    uint32_t last_retry_after_ms;
} Life;

/** Fills @p life; LIFE_ON_BEGIN starts it.
 * @param claims  the request is not idempotent. */
void Life_Init(Life *life, bool claims, TimeUs deadline);

/** Handles one event. @p actions is overwritten; the caller carries them
 * out in order. */
void Life_Step(Life *life, const LifeEvent *event, TimeUs now,
               LifeActions *actions);

/** True when the agent got a want of this request before. */
bool Life_WasTried(const Life *life, uint64_t agent);

/** Stable lower-case name, such as "wanting". */
const char *Life_StateName(LifeState state);

#endif
