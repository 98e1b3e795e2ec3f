/** @file
 * Fake server of the platform: announces itself to control hosts, answers as
 * the platform's servers do, records the requests that it runs, and fails in
 * the way that --fault names. It writes raw bytes, since some faults break the
 * framing.
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

#include "fake_announce.h"
#include "fake_deadly.h"
#include "fake_endless.h"
#include "fake_limit.h"
#include "fake_raw.h"
#include "fake_server.h"
#include "fake_speed.h"
#include "http1/parser.h"
#include "kernel/clock.h"
#include "wire/address.h"

#define HEAD_MAX_BYTES 16384

/* One connection and the request on it. */
typedef struct Connection {
    Server *server;
    struct bufferevent *bev;
    H1Parser *parser;
    struct event *timer;
    char *id; /* Attempt-Id of the request */
    char *target;
    char *deadly_target; /* names how the request ends the server */
    char *shed_id; /* of a refusal to repeat at the next request; else NULL */
    DeadlyWhen deadly;
    bool streamed;
    bool running;   /* counts in the server's running requests */
    bool bare;      /* the stream has neither a length nor chunks */
    int next_event; /* id of the next event */
    /* Kind of fault; empty for none. "close" makes on_timer() close the
     * connection. */
    char fault[32];
} Connection;

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
free_connection(Connection *connection)
{
    FakeSpeed_SetRunning(connection->server, &connection->running, false);
    bufferevent_free(connection->bev);
    event_free(connection->timer);
    H1Parser_Free(connection->parser);
    g_free(connection->id);
    g_free(connection->target);
    g_free(connection->deadly_target);
    g_free(connection->shed_id);
    g_free(connection);
}

static void
end_server(Connection *connection)
{
    Server *server = connection->server;
    if (g_hash_table_add(server->ended_under,
                         g_strdup(connection->deadly_target))) {
        record(server, "ended-under %s %lld\n", connection->deadly_target,
               (long long)Clock_WallMs());
    }
    event_del(server->announce_timer);
    Deadly_End(server->base, server->listener, connection->bev,
               connection->deadly_target);
}

static struct evbuffer *
output_of(Connection *connection)
{
    return bufferevent_get_output(connection->bev);
}

static void
schedule(Connection *connection, int ms)
{
    struct timeval delay = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(connection->timer, &delay);
}

static void
write_head(Connection *connection, int status, const char *more_fields)
{
    bool wrong = strcmp(connection->fault, "wrong-id") == 0;
    evbuffer_add_printf(output_of(connection), "HTTP/1.1 %d Status\r\n",
                        status);
    evbuffer_add_printf(output_of(connection), "Attempt-Id: %s%s\r\n",
                        wrong ? "x" : "", connection->id);
    if (strcmp(connection->fault, "no-seal") != 0) {
        evbuffer_add_printf(output_of(connection), "Server-Seal: seal-%s\r\n",
                            connection->server->id);
    }
    FakeLimit_Write(output_of(connection), connection->server->limit_file);
    FakeSpeed_Write(output_of(connection), connection->server);
    if (connection->server->leaving) {
        evbuffer_add_printf(output_of(connection), "Server-Leaving: 1\r\n");
    }
    evbuffer_add_printf(output_of(connection), "%s", more_fields);
}

/* Closes the connection once its output is written. */
static void
close_after_flush(Connection *connection)
{
    bufferevent_flush(connection->bev, EV_WRITE, BEV_FINISHED);
    g_strlcpy(connection->fault, "close", sizeof(connection->fault));
    schedule(connection, 20);
}

static void
answer_plain(Connection *connection)
{
    const char *fault = connection->fault;
    FakeSpeed_SetRunning(connection->server, &connection->running, false);
    bool is_report = strcmp(connection->target, "/api/report") == 0;
    char *body =
        is_report
            ? g_strdup_printf("{\"born\":%llu}\n",
                              (unsigned long long)connection->server->born)
            : g_strdup_printf("{\"server\":\"%s\",\"request\":\"%s\"}\n",
                              connection->server->id, connection->id);
    size_t length = strlen(body);
    bool cut =
        strcmp(fault, "cut") == 0 || connection->deadly == DEADLY_IN_BODY;
    bool unframed = strcmp(fault, "unframed") == 0;
    char *framing =
        unframed ? g_strdup("Connection: close\r\n\r\n")
                 : g_strdup_printf("Content-Length: %zu\r\n\r\n", length);
    write_head(connection, strcmp(fault, "error") == 0 ? 500 : 200, framing);
    if (connection->deadly != DEADLY_AFTER_HEAD) {
        evbuffer_add(output_of(connection), body, cut ? length / 2 : length);
    }
    if (strcmp(fault, "extra") == 0) {
        write_head(connection, 200, framing);
        evbuffer_add(output_of(connection), body, length);
    }
    g_free(framing);
    g_free(body);
    H1Parser_Reset(connection->parser);
    if (connection->deadly != DEADLY_NEVER) {
        end_server(connection);
        return;
    }
    if (cut || unframed) {
        close_after_flush(connection);
    }
}

