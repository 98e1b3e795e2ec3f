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
typedef struct SpeedLine {
    double n, x, y, xx, xy;
} SpeedLine;

typedef struct EngineSpeed {
    SpeedRatio prefill;
    SpeedLine first_piece; /**< Seconds (y) by uncached prompt tokens (x). */
    SpeedRatio decode;     /**< Speed of one stream. */
    SpeedRatio runs;       /**< Counts requests instead of tokens. */
} EngineSpeed;

/** Initialises the speeds with estimates; 0 means unknown. */
void Speed_Init(EngineSpeed *pace, double prefill_tokens_s,
                double decode_tokens_s);

void Speed_AddFirstPiece(EngineSpeed *pace, uint32_t uncached_tokens,
                         TimeUs took);
void Speed_AddDecode(EngineSpeed *pace, uint32_t tokens, TimeUs took);
void Speed_AddRun(EngineSpeed *pace, TimeUs took);

/** Returns the tokens per second, or 0 while unknown. */
double Speed_Rate(const SpeedRatio *speed);

/** Returns the expected time from dispatch to the first piece of the
 * answer. */
TimeUs Speed_FirstPieceTime(const EngineSpeed *pace, const WorkSpec *work,
                            uint32_t cached_blocks);

/** Returns the expected time from dispatch to the end of the answer. */
TimeUs Speed_RunTime(const EngineSpeed *pace, const WorkSpec *work,
                     uint32_t cached_blocks);

#endif
