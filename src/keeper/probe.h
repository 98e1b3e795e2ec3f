/** @file
 * Periodic HTTP probe of the keeper's engine, so that no slot is granted while
 * the engine has crashed or does not answer.
 */
#ifndef LAURELLIFT_KEEPER_PROBE_H
#define LAURELLIFT_KEEPER_PROBE_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/event.h>

#include "kernel/error.h"

typedef struct Probe Probe;

typedef struct ProbeOps {
    /** The engine stopped answering, or answers again. */
    void (*changed)(void *owner, bool answers);
    /** The engine answered a probe with this body. */
    void (*answered)(void *owner, const char *body, size_t length);
    /** A connection to the engine was lost, so that it may have ended. */
    void (*lost)(void *owner);
} ProbeOps;

/** Starts probing the engine, which is assumed to answer at first.
 * @param address  IP:PORT of the engine.
 * @param path     path that the engine serves at low cost; an answer with
 *                 any HTTP status counts as success.
 * @return NULL with @p err when the address is invalid. */
Probe *Probe_New(struct event_base *base, const char *address,
                 const char *path, const ProbeOps *ops, void *owner,
                 Error *err);

void Probe_Free(Probe *probe);

#endif