static void
write_chunk(Connection *connection, const char *text)
{
    if (connection->bare) {
        evbuffer_add_printf(output_of(connection), "%s", text);
        return;
    }
    evbuffer_add_printf(output_of(connection), "%zx\r\n%s\r\n", strlen(text),
                        text);
}

static void
send_event(Connection *connection)
{
    const Server *server = connection->server;
    char *padding = g_strnfill((gsize)server->event_bytes, '.');
    char *event = g_strdup_printf(
        "id: %d\ndata: %s%s%s%s\n\n", connection->next_event, server->id,
        server->software != NULL ? " " : "",
        server->software != NULL ? server->software : "", padding);
    g_free(padding);
    write_chunk(connection, event);
    g_free(event);
    if (strcmp(connection->fault, "cut") == 0 &&
        connection->next_event >= server->events / 2)
    {
        write_chunk(connection, "id: 99\nda"); /* an incomplete event */
        g_strlcpy(connection->fault, "close", sizeof(connection->fault));
        schedule(connection, 20);
        return;
    }
    if ((connection->deadly == DEADLY_IN_BODY &&
         connection->next_event >= server->events / 2) ||
        (connection->deadly == DEADLY_AT_EVENT &&
         connection->next_event == server->events / 2))
    {
        end_server(connection);
        return;
    }
    if (connection->next_event++ >= server->events) {
        if (!connection->bare) {
            evbuffer_add_printf(output_of(connection), "0\r\n\r\n");
        }
        record(server, "ended %s\n", connection->id);
        FakeSpeed_SetRunning(connection->server, &connection->running, false);
        H1Parser_Reset(connection->parser);
        if (connection->deadly == DEADLY_AFTER_END) {
            end_server(connection);
        }
        else if (connection->bare) {
            close_after_flush(connection);
        }
        return;
    }
    schedule(connection, server->gap_ms);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Connection *connection = arg;
    if (strcmp(connection->fault, "close") == 0) {
        free_connection(connection);
        return;
    }
    if (connection->deadly == DEADLY_AT_START ||
        connection->deadly == DEADLY_LATER ||
        (connection->streamed && connection->deadly == DEADLY_AFTER_HEAD))
    {
        end_server(connection);
        return;
    }
    if (!connection->streamed) {
        answer_plain(connection);
        return;
    }
    send_event(connection);
}

static void
refuse(Connection *connection, int status, const char *more_fields)
{
    char *fields = g_strdup_printf("%sContent-Length: 0\r\n\r\n", more_fields);
    write_head(connection, status, fields);
    g_free(fields);
    H1Parser_Reset(connection->parser);
}

/* Records the arrival of a request; @p id is NULL for a keeper's probe. */
static void
record_arrival(const Server *server, const char *id)
{
    if ((server->limit_file != NULL || server->rest_file != NULL ||
         server->arrivals) &&
        id != NULL)
    {
        record(server, "arrived %lld %s\n", (long long)Clock_WallMs(), id);
    }
    if (server->rest_file != NULL && id == NULL) {
        record(server, "probed %lld\n", (long long)Clock_WallMs());
    }
}

/* Answers the health path at once, with the load in the head.
 * @return false when the request is for another path. */
static bool
answers_health(Connection *connection)
{
    const Server *server = connection->server;
    if (g_strcmp0(connection->target, server->health_path) != 0) {
        return false;
    }
    record(server, "asked %lld\n", (long long)Clock_WallMs());
    if (g_strcmp0(server->fault, "endless-each") == 0) {
        FakeEndless_TakeOver(connection->bev, server->fault,
                             connection->target, connection->id);
        return true;
    }
    write_head(connection, 200, "Content-Length: 0\r\n\r\n");
    H1Parser_Reset(connection->parser);
    return true;
}

/* Refuses a request for another instance, and all while the server rests.
 * @return false when the request is to be run. */
static bool
refuses(Connection *connection, const H1Head *head)
{
    const Server *server = connection->server;
    const char *expected_id = H1Head_Get(head, "Expect-Instance");
    if (expected_id != NULL && strcmp(expected_id, server->id) != 0) {
        refuse(connection, 421, "Not-Executed: 1\r\n");
        return true;
    }
    char *rest = FakeLimit_ReadRest(server->rest_file);
    if (rest == NULL) {
        return false;
    }

    char *fields =
        g_strdup_printf("Not-Executed: 1\r\nRetry-After: %s\r\n", rest);
    record(server, "rests %lld %s %s\n", (long long)Clock_WallMs(),
           connection->id, rest);
    refuse(connection, 503, fields);
    g_free(fields);
    g_free(rest);
    return true;
}

