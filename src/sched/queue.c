/** @file
 * The agent's queue: granting, load shedding and request states.
 */
#include "sched/queue.h"

#include <string.h>

#include <glib.h>

#include "sched/queue_memory.h"
#include "sched/queue_shares.h"
#include "sched/queue_times.h"

/* Minimum interval between checks of all waiting requests against their
 * deadlines. */
#define SHED_CHECK_PERIOD_US (50 * US_PER_MS)
/* When requests of a tier are predicted to wait longer than this, entries are
 * told to refuse all lower tiers. */
#define SHED_WAIT_US (30 * US_PER_S)
/* Weight of one sample in the fraction of wants that are dispatched here. */
#define DISPATCH_SAMPLE_WEIGHT 0.05
/* No further request is granted while the engine has at least this many
 * uncomputed prompts and prompt tokens. Both limits must be reached. */
#define PREFILL_PROMPTS 2
#define PREFILL_TOKENS 2048
/* A prompt counts as computed when this time has passed since its dispatch,
 * because an engine that does not stream sends its first piece only at the
 * end. */
#define PREFILL_TIMEOUT_US (2 * US_PER_S)
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000

static uint32_t
to_retry_after_ms(TimeUs wait)
{
    return (uint32_t)CLAMP(wait / US_PER_MS, RETRY_AFTER_MIN_MS,
                           RETRY_AFTER_MAX_MS);
}

static void
push_refusal(WantQueue *queue, const WorkSpec *work, uint64_t owner,
             RefuseReason reason, uint32_t retry_after_ms)
{
    QueueAction action = {
        .kind = QUEUE_REFUSE,
        .id = work->id,
        .owner = owner,
        .reason = reason,
        .retry_after_ms = retry_after_ms,
    };
    QueueShares_Describe(queue, work, &action);
    QueueItems_PushAction(queue, &action);
}

static uint32_t
cached_blocks(const WantQueue *queue, const WorkSpec *work)
{
    return Blocks_CountLeading(queue->blocks, work, QUEUE_CACHE_HOLDER);
}

static void
refuse_waiting(WantQueue *queue, Item *item, RefuseReason reason, TimeUs wait,
               TimeUs now)
{
    if (reason == REFUSE_DEADLINE || reason == REFUSE_SHED) {
        FairRanks_Record(&queue->fair_ranks, &item->work, false,
                         QueueTimes_RunTime(queue, item), now);
        QueueShares_OnRefused(queue, item);
    }
    push_refusal(queue, &item->work, item->owner, reason,
                 to_retry_after_ms(wait));
    QueueItems_Remove(queue, item);
}

static void
grant_item(WantQueue *queue, Item *item, TimeUs now)
{
    FairRanks_Record(&queue->fair_ranks, &item->work, true,
                     QueueTimes_RunTime(queue, item), now);
    QueueShares_OnGranted(queue, item);
    QueueItems_MakeBusy(queue, item);
    item->state = ITEM_GRANTED;
    item->grant_id = queue->next_grant_id++;
    item->grant_expires_at = now + queue->config.grant_ttl;
    item->started_at = now;
    QueueItems_PushAction(
        queue, &(QueueAction){
                   .kind = QUEUE_GRANT,
                   .id = item->work.id,
                   .owner = item->owner,
                   .grant_id = item->grant_id,
                   .ttl_ms = (uint32_t)(queue->config.grant_ttl / US_PER_MS),
               });
}

/* Returns true if a request that must run alone occupies the endpoint. */
static bool
runs_alone(const WantQueue *queue)
{
    return queue->busy_count == 1 && QueueItems_Busy(queue, 0)->work.alone;
}

/* Returns true if the engine has enough prompts to compute. Engines compute
 * prompts in order of arrival, so further ones would only wait there without
 * regard to priority. */
static bool
prefill_is_full(const WantQueue *queue, TimeUs now)
{
    uint32_t prompts = 0;
    uint32_t tokens = 0;
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        const Item *item = QueueItems_Busy(queue, i);
        uint32_t cached = item->cached_blocks * WORK_BLOCK_TOKENS;
        bool in_prefill = item->first_piece_at == 0 &&
                          now < item->started_at + PREFILL_TIMEOUT_US;
        if (in_prefill && item->work.prompt_tokens > cached) {
            prompts++;
            tokens += item->work.prompt_tokens - cached;
        }
    }
    return prompts >= PREFILL_PROMPTS && tokens >= PREFILL_TOKENS;
}

