/** @file
 * Fake plain service: records each request and answers with its sequence
 * number.
 */
#include "fake.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "fake_raw.h"

/* Time in which the bytes of a raw answer are written to the socket. */
#define RAW_FLUSH_US 20000

typedef struct Service {
    Fake fake;
    gchar *name;
    gint delay_ms;
    gboolean echo;      /* answers contain the request's path and body */
    gboolean ports;     /* it records the caller's port with each request */
    gint rest_s;        /* rest that it asks for */
    gint rest_every;    /* it refuses each of so many requests; 0: none */
    gchar *raw_answer;  /* file with the bytes that answer each request */
    gboolean raw_reset; /* the connection is reset after these bytes */
    unsigned arrived_count;
    unsigned request_count;
} Service;

typedef struct Call {
    Service *service;
    struct evhttp_request *request;
    unsigned number;
    char *path_and_body;
} Call;

static void
on_answer_timer(evutil_socket_t fd, short events, void *arg)
{
    Call *call = arg;
    struct evbuffer *out = evbuffer_new();
    evbuffer_add_printf(out, "{\"service\":\"%s\",\"number\":%u",
                        call->service->name, call->number);
    if (call->service->echo) {
        evbuffer_add_printf(out, ",\"asked\":\"%s\"", call->path_and_body);
    }
    evbuffer_add_printf(out, "}\n");
    evhttp_add_header(evhttp_request_get_output_headers(call->request),
                      "Content-Type", "application/json");
    evhttp_send_reply(call->request, 200, "OK", out);
    evbuffer_free(out);
    g_free(call->path_and_body);
    g_free(call);
}

/* Refuses the request and asks for rest. */
static void
refuse_for_rest(const Service *service, struct evhttp_request *request)
{
    char text[16];
    g_snprintf(text, sizeof(text), "%d", service->rest_s);
    Fake_Record(&service->fake, "rests %lld",
                (long long)(g_get_real_time() / 1000));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Retry-After", text);
    evhttp_send_reply(request, 503, "Service Unavailable", NULL);
}

static void
close_connection(evutil_socket_t fd, short events, void *connection)
{
    evhttp_connection_free(connection);
}

static void
on_request(struct evhttp_request *request, void *arg)
{
    Service *service = arg;
    if (service->rest_every > 0) {
        Fake_Record(&service->fake, "arrived %lld",
                    (long long)(g_get_real_time() / 1000));
    }
    if (service->rest_every > 0 &&
        ++service->arrived_count % (unsigned)service->rest_every == 0)
    {
        refuse_for_rest(service, request);
        return;
    }
    Call *call = g_new0(Call, 1);
    call->service = service;
    call->request = request;
    call->number = ++service->request_count;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    const char *body = (const char *)evbuffer_pullup(in, -1);
    call->path_and_body =
        g_strdup_printf("%s %.*s", evhttp_request_get_uri(request),
                        (int)length, body == NULL ? "" : body);
    Fake_Record(&service->fake, "ran %s", call->path_and_body);
    if (service->ports) {
        char *host = NULL;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request),
                                   &host, &port);
        Fake_Record(&service->fake, "from %u", port);
    }
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (FakeRaw_Write(evhttp_connection_get_bufferevent(connection),
                      service->raw_answer, "", service->raw_reset))
    {
        struct timeval flush = {.tv_usec = RAW_FLUSH_US};
        event_base_once(service->fake.base, -1, EV_TIMEOUT, close_connection,
                        connection, &flush);
        g_free(call->path_and_body);
        g_free(call);
        return;
    }
    struct timeval delay = {
        .tv_sec = service->delay_ms / 1000,
        .tv_usec = (service->delay_ms % 1000) * 1000,
    };
    event_base_once(service->fake.base, -1, EV_TIMEOUT, on_answer_timer, call,
                    &delay);
}

int
main(int argc, char **argv)
{
    Service service = {.fake = {.slots = 8}, .delay_ms = 1};
    const GOptionEntry own[] = {
        {"name", 0, 0, G_OPTION_ARG_STRING, &service.name,
         "Service to announce", "NAME"},
        {"delay-ms", 0, 0, G_OPTION_ARG_INT, &service.delay_ms,
         "Delay of each answer", "MS"},
        {"echo", 0, 0, G_OPTION_ARG_NONE, &service.echo,
         "Include the request's path and body in answers", NULL},
        {"ports", 0, 0, G_OPTION_ARG_NONE, &service.ports,
         "Record the port of the caller with each request", NULL},
        {"raw-answer", 0, 0, G_OPTION_ARG_STRING, &service.raw_answer,
         "File with the bytes that answer each request, before it closes",
         "FILE"},
        {"raw-reset", 0, 0, G_OPTION_ARG_NONE, &service.raw_reset,
         "Reset the connection after these bytes", NULL},
        {"rest-s", 0, 0, G_OPTION_ARG_INT, &service.rest_s,
         "Seconds of rest to ask for", "S"},
        {"rest-every", 0, 0, G_OPTION_ARG_INT, &service.rest_every,
         "Refuse each Nth request and ask for rest", "N"},
        {NULL},
    };
    Fake_ReadOptions(&service.fake, argc, argv, own);
    if (service.name == NULL) {
        service.name = g_strdup("register");
    }
    Fake_Start(&service.fake,
               json_pack("{s:s, s:s, s:i}", "kind", "service", "service",
                         service.name, "slots", service.fake.slots));
    evhttp_set_gencb(service.fake.http, on_request, &service);
    return Fake_Run(&service.fake);
}
