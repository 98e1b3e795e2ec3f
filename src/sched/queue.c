/** @file
 * The agent's queue: one table of requests in any state, searched in full;
 * its size is bounded by the configuration.
 */
#include "sched/queue.h"

#include <string.h>

#include <glib.h>

typedef enum ItemState {
    ITEM_FREE,
    ITEM_WAITING,
    ITEM_GRANTED,
    ITEM_RUNNING,
    ITEM_TOMBSTONE, /* refused or ended; never runs again */
} ItemState;

typedef struct Item {
    ItemState state;
    Work work;
    uint64_t owner;
    uint64_t grant_id;
    TimeUs until; /* GRANTED: expiry */
    TimeUs started;
} Item;

struct WantQueue {
    QueueConfig config;
    uint64_t next_grant;
    bool leaving;
    GQueue actions;    /* of QueueAction */
    GQueue tombstones; /* of RequestId, oldest first */
    uint32_t count;
    Item *items;
    uint32_t capacity;
};

WantQueue *
Queue_New(const QueueConfig *config)
{
    WantQueue *queue = g_new0(WantQueue, 1);
    queue->config = *config;
    queue->next_grant = config->seed | 1;
    queue->capacity =
        config->max_wants + config->max_tombstones + config->slots * 2 + 16;
    queue->items = g_new0(Item, queue->capacity);
    g_queue_init(&queue->actions);
    g_queue_init(&queue->tombstones);
    return queue;
}

void
Queue_Free(WantQueue *queue)
{
    g_queue_clear_full(&queue->actions, g_free);
    g_queue_clear_full(&queue->tombstones, g_free);
    g_free(queue->items);
    g_free(queue);
}

static Item *
find(WantQueue *queue, RequestId id)
{
    for (uint32_t i = 0; i < queue->capacity; i++) {
        Item *item = &queue->items[i];
        if (item->state != ITEM_FREE && work_same_id(item->work.id, id)) {
            return item;
        }
    }
    return NULL;
}

static Item *
find_free(WantQueue *queue)
{
    for (uint32_t i = 0; i < queue->capacity; i++) {
        if (queue->items[i].state == ITEM_FREE) {
            return &queue->items[i];
        }
    }
    return NULL;
}

static uint32_t
count_state(const WantQueue *queue, ItemState state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < queue->capacity; i++) {
        count += queue->items[i].state == state;
    }
    return count;
}

static void
push_action(WantQueue *queue, const QueueAction *action)
{
    g_queue_push_tail(&queue->actions, g_memdup2(action, sizeof(*action)));
}

static void
refuse(WantQueue *queue, RequestId id, uint64_t owner, RefuseReason reason)
{
    push_action(queue, &(QueueAction){
                           .kind = QUEUE_REFUSE,
                           .id = id,
                           .owner = owner,
                           .reason = reason,
                           .retry_after_ms = 1000,
                       });
}

static void
bury(WantQueue *queue, Item *item)
{
    item->state = ITEM_TOMBSTONE;
    g_queue_push_tail(&queue->tombstones,
                      g_memdup2(&item->work.id, sizeof(RequestId)));
    if (g_queue_get_length(&queue->tombstones) > queue->config.max_tombstones)
    {
        RequestId *oldest = g_queue_pop_head(&queue->tombstones);
        Item *old = find(queue, *oldest);
        if (old != NULL && old->state == ITEM_TOMBSTONE) {
            old->state = ITEM_FREE;
        }
        g_free(oldest);
    }
}

static bool
goes_before(const Work *a, const Work *b)
{
    if (a->tier != b->tier) {
        return a->tier < b->tier;
    }
    return a->deadline < b->deadline;
}

static Item *
find_extreme(WantQueue *queue, bool first)
{
    Item *found = NULL;
    for (uint32_t i = 0; i < queue->capacity; i++) {
        Item *item = &queue->items[i];
        if (item->state != ITEM_WAITING) {
            continue;
        }
        if (found == NULL || goes_before(&item->work, &found->work) == first) {
            found = item;
        }
    }
    return found;
}

static void
grant(WantQueue *queue, Item *item, TimeUs now)
{
    item->state = ITEM_GRANTED;
    item->grant_id = queue->next_grant++;
    item->until = now + queue->config.grant_ttl;
    push_action(queue,
                &(QueueAction){
                    .kind = QUEUE_GRANT,
                    .id = item->work.id,
                    .owner = item->owner,
                    .grant_id = item->grant_id,
                    .ttl_ms = (uint32_t)(queue->config.grant_ttl / US_PER_MS),
                });
}

static void
grant_free_slots(WantQueue *queue, TimeUs now)
{
    uint32_t taken =
        count_state(queue, ITEM_GRANTED) + count_state(queue, ITEM_RUNNING);
    while (!queue->leaving && taken < queue->config.slots) {
        Item *item = find_extreme(queue, true);
        if (item == NULL) {
            return;
        }
        grant(queue, item, now);
        taken++;
    }
}

