/** @file
 * The table of endpoints, private to placement.
 */
#ifndef LAURELLIFT_SCHED_PLACE_STATE_H
#define LAURELLIFT_SCHED_PLACE_STATE_H

#include "sched/blocks.h"
#include "sched/place.h"
#include "sched/speed.h"
#include "sched/targets.h"

#define FAILURE_HALF_LIFE_US (30.0 * US_PER_S)
/* Half-life, in microseconds, of the load attributed to sent wants. */
#define RECENT_WANTS_HALF_LIFE_US (1.0 * US_PER_S)

typedef struct PlaceRow {
    bool used;
    bool connected;
    uint32_t generation;
    PlaceEndpoint endpoint;
    PlaceReport report;
    uint64_t
        cache_holder; /* holder id in PlaceTable.blocks; new after a reset */
    uint32_t outstanding; /* unfinished requests of this entry */
    EngineSpeed speed;    /* measured by this entry */
    double recent_wants;  /* decaying sum of sent wants */
    TimeUs recent_wants_at;
    double failures; /* decaying sum */
    TimeUs failures_at;
    TimeUs last_want_at; /* initially the time of Place_Add */
} PlaceRow;

struct PlaceTable {
    PlaceConfig config;
    uint32_t row_count; /* number of rows that were ever in use */
    uint64_t next_holder;
    uint64_t random_state;
    double region_bytes; /* remaining budget; negative after overuse */
    TimeUs region_refilled_at;
    EngineSpeed speed; /* measured over all endpoints */
    Targets targets;
    Blocks *blocks;
    PlaceRow rows[];
};

/** Adds to a decaying sum that halves within about @p half_life
 * microseconds. */
void PlaceState_AddDecaying(double *value, TimeUs *at, double half_life,
                            double add, TimeUs now);
/** Returns the value of a decaying sum at time @p now. */
double PlaceState_Decayed(double value, TimeUs at, double half_life,
                          TimeUs now);

#endif
