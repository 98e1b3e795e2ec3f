/** @file
 * Decaying ratios: a long run weighs more than a short one.
 */
#include "sched/pace.h"

/* Weight that older samples keep when one is added. */
#define KEEP 0.95
/* Points that a line needs. */
#define LINE_SAMPLES 5

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
    PaceLine *line = &pace->first_piece;
    double x = uncached_tokens;
    double y = (double)took / US_PER_S;
    line->n = line->n * KEEP + 1;
    line->x = line->x * KEEP + x;
    line->y = line->y * KEEP + y;
    line->xx = line->xx * KEEP + x * x;
    line->xy = line->xy * KEEP + x * y;
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

/* Seconds to the first piece. Prompts wait for one another in the engine,
 * so that the time has a part that does not depend on their length. */
static double
prefill_seconds(const Pace *pace, double tokens)
{
    const PaceLine *line = &pace->first_piece;
    double prefill = Pace_Speed(&pace->prefill);
    double plain = prefill > 0 ? tokens / prefill : 0;
    double spread = line->n * line->xx - line->x * line->x;
    if (line->n < LINE_SAMPLES || spread <= 0) {
        return plain;
    }
    double slope = (line->n * line->xy - line->x * line->y) / spread;
    double start = (line->y - slope * line->x) / line->n;
    return slope > 0 && start > 0 ? start + slope * tokens : plain;
}

TimeUs
Pace_PromptTime(const Pace *pace, const Work *work, uint32_t cached_blocks)
{
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = work->prompt_tokens > cached
                         ? prefill_seconds(pace, work->prompt_tokens - cached)
                         : 0;
    return (TimeUs)(seconds * US_PER_S);
}

TimeUs
Pace_RunTime(const Pace *pace, const Work *work, uint32_t cached_blocks)
{
    double decode = Pace_Speed(&pace->decode);
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = 0;
    if (work->prompt_tokens == 0 && work->output_tokens == 0) {
        double runs = Pace_Speed(&pace->runs);
        seconds = runs > 0 ? 1 / runs : 0;
    }
    if (work->prompt_tokens > cached) {
        seconds += prefill_seconds(pace, work->prompt_tokens - cached);
    }
    if (decode > 0) {
        seconds += work->output_tokens / decode;
    }
    return (TimeUs)(seconds * US_PER_S);
}
