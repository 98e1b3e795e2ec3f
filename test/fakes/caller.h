/** @file
 * Requests of the load generator and the outcome of each attempt.
 */
#ifndef LAURELLIFT_TEST_FAKES_CALLER_H
#define LAURELLIFT_TEST_FAKES_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "wire/address.h"

typedef enum CallKind {
    CALL_DRAFT,  /**< Streamed chat completion. */
    CALL_LOOKUP, /**< Idempotent request to a plain service. */
    CALL_FILING, /**< Non-idempotent request to a plain service. */
} CallKind;

/** One request and all its attempts. */
typedef struct Call {
    CallKind kind;
    uint32_t number; /**< Part of the tag that endpoints record. */
    uint32_t tier;
    uint32_t attempt;       /**< Number of attempts sent so far. */
    uint32_t tokens;        /**< max_tokens of a draft. */
    uint32_t prompt_bytes;  /**< Length of the padding in a draft's prompt. */
    int64_t sent_us;        /**< Time at which the last attempt was sent. */
    int64_t first_piece_us; /**< Arrival of the first piece; 0 until then. */
    GString *answer;
    struct Caller *caller;
    struct evhttp_request *request;
} Call;

/** Outcome of one attempt as the caller sees it. */
typedef struct CallOutcome {
    int status;          /**< HTTP status; 0 when no answer was received. */
    const char *outcome; /**< "ran" for status 200. For another status, the
                              outcome in the error body: "ran", "not_run" or
                              "unknown"; "broken" when it has none. */
    bool complete;       /**< The answer is complete and has the call's tag. */
    int retry_after_s;   /**< Value of the Retry-After header; -1 without
                              one. */
} CallOutcome;

typedef struct Caller {
    struct event_base *base;
    GPtrArray *entries; /**< Array of Address. */
    gchar *key;
    gchar *record; /**< File that receives a JSON line for each attempt;
                        NULL for none. */
    gint deadline_ms;
    gint resends; /**< Maximum number of resends of one CALL_FILING request. */
    /** Called after each attempt. Returns true when the call will be sent
     * again; otherwise the call is freed. */
    bool (*on_outcome)(struct Caller *caller, Call *call,
                       const CallOutcome *outcome);
} Caller;

/** Sends the next attempt of the call. Successive attempts rotate through the
 * entries. */
void Caller_Send(Caller *caller, Call *call);

const char *Caller_KindName(CallKind kind);

/** Returns the monotonic time in microseconds. */
int64_t Caller_Now(void);

#endif
