/** @file
 * Watches whether the engine beside the keeper answers, so that slots of an
 * engine that crashed or fell silent are not granted.
 */
#ifndef LAURELLIFT_KEEPER_PROBE_H
#define LAURELLIFT_KEEPER_PROBE_H

#include <stdbool.h>

#include <event2/event.h>

#include "kernel/error.h"

typedef struct Probe Probe;

/** Starts asking at once.
 * @param address  IP:PORT of the engine.
 * @param path     a cheap page of it; any answer counts.
 * @param changed  told each time the engine falls silent or is back; it
 *                 counts as answering until then.
 * @return NULL with @p err when the address cannot be used. */
Probe *Probe_New(struct event_base *base, const char *address,
                 const char *path, void (*changed)(void *owner, bool answers),
                 void *owner, Error *err);

void Probe_Free(Probe *probe);

#endif
