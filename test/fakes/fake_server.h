/** @file
 * State and options of the fake server.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_SERVER_H
#define LAURELLIFT_TEST_FAKES_FAKE_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct Server {
    gchar *listen;
    gchar *control; /* IP:PORT of each control host, separated by commas */
    gchar *service;
    gchar *id;
    gchar *zone;
    gchar *record;       /* path of the record file; NULL for none */
    gchar *fault;        /* kind of fault; NULL for none */
    gchar *raw_answer;   /* file with the bytes that answer each request */
    gchar *raw_rest;     /* as raw_answer, for the rest of a stream */
    gboolean raw_reset;  /* the connection is reset after these bytes */
    gint fault_count;    /* number of further requests that get the fault */
    gint fault_every;    /* if above 1, each of so many streams gets it */
    gint error_every;    /* each of so many requests fails; 0: none */
    gint error_after_ms; /* time after the start before the first of these */
    guint request_count;
    gboolean arrivals; /* records the arrival of each request */
    gchar *software;   /* version that it announces; NULL for the default. Of
                          several, separated by commas, each start has one */
    guint stream_count;
    gint slots;
    gint events;          /* number of events in a stream */
    gint gap_ms;          /* time between events */
    gint delay_ms;        /* time before an answer */
    gint restart_ms;      /* pause before a new start; 0: it ends for good */
    gboolean new_id;      /* each start has an id of its own */
    gboolean leaves;      /* each start deregisters the one before it */
    gint moves;           /* each start listens at the next of so many hosts */
    gchar **deadly_parts; /* ID:WHEN-HOW of parts of prompts that end it */
    gchar *limit_file;    /* lines are limits to name; read at each answer */
    gchar *rest_file;     /* Retry-After with which it refuses every request;
                             empty or missing: it refuses none */
    gchar *speed_file;    /* figure of its current speed; NULL: it reports no
                             load */
    gchar *health_path;   /* it answers this path at once; NULL: it has none */
    unsigned running;     /* requests that it runs */
    gboolean leaving; /* its answers say that it leaves, its heartbeats not */
    gint silent_ms;   /* time after a start before it announces itself */
    gint event_bytes; /* length to which the data of events are padded */
    gint read_rate;   /* bytes/s that it reads of requests; 0: all at once */
    struct evconnlistener *listener;
    gchar **control_hosts;
    guint host_index; /* index of the control host in use, modulo the number of
                         control hosts */
    uint64_t born;    /* wall clock time at which the process started, in ms */
    uint64_t sequence;
    bool draining;
    struct ev_token_bucket_cfg *read_limit; /* NULL without a limit */
    GHashTable *ended_under;                /* set of targets that end it */
    struct event_base *base;
    struct event *announce_timer;
} Server;

/** Reads the options; ends the process if one is wrong or missing. */
void FakeServer_ReadOptions(Server *server, int argc, char **argv);

#endif
