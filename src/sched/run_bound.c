/** @file
 * Upper bounds of run times from a decaying histogram of ratios.
 */
#include "sched/run_bound.h"

#include <math.h>

#include <glib.h>

#define QUANTILE 0.99
/* Runs without which the quantile is not known: below, it would be the longest
 * of a few. */
#define MIN_WEIGHT 100
/* Factor applied to the counts when a ratio is added. */
#define DECAY_FACTOR 0.999
#define BUCKETS_PER_OCTAVE 8
/* Binary logarithm of the lower end of the first bucket. */
#define LOWEST_OCTAVE (-4)
/* Time of a token, time to the first one, and time of an answer in one piece,
 * on a slow and busy server. */
#define SLOW_TOKEN_US (10 * US_PER_MS)
#define SLOW_FIRST_TOKEN_US (1500 * US_PER_MS)
#define SLOW_ANSWER_US (500 * US_PER_MS)

static bool
has_tokens(const WorkSpec *work)
{
    return work->prompt_tokens > 0 || work->output_tokens > 0;
}

static unsigned
bucket_of(double ratio)
{
    double bucket = (log2(ratio) - LOWEST_OCTAVE) * BUCKETS_PER_OCTAVE;
    return (unsigned)CLAMP(bucket, 0, RUN_BOUND_BUCKETS - 1);
}

/* Returns the upper end of a bucket. */
static double
bucket_end(unsigned bucket)
{
    return exp2((double)(bucket + 1) / BUCKETS_PER_OCTAVE + LOWEST_OCTAVE);
}

static void
add_ratio(RunBound *bound, double ratio)
{
    bound->weight = bound->weight * DECAY_FACTOR + 1;
    for (unsigned i = 0; i < RUN_BOUND_BUCKETS; i++) {
        bound->weights[i] *= DECAY_FACTOR;
    }
    bound->weights[bucket_of(ratio)] += 1;
}

void
RunBound_Add(RunBound *bound, const WorkSpec *work, TimeUs first_piece,
             TimeUs total)
{
    if (total <= 0) {
        return;
    }
    TimeUs expected = Speed_RunTime(&bound->speed, work, 0);
    if (expected > 0) {
        add_ratio(bound, (double)total / (double)expected);
    }
    if (!has_tokens(work)) {
        Speed_AddRun(&bound->speed, total);
        return;
    }
    Speed_AddFirstPiece(&bound->speed, work->prompt_tokens, first_piece);
    Speed_AddDecode(&bound->speed, work->output_tokens, total - first_piece);
}

static double
ratio_quantile(const RunBound *bound)
{
    double above = (1 - QUANTILE) * bound->weight;
    double sum = 0;
    unsigned bucket = RUN_BOUND_BUCKETS;
    while (bucket > 0 && sum <= above) {
        bucket--;
        sum += bound->weights[bucket];
    }
    return bucket_end(bucket);
}

TimeUs
RunBound_Get(const RunBound *bound, const WorkSpec *work)
{
    if (bound->weight >= MIN_WEIGHT) {
        TimeUs expected = Speed_RunTime(&bound->speed, work, 0);
        return (TimeUs)((double)expected * ratio_quantile(bound));
    }
    if (!has_tokens(work)) {
        return SLOW_ANSWER_US;
    }
    uint32_t longest = MAX(work->output_tokens, work->longest_output_tokens);
    return SLOW_FIRST_TOKEN_US + longest * SLOW_TOKEN_US;
}
