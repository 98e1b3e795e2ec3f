/** @file
 * Keeper task: the queue before one engine, shared by all gateways.
 */
#ifndef LAURELLIFT_KEEPER_KEEPER_H
#define LAURELLIFT_KEEPER_KEEPER_H

#include "kernel/task.h"

typedef struct KeeperOptions {
    const char *name;
    const char *zone;
    const char *region;
    const char *listen;     /**< IP:PORT for links of gateways. */
    const char *engine;     /**< IP:PORT of the engine; NULL: not watched. */
    const char *probe_path; /**< A page of it that costs it nothing. */
} KeeperOptions;

/** Adds the task. @p options outlive the kernel. */
void Keeper_AddTask(Kernel *kernel, const KeeperOptions *options);

#endif
