/** @file
 * Gateway: watch of the runs that an endpoint may have ended under.
 */
#ifndef LAURELLIFT_GATEWAY_END_WATCH_H
#define LAURELLIFT_GATEWAY_END_WATCH_H

#include <stdbool.h>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "kernel/clock.h"
#include "sched/run_history.h"

typedef struct Endpoint Endpoint;

/* What is known of an endpoint's end. */
typedef enum EndEvidence {
    END_UNKNOWN,
    END_PRESUMED, /* no reply; the network may be at fault */
    END_PROVED,
} EndEvidence;

typedef struct EndWatch {
    RunHistory history;
    TimeUs heard_at;           /* when bytes last came from the endpoint */
    TimeUs suspected_at;       /* newest run without an answer, or unexpected
                                  close of a connection */
    unsigned unanswered;       /* connection attempts without a reply */
    EndEvidence ended;         /* has ended, and was not heard of since */
    struct event *timer;       /* starts the probe; NULL while there is none */
    struct bufferevent *probe; /* connection attempt, or NULL */
} EndWatch;

/* Records the end of a run that the endpoint may have begun. */
void EndWatch_OnRunEnded(Endpoint *endpoint, const EndedRun *run);

/* Records that bytes came from the endpoint. */
void EndWatch_OnHeard(Endpoint *endpoint);

/* Records that the endpoint closed a connection that it had just kept open,
 * which proves nothing but is reason to probe it. */
void EndWatch_OnUnexpectedClose(Endpoint *endpoint);

/* Counts a crash for the recorded runs, since the endpoint has ended. */
void EndWatch_OnEnded(Endpoint *endpoint, const char *why);

/* Returns whether the event of a connection attempt means that the endpoint
 * refused it. Must be called before the error number changes. */
bool EndWatch_IsRefusal(short events);

/* Records a connection attempt without a reply. */
void EndWatch_OnUnanswered(Endpoint *endpoint);

/* Cancels the probe and forgets the runs. */
void EndWatch_Clear(Endpoint *endpoint);

#endif
