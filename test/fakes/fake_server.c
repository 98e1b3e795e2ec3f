/** @file
 * Fake server of the platform: announces itself to control hosts, answers as
 * the platform's servers do, records the requests that it runs, and fails as
 * --fault says. It writes raw bytes, since some faults break the framing.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <jansson.h>

#include "http1/parser.h"
#include "kernel/clock.h"
#include "wire/address.h"

#define ANNOUNCE_MS 300
#define HEAD_MAX 16384

typedef struct Server {
    gchar *listen;
    gchar *control; /* IP:PORT,IP:PORT */
    gchar *service;
    gchar *id;
    gchar *zone;
    gchar *record;    /* file; NULL for none */
    gchar *fault;     /* kind of fault; NULL for none */
    gint fault_count; /* remaining requests with the fault */
    gint slots;
    gint events;   /* number of events in a stream */
    gint gap_ms;   /* time between events */
    gint delay_ms; /* time before an answer */
    gchar **hosts;
    guint host;    /* index of the host to call, modulo their number */
    uint64_t born; /* wall clock time of the start in ms */
    uint64_t sequence;
    bool draining;
    struct event_base *base;
    struct event *announce;
} Server;

/* One connection and the request on it. */
typedef struct Client {
    Server *server;
    struct bufferevent *stream;
    H1Parser *parser;
    struct event *timer;
    char *id; /* Attempt-Id of the request */
    bool streams;
    int next; /* id of the next event */
    /* Fault of this request; "close" closes the connection at the timer. */
    char fault[32];
} Client;

static void
record(const Server *server, const char *format, ...)
{
    FILE *file = server->record == NULL ? NULL : fopen(server->record, "a");
    if (file == NULL) {
        return;
    }
    va_list args;
    va_start(args, format);
    vfprintf(file, format, args);
    va_end(args);
    fclose(file);
}

static void
free_client(Client *client)
{
    bufferevent_free(client->stream);
    event_free(client->timer);
    H1Parser_Free(client->parser);
    g_free(client->id);
    g_free(client);
}

static struct evbuffer *
out_of(Client *client)
{
    return bufferevent_get_output(client->stream);
}

static void
schedule(Client *client, int ms)
{
    struct timeval span = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(client->timer, &span);
}

static void
print_head(Client *client, int status, const char *more)
{
    bool wrong = strcmp(client->fault, "wrong-id") == 0;
    evbuffer_add_printf(out_of(client), "HTTP/1.1 %d Status\r\n", status);
    evbuffer_add_printf(out_of(client), "Attempt-Id: %s%s\r\n",
                        wrong ? "x" : "", client->id);
    if (strcmp(client->fault, "no-seal") != 0) {
        evbuffer_add_printf(out_of(client), "Server-Seal: seal-%s\r\n",
                            client->server->id);
    }
    evbuffer_add_printf(out_of(client), "%s", more);
}

static void
answer_plain(Client *client)
{
    const char *fault = client->fault;
    char *body = g_strdup_printf("{\"server\":\"%s\",\"request\":\"%s\"}\n",
                                 client->server->id, client->id);
    size_t length = strlen(body);
    bool cut = strcmp(fault, "cut") == 0;
    bool unframed = strcmp(fault, "unframed") == 0;
    char *framing =
        unframed ? g_strdup("Connection: close\r\n\r\n")
                 : g_strdup_printf("Content-Length: %zu\r\n\r\n", length);
    print_head(client, strcmp(fault, "error") == 0 ? 500 : 200, framing);
    evbuffer_add(out_of(client), body, cut ? length / 2 : length);
    if (strcmp(fault, "extra") == 0) {
        print_head(client, 200, framing);
        evbuffer_add(out_of(client), body, length);
    }
    g_free(framing);
    g_free(body);
    H1Parser_Reset(client->parser);
    if (cut || unframed) {
        bufferevent_flush(client->stream, EV_WRITE, BEV_FINISHED);
        g_strlcpy(client->fault, "close", sizeof(client->fault));
        schedule(client, 20);
    }
}

static void
print_chunk(Client *client, const char *text)
{
    evbuffer_add_printf(out_of(client), "%zx\r\n%s\r\n", strlen(text), text);
}

