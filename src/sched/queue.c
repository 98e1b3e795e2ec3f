/** @file
 * The agent's queue: grants, shedding and the life of a request.
 */
#include "sched/queue.h"

#include <string.h>

#include <glib.h>

#include "sched/plan.h"
#include "sched/queue_items.h"

/* How often waiting requests are checked against their deadlines. */
#define PLAN_PERIOD (50 * US_PER_MS)
/* Time constant of the share of slots that a class takes. */
#define CLASS_SPAN (2 * US_PER_S)
/* Share beyond which better work counts as taking all but a twentieth. */
#define BETTER_MAX 0.95
/* A tier whose requests would wait this long is refused by entries. */
#define SHED_WAIT (30 * US_PER_S)
/* Weight of one sample in the share of wants that are dispatched here. */
#define KEPT_WEIGHT 0.05
/* Prompts that the engine has ahead before it gets more: both are reached. */
#define STARTING_PROMPTS 2
#define STARTING_TOKENS 2048
/* An engine that does not stream sends its first piece at the end; its
 * prompt counts as computed after this. */
#define STARTING_MAX (2 * US_PER_S)
/* The margin on predicted run times follows this quantile of their error,
 * unless the settings name another. */
#define MARGIN_QUANTILE 0.98
#define MARGIN_STEP 0.1
/* The margin on predicted first pieces. Engines compute prompts in turn, so
 * their times spread: at the mean, half of those at the edge would be late. */
#define FIRST_QUANTILE 0.9
#define MARGIN_MAX 3
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 60000

static uint32_t
clamp_retry(TimeUs wait)
{
    return (uint32_t)CLAMP(wait / US_PER_MS, RETRY_MIN_MS, RETRY_MAX_MS);
}

static void
refuse(WantQueue *queue, RequestId id, uint64_t owner, RefuseReason reason,
       uint32_t retry_after_ms)
{
    QueueItems_PushAction(queue, &(QueueAction){
                                     .kind = QUEUE_REFUSE,
                                     .id = id,
                                     .owner = owner,
                                     .reason = reason,
                                     .retry_after_ms = retry_after_ms,
                                 });
}

static uint32_t
cached_blocks(const WantQueue *queue, const Work *work)
{
    return Blocks_Leading(queue->blocks, work, QUEUE_CACHE_HOLDER);
}

static TimeUs
run_time(const WantQueue *queue, const Item *item)
{
    return Pace_RunTime(&queue->pace, &item->work, item->cached_blocks);
}

/* A factor that follows a quantile of measured over predicted times. */
static void
follow_quantile(double *margin, double quantile, TimeUs took, TimeUs predicted)
{
    if (predicted > 0) {
        bool longer = (double)took > *margin * (double)predicted;
        *margin += MARGIN_STEP * (longer ? quantile : quantile - 1);
        *margin = CLAMP(*margin, 1, MARGIN_MAX);
    }
}

/* Run time that is rarely exceeded: expected outputs may be far off, but none
 * is longer than the longest. */
static TimeUs
safe_run_time(const WantQueue *queue, const Item *item)
{
    TimeUs expected = run_time(queue, item);
    TimeUs safe = (TimeUs)((double)expected * queue->margin);
    const Work *work = &item->work;
    if (work->longest_output_tokens == 0) {
        return safe;
    }
    Work longest = *work;
    longest.output_tokens =
        MAX(work->longest_output_tokens, work->output_tokens);
    return MIN(safe,
               Pace_RunTime(&queue->pace, &longest, item->cached_blocks));
}

static void
refuse_waiting(WantQueue *queue, Item *item, RefuseReason reason, TimeUs wait)
{
    refuse(queue, item->work.id, item->owner, reason, clamp_retry(wait));
    QueueItems_Drop(queue, item);
}

static void
grant(WantQueue *queue, Item *item, TimeUs now)
{
    QueueItems_MakeBusy(queue, item);
    item->state = ITEM_GRANTED;
    item->grant_id = queue->next_grant++;
    item->until = now + queue->config.grant_ttl;
    item->started = now;
    QueueItems_PushAction(
        queue, &(QueueAction){
                   .kind = QUEUE_GRANT,
                   .id = item->work.id,
                   .owner = item->owner,
                   .grant_id = item->grant_id,
                   .ttl_ms = (uint32_t)(queue->config.grant_ttl / US_PER_MS),
               });
}

