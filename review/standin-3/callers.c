/** @file
 * Stand-in for clients. Each has a connection of its own; with `--kept 1` it
 * sends one request after the other over it, otherwise one only. With `--rate`
 * it reads its answer at that pace. The record has a line for each request:
 * what was answered, and whether it came whole.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define TICK_MS 20
#define HEAD_MAX 4096
#define PART_BYTES 65536
#define PAUSE_MS 200

typedef struct Caller {
    int fd;
    unsigned number;
    unsigned requests;
    int64_t next_at; /* of the next request; -1 after the last */
    int64_t sent_at; /* 0 while none is open */
    double credit;   /* bytes that it may read now */
    int64_t credit_at;
    size_t received;
    size_t body;
    size_t head_bytes;
    char head[HEAD_MAX];
    char tail[8]; /* newest bytes of the answer */
} Caller;

static struct {
    const char *to;
    const char *path;
    const char *method;
    const char *key;
    const char *prefix;
    const char *tokens;
    long callers;
    long ramp_ms;
    long rate;
    long rcvbuf;
    long deadline_ms;
    long seconds;
    long kept;
    long pause_ms;
    FILE *record;
} options;

static bool
head_has(const Caller *caller, const char *text)
{
    return strcasestr(caller->head, text) != NULL;
}

static bool
is_complete(const Caller *caller)
{
    char length[32];
    if (caller->head_bytes == 0) {
        return false;
    }
    if (Net_Field(caller->head, "Content-Length", length, sizeof(length))) {
        return caller->body >= strtoull(length, NULL, 10);
    }
    return head_has(caller, "\r\nTransfer-Encoding: chunked") &&
           memcmp(caller->tail + 1, "\r\n0\r\n\r\n", 7) == 0;
}

static void
add_bytes(Caller *caller, const char *bytes, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        memmove(caller->tail, caller->tail + 1, sizeof(caller->tail) - 1);
        caller->tail[sizeof(caller->tail) - 1] = bytes[i];
        if (caller->head_bytes != 0) {
            caller->body++;
            continue;
        }
        if (caller->received + i + 1 < HEAD_MAX) {
            caller->head[caller->received + i] = bytes[i];
            caller->head[caller->received + i + 1] = '\0';
        }
        if (memcmp(caller->tail + 4, "\r\n\r\n", 4) == 0) {
            caller->head_bytes = caller->received + i + 1;
        }
    }
    caller->received += length;
}

static void
end_request(Caller *caller, const char *outcome)
{
    int status = 0;
    int64_t now = Net_NowMs();
    sscanf(caller->head, "HTTP/1.%*d %d", &status);
    fprintf(options.record,
            "%lld caller %s-%u-%u %s status=%d body=%zu after_ms=%lld "
            "not_run=%s\n",
            (long long)Net_WallMs(), options.prefix, caller->number,
            caller->requests, outcome, status, caller->body,
            (long long)(now - caller->sent_at),
            head_has(caller, "Not-Executed") ? "yes" : "-");
    fflush(options.record);
    bool closes = strcmp(outcome, "complete") != 0 ||
                  head_has(caller, "\r\nConnection: close");
    if (closes || !options.kept) {
        close(caller->fd);
        caller->fd = -1;
    }
    caller->sent_at = 0;
    caller->requests++;
    caller->next_at = !options.kept ? -1
                      : closes      ? now + PAUSE_MS
                                    : now + options.pause_ms;
}

static void
send_request(Caller *caller)
{
    caller->received = caller->body = caller->head_bytes = 0;
    caller->head[0] = '\0';
    memset(caller->tail, 0, sizeof(caller->tail));
    caller->credit = 0;
    caller->credit_at = caller->sent_at = Net_NowMs();
    if (caller->fd < 0) {
        caller->fd = Net_Connect(options.to, (int)options.rcvbuf, NULL);
        if (caller->fd < 0) {
            end_request(caller, "unconnected");
            return;
        }
        Net_SetNonblocking(caller->fd);
    }
    char request[1024];
    int length = snprintf(
        request, sizeof(request),
        "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s-%u-%u\r\n"
        "Model: m\r\nToken-Usage: %s\r\nAuthorization: Bearer %s\r\n"
        "Deadline-Ms: %ld\r\nContent-Length: 1\r\n\r\nx",
        options.method, options.path, options.prefix, caller->number,
        caller->requests, options.tokens, options.key, options.deadline_ms);
    if (send(caller->fd, request, (size_t)length, MSG_NOSIGNAL) != length) {
        end_request(caller, "unsent");
    }
}

