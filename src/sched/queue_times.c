/** @file
 * Time predictions of the queue: run times and their margins, the times at
 * which slots become free, and the lateness of waiting requests.
 */
#include "sched/queue_times.h"

#include <glib.h>

/* Time constant of the moving average of the slots used by a class. */
#define CLASS_AVERAGE_US (2 * US_PER_S)
/* Upper bound of the share of slots that higher classes are assumed to use; a
 * twentieth always remains for the other classes. */
#define HIGHER_SHARE_MAX 0.95
/* Default quantile of the ratio of measured to predicted run time that the
 * margin tracks. */
#define MARGIN_QUANTILE 0.98
/* Step size of the quantile estimate, per sample. */
#define MARGIN_STEP 0.1
/* Quantile tracked by the margin on the predicted time to the first piece.
 * Engines compute prompts one after another, so that the times vary: with the
 * mean, half of the requests close to their deadline would be late. */
#define FIRST_PIECE_QUANTILE 0.9
/* Upper bound of a margin. Larger values result only from samples that no
 * prediction fits. */
#define MARGIN_MAX 3

TimeUs
QueueTimes_RunTime(const WantQueue *queue, const Item *item)
{
    return Speed_RunTime(&queue->speed, &item->work, item->cached_blocks);
}

TimeUs
QueueTimes_RunTimeUpperBound(const WantQueue *queue, const Item *item)
{
    TimeUs expected = QueueTimes_RunTime(queue, item);
    TimeUs with_margin = (TimeUs)((double)expected * queue->margin);
    const WorkSpec *work = &item->work;
    if (work->longest_output_tokens == 0) {
        return with_margin;
    }
    WorkSpec longest = *work;
    longest.output_tokens =
        MAX(work->longest_output_tokens, work->output_tokens);
    return MIN(with_margin,
               Speed_RunTime(&queue->speed, &longest, item->cached_blocks));
}

bool
QueueTimes_IsNewlyLate(const WantQueue *queue, const Item *item, TimeUs now)
{
    const WorkSpec *work = &item->work;
    if (work->first_piece_deadline == 0 || item->first_piece_late) {
        return false;
    }
    TimeUs prefill_time =
        Speed_FirstPieceTime(&queue->speed, work, item->cached_blocks);
    TimeUs with_margin =
        (TimeUs)((double)prefill_time * queue->first_piece_margin);
    return now + with_margin > work->first_piece_deadline;
}

void
QueueTimes_PlanSlots(const WantQueue *queue, Plan *plan, TimeUs now)
{
    plan->count = 0;
    for (uint32_t i = 0; i < MIN(queue->busy_count, queue->config.slots); i++)
    {
        const Item *item = QueueItems_Busy(queue, i);
        TimeUs free_at = item->started_at + QueueTimes_RunTime(queue, item);
        Plan_AddSlot(plan, MAX(free_at, now));
    }
    for (uint32_t i = queue->busy_count; i < queue->config.slots; i++) {
        Plan_AddSlot(plan, now);
    }
    for (uint32_t i = queue->config.slots; i < queue->busy_count; i++) {
        Plan_Assign(plan,
                    QueueTimes_RunTime(queue, QueueItems_Busy(queue, i)));
    }
}

TimeUs
QueueTimes_MeanRunTime(const WantQueue *queue)
{
    TimeUs sum = 0;
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        sum += QueueTimes_RunTime(queue, QueueItems_Busy(queue, i));
    }
    return sum / MAX(queue->busy_count, 1);
}

static unsigned
class_of(const WorkSpec *work)
{
    unsigned tier = MIN(work->tier, WORK_TIERS - 1);
    unsigned rank = MIN(work->rank, QUEUE_CLASS_RANKS - 1);
    return tier * QUEUE_CLASS_RANKS + rank;
}

void
QueueTimes_SampleClasses(WantQueue *queue, TimeUs now)
{
    double weight =
        (double)(now - queue->last_sampled_at) / (double)CLASS_AVERAGE_US;
    weight = MIN(weight, 1);
    queue->last_sampled_at = now;
    double busy[QUEUE_PARTS][QUEUE_CLASSES] = {{0}};
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        const Item *item = QueueItems_Busy(queue, i);
        busy[item->beyond_share][class_of(&item->work)] += 1;
    }
    for (unsigned p = 0; p < QUEUE_PARTS; p++) {
        for (unsigned c = 0; c < QUEUE_CLASSES; c++) {
            double share = busy[p][c] / queue->config.slots;
            queue->class_slot_share[p][c] +=
                weight * (share - queue->class_slot_share[p][c]);
        }
    }
}

/* Returns whether requests of a class, within or beyond the shares of their
 * accounts, are granted before the request. */
static bool
class_precedes(const WantQueue *queue, unsigned other, bool other_beyond,
               const WorkSpec *work, bool beyond)
{
    WorkSpec first = {
        .tier = other / QUEUE_CLASS_RANKS,
        .rank = other % QUEUE_CLASS_RANKS,
    };
    if (first.tier != MIN(work->tier, WORK_TIERS - 1)) {
        return first.tier < work->tier;
    }
    if (other_beyond != beyond) {
        return beyond;
    }
    return FairRanks_Order(&queue->fair_ranks, &first) <
           MIN(FairRanks_Order(&queue->fair_ranks, work),
               QUEUE_CLASS_RANKS - 1);
}

