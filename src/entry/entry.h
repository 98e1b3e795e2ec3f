/** @file
 * Entry role: takes callers' requests over HTTP, binds each to an endpoint
 * by want, grant and dispatch, and streams the answer back.
 */
#ifndef LAURELLIFT_ENTRY_ENTRY_H
#define LAURELLIFT_ENTRY_ENTRY_H

#include "kernel/settings.h"
#include "kernel/task.h"

/** Adds the entry task to the kernel. @p settings outlives it. */
int Entry_AddTask(Kernel *kernel, const Settings *settings, Error *err);

#endif
