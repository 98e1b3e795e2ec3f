/** @file
 * Event queue in virtual time. Events of the same time keep their order of
 * insertion.
 */
#ifndef LAURELLIFT_TEST_BENCH_POLICY_EVENTS_H
#define LAURELLIFT_TEST_BENCH_POLICY_EVENTS_H

#include <glib.h>

#include "sched/work.h"

typedef struct SimEvent {
    TimeUs at;
    uint64_t sequence;
    uint32_t kind;
    uint32_t server;
    uint32_t request;
    uint64_t number; /**< Argument of the event, for example a grant id. */
    void *data;      /**< Report of an EVENT_REPORT. */
} SimEvent;

typedef struct SimEvents {
    GArray *heap; /**< Array of SimEvent. */
    uint64_t sequence;
} SimEvents;

void Events_Push(SimEvents *events, SimEvent event);
bool Events_Pop(SimEvents *events, SimEvent *event);

#endif
