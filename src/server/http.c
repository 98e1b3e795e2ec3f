/** @file
 * HTTP server for the ports of all roles.
 */
#include "server/http.h"

#include <string.h>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

#include "http1/chunk.h"
#include "kernel/buffer.h"
#include "kernel/log.h"
#include "server/pages.h"
#include "server/status.h"
#include "wire/client_memory.h"

#define PART "http"
#define LISTEN_BACKLOG 512

const ReaderLimits HttpServer_PageLimits = {
    .max_head_bytes = 8192,
    .max_body_bytes = (size_t)64 * 1024,
    .head_timeout_ms = 5000,
    .body_timeout_ms = 5000,
    .idle_timeout_ms = 60000,
};

typedef struct Handler {
    char *path; /* NULL: all that no other handler takes */
    HttpHandler *handle;
    void *arg;
} Handler;

struct HttpServer {
    struct event_base *base;
    struct evconnlistener *listener;
    const ReaderLimits *limits;
    const HttpError *(*check)(void *arg, const H1Head *head); /* or NULL */
    void *check_arg;
    GArray *handlers;  /* Handler */
    GHashTable *conns; /* set of HttpConn */
};

typedef struct HttpConn {
    HttpServer *server;
    Reader *reader;
    HttpRequest *request;  /* that is served; NULL between requests */
    ReaderRefusal refusal; /* the newest by the server's check */
} HttpConn;

struct HttpRequest {
    HttpConn *conn;   /* NULL once the client is gone */
    H1Parser *parser; /* that holds the head; its owner once conn is NULL */
    struct evhttp_uri *uri; /* NULL if malformed */
    struct evbuffer *body;
    bool is_terminated; /* a NUL follows the body */
    GString *fields;    /* of the answer */
    bool is_chunked;    /* the answer is sent in chunks */
    bool no_body;       /* of the answer */
    bool closes;        /* the connection ends with the answer */
    void (*disconnected)(void *arg);
    void *disconnected_arg;
};

/* ---- Requests ---- */

static const H1Head *
head_of(const HttpRequest *request)
{
    return H1Parser_Head(request->parser);
}

static void
free_request(HttpRequest *request)
{
    if (request->conn == NULL) {
        H1Parser_Free(request->parser);
    }
    if (request->uri != NULL) {
        evhttp_uri_free(request->uri);
    }
    if (request->body != NULL) {
        evbuffer_free(request->body);
    }
    g_string_free(request->fields, TRUE);
    g_free(request);
}

const char *
HttpRequest_Method(const HttpRequest *request)
{
    return head_of(request)->method;
}

const char *
HttpRequest_Target(const HttpRequest *request)
{
    return head_of(request)->target;
}

const char *
HttpRequest_Path(const HttpRequest *request)
{
    return request->uri == NULL ? NULL : evhttp_uri_get_path(request->uri);
}

const char *
HttpRequest_Query(const HttpRequest *request)
{
    return request->uri == NULL ? NULL : evhttp_uri_get_query(request->uri);
}

bool
HttpRequest_IsHttp10(const HttpRequest *request)
{
    return head_of(request)->http10;
}

const char *
HttpRequest_Field(const HttpRequest *request, const char *name)
{
    return H1Head_Get(head_of(request), name);
}

const char *
HttpRequest_Body(HttpRequest *request, size_t *length)
{
    if (request->body == NULL) {
        request->body = evbuffer_new();
    }
    if (!request->is_terminated) {
        evbuffer_add(request->body, "", 1);
        request->is_terminated = true;
    }
    if (length != NULL) {
        *length = evbuffer_get_length(request->body) - 1;
    }
    return (const char *)evbuffer_pullup(request->body, -1);
}

struct evbuffer *
HttpRequest_TakeBody(HttpRequest *request)
{
    struct evbuffer *body =
        request->body == NULL ? evbuffer_new() : request->body;
    request->body = NULL;
    return body;
}

void
HttpRequest_OnDisconnect(HttpRequest *request, void (*disconnected)(void *arg),
                         void *arg)
{
    request->disconnected = disconnected;
    request->disconnected_arg = arg;
}

/* ---- Answers ---- */

void
HttpRequest_AddField(HttpRequest *request, const char *name, const char *value)
{
    if (strpbrk(value, "\r\n") == NULL) {
        g_string_append_printf(request->fields, "%s: %s\r\n", name, value);
    }
}

static struct evbuffer *
output_of(const HttpRequest *request)
{
    return bufferevent_get_output(Reader_Stream(request->conn->reader));
}

/* Prints the head of an answer. @p framing ends with a line end, or is
 * empty. */
static void
print_head(struct evbuffer *out, unsigned status, const char *fields,
           const char *framing, bool close)
{
    evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n%s%s%s\r\n", status,
                        HttpStatus_Phrase(status), fields, framing,
                        close ? "Connection: close\r\n" : "");
}

/* Ends the request after its answer was written. */
static void
finish_request(HttpRequest *request)
{
    HttpConn *conn = request->conn;
    bool closes = request->closes;
    free_request(request);
    conn->request = NULL;
    Reader_Finish(conn->reader, closes);
}

