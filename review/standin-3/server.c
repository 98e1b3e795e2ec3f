/** @file
 * Stand-in for a server of a service. It announces itself to the control
 * hosts as the pages tell, answers requests with its seal and their id, and
 * records what it runs.
 *
 * Paths below /stream/ are answered with an event stream, all others with one
 * body. SIGUSR1 makes it announce that it drains; the answer to that is
 * recorded, and it goes on serving until it is ended.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define CONNS_MAX 4096
#define HEAD_MAX 65536
#define CONTROLS_MAX 8
#define BEAT_MS 1000
#define CALL_TIMEOUT_MS 1000

typedef struct Conn {
    int fd;
    char *in;
    size_t in_length;
    char *out;
    size_t out_length;
    size_t out_capacity;
    bool running;
    bool is_stream;
    char id[128];
    int64_t next_at; /* of the answer or of the next event */
    long next_event;
} Conn;

static struct {
    const char *listen;
    const char *service;
    const char *id;
    const char *zone;
    const char *controls[CONTROLS_MAX];
    size_t control_count;
    long slots;
    long events;
    long event_bytes;
    long gap_ms;
    long delay_ms;
    long answer_bytes;
    int64_t born;
    FILE *record;
    pthread_mutex_t lock;
} server = {.lock = PTHREAD_MUTEX_INITIALIZER};

static Conn conns[CONNS_MAX];
static atomic_bool draining;
static volatile sig_atomic_t drain_asked;

static void
record(const char *what, const char *detail, const char *more)
{
    pthread_mutex_lock(&server.lock);
    fprintf(server.record, "%lld server %s %s %s %s\n",
            (long long)Net_WallMs(), server.id, what, detail, more);
    fflush(server.record);
    pthread_mutex_unlock(&server.lock);
}

/* ---- Announcements ---- */

static void *
announce(void *arg)
{
    (void)arg;
    unsigned sequence = 0;
    size_t next = 0;
    bool told = false;
    for (;;) {
        char path[256];
        char body[1024];
        bool leaves = atomic_load(&draining);
        snprintf(path, sizeof(path), "/api/instances/%s/heartbeat", server.id);
        int length = snprintf(
            body, sizeof(body),
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%ld,\"state\":\"%s\","
            "\"coldRemainingMs\":0,\"sequence\":%u,\"born\":%lld}",
            server.service, server.listen, server.zone, server.slots,
            leaves ? "draining" : "ready", ++sequence,
            (long long)server.born);
        const char *control = server.controls[next];
        int status = Net_Call(control, "POST", path, body, (size_t)length,
                              NULL, 0, CALL_TIMEOUT_MS);
        bool acked = status >= 200 && status < 300;
        if (!acked) {
            next = (next + 1) % server.control_count;
        }
        if (leaves && acked && !told) {
            told = true;
            record("draining-acknowledged", control, "");
        }
        if (sequence == 1 || !acked) {
            char text[32];
            snprintf(text, sizeof(text), "status=%d", status);
            record("announced", control, text);
        }
        for (int waited = 0; waited < (acked ? BEAT_MS : 100); waited += 20) {
            usleep(20000);
            if (atomic_load(&draining) && !leaves) {
                break;
            }
        }
    }
    return NULL;
}

static void
on_drain(int signal_number)
{
    (void)signal_number;
    drain_asked = 1;
}

/* ---- Connections ---- */

static void
close_conn(Conn *conn)
{
    if (conn->running) {
        record("dropped", conn->id, "");
    }
    close(conn->fd);
    free(conn->in);
    free(conn->out);
    *conn = (Conn){.fd = -1};
}

static void
flush_conn(Conn *conn)
{
    while (conn->out_length > 0) {
        ssize_t written =
            send(conn->fd, conn->out, conn->out_length, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close_conn(conn);
            }
            return;
        }
        conn->out_length -= (size_t)written;
        memmove(conn->out, conn->out + written, conn->out_length);
    }
}

static void
add_output(Conn *conn, const char *bytes, size_t length)
{
    if (conn->out_length + length > conn->out_capacity) {
        conn->out_capacity = 2 * (conn->out_length + length);
        conn->out = realloc(conn->out, conn->out_capacity);
    }
    memcpy(conn->out + conn->out_length, bytes, length);
    conn->out_length += length;
}

