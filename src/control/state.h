/** @file
 * State machine of the replicated log: rules, claims, fencing numbers,
 * quarantine and the first replies to recent commands.
 *
 * Pure and deterministic: the same commands at the same log indices give the
 * same state and replies on every host. Time moves by the clock that the
 * leader stamps into commands, and never back.
 */
#ifndef LAURELLIFT_CONTROL_STATE_H
#define LAURELLIFT_CONTROL_STATE_H

#include <stdint.h>

#include <glib.h>

#include "control/claims.h"
#include "control/quarantine.h"
#include "control/rulebook.h"
#include "kernel/error.h"

/** Subjects that have a fencing number. */
#define STATE_FENCES_MAX 20000
#define STATE_SUBJECT_MAX_BYTES 64
/** First replies kept, for operators' commands and for claims. */
#define STATE_OPERATOR_REPLIES 4096
#define STATE_CLAIM_REPLIES 32768

typedef struct State State;

/** Bounds; the same on every control host. */
typedef struct StateLimits {
    ClaimsLimits claims;
    size_t operator_replies;
    size_t claim_replies;
} StateLimits;

/** Bounds that the daemon uses. */
extern const StateLimits state_limits;

State *State_New(const StateLimits *limits);
void State_Free(State *state);

/** Applies one command. The strings of @p reply live until the next call.
 * @param reply  initialised by the call. */
void State_Apply(State *state, uint64_t index, const Wire__Command *command,
                 Wire__CommandReply *reply);

/** Replicated time in milliseconds; starts at 0 with the log. */
uint64_t State_ClockMs(const State *state);

Rulebook *State_Rulebook(State *state);
Claims *State_Claims(State *state);
Quarantine *State_Quarantine(State *state);

/** Log index of the last change of the quarantine. */
uint64_t State_QuarantineVersion(const State *state);

/** Newest fencing number of a subject; 0 when none was taken. */
uint64_t State_Fence(const State *state, const char *subject);

/** The whole state in the encoding of state.proto. */
GBytes *State_Save(const State *state);

/** A state read from a snapshot; NULL with ERR_CORRUPT in @p err. */
State *State_Load(const StateLimits *limits, const uint8_t *bytes,
                  size_t length, Error *err);

#endif
