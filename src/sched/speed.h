/** @file
 * Measured pace of an engine: prefill and decode speeds as decaying ratios
 * of tokens to seconds, and the mean run time of work without tokens.
 */
#ifndef LAURELLIFT_SCHED_SPEED_H
#define LAURELLIFT_SCHED_SPEED_H

#include "sched/work.h"

/** Decaying sums; the ratio is a speed in tokens a second. */
typedef struct SpeedRatio {
    double tokens;
    double seconds;
} SpeedRatio;

/** Decaying sums of a straight line through points; see Pace_Line. */
typedef struct SpeedLine {
    double n, x, y, xx, xy;
} SpeedLine;

typedef struct EngineSpeed {
    SpeedRatio prefill;
    SpeedLine first_piece; /**< Seconds to the first piece, by tokens. */
    SpeedRatio decode;     /**< Of one stream. */
    SpeedRatio runs;       /**< Runs, not tokens. */
} EngineSpeed;

/** Starts from guesses in tokens a second; 0 is unknown. */
void Speed_Init(EngineSpeed *pace, double prefill_tokens_s,
                double decode_tokens_s);

void Speed_AddFirstPiece(EngineSpeed *pace, uint32_t uncached_tokens,
                         TimeUs took);
void Speed_AddDecode(EngineSpeed *pace, uint32_t tokens, TimeUs took);
void Speed_AddRun(EngineSpeed *pace, TimeUs took);

/** Tokens a second; 0 while unknown. */
double Speed_Rate(const SpeedRatio *speed);

/** Expected time from dispatch to the first piece of the answer. */
TimeUs Speed_FirstPieceTime(const EngineSpeed *pace, const WorkSpec *work,
                            uint32_t cached_blocks);

/** Expected time from dispatch to the end of the answer. */
TimeUs Speed_RunTime(const EngineSpeed *pace, const WorkSpec *work,
                     uint32_t cached_blocks);

#endif