/* Sets the fault that the request gets, if any.
 * @return true when it fails by --error-every. */
static bool
select_fault(Connection *connection, const H1Head *head)
{
    Server *server = connection->server;
    const char *id = H1Head_Get(head, "Attempt-Id");
    bool has_turn = server->fault_every == 1;
    if (!has_turn && H1Head_Get(head, "Model") != NULL) {
        has_turn = ++server->stream_count % server->fault_every == 0;
    }
    if (server->fault != NULL && server->fault_count > 0 && has_turn) {
        server->fault_count--;
        g_strlcpy(connection->fault, server->fault, sizeof(connection->fault));
    }
    bool fails =
        server->error_every > 0 && id != NULL &&
        Clock_WallMs() - (int64_t)server->born >= server->error_after_ms &&
        ++server->request_count % (guint)server->error_every == 0;
    if (fails) {
        record(server, "failed %lld %s\n", (long long)Clock_WallMs(), id);
        g_strlcpy(connection->fault, "error", sizeof(connection->fault));
    }
    return fails;
}

/* Writes the refusal of an earlier request once more, as the first bytes after
 * another request has arrived. */
static void
repeat_refusal(Connection *connection)
{
    if (connection->shed_id == NULL) {
        return;
    }
    evbuffer_add_printf(output_of(connection),
                        "HTTP/1.1 503 Status\r\nAttempt-Id: %s\r\n"
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        connection->shed_id);
    g_clear_pointer(&connection->shed_id, g_free);
}

static void
run_request(Connection *connection, const H1Head *head)
{
    Server *server = connection->server;
    const char *last_event = H1Head_Get(head, "Last-Event-Id");
    const char *tenant = H1Head_Get(head, "Tenant");
    const char *id = H1Head_Get(head, "Attempt-Id");
    g_free(connection->id);
    connection->id = g_strdup(id != NULL ? id : "none");
    g_free(connection->target);
    connection->target = g_strdup(head->target);
    g_free(connection->deadly_target);
    connection->deadly_target = NULL;
    connection->deadly = DEADLY_NEVER;
    connection->fault[0] = '\0';
    repeat_refusal(connection);
    record_arrival(server, id);
    if (answers_health(connection) || refuses(connection, head)) {
        return;
    }
    bool fails = select_fault(connection, head);
    bool sheds_again = strcmp(connection->fault, "shed-again") == 0;
    if (strcmp(connection->fault, "shed") == 0 || sheds_again) {
        refuse(connection, 503, "Not-Executed: 1\r\n");
        g_free(connection->shed_id);
        connection->shed_id = sheds_again ? g_strdup(connection->id) : NULL;
        return;
    }
    struct evbuffer *body = H1Parser_Body(connection->parser);
    bool has_key = H1Head_Get(head, "Authorization") != NULL;
    record(server, "ran %s %s %s tenant=%s after=%s key=%s body=%zu\n",
           connection->id, head->method, head->target,
           tenant != NULL ? tenant : "-",
           last_event != NULL ? last_event : "-", has_key ? "yes" : "no",
           evbuffer_get_length(body));
    if (FakeRaw_Write(connection->bev,
                      last_event != NULL && server->raw_rest != NULL
                          ? server->raw_rest
                          : server->raw_answer,
                      connection->id, server->raw_reset))
    {
        close_after_flush(connection);
        return;
    }
    connection->streamed = H1Head_Get(head, "Model") != NULL && !fails;
    connection->deadly_target = Deadly_Target(
        server->deadly_parts, H1Head_Get(head, "Prefix-Hash"), head->target);
    connection->deadly = Deadly_When(connection->deadly_target);
    if (connection->deadly != DEADLY_NEVER) {
        record(server, "sent-deadly %s %lld\n", connection->deadly_target,
               (long long)Clock_WallMs());
    }
    if (strcmp(connection->fault, "mute") == 0 ||
        FakeEndless_TakeOver(connection->bev, connection->fault,
                             connection->target, connection->id))
    {
        return;
    }
    bool has_head = connection->deadly != DEADLY_AT_START &&
                    connection->deadly != DEADLY_LATER;
    if (connection->streamed && has_head) {
        connection->next_event = last_event == NULL ? 1 : atoi(last_event) + 1;
        connection->bare = strstr(connection->deadly_target, "bare") != NULL;
        write_head(connection, 200,
                   connection->bare ? "Content-Type: text/event-stream\r\n"
                                      "Connection: close\r\n\r\n"
                                    : "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n");
    }
    FakeSpeed_SetRunning(connection->server, &connection->running, true);
    schedule(connection, FakeSpeed_DelayMs(server, server->delay_ms));
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    Connection *connection = arg;
    Error err = ERROR_INIT;
    for (;;) {
        switch (H1Parser_Next(connection->parser, bufferevent_get_input(bev),
                              &err)) {
        case H1_HEAD:
        case H1_BODY:
            break;
        case H1_DONE:
            run_request(connection, H1Parser_Head(connection->parser));
            return;
        case H1_NEED_MORE:
            return;
        case H1_INVALID:
            record(connection->server, "bad bytes: %s\n", err.text);
            free_connection(connection);
            return;
        }
    }
}

