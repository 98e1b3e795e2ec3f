/** @file
 * Selects the endpoint of a request. The sender passes the load from its own
 * requests and from the endpoints' reports, which arrive with a delay. Meant
 * for steady load on endpoints of different speed: the endpoint with the
 * shortest expected wait is chosen, where distance and failures count as
 * additional wait. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_BALANCER_H
#define LAURELLIFT_SCHED_BALANCER_H

#include <stdbool.h>
#include <stddef.h>

/** State of an endpoint as the sender sees it. */
typedef struct BalancerCandidate {
    bool usable;
    bool tried;        /**< An earlier attempt of this request failed here. */
    unsigned distance; /**< 0: same zone, 1: same region, 2: other region. */
    double load;       /**< Number of requests divided by slots. */
    double error_rate; /**< Fraction of answers that were failures. */
    double expected_run_ms; /**< Run time of one request; 0 if unknown. */
    double rate_wait_ms; /**< Mean time between two requests that a rate limit
                            allows; 0 without a limit. */
    bool has_transfer; /**< transfer_ms replaces the fixed cost of distance. */
    double transfer_ms; /**< Cost of the round trip and the bytes. */
    double spread_ms;   /**< Additional cost that differs between senders, so
                           that they do not all choose the same endpoint. */
} BalancerCandidate;

/** Returns the expected time of a request at the candidate, in milliseconds,
 * where distance and failures count as additional time. */
double Balancer_CostMs(const BalancerCandidate *candidate);

/** Returns the index of the best candidate, or -1 if no usable candidate has a
 * load below @p max_load. An endpoint that already failed the request is
 * chosen only if no other is left. */
int Balancer_ChooseEndpoint(const BalancerCandidate *candidates, size_t count,
                            double max_load);

/** Returns whether waiting for a candidate whose load is too high now is
 * quicker than the chosen one.
 * @param waited_ms  time for which the request has waited; it bounds the wait
 *                   by what can be gained. */
bool Balancer_IsWorthWaiting(const BalancerCandidate *candidates, size_t count,
                             int chosen, double waited_ms);

#endif
