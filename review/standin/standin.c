/** @file
 * Stand-ins for the review's scripts: a server that announces itself and
 * records what it runs, a client that sends requests over kept connections,
 * and calls of an operator. Everything is blocking, one thread a connection.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 32768
#define LISTEN_BACKLOG 512

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;

static long long
wall_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static void
sleep_ms(int ms)
{
    struct timespec ts = {.tv_sec = ms / 1000,
                          .tv_nsec = ms % 1000 * 1000000L};
    nanosleep(&ts, NULL);
}

static void
record(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%lld ", wall_ms());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static void
open_record(const char *path)
{
    record_file = path == NULL ? stdout : fopen(path, "a");
    if (record_file == NULL) {
        perror(path);
        exit(2);
    }
}

/* Returns the value after an option, or the fallback. */
static const char *
option(int argc, char **argv, const char *name, const char *fallback)
{
    for (int i = 2; i + 1 < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return argv[i + 1];
        }
    }
    return fallback;
}

static struct sockaddr_in
parse_address(const char *text)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char host[64];
    const char *colon = strrchr(text, ':');
    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    inet_pton(AF_INET, host, &address.sin_addr);
    address.sin_port = htons((uint16_t)atoi(colon + 1));
    return address;
}

static int
dial(const char *text, int timeout_ms)
{
    struct sockaddr_in address = parse_address(text);
    struct timeval span = {.tv_sec = timeout_ms / 1000,
                           .tv_usec = timeout_ms % 1000 * 1000};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof(span));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof(span));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t count = send(fd, bytes, length, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes += count;
        length -= (size_t)count;
    }
    return true;
}

/* ---- Messages ---- */

/* A connection with the bytes that were read and not used yet. */
typedef struct Stream {
    int fd;
    char *bytes;
    size_t length;
    size_t room;
} Stream;

typedef struct Message {
    char head[HEAD_MAX];
    char *body;
    size_t body_length;
} Message;

static bool
read_more(Stream *stream)
{
    if (stream->room - stream->length < 65536) {
        stream->room += 131072;
        stream->bytes = realloc(stream->bytes, stream->room);
    }
    ssize_t count = recv(stream->fd, stream->bytes + stream->length,
                         stream->room - stream->length - 1, 0);
    if (count <= 0) {
        return false;
    }
    stream->length += (size_t)count;
    return true;
}

static void
take(Stream *stream, size_t length)
{
    memmove(stream->bytes, stream->bytes + length, stream->length - length);
    stream->length -= length;
}

/* Copies the value of a field of the head; returns false if it has none. */
static bool
field(const char *head, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n"))
    {
        const char *text = line + 2;
        if (strncasecmp(text, name, length) == 0 && text[length] == ':') {
            text += length + 1;
            text += strspn(text, " \t");
            snprintf(value, size, "%.*s", (int)strcspn(text, "\r"), text);
            return true;
        }
    }
    value[0] = '\0';
    return false;
}

