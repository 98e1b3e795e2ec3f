/** @file
 * State machine of one request in an entry. Each event yields a list of
 * actions. It performs no I/O, reads no clock and allocates no memory.
 *
 *     CLAIMING -> WANTING -> DISPATCHED -> STREAMING -> (RECORDING) -> ENDED
 *
 * The state becomes DISPATCHED before the dispatch is queued. A dispatched
 * request is never sent to another agent. A dispatched request is reported as
 * not run only if the dispatch could not be queued, or if the agent
 * incarnation that it was sent to reports that the request did not run.
 */
#ifndef LAURELLIFT_ENTRY_LIFE_H
#define LAURELLIFT_ENTRY_LIFE_H

#include "sched/work.h"

/** Maximum number of agents that receive a want for one request, over all
 * rounds. */
#define LIFE_AGENTS_MAX 12
/** Maximum number of rounds of wants for one request. */
#define LIFE_WANT_ROUNDS_MAX 3
/** A grant that expires within this time is withdrawn instead of used. */
#define LIFE_GRANT_MARGIN_US (20 * US_PER_MS)
/** Maximum time to wait until a disconnected agent reconnects with the same
 * incarnation. */
#define LIFE_RESUME_TIMEOUT_US (10 * US_PER_S)
/** Maximum time to wait until the outcome of a claim is recorded. */
#define LIFE_RECORD_TIMEOUT_US (2 * US_PER_S)
/** Time after its deadline for which a non-idempotent request may continue to
 * run, so that its answer can be stored. */
#define LIFE_CALLER_GONE_TIMEOUT_US (30 * US_PER_S)
/** Retry-after time of failures for which no agent suggested one. */
#define LIFE_RETRY_AFTER_MS 1000

typedef enum LifeState {
    LIFE_CLAIMING,   /**< Waiting for the reply to its claim. */
    LIFE_WANTING,    /**< Waiting for a grant; not dispatched. */
    LIFE_DISPATCHED, /**< Dispatched; the head of the answer is pending. */
    LIFE_STREAMING,  /**< The head of the answer was received. */
    LIFE_RECORDING,  /**< The answer is complete; waiting until the outcome of
                        the claim is recorded. */
    LIFE_ENDED,
} LifeState;

/** One incarnation of an agent. */
typedef struct LifeAgent {
    uint64_t agent; /**< Peer.number of the agent. */
    uint64_t incarnation;
} LifeAgent;

/** Kind of an event. "Sets" lists the members of LifeEvent that it sets. */
typedef enum LifeEventKind {
    LIFE_ON_BEGIN,
    LIFE_ON_CLAIM, /**< The claim was answered. Sets claim. */
    /** LIFE_DO_SEND_WANTS was carried out. Sets want_agents and
     * want_agent_count; if the count is 0, reason and retry_after_ms.
     * REFUSE_NONE: every suitable agent received a want before. */
    LIFE_ON_WANTS_SENT,
    LIFE_ON_GRANT,  /**< Sets agent, grant_id, grant_expires_at and
                       lease_valid. */
    LIFE_ON_REFUSE, /**< Sets agent, grant_id, reason and retry_after_ms. */
    LIFE_ON_DISPATCH_FAILED, /**< The dispatch could not be queued. */
    LIFE_ON_HEAD,            /**< Sets agent. */
    LIFE_ON_PIECE,           /**< Sets agent, offset and length. */
    LIFE_ON_END,             /**< Sets agent, end, length and hash_matches. */
    LIFE_ON_UNKNOWN,         /**< The agent has no record of the request. Sets
                                agent. */
    LIFE_ON_AGENT_DISCONNECTED, /**< An agent disconnected. Sets agent. */
    LIFE_ON_AGENT_CONNECTED,    /**< An agent connected. Sets agent. */
    LIFE_ON_RECORDED,           /**< The outcome of the claim is recorded. */
    LIFE_ON_TIMER,              /**< Life.timer_at has passed. */
    LIFE_ON_CALLER_DISCONNECTED,
    LIFE_ON_STOP, /**< The entry ends soon. Sets retry_after_ms. */
    LIFE_ON_SHED, /**< The entry is full and admits a request of a higher tier
                     instead. Sets retry_after_ms. */
} LifeEventKind;

/** Result of claiming a non-idempotent request. */
typedef enum LifeClaimResult {
    LIFE_CLAIM_FAILED,   /**< Not recorded; the caller may retry. */
    LIFE_CLAIM_GRANTED,  /**< This request may run. */
    LIFE_CLAIM_RUNNING,  /**< Another request with the key is running. */
    LIFE_CLAIM_FINISHED, /**< The answer for the key is stored. */
    LIFE_CLAIM_LOST,     /**< A request with the key ended with an unknown
                            outcome. */
    LIFE_CLAIM_MISMATCH, /**< The key was used with another body. */
} LifeClaimResult;

/** Outcome of a dispatched request as its agent reports it. */
typedef enum LifeEndOutcome {
    LIFE_END_COMPLETE,
    LIFE_END_BROKEN,  /**< The answer is incomplete. */
    LIFE_END_NOT_RUN, /**< The endpoint did not receive the request. */
} LifeEndOutcome;

