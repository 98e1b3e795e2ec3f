/** @file
 * Evidence against the candidate of a roll-out.
 */
#include "sched/rollout_evidence.h"

#include <math.h>

#include <glib.h>

/* Run times longer by this factor are tolerated, since a new version begins
 * with cold caches: 60 of 603 to 2,950 prompt tokens are shared, 2 to 10 in
 * 100. */
#define TOLERATED_SLOWNESS 1.05
/* Scale of the half-normal prior of the slowness beyond the tolerated one, in
 * ln: a factor of e, since bad versions are several times slower. */
#define SLOWNESS_SCALE 1.0
/* Timed candidate answers below which sums of logarithms are not taken to be
 * normally distributed. */
#define TIMED_MIN 10
/* Expected candidate failures from which their sum is taken to be normally
 * distributed. */
#define NORMAL_FAILURES_MIN 10
/* Largest ratio of a block and of a window, against overflow. */
#define RATIO_MAX 1e100
/* Below it, the normal distribution is replaced by its asymptotic form, since
 * the factors of scaled_normal would overflow and vanish. */
#define ASYMPTOTIC_Z (-20)

/* The least one is the least effect that the test looks for: 6 more failures
 * in 100 at a base rate of 0.14. Smaller ones take more answers to prove than
 * a roll-out of seconds exposes. The others double or triple up to a version
 * of which hardly an answer succeeds. */
static const double effects[ROLLOUT_EFFECTS] = {1.5, 2, 3, 6, 12, 30, 100};

void
RolloutSums_Add(RolloutSums *sums, const RolloutSums *other)
{
    sums->answers += other->answers;
    sums->failures += other->failures;
    sums->timed += other->timed;
    sums->log_sum += other->log_sum;
    sums->log_square_sum += other->log_square_sum;
}

/* Distribution of the candidate's failures, given those of both sides. */
typedef struct Hypergeometric {
    double candidate; /* answers */
    double old;
    double failures; /* of both */
    double least;
    double most;
} Hypergeometric;

/* Returns the probability of x + 1 divided by the one of x. */
static double
step_up(const Hypergeometric *dist, double x)
{
    return (dist->candidate - x) * (dist->failures - x) /
           ((x + 1) * (dist->old - dist->failures + x + 1));
}

/* Sums weight * effect ^ (x - mode) over all x, for each effect and last for
 * the effect 1. The weights are probabilities relative to the one of the mode,
 * which is the largest. Sums of large effects over some hundred failures may
 * be infinite; the ratio is then 0, which is on the safe side. */
static void
sum_weights(const Hypergeometric *dist, double mode, double *sums)
{
    double terms[ROLLOUT_EFFECTS + 1];
    for (int e = 0; e <= ROLLOUT_EFFECTS; e++) {
        terms[e] = 1;
        sums[e] = 1;
    }
    int above = (int)(dist->most - mode);
    for (int i = 0; i < above; i++) {
        double weight = step_up(dist, mode + i);
        for (int e = 0; e <= ROLLOUT_EFFECTS; e++) {
            terms[e] *= weight * (e < ROLLOUT_EFFECTS ? effects[e] : 1);
            sums[e] += terms[e];
        }
    }
    for (int e = 0; e <= ROLLOUT_EFFECTS; e++) {
        terms[e] = 1;
    }
    int below = (int)(mode - dist->least);
    for (int i = 1; i <= below; i++) {
        double weight = step_up(dist, mode - i);
        for (int e = 0; e <= ROLLOUT_EFFECTS; e++) {
            terms[e] /= weight * (e < ROLLOUT_EFFECTS ? effects[e] : 1);
            sums[e] += terms[e];
        }
    }
}

/* Compares the failures, given their sum over both sides. */
static void
compare_failures(const RolloutBlock *block, RolloutGain *gain)
{
    const RolloutSums *old = &block->sides[ROLLOUT_OLD];
    const RolloutSums *candidate = &block->sides[ROLLOUT_CANDIDATE];
    double all = old->answers + candidate->answers;
    double failures = old->failures + candidate->failures;
    if (failures == 0 || failures == all) {
        return;
    }
    Hypergeometric dist = {
        .candidate = candidate->answers,
        .old = old->answers,
        .failures = failures,
        .least = MAX(0, failures - old->answers),
        .most = MIN(failures, candidate->answers),
    };
    double part = candidate->answers / all;
    double mode =
        CLAMP(floor((failures + 1) * (candidate->answers + 1) / (all + 2)),
              dist.least, dist.most);
    double sums[ROLLOUT_EFFECTS + 1];
    sum_weights(&dist, mode, sums);
    for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
        double log_ratio = (candidate->failures - mode) * log(effects[e]) +
                           log(sums[ROLLOUT_EFFECTS] / sums[e]);
        gain->ratios[e] = MIN(exp(log_ratio), RATIO_MAX);
    }
    gain->failures = candidate->failures;
    gain->all_failures = failures;
    gain->expected = failures * part;
    gain->variance =
        failures * part * (1 - part) * (all - failures) / MAX(all - 1, 1);
}