static void
on_event(struct bufferevent *bev, short events, void *arg)
{
    Connection *connection = arg;
    if (H1Parser_InMessage(connection->parser)) {
        record(connection->server, "left %s\n",
               connection->id != NULL ? connection->id : "none");
    }
    free_connection(connection);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int length, void *arg)
{
    Server *server = arg;
    Connection *connection = g_new0(Connection, 1);
    connection->server = server;
    connection->parser = H1Parser_New(H1_REQUEST, HEAD_MAX_BYTES);
    connection->timer = event_new(server->base, -1, 0, on_timer, connection);
    connection->bev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (server->read_limit != NULL) {
        bufferevent_set_rate_limit(connection->bev, server->read_limit);
    }
    bufferevent_setcb(connection->bev, on_read, NULL, on_event, connection);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
}

/* Says in answers, but not in heartbeats, that it leaves. */
static void
on_leave(evutil_socket_t fd, short events, void *arg)
{
    Server *server = arg;
    server->leaving = true;
    record(server, "leaves %lld\n", (long long)Clock_WallMs());
}

static void
on_drain(evutil_socket_t fd, short events, void *arg)
{
    Server *server = arg;
    server->draining = true;
    FakeAnnounce_OnTimer(-1, 0, server);
}

/* Applies the options on the identity of a start, which is counted from 1. */
static void
apply_start(Server *server, int start)
{
    if (server->new_id) {
        server->id = g_strdup_printf("%s-%d", server->id, start);
    }
    if (server->software != NULL) {
        gchar **versions = g_strsplit(server->software, ",", -1);
        guint count = g_strv_length(versions);
        server->software = g_strdup(versions[(guint)(start - 1) % count]);
        g_strfreev(versions);
    }
    if (server->moves > 1) {
        server->listen =
            Deadly_MovedAddress(server->listen, (start - 1) % server->moves);
    }
}

static int
run_server(void *arg, int start)
{
    Server *server = arg;
    const char *name = server->id;
    apply_start(server, start);
    server->ended_under = g_hash_table_new(g_str_hash, g_str_equal);
    server->born = (uint64_t)Clock_WallMs();
    if (server->rest_file != NULL || server->limit_file != NULL) {
        record(server, "started %lld\n", (long long)server->born);
    }
    server->base = event_base_new();
    if (server->leaves && start > 1) {
        FakeAnnounce_DeregisterPrevious(server, name, start);
    }
    server->announce_timer =
        event_new(server->base, -1, 0, FakeAnnounce_OnTimer, server);
    Address address;
    Error err = ERROR_INIT;
    if (Address_Parse(server->listen, &address, &err) == ERR_OK) {
        server->listener = evconnlistener_new_bind(
            server->base, on_accept, server,
            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
            (struct sockaddr *)&address.storage, (int)address.length);
    }
    if (server->listener == NULL) {
        fprintf(stderr, "fake_server: cannot listen at %s\n", server->listen);
        return 1;
    }
    event_add(evsignal_new(server->base, SIGUSR1, on_drain, server), NULL);
    event_add(evsignal_new(server->base, SIGUSR2, on_leave, server), NULL);
    struct timeval delay = {
        .tv_sec = server->silent_ms / 1000,
        .tv_usec = server->silent_ms % 1000 * 1000,
    };
    event_add(server->announce_timer, &delay);
    event_base_dispatch(server->base);
    return 0;
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
        .fault_every = 1,
    };
    FakeServer_ReadOptions(&server, argc, argv);
    signal(SIGPIPE, SIG_IGN);
    server.control_hosts = g_strsplit(server.control, ",", -1);
    if (server.read_rate > 0) {
        size_t rate = (size_t)server.read_rate;
        server.read_limit = ev_token_bucket_cfg_new(
            rate, rate, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, NULL);
    }
    if (server.restart_ms > 0) {
        return Deadly_Supervise(server.restart_ms, run_server, &server);
    }
    return run_server(&server, 1);
}
