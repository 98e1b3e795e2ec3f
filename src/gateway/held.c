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
#include "wire/client_memory.h"

/* Time between two counts. At 100 Mbit/s less than a megabyte comes in
 * between, which the part of the host's memory beyond the bound absorbs. */
#define COUNT_PERIOD_MS 50
/* Most unsent bytes of one answer, unless callers may read slowly for long,
 * and of all buffered answers. */
#define UNSENT_MAX_BYTES (256u * 1024)
#define ANSWERS_MAX_BYTES (32u * 1024 * 1024)
/* Kernel's buffer of what is written to one caller. A larger one would hold
 * bytes that the bound does not see. */
#define SOCKET_BYTES (16 * 1024)
/* Part of the bound that buffered answers may have. */
#define ANSWERS_DIVISOR 2
/* Unsent bytes of one caller, and part of the bound, from which bytes are
 * counted. */
#define COUNTED_UNSENT_BYTES (32u * 1024)
#define COUNTED_DIVISOR 4

struct Held {
    Gateway *gateway;
    ClientBudget *budget;
    bool counts;  /* the timer runs */
    bool refuses; /* new requests */
    struct event *timer;
    Counter *gauge;
    Counter *cut_count;
};

static bool
spares_memory(const Held *held)
{
    return held->gateway->options->bounds.spares_memory;
}

size_t
Held_CallerPart(const Held *held)
{
    size_t part = HeldBytes_CallerPart(ClientBudget_Bound(held->budget),
                                       ClientBudget_Used(held->budget));
    return spares_memory(held) ? part : MIN(part, UNSENT_MAX_BYTES);
}

size_t
Held_AnswersMax(const Held *held)
{
    size_t bound = ClientBudget_Bound(held->budget);
    size_t used = ClientBudget_Charged(held->budget);
    size_t unused = bound - MIN(used, bound);
    return MIN(MIN(unused, bound / ANSWERS_DIVISOR), ANSWERS_MAX_BYTES);
}

void
Held_LimitSocket(const Held *held, evutil_socket_t fd)
{
    int bytes = SOCKET_BYTES;
    if (spares_memory(held) &&
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
    return spares_memory(held) ? 2 * SOCKET_BYTES : 0;
}

bool
Held_RefusesNew(const Held *held)
{
    return held->refuses;
}

/* Cuts off callers until the bytes are within the bound. */
static void
cut_callers(Held *held, size_t bytes, GArray *callers, const GPtrArray *conns)
{
    size_t bound = ClientBudget_Bound(held->budget);
    int index;
    while ((index = HeldBytes_ChooseCut(bound, bytes,
                                        &g_array_index(callers, HeldFor, 0),
                                        callers->len)) >= 0)
    {
        HeldFor *caller = &g_array_index(callers, HeldFor, index);
        LOG_WARN(GATEWAY_PART,
                 "Caller is cut off, since the bytes held exceed their bound. "
                 "bytes=%zu complete=%s held=%zu bound=%zu",
                 caller->bytes, caller->complete ? "yes" : "no", bytes, bound);
        Counter_Add(held->cut_count, 1);
        bytes -= MIN(caller->bytes, bytes);
        caller->bytes = 0;
        /* The end of a call may free the connections of others. */
        if (g_hash_table_contains(held->gateway->conns, conns->pdata[index])) {
            Conn_CutOff(conns->pdata[index]);
        }
    }
}

static void
set_refuses(Held *held)
{
    size_t bound = ClientBudget_Bound(held->budget);
    size_t bytes = ClientBudget_Used(held->budget);
    bool refuses = HeldBytes_RefusesNew(bound, bytes);
    if (refuses != held->refuses) {
        LOG_WARN(GATEWAY_PART, "Requests are %s. held=%zu bound=%zu",
                 refuses ? "refused to save memory" : "accepted again", bytes,
                 bound);
    }
    held->refuses = refuses;
}

static void
set_timer(Held *held)
{
    struct timeval period = {.tv_usec = COUNT_PERIOD_MS * US_PER_MS};
    event_add(held->timer, &period);
    held->counts = true;
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    Held *held = arg;
    GArray *callers = g_array_new(FALSE, FALSE, sizeof(HeldFor));
    GPtrArray *conns = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    size_t answers = 0;
    g_hash_table_iter_init(&iter, held->gateway->conns);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        HeldFor caller = Conn_Held(key);
        Conn_ResumeReading(key);
        if (caller.bytes > 0) {
            answers += Conn_AnswerBytes(key);
            g_array_append_val(callers, caller);
            g_ptr_array_add(conns, key);
        }
    }
    ClientBudget_SetAnswers(held->budget, answers);
    set_refuses(held);
    size_t used = ClientBudget_Used(held->budget);
    Counter_Set(held->gauge, (int64_t)used);
    cut_callers(held, used, callers, conns);
    g_array_unref(callers);
    g_ptr_array_unref(conns);
    held->counts = spares_memory(held) || answers > 0 ||
                   used > ClientBudget_Bound(held->budget) / COUNTED_DIVISOR;
    if (held->counts) {
        set_timer(held);
    }
}

void
Held_OnUnsent(Held *held, size_t unsent)
{
    if (!held->counts && unsent > COUNTED_UNSENT_BYTES) {
        set_timer(held);
    }
}

Held *
Held_New(Gateway *gateway)
{
    Held *held = g_new0(Held, 1);
    held->gateway = gateway;
    held->budget = ClientMemory_Budget();
    held->gauge = Counter_Get("gateway_held_bytes",
                              "Bytes of requests and answers that are held.");
    held->cut_count =
        Counter_Get("gateway_callers_cut_off_total",
                    "Callers cut off because of the bound of held bytes.");
    held->timer = event_new(gateway->base, -1, 0, on_timer, held);
    if (spares_memory(held)) {
        set_timer(held);
    }
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
