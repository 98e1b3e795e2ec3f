/** @file
 * Ratios of decaying sums, in which a long run has more weight than a short
 * one, and a linear fit of the time to the first piece.
 */
#include "sched/speed.h"

/* Factor applied to the older samples when a new one is added. */
#define DECAY_FACTOR 0.95
/* Minimum sample weight for the use of the linear fit. */
#define FIT_MIN_WEIGHT 5

static void
add_sample(SpeedRatio *ratio, double tokens, TimeUs elapsed)
{
    if (tokens <= 0 || elapsed <= 0) {
        return;
    }
    ratio->tokens = ratio->tokens * DECAY_FACTOR + tokens;
    ratio->seconds =
        ratio->seconds * DECAY_FACTOR + (double)elapsed / US_PER_S;
}

void
Speed_Init(EngineSpeed *speed, double prefill_tokens_s, double decode_tokens_s)
{
    *speed = (EngineSpeed){
        .prefill = {.tokens = prefill_tokens_s, .seconds = 1},
        .decode = {.tokens = decode_tokens_s, .seconds = 1},
    };
}

void
Speed_AddFirstPiece(EngineSpeed *speed, uint32_t uncached_tokens,
                    TimeUs elapsed)
{
    add_sample(&speed->prefill, uncached_tokens, elapsed);
    LinearFit *fit = &speed->first_piece;
    double x = uncached_tokens;
    double y = (double)elapsed / US_PER_S;
    fit->n = fit->n * DECAY_FACTOR + 1;
    fit->x = fit->x * DECAY_FACTOR + x;
    fit->y = fit->y * DECAY_FACTOR + y;
    fit->xx = fit->xx * DECAY_FACTOR + x * x;
    fit->xy = fit->xy * DECAY_FACTOR + x * y;
}

void
Speed_AddDecode(EngineSpeed *speed, uint32_t tokens, TimeUs elapsed)
{
    add_sample(&speed->decode, tokens, elapsed);
}

void
Speed_AddRun(EngineSpeed *speed, TimeUs elapsed)
{
    add_sample(&speed->runs, 1, elapsed);
}

double
Speed_Rate(const SpeedRatio *ratio)
{
    return ratio->seconds > 0 ? ratio->tokens / ratio->seconds : 0;
}

void
Speed_GetLine(const EngineSpeed *speed, double *base_us, double *us_per_token)
{
    const LinearFit *fit = &speed->first_piece;
    double prefill = Speed_Rate(&speed->prefill);
    *base_us = 0;
    *us_per_token = prefill > 0 ? US_PER_S / prefill : 0;
    double denominator = fit->n * fit->xx - fit->x * fit->x;
    if (fit->n < FIT_MIN_WEIGHT || denominator <= 0) {
        return;
    }
    double slope = (fit->n * fit->xy - fit->x * fit->y) / denominator;
    double intercept = (fit->y - slope * fit->x) / fit->n;
    if (slope > 0 && intercept > 0) {
        *base_us = intercept * US_PER_S;
        *us_per_token = slope * US_PER_S;
    }
}

/* Returns the expected seconds to the first piece. */
static double
prefill_seconds(const EngineSpeed *speed, double tokens)
{
    double base_us;
    double us_per_token;
    Speed_GetLine(speed, &base_us, &us_per_token);
    return (base_us + us_per_token * tokens) / US_PER_S;
}

TimeUs
Speed_FirstPieceTime(const EngineSpeed *speed, const WorkSpec *work,
                     uint32_t cached_blocks)
{
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = work->prompt_tokens > cached
                         ? prefill_seconds(speed, work->prompt_tokens - cached)
                         : 0;
    return (TimeUs)(seconds * US_PER_S);
}

TimeUs
Speed_RunTime(const EngineSpeed *speed, const WorkSpec *work,
              uint32_t cached_blocks)
{
    double decode = Speed_Rate(&speed->decode);
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = 0;
    if (work->prompt_tokens == 0 && work->output_tokens == 0) {
        double runs = Speed_Rate(&speed->runs);
        seconds = runs > 0 ? 1 / runs : 0;
    }
    if (work->prompt_tokens > cached) {
        seconds += prefill_seconds(speed, work->prompt_tokens - cached);
    }
    if (decode > 0) {
        seconds += work->output_tokens / decode;
    }
    return (TimeUs)(seconds * US_PER_S);
}
