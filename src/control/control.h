/** @file
 * Control role: the replicated state (rules, claims, fencing numbers and
 * quarantine) and the table of connected members.
 */
#ifndef LAURELLIFT_CONTROL_CONTROL_H
#define LAURELLIFT_CONTROL_CONTROL_H

#include "kernel/settings.h"
#include "kernel/task.h"

/** Adds the control task to the kernel. @p settings must outlive the task. */
int Control_AddTask(Kernel *kernel, const Settings *settings, Error *err);

#endif