typedef struct LifeEvent {
    LifeEventKind kind;
    LifeAgent agent;
    uint64_t grant_id;
    TimeUs
        grant_expires_at; /**< Grant expiry, by the clock of this process. */
    bool lease_valid;     /**< The entry holds a valid rule lease. */
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

/** Kind of an action. "Uses" lists the members of LifeAction that it uses. */
typedef enum LifeActionKind {
    LIFE_DO_CLAIM, /**< Request the claim. LIFE_ON_CLAIM reports the reply. */
    LIFE_DO_SEND_WANTS, /**< Send wants, then pass LIFE_ON_WANTS_SENT. */
    LIFE_DO_WITHDRAW,   /**< Withdraw the want or grant. Uses agent. */
    LIFE_DO_DISPATCH,   /**< Uses agent and grant_id. */
    LIFE_DO_CANCEL,     /**< Uses agent. */
    LIFE_DO_RESUME,     /**< Uses agent, offset and have_head. */
    LIFE_DO_HEAD,       /**< Send the head of the answer to the caller. */
    LIFE_DO_PIECE,      /**< Send the piece to the caller without its first
                           offset bytes. Uses offset. */
    LIFE_DO_RECORD,     /**< Record the outcome of the claim. Uses record. */
    LIFE_DO_FINISH,     /**< End the answer to the caller. Uses recorded. */
    LIFE_DO_STORED_ANSWER, /**< Send the stored answer of the claim. */
    LIFE_DO_FAIL, /**< Report a failure to the caller. Uses failure, not_run,
                     reason and retry_after_ms. */
    LIFE_DO_END,  /**< Free the request. Always the last action. */
} LifeActionKind;

/** Outcome that is recorded for a claim. */
typedef enum LifeClaimOutcome {
    LIFE_RECORD_DONE,    /**< Answered; the answer is stored. */
    LIFE_RECORD_RELEASE, /**< Did not run; the key may be claimed again. */
    LIFE_RECORD_UNKNOWN,
} LifeClaimOutcome;

typedef enum LifeFailure {
    LIFE_FAIL_REFUSED, /**< Refused for LifeAction.reason. */
    LIFE_FAIL_DEADLINE,
    LIFE_FAIL_NO_LEASE,
    LIFE_FAIL_STOPPING, /**< The entry ends before the request was sent. */
    LIFE_FAIL_LOST,     /**< No complete answer in time after the dispatch. */
    LIFE_FAIL_BROKEN,   /**< The answer is incomplete or has a wrong hash. */
    LIFE_FAIL_CONTROL,  /**< The claim could not be recorded. */
    LIFE_FAIL_CLAIM_RUNNING,
    LIFE_FAIL_CLAIM_LOST,
    LIFE_FAIL_CLAIM_MISMATCH,
} LifeFailure;

typedef struct LifeAction {
    LifeActionKind kind;
    LifeAgent agent;
    uint64_t grant_id;
    uint64_t offset; /**< LIFE_DO_RESUME: first byte that is missing.
                        LIFE_DO_PIECE: number of bytes to skip. */
    bool have_head;  /**< The head of the answer was received. */
    bool recorded;   /**< The outcome of the claim is recorded, or there is no
                        claim. */
    bool not_run;    /**< The request is proven not to have run. */
    LifeClaimOutcome record;
    LifeFailure failure;
    RefuseReason reason;
    uint32_t retry_after_ms;
} LifeAction;

/** Maximum number of actions of one event: one withdrawal per agent, and up to
 * six others. */
#define LIFE_ACTIONS_MAX (LIFE_AGENTS_MAX + 6)

typedef struct LifeActions {
    uint32_t count;
    LifeAction list[LIFE_ACTIONS_MAX];
} LifeActions;

typedef struct Life {
    LifeState state;
    bool started;
    bool needs_claim; /**< The request is not idempotent. */
    bool claim_held;  /**< Also true while the reply to the claim is
                         pending. */
    bool caller_gone; /**< Disconnected, or was already sent a failure. */
    bool dispatched;  /**< A dispatch may have been sent. */
    bool agent_disconnected; /**< No link to dispatched_agent. */
    bool have_head;
    TimeUs deadline;
    TimeUs timer_at; /**< Time at which LIFE_ON_TIMER is due. */
    uint64_t received_bytes;
    uint32_t want_rounds;
    uint32_t want_count;
    uint32_t wanted_agent_count;
    LifeAgent wants[LIFE_AGENTS_MAX]; /**< Agents with an open want. */
    uint64_t
        wanted_agents[LIFE_AGENTS_MAX]; /**< Agents that received a want. */
    LifeAgent dispatched_agent;
    uint64_t grant_id;            /**< Grant used by the dispatch. */
    RefuseReason last_reason;     /**< Reason of the last refused want. */
    uint32_t last_retry_after_ms; /**< Retry-after of the last refused want. */
} Life;

/** Initializes @p life. LIFE_ON_BEGIN then starts the request.
 * @param needs_claim  true if the request is not idempotent. */
void Life_Init(Life *life, bool needs_claim, TimeUs deadline);

/** Handles one event.
 * @param actions  overwritten by the actions to carry out, in order. */
void Life_Step(Life *life, const LifeEvent *event, TimeUs now,
               LifeActions *actions);

/** Returns true if the agent has received a want for this request. */
bool Life_HasSentWant(const Life *life, uint64_t agent);

/** Returns the lower-case name of a state, such as "wanting". The names are
 * stable. */
const char *Life_StateName(LifeState state);

#endif