static void
add_text(Conn *conn, const char *text)
{
    add_output(conn, text, strlen(text));
}

static void
print_head(Conn *conn, int status, const char *fields)
{
    char head[1024];
    snprintf(head, sizeof(head),
             "HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\n"
             "Keep-Alive: timeout=30\r\n%s",
             status, conn->id, server.id, fields);
    add_text(conn, head);
}

static void
end_answer(Conn *conn, const char *outcome)
{
    conn->running = false;
    record("answered", conn->id, outcome);
}

static void
send_event(Conn *conn)
{
    char event[8192];
    int length = snprintf(event, sizeof(event), "id: %ld\ndata: ",
                          conn->next_event);
    for (long i = 0; i < server.event_bytes && length < 8000; i++) {
        event[length++] = (char)('a' + conn->next_event % 26);
    }
    length += snprintf(event + length, sizeof(event) - (size_t)length, "\n\n");
    char size[16];
    snprintf(size, sizeof(size), "%x\r\n", (unsigned)length);
    add_text(conn, size);
    add_output(conn, event, (size_t)length);
    add_text(conn, "\r\n");
}

/* Sends what is due of an answer. */
static void
advance(Conn *conn, int64_t now)
{
    if (!conn->running || now < conn->next_at) {
        return;
    }
    if (!conn->is_stream) {
        char fields[512];
        snprintf(fields, sizeof(fields),
                 "Server-Seal: seal-%s\r\nContent-Type: text/plain\r\n"
                 "Content-Length: %ld\r\n\r\n",
                 server.id, server.answer_bytes);
        print_head(conn, 200, fields);
        char *body = malloc((size_t)server.answer_bytes);
        memset(body, 'y', (size_t)server.answer_bytes);
        add_output(conn, body, (size_t)server.answer_bytes);
        free(body);
        end_answer(conn, "whole");
    }
    else if (conn->next_event < server.events) {
        conn->next_event++;
        send_event(conn);
        conn->next_at += server.gap_ms;
    }
    else {
        add_text(conn, "0\r\n\r\n");
        end_answer(conn, "whole");
    }
    flush_conn(conn);
}