TimeUs
QueueTimes_WaitBehindHigher(const WantQueue *queue, const WorkSpec *work,
                            bool beyond, TimeUs planned, TimeUs mean)
{
    double higher_share = 0;
    for (unsigned c = 0; c < QUEUE_CLASSES; c++) {
        if (class_precedes(queue, c, false, work, beyond)) {
            higher_share += queue->class_slot_share[0][c];
        }
        if (class_precedes(queue, c, true, work, beyond)) {
            higher_share += queue->class_slot_share[1][c];
        }
    }
    double remaining_share = 1 - MIN(higher_share, HIGHER_SHARE_MAX);
    double slot_interval = (double)mean / queue->config.slots;
    return (TimeUs)(((double)planned + slot_interval * higher_share) /
                    remaining_share);
}

/* Predicts the lateness of the first piece, by the time at which the caller
 * gives up; 0 if there is no such time. */
static TimeUs
predict_first_piece_lateness(const WantQueue *queue, const Item *item,
                             TimeUs wait, TimeUs now)
{
    const WorkSpec *work = &item->work;
    if (work->first_piece_limit == 0) {
        return 0;
    }
    TimeUs prefill =
        Speed_FirstPieceTime(&queue->speed, work, item->cached_blocks);
    TimeUs with_margin = (TimeUs)((double)prefill * queue->first_piece_margin);
    return MAX(now + wait + with_margin - work->first_piece_limit, 0);
}

TimeUs
QueueTimes_PredictLateness(const WantQueue *queue, const Item *item,
                           TimeUs planned, TimeUs mean, TimeUs now)
{
    TimeUs run = QueueTimes_RunTimeUpperBound(queue, item);
    TimeUs lateness = now + planned + run - item->work.deadline;
    lateness =
        MAX(lateness, predict_first_piece_lateness(queue, item, planned, now));
    if (!queue->config.refuse_early || item->booked) {
        return lateness;
    }
    TimeUs wait = QueueTimes_WaitBehindHigher(
        queue, &item->work, item->beyond_share, planned, mean);
    TimeUs typical_run = MIN(run, (TimeUs)((double)mean * queue->margin));
    lateness = MAX(lateness, now + wait + typical_run - item->work.deadline);
    return MAX(lateness, predict_first_piece_lateness(queue, item, wait, now));
}

TimeUs
QueueTimes_NextByRate(const WantQueue *queue, uint32_t position, TimeUs now)
{
    TimeUs next = NamedRate_NextAt(&queue->rate_limit, QUEUE_WHOLE_RATE,
                                   position * queue->dispatch_ratio, now);
    return MAX(next, queue->rest.until);
}

bool
QueueTimes_MayBook(const WantQueue *queue, const WorkSpec *work, bool beyond)
{
    return !queue->leaving && !beyond &&
           FairRanks_HigherAreServed(&queue->fair_ranks, work);
}

TimeUs
QueueTimes_BookedWait(const WantQueue *queue, const WorkSpec *work,
                      TimeUs start)
{
    return Bookings_WorkBefore(&queue->bookings, work, start) /
           MAX(queue->config.slots, 1);
}

/* Moves a margin towards a quantile of the ratio of measured to predicted
 * time. */
static void
track_quantile(double *margin, double quantile, TimeUs measured,
               TimeUs predicted)
{
    if (predicted > 0) {
        bool longer = (double)measured > *margin * (double)predicted;
        *margin += MARGIN_STEP * (longer ? quantile : quantile - 1);
        *margin = CLAMP(*margin, 1, MARGIN_MAX);
    }
}

void
QueueTimes_MeasureFirstPiece(WantQueue *queue, const Item *item, TimeUs now)
{
    uint32_t cached = item->cached_blocks * WORK_BLOCK_TOKENS;
    if (cached < item->work.prompt_tokens) {
        track_quantile(&queue->first_piece_margin, FIRST_PIECE_QUANTILE,
                       now - item->started_at,
                       item->predicted_first_piece_time);
        Speed_AddFirstPiece(&queue->speed, item->work.prompt_tokens - cached,
                            now - item->started_at);
    }
}

void
QueueTimes_MeasureRun(WantQueue *queue, const Item *item,
                      const QueueResult *result, TimeUs now)
{
    if (!result->complete) {
        return;
    }
    Speed_AddRun(&queue->speed, now - item->started_at);
    double quantile = queue->config.run_quantile > 0
                          ? queue->config.run_quantile
                          : MARGIN_QUANTILE;
    track_quantile(&queue->margin, quantile, now - item->started_at,
                   item->predicted_run_time);
    uint32_t tokens = result->output_tokens > 0 ? result->output_tokens
                                                : item->work.output_tokens;
    if (item->first_piece_at != 0) {
        Speed_AddDecode(&queue->speed, tokens, now - item->first_piece_at);
    }
}
