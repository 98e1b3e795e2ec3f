/** @file
 * Wire form of a membership.
 */
#ifndef LAURELLIFT_CONTROL_LOG_MEMBERS_H
#define LAURELLIFT_CONTROL_LOG_MEMBERS_H

#include "control/log_types.h"
#include "wire/generated/wire.pb-c.h"

/** Wire form of a membership, without any allocation. */
typedef struct WireMembers {
    Wire__LogMembers list;
    Wire__LogMember items[LOG_MEMBERS_MAX];
    Wire__LogMember *pointers[LOG_MEMBERS_MAX];
} WireMembers;

/** Fills @p wire; its strings are those of @p config. */
void LogConfig_ToWire(const LogConfig *config, WireMembers *wire);

/** ERR_CORRUPT when the list is too long or names a host twice. */
int LogConfig_FromWire(const Wire__LogMembers *list, LogConfig *config);

#endif