/* Returns true if one more request may be sent to the endpoint. */
static bool
has_room(const WantQueue *queue, const Item *item, TimeUs now)
{
    const QueueConfig *config = &queue->config;
    bool waited = now - item->arrived_at >= config->prefetch_min_wait;
    uint32_t limit = config->slots + (waited ? config->prefetch_requests : 0);
    return config->slots > 0 &&
           queue->busy_count < MIN(limit, QUEUE_SLOTS_MAX);
}

static void
grant_free_slots(WantQueue *queue, TimeUs now)
{
    /* Keeps the level up to date while no slot is free, for
     * Queue_NextTimer(). */
    NamedRate_MaySend(&queue->rate_limit, QUEUE_WHOLE_RATE, now);
    while (!queue->leaving && queue->waiting_count > 0 && !runs_alone(queue)) {
        Item *item = QueueItems_Waiting(queue, 0);
        if (!has_room(queue, item, now)) {
            return;
        }
        if (QueueTimes_IsNewlyLate(queue, item, now)) {
            QueueItems_Delay(queue, item);
            continue;
        }
        TimeUs finish = now + QueueTimes_RunTimeUpperBound(queue, item);
        if (!queue->config.no_deadline && finish > item->work.deadline) {
            refuse_waiting(queue, item, REFUSE_DEADLINE,
                           finish - item->work.deadline, now);
            continue;
        }
        if (!QueueMemory_Fits(queue, item) ||
            (item->work.alone && queue->busy_count > 0))
        {
            return;
        }
        if (prefill_is_full(queue, now) || !Rest_MaySend(&queue->rest, now) ||
            !NamedRate_MaySend(&queue->rate_limit, QUEUE_WHOLE_RATE, now))
        {
            return;
        }
        NamedRate_OnSent(&queue->rate_limit);
        Rest_OnSent(&queue->rest, now);
        grant_item(queue, item, now);
    }
}

/* Refuses the waiting requests whose planned finish is past their deadline.
 * Checks them in grant order, so that each is planned after the requests that
 * precede it. */
static void
refuse_late_requests(WantQueue *queue, TimeUs now)
{
    Plan plan;
    QueueTimes_PlanSlots(queue, &plan, now);
    QueueTimes_SampleClasses(queue, now);
    if (queue->config.refuse_early) {
        QueueOutlook_Sample(queue, now);
    }
    queue->last_planned_at = now;
    queue->lowest_tier = WORK_TIERS - 1;
    Bookings_Expire(&queue->bookings, now);
    TimeUs mean = QueueTimes_MeanRunTime(queue);
    uint32_t position = 0;
    while (position < queue->waiting_count) {
        Item *item = QueueItems_Waiting(queue, position);
        TimeUs start = MAX(Plan_NextFree(&plan),
                           QueueTimes_NextByRate(queue, position, now));
        if (!item->booked && start > now) {
            start += QueueTimes_BookedWait(queue, &item->work, start);
        }
        TimeUs run_time = QueueTimes_RunTime(queue, item);
        TimeUs lateness =
            QueueTimes_PredictLateness(queue, item, start - now, mean, now);
        if (lateness > 0) {
            refuse_waiting(queue, item, REFUSE_DEADLINE, lateness, now);
            continue;
        }
        Plan_Assign(&plan, (TimeUs)((double)run_time * queue->dispatch_ratio));
        TimeUs wait = Plan_NextFree(&plan) - now;
        if (wait > SHED_WAIT_US && item->work.tier < queue->lowest_tier) {
            queue->lowest_tier = item->work.tier;
        }
        position++;
    }
    TimeUs next =
        MAX(Plan_NextFree(&plan), QueueTimes_NextByRate(queue, position, now));
    queue->retry_after_ms = to_retry_after_ms(next - now);
}

