/** @file
 * Gateway: retry budgets. The settings limit the retries of all gateways to a
 * fraction of a service's requests plus a fixed allowance. Each gateway
 * applies the fraction to its own requests and takes an equal share of the
 * allowance.
 */
#include "gateway/state.h"

/* Steps of a sliding window. Counts expire one whole step at a time. */
#define WINDOW_STEPS 20
/* Fraction of the allowance that is divided among the gateways. The rest
 * covers gateways that the leader has not counted, such as one that starts. */
#define ALLOWANCE_FRACTION 0.8

/* Counts of one service over the retry window, in a ring of steps. */
typedef struct Window {
    unsigned requests[WINDOW_STEPS];
    unsigned retries[WINDOW_STEPS];
    TimeUs step; /* time of the newest step, in step lengths */
} Window;

struct Retries {
    Gateway *gateway;
    GHashTable *by_service; /* service name -> Window */
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

/* Returns the window of a service, advanced to the current step. */
static Window *
find_window(Retries *retries, const char *service)
{
    Window *window = g_hash_table_lookup(retries->by_service, service);
    TimeUs step_us = retries->gateway->options->bounds.retry_window_ms *
                     US_PER_MS / WINDOW_STEPS;
    TimeUs now = Clock_Now() / MAX(step_us, 1);
    if (window == NULL) {
        window = g_new0(Window, 1);
        window->step = now;
        g_hash_table_insert(retries->by_service, g_strdup(service), window);
    }
    if (now - window->step >= WINDOW_STEPS) {
        *window = (Window){.step = now};
    }
    while (window->step < now) {
        window->step++;
        window->requests[window->step % WINDOW_STEPS] = 0;
        window->retries[window->step % WINDOW_STEPS] = 0;
    }
    return window;
}

void
Retries_AddRequest(Retries *retries, const char *service)
{
    Window *window = find_window(retries, service);
    window->requests[window->step % WINDOW_STEPS]++;
}

bool
Retries_Take(Retries *retries, const char *service)
{
    const GatewayBounds *bounds = &retries->gateway->options->bounds;
    Window *window = find_window(retries, service);
    unsigned requests = 0;
    unsigned taken = 0;
    for (unsigned i = 0; i < WINDOW_STEPS; i++) {
        requests += window->requests[i];
        taken += window->retries[i];
    }
    uint32_t gateways = Gateway_Count(retries->gateway);
    double allowed = bounds->retry_ratio * requests +
                     ALLOWANCE_FRACTION * bounds->retry_min_count / gateways;
    if (taken + 1 > allowed) {
        return false;
    }
    window->retries[window->step % WINDOW_STEPS]++;
    return true;
}
