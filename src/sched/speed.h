/** @file
 * Measured speed of an engine: prefill and decode speed as ratios of decaying
 * sums of tokens and seconds, a linear fit of the time to the first piece, and
 * the mean run time of requests without tokens.
 */
#ifndef LAURELLIFT_SCHED_SPEED_H
#define LAURELLIFT_SCHED_SPEED_H

#include "sched/work.h"

/** Decaying sums, whose ratio is a speed in tokens per second. */
typedef struct SpeedRatio {
    double tokens;
    double seconds;
} SpeedRatio;

/** Decaying sums of a linear regression, in which n is the total weight. */
typedef struct LinearFit {
    double n, x, y, xx, xy;
} LinearFit;

typedef struct EngineSpeed {
    SpeedRatio prefill;
    LinearFit first_piece; /**< Seconds (y) by uncached prompt tokens (x). */
    SpeedRatio decode;     /**< Speed of one stream. */
    SpeedRatio runs;       /**< Counts requests instead of tokens. */
} EngineSpeed;

/** Initialises the speeds with estimates; 0 means unknown. */
void Speed_Init(EngineSpeed *speed, double prefill_tokens_s,
                double decode_tokens_s);

void Speed_AddFirstPiece(EngineSpeed *speed, uint32_t uncached_tokens,
                         TimeUs elapsed);
void Speed_AddDecode(EngineSpeed *speed, uint32_t tokens, TimeUs elapsed);
void Speed_AddRun(EngineSpeed *speed, TimeUs elapsed);

/** Returns the tokens per second, or 0 while unknown. */
double Speed_Rate(const SpeedRatio *ratio);

/** Returns the time to the first piece as a fixed part and a part for each
 * uncached prompt token. Prompts wait for one another in the engine, so that
 * the time has a part that does not depend on their length. */
void Speed_GetLine(const EngineSpeed *speed, double *base_us,
                   double *us_per_token);

/** Returns the expected time from dispatch to the first piece of the
 * answer. */
TimeUs Speed_FirstPieceTime(const EngineSpeed *speed, const WorkSpec *work,
                            uint32_t cached_blocks);

/** Returns the expected time from dispatch to the end of the answer. */
TimeUs Speed_RunTime(const EngineSpeed *speed, const WorkSpec *work,
                     uint32_t cached_blocks);

#endif
