/** @file
 * Plays requests of plain services at many gateways before a few servers whose
 * speed changes, without a network. The choice of a server is made as in the
 * gateway, with the figures of the servers or without.
 */
#ifndef LAURELLIFT_TEST_UNIT_PACE_PLAY_H
#define LAURELLIFT_TEST_UNIT_PACE_PLAY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define PLAY_SERVERS 6
#define PLAY_GATEWAYS 38
/* Objective of the requests in milliseconds. */
#define PLAY_OBJECTIVE_MS 400

typedef enum PlayPolicy {
    PLAY_MEANS,  /* running means of measured run times, as without figures */
    PLAY_FIGURE, /* figures of answers only */
    PLAY_ASKS,   /* figures of answers and of the health path */
} PlayPolicy;

typedef struct PlayOptions {
    PlayPolicy policy;
    double rate;             /* requests a second over all gateways */
    double swing;            /* of the demand of a zone, in waves of 17 s */
    double slow_fraction;    /* of the time in which a server is slow */
    double sigma;            /* of the logarithms of run times */
    const double *speeds;    /* of the servers; NULL: all 1 */
    bool figure_shows_speed; /* else the usual figure of each server is 100 */
    uint32_t seed;
    int seconds;
} PlayOptions;

typedef struct PlayResult {
    unsigned requests;
    unsigned late; /* took longer than the objective */
    unsigned asked;
    unsigned on_slow; /* arrived at a slow server */
    double mean_ms;
    double p99_ms;
    double most_swing; /* largest distance of a server's load from its share,
                          in slots */
    double parts[PLAY_SERVERS]; /* of the requests, by server */
    double holding_ms;          /* median of the gateways' measurements */
} PlayResult;

PlayResult PacePlay_Run(const PlayOptions *options);

#endif
