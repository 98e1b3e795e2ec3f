/** @file
 * HTTP helpers that every role's evhttp server shares: JSON answers, typed
 * errors, and the pages /healthz, /readyz, /metrics and /debug/state.
 */
#ifndef LAURELLIFT_WIRE_HTTP_H
#define LAURELLIFT_WIRE_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <jansson.h>

#include "kernel/error.h"
#include "wire/address.h"

/** Error answer: `{"error": {"code", "message", "outcome"}}`. */
typedef struct HttpError {
    int status;              /**< HTTP status. */
    const char *code;        /**< Stable name, such as "deadline". */
    const char *message;     /**< One sentence. */
    const char *outcome;     /**< "not_run", "ran" or "unknown". */
    uint32_t retry_after_ms; /**< 0: no Retry-After header. */
} HttpError;

/** Sends @p body as JSON and takes its reference. */
void Http_ReplyJson(struct evhttp_request *request, int status, json_t *body);

void Http_ReplyError(struct evhttp_request *request, const HttpError *error);

/** Whole seconds for a Retry-After header, rounded up, at least 1. */
uint32_t Http_RetryAfterSeconds(uint32_t retry_after_ms);

/** Whole body as a NUL-terminated string to be freed with g_free.
 * @param length  set to the length without the NUL; may be NULL. */
char *Http_Body(struct evhttp_request *request, size_t *length);

/** Opens a server at @p address with the shared pages.
 * @param ready  answers /readyz; NULL: always ready. */
struct evhttp *Http_Listen(struct event_base *base, const Address *address,
                           bool (*ready)(void *owner), void *owner,
                           Error *err);

#endif