static void
update_order(WantQueue *queue, TimeUs now)
{
    bool changed = false;
    if (queue->config.fair_ranks) {
        changed = FairRanks_Update(&queue->fair_ranks, now);
    }
    changed = QueueShares_Update(queue, now) || changed;
    if (changed) {
        QueueItems_Sort(queue);
    }
}

static void
plan_and_grant(WantQueue *queue, TimeUs now)
{
    bool due = now >= queue->last_planned_at + SHED_CHECK_PERIOD_US;
    if (due) {
        update_order(queue, now);
    }
    if (due && !queue->config.no_deadline && queue->config.slots > 0) {
        refuse_late_requests(queue, now);
    }
    grant_free_slots(queue, now);
}

/* Makes room for a new want. When the queue is full, refuses the last waiting
 * request if the new one precedes it.
 * @return false if the queue remains full. */
static bool
make_room(WantQueue *queue, const WorkSpec *work)
{
    if (queue->waiting_count < queue->config.max_wants) {
        return true;
    }
    if (queue->waiting_count == 0) {
        return false;
    }
    Item *last = QueueItems_Waiting(queue, queue->waiting_count - 1);
    Item incoming = {
        .work = *work,
        .sequence = queue->next_sequence,
        .beyond_share = FairAccounts_IsBeyond(&queue->fair_accounts, work),
        .latest_start_at = work->first_piece_deadline == 0
                               ? work->deadline
                               : work->first_piece_deadline,
    };
    if (!QueueItems_Precedes(queue, &incoming, last)) {
        QueueShares_OnRefused(queue, &incoming);
        return false;
    }
    QueueShares_OnRefused(queue, last);
    push_refusal(queue, &last->work, last->owner, REFUSE_SHED,
                 to_retry_after_ms(queue->retry_after_ms * US_PER_MS));
    QueueItems_Remove(queue, last);
    return true;
}

void
Queue_AddWant(WantQueue *queue, const WorkSpec *work, uint64_t owner,
              TimeUs now)
{
    if (QueueItems_IsEndedId(queue, work->id)) {
        push_refusal(queue, work, owner, REFUSE_DUPLICATE, RETRY_AFTER_MIN_MS);
        return;
    }
    if (QueueItems_Find(queue, work->id) != NULL) {
        return;
    }
    if (queue->leaving) {
        push_refusal(queue, work, owner, REFUSE_LEAVING, RETRY_AFTER_MIN_MS);
        return;
    }
    if (QueueMemory_Exceeds(queue, work)) {
        push_refusal(queue, work, owner, REFUSE_UNFIT, RETRY_AFTER_MAX_MS);
        return;
    }
    if (!make_room(queue, work)) {
        push_refusal(queue, work, owner, REFUSE_SHED,
                     to_retry_after_ms(queue->retry_after_ms * US_PER_MS));
        return;
    }
    QueueItems_Add(queue, work, owner, now);
    plan_and_grant(queue, now);
}

bool
Queue_Book(WantQueue *queue, const WorkSpec *work, TimeUs from, TimeUs now)
{
    TimeUs run = Speed_RunTime(&queue->speed, work, 0);
    bool beyond = FairAccounts_IsBeyond(&queue->fair_accounts, work);
    return QueueTimes_MayBook(queue, work, beyond) &&
           Bookings_Add(&queue->bookings, work, from, run, queue->config.slots,
                        now);
}

static void
add_dispatch_sample(WantQueue *queue, bool dispatched)
{
    queue->dispatch_ratio += ((dispatched ? 1 : 0) - queue->dispatch_ratio) *
                             DISPATCH_SAMPLE_WEIGHT;
}

void
Queue_Withdraw(WantQueue *queue, RequestId id, uint64_t owner, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item == NULL || item->owner != owner || item->state == ITEM_RUNNING) {
        return;
    }
    if (item->state == ITEM_GRANTED) {
        NamedRate_OnUnsent(&queue->rate_limit);
        QueueShares_OnEnded(queue, item, 0);
    }
    QueueItems_Remove(queue, item);
    add_dispatch_sample(queue, false);
    plan_and_grant(queue, now);
}

