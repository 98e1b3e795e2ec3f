/** @file
 * Gateway: the budget of repeated sends. All gateways together may send a
 * service a stated part of its requests again; each keeps to that part of
 * what it was asked itself, and to its share of the fixed allowance.
 */
#include "gateway/state.h"

/* Steps that a window is counted in; the oldest one leaves as a whole. */
#define STEPS 20
/* Part of the allowance that is shared out; the rest covers gateways that
 * are not counted, such as one that starts. */
#define ALLOWANCE_PART 0.8

typedef struct Window {
    unsigned requests[STEPS];
    unsigned retries[STEPS];
    TimeUs step; /* number of the newest step */
} Window;

struct Retries {
    Gateway *gateway;
    GHashTable *by_service; /* name -> Window */
};

Retries *
Retries_New(Gateway *gateway)
{
    Retries *retries = g_new0(Retries, 1);
    retries->gateway = gateway;
    retries->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return retries;
}

void
Retries_Free(Retries *retries)
{
    g_hash_table_destroy(retries->by_service);
    g_free(retries);
}

/* The window of a service, moved on to the present. */
static Window *
find(Retries *retries, const char *service)
{
    Window *window = g_hash_table_lookup(retries->by_service, service);
    TimeUs span =
        retries->gateway->options->bounds.retry_window_ms * US_PER_MS / STEPS;
    TimeUs now = Clock_Now() / MAX(span, 1);
    if (window == NULL) {
        window = g_new0(Window, 1);
        window->step = now;
        g_hash_table_insert(retries->by_service, g_strdup(service), window);
    }
    if (now - window->step >= STEPS) {
        *window = (Window){.step = now};
    }
    while (window->step < now) {
        window->step++;
        window->requests[window->step % STEPS] = 0;
        window->retries[window->step % STEPS] = 0;
    }
    return window;
}

void
Retries_Request(Retries *retries, const char *service)
{
    Window *window = find(retries, service);
    window->requests[window->step % STEPS]++;
}

bool
Retries_Take(Retries *retries, const char *service)
{
    const GatewayBounds *bounds = &retries->gateway->options->bounds;
    Window *window = find(retries, service);
    unsigned requests = 0;
    unsigned taken = 0;
    for (unsigned i = 0; i < STEPS; i++) {
        requests += window->requests[i];
        taken += window->retries[i];
    }
    uint32_t gateways = Gateway_Count(retries->gateway);
    double allowed = bounds->retry_ratio * requests +
                     ALLOWANCE_PART * bounds->retry_min_count / gateways;
    if (taken + 1 > allowed) {
        return false;
    }
    window->retries[window->step % STEPS]++;
    return true;
}
