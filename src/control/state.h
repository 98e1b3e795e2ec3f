/** @file
 * State machine of the replicated log: rules, claims, fencing numbers,
 * quarantine and the first replies to recent commands.
 *
 * Pure and deterministic: the same commands at the same log indices give the
 * same state and replies on every host. Time is the clock that the leader
 * stamps into each command, and never decreases.
 */
#ifndef LAURELLIFT_CONTROL_STATE_H
#define LAURELLIFT_CONTROL_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control/claims.h"
#include "control/quarantine.h"
#include "control/rulebook.h"
#include "kernel/error.h"

/** Maximum number of subjects with a fencing number. */
#define STATE_FENCES_MAX 20000
#define STATE_SUBJECT_MAX_BYTES 64
/** Maximum number of stored first replies: to claim commands
 * (STATE_CLAIM_REPLIES_MAX) and to all other commands. */
#define STATE_OPERATOR_REPLIES_MAX 4096
#define STATE_CLAIM_REPLIES_MAX 32768

typedef struct State State;

/** Limits of the tables. Every control host must use the same values, so that
 * the replicas stay identical. */
typedef struct StateLimits {
    ClaimsLimits claims;
    size_t operator_replies;
    size_t claim_replies;
} StateLimits;

/** Limits used by the daemon. */
extern const StateLimits state_limits;

State *State_New(const StateLimits *limits);
void State_Free(State *state);

/** Applies a committed command. The strings of @p reply are valid until the
 * next call.
 * @param reply  initialized and filled by this function. */
void State_Apply(State *state, uint64_t index, const Wire__Command *command,
                 Wire__CommandReply *reply);

/** Replicated clock in milliseconds; 0 before the first command. */
uint64_t State_ClockMs(const State *state);

Rulebook *State_Rulebook(State *state);
Claims *State_Claims(State *state);

/** Returns the suspected and quarantined fingerprints, then the parts of
 * prompts with two crashes or more. The reasons stay owned by the state; the
 * caller frees each entry and the array with g_free. */
Wire__QuarantineEntry **State_ListQuarantine(const State *state,
                                             size_t *count);

/** Number of suspected and quarantined fingerprints and parts of prompts. */
size_t State_QuarantineCount(const State *state);

/** Log index of the last command that changed the quarantine. */
uint64_t State_QuarantineVersion(const State *state);

/** Latest fencing number of @p subject; 0 when it has none. */
uint64_t State_GetFenceNumber(const State *state, const char *subject);

/** Fills @p withdrawal with why an endpoint takes no requests, until the next
 * command.
 * @return false if it may take some. */
bool State_GetWithdrawal(const State *state, const char *subject,
                         Wire__Withdrawal *withdrawal);

/** Serializes the whole state as the Snapshot message of state.proto. */
GBytes *State_Save(const State *state);

/** Creates a state from a snapshot.
 * @return NULL, with ERR_CORRUPT in @p err, when the snapshot is invalid. */
State *State_Load(const StateLimits *limits, const uint8_t *bytes,
                  size_t length, Error *err);

#endif
