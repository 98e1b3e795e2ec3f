/** @file
 * Chooses the endpoint of a request when its sender sees its own requests
 * and what endpoints report late. Answers steady load on unlike endpoints:
 * the shortest expected wait wins, distance and failures count as wait. Pure.
 */
#ifndef LAURELLIFT_SCHED_BALANCER_H
#define LAURELLIFT_SCHED_BALANCER_H

#include <stdbool.h>
#include <stddef.h>

/** What is known of an endpoint. */
typedef struct BalancerCandidate {
    bool usable;
    bool tried;             /**< It failed this request before. */
    unsigned distance;      /**< 0 same zone, 1 same region, 2 beyond. */
    double load;            /**< Requests there, over its slots. */
    double error_rate;      /**< Share of answers that were failures. */
    double expected_run_ms; /**< Time of one request there; 0: not known. */
} BalancerCandidate;

/** Position of the best candidate, or -1 when none is usable below
 * @p max_load. One that was tried is taken only when no other is left. */
int Balancer_ChooseEndpoint(const BalancerCandidate *candidates, size_t count,
                            double max_load);

#endif
