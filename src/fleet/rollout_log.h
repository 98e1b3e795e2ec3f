/** @file
 * Roll-outs in the replicated log: commands that replace a service's roll-out,
 * and the part of the snapshot. Has no I/O and no clock.
 */
#ifndef LAURELLIFT_FLEET_ROLLOUT_LOG_H
#define LAURELLIFT_FLEET_ROLLOUT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"
#include "routes/rollout.h"

/** Serializes a command that replaces the roll-out of a service.
 * @param id    random number that identifies the command.
 * @param base  revision of the roll-out that it replaces; 0: the service has
 *              none. */
GBytes *RolloutLog_PackCommand(uint64_t id, const Rollout *rollout,
                               uint64_t base);

typedef enum RolloutApplied {
    ROLLOUT_NOT_A_COMMAND, /**< The command is about something else. */
    ROLLOUT_STALE,         /**< The service's roll-out has another revision. */
    ROLLOUT_CHANGED,
} RolloutApplied;

/** Applies a command. It takes effect only if the service's roll-out has the
 * revision that the command names, so that of two leaders one decides.
 * @param index    log index, which becomes the revision and, of a new
 *                 roll-out, the order.
 * @param rollout  set to the roll-out in the command, which the caller frees,
 *                 or to NULL. */
RolloutApplied RolloutLog_Apply(RolloutTable *table, uint64_t index,
                                const uint8_t *command, size_t length,
                                Rollout **rollout);

/** Appends the roll-outs to the snapshot of the configuration document, as
 * Document_Append.
 * @param document  serialized; the function takes ownership. */
GBytes *RolloutLog_AppendTo(GBytes *document, const RolloutTable *table);

/** Replaces the roll-outs by those of a snapshot.
 * @return ERR_OK, or ERR_CORRUPT, which leaves the table unchanged. */
int RolloutLog_Load(RolloutTable *table, const uint8_t *bytes, size_t length,
                    Error *err);

#endif
