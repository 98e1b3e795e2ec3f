/** @file
 * Time predictions of the queue: run times and their margins, the times at
 * which slots become free, and the lateness of waiting requests.
 */
#include "sched/queue_times.h"

#include <glib.h>

/* Time constant of the moving average of the slots used by a class. */
#define CLASS_SPAN (2 * US_PER_S)
/* Upper bound of the share of slots that higher classes are assumed to use; a
 * twentieth always remains for the other classes. */
#define BETTER_MAX 0.95
/* Default quantile of measured over predicted run time that the margin
 * tracks. */
#define MARGIN_QUANTILE 0.98
/* Step size of the quantile estimate, per sample. */
#define MARGIN_STEP 0.1
/* Quantile tracked by the margin on the predicted time to the first piece.
 * Engines compute prompts one after another, so that the times vary: with the
 * mean, half of the requests close to their deadline would be late. */
#define FIRST_QUANTILE 0.9
/* Upper bound of a margin. Larger values result only from samples that no
 * prediction fits. */
#define MARGIN_MAX 3

TimeUs
QueueTimes_Run(const WantQueue *queue, const Item *item)
{
    return Speed_RunTime(&queue->speed, &item->work, item->cached_blocks);
}

TimeUs
QueueTimes_RunUpperBound(const WantQueue *queue, const Item *item)
{
    TimeUs expected = QueueTimes_Run(queue, item);
    TimeUs safe = (TimeUs)((double)expected * queue->margin);
    const WorkSpec *work = &item->work;
    if (work->longest_output_tokens == 0) {
        return safe;
    }
    WorkSpec longest = *work;
    longest.output_tokens =
        MAX(work->longest_output_tokens, work->output_tokens);
    return MIN(safe,
               Speed_RunTime(&queue->speed, &longest, item->cached_blocks));
}

bool
QueueTimes_IsNewlyLate(const WantQueue *queue, const Item *item, TimeUs now)
{
    const WorkSpec *work = &item->work;
    if (work->first_piece_deadline == 0 || item->late) {
        return false;
    }
    TimeUs prompt =
        Speed_FirstPieceTime(&queue->speed, work, item->cached_blocks);
    TimeUs safe = (TimeUs)((double)prompt * queue->first_piece_margin);
    return now + safe > work->first_piece_deadline;
}

void
QueueTimes_PlanBusy(const WantQueue *queue, Plan *plan, TimeUs now)
{
    plan->count = 0;
    for (uint32_t i = 0; i < MIN(queue->busy_count, queue->config.slots); i++)
    {
        const Item *item = QueueItems_Busy(queue, i);
        TimeUs frees = item->started_at + QueueTimes_Run(queue, item);
        Plan_AddSlot(plan, MAX(frees, now));
    }
    for (uint32_t i = queue->busy_count; i < queue->config.slots; i++) {
        Plan_AddSlot(plan, now);
    }
    for (uint32_t i = queue->config.slots; i < queue->busy_count; i++) {
        Plan_Assign(plan, QueueTimes_Run(queue, QueueItems_Busy(queue, i)));
    }
}

TimeUs
QueueTimes_MeanRun(const WantQueue *queue)
{
    TimeUs sum = 0;
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        sum += QueueTimes_Run(queue, QueueItems_Busy(queue, i));
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
    double part = (double)(now - queue->last_sampled_at) / (double)CLASS_SPAN;
    part = MIN(part, 1);
    queue->last_sampled_at = now;
    double busy[QUEUE_CLASSES] = {0};
    for (uint32_t i = 0; i < queue->busy_count; i++) {
        busy[class_of(&QueueItems_Busy(queue, i)->work)] += 1;
    }
    for (unsigned c = 0; c < QUEUE_CLASSES; c++) {
        double share = busy[c] / queue->config.slots;
        queue->class_slot_share[c] +=
            part * (share - queue->class_slot_share[c]);
    }
}

/* Predicts the wait of a request when higher classes keep arriving, so that
 * only the slots they leave free serve the other classes. This is longer than
 * the planned wait. @p mean is the mean run time at the endpoint. */
static TimeUs
wait_behind_better(const WantQueue *queue, const WorkSpec *work,
                   TimeUs planned, TimeUs mean)
{
    double better = 0;
    for (unsigned c = 0; c < class_of(work); c++) {
        better += queue->class_slot_share[c];
    }
    double left = 1 - MIN(better, BETTER_MAX);
    double turn = (double)mean / queue->config.slots;
    return (TimeUs)(((double)planned + turn * better) / left);
}

TimeUs
QueueTimes_PredictLateness(const WantQueue *queue, const Item *item,
                           TimeUs planned, TimeUs mean, TimeUs now)
{
    TimeUs run = QueueTimes_RunUpperBound(queue, item);
    TimeUs late = now + planned + run - item->work.deadline;
    if (!queue->config.refuse_early) {
        return late;
    }
    TimeUs wait = wait_behind_better(queue, &item->work, planned, mean);
    TimeUs usual = MIN(run, (TimeUs)((double)mean * queue->margin));
    return MAX(late, now + wait + usual - item->work.deadline);
}

/* Moves a factor towards a quantile of measured over predicted times. */
static void
follow_quantile(double *margin, double quantile, TimeUs took, TimeUs predicted)
{
    if (predicted > 0) {
        bool longer = (double)took > *margin * (double)predicted;
        *margin += MARGIN_STEP * (longer ? quantile : quantile - 1);
        *margin = CLAMP(*margin, 1, MARGIN_MAX);
    }
}

void
QueueTimes_MeasureFirst(WantQueue *queue, const Item *item, TimeUs now)
{
    uint32_t cached = item->cached_blocks * WORK_BLOCK_TOKENS;
    if (cached < item->work.prompt_tokens) {
        follow_quantile(&queue->first_piece_margin, FIRST_QUANTILE,
                        now - item->started_at, item->predicted_first_piece);
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
    follow_quantile(&queue->margin, quantile, now - item->started_at,
                    item->predicted);
    uint32_t tokens = result->output_tokens > 0 ? result->output_tokens
                                                : item->work.output_tokens;
    if (item->first_piece != 0) {
        Speed_AddDecode(&queue->speed, tokens, now - item->first_piece);
    }
}
