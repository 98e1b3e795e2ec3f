/** @file
 * Entry role: accepts HTTP requests from callers, dispatches each to one agent
 * that granted its want, and streams the answer to the caller.
 */
#ifndef LAURELLIFT_ENTRY_ENTRY_H
#define LAURELLIFT_ENTRY_ENTRY_H

#include "kernel/settings.h"
#include "kernel/task.h"

/** Adds the entry task to the kernel. @p settings must outlive the task. */
int Entry_AddTask(Kernel *kernel, const Settings *settings, Error *err);

#endif
