/** @file
 * HTTP helpers for the servers of all roles.
 */
#include "wire/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "http1/strict.h"
#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/task.h"

typedef struct Registration {
    HttpHandler *handle;
    void *arg;
} Registration;

typedef struct ReadinessCheck {
    bool (*ready)(void *owner);
    void *owner;
} ReadinessCheck;

static const char *
status_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

void
Http_ReplyJson(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_SORT_KEYS);
    json_decref(body);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add_printf(out, "%s\n", text);
    free(text);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evhttp_send_reply(request, status, status_phrase(status), out);
    evbuffer_free(out);
}

uint32_t
Http_RetryAfterSeconds(uint32_t retry_after_ms)
{
    uint32_t seconds = (retry_after_ms + 999) / 1000;
    return seconds == 0 ? 1 : seconds;
}

void
Http_ReplyError(struct evhttp_request *request, const HttpError *error)
{
    if (error->retry_after_ms > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof(seconds), "%u",
                   Http_RetryAfterSeconds(error->retry_after_ms));
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Retry-After", seconds);
    }
    Http_ReplyJson(request, error->status,
                   json_pack("{s:{s:s, s:s, s:s}}", "error", "code",
                             error->code, "message", error->message, "outcome",
                             error->outcome));
}

char *
Http_Body(struct evhttp_request *request, size_t *length)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    char *body = g_malloc(size + 1);
    evbuffer_copyout(in, body, size);
    body[size] = '\0';
    if (length != NULL) {
        *length = size;
    }
    return body;
}

/* ---- Framing ---- */

/* Prints the fields as evhttp has read them, with a start line in which only
 * the method CONNECT and the version matter. */
static GString *
print_raw_head(const struct evhttp_request *request)
{
    GString *raw = g_string_new(NULL);
    g_string_printf(raw, "%s / HTTP/%d.%d\r\n",
                    request->type == EVHTTP_REQ_CONNECT ? "CONNECT" : "GET",
                    request->major, request->minor);
    for (const struct evkeyval *field = request->input_headers->tqh_first;
         field != NULL; field = field->next.tqe_next)
    {
        g_string_append_printf(raw, "%s: %s\r\n", field->key, field->value);
    }
    g_string_append(raw, "\r\n");
    return raw;
}

/* Checks that evhttp cannot have misjudged where the request ends: its framing
 * fields are unambiguous, and its body is as long as declared. */
static int
check_framing(struct evhttp_request *request, Error *err)
{
    GString *raw = print_raw_head(request);
    int result = H1Head_CheckRaw(raw->str, raw->len, true, err);
    g_string_free(raw, TRUE);
    if (result != ERR_OK) {
        return result;
    }
    const char *length = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Content-Length");
    guint64 declared = 0;
    if (length == NULL) {
        return ERR_OK;
    }
    if (!g_ascii_string_to_unsigned(length, 10, 0, G_MAXINT64, &declared,
                                    NULL) ||
        declared !=
            evbuffer_get_length(evhttp_request_get_input_buffer(request)))
    {
        return Error_Set(err, ERR_INVALID,
                         "The body is not as long as declared.");
    }
    return ERR_OK;
}

static void
refuse_framing(struct evhttp_request *request, const Error *err)
{
    HttpError error = {
        .status = 400,
        .code = "bad_framing",
        .message = err->text,
        .outcome = "not_run",
    };
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    Http_ReplyError(request, &error);
}

static void
on_request(struct evhttp_request *request, void *arg)
{
    const Registration *registration = arg;
    Error err = ERROR_INIT;
    /* evhttp also reports a request whose connection has failed. */
    bool received = evhttp_request_get_connection(request) != NULL &&
                    evhttp_request_get_uri(request) != NULL;
    if (received && check_framing(request, &err) != ERR_OK) {
        refuse_framing(request, &err);
        return;
    }
    registration->handle(request, registration->arg);
}

void
Http_SetHandler(struct evhttp *server, const char *path, HttpHandler *handle,
                void *arg)
{
    /* Never freed: a server runs until the process exits. */
    Registration *registration = g_new0(Registration, 1);
    registration->handle = handle;
    registration->arg = arg;
    if (path == NULL) {
        evhttp_set_gencb(server, on_request, registration);
        return;
    }
    evhttp_set_cb(server, path, on_request, registration);
}

/* ---- Common pages ---- */

static void
on_healthz(struct evhttp_request *request, void *arg)
{
    Http_ReplyJson(request, 200, json_pack("{s:s}", "status", "ok"));
}

static void
on_readyz(struct evhttp_request *request, void *arg)
{
    const ReadinessCheck *check = arg;
    bool ready = !Kernel_IsStopping(Kernel_Current());
    if (ready && check->ready != NULL) {
        ready = check->ready(check->owner);
    }
    Http_ReplyJson(request, ready ? 200 : 503,
                   json_pack("{s:b}", "ready", ready));
}

static void
on_metrics(struct evhttp_request *request, void *arg)
{
    struct evbuffer *out = evbuffer_new();
    Counter_PrintAll(out);
    Histogram_PrintAll(out);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/plain; version=0.0.4");
    evhttp_send_reply(request, 200, "OK", out);
    evbuffer_free(out);
}

static void
on_state(struct evhttp_request *request, void *arg)
{
    Http_ReplyJson(request, 200, Kernel_Dump(Kernel_Current()));
}

void
Http_LimitInput(struct evhttp_connection *connection, size_t max_head_bytes,
                size_t max_input_bytes)
{
    evhttp_connection_set_max_headers_size(connection,
                                           (ev_ssize_t)max_head_bytes);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                             EV_READ, 0, max_input_bytes);
}

struct evhttp *
Http_Listen(struct event_base *base, const Address *address,
            bool (*ready)(void *owner), void *owner, Error *err)
{
    struct evhttp *server = evhttp_new(base);
    INVARIANT(server != NULL);
    if (evhttp_bind_socket(server, address->host, address->port) != 0) {
        evhttp_free(server);
        Error_Set(err, ERR_IO, "Cannot listen on %s:%u.", address->host,
                  address->port);
        return NULL;
    }
    /* Never freed: a server runs until the process exits. */
    ReadinessCheck *check = g_new0(ReadinessCheck, 1);
    check->ready = ready;
    check->owner = owner;
    Http_SetHandler(server, "/healthz", on_healthz, NULL);
    Http_SetHandler(server, "/readyz", on_readyz, check);
    Http_SetHandler(server, "/metrics", on_metrics, NULL);
    Http_SetHandler(server, "/debug/state", on_state, NULL);
    return server;
}
