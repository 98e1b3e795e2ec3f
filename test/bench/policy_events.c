/** @file
 * Event queue of the policy bench as a binary heap.
 */
#include "policy_events.h"

static bool
before(const SimEvent *a, const SimEvent *b)
{
    return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

void
Events_Push(SimEvents *events, SimEvent event)
{
    event.sequence = ++events->sequence;
    g_array_append_val(events->heap, event);
    SimEvent *heap = (SimEvent *)(void *)events->heap->data;
    guint at = events->heap->len - 1;
    while (at > 0 && before(&event, &heap[(at - 1) / 2])) {
        heap[at] = heap[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    heap[at] = event;
}

bool
Events_Pop(SimEvents *events, SimEvent *event)
{
    guint count = events->heap->len;
    if (count == 0) {
        return false;
    }
    SimEvent *heap = (SimEvent *)(void *)events->heap->data;
    *event = heap[0];
    SimEvent last = heap[--count];
    guint at = 0;
    while (at * 2 + 1 < count) {
        guint child = at * 2 + 1;
        if (child + 1 < count && before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!before(&heap[child], &last)) {
            break;
        }
        heap[at] = heap[child];
        at = child;
    }
    heap[at] = last;
    g_array_set_size(events->heap, count);
    return true;
}
