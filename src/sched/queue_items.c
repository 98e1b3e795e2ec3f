/** @file
 * Storage of the agent's queue: item pool, id map, grant order and ring
 * buffers.
 */
#include "sched/queue_items.h"

#include <string.h>

#include <glib.h>

/* Number of prefix blocks of the endpoint that are recorded. */
#define RECORDED_BLOCKS 16384
/* Flag of an IdMap value: the other bits are a position in ended_ids, not an
 * item index. */
#define ENDED_ID_FLAG 0x80000000U

WantQueue *
Queue_New(const QueueConfig *config)
{
    WantQueue *queue = g_new0(WantQueue, 1);
    queue->config = *config;
    queue->config.max_ended_ids = MAX(config->max_ended_ids, 1);
    queue->config.slots = MIN(config->slots, QUEUE_SLOTS_MAX);
    queue->next_grant_id = config->seed | 1;
    uint32_t capacity = config->max_wants + QUEUE_SLOTS_MAX;
    IdMap_Init(&queue->ids, capacity + queue->config.max_ended_ids);
    queue->items = g_new(Item, capacity);
    queue->unused = g_new(uint32_t, capacity);
    for (uint32_t i = 0; i < capacity; i++) {
        queue->unused[queue->unused_count++] = capacity - 1 - i;
    }
    queue->waiting = g_new(uint32_t, config->max_wants + 1);
    queue->busy = g_new(uint32_t, QUEUE_SLOTS_MAX);
    queue->ended_ids = g_new0(RequestId, queue->config.max_ended_ids);
    queue->action_capacity = 64;
    queue->actions = g_new(QueueAction, queue->action_capacity);
    queue->blocks = Blocks_New(RECORDED_BLOCKS);
    Speed_Init(&queue->speed, config->prefill_tokens_s,
               config->decode_tokens_s);
    queue->dispatch_ratio = 1;
    queue->margin = 1;
    queue->first_piece_margin = 1;
    queue->lowest_tier = WORK_TIERS - 1;
    FairAccounts_Init(&queue->fair_accounts);
    return queue;
}

void
Queue_Free(WantQueue *queue)
{
    IdMap_Clear(&queue->ids);
    Blocks_Free(queue->blocks);
    g_free(queue->items);
    g_free(queue->unused);
    g_free(queue->waiting);
    g_free(queue->busy);
    g_free(queue->ended_ids);
    g_free(queue->actions);
    g_free(queue);
}

void
QueueItems_PushAction(WantQueue *queue, const QueueAction *action)
{
    uint32_t capacity = queue->action_capacity;
    if (queue->action_count == capacity) {
        QueueAction *larger = g_new(QueueAction, capacity * 2);
        for (uint32_t i = 0; i < capacity; i++) {
            larger[i] = queue->actions[(queue->action_head + i) % capacity];
        }
        g_free(queue->actions);
        queue->actions = larger;
        queue->action_capacity = capacity * 2;
        queue->action_head = 0;
    }
    uint32_t position =
        (queue->action_head + queue->action_count) % queue->action_capacity;
    queue->actions[position] = *action;
    queue->action_count++;
}

size_t
Queue_TakeActions(WantQueue *queue, QueueAction *actions, size_t capacity)
{
    size_t taken = 0;
    while (taken < capacity && queue->action_count > 0) {
        actions[taken++] = queue->actions[queue->action_head];
        queue->action_head = (queue->action_head + 1) % queue->action_capacity;
        queue->action_count--;
    }
    return taken;
}

Item *
QueueItems_Find(const WantQueue *queue, RequestId id)
{
    uint32_t value = IdMap_Get(&queue->ids, id);
    return value >= ENDED_ID_FLAG ? NULL : &queue->items[value];
}

bool
QueueItems_IsEndedId(const WantQueue *queue, RequestId id)
{
    uint32_t value = IdMap_Get(&queue->ids, id);
    return value != IDMAP_NONE && value >= ENDED_ID_FLAG;
}

bool
QueueItems_Precedes(const WantQueue *queue, const Item *a, const Item *b)
{
    if (queue->config.no_priority) {
        return a->sequence < b->sequence;
    }
    if (a->work.tier != b->work.tier) {
        return a->work.tier < b->work.tier;
    }
    if (a->booked != b->booked) {
        return a->booked;
    }
    if (a->beyond_share != b->beyond_share) {
        return b->beyond_share;
    }
    int order_a = FairRanks_Order(&queue->fair_ranks, &a->work);
    int order_b = FairRanks_Order(&queue->fair_ranks, &b->work);
    if (order_a != order_b) {
        return order_a < order_b;
    }
    if (a->first_piece_late != b->first_piece_late) {
        return b->first_piece_late;
    }
    if (a->latest_start_at != b->latest_start_at) {
        return a->latest_start_at < b->latest_start_at;
    }
    return a->sequence < b->sequence;
}