static bool
read_chunks(Stream *stream, Message *message)
{
    for (;;) {
        char *end;
        while (stream->length == 0 ||
               (end = memmem(stream->bytes, stream->length, "\r\n", 2)) ==
                   NULL) {
            if (!read_more(stream)) {
                return false;
            }
        }
        size_t size = strtoul(stream->bytes, NULL, 16);
        size_t line = (size_t)(end - stream->bytes) + 2;
        while (stream->length < line + size + 2) {
            if (!read_more(stream)) {
                return false;
            }
        }
        message->body =
            realloc(message->body, message->body_length + size + 1);
        memcpy(message->body + message->body_length, stream->bytes + line,
               size);
        message->body_length += size;
        take(stream, line + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

/* Reads one whole message; the caller frees the body. */
static bool
read_message(Stream *stream, Message *message)
{
    char *end;
    message->body = NULL;
    message->body_length = 0;
    while (stream->length == 0 ||
           (end = memmem(stream->bytes, stream->length, "\r\n\r\n", 4)) ==
               NULL) {
        if (stream->length >= HEAD_MAX - 1 || !read_more(stream)) {
            return false;
        }
    }
    size_t head = (size_t)(end - stream->bytes) + 4;
    memcpy(message->head, stream->bytes, head);
    message->head[head] = '\0';
    take(stream, head);
    char value[64];
    if (field(message->head, "Transfer-Encoding", value, sizeof(value))) {
        return read_chunks(stream, message);
    }
    if (!field(message->head, "Content-Length", value, sizeof(value))) {
        return true;
    }
    message->body_length = strtoul(value, NULL, 10);
    while (stream->length < message->body_length) {
        if (!read_more(stream)) {
            return false;
        }
    }
    message->body = malloc(message->body_length + 1);
    memcpy(message->body, stream->bytes, message->body_length);
    take(stream, message->body_length);
    return true;
}

/* ---- Server ---- */

typedef struct Server {
    const char *listen;
    const char *control;
    const char *service;
    const char *id;
    const char *zone;
    int slots;
    int delay_ms;
    long long born;
} Server;

static Server server;

/* Prints a body on one line. */
static void
print_escaped(char *out, size_t size, const char *bytes, size_t length)
{
    size_t at = 0;
    for (size_t i = 0; i < length && at + 5 < size; i++) {
        unsigned char c = (unsigned char)bytes[i];
        at += (size_t)(c < 33 || c > 126 || c == '%'
                           ? snprintf(out + at, size - at, "%%%02X", c)
                           : snprintf(out + at, size - at, "%c", c));
    }
    out[at] = '\0';
}

static bool
answer(int fd, const char *status, const char *id, const char *more,
       const char *body)
{
    char text[4096];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%s"
                          "Content-Length: %zu\r\n\r\n%s",
                          status, id, more, strlen(body), body);
    return send_all(fd, text, (size_t)length);
}

static bool
serve(int fd, const Message *request)
{
    char method[32] = "";
    char target[2048] = "";
    char id[256];
    char instance[256];
    char tenant[256];
    char body[2048];
    char more[512];
    sscanf(request->head, "%31s %2047s", method, target);
    snprintf(more, sizeof(more), "Instance-Id: %s\r\n", server.id);
    if (strcmp(target, "/healthz") == 0) {
        return answer(fd, "200 OK", "", more, "{}");
    }
    if (strcmp(target, "/api/report") == 0) {
        snprintf(body, sizeof(body),
                 "{\"phase\":\"both\",\"models\":[],\"busy\":false,"
                 "\"sequence\":1,\"queued\":0,\"active\":0,\"kvUsed\":0,"
                 "\"kvTotal\":90000,\"kvHandles\":0,\"born\":%lld}",
                 server.born);
        return answer(fd, "200 OK", "", "", body);
    }
    if (!field(request->head, "Attempt-Id", id, sizeof(id))) {
        return answer(fd, "400 Bad Request", "", "Not-Executed: 1\r\n", "");
    }
    if (field(request->head, "Expect-Instance", instance, sizeof(instance)) &&
        strcmp(instance, server.id) != 0)
    {
        return answer(fd, "421 Misdirected Request", id, "", "");
    }
    field(request->head, "Tenant", tenant, sizeof(tenant));
    char authorization[8];
    bool key = field(request->head, "Authorization", authorization,
                     sizeof(authorization));
    print_escaped(body, sizeof(body), request->body, request->body_length);
    record("run id=%s at=%s %s %s tenant=%s key=%s body=%s", id, server.id,
           method, target, tenant, key ? "yes" : "no", body);
    sleep_ms(server.delay_ms);
    snprintf(more, sizeof(more), "Server-Seal: seal-%s\r\n", server.id);
    snprintf(body, sizeof(body), "{\"server\":\"%s\",\"request\":\"%s\"}",
             server.id, id);
    return answer(fd, "200 OK", id, more, body);
}

static void *
run_server_connection(void *arg)
{
    Stream stream = {.fd = (int)(long)arg};
    Message *request = malloc(sizeof(*request));
    int on = 1;
    setsockopt(stream.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool alive = true;
    while (alive && read_message(&stream, request)) {
        alive = serve(stream.fd, request);
        free(request->body);
        request->body = NULL;
    }
    free(request->body);
    free(request);
    free(stream.bytes);
    close(stream.fd);
    return NULL;
}

/* Sends one call; returns its status, 0 without an answer. The caller frees
 * @p answer_body. */
static int
call(const char *to, const char *method, const char *path, const char *body,
     size_t length, Message *reply)
{
    Stream stream = {.fd = dial(to, 1000)};
    if (stream.fd < 0) {
        return 0;
    }
    char head[1024];
    int size = snprintf(head, sizeof(head),
                        "%s %s HTTP/1.1\r\nHost: %s\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                        method, path, to, length);
    int status = 0;
    if (send_all(stream.fd, head, (size_t)size) &&
        send_all(stream.fd, body, length) && read_message(&stream, reply))
    {
        status = atoi(reply->head + 9);
    }
    free(stream.bytes);
    close(stream.fd);
    return status;
}

static void *
announce(void *arg)
{
    Message *reply = calloc(1, sizeof(*reply));
    for (unsigned sequence = 1;; sequence++) {
        char path[256];
        char body[1024];
        char list[512];
        snprintf(path, sizeof(path), "/api/instances/%s/heartbeat", server.id);
        int length = snprintf(
            body, sizeof(body),
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
            "\"coldRemainingMs\":0,\"sequence\":%u,\"born\":%lld}",
            server.service, server.listen, server.zone, server.slots, sequence,
            server.born);
        snprintf(list, sizeof(list), "%s", server.control);
        char *rest = list;
        for (char *to; (to = strsep(&rest, ",")) != NULL;) {
            int status =
                call(to, "POST", path, body, (size_t)length, reply);
            free(reply->body);
            reply->body = NULL;
            if (status / 100 == 2) {
                break;
            }
        }
        sleep_ms(1000);
    }
    return arg;
}

static int
run_server(int argc, char **argv)
{
    server = (Server){
        .listen = option(argc, argv, "--listen", NULL),
        .control = option(argc, argv, "--control", NULL),
        .service = option(argc, argv, "--service", "app"),
        .id = option(argc, argv, "--id", "server-1"),
        .zone = option(argc, argv, "--zone", "west-1"),
        .slots = atoi(option(argc, argv, "--slots", "6")),
        .delay_ms = atoi(option(argc, argv, "--delay-ms", "0")),
        .born = wall_ms(),
    };
    open_record(option(argc, argv, "--record", NULL));
    struct sockaddr_in address = parse_address(server.listen);
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, LISTEN_BACKLOG) != 0)
    {
        perror(server.listen);
        return 2;
    }
    pthread_t thread;
    pthread_create(&thread, NULL, announce, NULL);
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            pthread_create(&thread, NULL, run_server_connection,
                           (void *)(long)fd);
            pthread_detach(thread);
        }
    }
}

