/** @file
 * Links between laurellift processes: framed TCP connections with a Hello
 * frame, heartbeats in both directions, bounded send queues, and priority of
 * control frames over bulk frames.
 *
 * A dialled link reconnects until it is closed. An accepted link is freed
 * with its connection. A link closes a connection on which it received
 * nothing for LINK_MISSED_HEARTBEATS_MAX heartbeat periods, and a dialled
 * connection that is not established within LINK_CONNECT_TIMEOUT_MS.
 */
#ifndef LAURELLIFT_WIRE_LINK_H
#define LAURELLIFT_WIRE_LINK_H

#include <stdbool.h>

#include <event2/event.h>
#include <jansson.h>

#include "kernel/clock.h"
#include "wire/address.h"
#include "wire/frame.h"

#define LINK_PROTOCOL_VERSION 1
#define LINK_HEARTBEAT_MS 500
#define LINK_MISSED_HEARTBEATS_MAX 3
#define LINK_RECONNECT_DELAY_MS 200
/* Time in which a dialled connection must be established, doubled after each
 * timeout. A new connection sends its SYN at once, whereas the kernel resends
 * a lost SYN only after a second, when an unreachable host may long have been
 * reachable again. */
#define LINK_CONNECT_TIMEOUT_MS 250
#define LINK_QUEUE_MAX_BYTES (64u * 1024 * 1024)

typedef struct Link Link;
typedef struct LinkServer LinkServer;

/** Identity of this process, sent in Hello. Its strings must outlive all links
 * that use it. */
typedef struct LinkIdentity {
    Wire__Role role;
    const char *name;
    uint64_t incarnation;
    const char *zone;
    const char *region;
} LinkIdentity;

/** Callbacks to the owner of a link. A callback may close the link, with
 * Link_Close; it is then freed after the callback returns. */
typedef struct LinkOps {
    /** Called when the peer's Hello was accepted. Frames may be sent. */
    void (*connected)(Link *link, void *owner);
    /** Called when an established link lost its connection. An accepted link
     * is freed afterwards. */
    void (*disconnected)(Link *link, void *owner);
    /** Called for each received frame other than Hello and Heartbeat. */
    void (*frame)(Link *link, const Wire__Frame *frame, void *owner);
} LinkOps;

/** Connects to @p address, and again after each failure, until
 * Link_Close. */
Link *Link_Dial(struct event_base *base, const LinkIdentity *self,
                const Address *address, const LinkOps *ops, void *owner);

/** Accepts links at @p address.
 * @return NULL with ERR_IO in @p err when the address cannot be bound. */
LinkServer *Link_Listen(struct event_base *base, const LinkIdentity *self,
                        const Address *address, const LinkOps *ops,
                        void *owner, Error *err);

/** Stops accepting and closes the accepted links. */
void Link_CloseServer(LinkServer *server);

/** Closes and frees the link without a call of `disconnected`. */
void Link_Close(Link *link);

/** Queues a frame. Control frames are sent before bulk ones (Frame_IsBulk).
 * @return ERR_OK, ERR_UNAVAILABLE while the link is disconnected, ERR_FULL
 * when more than LINK_QUEUE_MAX_BYTES are queued, or an error of
 * Frame_Write. */
int Link_Send(Link *link, const Wire__Frame *frame);

bool Link_IsConnected(const Link *link);

/** Returns the time at which bytes were last read from the connection, or at
 * which it was opened or established. While a frame is handled, this is the
 * time at which the frame was read. */
TimeUs Link_LastSeenAt(const Link *link);

/** Returns the peer's Hello, valid while the link is connected, or NULL while
 * it is disconnected. */
const Wire__Hello *Link_Peer(const Link *link);

/** Attaches data of the owner to the link. The link does not free it. */
void Link_SetData(Link *link, void *data);
void *Link_Data(const Link *link);

/** Adds the peer's name, the connection state and counts of connections and
 * bytes to @p out. */
void Link_Dump(const Link *link, json_t *out);

#endif