RefuseReason
Queue_OnDispatch(WantQueue *queue, RequestId id, uint64_t grant_id, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (QueueItems_IsEndedId(queue, id) ||
        (item != NULL && item->state == ITEM_RUNNING))
    {
        return REFUSE_DUPLICATE;
    }
    if (item == NULL) {
        QueueItems_AddEndedId(queue, id);
        return REFUSE_LAPSED;
    }
    bool valid = item->state == ITEM_GRANTED && item->grant_id == grant_id &&
                 now < item->grant_expires_at && !queue->leaving;
    if (!valid) {
        QueueItems_End(queue, item);
        plan_and_grant(queue, now);
        return queue->leaving ? REFUSE_LEAVING : REFUSE_LAPSED;
    }
    item->state = ITEM_RUNNING;
    item->started_at = now;
    item->cached_blocks = cached_blocks(queue, &item->work);
    item->predicted_run_time = QueueTimes_RunTime(queue, item);
    item->predicted_first_piece_time =
        Speed_FirstPieceTime(&queue->speed, &item->work, item->cached_blocks);
    queue->running++;
    add_dispatch_sample(queue, true);
    return REFUSE_NONE;
}

void
Queue_OnFirstPiece(WantQueue *queue, RequestId id, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item == NULL || item->state != ITEM_RUNNING ||
        item->first_piece_at != 0) {
        return;
    }
    item->first_piece_at = now;
    QueueTimes_MeasureFirstPiece(queue, item, now);
    const WorkSpec *work = &item->work;
    Queue_UpdateCache(queue, work->prefix, work->prefix_count, true);
    plan_and_grant(queue, now);
}

void
Queue_OnFinished(WantQueue *queue, RequestId id, const QueueResult *result,
                 TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item != NULL && item->state == ITEM_RUNNING) {
        QueueTimes_MeasureRun(queue, item, result, now);
        QueueShares_OnEnded(queue, item, now - item->started_at);
        QueueItems_End(queue, item);
        plan_and_grant(queue, now);
    }
}

void
Queue_OnOwnerDisconnected(WantQueue *queue, uint64_t owner, TimeUs now)
{
    for (uint32_t i = queue->waiting_count; i > 0; i--) {
        Item *item = QueueItems_Waiting(queue, i - 1);
        if (item->owner == owner) {
            QueueItems_Remove(queue, item);
        }
    }
    for (uint32_t i = queue->busy_count; i > 0; i--) {
        Item *item = QueueItems_Busy(queue, i - 1);
        if (item->owner == owner && item->state == ITEM_GRANTED) {
            NamedRate_OnUnsent(&queue->rate_limit);
            QueueShares_OnEnded(queue, item, 0);
            QueueItems_Remove(queue, item);
        }
    }
    plan_and_grant(queue, now);
}

void
Queue_RefuseTarget(WantQueue *queue, uint64_t target, TimeUs now)
{
    for (uint32_t i = queue->waiting_count; i > 0; i--) {
        Item *item = QueueItems_Waiting(queue, i - 1);
        if (item->work.target == target) {
            refuse_waiting(queue, item, REFUSE_LEAVING, 0, now);
        }
    }
    plan_and_grant(queue, now);
}

void
Queue_SetLeaving(WantQueue *queue, bool leaving, TimeUs now)
{
    queue->leaving = leaving;
    while (leaving && queue->waiting_count > 0) {
        Item *last = QueueItems_Waiting(queue, queue->waiting_count - 1);
        refuse_waiting(queue, last, REFUSE_LEAVING, 0, now);
    }
    plan_and_grant(queue, now);
}

void
Queue_SetSlots(WantQueue *queue, uint32_t slots, TimeUs now)
{
    queue->config.slots = MIN(slots, QUEUE_SLOTS_MAX);
    plan_and_grant(queue, now);
}

void
Queue_SetMemory(WantQueue *queue, uint64_t tokens, TimeUs now)
{
    queue->memory_tokens = tokens;
    for (uint32_t i = queue->waiting_count; i > 0; i--) {
        Item *item = QueueItems_Waiting(queue, i - 1);
        if (QueueMemory_Exceeds(queue, &item->work)) {
            refuse_waiting(queue, item, REFUSE_UNFIT, 0, now);
        }
    }
    plan_and_grant(queue, now);
}