/* ---- Client ---- */

typedef struct Load {
    const char *to;
    const char *prefix;
    const char *key;
    const char *method;
    const char *path;
    int think_ms;
    long long until;
} Load;

static Load load;

/* Sends requests one after the other over a kept connection. */
static void *
run_client_connection(void *arg)
{
    long number = (long)arg;
    Stream stream = {.fd = -1};
    Message *reply = calloc(1, sizeof(*reply));
    for (unsigned i = 1; wall_ms() < load.until; i++) {
        if (stream.fd < 0) {
            stream.length = 0;
            stream.fd = dial(load.to, 5000);
            if (stream.fd < 0) {
                sleep_ms(50);
                continue;
            }
        }
        char id[128];
        char text[1024];
        snprintf(id, sizeof(id), "%s-%ld-%u", load.prefix, number, i);
        int length = snprintf(text, sizeof(text),
                              "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                              "Attempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
                              "Authorization: Bearer %s\r\n"
                              "Content-Length: %zu\r\n\r\n%s",
                              load.method, load.path, id, load.key, strlen(id),
                              id);
        if (!send_all(stream.fd, text, (size_t)length) ||
            !read_message(&stream, reply))
        {
            record("client id=%s status=closed", id);
            close(stream.fd);
            stream.fd = -1;
        }
        else {
            int status = atoi(reply->head + 9);
            char answered[128];
            field(reply->head, "Attempt-Id", answered, sizeof(answered));
            record("client id=%s status=%d answered=%s body=%.*s", id, status,
                   answered, status == 200 ? (int)reply->body_length : 0,
                   reply->body == NULL ? "" : reply->body);
            char connection[32];
            if (field(reply->head, "Connection", connection,
                      sizeof(connection)) &&
                strcasecmp(connection, "close") == 0)
            {
                close(stream.fd);
                stream.fd = -1;
            }
        }
        free(reply->body);
        reply->body = NULL;
        sleep_ms(load.think_ms);
    }
    return NULL;
}

