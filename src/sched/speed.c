/** @file
 * Ratios of decaying sums, in which a long run has more weight than a short
 * one, and a linear fit of the time to the first piece.
 */
#include "sched/speed.h"

/* Factor applied to the older samples when a new one is added. */
#define KEEP 0.95
/* Minimum sample weight for the use of the linear fit. */
#define LINE_SAMPLES 5

static void
add(SpeedRatio *speed, double tokens, TimeUs took)
{
    if (tokens <= 0 || took <= 0) {
        return;
    }
    speed->tokens = speed->tokens * KEEP + tokens;
    speed->seconds = speed->seconds * KEEP + (double)took / US_PER_S;
}

void
Speed_Init(EngineSpeed *pace, double prefill_tokens_s, double decode_tokens_s)
{
    *pace = (EngineSpeed){
        .prefill = {.tokens = prefill_tokens_s, .seconds = 1},
        .decode = {.tokens = decode_tokens_s, .seconds = 1},
    };
}

void
Speed_AddFirstPiece(EngineSpeed *pace, uint32_t uncached_tokens, TimeUs took)
{
    add(&pace->prefill, uncached_tokens, took);
    SpeedLine *line = &pace->first_piece;
    double x = uncached_tokens;
    double y = (double)took / US_PER_S;
    line->n = line->n * KEEP + 1;
    line->x = line->x * KEEP + x;
    line->y = line->y * KEEP + y;
    line->xx = line->xx * KEEP + x * x;
    line->xy = line->xy * KEEP + x * y;
}

void
Speed_AddDecode(EngineSpeed *pace, uint32_t tokens, TimeUs took)
{
    add(&pace->decode, tokens, took);
}

void
Speed_AddRun(EngineSpeed *pace, TimeUs took)
{
    add(&pace->runs, 1, took);
}

double
Speed_Rate(const SpeedRatio *speed)
{
    return speed->seconds > 0 ? speed->tokens / speed->seconds : 0;
}

/* Returns the expected seconds to the first piece. Prompts wait for one
 * another in the engine, so that the time has a part that does not depend on
 * their length. */
static double
prefill_seconds(const EngineSpeed *pace, double tokens)
{
    const SpeedLine *line = &pace->first_piece;
    double prefill = Speed_Rate(&pace->prefill);
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
Speed_FirstPieceTime(const EngineSpeed *pace, const WorkSpec *work,
                     uint32_t cached_blocks)
{
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = work->prompt_tokens > cached
                         ? prefill_seconds(pace, work->prompt_tokens - cached)
                         : 0;
    return (TimeUs)(seconds * US_PER_S);
}

TimeUs
Speed_RunTime(const EngineSpeed *pace, const WorkSpec *work,
              uint32_t cached_blocks)
{
    double decode = Speed_Rate(&pace->decode);
    double cached = (double)cached_blocks * WORK_BLOCK_TOKENS;
    double seconds = 0;
    if (work->prompt_tokens == 0 && work->output_tokens == 0) {
        double runs = Speed_Rate(&pace->runs);
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
