/** @file
 * Storage of the agent's queue, private to it. Requests live in a pool of
 * items that a hash finds by id; the waiting ones also stand in an array in
 * grant order, the granted and running ones in an array of busy items.
 * Refused and ended requests leave only their id, in a ring of tombstones.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_ITEMS_H
#define LAURELLIFT_SCHED_QUEUE_ITEMS_H

#include "sched/blocks.h"
#include "sched/idmap.h"
#include "sched/queue.h"
#include "sched/speed.h"

/** Most slots of an endpoint; more are not used. */
#define QUEUE_SLOTS_MAX 1024
/** The endpoint, as holder of its blocks. */
#define QUEUE_CACHE_HOLDER 1

/** Tiers and ranks, in the order of granting; higher ones share the last. */
#define QUEUE_CLASS_RANKS 4
#define QUEUE_CLASSES (WORK_TIERS * QUEUE_CLASS_RANKS)

typedef enum ItemState {
    ITEM_WAITING,
    ITEM_GRANTED,
    ITEM_RUNNING,
} ItemState;

typedef struct Item {
    ItemState state;
    WorkSpec work;
    uint64_t owner;
    uint64_t sequence; /* order of arrival */
    TimeUs arrived_at; /* when it came */
    TimeUs start_by;   /* orders the items of one tier and rank */
    bool late; /* its first piece would come after first_piece_deadline */
    uint64_t grant_id;
    TimeUs grant_expires_at; /* GRANTED: expiry */
    TimeUs started_at;
    TimeUs first_piece;
    TimeUs predicted;             /* run time, when it started */
    TimeUs predicted_first_piece; /* time to the first piece, likewise */
    uint32_t cached_blocks;       /* known when it started */
} Item;

struct WantQueue {
    QueueConfig config;
    bool leaving;
    uint64_t next_grant;
    uint64_t next_sequence;
    IdMap ids;
    Item *items;
    uint32_t *unused; /* stack of free items */
    uint32_t unused_count;
    uint32_t *order; /* waiting items in grant order */
    uint32_t order_count;
    uint32_t *busy; /* granted and running items */
    uint32_t busy_count;
    uint32_t running;
    RequestId *ended_ids; /* ring */
    uint32_t ended_id_count;
    uint32_t ended_id_next;
    QueueAction *actions; /* ring that grows when it is full */
    uint32_t action_capacity;
    uint32_t action_head;
    uint32_t action_count;
    uint32_t waiting_by_tier[WORK_TIERS];
    uint32_t prompt_tokens; /* of waiting items */
    uint32_t output_tokens;
    Blocks *blocks;
    EngineSpeed speed;
    double margin; /* factor that predicted run times rarely exceed */
    double first_piece_margin; /* the same for times to the first piece */
    double dispatch_ratio;     /* share of wants that are dispatched here */
    TimeUs last_planned_at;
    TimeUs last_sampled_at;
    double
        class_slot_share[QUEUE_CLASSES]; /* moving share of slots, by class */
    uint32_t lowest_tier;
    uint32_t retry_after_ms;
};

/** Takes in a new waiting request; there must be room. */
void QueueItems_Add(WantQueue *queue, const WorkSpec *work, uint64_t owner,
                    TimeUs now);

/** The item of a request that waits, is granted or runs, or NULL. */
Item *QueueItems_Find(const WantQueue *queue, RequestId id);
bool QueueItems_IsEndedId(const WantQueue *queue, RequestId id);

/** The waiting item at a position of the grant order. */
Item *QueueItems_Waiting(const WantQueue *queue, uint32_t position);
/** The granted or running item at a position; positions change by drops. */
Item *QueueItems_Busy(const WantQueue *queue, uint32_t position);

/** Whether @p a is granted before @p b. */
bool QueueItems_GoesBefore(const WantQueue *queue, const Item *a,
                           const Item *b);

/** Puts a waiting item behind those of its tier and rank whose first piece
 * can still come in time. */
void QueueItems_Delay(WantQueue *queue, Item *item);

/** Moves a waiting item to the busy ones; the caller sets its state. */
void QueueItems_MakeBusy(WantQueue *queue, Item *item);

/** Takes the item out; its id is forgotten. */
void QueueItems_Remove(WantQueue *queue, Item *item);
/** Takes the item out and leaves a tombstone. */
void QueueItems_End(WantQueue *queue, Item *item);
void QueueItems_AddEndedId(WantQueue *queue, RequestId id);

void QueueItems_PushAction(WantQueue *queue, const QueueAction *action);

#endif
