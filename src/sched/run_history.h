/** @file
 * Run history: the runs of one endpoint that it has not survived yet, so that
 * it may have ended under them. Pure: the caller passes the time.
 */
#ifndef LAURELLIFT_SCHED_RUN_HISTORY_H
#define LAURELLIFT_SCHED_RUN_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "sched/subjects.h"

/** Runs in a history; beyond it the oldest is dropped. */
#define RUN_HISTORY_MAX 128

/** How a run ended. The values are bits of a mask. */
typedef enum RunEnd {
    RUN_ANSWERED = 1,  /**< The answer is complete by its length or chunks. */
    RUN_BROKEN = 2,    /**< The endpoint broke it off or answered malformed
                          HTTP. */
    RUN_CANCELLED = 4, /**< The connection was closed before its end. */
    RUN_CLOSED = 8,    /**< The answer ended with its connection, so that it is
                          complete or was broken off. */
} RunEnd;

#define RUN_UNANSWERED (RUN_BROKEN | RUN_CANCELLED | RUN_CLOSED)
#define RUN_ANY (RUN_ANSWERED | RUN_UNANSWERED)

typedef struct EndedRun {
    Subjects subjects; /**< Of the request. */
    RunEnd end;
    bool wrote; /**< The endpoint wrote a successful answer, to the end as far
                   as can be seen. */
    bool resumed; /**< The answer went on after events of an earlier run. */
    bool alone;   /**< No other request ran at the endpoint meanwhile. */
    TimeUs started_at;
    TimeUs at; /**< When it ended. */
} EndedRun;

typedef struct RunHistory {
    EndedRun *runs; /**< Oldest first; allocated as needed. */
    unsigned count;
    unsigned capacity;
    TimeUs
        next_survival_at; /**< When the endpoint has survived one of them. */
} RunHistory;

/** Returns whether a run that its endpoint survived clears the subjects of its
 * request: the endpoint did all the work. A resumed run skips the part of the
 * answer under which other endpoints may have ended. A prompt that was read
 * from a prefix cache counts as done, because an endpoint caches only what it
 * has read before. */
bool EndedRun_IsAcquittal(const EndedRun *run);

/** Forgets all runs and frees their memory. */
void RunHistory_Clear(RunHistory *history);

void RunHistory_Add(RunHistory *history, const EndedRun *run);

/** Removes the runs that an endpoint has survived which existed at @p now.
 * @param survived  called for each; may be NULL. */
void RunHistory_RemoveSurvived(RunHistory *history, TimeUs now,
                               void (*survived)(void *arg,
                                                const EndedRun *run),
                               void *arg);

/** Returns the number of runs that ended in one of the ways (mask of
 * RunEnd). */
size_t RunHistory_Count(const RunHistory *history, unsigned ends);

/** Removes the runs that ended in one of the ways (mask of RunEnd), after the
 * endpoint has ended.
 * @param take  called for each.
 * @return their number. */
size_t RunHistory_Take(RunHistory *history, unsigned ends,
                       void (*take)(void *arg, const EndedRun *run),
                       void *arg);

#endif