static void
compare_times(const RolloutBlock *block, double log_variance,
              RolloutGain *gain)
{
    const RolloutSums *old = &block->sides[ROLLOUT_OLD];
    const RolloutSums *candidate = &block->sides[ROLLOUT_CANDIDATE];
    if (old->timed == 0 || candidate->timed == 0) {
        return;
    }
    gain->timed = candidate->timed;
    gain->information =
        1 / (log_variance * (1 / old->timed + 1 / candidate->timed));
    gain->score = gain->information * (candidate->log_sum / candidate->timed -
                                       old->log_sum / old->timed);
}

RolloutGain
RolloutBlock_Compare(const RolloutBlock *block, double log_variance)
{
    RolloutGain gain = {.expected = 0};
    for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
        gain.ratios[e] = 1;
    }
    if (block->sides[ROLLOUT_OLD].answers > 0 &&
        block->sides[ROLLOUT_CANDIDATE].answers > 0)
    {
        compare_failures(block, &gain);
        compare_times(block, log_variance, &gain);
    }
    return gain;
}

void
RolloutTrack_Begin(RolloutTrack *track, TimeUs since)
{
    if (track->count == ROLLOUT_WINDOWS_MAX) {
        return;
    }
    RolloutWindow *window = &track->windows[track->count++];
    *window = (RolloutWindow){.since = since};
    for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
        window->gain.ratios[e] = 1;
    }
}

void
RolloutTrack_Add(RolloutTrack *track, const RolloutBlock *block,
                 const RolloutGain *gain)
{
    for (unsigned w = 0; w < track->count; w++) {
        RolloutWindow *window = &track->windows[w];
        RolloutGain *sum = &window->gain;
        for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
            sum->ratios[e] = MIN(sum->ratios[e] * gain->ratios[e], RATIO_MAX);
        }
        sum->expected += gain->expected;
        sum->failures += gain->failures;
        sum->all_failures += gain->all_failures;
        sum->variance += gain->variance;
        sum->timed += gain->timed;
        sum->score += gain->score;
        sum->information += gain->information;
        for (int side = 0; side < 2; side++) {
            window->answers[side] += (uint64_t)block->sides[side].answers;
            window->failures[side] += (uint64_t)block->sides[side].failures;
        }
    }
}

double
RolloutWindow_FailureRatio(const RolloutWindow *window)
{
    double sum = 0;
    for (int e = 0; e < ROLLOUT_EFFECTS; e++) {
        sum += window->gain.ratios[e];
    }
    return sum / ROLLOUT_EFFECTS;
}

/* Returns the probability that a normal variable exceeds @p z. */
static double
normal_tail(double z)
{
    return 0.5 * erfc(z * M_SQRT1_2);
}

/* Returns exp(z^2 / 2) * the probability that a normal variable is below z. */
static double
scaled_normal(double z)
{
    if (z < ASYMPTOTIC_Z) {
        return 1 / (-z * sqrt(2 * M_PI));
    }
    return MIN(exp(z * z / 2) * normal_tail(-z), RATIO_MAX);
}

double
RolloutWindow_TimeRatio(const RolloutWindow *window, double dispersion)
{
    const RolloutGain *gain = &window->gain;
    if (gain->timed < TIMED_MIN) {
        return 1;
    }
    double information = gain->information / dispersion;
    double score =
        gain->score / dispersion - log(TOLERATED_SLOWNESS) * information;
    double spread = 1 + SLOWNESS_SCALE * SLOWNESS_SCALE * information;
    double scaled = SLOWNESS_SCALE * score / sqrt(spread);
    return 2 / sqrt(spread) * scaled_normal(scaled);
}

/* Returns the probability of @p seen or more of @p count events. */
static double
binomial_tail(int count, double part, int seen)
{
    double log_odds = log(part / (1 - part));
    double log_term = lgamma(count + 1) - lgamma(seen + 1) -
                      lgamma(count - seen + 1) + seen * log_odds +
                      count * log1p(-part);
    double term = exp(log_term);
    double sum = 0;
    for (int i = seen; i <= count && term > 0; i++) {
        sum += term;
        term *= (double)(count - i) / (i + 1) * part / (1 - part);
    }
    return MIN(sum, 1);
}

double
RolloutWindow_FailureChance(const RolloutWindow *window)
{
    const RolloutGain *gain = &window->gain;
    if (gain->failures <= gain->expected) {
        return 1;
    }
    if (gain->expected >= NORMAL_FAILURES_MIN) {
        return normal_tail((gain->failures - 0.5 - gain->expected) /
                           sqrt(gain->variance));
    }
    /* Blocks differ in the candidate's part of the answers. By Hoeffding's
     * inequality (1956) the tail is at most the binomial one with the mean
     * part. */
    return binomial_tail((int)gain->all_failures,
                         gain->expected / gain->all_failures,
                         (int)gain->failures);
}

double
RolloutWindow_TimeChance(const RolloutWindow *window, double dispersion)
{
    const RolloutGain *gain = &window->gain;
    if (gain->timed < TIMED_MIN) {
        return 1;
    }
    double score = gain->score - log(TOLERATED_SLOWNESS) * gain->information;
    return normal_tail(score / sqrt(gain->information * dispersion));
}