/* Whether a request that must run alone holds the endpoint. */
static bool
held_alone(const WantQueue *queue)
{
    return queue->busy_count == 1 && QueueItems_Busy(queue, 0)->work.alone;
}

/* Whether the engine has prompts enough to compute. Engines compute them in
 * order of arrival, so more of them would only wait there without priority. */
static bool
prefill_is_full(const WantQueue *queue, TimeUs now)
{
    uint32_t prompts = 0;
    uint32_t tokens = 0;
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        const Item *item = QueueItems_Busy(queue, i);
        uint32_t cached = item->cached_blocks * WORK_BLOCK_TOKENS;
        bool starting =
            item->first_piece == 0 && now < item->started + STARTING_MAX;
        if (starting && item->work.prompt_tokens > cached) {
            prompts++;
            tokens += item->work.prompt_tokens - cached;
        }
    }
    return prompts >= STARTING_PROMPTS && tokens >= STARTING_TOKENS;
}

/* Whether its first piece is likely to come too late. Answers a burst within
 * one tier and rank: those that can still be on time go before those that
 * are late anyway. */
static bool
is_newly_late(const WantQueue *queue, const Item *item, TimeUs now)
{
    const Work *work = &item->work;
    if (work->first_by == 0 || item->late) {
        return false;
    }
    TimeUs prompt = Pace_PromptTime(&queue->pace, work, item->cached_blocks);
    TimeUs safe = (TimeUs)((double)prompt * queue->first_margin);
    return now + safe > work->first_by;
}

/* Whether one more request may be sent to the endpoint. */
static bool
has_room(const WantQueue *queue, const Item *item, TimeUs now)
{
    const QueueConfig *config = &queue->config;
    bool waited = now - item->wanted >= config->ahead_after;
    uint32_t most = config->slots + (waited ? config->ahead : 0);
    return config->slots > 0 && queue->busy_count < MIN(most, QUEUE_SLOTS_MAX);
}

static void
grant_free_slots(WantQueue *queue, TimeUs now)
{
    while (!queue->leaving && queue->order_count > 0 && !held_alone(queue)) {
        Item *item = QueueItems_Waiting(queue, 0);
        if (!has_room(queue, item, now)) {
            return;
        }
        if (is_newly_late(queue, item, now)) {
            QueueItems_Delay(queue, item);
            continue;
        }
        TimeUs finish = now + safe_run_time(queue, item);
        if (!queue->config.no_deadline && finish > item->work.deadline) {
            refuse_waiting(queue, item, REFUSE_DEADLINE,
                           finish - item->work.deadline);
            continue;
        }
        if (item->work.alone && queue->busy_count > 0) {
            return;
        }
        if (prefill_is_full(queue, now)) {
            return;
        }
        grant(queue, item, now);
    }
}

static void
plan_busy(const WantQueue *queue, Plan *plan, TimeUs now)
{
    plan->count = 0;
    for (uint32_t i = 0; i < MIN(queue->busy_count, queue->config.slots); i++)
    {
        const Item *item = QueueItems_Busy(queue, i);
        TimeUs frees = item->started + run_time(queue, item);
        Plan_Add(plan, MAX(frees, now));
    }
    for (uint32_t i = queue->busy_count; i < queue->config.slots; i++) {
        Plan_Add(plan, now);
    }
    for (uint32_t i = queue->config.slots; i < queue->busy_count; i++) {
        Plan_Take(plan, run_time(queue, QueueItems_Busy(queue, i)));
    }
}

/* Mean run time of what the endpoint has. */
static TimeUs
mean_run(const WantQueue *queue)
{
    TimeUs sum = 0;
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        sum += run_time(queue, QueueItems_Busy(queue, i));
    }
    return sum / MAX(queue->busy_count, 1);
}

