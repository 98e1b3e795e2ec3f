/** @file
 * Private storage of the agent's queue. Requests are stored in a pool of items
 * and found by id through a hash map. An array holds the waiting items in
 * grant order, another one holds the granted and running items. Of refused and
 * ended requests only the ids are stored, in a ring buffer.
 */
#ifndef LAURELLIFT_SCHED_QUEUE_ITEMS_H
#define LAURELLIFT_SCHED_QUEUE_ITEMS_H

#include "sched/blocks.h"
#include "sched/bookings.h"
#include "sched/fair_ranks.h"
#include "sched/idmap.h"
#include "sched/named_rate.h"
#include "sched/queue.h"
#include "sched/rest.h"
#include "sched/speed.h"

/** Maximum number of slots of an endpoint; further slots are not used. */
#define QUEUE_SLOTS_MAX 1024
/** Holder id of the endpoint in the table of prefix blocks. */
#define QUEUE_CACHE_HOLDER 1

/** The queue sends all requests that the endpoint gets. */
#define QUEUE_WHOLE_RATE 1.0

/** Number of classes per tier, one for each rank, in grant order. The last
 * class also includes all lower ranks. */
#define QUEUE_CLASS_RANKS 4
#define QUEUE_CLASSES (WORK_TIERS * QUEUE_CLASS_RANKS)
/** Each class is counted twice: requests within the share of their account,
 * and those beyond. */
#define QUEUE_PARTS 2

typedef enum ItemState {
    ITEM_WAITING,
    ITEM_GRANTED,
    ITEM_RUNNING,
} ItemState;

typedef struct Item {
    ItemState state;
    WorkSpec work;
    uint64_t owner;
    uint64_t sequence; /* position in arrival order */
    bool beyond_share; /* of its account, by the last update or at grant */
    double charged_us; /* slot time that its account was charged at grant */
    TimeUs arrived_at;
    TimeUs latest_start_at; /* sort key within one tier and rank */
    bool first_piece_late;  /* first piece is expected after
                               first_piece_deadline */
    bool booked;            /* claimed a booking: goes first in its tier */
    uint64_t grant_id;
    TimeUs grant_expires_at; /* valid in ITEM_GRANTED */
    TimeUs started_at;
    TimeUs first_piece_at;
    TimeUs predicted_run_time;         /* run time, predicted at dispatch */
    TimeUs predicted_first_piece_time; /* predicted at dispatch */
    uint32_t cached_blocks; /* counted at arrival and again at dispatch */
} Item;

struct WantQueue {
    QueueConfig config;
    bool leaving;
    uint64_t next_grant_id;
    uint64_t next_sequence;
    IdMap ids;
    Item *items;
    uint32_t *unused; /* stack of free item indexes */
    uint32_t unused_count;
    uint32_t *waiting; /* waiting items in grant order */
    uint32_t waiting_count;
    uint32_t *busy; /* granted and running items */
    uint32_t busy_count;
    uint32_t running;
    RequestId *ended_ids; /* ring buffer */
    uint32_t ended_id_count;
    uint32_t ended_id_next;
    QueueAction *actions; /* ring buffer that doubles when it is full */
    uint32_t action_capacity;
    uint32_t action_head;
    uint32_t action_count;
    uint32_t waiting_by_tier[WORK_TIERS];
    uint32_t prompt_tokens; /* sum over the waiting items */
    uint32_t output_tokens;
    Blocks *blocks;
    EngineSpeed speed;
    /* Quantile of the ratio of measured to predicted run time. */
    double margin;
    double first_piece_margin; /* the same for the time to the first piece */
    double dispatch_ratio;     /* fraction of wants that are dispatched here */
    TimeUs last_planned_at;
    TimeUs last_sampled_at;
    /* fraction of the slots used by each class, moving average */
    double class_slot_share[QUEUE_PARTS][QUEUE_CLASSES];
    FairRanks fair_ranks;       /* unused unless config.fair_ranks */
    FairAccounts fair_accounts; /* unused unless config.fair_accounts */
    NamedRate rate_limit;       /* of the endpoint */
    Rest rest;                  /* that the endpoint asked for */
    Bookings bookings;
    uint64_t memory_tokens; /* of the engine; 0 if unknown */
    uint32_t lowest_tier;   /* entries should send no wants of lower tiers */
    uint32_t retry_after_ms;
    /* Least values of recent plans: of the current and the previous span. */
    EngineOutlook least[2];
    TimeUs least_since; /* start of the current span */
};

/** Adds a waiting request. The pool must have a free item. */
void QueueItems_Add(WantQueue *queue, const WorkSpec *work, uint64_t owner,
                    TimeUs now);

/** Returns the item of a waiting, granted or running request, or NULL. */
Item *QueueItems_Find(const WantQueue *queue, RequestId id);
bool QueueItems_IsEndedId(const WantQueue *queue, RequestId id);

/** Returns the waiting item at a position of the grant order. */
Item *QueueItems_Waiting(const WantQueue *queue, uint32_t position);
/** Returns a granted or running item. Removals change the positions. */
Item *QueueItems_Busy(const WantQueue *queue, uint32_t position);

/** Returns true if @p a is granted before @p b. */
bool QueueItems_Precedes(const WantQueue *queue, const Item *a, const Item *b);

/** Returns the latest start time, the sort key within a tier and rank. A long
 * request must start well before its deadline, so it does not wait behind a
 * short one whose deadline is earlier. */
TimeUs QueueItems_LatestStart(const WantQueue *queue, const Item *item);

/** Orders the waiting items anew, after FairRanks_Update() or
 * FairAccounts_EndUpdate(). */
void QueueItems_Sort(WantQueue *queue);

/** Marks a waiting item as late and moves it behind the items of its tier and
 * rank whose first piece can still arrive in time. */
void QueueItems_Delay(WantQueue *queue, Item *item);

/** Moves a waiting item to the busy items. The caller sets its state. */
void QueueItems_MakeBusy(WantQueue *queue, Item *item);

/** Removes the item without storing its id. */
void QueueItems_Remove(WantQueue *queue, Item *item);
/** Removes the item and stores its id as ended. */
void QueueItems_End(WantQueue *queue, Item *item);
void QueueItems_AddEndedId(WantQueue *queue, RequestId id);

void QueueItems_PushAction(WantQueue *queue, const QueueAction *action);

#endif