static void
send_event(Client *client)
{
    const Server *server = client->server;
    char *event =
        g_strdup_printf("id: %d\ndata: %s\n\n", client->next, server->id);
    print_chunk(client, event);
    g_free(event);
    if (strcmp(client->fault, "cut") == 0 &&
        client->next >= server->events / 2) {
        print_chunk(client, "id: 99\nda"); /* ends inside an event */
        g_strlcpy(client->fault, "close", sizeof(client->fault));
        schedule(client, 20);
        return;
    }
    if (client->next++ >= server->events) {
        evbuffer_add_printf(out_of(client), "0\r\n\r\n");
        record(server, "ended %s\n", client->id);
        H1Parser_Reset(client->parser);
        return;
    }
    schedule(client, server->gap_ms);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Client *client = arg;
    if (strcmp(client->fault, "close") == 0) {
        free_client(client);
        return;
    }
    if (!client->streams) {
        answer_plain(client);
        return;
    }
    send_event(client);
}

static void
refuse(Client *client, int status, const char *more)
{
    char *fields = g_strdup_printf("%sContent-Length: 0\r\n\r\n", more);
    print_head(client, status, fields);
    g_free(fields);
    H1Parser_Reset(client->parser);
}

static void
run_request(Client *client, const H1Head *head)
{
    Server *server = client->server;
    const char *expected = H1Head_Get(head, "Expect-Instance");
    const char *after = H1Head_Get(head, "Last-Event-Id");
    const char *tenant = H1Head_Get(head, "Tenant");
    const char *id = H1Head_Get(head, "Attempt-Id");
    g_free(client->id);
    client->id = g_strdup(id != NULL ? id : "none");
    client->fault[0] = '\0';
    if (expected != NULL && strcmp(expected, server->id) != 0) {
        refuse(client, 421, "Not-Executed: 1\r\n");
        return;
    }
    if (server->fault != NULL && server->fault_count > 0) {
        server->fault_count--;
        g_strlcpy(client->fault, server->fault, sizeof(client->fault));
    }
    if (strcmp(client->fault, "shed") == 0) {
        refuse(client, 503, "Not-Executed: 1\r\n");
        return;
    }
    struct evbuffer *body = H1Parser_Body(client->parser);
    bool key = H1Head_Get(head, "Authorization") != NULL;
    record(server, "ran %s %s %s tenant=%s after=%s key=%s body=%zu\n",
           client->id, head->method, head->target,
           tenant != NULL ? tenant : "-", after != NULL ? after : "-",
           key ? "yes" : "no", evbuffer_get_length(body));
    client->streams = H1Head_Get(head, "Model") != NULL;
    if (strcmp(client->fault, "mute") == 0) {
        return;
    }
    if (client->streams) {
        client->next = after == NULL ? 1 : atoi(after) + 1;
        print_head(client, 200,
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
    }
    schedule(client, server->delay_ms);
}

static void
on_read(struct bufferevent *stream, void *arg)
{
    Client *client = arg;
    Error err = ERROR_INIT;
    for (;;) {
        switch (H1Parser_Next(client->parser, bufferevent_get_input(stream),
                              &err)) {
        case H1_HEAD:
        case H1_BODY:
            break;
        case H1_DONE:
            run_request(client, H1Parser_Head(client->parser));
            return;
        case H1_NEED_MORE:
            return;
        case H1_INVALID:
            record(client->server, "bad bytes: %s\n", err.text);
            free_client(client);
            return;
        }
    }
}

static void
on_event(struct bufferevent *stream, short events, void *arg)
{
    Client *client = arg;
    if (H1Parser_InMessage(client->parser)) {
        record(client->server, "left %s\n",
               client->id != NULL ? client->id : "none");
    }
    free_client(client);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int length, void *arg)
{
    Server *server = arg;
    Client *client = g_new0(Client, 1);
    client->server = server;
    client->parser = H1Parser_New(H1_REQUEST, HEAD_MAX);
    client->timer = event_new(server->base, -1, 0, on_timer, client);
    client->stream =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(client->stream, on_read, NULL, on_event, client);
    bufferevent_enable(client->stream, EV_READ | EV_WRITE);
}

/* ---- Announcements to control hosts ---- */

static void
on_announced(struct evhttp_request *request, void *arg)
{
    Server *server = arg;
    if (request == NULL || evhttp_request_get_response_code(request) != 200) {
        server->host++;
    }
}

static void
call_control(Server *server, const char *what, json_t *body)
{
    const char *host =
        server->hosts[server->host % g_strv_length(server->hosts)];
    Address address;
    if (Address_Parse(host, &address, NULL) != ERR_OK) {
        return;
    }
    struct evhttp_connection *connection = evhttp_connection_base_new(
        server->base, NULL, address.host, address.port);
    evhttp_connection_free_on_completion(connection);
    evhttp_connection_set_timeout(connection, 1);
    struct evhttp_request *request = evhttp_request_new(on_announced, server);
    struct evkeyvalq *fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", host);
    evhttp_add_header(fields, "Content-Type", "application/json");
    char *text = json_dumps(body, JSON_COMPACT);
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    free(text);
    char *path = g_strdup_printf("/api/instances/%s/%s", server->id, what);
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
    g_free(path);
    json_decref(body);
}

static void
on_announce(evutil_socket_t fd, short events, void *arg)
{
    Server *server = arg;
    call_control(server, "heartbeat",
                 json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}",
                           "service", server->service, "address",
                           server->listen, "zone", server->zone, "version",
                           "v1", "slots", server->slots, "state",
                           server->draining ? "draining" : "ready",
                           "coldRemainingMs", 0, "sequence",
                           (json_int_t)++server->sequence, "born",
                           (json_int_t)server->born));
    struct timeval span = {.tv_usec = ANNOUNCE_MS * 1000};
    event_add(server->announce, &span);
}