/* Returns how much it may read now. */
static size_t
allowance(Caller *caller, int64_t now)
{
    if (options.rate <= 0) {
        return PART_BYTES;
    }
    caller->credit +=
        (double)options.rate * (double)(now - caller->credit_at) / 1000;
    caller->credit_at = now;
    if (caller->head_bytes == 0) {
        return 256;
    }
    if (caller->credit < 1) {
        return 0;
    }
    return caller->credit < PART_BYTES ? (size_t)caller->credit : PART_BYTES;
}

static void
read_answer(Caller *caller)
{
    static char buffer[PART_BYTES];
    int64_t now = Net_NowMs();
    size_t allowed;
    while (caller->sent_at != 0 && (allowed = allowance(caller, now)) > 0) {
        ssize_t got = recv(caller->fd, buffer, allowed, 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (now - caller->sent_at > options.deadline_ms) {
                end_request(caller, "deadline");
            }
            return;
        }
        if (got <= 0) {
            end_request(caller, caller->received == 0 ? "closed" : "cut");
            return;
        }
        caller->credit -= (double)got;
        add_bytes(caller, buffer, (size_t)got);
        if (is_complete(caller)) {
            end_request(caller, "complete");
        }
    }
    if (caller->sent_at != 0 && now - caller->sent_at > options.deadline_ms) {
        end_request(caller, "deadline");
    }
}

static void
read_options(int argc, char **argv)
{
    options.to = Net_Option(argc, argv, "--to", "127.0.0.1:8080");
    options.path = Net_Option(argc, argv, "--path", "/");
    options.method = Net_Option(argc, argv, "--method", "POST");
    options.key = Net_Option(argc, argv, "--key", "key-1");
    options.prefix = Net_Option(argc, argv, "--prefix", "caller");
    options.tokens = Net_Option(argc, argv, "--tokens", "543,700");
    options.callers = Net_Number(argc, argv, "--callers", 1);
    options.ramp_ms = Net_Number(argc, argv, "--ramp-ms", 0);
    options.rate = Net_Number(argc, argv, "--rate", 0);
    options.rcvbuf = Net_Number(argc, argv, "--rcvbuf", 0);
    options.deadline_ms = Net_Number(argc, argv, "--deadline-ms", 15000);
    options.seconds = Net_Number(argc, argv, "--seconds", 10);
    options.kept = Net_Number(argc, argv, "--kept", 0);
    options.pause_ms = Net_Number(argc, argv, "--pause-ms", 0);
    options.record =
        fopen(Net_Option(argc, argv, "--record", "/dev/null"), "a");
    if (options.record == NULL) {
        fprintf(stderr, "callers: expected --record FILE\n");
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    read_options(argc, argv);
    Net_RaiseDescriptors();
    Caller *callers = calloc((size_t)options.callers, sizeof(Caller));
    int64_t start = Net_NowMs();
    for (long i = 0; i < options.callers; i++) {
        callers[i].number = (unsigned)i;
        callers[i].fd = -1;
        callers[i].next_at = start + options.ramp_ms * i / options.callers;
    }
    bool open = true;
    while (open && Net_NowMs() - start < options.seconds * 1000) {
        open = false;
        for (long i = 0; i < options.callers; i++) {
            Caller *caller = &callers[i];
            if (caller->sent_at != 0) {
                read_answer(caller);
            }
            else if (caller->next_at >= 0 && Net_NowMs() >= caller->next_at) {
                send_request(caller);
            }
            open = open || caller->sent_at != 0 || caller->next_at >= 0;
        }
        poll(NULL, 0, TICK_MS);
    }
    for (long i = 0; i < options.callers; i++) {
        if (callers[i].sent_at != 0) {
            end_request(&callers[i], "left");
        }
    }
    return 0;
}
