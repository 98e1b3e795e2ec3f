/** @file
 * Time, sockets and plain HTTP calls.
 */
#define _GNU_SOURCE
#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX (1024 * 1024)
#define REDIRECTIONS_MAX 2

int64_t
Net_NowMs(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
Net_WallMs(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
Net_RaiseDescriptors(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static struct sockaddr_in
parse_address(const char *address)
{
    struct sockaddr_in out = {.sin_family = AF_INET};
    char host[64];
    snprintf(host, sizeof(host), "%s", address);
    char *colon = strrchr(host, ':');
    if (colon != NULL) {
        *colon = '\0';
        out.sin_port = htons((uint16_t)atoi(colon + 1));
    }
    inet_pton(AF_INET, host, &out.sin_addr);
    return out;
}

void
Net_SetNonblocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

int
Net_Connect(const char *address, int rcvbuf, const char *from)
{
    struct sockaddr_in to = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (rcvbuf > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
    }
    if (from != NULL) {
        struct sockaddr_in own = parse_address(from);
        bind(fd, (struct sockaddr *)&own, sizeof(own));
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
Net_Listen(const char *address)
{
    struct sockaddr_in at = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, 1024) != 0)
    {
        fprintf(stderr, "standin: cannot listen on %s: %s\n", address,
                strerror(errno));
        exit(2);
    }
    Net_SetNonblocking(fd);
    return fd;
}

bool
Net_Field(const char *head, const char *name, char *value, size_t capacity)
{
    char line[128];
    snprintf(line, sizeof(line), "\r\n%s:", name);
    const char *at = strcasestr(head, line);
    if (at == NULL) {
        return false;
    }
    at += strlen(line);
    at += strspn(at, " \t");
    size_t length = strcspn(at, "\r\n");
    snprintf(value, capacity, "%.*s", (int)length, at);
    return true;
}

/* Sends a request and reads until the other side closes.
 * @return the length of the answer, which is terminated; -1 without one. */
static ssize_t
exchange(const char *address, const char *method, const char *path,
         const char *body, size_t length, char *answer, int timeout_ms)
{
    int fd = Net_Connect(address, 0, NULL);
    if (fd < 0) {
        return -1;
    }
    struct timeval limit = {.tv_sec = timeout_ms / 1000,
                            .tv_usec = timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    char head[1024];
    int head_length = snprintf(head, sizeof(head),
                               "%s %s HTTP/1.1\r\nHost: %s\r\n"
                               "Content-Type: application/json\r\n"
                               "Connection: close\r\n"
                               "Content-Length: %zu\r\n\r\n",
                               method, path, address, length);
    bool sent = send(fd, head, (size_t)head_length, MSG_NOSIGNAL) ==
                    head_length &&
                (length == 0 || send(fd, body, length, MSG_NOSIGNAL) ==
                                    (ssize_t)length);
    size_t got = 0;
    while (sent && got + 1 < ANSWER_MAX) {
        ssize_t part = recv(fd, answer + got, ANSWER_MAX - 1 - got, 0);
        if (part <= 0) {
            break;
        }
        got += (size_t)part;
    }
    close(fd);
    answer[got] = '\0';
    return got > 0 ? (ssize_t)got : -1;
}

int
Net_Call(const char *address, const char *method, const char *path,
         const char *body, size_t length, char *answer, size_t capacity,
         int timeout_ms)
{
    char *bytes = malloc(ANSWER_MAX);
    char host[64];
    char target[512];
    int status = 0;
    snprintf(host, sizeof(host), "%s", address);
    snprintf(target, sizeof(target), "%s", path);
    for (int i = 0; i <= REDIRECTIONS_MAX; i++) {
        status = 0;
        char location[512];
        if (exchange(host, method, target, body, length, bytes, timeout_ms) <
                0 ||
            sscanf(bytes, "HTTP/1.%*d %d", &status) != 1)
        {
            break;
        }
        if (status != 307 ||
            !Net_Field(bytes, "Location", location, sizeof(location)) ||
            sscanf(location, "http://%63[^/]%511s", host, target) != 2)
        {
            break;
        }
    }
    const char *end = strstr(bytes, "\r\n\r\n");
    if (answer != NULL && status != 0) {
        snprintf(answer, capacity, "%s", end == NULL ? "" : end + 4);
    }
    free(bytes);
    return status;
}

const char *
Net_Option(int argc, char **argv, const char *name, const char *fallback)
{
    for (int i = 1; i + 1 < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return argv[i + 1];
        }
    }
    return fallback;
}

long
Net_Number(int argc, char **argv, const char *name, long fallback)
{
    const char *text = Net_Option(argc, argv, name, NULL);
    return text == NULL ? fallback : strtol(text, NULL, 10);
}
