/** @file
 * The queue's outlook: waits of new requests by the plan that refuses late
 * ones.
 */
#include <glib.h>

#include "sched/queue_times.h"

/* Decaying number of requests below which a class counts as unused: about the
 * last 9 s. Its wait is not reported, which keeps outlooks short. */
#define CLASS_REQUESTS_MIN 0.05

/* An outlook states the least values of the plans of the last one to two spans
 * of this length. The mean run time of a few slots and the waits that follow
 * from it vary with each grant: with the newest values alone, a twentieth to a
 * quarter of the engines that a gateway believes late would take a request. */
#define LEAST_SPAN_US (250 * US_PER_MS)

/* An outlook names an account that is beyond its share for this time at least.
 * Accounts that ask for little more than their share are beyond for moments
 * only: with these, a third of the refusals of a pool that is short by a few
 * hundredths were wrong. */
#define TOLD_BEYOND_US (500 * US_PER_MS)

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
planned_wait(const Walk *walk, const WorkSpec *work)
{
    TimeUs start =
        MAX(Plan_NextFree(&walk->plan),
            QueueTimes_NextByRate(walk->queue, walk->position, walk->now));
    start = MAX(start, walk->now);
    if (start <= walk->now) {
        return 0; /* no slot stays idle for a booking */
    }
    return start + QueueTimes_BookedWait(walk->queue, work, start) - walk->now;
}

static bool
is_used(const WantQueue *queue, const WorkSpec *work)
{
    const RankRecord *record =
        &queue->fair_ranks.records[work->tier][work->rank];
    return record->granted + record->refused >= CLASS_REQUESTS_MIN;
}

/* Returns whether a waiting request is of the class, and within or beyond the
 * share of its account. */
static bool
is_of_class(const Item *item, const WorkSpec *work, bool beyond)
{
    return item->beyond_share == beyond &&
           outlook_class(item->work.tier, item->work.rank) ==
               outlook_class(work->tier, work->rank);
}

/* Passes the waiting requests before a new one of the class, which is granted
 * before those of its class whose first piece is late. */
static void
pass_earlier(Walk *walk, const WorkSpec *work, bool beyond)
{
    const Item *item;
    while ((item = peek(walk)) != NULL && is_of_class(item, work, beyond) &&
           !item->first_piece_late)
    {
        advance(walk);
    }
}

static void
pass_class(Walk *walk, const WorkSpec *work, bool beyond)
{
    const Item *item;
    while ((item = peek(walk)) != NULL && is_of_class(item, work, beyond)) {
        advance(walk);
    }
}

