/** @file
 * The queue's decisions on the memory of the engine.
 */
#include "sched/queue_memory.h"

#include <glib.h>

/* Returns the tokens that a request may need in the engine's memory. */
static uint64_t
tokens_needed(const WorkSpec *work)
{
    return (uint64_t)work->prompt_tokens +
           MAX(work->output_tokens, work->longest_output_tokens);
}

bool
QueueMemory_Exceeds(const WantQueue *queue, const WorkSpec *work)
{
    return queue->memory_tokens != 0 &&
           tokens_needed(work) > queue->memory_tokens;
}

bool
QueueMemory_Fits(const WantQueue *queue, const Item *item)
{
    uint64_t tokens = tokens_needed(&item->work);
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        tokens += tokens_needed(&QueueItems_Busy(queue, i)->work);
    }
    return queue->memory_tokens == 0 || tokens <= queue->memory_tokens;
}
