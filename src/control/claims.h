/** @file
 * Claims: the right to run a non-idempotent request once, and the answers that
 * are stored for resends of the request. Pure: time is the replicated clock.
 *
 * A claim is running from its grant until its owner reports the result. It is
 * then finished or lost, and is kept for the retention time. A released claim
 * is removed at once. The reasons are in docs/design/claims.md.
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
#define CLAIM_CONTENT_TYPE_MAX_BYTES 255
#define CLAIM_ANSWER_MAX_BYTES (64u * 1024)
#define CLAIM_RETRY_AFTER_MS 1000

typedef struct Claims Claims;

/** Limits of the table. Every control host must use the same values. */
typedef struct ClaimsLimits {
    size_t claims;       /**< Maximum number of running and ended claims. */
    size_t answer_bytes; /**< Maximum size of all stored answers. */
} ClaimsLimits;

Claims *Claims_New(const ClaimsLimits *limits);
void Claims_Free(Claims *claims);

/** Removes ended claims whose retention time has passed. */
void Claims_Expire(Claims *claims, uint64_t clock_ms);

/** Applies a COMMAND_CLAIM* command. The strings of @p reply are valid
 * until the next change of the table. */
void Claims_Apply(Claims *claims, const Wire__Command *command,
                  uint64_t clock_ms, Wire__CommandReply *reply);

/** Adds the stored answer of a finished claim to @p reply.
 * @return false when there is no finished claim with the command's account,
 *         key and body hash. */
bool Claims_FillAnswer(const Claims *claims, const Wire__Command *command,
                       Wire__CommandReply *reply);

/** Marks the running claims of @p owners as lost.
 * @return the number of claims marked. */
size_t Claims_MarkLost(Claims *claims, const uint64_t *owners, size_t count,
                       uint64_t expires_ms);

/** Returns the owners of the running claims as a set of uint64_t. An owner is
 * the incarnation of an entry. The caller frees the set with
 * g_hash_table_unref. */
GHashTable *Claims_RunningOwners(const Claims *claims);

size_t Claims_Count(const Claims *claims);
size_t Claims_RunningCount(const Claims *claims);
size_t Claims_AnswerBytes(const Claims *claims);

/** Adds the claims to a snapshot. Strings and answers stay owned by the
 * table; the caller frees the records and arrays with g_free. */
void Claims_Save(const Claims *claims, State__Snapshot *snapshot);

/** Loads the claims of a snapshot into an empty table.
 * @return ERR_CORRUPT when a record is invalid or a duplicate. */
int Claims_Load(Claims *claims, const State__Snapshot *snapshot);

#endif
