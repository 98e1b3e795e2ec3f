/** @file
 * Code that the fake endpoints share: command line options, the record of
 * requests, and reports to the agent.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_H
#define LAURELLIFT_TEST_FAKES_FAKE_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "wire/address.h"

typedef struct Fake {
    gchar *listen; /**< IP:PORT on which requests are accepted. */
    gchar *agent;  /**< IP:PORT of the agent's HTTP server; NULL for none. */
    gchar *record; /**< File that Fake_Record() appends to; NULL for none. */
    gchar *boot;   /**< Announced boot id; the process id by default. */
    gint slots;    /**< Announced number of slots. */
    struct event_base *base;
    struct evhttp *http;
    struct event *announce_timer;
    json_t *announcement; /**< Posted to the agent every 500 ms. */
} Fake;

/** Parses the shared options and those in @p own (NULL for none). Exits with
 * status 2 on a usage error. */
void Fake_ReadOptions(Fake *fake, int argc, char **argv,
                      const GOptionEntry *own);

/** Starts the HTTP server and the announcements to the agent. Takes ownership
 * of @p announcement. Exits with status 1 when it cannot listen. */
void Fake_Start(Fake *fake, json_t *announcement);

/** Appends one line to the record. */
void Fake_Record(const Fake *fake, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Posts a report to the agent and ignores the reply. Takes ownership of
 * @p report. */
void Fake_Post(Fake *fake, const char *path, json_t *report);

/** Runs until SIGTERM. On SIGUSR1, tells the agent that the endpoint is
 * draining. */
int Fake_Run(Fake *fake);

#endif