static bool
has_no_body(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

void
HttpRequest_Reply(HttpRequest *request, unsigned status, struct evbuffer *body)
{
    if (request->conn == NULL) {
        free_request(request);
        return;
    }
    size_t length = body == NULL ? 0 : evbuffer_get_length(body);
    char framing[64] = "";
    if (!has_no_body(status)) {
        g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
                   length);
    }
    struct evbuffer *out = output_of(request);
    print_head(out, status, request->fields->str, framing, request->closes);
    if (length > 0 && !request->no_body && !has_no_body(status)) {
        evbuffer_add_buffer(out, body);
    }
    Reader_ChargeAnswer(request->conn->reader);
    finish_request(request);
}

void
HttpRequest_StartReply(HttpRequest *request, unsigned status)
{
    request->no_body = request->no_body || has_no_body(status);
    request->is_chunked = !HttpRequest_IsHttp10(request);
    request->closes = request->closes || !request->is_chunked;
    bool framed = request->is_chunked && !has_no_body(status);
    if (request->conn != NULL) {
        print_head(output_of(request), status, request->fields->str,
                   framed ? "Transfer-Encoding: chunked\r\n" : "",
                   request->closes);
    }
}

void
HttpRequest_SendPart(HttpRequest *request, struct evbuffer *part)
{
    if (request->conn == NULL || request->no_body) {
        return;
    }
    struct evbuffer *out = output_of(request);
    if (request->is_chunked) {
        H1Chunk_Append(out, part);
    }
    else {
        Buffer_AppendPacked(out, part);
    }
    Reader_ChargeAnswer(request->conn->reader);
}

void
HttpRequest_EndReply(HttpRequest *request)
{
    if (request->conn == NULL) {
        free_request(request);
        return;
    }
    if (request->is_chunked && !request->no_body) {
        H1Chunk_AppendLast(output_of(request));
    }
    finish_request(request);
}

static void
free_conn(HttpConn *conn)
{
    g_hash_table_remove(conn->server->conns, conn);
    Reader_Free(conn->reader);
    g_free(conn);
}

void
HttpRequest_Abort(HttpRequest *request)
{
    HttpConn *conn = request->conn;
    free_request(request);
    if (conn != NULL) {
        free_conn(conn);
    }
}

size_t
HttpRequest_UnsentBytes(const HttpRequest *request)
{
    return request->conn == NULL ? 0
                                 : Reader_UnsentBytes(request->conn->reader);
}

void
HttpRequest_ReplyJson(HttpRequest *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_SORT_KEYS);
    json_decref(body);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add_printf(out, "%s\n", text);
    free(text);
    HttpRequest_AddField(request, "Content-Type", "application/json");
    HttpRequest_Reply(request, (unsigned)status, out);
    evbuffer_free(out);
}

/* Returns whole seconds for a Retry-After field, at least 1. */
static uint32_t
retry_after_seconds(uint32_t retry_after_ms)
{
    return MAX((retry_after_ms + 999) / 1000, 1);
}

static json_t *
error_body(const char *code, const char *message, const char *outcome)
{
    return json_pack("{s:{s:s, s:s, s:s}}", "error", "code", code, "message",
                     message, "outcome", outcome);
}

void
HttpRequest_ReplyError(HttpRequest *request, const HttpError *error)
{
    if (error->retry_after_ms > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof(seconds), "%u",
                   retry_after_seconds(error->retry_after_ms));
        HttpRequest_AddField(request, "Retry-After", seconds);
    }
    HttpRequest_ReplyJson(
        request, error->status,
        error_body(error->code, error->message, error->outcome));
}

/* ---- Connections ---- */

static void
get_limits(const void *owner, ReaderLimits *limits)
{
    const HttpConn *conn = owner;
    size_t largest =
        ClientBudget_LargestBody(ClientBudget_Bound(ClientMemory_Budget()));
    *limits = *conn->server->limits;
    limits->max_body_bytes = MIN(limits->max_body_bytes, largest);
}

static const ReaderRefusal *
check(void *owner, const H1Head *head)
{
    HttpConn *conn = owner;
    const HttpServer *server = conn->server;
    const HttpError *error = Reader_JudgesHead(head) && server->check != NULL
                                 ? server->check(server->check_arg, head)
                                 : NULL;
    if (error == NULL) {
        return NULL;
    }
    conn->refusal = (ReaderRefusal){
        .status = (unsigned)error->status,
        .code = error->code,
        .message = error->message,
        .retry_after_ms = error->retry_after_ms,
    };
    return &conn->refusal;
}

static const Handler *
find_handler(const HttpServer *server, const char *path)
{
    const Handler *fallback = NULL;
    for (guint i = 0; i < server->handlers->len; i++) {
        const Handler *handler = &g_array_index(server->handlers, Handler, i);
        if (handler->path == NULL) {
            fallback = handler;
        }
        else if (path != NULL && strcmp(handler->path, path) == 0) {
            return handler;
        }
    }
    return fallback;
}

