/** @file
 * Keeper task: grants the slots of one engine to all gateways.
 */
#ifndef LAURELLIFT_KEEPER_KEEPER_H
#define LAURELLIFT_KEEPER_KEEPER_H

#include <stddef.h>
#include <stdint.h>

#include "kernel/task.h"

typedef struct KeeperOptions {
    const char *name;
    const char *zone;
    const char *region;
    const char *listen;     /**< IP:PORT for links of gateways. */
    const char *engine;     /**< IP:PORT of the engine; NULL: no probe. */
    const char *probe_path; /**< Path that the engine serves at low cost. */
    /** Returns the start of the engine, in Unix milliseconds, from the body of
     * its answer to a probe; 0 if it does not tell. */
    uint64_t (*read_start)(const char *body, size_t length);
} KeeperOptions;

/** Adds the task to the kernel. @p options must outlive the kernel. */
void Keeper_AddTask(Kernel *kernel, const KeeperOptions *options);

#endif
