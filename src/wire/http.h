/** @file
 * HTTP helpers for the evhttp servers of all roles: JSON and error responses,
 * and the pages /healthz, /readyz, /metrics and /debug/state.
 */
#ifndef LAURELLIFT_WIRE_HTTP_H
#define LAURELLIFT_WIRE_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <jansson.h>

#include "kernel/error.h"
#include "wire/address.h"

/** Error response: `{"error": {"code", "message", "outcome"}}`. */
typedef struct HttpError {
    int status;              /**< HTTP status code. */
    const char *code;        /**< Stable error name, such as "deadline". */
    const char *message;     /**< Explanation in one sentence. */
    const char *outcome;     /**< Whether the request ran: "not_run", "ran" or
                              * "unknown". */
    uint32_t retry_after_ms; /**< 0 omits the Retry-After header. */
} HttpError;

/** Sends @p body as JSON and releases it. */
void Http_ReplyJson(struct evhttp_request *request, int status, json_t *body);

void Http_ReplyError(struct evhttp_request *request, const HttpError *error);

/** Converts milliseconds to the seconds of a Retry-After header. Rounds up
 * and returns at least 1. */
uint32_t Http_RetryAfterSeconds(uint32_t retry_after_ms);

/** Returns the whole request body as a NUL-terminated string, to be freed with
 * g_free.
 * @param length  set to the length without the NUL, unless NULL. */
char *Http_Body(struct evhttp_request *request, size_t *length);

typedef void HttpHandler(struct evhttp_request *request, void *arg);

/** Sets the handler of the requests to @p path, or of all that no other
 * handler takes if @p path is NULL. A request whose framing is ambiguous or
 * whose body evhttp has not read as declared does not reach the handler: it
 * gets a 400 and its connection is closed, because what follows could be a
 * part of it. */
void Http_SetHandler(struct evhttp *server, const char *path,
                     HttpHandler *handle, void *arg);

/** Bounds the memory that the answers on a connection take: their heads, and
 * the bytes that evhttp has not consumed. Reading stops at the latter bound,
 * and with it evhttp's time-outs, so the caller must end the request after a
 * time.
 * @param max_input_bytes  must exceed the largest chunk of a body. */
void Http_LimitInput(struct evhttp_connection *connection,
                     size_t max_head_bytes, size_t max_input_bytes);

/** Starts a server at @p address that serves the common pages.
 * @param ready  returns whether the role is ready, or NULL if it always is.
 *               /readyz also reports not ready during a planned stop.
 * @return NULL with ERR_IO in @p err when the address cannot be bound. */
struct evhttp *Http_Listen(struct event_base *base, const Address *address,
                           bool (*ready)(void *owner), void *owner,
                           Error *err);

#endif
