/** @file
 * Selection of the endpoint with the lowest expected cost in time.
 */
#include "sched/balancer.h"

#include <math.h>

/* Assumed run time while it is unknown, in milliseconds. */
#define DEFAULT_RUN_MS 20
/* Fraction by which a request runs longer on an endpoint whose slots are
 * almost all in use. It is small because engines batch requests. */
#define BATCHING_SLOWDOWN 0.25
/* Added cost in milliseconds, by BalancerCandidate.distance: the network
 * round trip and, between zones, the price of the transferred bytes. */
static const double distance_cost_ms[] = {0, 10, 75};
/* Added cost of a failed answer, in milliseconds. A failure causes a retry at
 * another endpoint and often loses the request. */
#define FAILURE_COST_MS 300
/* Added cost, in milliseconds, of an endpoint that already failed this
 * request. It exceeds all other costs, so that such an endpoint is chosen
 * last. */
#define TRIED_COST_MS 100000

/* Returns the delay that other requests on the endpoint cause, as a fraction
 * of the run time. Below full load a request runs slightly slower; above, it
 * also waits for a slot. */
static double
delay_fraction(double load)
{
    return load < 1 ? BATCHING_SLOWDOWN * load
                    : BATCHING_SLOWDOWN + (load - 1);
}

double
Balancer_CostMs(const BalancerCandidate *candidate)
{
    double run = candidate->expected_run_ms > 0 ? candidate->expected_run_ms
                                                : DEFAULT_RUN_MS;
    unsigned distance = candidate->distance < 2 ? candidate->distance : 2;
    return run * (1 + delay_fraction(candidate->load)) +
           (candidate->has_transfer ? candidate->transfer_ms
                                    : distance_cost_ms[distance]) +
           candidate->error_rate * FAILURE_COST_MS + candidate->rate_wait_ms +
           candidate->spread_ms + (candidate->tried ? TRIED_COST_MS : 0);
}

int
Balancer_ChooseEndpoint(const BalancerCandidate *candidates, size_t count,
                        double max_load)
{
    int best = -1;
    double best_cost = 0;
    for (size_t i = 0; i < count; i++) {
        const BalancerCandidate *candidate = &candidates[i];
        if (!candidate->usable || candidate->load >= max_load) {
            continue;
        }
        double cost = Balancer_CostMs(candidate);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

bool
Balancer_IsWorthWaiting(const BalancerCandidate *candidates, size_t count,
                        int chosen, double waited_ms)
{
    int best = Balancer_ChooseEndpoint(candidates, count, HUGE_VAL);
    return best >= 0 && best != chosen &&
           Balancer_CostMs(&candidates[best]) + waited_ms <
               Balancer_CostMs(&candidates[chosen]);
}
