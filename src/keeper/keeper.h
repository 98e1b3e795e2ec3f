/** @file
 * Keeper task: grants the slots of one engine to all gateways.
 */
#ifndef LAURELLIFT_KEEPER_KEEPER_H
#define LAURELLIFT_KEEPER_KEEPER_H

#include "kernel/task.h"

typedef struct KeeperOptions {
    const char *name;
    const char *zone;
    const char *region;
    const char *listen;     /**< IP:PORT for links of gateways. */
    const char *engine;     /**< IP:PORT of the engine; NULL: no probe. */
    const char *probe_path; /**< Path that the engine serves at low cost. */
} KeeperOptions;

/** Adds the task to the kernel. @p options must outlive the kernel. */
void Keeper_AddTask(Kernel *kernel, const KeeperOptions *options);

#endif