static unsigned
class_of(const Work *work)
{
    unsigned tier = MIN(work->tier, WORK_TIERS - 1);
    unsigned rank = MIN(work->rank, QUEUE_CLASS_RANKS - 1);
    return tier * QUEUE_CLASS_RANKS + rank;
}

/* Follows how much of the slots each class takes. */
static void
sample_classes(WantQueue *queue, TimeUs now)
{
    double part = (double)(now - queue->sampled_at) / (double)CLASS_SPAN;
    part = MIN(part, 1);
    queue->sampled_at = now;
    double busy[QUEUE_CLASSES] = {0};
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        busy[class_of(&QueueItems_Busy(queue, i)->work)] += 1;
    }
    for (unsigned c = 0; c < QUEUE_CLASSES; c++) {
        double share = busy[c] / queue->config.slots;
        queue->taken[c] += part * (share - queue->taken[c]);
    }
}

/* Longer wait than planned: while work that goes first keeps coming, only
 * what it leaves of the slots serves the rest. @p mean: run time of what the
 * endpoint has. */
static TimeUs
wait_behind_better(const WantQueue *queue, const Work *work, TimeUs planned,
                   TimeUs mean)
{
    double better = 0;
    for (unsigned c = 0; c < class_of(work); c++) {
        better += queue->taken[c];
    }
    double left = 1 - MIN(better, BETTER_MAX);
    double turn = (double)mean / queue->config.slots;
    return (TimeUs)(((double)planned + turn * better) / left);
}

/* How far a waiting request is expected to miss its deadline; 0 or less: not
 * at all. Answers sustained overload, where lower work would wait in vain
 * until its deadline. The longer wait is a guess, so long requests are not
 * refused before others for it: there they count as long as the mean. */
static TimeUs
lateness(const WantQueue *queue, const Item *item, TimeUs planned, TimeUs mean,
         TimeUs now)
{
    TimeUs run = safe_run_time(queue, item);
    TimeUs late = now + planned + run - item->work.deadline;
    if (!queue->config.refuse_early) {
        return late;
    }
    TimeUs wait = wait_behind_better(queue, &item->work, planned, mean);
    TimeUs usual = MIN(run, (TimeUs)((double)mean * queue->margin));
    return MAX(late, now + wait + usual - item->work.deadline);
}

/* Refuses the waiting requests whose planned finish is past their deadline,
 * in grant order, so that each is weighed against what goes before it. */
static void
shed_hopeless(WantQueue *queue, TimeUs now)
{
    Plan plan;
    plan_busy(queue, &plan, now);
    sample_classes(queue, now);
    queue->planned_at = now;
    queue->lowest_tier = WORK_TIERS - 1;
    TimeUs mean = mean_run(queue);
    uint32_t at = 0;
    while (at < queue->order_count) {
        Item *item = QueueItems_Waiting(queue, at);
        TimeUs start = Plan_Next(&plan);
        TimeUs span = run_time(queue, item);
        TimeUs late = lateness(queue, item, start - now, mean, now);
        if (late > 0) {
            refuse_waiting(queue, item, REFUSE_DEADLINE, late);
            continue;
        }
        Plan_Take(&plan, (TimeUs)((double)span * queue->kept));
        TimeUs wait = Plan_Next(&plan) - now;
        if (wait > SHED_WAIT && item->work.tier < queue->lowest_tier) {
            queue->lowest_tier = item->work.tier;
        }
        at++;
    }
    queue->retry_after_ms = clamp_retry(Plan_Next(&plan) - now);
}

static void
update(WantQueue *queue, TimeUs now)
{
    bool due = now >= queue->planned_at + PLAN_PERIOD;
    if (due && !queue->config.no_deadline && queue->config.slots > 0) {
        shed_hopeless(queue, now);
    }
    grant_free_slots(queue, now);
}

/* Makes room for work, at the cost of the last in order if that is less
 * urgent. */