static void
on_drain(evutil_socket_t fd, short events, void *arg)
{
    Server *server = arg;
    server->draining = true;
    on_announce(-1, 0, server);
}

static void
read_options(Server *server, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &server->listen,
         "Address to accept requests on", "IP:PORT"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &server->control,
         "Control hosts to announce to", "IP:PORT,..."},
        {"service", 0, 0, G_OPTION_ARG_STRING, &server->service,
         "Service to announce", "NAME"},
        {"id", 0, 0, G_OPTION_ARG_STRING, &server->id,
         "Instance id to announce", "ID"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &server->zone,
         "Availability zone to announce", "NAME"},
        {"record", 0, 0, G_OPTION_ARG_STRING, &server->record,
         "File to append one line for each request to", "FILE"},
        {"fault", 0, 0, G_OPTION_ARG_STRING, &server->fault,
         "Fault: cut, extra, unframed, error, shed, mute, no-seal or wrong-id",
         "KIND"},
        {"fault-count", 0, 0, G_OPTION_ARG_INT, &server->fault_count,
         "Number of requests with the fault", "N"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &server->slots,
         "Number of slots to announce", "N"},
        {"events", 0, 0, G_OPTION_ARG_INT, &server->events,
         "Number of events in a stream", "N"},
        {"gap-ms", 0, 0, G_OPTION_ARG_INT, &server->gap_ms,
         "Time between two events", "MS"},
        {"delay-ms", 0, 0, G_OPTION_ARG_INT, &server->delay_ms,
         "Time before an answer starts", "MS"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        server->listen == NULL || server->control == NULL ||
        server->service == NULL || server->id == NULL)
    {
        fprintf(stderr, "fake_server: %s\n",
                error != NULL
                    ? error->message
                    : "expected --listen, --control, --service and --id");
        exit(2);
    }
    g_option_context_free(context);
}

int
main(int argc, char **argv)
{
    Server server = {
        .zone = "west-1",
        .slots = 4,
        .events = 4,
        .gap_ms = 20,
        .delay_ms = 5,
        .fault_count = G_MAXINT,
    };
    read_options(&server, argc, argv);
    signal(SIGPIPE, SIG_IGN);
    server.hosts = g_strsplit(server.control, ",", -1);
    server.born = (uint64_t)Clock_WallMs();
    server.base = event_base_new();
    server.announce = event_new(server.base, -1, 0, on_announce, &server);
    Address address;
    Error err = ERROR_INIT;
    if (Address_Parse(server.listen, &address, &err) != ERR_OK ||
        evconnlistener_new_bind(server.base, on_accept, &server,
                                LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                (struct sockaddr *)&address.storage,
                                (int)address.length) == NULL)
    {
        fprintf(stderr, "fake_server: cannot listen at %s\n", server.listen);
        return 1;
    }
    event_add(evsignal_new(server.base, SIGUSR1, on_drain, &server), NULL);
    on_announce(-1, 0, &server);
    event_base_dispatch(server.base);
    return 0;
}
