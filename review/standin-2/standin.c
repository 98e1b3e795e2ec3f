/* Stand-ins for the review: a server, clients, and calls to the control API.
 *
 *   standin server IP:PORT ID DELAY_MS RECORD   serves until it is killed
 *   standin api IP:PORT METHOD PATH [BODY]      prints status and body
 *   standin calls IP:PORT PREFIX COUNT BYTES PATH RECORD
 *                                               COUNT requests at once
 *   standin heads IP:PORT PREFIX COUNT KEY NEXT_KEY RECORD
 *                                               COUNT connections, each with a
 *                                               HEAD and then a POST
 *   standin ready IP:PORT                       status 0 if it answers 200
 *   standin now                                 milliseconds since the epoch
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BODY_MAX (8 * 1024 * 1024)
#define REDIRECTS_MAX 2
#define CALL_TIMEOUT_S 10
#define SLOTS 6

static long long
now_ms(void)
{
    struct timespec at;
    clock_gettime(CLOCK_REALTIME, &at);
    return at.tv_sec * 1000LL + at.tv_nsec / 1000000;
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char ip[64];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static bool
send_all(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* A message: its head with a NUL behind it, and its body. */
typedef struct Message {
    char head[HEAD_MAX];
    size_t head_length;
    char *body;
    size_t body_length;
} Message;

