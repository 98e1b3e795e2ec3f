/** @file
 * Gateway: counts the bytes that it holds, and cuts off callers beyond the
 * bound.
 */
#include "gateway/held.h"

#include <errno.h>
#include <string.h>

#include <sys/socket.h>

#include "gateway/state.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "sched/held_bytes.h"

/* Time between two counts. At 100 Mbit/s less than a megabyte comes in
 * between, which the part of the host's memory beyond the bound absorbs. */
#define COUNT_PERIOD_MS 50
/* Unsent bytes of one answer, and bytes of all buffered answers, without a
 * bound. */
#define UNSENT_MAX_BYTES (256u * 1024)
#define ANSWERS_MAX_BYTES (32u * 1024 * 1024)
/* Kernel's buffer of what is written to one caller. A larger one would hold
 * bytes that the bound does not see. */
#define SOCKET_BYTES (16 * 1024)
/* Part of the bound that buffered answers may have. */
#define ANSWERS_DIVISOR 2

struct Held {
    Gateway *gateway;
    size_t bound;
    size_t bytes; /* as last counted */
    bool refuses; /* new requests */
    struct event *timer;
    Counter *gauge;
    Counter *cut_count;
};

size_t
Held_CallerPart(const Held *held)
{
    return held == NULL ? UNSENT_MAX_BYTES
                        : HeldBytes_CallerPart(held->bound, held->bytes);
}

size_t
Held_AnswersMax(const Held *held)
{
    return held == NULL
               ? ANSWERS_MAX_BYTES
               : MIN(held->bound / ANSWERS_DIVISOR, ANSWERS_MAX_BYTES);
}

void
Held_LimitSocket(const Held *held, evutil_socket_t fd)
{
    int bytes = SOCKET_BYTES;
    if (held != NULL &&
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)) != 0)
    {
        LOG_DEBUG(GATEWAY_PART, "Buffer of a socket cannot be set. why=\"%s\"",
                  strerror(errno));
    }
}

size_t
Held_KernelBytes(const Held *held)
{
    /* The kernel doubles the size that is set, for its own data. */
    return held == NULL ? 0 : 2 * SOCKET_BYTES;
}

bool
Held_RefusesNew(const Held *held)
{
    return held != NULL && held->refuses;
}

/* Cuts off callers until the bytes are within the bound. */
static void
cut_callers(Held *held, GArray *callers, const GPtrArray *conns)
{
    int index;
    while ((index = HeldBytes_ChooseCut(held->bound, held->bytes,
                                        &g_array_index(callers, HeldFor, 0),
                                        callers->len)) >= 0)
    {
        HeldFor *caller = &g_array_index(callers, HeldFor, index);
        LOG_WARN(GATEWAY_PART,
                 "Caller is cut off, since the bytes held exceed their bound. "
                 "bytes=%zu complete=%s held=%zu bound=%zu",
                 caller->bytes, caller->complete ? "yes" : "no", held->bytes,
                 held->bound);
        Counter_Add(held->cut_count, 1);
        held->bytes -= MIN(caller->bytes, held->bytes);
        caller->bytes = 0;
        /* The end of a call may free the connections of others. */
        if (g_hash_table_contains(held->gateway->conns, conns->pdata[index])) {
            Conn_CutOff(conns->pdata[index]);
        }
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Held *held = arg;
    GArray *callers = g_array_new(FALSE, FALSE, sizeof(HeldFor));
    GPtrArray *conns = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    held->bytes = 0;
    g_hash_table_iter_init(&iter, held->gateway->conns);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        HeldFor caller = Conn_Held(key);
        Conn_ResumeReading(key);
        if (caller.bytes > 0) {
            held->bytes += caller.bytes;
            g_array_append_val(callers, caller);
            g_ptr_array_add(conns, key);
        }
    }
    bool refuses = HeldBytes_RefusesNew(held->bound, held->bytes);
    if (refuses != held->refuses) {
        LOG_WARN(GATEWAY_PART, "Requests are %s. held=%zu bound=%zu",
                 refuses ? "refused to save memory" : "accepted again",
                 held->bytes, held->bound);
    }
    held->refuses = refuses;
    Counter_Set(held->gauge, (int64_t)held->bytes);
    cut_callers(held, callers, conns);
    g_array_unref(callers);
    g_ptr_array_unref(conns);
}

Held *
Held_New(Gateway *gateway)
{
    size_t bound = gateway->options->bounds.memory_bytes;
    if (bound == 0) {
        return NULL;
    }
    Held *held = g_new0(Held, 1);
    held->gateway = gateway;
    held->bound = bound;
    held->gauge = Counter_Get("gateway_held_bytes",
                              "Bytes of requests and answers that are held.");
    held->cut_count =
        Counter_Get("gateway_callers_cut_off_total",
                    "Callers cut off because of the bound of held bytes.");
    held->timer = event_new(gateway->base, -1, EV_PERSIST, on_timer, held);
    struct timeval period = {.tv_usec = COUNT_PERIOD_MS * US_PER_MS};
    event_add(held->timer, &period);
    return held;
}

void
Held_Free(Held *held)
{
    if (held != NULL) {
        event_free(held->timer);
        g_free(held);
    }
}
