/** @file
 * Choice of an endpoint by expected wait.
 */
#include "sched/balancer.h"

/* Run time that stands for an unknown one, in milliseconds. */
#define RUN_UNKNOWN_MS 20
/* How much longer a request runs on an endpoint whose slots are all but
 * taken: engines batch, so little. */
#define BESIDE 0.25
/* Added wait by distance, in milliseconds: a round trip, and between zones
 * the price of the bytes as well. */
static const double distance_ms[] = {0, 10, 75};
/* A failed answer costs a second try elsewhere, and often the request. */
#define FAILURE_MS 300
/* One that failed this request comes after every other. */
#define TRIED_MS 100000

/* Part of a run that others on the endpoint cost a request: beside them it
 * runs a little slower, behind them it waits for a slot. */
static double
wait_part(double load)
{
    return load < 1 ? BESIDE * load : BESIDE + (load - 1);
}

static double
cost_of(const BalancerCandidate *candidate)
{
    double run = candidate->expected_run_ms > 0 ? candidate->expected_run_ms
                                                : RUN_UNKNOWN_MS;
    unsigned distance = candidate->distance < 2 ? candidate->distance : 2;
    return run * (1 + wait_part(candidate->load)) + distance_ms[distance] +
           candidate->error_rate * FAILURE_MS +
           (candidate->tried ? TRIED_MS : 0);
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
        double cost = cost_of(candidate);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}