/* Returns the first position whose item does not precede @p item. */
static uint32_t
find_position(const WantQueue *queue, const Item *item)
{
    uint32_t low = 0;
    uint32_t high = queue->waiting_count;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        const Item *other = QueueItems_Waiting(queue, middle);
        if (QueueItems_Precedes(queue, other, item)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static int
compare_waiting(const void *a, const void *b, void *arg)
{
    const WantQueue *queue = arg;
    const Item *first = &queue->items[*(const uint32_t *)a];
    const Item *second = &queue->items[*(const uint32_t *)b];
    return QueueItems_Precedes(queue, first, second) ? -1 : 1;
}

void
QueueItems_Sort(WantQueue *queue)
{
    g_qsort_with_data(queue->waiting, (gint)queue->waiting_count,
                      sizeof(queue->waiting[0]), compare_waiting, queue);
}

Item *
QueueItems_Waiting(const WantQueue *queue, uint32_t position)
{
    return &queue->items[queue->waiting[position]];
}

Item *
QueueItems_Busy(const WantQueue *queue, uint32_t position)
{
    return &queue->items[queue->busy[position]];
}

static void
insert_waiting(WantQueue *queue, Item *item)
{
    uint32_t position = find_position(queue, item);
    memmove(&queue->waiting[position + 1], &queue->waiting[position],
            (queue->waiting_count - position) * sizeof(queue->waiting[0]));
    queue->waiting[position] = (uint32_t)(item - queue->items);
    queue->waiting_count++;
    queue->waiting_by_tier[item->work.tier]++;
    queue->prompt_tokens += item->work.prompt_tokens;
    queue->output_tokens += item->work.output_tokens;
}

static void
remove_waiting(WantQueue *queue, const Item *item)
{
    uint32_t position = find_position(queue, item);
    INVARIANT(QueueItems_Waiting(queue, position) == item);
    queue->waiting_count--;
    memmove(&queue->waiting[position], &queue->waiting[position + 1],
            (queue->waiting_count - position) * sizeof(queue->waiting[0]));
    queue->waiting_by_tier[item->work.tier]--;
    queue->prompt_tokens -= item->work.prompt_tokens;
    queue->output_tokens -= item->work.output_tokens;
}

TimeUs
QueueItems_LatestStart(const WantQueue *queue, const Item *item)
{
    const WorkSpec *work = &item->work;
    if (work->first_piece_deadline == 0) {
        return work->deadline;
    }
    TimeUs run_time = Speed_RunTime(&queue->speed, work, item->cached_blocks);
    TimeUs latest_start = work->deadline - run_time;
    if (item->first_piece_late) {
        return latest_start;
    }
    TimeUs prefill_time =
        Speed_FirstPieceTime(&queue->speed, work, item->cached_blocks);
    return MIN(latest_start, work->first_piece_deadline - prefill_time);
}

void
QueueItems_Delay(WantQueue *queue, Item *item)
{
    remove_waiting(queue, item);
    item->first_piece_late = true;
    item->latest_start_at = QueueItems_LatestStart(queue, item);
    insert_waiting(queue, item);
}

void
QueueItems_MakeBusy(WantQueue *queue, Item *item)
{
    remove_waiting(queue, item);
    queue->busy[queue->busy_count++] = (uint32_t)(item - queue->items);
}

static void
remove_busy(WantQueue *queue, const Item *item)
{
    uint32_t index = (uint32_t)(item - queue->items);
    uint32_t position = 0;
    while (queue->busy[position] != index) {
        position++;
        INVARIANT(position < queue->busy_count);
    }
    queue->busy[position] = queue->busy[--queue->busy_count];
    queue->running -= item->state == ITEM_RUNNING;
}

void
QueueItems_Remove(WantQueue *queue, Item *item)
{
    if (item->state == ITEM_WAITING) {
        remove_waiting(queue, item);
    }
    else {
        remove_busy(queue, item);
    }
    IdMap_Remove(&queue->ids, item->work.id);
    queue->unused[queue->unused_count++] = (uint32_t)(item - queue->items);
}

void
QueueItems_AddEndedId(WantQueue *queue, RequestId id)
{
    uint32_t position = queue->ended_id_next;
    if (queue->ended_id_count == queue->config.max_ended_ids) {
        IdMap_Remove(&queue->ids, queue->ended_ids[position]);
    }
    else {
        queue->ended_id_count++;
    }
    queue->ended_ids[position] = id;
    queue->ended_id_next = (position + 1) % queue->config.max_ended_ids;
    IdMap_Put(&queue->ids, id, ENDED_ID_FLAG | position);
}

void
QueueItems_End(WantQueue *queue, Item *item)
{
    RequestId id = item->work.id;
    QueueItems_Remove(queue, item);
    QueueItems_AddEndedId(queue, id);
}

void
QueueItems_Add(WantQueue *queue, const WorkSpec *work, uint64_t owner,
               TimeUs now)
{
    INVARIANT(queue->unused_count > 0);
    uint32_t index = queue->unused[--queue->unused_count];
    Item *item = &queue->items[index];
    *item = (Item){
        .state = ITEM_WAITING,
        .work = *work,
        .owner = owner,
        .arrived_at = now,
        .sequence = queue->next_sequence++,
        .beyond_share = FairAccounts_IsBeyond(&queue->fair_accounts, work),
        .booked = Bookings_Claim(&queue->bookings, work, now),
        .cached_blocks =
            Blocks_CountLeading(queue->blocks, work, QUEUE_CACHE_HOLDER),
    };
    item->latest_start_at = QueueItems_LatestStart(queue, item);
    IdMap_Put(&queue->ids, work->id, index);
    insert_waiting(queue, item);
}
