/** @file
 * Conversion between LogConfig and its protobuf message LogMembers.
 */
#ifndef LAURELLIFT_CONTROL_LOG_CONFIG_WIRE_H
#define LAURELLIFT_CONTROL_LOG_CONFIG_WIRE_H

#include "control/log_types.h"
#include "wire/generated/wire.pb-c.h"

/** Protobuf form of a membership; needs no heap memory. */
typedef struct LogConfigWire {
    Wire__LogMembers list;
    Wire__LogMember items[LOG_MEMBERS_MAX];
    Wire__LogMember *pointers[LOG_MEMBERS_MAX];
    Wire__LogFormerMember former[LOG_FORMER_MAX];
    Wire__LogFormerMember *former_pointers[LOG_FORMER_MAX];
} LogConfigWire;

/** Fills @p wire. Its strings point into @p config. */
void LogConfig_ToWire(const LogConfig *config, LogConfigWire *wire);

/** Converts a protobuf list to a membership.
 * @return ERR_CORRUPT when the list is missing, has more than LOG_MEMBERS_MAX
 *         members or contains a host id twice. */
int LogConfig_FromWire(const Wire__LogMembers *list, LogConfig *config);

#endif
