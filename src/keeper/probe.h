/** @file
 * Periodic HTTP probe of the keeper's engine, so that no slot is granted while
 * the engine has crashed or does not answer.
 */
#ifndef LAURELLIFT_KEEPER_PROBE_H
#define LAURELLIFT_KEEPER_PROBE_H

#include <stdbool.h>

#include <event2/event.h>

#include "kernel/error.h"

typedef struct Probe Probe;

/** Starts probing the engine, which is assumed to answer at first.
 * @param address  IP:PORT of the engine.
 * @param path     path that the engine serves at low cost; an answer with
 *                 any HTTP status counts as success.
 * @param changed  called when the engine stops answering and when it answers
 *                 again.
 * @return NULL with @p err when the address is invalid. */
Probe *Probe_New(struct event_base *base, const char *address,
                 const char *path, void (*changed)(void *owner, bool answers),
                 void *owner, Error *err);

void Probe_Free(Probe *probe);

#endif
