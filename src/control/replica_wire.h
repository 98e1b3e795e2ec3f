/** @file
 * Conversion between messages of the log core and link frames.
 */
#ifndef LAURELLIFT_CONTROL_REPLICA_WIRE_H
#define LAURELLIFT_CONTROL_REPLICA_WIRE_H

#include "control/log_types.h"
#include "wire/link.h"

/** Sends the message over the link. A frame that does not fit into the link's
 * send buffer is dropped; the core sends lost messages again. */
void ReplicaWire_Send(Link *link, const LogMessage *message);

/** Converts a frame to a message. The caller sets `from` and `from_disk_id`,
 * and frees the contents with LogMessage_Clear().
 * @return false when the frame is not of the log protocol. */
bool ReplicaWire_Read(const Wire__Frame *frame, LogMessage *message);

#endif
