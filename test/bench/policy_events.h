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
    uint64_t sequence; /**< Order of insertion, set by Events_Push. */
    uint32_t kind;     /**< A SimEventKind. */
    uint32_t server;
    uint32_t request;
    uint64_t number; /**< Depends on the kind. EVENT_GRANT and
                          EVENT_DISPATCH: grant id. EVENT_REFUSE: reason in
                          the upper 32 bits, retry-after time in ms in the
                          lower. EVENT_END: 1 if the answer is complete.
                          EVENT_ENGINE_DUE: SimServer.engine_event when it was
                          pushed. EVENT_REPORT: index of the entry. */
    void *data;      /**< Report of an EVENT_REPORT. */
} SimEvent;

typedef struct SimEvents {
    GArray *heap; /**< Array of SimEvent. */
    uint64_t sequence;
} SimEvents;

/** Inserts an event by its time. */
void Events_Push(SimEvents *events, SimEvent event);
/** Removes the earliest event. Returns false if there is none. */
bool Events_Pop(SimEvents *events, SimEvent *event);

#endif