static bool
make_room(WantQueue *queue, const Work *work)
{
    if (queue->order_count < queue->config.max_wants) {
        return true;
    }
    if (queue->order_count == 0) {
        return false;
    }
    Item *last = QueueItems_Waiting(queue, queue->order_count - 1);
    Item incoming = {
        .work = *work,
        .sequence = queue->next_sequence,
        .start_by = work->first_by == 0 ? work->deadline : work->first_by,
    };
    if (!QueueItems_GoesBefore(queue, &incoming, last)) {
        return false;
    }
    refuse(queue, last->work.id, last->owner, REFUSE_SHED,
           clamp_retry(queue->retry_after_ms * US_PER_MS));
    QueueItems_Drop(queue, last);
    return true;
}

void
Queue_Want(WantQueue *queue, const Work *work, uint64_t owner, TimeUs now)
{
    if (QueueItems_IsTombstone(queue, work->id)) {
        refuse(queue, work->id, owner, REFUSE_DUPLICATE, RETRY_MIN_MS);
        return;
    }
    if (QueueItems_Find(queue, work->id) != NULL) {
        return;
    }
    if (queue->leaving) {
        refuse(queue, work->id, owner, REFUSE_LEAVING, RETRY_MIN_MS);
        return;
    }
    if (!make_room(queue, work)) {
        refuse(queue, work->id, owner, REFUSE_SHED,
               clamp_retry(queue->retry_after_ms * US_PER_MS));
        return;
    }
    QueueItems_Add(queue, work, owner, now);
    update(queue, now);
}

static void
count_kept(WantQueue *queue, bool kept)
{
    queue->kept += ((kept ? 1 : 0) - queue->kept) * KEPT_WEIGHT;
}

void
Queue_Withdraw(WantQueue *queue, RequestId id, uint64_t owner, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item == NULL || item->owner != owner || item->state == ITEM_RUNNING) {
        return;
    }
    QueueItems_Drop(queue, item);
    count_kept(queue, false);
    update(queue, now);
}

RefuseReason
Queue_Dispatch(WantQueue *queue, RequestId id, uint64_t grant_id, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (QueueItems_IsTombstone(queue, id) ||
        (item != NULL && item->state == ITEM_RUNNING))
    {
        return REFUSE_DUPLICATE;
    }
    if (item == NULL) {
        QueueItems_AddTombstone(queue, id);
        return REFUSE_LAPSED;
    }
    bool valid = item->state == ITEM_GRANTED && item->grant_id == grant_id &&
                 now < item->until && !queue->leaving;
    if (!valid) {
        QueueItems_Bury(queue, item);
        update(queue, now);
        return queue->leaving ? REFUSE_LEAVING : REFUSE_LAPSED;
    }
    item->state = ITEM_RUNNING;
    item->started = now;
    item->cached_blocks = cached_blocks(queue, &item->work);
    item->predicted = run_time(queue, item);
    item->predicted_first =
        Pace_PromptTime(&queue->pace, &item->work, item->cached_blocks);
    queue->running++;
    count_kept(queue, true);
    return REFUSE_NONE;
}

void
Queue_FirstPiece(WantQueue *queue, RequestId id, TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item == NULL || item->state != ITEM_RUNNING || item->first_piece != 0)
    {
        return;
    }
    item->first_piece = now;
    const Work *work = &item->work;
    uint32_t cached = item->cached_blocks * WORK_BLOCK_TOKENS;
    if (cached < work->prompt_tokens) {
        follow_quantile(&queue->first_margin, FIRST_QUANTILE,
                        now - item->started, item->predicted_first);
        Pace_FirstPiece(&queue->pace, work->prompt_tokens - cached,
                        now - item->started);
    }
    Queue_Cached(queue, work->prefix, work->prefix_count, true);
    update(queue, now);
}

static void
measure(WantQueue *queue, const Item *item, const QueueResult *result,
        TimeUs now)
{
    if (!result->complete) {
        return;
    }
    Pace_Ran(&queue->pace, now - item->started);
    double quantile = queue->config.run_quantile > 0
                          ? queue->config.run_quantile
                          : MARGIN_QUANTILE;
    follow_quantile(&queue->margin, quantile, now - item->started,
                    item->predicted);
    uint32_t tokens = result->output_tokens > 0 ? result->output_tokens
                                                : item->work.output_tokens;
    if (item->first_piece != 0) {
        Pace_Decoded(&queue->pace, tokens, now - item->first_piece);
    }
}

