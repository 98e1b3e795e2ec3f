/** @file
 * Crowd of clients that do not behave. All connect at once and send one of
 * the streams below; most never end their request and stay connected. While
 * they are there, the memory and the descriptors of the server are sampled.
 *
 * Prints `peak_kb=N fds=N answers=STATUS:COUNT,...`, where peak_kb is the most
 * resident memory of the server plus the bytes that wait unread in its sockets
 * at the port, in KB, and status 0 counts connections that ended without an
 * answer; `open` counts those that never ended.
 */
#include <dirent.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <glib.h>

#include "crowd_stream.h"
#include "kernel/clock.h"
#include "wire/address.h"

#define SAMPLE_MS 20
#define READ_BYTES 16384
/* Bytes of one write, unless the stream is sent piece by piece. */
#define WRITE_BYTES (256u * 1024)
#define PIECE_BYTES 4096
#define PIECE_GAP_MS 5
#define STATUS_OFFSET 9 /* of the status code in `HTTP/1.1 200` */
#define STATUS_MAX 1000

typedef struct Options {
    char *to;
    char *manner;
    StreamRequest request;
    int clients;
    int pid;
    int window;
    double seconds;
    gboolean pieces;
    gboolean deaf;
} Options;

typedef struct Crowd {
    Options options;
    Address address;
    struct event_base *base;
    Stream stream;
    unsigned open;
    size_t peak_kb;
    size_t peak_fds;
    unsigned statuses[STATUS_MAX];
} Crowd;

typedef struct Client {
    Crowd *crowd;
    int fd;
    struct event *writable;
    struct event *readable;
    uint64_t sent;
    char answer[16]; /* its first bytes */
    size_t answered;
} Client;

/* ---- Samples ---- */

