/** @file
 * Messages of the log core as frames, and back.
 */
#ifndef LAURELLIFT_CONTROL_REPLICA_WIRE_H
#define LAURELLIFT_CONTROL_REPLICA_WIRE_H

#include "control/log_types.h"
#include "wire/link.h"

/** Sends the message over the link. A frame that does not fit is dropped:
 * the core repeats what matters. */
void ReplicaWire_Send(Link *link, const LogMessage *message);

/** Reads a message without its sender. The caller clears it.
 * @return false for a frame of another protocol. */
bool ReplicaWire_Read(const Wire__Frame *frame, LogMessage *message);

#endif
