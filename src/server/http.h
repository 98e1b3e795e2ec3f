/** @file
 * HTTP server for the ports of all roles, on the reader of client connections:
 * requests, their answers, JSON and error answers, and the pages /healthz,
 * /readyz, /metrics and /debug/state.
 */
#ifndef LAURELLIFT_SERVER_HTTP_H
#define LAURELLIFT_SERVER_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "kernel/error.h"
#include "server/reader.h"
#include "wire/address.h"

typedef struct HttpServer HttpServer;

/** A complete request. Its handler answers it exactly once, at once or later,
 * and the answer frees it. If the client is gone by then, the answer is
 * dropped. */
typedef struct HttpRequest HttpRequest;

/** Error answer: `{"error": {"code", "message", "outcome"}}`. */
typedef struct HttpError {
    int status;              /**< HTTP status code. */
    const char *code;        /**< Stable error name, such as "deadline". */
    const char *message;     /**< Explanation in one sentence. */
    const char *outcome;     /**< Whether the request ran: "not_run", "ran" or
                              * "unknown". */
    uint32_t retry_after_ms; /**< 0 omits the Retry-After header. */
} HttpError;

typedef void HttpHandler(HttpRequest *request, void *arg);

/** Starts a server at @p address that serves the common pages.
 * @param limits  must outlive the server.
 * @param ready  returns whether the role is ready, or NULL if it always is.
 *               /readyz also reports not ready during a planned stop.
 * @return NULL with ERR_IO in @p err when the address cannot be bound. */
HttpServer *HttpServer_Listen(struct event_base *base, const Address *address,
                              const ReaderLimits *limits,
                              bool (*ready)(void *owner), void *owner,
                              Error *err);

/** Limits for ports without requests that have a body. */
extern const ReaderLimits HttpServer_PageLimits;

/** Closes the port and all connections. Requests that are not answered yet
 * stay valid. */
void HttpServer_Free(HttpServer *server);

/** Sets the handler of the requests to @p path, or of all that no other
 * handler takes if @p path is NULL. */
void HttpServer_SetHandler(HttpServer *server, const char *path,
                           HttpHandler *handle, void *arg);

/** Sets a function that judges requests by their heads, before a body is read
 * that is large or of unknown length.
 * @param check  returns NULL to read on, or the error, whose outcome is
 *               "not_run". */
void HttpServer_SetCheck(HttpServer *server,
                         const HttpError *(*check)(void *arg,
                                                   const H1Head *head),
                         void *arg);

/* ---- Requests ---- */

const char *HttpRequest_Method(const HttpRequest *request);

/** Returns the target as it was sent. */
const char *HttpRequest_Target(const HttpRequest *request);

/** Returns the path of the target, or NULL if the target is malformed. */
const char *HttpRequest_Path(const HttpRequest *request);

/** Returns the query of the target, or NULL. */
const char *HttpRequest_Query(const HttpRequest *request);

bool HttpRequest_IsHttp10(const HttpRequest *request);

/** Returns the value of the first field with this name, or NULL. */
const char *HttpRequest_Field(const HttpRequest *request, const char *name);

/** Returns the whole body, with a NUL after it, valid until the answer.
 * @param length  set to the length without the NUL, unless NULL. */
const char *HttpRequest_Body(HttpRequest *request, size_t *length);

/** Passes on the body; the request then has none. */
struct evbuffer *HttpRequest_TakeBody(HttpRequest *request);

/** Sets a function that is called when the client disconnects before the
 * answer is complete. The request is freed after it. */
void HttpRequest_OnDisconnect(HttpRequest *request,
                              void (*disconnected)(void *arg), void *arg);

/* ---- Answers ---- */

/** Adds a field to the answer. */
void HttpRequest_AddField(HttpRequest *request, const char *name,
                          const char *value);

/** Sends a whole answer and frees the request.
 * @param body  is drained; NULL for none. */
void HttpRequest_Reply(HttpRequest *request, unsigned status,
                       struct evbuffer *body);

/** Starts an answer whose length is not known. It is marked as complete only
 * for clients of HTTP/1.1. */
void HttpRequest_StartReply(HttpRequest *request, unsigned status);

/** Sends a part of the answer; @p part is drained. */
void HttpRequest_SendPart(HttpRequest *request, struct evbuffer *part);

/** Ends an answer that was started and frees the request. */
void HttpRequest_EndReply(HttpRequest *request);

/** Closes the connection, so that the client sees that its answer is
 * incomplete, and frees the request. */
void HttpRequest_Abort(HttpRequest *request);

/** Returns the bytes of the answer that are not yet written. */
size_t HttpRequest_UnsentBytes(const HttpRequest *request);

/** Sends @p body as JSON and releases it. */
void HttpRequest_ReplyJson(HttpRequest *request, int status, json_t *body);

void HttpRequest_ReplyError(HttpRequest *request, const HttpError *error);

#endif
