/** @file
 * Simulation of the answers of a roll-out: arrivals at five routes, load
 * classes, sizes that vary hundredfold, and faults of the candidate and of the
 * old versions. Answers are reported when they end, as gateways do.
 */
#ifndef LAURELLIFT_TEST_BENCH_ROLLOUT_PLAY_H
#define LAURELLIFT_TEST_BENCH_ROLLOUT_PLAY_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/rollout_test.h"

#define PLAY_ROUTES 5
#define PLAY_RATE 290.0 /* requests per second */
#define PLAY_SHARE 0.1  /* of the candidate */
#define PLAY_DEADLINE_US (12 * US_PER_S)
#define PLAY_ANY_ROUTE (-1)

/* What happens to the old versions. */
typedef enum OldFault {
    OLD_WELL,
    OLD_OVERLOADED,  /* only the old versions, for 5 s */
    POOL_OVERLOADED, /* the old versions and the candidate, for 5 s */
    OLD_CRASHING,    /* all old answers of every other 0.5 s fail, for 5 s */
} OldFault;

typedef struct PlayCase {
    const char *name;
    double base;         /* failure rate */
    double more;         /* added to the candidate's failure rate */
    double slowness;     /* factor of its run times; 0 is 1 */
    int route;           /* of the fault, or PLAY_ANY_ROUTE */
    unsigned load_class; /* least one of the fault */
    double from_s;       /* start of the fault */
    OldFault old_fault;
    bool uneven; /* one candidate server, 2.5 times slower for 0.6 s at a time,
                    15 in 100 of the time */
} PlayCase;

typedef struct PlayOutcome {
    RolloutVerdict first;
    RolloutVerdict last;  /* at the deadline */
    TimeUs at;            /* of the first verdict */
    RolloutReason reason; /* of the first verdict */
} PlayOutcome;

/* Returns whether the candidate is bad. */
bool Play_IsBad(const PlayCase *play);

PlayOutcome Play_Run(const PlayCase *play, uint64_t seed);

/* Returns the error probability, equal in both directions, of the best test of
 * the failures or run times of a whole roll-out that knows both rates. No
 * sequential test can do better. */
double Play_LeastError(const PlayCase *play);

#endif