static void
serve(void *owner, const H1Head *head, struct evbuffer *body)
{
    HttpConn *conn = owner;
    HttpRequest *request = g_new0(HttpRequest, 1);
    request->conn = conn;
    request->parser = Reader_Parser(conn->reader);
    request->uri =
        evhttp_uri_parse_with_flags(head->target, EVHTTP_URI_NONCONFORMANT);
    request->body = evbuffer_new();
    evbuffer_add_buffer(request->body, body);
    request->fields = g_string_new(NULL);
    request->no_body = strcmp(head->method, "HEAD") == 0;
    request->closes = !head->keep_alive || head->http10;
    conn->request = request;
    const Handler *handler =
        find_handler(conn->server, HttpRequest_Path(request));
    if (handler == NULL) {
        HttpRequest_ReplyError(request, &(HttpError){
                                            .status = 404,
                                            .code = "not_found",
                                            .message = "No such page.",
                                            .outcome = "not_run",
                                        });
        return;
    }
    handler->handle(request, handler->arg);
}

static void
print_refusal(void *owner, struct evbuffer *out, const H1Head *head,
              const ReaderRefusal *refusal)
{
    GString *fields = g_string_new("Content-Type: application/json\r\n");
    if (refusal->retry_after_ms > 0) {
        g_string_append_printf(fields, "Retry-After: %u\r\n",
                               retry_after_seconds(refusal->retry_after_ms));
    }
    const char *code = refusal->status == 400 ? "bad_framing" : refusal->code;
    json_t *body = error_body(code, refusal->message, "not_run");
    char *text = json_dumps(body, JSON_SORT_KEYS);
    json_decref(body);
    g_string_append_printf(fields, "Content-Length: %zu\r\n",
                           strlen(text) + 1);
    print_head(out, refusal->status, fields->str, "", true);
    evbuffer_add_printf(out, "%s\n", text);
    LOG_INFO(PART, "Request refused. status=%u code=%s why=\"%s\"",
             refusal->status, code, refusal->message);
    free(text);
    g_string_free(fields, TRUE);
}

static void
on_closed(void *owner)
{
    HttpConn *conn = owner;
    HttpRequest *request = conn->request;
    if (request != NULL) {
        Reader_TakeParser(conn->reader);
        request->conn = NULL;
    }
    free_conn(conn);
    if (request != NULL && request->disconnected != NULL) {
        request->disconnected(request->disconnected_arg);
        free_request(request);
    }
}

static const ReaderOps reader_ops = {
    .limits = get_limits,
    .check = check,
    .serve = serve,
    .print_refusal = print_refusal,
    .closed = on_closed,
};

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int length, void *arg)
{
    HttpServer *server = arg;
    HttpConn *conn = g_new0(HttpConn, 1);
    conn->server = server;
    conn->reader = Reader_New(server->base, fd, &reader_ops, conn);
    if (conn->reader == NULL) {
        g_free(conn);
        return;
    }
    g_hash_table_add(server->conns, conn);
}

/* ---- Server ---- */

static void
clear_handler(gpointer data)
{
    Handler *handler = data;
    g_free(handler->path);
}

void
HttpServer_SetHandler(HttpServer *server, const char *path,
                      HttpHandler *handle, void *arg)
{
    Handler handler = {
        .path = g_strdup(path),
        .handle = handle,
        .arg = arg,
    };
    g_array_append_val(server->handlers, handler);
}

void
HttpServer_SetCheck(HttpServer *server,
                    const HttpError *(*judge)(void *arg, const H1Head *head),
                    void *arg)
{
    server->check = judge;
    server->check_arg = arg;
}

HttpServer *
HttpServer_Listen(struct event_base *base, const Address *address,
                  const ReaderLimits *limits, bool (*ready)(void *owner),
                  void *owner, Error *err)
{
    HttpServer *server = g_new0(HttpServer, 1);
    server->base = base;
    server->limits = limits;
    server->handlers = g_array_new(FALSE, FALSE, sizeof(Handler));
    g_array_set_clear_func(server->handlers, clear_handler);
    server->conns = g_hash_table_new(NULL, NULL);
    server->listener = evconnlistener_new_bind(
        base, on_accept, server,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        LISTEN_BACKLOG, (const struct sockaddr *)&address->storage,
        (int)address->length);
    if (server->listener == NULL) {
        HttpServer_Free(server);
        Error_Set(err, ERR_IO, "Cannot listen on %s:%u.", address->host,
                  address->port);
        return NULL;
    }
    Reader_PrepareListener(evconnlistener_get_fd(server->listener));
    Pages_Add(server, ready, owner);
    return server;
}

void
HttpServer_Free(HttpServer *server)
{
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    GList *conns = g_hash_table_get_keys(server->conns);
    for (GList *at = conns; at != NULL; at = at->next) {
        on_closed(at->data);
    }
    g_list_free(conns);
    g_hash_table_destroy(server->conns);
    g_array_unref(server->handlers);
    g_free(server);
}