void
Queue_Finished(WantQueue *queue, RequestId id, const QueueResult *result,
               TimeUs now)
{
    Item *item = QueueItems_Find(queue, id);
    if (item != NULL && item->state == ITEM_RUNNING) {
        measure(queue, item, result, now);
        QueueItems_Bury(queue, item);
        update(queue, now);
    }
}

void
Queue_OwnerGone(WantQueue *queue, uint64_t owner, TimeUs now)
{
    for (uint32_t i = queue->order_count; i > 0; i--) {
        Item *item = QueueItems_Waiting(queue, i - 1);
        if (item->owner == owner) {
            QueueItems_Drop(queue, item);
        }
    }
    for (uint32_t i = queue->busy_count; i > 0; i--) {
        Item *item = QueueItems_Busy(queue, i - 1);
        if (item->owner == owner && item->state == ITEM_GRANTED) {
            QueueItems_Drop(queue, item);
        }
    }
    update(queue, now);
}

void
Queue_RefuseTarget(WantQueue *queue, uint64_t target, TimeUs now)
{
    for (uint32_t i = queue->order_count; i > 0; i--) {
        Item *item = QueueItems_Waiting(queue, i - 1);
        if (item->work.target == target) {
            refuse_waiting(queue, item, REFUSE_LEAVING, 0);
        }
    }
    update(queue, now);
}

void
Queue_SetLeaving(WantQueue *queue, bool leaving, TimeUs now)
{
    queue->leaving = leaving;
    while (leaving && queue->order_count > 0) {
        Item *last = QueueItems_Waiting(queue, queue->order_count - 1);
        refuse_waiting(queue, last, REFUSE_LEAVING, 0);
    }
    update(queue, now);
}

void
Queue_SetSlots(WantQueue *queue, uint32_t slots, TimeUs now)
{
    queue->config.slots = MIN(slots, QUEUE_SLOTS_MAX);
    update(queue, now);
}

void
Queue_Cached(WantQueue *queue, const uint64_t *blocks, uint32_t count,
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
Queue_CacheReset(WantQueue *queue)
{
    Blocks_Clear(queue->blocks);
}

void
Queue_Tick(WantQueue *queue, TimeUs now)
{
    for (uint32_t i = queue->busy_count; i > 0; i--) {
        Item *item = QueueItems_Busy(queue, i - 1);
        if (item->state == ITEM_GRANTED && now >= item->until) {
            QueueItems_Bury(queue, item);
        }
    }
    while (queue->order_count > 0 && queue->config.slots == 0) {
        Item *last = QueueItems_Waiting(queue, queue->order_count - 1);
        refuse_waiting(queue, last, REFUSE_SHED, RETRY_MAX_MS * US_PER_MS);
    }
    update(queue, now);
}

TimeUs
Queue_NextTimer(const WantQueue *queue)
{
    TimeUs next = TIME_NEVER;
    if (queue->order_count > 0) {
        next = queue->planned_at + PLAN_PERIOD;
    }
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        const Item *item = QueueItems_Busy(queue, i);
        if (item->state == ITEM_GRANTED && item->until < next) {
            next = item->until;
        }
    }
    return next;
}

void
Queue_State(const WantQueue *queue, TimeUs now, QueueState *state)
{
    *state = (QueueState){
        .slots = queue->config.slots,
        .running = queue->running,
        .granted = queue->busy_count - queue->running,
        .queued = queue->order_count,
        .queued_prompt_tokens = queue->prompt_tokens,
        .queued_output_tokens = queue->output_tokens,
        .prefill_tokens_s = Pace_Speed(&queue->pace.prefill),
        .decode_tokens_s = Pace_Speed(&queue->pace.decode),
        .margin = queue->margin,
        .lowest_tier = queue->lowest_tier,
        .retry_after_ms = MAX(queue->retry_after_ms, RETRY_MIN_MS),
        .leaving = queue->leaving,
    };
    memcpy(state->queued_by_tier, queue->waiting_by_tier,
           sizeof(state->queued_by_tier));
}
