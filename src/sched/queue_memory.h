/** @file
 * Private decisions of the queue on the memory of the engine, in tokens.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_MEMORY_H
#define LAURELLIFT_SCHED_QUEUE_MEMORY_H

#include "sched/queue_items.h"

/** Returns true if the request alone exceeds the engine's memory. */
bool QueueMemory_Exceeds(const WantQueue *queue, const WorkSpec *work);

/** Returns true if the request fits into the engine's memory beside those that
 * the engine holds, with their longest outputs. */
bool QueueMemory_Fits(const WantQueue *queue, const Item *item);

#endif
