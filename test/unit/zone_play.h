/** @file
 * Plays requests at the gateways of 6 zones in 2 regions, without a network.
 * The gateways see the load of all zones with a delay and choose a zone by
 * sched/zone_choice, or an endpoint by the fixed costs of distance.
 */
#ifndef LAURELLIFT_TEST_UNIT_ZONE_PLAY_H
#define LAURELLIFT_TEST_UNIT_ZONE_PLAY_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/zone_choice.h"

#define ZONE_PLAY_ZONES 6

typedef struct ZonePlayOptions {
    bool fixed; /* fixed costs of distance, as without zone_transfer */
    double demand[ZONE_PLAY_ZONES]; /* of each zone, divided by 12 slots */
    unsigned slots[ZONE_PLAY_ZONES];
    double swing;     /* of the demand of a zone, in waves of 17 s */
    double megabytes; /* of a request */
    int lost_zone;    /* its servers are gone from lost_s on; -1: none */
    int lost_s;
    uint32_t seed;
    int seconds;
    ZoneTransfer transfer;
} ZonePlayOptions;

typedef struct ZonePlayResult {
    unsigned sent[ZONE_PLAY_ZONES][ZONE_PLAY_ZONES]; /* from zone, to zone */
    unsigned requests, late;
    unsigned to_lost; /* sent to the lost zone later than 1 s after */
    double mean_ms;
    double p99_ms;
    double most_mbit_s; /* over the link in one direction, in any second */
    double most_load;   /* of any zone, in any second, divided by slots */
} ZonePlayResult;

ZonePlayResult ZonePlay_Run(const ZonePlayOptions *options);

#endif
