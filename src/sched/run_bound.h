/** @file
 * Upper bound of the run time of a request, for a process that stops and must
 * not begin a run that it cannot end. Answers the load of a planned stop:
 * requests keep arriving for some seconds, and callers' estimates of their
 * output are often several times too low. Has no I/O and reads no clock.
 *
 * The bound is a high quantile of the ratio of measured to expected run times,
 * times the expected run time of the request.
 */
#ifndef LAURELLIFT_SCHED_RUN_BOUND_H
#define LAURELLIFT_SCHED_RUN_BOUND_H

#include "sched/speed.h"

/** Buckets of the ratios: eight to a factor of two, from 1/16 to 256. */
#define RUN_BOUND_BUCKETS 96

/** Run times of requests of one kind, such as those of one route. */
typedef struct RunBound {
    EngineSpeed speed;
    double weights[RUN_BOUND_BUCKETS]; /**< Decaying counts of ratios. */
    double weight;                     /**< Their sum. */
} RunBound;

/** Adds the measured times of a complete run.
 * @param first_piece  time to the first piece; 0 for an answer in one piece.
 * @param total        time to the end. */
void RunBound_Add(RunBound *bound, const WorkSpec *work, TimeUs first_piece,
                  TimeUs total);

/** Returns a time that at most one run in a hundred exceeds. Until enough runs
 * were measured, the time of the longest output on a slow engine.
 * @param work  longest_output_tokens is used only before the measurements. */
TimeUs RunBound_Get(const RunBound *bound, const WorkSpec *work);

#endif
