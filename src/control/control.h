/** @file
 * Control role: the replicated state of rules, claims, fencing numbers and
 * quarantine, and the members that are alive.
 */
#ifndef LAURELLIFT_CONTROL_CONTROL_H
#define LAURELLIFT_CONTROL_CONTROL_H

#include "kernel/settings.h"
#include "kernel/task.h"

/** Adds the control task to the kernel. @p settings outlives it. */
int Control_AddTask(Kernel *kernel, const Settings *settings, Error *err);

#endif