static int
run_load(int argc, char **argv)
{
    int count = atoi(option(argc, argv, "--connections", "1"));
    load = (Load){
        .to = option(argc, argv, "--to", NULL),
        .prefix = option(argc, argv, "--prefix", "c"),
        .key = option(argc, argv, "--key", "key-1"),
        .method = option(argc, argv, "--method", "POST"),
        .path = option(argc, argv, "--path", "/once/x"),
        .think_ms = atoi(option(argc, argv, "--think-ms", "5")),
        .until =
            wall_ms() + atoi(option(argc, argv, "--seconds", "10")) * 1000LL,
    };
    open_record(option(argc, argv, "--record", NULL));
    pthread_t threads[256];
    count = count > 256 ? 256 : count;
    for (long i = 0; i < count; i++) {
        pthread_create(&threads[i], NULL, run_client_connection, (void *)i);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}

/* Sends the bytes of standard input and prints what comes back until the peer
 * closes, or nothing comes for the given time. */
static int
run_raw(int argc, char **argv)
{
    int fd = dial(option(argc, argv, "--to", NULL),
                  atoi(option(argc, argv, "--wait-ms", "1500")));
    char bytes[65536];
    if (fd < 0) {
        return 2;
    }
    for (ssize_t count; (count = read(0, bytes, sizeof(bytes))) > 0;) {
        send_all(fd, bytes, (size_t)count);
    }
    for (ssize_t count; (count = recv(fd, bytes, sizeof(bytes), 0)) > 0;) {
        fwrite(bytes, 1, (size_t)count, stdout);
    }
    close(fd);
    return 0;
}

/* ---- Operator ---- */

/* Sends one call, follows redirects twice, and prints the status with the
 * address that answered, and the body. */
static int
run_call(int argc, char **argv)
{
    char to[128];
    static char body[8 * 1024 * 1024];
    snprintf(to, sizeof(to), "%s", option(argc, argv, "--to", ""));
    const char *path = option(argc, argv, "--path", "/");
    const char *file = option(argc, argv, "--body", NULL);
    size_t length = 0;
    FILE *in = file == NULL ? NULL : fopen(file, "r");
    if (in != NULL) {
        length = fread(body, 1, sizeof(body), in);
        fclose(in);
    }
    Message *reply = calloc(1, sizeof(*reply));
    int status = 0;
    for (int hops = 0; hops < 3; hops++) {
        free(reply->body);
        reply->body = NULL;
        status = call(to, file == NULL ? "GET" : "POST", path, body, length,
                      reply);
        char location[512];
        if (status != 307 ||
            !field(reply->head, "Location", location, sizeof(location)) ||
            sscanf(location, "http://%127[^/]", to) != 1)
        {
            break;
        }
    }
    printf("%d %s\n%.*s\n", status, to, (int)reply->body_length,
           reply->body == NULL ? "" : reply->body);
    return status / 100 == 2 ? 0 : 1;
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(int argc, char **argv);
    } verbs[] = {
        {"server", run_server},
        {"load", run_load},
        {"raw", run_raw},
        {"call", run_call},
    };
    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; argc > 1 && i < sizeof(verbs) / sizeof(verbs[0]); i++) {
        if (strcmp(argv[1], verbs[i].name) == 0) {
            return verbs[i].run(argc, argv);
        }
    }
    fprintf(stderr, "usage: standin server|load|raw|call OPTIONS\n");
    return 2;
}
