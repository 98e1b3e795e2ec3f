/** @file
 * The queue's outlook: waits of new requests by the plan that refuses late
 * ones.
 */
#include <glib.h>

#include "sched/queue_times.h"

/* Decaying number of requests below which a class counts as unused: about the
 * last 9 s. Its wait is not reported, which keeps outlooks short. */
#define CLASS_REQUESTS_MIN 0.05

G_STATIC_ASSERT(OUTLOOK_RANKS == QUEUE_CLASS_RANKS);
G_STATIC_ASSERT(OUTLOOK_RANKS == FAIR_RANKS);

/* Slots and waiting requests, taken in grant order. */
typedef struct Walk {
    const WantQueue *queue;
    Plan plan;
    uint32_t position;
    TimeUs mean;
    TimeUs now;
} Walk;

static Walk
start_walk(const WantQueue *queue, TimeUs now)
{
    Walk walk = {
        .queue = queue,
        .mean = QueueTimes_MeanRunTime(queue),
        .now = now,
    };
    QueueTimes_PlanSlots(queue, &walk.plan, now);
    return walk;
}

static const Item *
peek(const Walk *walk)
{
    return walk->position < walk->queue->waiting_count
               ? QueueItems_Waiting(walk->queue, walk->position)
               : NULL;
}

static void
advance(Walk *walk)
{
    const Item *item = peek(walk);
    Plan_Assign(&walk->plan,
                (TimeUs)((double)QueueTimes_RunTime(walk->queue, item) *
                         walk->queue->dispatch_ratio));
    walk->position++;
}

/* Returns the planned wait of a request at the walk's position. */
static TimeUs
planned_wait(const Walk *walk)
{
    TimeUs start =
        MAX(Plan_NextFree(&walk->plan),
            QueueTimes_NextByRate(walk->queue, walk->position, walk->now));
    return MAX(start - walk->now, 0);
}

static bool
is_used(const WantQueue *queue, const WorkSpec *work)
{
    const RankRecord *record =
        &queue->fair_ranks.records[work->tier][work->rank];
    return record->granted + record->refused >= CLASS_REQUESTS_MIN;
}

/* Passes the waiting requests before a new one of the class, which is granted
 * before those of its class whose first piece is late. */
static void
pass_earlier(Walk *walk, const WorkSpec *work)
{
    const Item *item;
    while ((item = peek(walk)) != NULL &&
           outlook_class(item->work.tier, item->work.rank) ==
               outlook_class(work->tier, work->rank) &&
           !item->first_piece_late)
    {
        advance(walk);
    }
}

static void
pass_class(Walk *walk, const WorkSpec *work)
{
    const Item *item;
    while ((item = peek(walk)) != NULL &&
           outlook_class(item->work.tier, item->work.rank) ==
               outlook_class(work->tier, work->rank))
    {
        advance(walk);
    }
}

static void
add_wait(EngineOutlook *outlook, const Walk *walk, const WorkSpec *work)
{
    TimeUs planned = planned_wait(walk);
    TimeUs expected = planned;
    if (walk->queue->config.refuse_early) {
        expected = QueueTimes_WaitBehindHigher(walk->queue, work, planned,
                                               walk->mean);
    }
    if (expected >= US_PER_MS && is_used(walk->queue, work)) {
        outlook->waits[outlook->count++] = (ClassWait){
            .class_index = outlook_class(work->tier, work->rank),
            .planned = planned,
            .expected = MAX(expected, planned),
        };
    }
}

/* Fills @p ranks with the ranks of a tier in grant order. */
static void
order_ranks(const WantQueue *queue, uint32_t tier, uint32_t *ranks)
{
    for (uint32_t r = 0; r < OUTLOOK_RANKS; r++) {
        WorkSpec work = {.tier = tier, .rank = r};
        int order = FairRanks_Order(&queue->fair_ranks, &work);
        uint32_t at = r;
        while (at > 0) {
            WorkSpec other = {.tier = tier, .rank = ranks[at - 1]};
            if (FairRanks_Order(&queue->fair_ranks, &other) <= order) {
                break;
            }
            ranks[at] = ranks[at - 1];
            at--;
        }
        ranks[at] = r;
    }
}

void
Queue_GetOutlook(const WantQueue *queue, TimeUs now, EngineOutlook *outlook)
{
    Walk walk = start_walk(queue, now);
    *outlook = (EngineOutlook){
        .mean_run = walk.mean,
        .margin = queue->margin,
        .first_margin = queue->first_piece_margin,
    };
    Speed_GetLine(&queue->speed, &outlook->first_base_us,
                  &outlook->first_us_per_token);
    double decode = Speed_Rate(&queue->speed.decode);
    outlook->decode_us_per_token = decode > 0 ? US_PER_S / decode : 0;
    if (queue->config.slots == 0) {
        return;
    }
    for (uint32_t t = 0; t < WORK_TIERS; t++) {
        uint32_t ranks[OUTLOOK_RANKS];
        order_ranks(queue, t, ranks);
        for (uint32_t i = 0; i < OUTLOOK_RANKS; i++) {
            WorkSpec work = {.tier = t, .rank = ranks[i]};
            pass_earlier(&walk, &work);
            add_wait(outlook, &walk, &work);
            pass_class(&walk, &work);
        }
    }
}

TimeUs
Queue_PredictLateness(const WantQueue *queue, const WorkSpec *work, TimeUs now)
{
    if (queue->leaving || queue->config.slots == 0) {
        return TIME_NEVER;
    }
    Item item = {
        .work = *work,
        .arrived_at = now,
        .sequence = queue->next_sequence,
        .cached_blocks =
            Blocks_CountLeading(queue->blocks, work, QUEUE_CACHE_HOLDER),
    };
    item.latest_start_at = QueueItems_LatestStart(queue, &item);
    Walk walk = start_walk(queue, now);
    const Item *next;
    while ((next = peek(&walk)) != NULL &&
           QueueItems_Precedes(queue, next, &item)) {
        advance(&walk);
    }
    return QueueTimes_PredictLateness(queue, &item, planned_wait(&walk),
                                      walk.mean, now);
}
