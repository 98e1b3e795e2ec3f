/** @file
 * Evidence against the candidate of a roll-out on one route or on all: sums
 * over blocks, each of which compares the candidate with the old versions on
 * one route, in one load class and in one slice of time. Used by
 * rollout_test.h. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_ROLLOUT_EVIDENCE_H
#define LAURELLIFT_SCHED_ROLLOUT_EVIDENCE_H

#include "kernel/clock.h"
#include "sched/rollout_test.h"

/** Odds ratios of failure that are tested, as alternatives to 1. */
#define ROLLOUT_EFFECTS 7
/** Windows of a roll-out; a new one begins each second, or less often if the
 * roll-out takes longer than these. */
#define ROLLOUT_WINDOWS_MAX 16

/** Sums of one side of a block. */
typedef struct RolloutSums {
    double answers;
    double failures;
    double timed;
    double log_sum;
    double log_square_sum;
} RolloutSums;

/** Sums of a block, by RolloutSide. */
typedef struct RolloutBlock {
    RolloutSums sides[2];
} RolloutBlock;

/** What one block says. */
typedef struct RolloutGain {
    double ratios[ROLLOUT_EFFECTS]; /**< Likelihood ratio of the failures, by
                                         effect. */
    double expected;     /**< Candidate failures at equal rates, given all. */
    double failures;     /**< Candidate failures in blocks with both sides. */
    double all_failures; /**< Failures of both sides in such blocks. */
    double variance;     /**< Of the candidate failures, given all. */
    double timed;        /**< Timed candidate answers in such blocks. */
    double score;        /**< Difference of mean ln(ms) * information. */
    double information;  /**< 1 / variance of the difference. */
} RolloutGain;

/** Sums since one start. */
typedef struct RolloutWindow {
    TimeUs since;
    RolloutGain gain; /**< Its ratios are products. */
    uint64_t answers[2];
    uint64_t failures[2];
} RolloutWindow;

/** Windows of one route, or of all. */
typedef struct RolloutTrack {
    RolloutWindow windows[ROLLOUT_WINDOWS_MAX];
    unsigned count;
} RolloutTrack;

/** Adds a side's sums to another's. */
void RolloutSums_Add(RolloutSums *sums, const RolloutSums *other);

/** Returns what a block says; nothing if one of the sides has no answers.
 * @param log_variance  of ln(ms) within a block. */
RolloutGain RolloutBlock_Compare(const RolloutBlock *block,
                                 double log_variance);

/** Begins the window that starts at @p since. */
void RolloutTrack_Begin(RolloutTrack *track, TimeUs since);

/** Adds a block to all windows. */
void RolloutTrack_Add(RolloutTrack *track, const RolloutBlock *block,
                      const RolloutGain *gain);

/** Returns the likelihood ratio of the failures, with equal weights of all
 * effects. */
double RolloutWindow_FailureRatio(const RolloutWindow *window);

/** Returns the likelihood ratio of the run times against a candidate that is
 * not slower than tolerated.
 * @param dispersion  variance of the differences / the one by answers. */
double RolloutWindow_TimeRatio(const RolloutWindow *window, double dispersion);

/** Returns the probability of as many candidate failures, if it fails like the
 * old versions. Valid at a single look. */
double RolloutWindow_FailureChance(const RolloutWindow *window);

/** Returns the probability of as long run times, if the candidate is just not
 * slower than tolerated. Valid at a single look. */
double RolloutWindow_TimeChance(const RolloutWindow *window,
                                double dispersion);

#endif
