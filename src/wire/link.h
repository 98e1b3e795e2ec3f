/** @file
 * Links between laurellift's processes: framed TCP with a hello, heartbeats
 * both ways, bounded queues, and control frames sent before bulk ones.
 *
 * A dialled link outlives its connections: it dials again until closed. An
 * accepted link lives as long as its connection. A connection on which
 * nothing was heard for LINK_MISSED_HEARTBEATS_MAX heartbeats is dropped, and
 * a dialled one that is not answered within LINK_CONNECT_TIMEOUT_MS.
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
/* A dialled connection that the other host has not answered by then is given
 * up: the kernel sends the opening packet again only after a second, and a
 * host that was dark may be back. Twice as long after each failure. */
#define LINK_CONNECT_TIMEOUT_MS 250
#define LINK_QUEUE_MAX_BYTES (64u * 1024 * 1024)

typedef struct Link Link;
typedef struct LinkServer LinkServer;

/** Who this process is; sent in Hello. The strings outlive the links. */
typedef struct LinkIdentity {
    Wire__Role role;
    const char *name;
    uint64_t incarnation;
    const char *zone;
    const char *region;
} LinkIdentity;

/** What the owner of a link is told. No call may close the link but
 * through Link_Close. */
typedef struct LinkOps {
    /** Both hellos have passed; frames may be sent. */
    void (*up)(Link *link, void *owner);
    /** The connection is gone. An accepted link is freed afterwards. */
    void (*down)(Link *link, void *owner);
    /** A frame other than hello and heartbeat has come. */
    void (*frame)(Link *link, const Wire__Frame *frame, void *owner);
} LinkOps;

/** Dials @p address until Link_Close. */
Link *Link_Dial(struct event_base *base, const LinkIdentity *self,
                const Address *address, const LinkOps *ops, void *owner);

/** Accepts links at @p address; NULL and @p err when it cannot. */
LinkServer *Link_Listen(struct event_base *base, const LinkIdentity *self,
                        const Address *address, const LinkOps *ops,
                        void *owner, Error *err);

/** Stops accepting and closes the accepted links. */
void Link_CloseServer(LinkServer *server);

/** Closes and frees the link; `down` is not called. */
void Link_Close(Link *link);

/** Queues a frame: control frames first, bulk ones (Frame_IsBulk) after.
 * @return ERR_OK, ERR_UNAVAILABLE while the link is down, ERR_FULL. */
int Link_Send(Link *link, const Wire__Frame *frame);

bool Link_IsUp(const Link *link);

/** When bytes last came in. While a frame is handled: when it was read. */
TimeUs Link_LastSeenAt(const Link *link);

/** Hello of the other side; valid while the link is up. */
const Wire__Hello *Link_Peer(const Link *link);

/** The owner's own data of this link. */
void Link_SetData(Link *link, void *data);
void *Link_Data(const Link *link);

/** Adds peer, state, queues and byte counts to a dump. */
void Link_Dump(const Link *link, json_t *out);

#endif
