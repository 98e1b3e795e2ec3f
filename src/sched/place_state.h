/** @file
 * The table of endpoints, private to placement.
 */
#ifndef LAURELLIFT_SCHED_PLACE_STATE_H
#define LAURELLIFT_SCHED_PLACE_STATE_H

#include "sched/blocks.h"
#include "sched/place.h"
#include "sched/speed.h"
#include "sched/targets.h"

#define FAILURE_HALF_LIFE (30.0 * US_PER_S)
/* Time in which wants that were sent count as load. */
#define RECENT_HALF_LIFE (1.0 * US_PER_S)

typedef struct PlaceRow {
    bool used;
    bool connected;
    uint32_t generation;
    PlaceEndpoint endpoint;
    PlaceReport report;
    uint64_t cache_holder; /* names it in the record of blocks */
    uint32_t outstanding;  /* dispatched by this entry, not ended */
    EngineSpeed speed;     /* as this entry saw it */
    double recent_wants;   /* wants sent lately, decaying */
    TimeUs recent_at;
    double failures; /* decaying */
    TimeUs failures_at;
    TimeUs observed_at; /* last want, or answer */
} PlaceRow;

struct PlaceTable {
    PlaceConfig config;
    uint32_t used; /* slots ever used */
    uint64_t next_holder;
    uint64_t random;
    double region_bytes; /* budget left; may be in debt */
    TimeUs region_at;
    EngineSpeed speed; /* of all endpoints */
    Targets targets;
    Blocks *blocks;
    PlaceRow slots[];
};

/** Adds to a sum that halves within about @p half_life microseconds. */
void PlaceState_AddDecaying(double *value, TimeUs *at, double half_life,
                            double add, TimeUs now);
/** Such a sum as it stands now. */
double PlaceState_Decayed(double value, TimeUs at, double half_life,
                          TimeUs now);

#endif
