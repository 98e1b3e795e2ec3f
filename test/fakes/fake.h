/** @file
 * What the fake endpoints share: options, the record of what ran, and the
 * announcement to the agent.
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
    gchar *listen; /**< IP:PORT for requests. */
    gchar *agent;  /**< IP:PORT of the agent's HTTP; NULL: none. */
    gchar *record; /**< File that gets one line for each request run. */
    gchar *boot;   /**< Boot id announced; NULL: made from the process id. */
    gint slots;
    struct event_base *base;
    struct evhttp *http;
    struct event *announce;
    json_t *announcement; /**< Sent every 500 ms. */
} Fake;

/** Adds the shared options to those of the program and parses. Exits on a
 * usage error. */
void Fake_ReadOptions(Fake *fake, int argc, char **argv,
                      const GOptionEntry *own);

/** Opens the server and starts announcing. Takes @p announcement. */
void Fake_Start(Fake *fake, json_t *announcement);

/** Appends one line to the record. */
void Fake_Record(const Fake *fake, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Posts a report to the agent and takes @p report. Its answer is passed
 * over. */
void Fake_Post(Fake *fake, const char *path, json_t *report);

/** Runs until SIGTERM. SIGUSR1 tells the agent that the endpoint leaves. */
int Fake_Run(Fake *fake);

#endif
