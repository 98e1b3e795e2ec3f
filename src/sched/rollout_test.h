/** @file
 * Decides whether the new version of a service (the candidate) is good or bad,
 * by comparing its answers with those of the old versions on the same route,
 * in the same load class and in the same half second.
 *
 * Failures are compared by likelihood ratios of Fisher's noncentral
 * hypergeometric distribution, logarithms of run times by a normal mixture
 * sequential probability ratio test. Both are valid at every look. Each is
 * evaluated for all routes together, for busy servers and for each route, and
 * is started anew each second, so that a good start does not hide a later
 * fault; the probability of error is divided between all of these. A candidate
 * without evidence against it is accepted after 0.55 of the time; one with
 * weak evidence is judged once more after five sixths of it.
 *
 * The least effects that it looks for are 1.5 times the odds of a failure, and
 * run times longer by more than a twentieth; docs/design/rollout-decision.md
 * states which ones it finds in the time of a roll-out.
 *
 * Answers the load of a roll-out in which the candidate gets a tenth of a few
 * hundred requests per second, routes are uneven, and the old versions may be
 * overloaded or crash meanwhile. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_ROLLOUT_TEST_H
#define LAURELLIFT_SCHED_ROLLOUT_TEST_H

#include <stdint.h>

#include "kernel/clock.h"

/** Load classes of RolloutTest_Add; higher numbers count as the last one:
 * 0 under half of the endpoint's slots are taken, 1 under all, 2 all. */
#define ROLLOUT_LOAD_CLASSES 3
/** Longest name of a route in a reason, in bytes. */
#define ROLLOUT_ROUTE_MAX 127
/** Candidate answers without which no candidate is accepted. */
#define ROLLOUT_ANSWERS_MIN 50

typedef enum RolloutSide {
    ROLLOUT_OLD,       /**< Any version other than the candidate. */
    ROLLOUT_CANDIDATE, /**< The version that the roll-out moves to. */
} RolloutSide;

/** Answers of one route, side and load class since the gateway's previous
 * report. */
typedef struct RolloutSample {
    uint32_t answers;      /**< Answers of this batch, failures included. */
    uint32_t failures;     /**< Those that failed. */
    uint32_t timed;        /**< Answers with a time. */
    double log_sum;        /**< Sum of ln(ms) of the times. */
    double log_square_sum; /**< Sum of the squares of ln(ms). */
} RolloutSample;

typedef enum RolloutVerdict {
    ROLLOUT_UNDECIDED,
    ROLLOUT_GOOD,
    ROLLOUT_BAD,
} RolloutVerdict;

/** What a verdict rests on. */
typedef enum RolloutCause {
    ROLLOUT_CAUSE_NONE,        /**< Undecided. */
    ROLLOUT_CAUSE_FAILURES,    /**< Bad: more failures than the old ones. */
    ROLLOUT_CAUSE_TIMES,       /**< Bad: longer run times. */
    ROLLOUT_CAUSE_NO_EVIDENCE, /**< Good: nothing speaks against it. */
} RolloutCause;

/** A verdict's figures, for the log record and the replicated record. With an
 * undecided or good verdict they are those of the strongest evidence against
 * the candidate. */
typedef struct RolloutReason {
    RolloutCause cause;
    char route[ROLLOUT_ROUTE_MAX + 1]; /**< "" for all routes together. */
    TimeUs since;                /**< Start of the window that decided. */
    uint64_t candidate_answers;  /**< In the window, on the route. */
    uint64_t candidate_failures; /**< In the window, on the route. */
    uint64_t old_answers;        /**< In the window, on the route. */
    uint64_t old_failures;       /**< In the window, on the route. */
    double time_ratio;           /**< Candidate's run times / old ones', by
                                      geometric means at equal load; 1 if
                                      there are none. */
    double evidence;             /**< Likelihood ratio against the candidate,
                                      corrected for routes and windows; for a
                                      bad one at the last look 1 / the
                                      corrected probability of its answers. */
    double evidence_required;    /**< From which the verdict is bad. */
    uint64_t answers;            /**< Candidate answers since the order. */
} RolloutReason;

typedef struct RolloutTest RolloutTest;

/** @param begun_at  time of the order.
 * @param deadline   of the roll-out; after @p begun_at. */
RolloutTest *RolloutTest_New(TimeUs begun_at, TimeUs deadline);
void RolloutTest_Free(RolloutTest *test);

/** Adds a batch. Both sides of a report are added with the same @p now, since
 * only batches of the same half second are compared.
 *
 * Both sides must have begun and ended alike, since of requests that were just
 * sent only the quick answers are known. The caller therefore leaves out, on
 * both sides, requests that were sent before the gateway's first one to the
 * candidate, and requests that were sent when the candidate was accepted
 * already. It also leaves out requests that are barred because they crash
 * servers, and those whose caller left. Failures of an overloaded or crashing
 * pool are added as they are: the comparison at the same time cancels them.
 *
 * Invalid batches (more failures or times than answers, sums that are not
 * finite) are ignored.
 * @param route  name; it is copied.
 * @param now    time at which the report was received; does not decrease. */
void RolloutTest_Add(RolloutTest *test, const char *route, RolloutSide side,
                     unsigned load_class, const RolloutSample *sample,
                     TimeUs now);

/** Returns the verdict. May be called at any time and any number of times; the
 * probability of error does not grow with the number of calls. Bad is final.
 * Good may become bad until the roll-out is completed. Without
 * ROLLOUT_ANSWERS_MIN candidate answers it stays undecided, unless it is bad.
 * @param reason  is filled in; may be NULL. */
RolloutVerdict RolloutTest_Judge(RolloutTest *test, TimeUs now,
                                 RolloutReason *reason);

#endif
