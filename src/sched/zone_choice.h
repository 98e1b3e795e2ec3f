/** @file
 * Choice of the zone that serves a request. A zone's own servers are nearest,
 * but sometimes too few. Meant for demand that moves between zones within
 * seconds, seen by gateways that know the load of other zones with a delay.
 *
 * Two decisions are kept apart. Shares state how much of a gateway's requests
 * leaves for each zone; they change smoothly, and only while the difference of
 * the costs exceeds its measured noise. Each request then compares its own
 * cost of leaving with what it gains. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_ZONE_CHOICE_H
#define LAURELLIFT_SCHED_ZONE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Most zones of a fleet; others are not chosen. */
#define ZONES_MAX 16
#define ZONE_NAME_BYTES 32

/** The operators' prices and bound. */
typedef struct ZoneTransfer {
    bool enabled;
    double zone_ms_per_mb;   /**< Price of a megabyte between zones, in ms of a
                                  caller's time. */
    double region_ms_per_mb; /**< The same between regions. */
    double region_mbit_s;    /**< Bound of the link between regions, in each
                                  direction and for all gateways of a region;
                                  0: none. */
} ZoneTransfer;

/** The servers of one zone that may serve a request. */
typedef struct ZoneServers {
    const char *zone;
    unsigned distance; /**< 0: same zone, 1: same region, 2: other region. */
    double slots;
    double load;   /**< Requests there, divided by slots. */
    double run_ms; /**< Expected run time, without waiting. */
} ZoneServers;

/** One request. */
typedef struct ZoneRequest {
    uint64_t hash;    /**< Of its id; it spreads requests over the shares. */
    double megabytes; /**< In both directions together. */
    double objective_ms; /**< Time that is left for its latency objective. */
    unsigned rank;       /**< 0 is the highest. */
} ZoneRequest;

/** Figures of a decision, for the log. */
typedef struct ZoneReason {
    double here_ms;     /**< Cost in the gateway's own zone; HUGE_VAL if there
                             is no server. */
    double there_ms;    /**< Cost in the chosen zone. */
    double transfer_ms; /**< Part of it for round trip and bytes. */
    double share;       /**< Share of the chosen zone. */
    double noise_ms;    /**< Noise that the difference had to exceed. */
    TimeUs age;         /**< Time since the shares were updated. */
} ZoneReason;

/** Shares of one service at one gateway. */
typedef struct ZoneChoice ZoneChoice;

/** The bytes that a gateway sends over the link between regions. */
typedef struct ZoneLink {
    double mbit_s; /**< Moving mean, at counted_at. */
    TimeUs counted_at;
} ZoneLink;

ZoneChoice *ZoneChoice_New(void);
void ZoneChoice_Free(ZoneChoice *choice);

/** Updates the shares. Called before each request. @p zones must not contain
 * a zone twice. */
void ZoneChoice_Update(ZoneChoice *choice, const ZoneTransfer *transfer,
                       const ZoneServers *zones, size_t count, TimeUs now);

/** Returns the index of the zone that serves the request; -1 if there is none.
 * @param link_mbit_s  this gateway's part of the bound of the link between
 *                     regions; 0: none. */
int ZoneChoice_Pick(const ZoneChoice *choice, const ZoneTransfer *transfer,
                    const ZoneServers *zones, size_t count,
                    const ZoneRequest *request, const ZoneLink *link,
                    double link_mbit_s, TimeUs now, ZoneReason *reason);

/** Returns the round trip and the price of the request's bytes. */
double ZoneChoice_TransferMs(const ZoneTransfer *transfer, unsigned distance,
                             double megabytes);

/** Returns the time that the load adds to a run in the zone. */
double ZoneChoice_DelayMs(const ZoneServers *servers);

/** Counts bytes sent over the link between regions. */
void ZoneLink_OnSent(ZoneLink *link, double megabytes, TimeUs now);

/** Returns whether the bytes fit into this gateway's part of the link. */
bool ZoneLink_HasRoom(const ZoneLink *link, double megabytes, double mbit_s,
                      TimeUs now);

#endif
