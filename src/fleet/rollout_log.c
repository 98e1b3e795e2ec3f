/** @file
 * Serializes and applies the replicated roll-outs.
 */
#include "fleet/rollout_log.h"

#include <string.h>

#include "fleet/document.h"

static GBytes *
pack(const Wire__ConfigCommand *command)
{
    size_t size = wire__config_command__get_packed_size(command);
    uint8_t *bytes = g_malloc(size);
    wire__config_command__pack(command, bytes);
    return g_bytes_new_take(bytes, size);
}

GBytes *
RolloutLog_PackCommand(uint64_t id, const Rollout *rollout, uint64_t base)
{
    Wire__Rollout message;
    Rollout_Fill(&message, rollout);
    Wire__ConfigCommand command = WIRE__CONFIG_COMMAND__INIT;
    command.id = id;
    command.rollout = &message;
    command.rollout_base = base;
    GBytes *packed = pack(&command);
    g_free(message.barred);
    return packed;
}

static RolloutApplied
apply(RolloutTable *table, uint64_t index, uint64_t base, Rollout *rollout)
{
    const Rollout *present = RolloutTable_Find(table, rollout->service);
    if ((present == NULL ? 0 : present->revision) != base) {
        return ROLLOUT_STALE;
    }
    rollout->revision = index;
    if (rollout->order == 0) {
        rollout->order = index;
    }
    return RolloutTable_Update(table, Rollout_Copy(rollout)) ? ROLLOUT_CHANGED
                                                             : ROLLOUT_STALE;
}

RolloutApplied
RolloutLog_Apply(RolloutTable *table, uint64_t index, const uint8_t *command,
                 size_t length, Rollout **rollout)
{
    *rollout = NULL;
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, command);
    RolloutApplied result = ROLLOUT_NOT_A_COMMAND;
    if (decoded != NULL && decoded->rollout != NULL) {
        *rollout = Rollout_Read(decoded->rollout);
        result = apply(table, index, decoded->rollout_base, *rollout);
    }
    if (decoded != NULL) {
        wire__config_command__free_unpacked(decoded, NULL);
    }
    return result;
}

GBytes *
RolloutLog_AppendTo(GBytes *document, const RolloutTable *table)
{
    if (RolloutTable_Count(table) == 0) {
        return document;
    }
    RolloutMessages messages;
    RolloutMessages_Fill(&messages, table);
    Wire__ConfigCommand command = WIRE__CONFIG_COMMAND__INIT;
    command.n_rollouts = messages.count;
    command.rollouts = messages.pointers;
    GBytes *all = Document_Append(document, &command);
    RolloutMessages_Clear(&messages);
    return all;
}

int
RolloutLog_Load(RolloutTable *table, const uint8_t *bytes, size_t length,
                Error *err)
{
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, bytes);
    if (decoded == NULL) {
        return Error_Set(err, ERR_CORRUPT,
                         "The saved roll-outs cannot be decoded.");
    }
    RolloutTable_Clear(table);
    for (size_t i = 0; i < decoded->n_rollouts; i++) {
        RolloutTable_Update(table, Rollout_Read(decoded->rollouts[i]));
    }
    wire__config_command__free_unpacked(decoded, NULL);
    return ERR_OK;
}
