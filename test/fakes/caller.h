/** @file
 * A caller's requests: what they ask for, and what was said in answer.
 */
#ifndef LAURELLIFT_TEST_FAKES_CALLER_H
#define LAURELLIFT_TEST_FAKES_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "wire/address.h"

typedef enum CallKind {
    CALL_DRAFT,  /**< Streamed model work. */
    CALL_LOOKUP, /**< Idempotent call of a plain service. */
    CALL_FILING, /**< Non-idempotent call of a plain service. */
} CallKind;

/** One request and its resends. */
typedef struct Call {
    CallKind kind;
    uint32_t number; /**< Makes the tag that endpoints record. */
    uint32_t tier;
    uint32_t attempt; /**< 1, 2, ... */
    uint32_t tokens;  /**< Of the answer, for drafts. */
    uint32_t prompt_bytes;
    int64_t sent_us;
    int64_t first_us; /**< First byte of the answer; 0: none. */
    GString *answer;
    struct CallerTool *tool;
    struct evhttp_request *request;
} Call;

/** Outcome of one attempt, as the caller understands it. */
typedef struct CallOutcome {
    int status;          /**< 0: the connection broke before an answer. */
    const char *outcome; /**< "ran", "not_run", "unknown" or "broken". */
    bool whole;          /**< The answer is complete and its own. */
    int retry_after_s;   /**< -1: no Retry-After header. */
} CallOutcome;

typedef struct CallerTool {
    struct event_base *base;
    GPtrArray *entries; /**< of Address */
    gchar *key;
    gchar *record; /**< File that gets one JSON line for each attempt. */
    gint deadline_ms;
    gint resends; /**< Most resends of a filing. */
    /** Called once for each attempt; true: the call will be sent again. */
    bool (*done)(struct CallerTool *tool, Call *call,
                 const CallOutcome *outcome);
} CallerTool;

/** Sends the call to one of the entries, chosen by its attempt number. */
void Caller_Send(CallerTool *tool, Call *call);

const char *Caller_KindName(CallKind kind);

/** Microseconds on the monotonic clock. */
int64_t Caller_Now(void);

#endif