/* Copies the value of a field of the head. Returns false if it is missing. */
static bool
find_field(const char *head, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(head, "\r\n");
    while (line != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *from = line + length + 1;
            from += strspn(from, " ");
            snprintf(value, size, "%.*s", (int)strcspn(from, "\r"), from);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

/* Reads a message with a Content-Length. The bytes of the head are read one by
 * one, so that nothing behind the message is consumed.
 * Returns 1 if it is complete, 0 at the end of the connection before its first
 * byte, -1 if it was cut. */
static int
read_message(int fd, Message *message)
{
    message->head_length = 0;
    message->head[0] = '\0';
    message->body = NULL;
    message->body_length = 0;
    while (strstr(message->head, "\r\n\r\n") == NULL) {
        if (message->head_length + 1 == sizeof(message->head) ||
            recv(fd, message->head + message->head_length, 1, 0) != 1)
        {
            return message->head_length == 0 ? 0 : -1;
        }
        message->head[++message->head_length] = '\0';
    }
    char text[32];
    if (!find_field(message->head, "Content-Length", text, sizeof(text))) {
        return 1;
    }
    size_t length = (size_t)strtoull(text, NULL, 10);
    if (length > BODY_MAX) {
        return -1;
    }
    message->body = malloc(length + 1);
    message->body[length] = '\0';
    while (message->body_length < length) {
        ssize_t got = recv(fd, message->body + message->body_length,
                           length - message->body_length, 0);
        if (got <= 0) {
            return -1;
        }
        message->body_length += (size_t)got;
    }
    return 1;
}

/* ---- The server ---- */

typedef struct Server {
    const char *id;
    unsigned delay_ms;
    FILE *record;
    pthread_mutex_t lock;
    unsigned running;
} Server;

typedef struct ServerConn {
    Server *server;
    int fd;
} ServerConn;

static bool
answer(int fd, const char *status, const char *attempt, const char *fields,
       const char *body, bool head_only)
{
    char out[4096];
    int length = snprintf(out, sizeof(out),
                          "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%s"
                          "Content-Length: %zu\r\n\r\n%s",
                          status, attempt, fields, strlen(body),
                          head_only ? "" : body);
    return send_all(fd, out, (size_t)length);
}

static bool
serve(Server *server, int fd, const Message *message)
{
    char attempt[256] = "";
    char instance[256] = "";
    char fields[512];
    char target[256] = "";
    sscanf(message->head, "%*s %255s", target);
    find_field(message->head, "Attempt-Id", attempt, sizeof(attempt));
    bool named = find_field(message->head, "Expect-Instance", instance,
                            sizeof(instance));
    if (strncmp(message->head, "GET /healthz ", 13) == 0) {
        snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n", server->id);
        return answer(fd, "200 OK", attempt, fields, "", false);
    }
    if (named && strcmp(instance, server->id) != 0) {
        return answer(fd, "421 Misdirected Request", attempt,
                      "Not-Executed: 1\r\n", "", false);
    }
    pthread_mutex_lock(&server->lock);
    bool full = server->running >= SLOTS;
    unsigned running = full ? server->running : ++server->running;
    if (!full) {
        fprintf(server->record,
                "%lld run server=%s attempt=%s path=%s bytes=%zu\n", now_ms(),
                server->id, attempt, target, message->body_length);
        fflush(server->record);
    }
    pthread_mutex_unlock(&server->lock);
    if (full) {
        return answer(fd, "503 Service Unavailable", attempt,
                      "Not-Executed: 1\r\n", "", false);
    }
    usleep(server->delay_ms * 1000);
    pthread_mutex_lock(&server->lock);
    server->running--;
    pthread_mutex_unlock(&server->lock);
    snprintf(fields, sizeof(fields),
             "Server-Seal: %s.%s\r\nLoad-Report: %u,0,%d\r\n", server->id,
             attempt, running, SLOTS);
    return answer(fd, "200 OK", attempt, fields, "done",
                  strncmp(message->head, "HEAD ", 5) == 0);
}

static void *
run_server_conn(void *arg)
{
    ServerConn *conn = arg;
    Message *message = malloc(sizeof(*message));
    while (read_message(conn->fd, message) == 1) {
        bool sent = serve(conn->server, conn->fd, message);
        free(message->body);
        message->body = NULL;
        if (!sent) {
            break;
        }
    }
    free(message->body);
    free(message);
    close(conn->fd);
    free(conn);
    return NULL;
}

static int
run_server(char **args)
{
    struct sockaddr_in address;
    Server server = {.id = args[1], .delay_ms = (unsigned)atoi(args[2])};
    pthread_mutex_init(&server.lock, NULL);
    server.record = fopen(args[3], "a");
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (server.record == NULL || !parse_address(args[0], &address) ||
        bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 256) != 0)
    {
        perror("server");
        return 2;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ServerConn *conn = malloc(sizeof(*conn));
        *conn = (ServerConn){.server = &server, .fd = fd};
        pthread_t thread;
        pthread_create(&thread, NULL, run_server_conn, conn);
        pthread_detach(thread);
    }
}

/* ---- Callers ---- */

static int
dial(const char *to)
{
    struct sockaddr_in address;
    struct timeval limit = {.tv_sec = CALL_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (!parse_address(to, &address) ||
        connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

static int
status_of(const Message *message)
{
    return message->head_length > 12 ? atoi(message->head + 9) : 0;
}

/* Makes one call to the control API. Returns its status, 0 without one; the
 * address of a redirection goes to @p next. */
static int
call_api(const char *to, char **args, int count, char *next, size_t size)
{
    const char *body = count > 2 ? args[2] : "";
    char *out = malloc(strlen(body) + 1024);
    int length = sprintf(out,
                         "%s %s HTTP/1.1\r\nHost: %s\r\n"
                         "Content-Type: application/json\r\n"
                         "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                         args[0], args[1], to, strlen(body), body);
    Message *message = calloc(1, sizeof(*message));
    int status = 0;
    int fd = dial(to);
    if (fd >= 0 && send_all(fd, out, (size_t)length) &&
        read_message(fd, message) == 1)
    {
        status = status_of(message);
    }
    char location[256];
    next[0] = '\0';
    if (status == 307 &&
        find_field(message->head, "Location", location, sizeof(location)) &&
        strncmp(location, "http://", 7) == 0)
    {
        snprintf(next, size, "%.*s", (int)strcspn(location + 7, "/"),
                 location + 7);
    }
    if (status != 0 && next[0] == '\0') {
        printf("%d %s\n", status, message->body == NULL ? "" : message->body);
    }
    if (fd >= 0) {
        close(fd);
    }
    free(message->body);
    free(message);
    free(out);
    return status;
}

static int
run_api(char **args, int count)
{
    char to[256];
    char next[256];
    snprintf(to, sizeof(to), "%s", args[0]);
    int status = 0;
    for (int i = 0; i <= REDIRECTS_MAX; i++) {
        status = call_api(to, args + 1, count - 1, next, sizeof(next));
        if (next[0] == '\0') {
            break;
        }
        snprintf(to, sizeof(to), "%s", next);
    }
    return status >= 200 && status < 300 ? 0 : 1;
}

typedef struct Caller {
    pthread_t thread;
    const char *to;
    const char *path;
    char attempt[128];
    size_t bytes;
    FILE *record;
} Caller;

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static void *
run_caller(void *arg)
{
    Caller *caller = arg;
    char head[1024];
    char *body = malloc(caller->bytes + 1);
    memset(body, 'x', caller->bytes);
    int length = snprintf(head, sizeof(head),
                          "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                          "Attempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
                          "Authorization: Bearer key-1\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          caller->path, caller->attempt, caller->bytes);
    Message *message = calloc(1, sizeof(*message));
    long long sent_at = now_ms();
    int fd = dial(caller->to);
    bool whole = fd >= 0 && send_all(fd, head, (size_t)length) &&
                 send_all(fd, body, caller->bytes);
    int status =
        fd >= 0 && read_message(fd, message) == 1 ? status_of(message) : 0;
    pthread_mutex_lock(&record_lock);
    fprintf(caller->record,
            "%lld sent attempt=%s path=%s to=%s bytes=%zu whole=%s "
            "after_ms=%lld status=%d\n",
            sent_at, caller->attempt, caller->path, caller->to, caller->bytes,
            whole ? "yes" : "no", now_ms() - sent_at, status);
    pthread_mutex_unlock(&record_lock);
    if (fd >= 0) {
        close(fd);
    }
    free(message->body);
    free(message);
    free(body);
    return NULL;
}

static int
run_callers(char **args)
{
    unsigned count = (unsigned)atoi(args[2]);
    FILE *record = fopen(args[5], "a");
    Caller *callers = calloc(count, sizeof(*callers));
    if (record == NULL) {
        return 2;
    }
    for (unsigned i = 0; i < count; i++) {
        callers[i] = (Caller){.to = args[0],
                              .path = args[4],
                              .bytes = (size_t)atoll(args[3]),
                              .record = record};
        snprintf(callers[i].attempt, sizeof(callers[i].attempt), "%s-%u",
                 args[1], i);
        pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]);
    }
    for (unsigned i = 0; i < count; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    fclose(record);
    free(callers);
    return 0;
}

/* Reads the head of an answer. Returns its status, 0 if it is none. */
static int
read_head(int fd, char *head, size_t size)
{
    size_t length = 0;
    head[0] = '\0';
    while (length + 1 < size && strstr(head, "\r\n\r\n") == NULL &&
           recv(fd, head + length, 1, 0) == 1)
    {
        head[++length] = '\0';
    }
    return strncmp(head, "HTTP/1.1 ", 9) == 0 ? atoi(head + 9) : 0;
}

/* Sends a HEAD, waits whether bytes follow the head of its answer, which ends
 * there, and sends a POST on the same connection. */
static int
run_heads(char **args)
{
    FILE *record = fopen(args[5], "a");
    if (record == NULL) {
        return 2;
    }
    for (int i = 0; i < atoi(args[2]); i++) {
        char out[1024];
        char head[HEAD_MAX];
        char more[1024];
        int fd = dial(args[0]);
        int length =
            sprintf(out,
                    "HEAD /look/a HTTP/1.1\r\nHost: h.example\r\n"
                    "Attempt-Id: %s-head-%d\r\nDeadline-Ms: 3000\r\n"
                    "Authorization: Bearer %s\r\n\r\n",
                    args[1], i, args[3]);
        if (fd < 0 || !send_all(fd, out, (size_t)length)) {
            return 2;
        }
        int status = read_head(fd, head, sizeof(head));
        usleep(300 * 1000);
        ssize_t extra = recv(fd, more, sizeof(more), MSG_DONTWAIT | MSG_PEEK);
        fprintf(record, "%lld answered HEAD attempt=%s-head-%d key=%s "
                "status=%d bytes-behind-its-end=%zd\n",
                now_ms(), args[1], i, args[3], status, extra > 0 ? extra : 0);
        length =
            sprintf(out,
                    "POST /file/a HTTP/1.1\r\nHost: h.example\r\n"
                    "Attempt-Id: %s-post-%d\r\nDeadline-Ms: 3000\r\n"
                    "Authorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx",
                    args[1], i, args[4]);
        send_all(fd, out, (size_t)length);
        status = read_head(fd, head, sizeof(head));
        fprintf(record, "%lld answered POST attempt=%s-post-%d key=%s "
                "status=%d begins=%.12s\n",
                now_ms(), args[1], i, args[4], status, head);
        close(fd);
    }
    fclose(record);
    return 0;
}

static int
run_ready(const char *to)
{
    char next[256];
    char *args[] = {"GET", "/api/readyz"};
    return call_api(to, args, 2, next, sizeof(next)) == 200 ? 0 : 1;
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    const char *what = argc > 1 ? argv[1] : "";
    if (strcmp(what, "server") == 0 && argc == 6) {
        return run_server(argv + 2);
    }
    if (strcmp(what, "api") == 0 && argc >= 5) {
        return run_api(argv + 2, argc - 2);
    }
    if (strcmp(what, "calls") == 0 && argc == 8) {
        return run_callers(argv + 2);
    }
    if (strcmp(what, "heads") == 0 && argc == 8) {
        return run_heads(argv + 2);
    }
    if (strcmp(what, "ready") == 0 && argc == 3) {
        return run_ready(argv[2]);
    }
    if (strcmp(what, "now") == 0) {
        printf("%lld\n", now_ms());
        return 0;
    }
    fprintf(stderr, "standin: unknown call\n");
    return 2;
}
