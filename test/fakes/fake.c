/** @file
 * Options, record and agent reports of the fake endpoints.
 */
#include "fake.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>

#define ANNOUNCE_PERIOD_MS 500

void
Fake_ReadOptions(Fake *fake, int argc, char **argv, const GOptionEntry *own)
{
    const GOptionEntry shared[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &fake->listen,
         "Address to accept requests on", "IP:PORT"},
        {"agent", 0, 0, G_OPTION_ARG_STRING, &fake->agent,
         "Address of the agent to announce to", "IP:PORT"},
        {"record", 0, 0, G_OPTION_ARG_FILENAME, &fake->record,
         "File to append a record of each request to", "FILE"},
        {"boot", 0, 0, G_OPTION_ARG_STRING, &fake->boot, "Boot id to announce",
         "TEXT"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &fake->slots,
         "Number of slots to announce", "N"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("- fake endpoint");
    g_option_context_add_main_entries(context, shared, NULL);
    if (own != NULL) {
        g_option_context_add_main_entries(context, own, NULL);
    }
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        fake->listen == NULL)
    {
        fprintf(stderr, "fake: %s\n",
                error == NULL ? "expected --listen IP:PORT" : error->message);
        exit(2);
    }
    g_option_context_free(context);
}

static void
on_reply(struct evhttp_request *request, void *arg)
{
}

static void
post(Fake *fake, const char *path, const json_t *report)
{
    Address agent;
    if (fake->agent == NULL ||
        Address_Parse(fake->agent, &agent, NULL) != ERR_OK) {
        return;
    }
    struct evhttp_connection *connection =
        evhttp_connection_base_new(fake->base, NULL, agent.host, agent.port);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request *request = evhttp_request_new(on_reply, NULL);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", fake->agent);
    evhttp_add_header(headers, "Connection", "close");
    char *text = json_dumps(report, 0);
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s", text);
    free(text);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
}

void
Fake_Post(Fake *fake, const char *path, json_t *report)
{
    post(fake, path, report);
    json_decref(report);
}

static void
on_announce(evutil_socket_t fd, short events, void *arg)
{
    Fake *fake = arg;
    post(fake, "/v1/announce", fake->announcement);
}

static void
on_drain_signal(evutil_socket_t fd, short events, void *arg)
{
    Fake_Post(arg, "/v1/leaving", json_object());
}

void
Fake_Start(Fake *fake, json_t *announcement)
{
    fake->announcement = announcement;
    if (fake->boot == NULL) {
        fake->boot = g_strdup_printf("%d", (int)getpid());
    }
    json_object_set_new(announcement, "boot", json_string(fake->boot));
    fake->base = event_base_new();
    fake->http = evhttp_new(fake->base);
    Address address;
    Error err = ERROR_INIT;
    if (Address_Parse(fake->listen, &address, &err) != ERR_OK ||
        evhttp_bind_socket(fake->http, address.host, address.port) != 0)
    {
        fprintf(stderr, "fake: cannot listen at %s\n", fake->listen);
        exit(1);
    }
    if (fake->agent == NULL) {
        return;
    }
    fake->announce_timer =
        event_new(fake->base, -1, EV_PERSIST, on_announce, fake);
    struct timeval period = {.tv_usec = ANNOUNCE_PERIOD_MS * 1000};
    event_add(fake->announce_timer, &period);
    event_active(fake->announce_timer, EV_TIMEOUT, 0);
}

void
Fake_Record(const Fake *fake, const char *format, ...)
{
    if (fake->record == NULL) {
        return;
    }
    FILE *file = fopen(fake->record, "ae");
    if (file == NULL) {
        return;
    }
    va_list args;
    va_start(args, format);
    vfprintf(file, format, args);
    va_end(args);
    fputc('\n', file);
    fclose(file);
}

static void
on_stop(evutil_socket_t fd, short events, void *arg)
{
    event_base_loopbreak(arg);
}

int
Fake_Run(Fake *fake)
{
    signal(SIGPIPE, SIG_IGN);
    struct event *stop =
        evsignal_new(fake->base, SIGTERM, on_stop, fake->base);
    event_add(stop, NULL);
    struct event *drain =
        evsignal_new(fake->base, SIGUSR1, on_drain_signal, fake);
    event_add(drain, NULL);
    event_base_dispatch(fake->base);
    return 0;
}
