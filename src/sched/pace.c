/** @file
 * Decaying ratios: a long run weighs more than a short one.
 */
#include "sched/pace.h"

/* Weight that older samples keep when one is added. */
#define KEEP 0.95

static void
add(PaceSpeed *speed, double tokens, TimeUs took)
{
    if (tokens <= 0 || took <= 0) {
        return;
    }
    speed->tokens = speed->tokens * KEEP + tokens;
    speed->seconds = speed->seconds * KEEP + (double)took / US_PER_S;
}

void
Pace_Init(Pace *pace, double prefill_tokens_s, double decode_tokens_s)
{
    *pace = (Pace){
        .prefill = {.tokens = prefill_tokens_s, .seconds = 1},
        .decode = {.tokens = decode_tokens_s, .seconds = 1},
    };
}

void
Pace_FirstPiece(Pace *pace, uint32_t uncached_tokens, TimeUs took)
{
    add(&pace->prefill, uncached_tokens, took);
}

void
Pace_Decoded(Pace *pace, uint32_t tokens, TimeUs took)
{
    add(&pace->decode, tokens, took);
}

void
Pace_Ran(Pace *pace, TimeUs took)
{
    add(&pace->runs, 1, took);
}

double
Pace_Speed(const PaceSpeed *speed)
{
    return speed->seconds > 0 ? speed->tokens / speed->seconds : 0;
}

TimeUs
Pace_RunTime(const Pace *pace, const Work *work, uint32_t cached_blocks)
{
    double prefill = Pace_Speed(&pace->prefill);
    double decode = Pace_Speed(&pace->decode);
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = 0;
    if (work->prompt_tokens == 0 && work->output_tokens == 0) {
        double runs = Pace_Speed(&pace->runs);
        seconds = runs > 0 ? 1 / runs : 0;
    }
    if (prefill > 0 && work->prompt_tokens > cached) {
        seconds += (work->prompt_tokens - cached) / prefill;
    }
    if (decode > 0) {
        seconds += work->output_tokens / decode;
    }
    return (TimeUs)(seconds * US_PER_S);
}
