/** @file
 * Agent role: runs beside one endpoint, queues wants, grants slots, runs
 * dispatched requests on the endpoint and sends the answers back.
 */
#ifndef LAURELLIFT_AGENT_AGENT_H
#define LAURELLIFT_AGENT_AGENT_H

#include "kernel/settings.h"
#include "kernel/task.h"

/** Adds one agent task for each endpoint in the settings. */
int Agent_AddTasks(Kernel *kernel, const Settings *settings, Error *err);

#endif
