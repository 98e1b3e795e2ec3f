/** @file
 * Bytes of an endpoint's answer that a run has received and evhttp has not
 * consumed, since a chunk or a line is not complete. Each run may hold
 * RUN_INPUT_BASE_BYTES; all beyond that, which large chunks need, comes from
 * one bound of the agent.
 */
#ifndef LAURELLIFT_AGENT_RUN_INPUT_H
#define LAURELLIFT_AGENT_RUN_INPUT_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <glib.h>

/** Largest head of an answer, in bytes. */
#define RUN_HEAD_MAX_BYTES (64 * 1024)
/** Bytes that each run may hold. They exceed the largest head, so that a head
 * that is too large is noticed. */
#define RUN_INPUT_BASE_BYTES (RUN_HEAD_MAX_BYTES + 16 * 1024)
/** Largest chunk of an answer, in bytes; the deadline ends a run that exceeds
 * it. */
#define RUN_CHUNK_MAX_BYTES (4 * 1024 * 1024)

/** What the runs of one agent hold beyond their base. */
typedef struct RunInputs {
    size_t max_bytes; /**< Bound; one run alone may exceed it. */
    size_t bytes;
    GQueue waiting; /**< RunInput elements that need more, oldest first. */
} RunInputs;

typedef struct RunInput {
    RunInputs *inputs;
    struct bufferevent *socket; /**< NULL: closed. */
    struct evbuffer_cb_entry *watch;
    struct event *grow;
    size_t window; /**< Bytes that the run may hold now. */
} RunInput;

/** Sets the bounds of a connection before its request is made. */
void RunInput_Open(RunInput *input, RunInputs *inputs, struct event_base *base,
                   struct evhttp_connection *connection);

/** Gives the memory back to the other runs. Must be called before the
 * connection is freed; may be called again. */
void RunInput_Close(RunInput *input);

#endif
