/** @file
 * What the parts of the fleet task share.
 */
#ifndef LAURELLIFT_FLEET_STATE_H
#define LAURELLIFT_FLEET_STATE_H

#include "control/replica.h"
#include "fleet/document.h"
#include "fleet/fleet.h"
#include "kernel/clock.h"
#include "wire/link.h"

#define FLEET_PART "fleet"

/* A process that dialled this host. */
typedef struct FleetPeer {
    uint64_t serial; /* tells a link from a later one at its address */
    Link *link;
    bool gateway;
    TimeUs last_seen_at; /* of its newest query */
    GHashTable *uses;    /* account -> demand (double) */
} FleetPeer;

struct Fleet {
    TaskHandle task;
    struct event_base *base;
    const Settings *settings;
    const RouteCodec *codec;
    LinkIdentity self;
    LinkServer *links;
    Replica *replica;
    Document document;
    RouteTable *table; /* of the document; NULL: none */
    Directory *directory;
    GHashTable *peers;   /* Link -> FleetPeer */
    GHashTable *waiters; /* command id -> Waiter */
    uint64_t serial;
    TimeUs leader_since;
    bool is_leader;
    bool draining;
    bool push_due;
    struct event *push;
    struct event *save; /* of the directory, some time after a change */
    struct event *tick;
};

/* ---- gateways.c ---- */

/* Handles a frame of a gateway. */
void FleetGateways_OnFrame(Fleet *fleet, Link *link, const Wire__Frame *frame);

/* Sends the newest document to every gateway, some time soon. */
void FleetGateways_PushSoon(Fleet *fleet);

/* Tells one gateway of all endpoints. */
void FleetGateways_Greet(Fleet *fleet, Link *link);

/* Tells every gateway of one endpoint. */
void FleetGateways_Tell(Fleet *fleet, const EndpointRecord *news);

/* The event that sends what PushSoon asked for. */
void FleetGateways_OnPush(evutil_socket_t fd, short events, void *arg);

#endif