static PlannedWait
wait_here(const Walk *walk, const WorkSpec *work, bool beyond)
{
    PlannedWait wait = {.planned = planned_wait(walk, work)};
    wait.expected = wait.planned;
    if (walk->queue->config.refuse_early) {
        TimeUs behind = QueueTimes_WaitBehindHigher(walk->queue, work, beyond,
                                                    wait.planned, walk->mean);
        wait.expected = MAX(behind, wait.planned);
    }
    return wait;
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

static void
lower(PlannedWait *wait, const PlannedWait *other)
{
    wait->planned = MIN(wait->planned, other->planned);
    wait->expected = MIN(wait->expected, other->expected);
}

/* Returns the wait of a rank that goes ahead of its tier, within or beyond the
 * shares of accounts. */
static PlannedWait
wait_ahead(const Walk *walk, uint32_t tier, bool beyond)
{
    /* Rank 0 has no higher rank, so that the wait is that behind the higher
     * tiers, and behind the requests within their share if beyond. */
    WorkSpec work = {.tier = tier};
    return wait_here(walk, &work, beyond);
}

/* Passes the requests that claimed a booking, which go first in their tier. */
static void
pass_booked(Walk *walk, uint32_t tier)
{
    const Item *item;
    while ((item = peek(walk)) != NULL && item->work.tier == tier &&
           item->booked) {
        advance(walk);
    }
}

/* Predicts the waits of the classes of a tier, within or beyond the shares of
 * accounts. */
static void
plan_tier(Walk *walk, uint32_t tier, bool beyond, EngineOutlook *outlook)
{
    const WantQueue *queue = walk->queue;
    uint32_t ranks[OUTLOOK_RANKS];
    order_ranks(queue, tier, ranks);
    PlannedWait first = wait_ahead(walk, tier, beyond);
    for (uint32_t i = 0; i < OUTLOOK_RANKS; i++) {
        WorkSpec work = {.tier = tier, .rank = ranks[i]};
        unsigned class_index =
            outlook_class(tier, ranks[i]) + (beyond ? OUTLOOK_CLASSES : 0);
        ClassWait *wait = &outlook->waits[class_index];
        wait->class_index = class_index;
        pass_earlier(walk, &work, beyond);
        wait->on_time = wait_here(walk, &work, beyond);
        pass_class(walk, &work, beyond);
        wait->late = wait_here(walk, &work, beyond);
        wait->bookable = QueueTimes_MayBook(queue, &work, beyond);
        if (queue->config.fair_ranks &&
            FairRanks_MayGoAhead(&queue->fair_ranks, &work))
        {
            lower(&wait->on_time, &first);
            lower(&wait->late, &first);
        }
    }
}

/* Sets the waits beyond the shares of accounts where the queue knows no
 * accounts. */
static void
copy_tier(uint32_t tier, EngineOutlook *outlook)
{
    for (uint32_t i = 0; i < OUTLOOK_RANKS; i++) {
        unsigned within = outlook_class(tier, i);
        unsigned beyond = within + OUTLOOK_CLASSES;
        outlook->waits[beyond] = outlook->waits[within];
        outlook->waits[beyond].class_index = beyond;
    }
}

/* Predicts the waits of all classes by the plan of this moment; the position
 * of a class in the result is its index. */
static void
plan_classes(const WantQueue *queue, TimeUs now, EngineOutlook *outlook)
{
    Walk walk = start_walk(queue, now);
    outlook->mean_run = walk.mean;
    outlook->count = OUTLOOK_WAITS;
    for (uint32_t t = 0; t < WORK_TIERS; t++) {
        pass_booked(&walk, t);
        plan_tier(&walk, t, false, outlook);
        if (queue->fair_accounts.count > 0) {
            plan_tier(&walk, t, true, outlook);
        }
        else {
            copy_tier(t, outlook);
        }
    }
}

/* Lowers the values of an outlook of all classes to those of another. */
static void
lower_outlook(EngineOutlook *outlook, const EngineOutlook *other)
{
    if (other->count == 0) {
        return;
    }
    outlook->mean_run = MIN(outlook->mean_run, other->mean_run);
    for (unsigned c = 0; c < OUTLOOK_WAITS; c++) {
        lower(&outlook->waits[c].on_time, &other->waits[c].on_time);
        lower(&outlook->waits[c].late, &other->waits[c].late);
    }
}

void
QueueOutlook_Sample(WantQueue *queue, TimeUs now)
{
    if (now - queue->least_since >= LEAST_SPAN_US) {
        bool adjacent = now - queue->least_since < 2 * LEAST_SPAN_US;
        queue->least[1] = queue->least[0];
        queue->least[1].count = adjacent ? queue->least[0].count : 0;
        queue->least[0].count = 0;
        queue->least_since = now;
    }
    EngineOutlook current;
    plan_classes(queue, now, &current);
    lower_outlook(&current, &queue->least[0]);
    queue->least[0] = current;
}

/* Names the accounts beyond their share in the outlook.
 * @return a bit for each class in which one is. */
static uint32_t
list_accounts(const WantQueue *queue, EngineOutlook *outlook)
{
    const FairAccounts *accounts = &queue->fair_accounts;
    uint32_t classes = 0;
    for (unsigned i = 0;
         i < accounts->count && outlook->account_count < OUTLOOK_ACCOUNTS_MAX;
         i++)
    {
        const AccountRecord *record = &accounts->records[i];
        uint32_t ranks = 0;
        for (unsigned r = 0; r < OUTLOOK_RANKS; r++) {
            TimeUs span = accounts->at - record->beyond_since[r];
            bool told = record->beyond[r] && span >= TOLD_BEYOND_US;
            ranks |= told ? 1U << r : 0;
        }
        if (ranks != 0) {
            classes |= ranks << outlook_class(record->tier, 0);
            outlook->accounts[outlook->account_count++] =
                (record->account & ~(uint64_t)OUTLOOK_ACCOUNT_MASK) |
                record->tier << OUTLOOK_RANKS | ranks;
        }
    }
    return classes;
}

void
Queue_GetOutlook(const WantQueue *queue, TimeUs now, EngineOutlook *outlook)
{
    EngineOutlook all;
    plan_classes(queue, now, &all);
    if (now - queue->least_since < 2 * LEAST_SPAN_US) {
        lower_outlook(&all, &queue->least[0]);
        lower_outlook(&all, &queue->least[1]);
    }
    *outlook = (EngineOutlook){
        .mean_run = all.mean_run,
        .margin = queue->margin,
        .first_margin = queue->first_piece_margin,
    };
    Speed_GetLine(&queue->speed, &outlook->first_base_us,
                  &outlook->first_us_per_token);
    double decode = Speed_Rate(&queue->speed.decode);
    outlook->decode_us_per_token = decode > 0 ? US_PER_S / decode : 0;
    uint32_t beyond = list_accounts(queue, outlook);
    for (unsigned c = 0; c < OUTLOOK_WAITS; c++) {
        unsigned base = c % OUTLOOK_CLASSES;
        WorkSpec work = {
            .tier = base / OUTLOOK_RANKS,
            .rank = base % OUTLOOK_RANKS,
        };
        bool told = c < OUTLOOK_CLASSES || (beyond >> base & 1) != 0;
        if (queue->config.slots > 0 && told && is_used(queue, &work) &&
            all.waits[c].late.expected >= US_PER_MS)
        {
            outlook->waits[outlook->count++] = all.waits[c];
        }
    }
}

/* Passes the waiting requests that precede the item. */
static void
pass_preceding(Walk *walk, const Item *item)
{
    const Item *next;
    while ((next = peek(walk)) != NULL &&
           QueueItems_Precedes(walk->queue, next, item))
    {
        advance(walk);
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
        .beyond_share = FairAccounts_IsBeyond(&queue->fair_accounts, work),
        .cached_blocks =
            Blocks_CountLeading(queue->blocks, work, QUEUE_CACHE_HOLDER),
    };
    item.latest_start_at = QueueItems_LatestStart(queue, &item);
    Walk walk = start_walk(queue, now);
    pass_preceding(&walk, &item);
    if (QueueTimes_IsNewlyLate(queue, &item, now + planned_wait(&walk, work)))
    {
        item.first_piece_late = true;
        item.latest_start_at = QueueItems_LatestStart(queue, &item);
        pass_preceding(&walk, &item);
    }
    return QueueTimes_PredictLateness(queue, &item, planned_wait(&walk, work),
                                      walk.mean, now);
}
