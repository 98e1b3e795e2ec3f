/** @file
 * Claims: who may run a non-idempotent request, and the answers kept for its
 * resends. Pure: time is the replicated time of the log.
 *
 * A claim is running from its grant until its owner reports the end. Then it
 * is finished or lost, and is kept for the retention time. A released claim
 * is forgotten at once. docs/design/claims.md has the reasons.
 */
#ifndef LAURELLIFT_CONTROL_CLAIMS_H
#define LAURELLIFT_CONTROL_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

#define CLAIM_ACCOUNT_MAX_BYTES 64
#define CLAIM_KEY_MAX_BYTES 255
#define CLAIM_TYPE_MAX_BYTES 255
#define CLAIM_ANSWER_MAX_BYTES (64u * 1024)
#define CLAIM_RETRY_AFTER_MS 1000

typedef struct Claims Claims;

/** Bounds of the table; the same on every control host. */
typedef struct ClaimsLimits {
    size_t claims;       /**< Running and ended claims. */
    size_t answer_bytes; /**< All kept answers together. */
} ClaimsLimits;

Claims *Claims_New(const ClaimsLimits *limits);
void Claims_Free(Claims *claims);

/** Forgets ended claims whose retention has passed. */
void Claims_Expire(Claims *claims, uint64_t clock_ms);

/** Applies a COMMAND_CLAIM* command. The strings of @p reply live until the
 * next change of the table. */
void Claims_Apply(Claims *claims, const Wire__Command *command,
                  uint64_t clock_ms, Wire__CommandReply *reply);

/** Adds the kept answer of a finished claim to @p reply.
 * @return false when the claim is not finished. */
bool Claims_FillAnswer(const Claims *claims, const Wire__Command *command,
                       Wire__CommandReply *reply);

/** Marks the running claims of @p owners as lost.
 * @return how many they were. */
size_t Claims_MarkLost(Claims *claims, const uint64_t *owners, size_t count,
                       uint64_t expires_ms);

/** Owners of running claims, each once, as a set of uint64_t; to be freed
 * with g_hash_table_unref. */
GHashTable *Claims_RunningOwners(const Claims *claims);

size_t Claims_Count(const Claims *claims);
size_t Claims_RunningCount(const Claims *claims);
size_t Claims_AnswerBytes(const Claims *claims);

/** Adds the claims to a snapshot. Strings and answers stay owned by the
 * table; the caller frees the records and arrays with g_free. */
void Claims_Save(const Claims *claims, State__Snapshot *snapshot);

/** Fills an empty table. ERR_CORRUPT when the snapshot makes no sense. */
int Claims_Load(Claims *claims, const State__Snapshot *snapshot);

#endif