void
Queue_Want(WantQueue *queue, const Work *work, uint64_t owner, TimeUs now)
{
    if (queue->leaving) {
        refuse(queue, work->id, owner, REFUSE_LEAVING);
        return;
    }
    Item *known = find(queue, work->id);
    if (known != NULL) {
        if (known->state == ITEM_TOMBSTONE) {
            refuse(queue, work->id, owner, REFUSE_DUPLICATE);
        }
        return;
    }
    if (count_state(queue, ITEM_WAITING) >= queue->config.max_wants) {
        Item *last = find_extreme(queue, false);
        if (last == NULL || !goes_before(work, &last->work)) {
            refuse(queue, work->id, owner, REFUSE_SHED);
            return;
        }
        refuse(queue, last->work.id, last->owner, REFUSE_SHED);
        last->state = ITEM_FREE;
    }
    Item *item = find_free(queue);
    if (item == NULL) {
        refuse(queue, work->id, owner, REFUSE_SHED);
        return;
    }
    *item = (Item){.state = ITEM_WAITING, .work = *work, .owner = owner};
    grant_free_slots(queue, now);
}

void
Queue_Withdraw(WantQueue *queue, RequestId id, uint64_t owner, TimeUs now)
{
    Item *item = find(queue, id);
    if (item == NULL || item->owner != owner) {
        return;
    }
    if (item->state == ITEM_WAITING || item->state == ITEM_GRANTED) {
        item->state = ITEM_FREE;
        grant_free_slots(queue, now);
    }
}

RefuseReason
Queue_Dispatch(WantQueue *queue, RequestId id, uint64_t grant_id, TimeUs now)
{
    Item *item = find(queue, id);
    if (item == NULL) {
        item = find_free(queue);
        if (item != NULL) {
            *item = (Item){.work = {.id = id}};
            bury(queue, item);
        }
        return REFUSE_LAPSED;
    }
    if (item->state == ITEM_RUNNING || item->state == ITEM_TOMBSTONE) {
        return REFUSE_DUPLICATE;
    }
    bool valid = item->state == ITEM_GRANTED && item->grant_id == grant_id &&
                 now < item->until && !queue->leaving;
    if (!valid) {
        bury(queue, item);
        grant_free_slots(queue, now);
        return queue->leaving ? REFUSE_LEAVING : REFUSE_LAPSED;
    }
    item->state = ITEM_RUNNING;
    item->started = now;
    return REFUSE_NONE;
}

void
Queue_FirstPiece(WantQueue *queue, RequestId id, TimeUs now)
{
}

void
Queue_Finished(WantQueue *queue, RequestId id, const QueueResult *result,
               TimeUs now)
{
    Item *item = find(queue, id);
    if (item != NULL && item->state == ITEM_RUNNING) {
        bury(queue, item);
        grant_free_slots(queue, now);
    }
}

void
Queue_OwnerGone(WantQueue *queue, uint64_t owner, TimeUs now)
{
    for (uint32_t i = 0; i < queue->capacity; i++) {
        Item *item = &queue->items[i];
        if (item->owner == owner &&
            (item->state == ITEM_WAITING || item->state == ITEM_GRANTED))
        {
            item->state = ITEM_FREE;
        }
    }
    grant_free_slots(queue, now);
}

void
Queue_SetLeaving(WantQueue *queue, bool leaving, TimeUs now)
{
    queue->leaving = leaving;
    for (uint32_t i = 0; leaving && i < queue->capacity; i++) {
        Item *item = &queue->items[i];
        if (item->state == ITEM_WAITING) {
            refuse(queue, item->work.id, item->owner, REFUSE_LEAVING);
            item->state = ITEM_FREE;
        }
    }
    grant_free_slots(queue, now);
}

void
Queue_SetSlots(WantQueue *queue, uint32_t slots, TimeUs now)
{
    queue->config.slots = slots;
    grant_free_slots(queue, now);
}

void
Queue_Cached(WantQueue *queue, const uint64_t *blocks, uint32_t count,
             bool cached)
{
}

void
Queue_CacheReset(WantQueue *queue)
{
}

void
Queue_Tick(WantQueue *queue, TimeUs now)
{
    for (uint32_t i = 0; i < queue->capacity; i++) {
        Item *item = &queue->items[i];
        if (item->state == ITEM_GRANTED && now >= item->until) {
            bury(queue, item);
        }
        if (item->state == ITEM_WAITING && now >= item->work.deadline) {
            refuse(queue, item->work.id, item->owner, REFUSE_DEADLINE);
            item->state = ITEM_FREE;
        }
    }
    grant_free_slots(queue, now);
}

TimeUs
Queue_NextTimer(const WantQueue *queue)
{
    TimeUs next = TIME_NEVER;
    for (uint32_t i = 0; i < queue->capacity; i++) {
        const Item *item = &queue->items[i];
        if (item->state == ITEM_GRANTED && item->until < next) {
            next = item->until;
        }
        if (item->state == ITEM_WAITING && item->work.deadline < next) {
            next = item->work.deadline;
        }
    }
    return next;
}

size_t
Queue_TakeActions(WantQueue *queue, QueueAction *actions, size_t capacity)
{
    size_t taken = 0;
    while (taken < capacity) {
        QueueAction *action = g_queue_pop_head(&queue->actions);
        if (action == NULL) {
            break;
        }
        actions[taken++] = *action;
        g_free(action);
    }
    return taken;
}

void
Queue_State(const WantQueue *queue, TimeUs now, QueueState *state)
{
    *state = (QueueState){
        .slots = queue->config.slots,
        .running = count_state(queue, ITEM_RUNNING),
        .granted = count_state(queue, ITEM_GRANTED),
        .queued = count_state(queue, ITEM_WAITING),
        .prefill_tokens_s = queue->config.prefill_tokens_s,
        .decode_tokens_s = queue->config.decode_tokens_s,
        .lowest_tier = WORK_TIERS - 1,
        .retry_after_ms = 1000,
        .leaving = queue->leaving,
    };
}