static void
begin_run(Conn *conn, const char *path)
{
    conn->running = true;
    conn->is_stream = strncmp(path, "/stream/", 8) == 0;
    conn->next_event = 0;
    conn->next_at =
        Net_NowMs() + (conn->is_stream ? server.gap_ms : server.delay_ms);
    record("runs", conn->id, path);
    if (conn->is_stream) {
        char fields[256];
        snprintf(fields, sizeof(fields),
                 "Server-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 server.id);
        print_head(conn, 200, fields);
        flush_conn(conn);
    }
}

static void
refuse(Conn *conn, int status)
{
    print_head(conn, status, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    flush_conn(conn);
}

/* Handles a request whose head and body have arrived. */
static void
serve(Conn *conn, const char *head)
{
    char path[512] = "";
    char instance[128];
    sscanf(head, "%*s %511s", path);
    if (!Net_Field(head, "Attempt-Id", conn->id, sizeof(conn->id))) {
        conn->id[0] = '\0';
        if (strcmp(path, "/healthz") == 0) {
            print_head(conn, 200, "Content-Length: 0\r\n\r\n");
            flush_conn(conn);
            return;
        }
        if (strcmp(path, "/api/report") == 0) {
            char fields[256];
            char body[160];
            snprintf(body, sizeof(body),
                     "{\"phase\":\"both\",\"queued\":0,\"active\":0,"
                     "\"born\":%lld}",
                     (long long)server.born);
            snprintf(fields, sizeof(fields), "Content-Length: %zu\r\n\r\n%s",
                     strlen(body), body);
            print_head(conn, 200, fields);
            flush_conn(conn);
            return;
        }
        refuse(conn, 400);
        return;
    }
    if (Net_Field(head, "Expect-Instance", instance, sizeof(instance)) &&
        strcmp(instance, server.id) != 0)
    {
        refuse(conn, 421);
        return;
    }
    begin_run(conn, path);
}

static void
read_conn(Conn *conn)
{
    if (conn->in == NULL) {
        conn->in = malloc(HEAD_MAX);
    }
    ssize_t got = recv(conn->fd, conn->in + conn->in_length,
                       HEAD_MAX - 1 - conn->in_length, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        close_conn(conn);
        return;
    }
    conn->in_length += (size_t)got;
    conn->in[conn->in_length] = '\0';
    char *end = strstr(conn->in, "\r\n\r\n");
    if (conn->running || end == NULL) {
        return;
    }
    char length_text[32] = "0";
    Net_Field(conn->in, "Content-Length", length_text, sizeof(length_text));
    size_t total =
        (size_t)(end + 4 - conn->in) + strtoul(length_text, NULL, 10);
    if (conn->in_length < total) {
        return;
    }
    char *head = strndup(conn->in, (size_t)(end + 4 - conn->in));
    conn->in_length -= total;
    memmove(conn->in, conn->in + total, conn->in_length);
    serve(conn, head);
    free(head);
}

static void
accept_conns(int listener)
{
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        size_t i = 0;
        while (i < CONNS_MAX && conns[i].fd >= 0) {
            i++;
        }
        if (i == CONNS_MAX) {
            close(fd);
            continue;
        }
        conns[i] = (Conn){.fd = fd};
    }
}

static void
read_options(int argc, char **argv)
{
    server.listen = Net_Option(argc, argv, "--listen", "127.0.0.1:9000");
    server.service = Net_Option(argc, argv, "--service", "app");
    server.id = Net_Option(argc, argv, "--id", "server");
    server.zone = Net_Option(argc, argv, "--zone", "west-1");
    server.slots = Net_Number(argc, argv, "--slots", 8);
    server.events = Net_Number(argc, argv, "--events", 10);
    server.event_bytes = Net_Number(argc, argv, "--event-bytes", 50);
    server.gap_ms = Net_Number(argc, argv, "--gap-ms", 20);
    server.delay_ms = Net_Number(argc, argv, "--delay-ms", 20);
    server.answer_bytes = Net_Number(argc, argv, "--answer-bytes", 800);
    server.born = Net_WallMs() + Net_Number(argc, argv, "--clock-ms", 0);
    const char *file = Net_Option(argc, argv, "--record", "/dev/null");
    server.record = fopen(file, "a");
    char *list = strdup(Net_Option(argc, argv, "--control", ""));
    for (char *at = strtok(list, ",");
         at != NULL && server.control_count < CONTROLS_MAX;
         at = strtok(NULL, ","))
    {
        server.controls[server.control_count++] = at;
    }
    if (server.record == NULL || server.control_count == 0) {
        fprintf(stderr, "server: expected --record FILE --control LIST\n");
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    read_options(argc, argv);
    Net_RaiseDescriptors();
    for (size_t i = 0; i < CONNS_MAX; i++) {
        conns[i].fd = -1;
    }
    signal(SIGUSR1, on_drain);
    int listener = Net_Listen(server.listen);
    pthread_t thread;
    pthread_create(&thread, NULL, announce, NULL);
    static struct pollfd polls[CONNS_MAX + 1];
    static size_t places[CONNS_MAX + 1];
    for (;;) {
        if (drain_asked) {
            atomic_store(&draining, true);
        }
        nfds_t count = 0;
        polls[count++] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (size_t i = 0; i < CONNS_MAX; i++) {
            if (conns[i].fd >= 0) {
                short wanted = conns[i].out_length > 0 ? POLLIN | POLLOUT
                                                       : POLLIN;
                places[count] = i;
                polls[count++] =
                    (struct pollfd){.fd = conns[i].fd, .events = wanted};
            }
        }
        if (poll(polls, count, 5) < 0) {
            continue;
        }
        int64_t now = Net_NowMs();
        for (nfds_t p = 1; p < count; p++) {
            Conn *conn = &conns[places[p]];
            if ((polls[p].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
                read_conn(conn);
            }
            if (conn->fd >= 0 && (polls[p].revents & POLLOUT) != 0) {
                flush_conn(conn);
            }
            if (conn->fd >= 0) {
                advance(conn, now);
            }
        }
        if ((polls[0].revents & POLLIN) != 0) {
            accept_conns(listener);
        }
    }
}