static size_t
resident_kb(int pid)
{
    char path[64];
    char *text = NULL;
    g_snprintf(path, sizeof(path), "/proc/%d/status", pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    const char *line = strstr(text, "VmRSS:");
    size_t kb = line == NULL ? 0 : strtoul(line + strlen("VmRSS:"), NULL, 10);
    g_free(text);
    return kb;
}

/* Adds up the receive queues of the connected sockets at a local port. */
static size_t
unread_bytes(unsigned port)
{
    enum { LISTENING = 0x0a };
    FILE *file = fopen("/proc/net/tcp", "r");
    char line[256];
    size_t sum = 0;
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        unsigned local;
        unsigned state;
        unsigned long unread;
        if (sscanf(line, " %*d: %*8x:%x %*8x:%*x %x %*x:%lx", &local, &state,
                   &unread) == 3 &&
            local == port && state != LISTENING)
        {
            sum += unread;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return sum;
}

static size_t
descriptor_count(int pid)
{
    char path[64];
    g_snprintf(path, sizeof(path), "/proc/%d/fd", pid);
    DIR *folder = opendir(path);
    size_t count = 0;
    while (folder != NULL && readdir(folder) != NULL) {
        count++;
    }
    if (folder != NULL) {
        closedir(folder);
    }
    return count > 2 ? count - 2 : 0;
}

static void
on_sample(evutil_socket_t fd, short events, void *arg)
{
    Crowd *crowd = arg;
    size_t kb = resident_kb(crowd->options.pid) +
                unread_bytes(crowd->address.port) / 1024;
    size_t fds = descriptor_count(crowd->options.pid);
    crowd->peak_kb = MAX(crowd->peak_kb, kb);
    crowd->peak_fds = MAX(crowd->peak_fds, fds);
}

/* ---- Clients ---- */

static void
end_client(Client *client)
{
    Crowd *crowd = client->crowd;
    unsigned status = 0;
    if (client->answered > STATUS_OFFSET) {
        status = (unsigned)strtoul(client->answer + STATUS_OFFSET, NULL, 10);
    }
    crowd->statuses[status < STATUS_MAX ? status : 0]++;
    event_free(client->writable);
    event_free(client->readable);
    close(client->fd);
    g_free(client);
    if (--crowd->open == 0) {
        event_base_loopbreak(crowd->base);
    }
}

static void
on_readable(evutil_socket_t fd, short events, void *arg)
{
    Client *client = arg;
    char data[READ_BYTES];
    ssize_t count = recv(fd, data, sizeof(data), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        end_client(client);
        return;
    }
    size_t room = sizeof(client->answer) - 1 - client->answered;
    size_t kept = MIN(room, (size_t)count);
    memcpy(client->answer + client->answered, data, kept);
    client->answered += kept;
}

static void
on_writable(evutil_socket_t fd, short events, void *arg)
{
    Client *client = arg;
    const Crowd *crowd = client->crowd;
    const Options *options = &crowd->options;
    uint64_t total = Stream_Length(&crowd->stream);
    size_t left = options->pieces ? PIECE_BYTES : WRITE_BYTES;
    while (left > 0 && client->sent < total) {
        size_t length;
        const char *data = Stream_At(&crowd->stream, client->sent, &length);
        ssize_t count =
            send(client->fd, data, MIN(length, left), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count < 0) {
            /* The answer, if there is one, can still be read. */
            if (options->deaf) {
                end_client(client);
            }
            return;
        }
        client->sent += (uint64_t)count;
        left -= (size_t)count;
    }
    if (client->sent == total) {
        return;
    }
    if (options->pieces) {
        struct timeval gap = {.tv_usec = PIECE_GAP_MS * 1000};
        event_add(client->writable, &gap);
        return;
    }
    event_add(client->writable, NULL);
}

static void
add_client(Crowd *crowd)
{
    Client *client = g_new0(Client, 1);
    client->crowd = crowd;
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    short wait = crowd->options.pieces ? EV_TIMEOUT : EV_WRITE;
    client->writable =
        event_new(crowd->base, wait == EV_WRITE ? client->fd : -1, wait,
                  on_writable, client);
    client->readable = event_new(crowd->base, client->fd, EV_READ | EV_PERSIST,
                                 on_readable, client);
    crowd->open++;
    const int *window = &crowd->options.window;
    if (*window > 0 && setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, window,
                                  sizeof(*window)) != 0)
    {
        perror("SO_RCVBUF");
    }
    if (connect(client->fd, (const struct sockaddr *)&crowd->address.storage,
                (socklen_t)crowd->address.length) != 0 &&
        errno != EINPROGRESS)
    {
        perror("connect");
    }
    struct timeval gap = {.tv_usec = PIECE_GAP_MS * 1000};
    event_add(client->writable, wait == EV_TIMEOUT ? &gap : NULL);
    if (!crowd->options.deaf) {
        event_add(client->readable, NULL);
    }
}

static void
print_result(const Crowd *crowd)
{
    printf("peak_kb=%zu fds=%zu answers=", crowd->peak_kb, crowd->peak_fds);
    for (unsigned i = 0; i < STATUS_MAX; i++) {
        if (crowd->statuses[i] > 0) {
            printf("%u:%u,", i, crowd->statuses[i]);
        }
    }
    printf("open:%u\n", crowd->open);
}

static bool
parse_options(Options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"to", 0, 0, G_OPTION_ARG_STRING, &options->to, "Server", "IP:PORT"},
        {"manner", 0, 0, G_OPTION_ARG_STRING, &options->manner, "Stream",
         "NAME"},
        {"method", 0, 0, G_OPTION_ARG_STRING, &options->request.method,
         "Method", "NAME"},
        {"path", 0, 0, G_OPTION_ARG_STRING, &options->request.path, "Target",
         "PATH"},
        {"field", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->request.fields,
         "Field of each request", "NAME: VALUE"},
        {"clients", 0, 0, G_OPTION_ARG_INT, &options->clients,
         "Clients at once", "N"},
        {"body", 0, 0, G_OPTION_ARG_INT64, &options->request.body_bytes,
         "Largest allowed body", "BYTES"},
        {"pid", 0, 0, G_OPTION_ARG_INT, &options->pid, "Process to sample",
         "PID"},
        {"window", 0, 0, G_OPTION_ARG_INT, &options->window,
         "Receive buffer of each client", "BYTES"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options->seconds,
         "Time until all clients leave", "S"},
        {"pieces", 0, 0, G_OPTION_ARG_NONE, &options->pieces,
         "Send piece by piece", NULL},
        {"deaf", 0, 0, G_OPTION_ARG_NONE, &options->deaf, "Never read", NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, NULL);
    g_option_context_free(context);
    return parsed && options->to != NULL && options->manner != NULL;
}

int
main(int argc, char **argv)
{
    Crowd crowd = {
        .options =
            {
                .request =
                    {
                        .method = "POST",
                        .path = "/",
                        .body_bytes = 1 << 20,
                    },
                .clients = 1,
                .seconds = 3,
            },
    };
    Error err = ERROR_INIT;
    if (!parse_options(&crowd.options, argc, argv) ||
        !Stream_Make(&crowd.stream, &crowd.options.request,
                     crowd.options.manner) ||
        Address_Parse(crowd.options.to, &crowd.address, &err) != ERR_OK)
    {
        fprintf(stderr, "usage: crowd --to IP:PORT --manner NAME ...\n");
        return 2;
    }
    crowd.base = event_base_new();
    for (int i = 0; i < crowd.options.clients; i++) {
        add_client(&crowd);
    }
    struct event *sample =
        event_new(crowd.base, -1, EV_PERSIST, on_sample, &crowd);
    struct timeval period = {.tv_usec = SAMPLE_MS * 1000};
    event_add(sample, &period);
    struct timeval end = {
        .tv_sec = (time_t)crowd.options.seconds,
        .tv_usec = (suseconds_t)((crowd.options.seconds -
                                  (double)(time_t)crowd.options.seconds) *
                                 1e6),
    };
    event_base_loopexit(crowd.base, &end);
    event_base_dispatch(crowd.base);
    on_sample(-1, 0, &crowd);
    print_result(&crowd);
    return 0;
}
