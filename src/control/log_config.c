/** @file
 * Membership of the replicated log: lookups and serialization.
 */
#include <string.h>

#include "control/log_config_wire.h"

void
LogMessage_Clear(LogMessage *message)
{
    g_clear_pointer(&message->entries, g_array_unref);
    g_clear_pointer(&message->data, g_bytes_unref);
}

const LogMember *
LogConfig_Find(const LogConfig *config, uint32_t id)
{
    for (unsigned i = 0; i < config->count; i++) {
        if (config->members[i].id == id) {
            return &config->members[i];
        }
    }
    return NULL;
}

unsigned
LogConfig_VoterCount(const LogConfig *config)
{
    unsigned count = 0;
    for (unsigned i = 0; i < config->count; i++) {
        count += config->members[i].learner ? 0 : 1;
    }
    return count;
}

bool
LogConfig_IsVoter(const LogConfig *config, uint32_t id, uint64_t disk_id)
{
    const LogMember *member = LogConfig_Find(config, id);
    return member != NULL && !member->learner && member->disk_id == disk_id;
}

void
LogConfig_ToWire(const LogConfig *config, LogConfigWire *wire)
{
    wire__log_members__init(&wire->list);
    for (unsigned i = 0; i < config->count; i++) {
        const LogMember *member = &config->members[i];
        wire__log_member__init(&wire->items[i]);
        wire->items[i].id = member->id;
        wire->items[i].disk_id = member->disk_id;
        wire->items[i].learner = member->learner;
        wire->items[i].standby = member->standby;
        wire->items[i].joined = member->joined;
        wire->items[i].address = (char *)member->address;
        wire->items[i].zone = (char *)member->zone;
        wire->pointers[i] = &wire->items[i];
    }
    wire->list.n_members = config->count;
    wire->list.members = wire->pointers;
    for (unsigned i = 0; i < config->former_count; i++) {
        wire__log_former_member__init(&wire->former[i]);
        wire->former[i].id = config->former[i].id;
        wire->former[i].joined = config->former[i].joined;
        wire->former_pointers[i] = &wire->former[i];
    }
    wire->list.votes = config->votes;
    wire->list.n_former = config->former_count;
    wire->list.former = wire->former_pointers;
}

int
LogConfig_FromWire(const Wire__LogMembers *list, LogConfig *config)
{
    *config = (LogConfig){.count = 0};
    if (list == NULL || list->n_members > LOG_MEMBERS_MAX ||
        list->n_former > LOG_FORMER_MAX)
    {
        return ERR_CORRUPT;
    }
    config->votes = list->votes;
    for (size_t i = 0; i < list->n_former; i++) {
        config->former[config->former_count++] = (LogFormerMember){
            .id = list->former[i]->id,
            .joined = list->former[i]->joined,
        };
    }
    for (size_t i = 0; i < list->n_members; i++) {
        const Wire__LogMember *item = list->members[i];
        if (LogConfig_Find(config, item->id) != NULL) {
            return ERR_CORRUPT;
        }
        LogMember *member = &config->members[config->count++];
        member->id = item->id;
        member->disk_id = item->disk_id;
        member->learner = item->learner;
        member->standby = item->standby;
        member->joined = item->joined;
        g_strlcpy(member->address, item->address, LOG_ADDRESS_BYTES);
        g_strlcpy(member->zone, item->zone, LOG_ZONE_BYTES);
    }
    return ERR_OK;
}

GBytes *
LogConfig_Pack(const LogConfig *config)
{
    LogConfigWire wire;
    LogConfig_ToWire(config, &wire);
    size_t size = wire__log_members__get_packed_size(&wire.list);
    uint8_t *bytes = g_malloc(size);
    wire__log_members__pack(&wire.list, bytes);
    return g_bytes_new_take(bytes, size);
}

int
LogConfig_Unpack(GBytes *bytes, LogConfig *config)
{
    gsize size;
    const uint8_t *data = g_bytes_get_data(bytes, &size);
    Wire__LogMembers *list = wire__log_members__unpack(NULL, size, data);
    int result = LogConfig_FromWire(list, config);
    if (list != NULL) {
        wire__log_members__free_unpacked(list, NULL);
    }
    return result;
}

GBytes *
LogConfig_PackSnapshot(const LogConfig *config, GBytes *state)
{
    LogConfigWire wire;
    LogConfig_ToWire(config, &wire);
    Wire__LogSnapshot snapshot = WIRE__LOG_SNAPSHOT__INIT;
    snapshot.members = &wire.list;
    gsize length;
    snapshot.state.data = (uint8_t *)g_bytes_get_data(state, &length);
    snapshot.state.len = length;
    size_t size = wire__log_snapshot__get_packed_size(&snapshot);
    uint8_t *bytes = g_malloc(size);
    wire__log_snapshot__pack(&snapshot, bytes);
    return g_bytes_new_take(bytes, size);
}

int
LogConfig_UnpackSnapshot(GBytes *bytes, LogConfig *config, GBytes **state)
{
    gsize size;
    const uint8_t *data = g_bytes_get_data(bytes, &size);
    Wire__LogSnapshot *snapshot = wire__log_snapshot__unpack(NULL, size, data);
    if (snapshot == NULL) {
        return ERR_CORRUPT;
    }
    int result = LogConfig_FromWire(snapshot->members, config);
    if (result == ERR_OK && state != NULL) {
        *state = g_bytes_new(snapshot->state.data, snapshot->state.len);
    }
    wire__log_snapshot__free_unpacked(snapshot, NULL);
    return result;
}
