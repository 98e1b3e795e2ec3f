/** @file
 * Measured pace of an engine: prefill and decode speeds as decaying ratios
 * of tokens to seconds, and the mean run time of work without tokens.
 */
#ifndef LAURELLIFT_SCHED_PACE_H
#define LAURELLIFT_SCHED_PACE_H

#include "sched/work.h"

/** Decaying sums; the ratio is a speed in tokens a second. */
typedef struct PaceSpeed {
    double tokens;
    double seconds;
} PaceSpeed;

/** Decaying sums of a straight line through points; see Pace_Line. */
typedef struct PaceLine {
    double n, x, y, xx, xy;
} PaceLine;

typedef struct Pace {
    PaceSpeed prefill;
    PaceLine first_piece; /**< Seconds to the first piece, by tokens. */
    PaceSpeed decode;     /**< Of one stream. */
    PaceSpeed runs;       /**< Runs, not tokens. */
} Pace;

/** Starts from guesses in tokens a second; 0 is unknown. */
void Pace_Init(Pace *pace, double prefill_tokens_s, double decode_tokens_s);

void Pace_FirstPiece(Pace *pace, uint32_t uncached_tokens, TimeUs took);
void Pace_Decoded(Pace *pace, uint32_t tokens, TimeUs took);
void Pace_Ran(Pace *pace, TimeUs took);

/** Tokens a second; 0 while unknown. */
double Pace_Speed(const PaceSpeed *speed);

/** Expected time from dispatch to the first piece of the answer. */
TimeUs Pace_PromptTime(const Pace *pace, const Work *work,
                       uint32_t cached_blocks);

/** Expected time from dispatch to the end of the answer. */
TimeUs Pace_RunTime(const Pace *pace, const Work *work,
                    uint32_t cached_blocks);

#endif