bool
Queue_OnNamedRate(WantQueue *queue, double rate, TimeUs sent_at, TimeUs now)
{
    bool changed =
        NamedRate_OnAnswer(&queue->rate_limit, rate, sent_at, now, 0);
    if (changed) {
        plan_and_grant(queue, now);
    }
    return changed;
}

bool
Queue_OnRest(WantQueue *queue, uint32_t ms, TimeUs now)
{
    bool longer = Rest_OnRefused(&queue->rest, ms, now);
    if (longer) {
        plan_and_grant(queue, now);
    }
    return longer;
}

void
Queue_OnServed(WantQueue *queue, TimeUs now)
{
    Rest_OnServed(&queue->rest, now);
}

void
Queue_ResetRate(WantQueue *queue, TimeUs now)
{
    queue->rate_limit = (NamedRate){.rate = 0};
    queue->rest = (Rest){.until = 0};
    plan_and_grant(queue, now);
}

void
Queue_OnUnsent(WantQueue *queue, TimeUs now)
{
    NamedRate_OnUnsent(&queue->rate_limit);
    plan_and_grant(queue, now);
}

void
Queue_UpdateCache(WantQueue *queue, const uint64_t *blocks, uint32_t count,
                  bool cached)
{
    for (uint32_t i = 0; i < count; i++) {
        if (cached) {
            Blocks_Add(queue->blocks, blocks[i], QUEUE_CACHE_HOLDER);
        }
        else {
            Blocks_Remove(queue->blocks, blocks[i], QUEUE_CACHE_HOLDER);
        }
    }
}

void
Queue_ResetCache(WantQueue *queue)
{
    Blocks_Clear(queue->blocks);
}

void
Queue_Tick(WantQueue *queue, TimeUs now)
{
    for (uint32_t i = queue->busy_count; i > 0; i--) {
        Item *item = QueueItems_Busy(queue, i - 1);
        if (item->state == ITEM_GRANTED && now >= item->grant_expires_at) {
            NamedRate_OnUnsent(&queue->rate_limit);
            QueueShares_OnEnded(queue, item, 0);
            QueueItems_End(queue, item);
        }
    }
    while (queue->waiting_count > 0 && queue->config.slots == 0) {
        Item *last = QueueItems_Waiting(queue, queue->waiting_count - 1);
        refuse_waiting(queue, last, REFUSE_SHED,
                       RETRY_AFTER_MAX_MS * US_PER_MS, now);
    }
    plan_and_grant(queue, now);
}

TimeUs
Queue_NextTimer(const WantQueue *queue)
{
    TimeUs next = TIME_NEVER;
    if (queue->waiting_count > 0) {
        next = queue->last_planned_at + SHED_CHECK_PERIOD_US;
        if (queue->rate_limit.rate > 0 && queue->rate_limit.level < 1) {
            next = MIN(next,
                       NamedRate_NextAt(&queue->rate_limit, QUEUE_WHOLE_RATE,
                                        0, queue->rate_limit.filled_at));
        }
    }
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        const Item *item = QueueItems_Busy(queue, i);
        if (item->state == ITEM_GRANTED && item->grant_expires_at < next) {
            next = item->grant_expires_at;
        }
    }
    return next;
}

void
Queue_GetState(const WantQueue *queue, TimeUs now, QueueState *state)
{
    *state = (QueueState){
        .slots = queue->config.slots,
        .running = queue->running,
        .granted = queue->busy_count - queue->running,
        .queued = queue->waiting_count,
        .queued_prompt_tokens = queue->prompt_tokens,
        .queued_output_tokens = queue->output_tokens,
        .prefill_tokens_s = Speed_Rate(&queue->speed.prefill),
        .decode_tokens_s = Speed_Rate(&queue->speed.decode),
        .rate_limit = queue->rate_limit.rate,
        .margin = queue->margin,
        .lowest_tier = queue->lowest_tier,
        .retry_after_ms = MAX(queue->retry_after_ms, RETRY_AFTER_MIN_MS),
        .booked = queue->bookings.count,
        .leaving = queue->leaving,
    };
    memcpy(state->queued_by_tier, queue->waiting_by_tier,
           sizeof(state->queued_by_tier));
}
