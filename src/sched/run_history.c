/** @file
 * Run history.
 */
#include "sched/run_history.h"

#include <string.h>

#include <glib.h>

/* An endpoint has survived a run when it exists so long after the end of the
 * run: after a whole answer, and after an end without one, since an endpoint
 * may break connections off seconds before it ends. */
#define ANSWERED_SURVIVAL_US (250 * US_PER_MS)
#define UNANSWERED_SURVIVAL_US (5 * US_PER_S)
/* Runs for which memory is allocated first. */
#define RUN_HISTORY_MIN 4

static TimeUs
survival_time(const EndedRun *run)
{
    bool whole = run->end == RUN_ANSWERED || run->end == RUN_CLOSED;
    return run->at + (whole ? ANSWERED_SURVIVAL_US : UNANSWERED_SURVIVAL_US);
}

bool
EndedRun_IsAcquittal(const EndedRun *run)
{
    return run->wrote && !run->resumed;
}

void
RunHistory_Clear(RunHistory *history)
{
    g_free(history->runs);
    *history = (RunHistory){.runs = NULL};
}

void
RunHistory_Add(RunHistory *history, const EndedRun *run)
{
    if (history->count == history->capacity &&
        history->capacity < RUN_HISTORY_MAX) {
        history->capacity =
            MIN(MAX(2 * history->capacity, RUN_HISTORY_MIN), RUN_HISTORY_MAX);
        history->runs = g_renew(EndedRun, history->runs, history->capacity);
    }
    if (history->count == RUN_HISTORY_MAX) {
        history->count--;
        memmove(&history->runs[0], &history->runs[1],
                history->count * sizeof(EndedRun));
    }
    TimeUs next = history->count == 0 ? TIME_NEVER : history->next_survival_at;
    history->next_survival_at = MIN(next, survival_time(run));
    history->runs[history->count++] = *run;
}

void
RunHistory_RemoveSurvived(RunHistory *history, TimeUs now,
                          void (*survived)(void *arg, const EndedRun *run),
                          void *arg)
{
    if (history->count == 0 || now < history->next_survival_at) {
        return;
    }
    unsigned kept = 0;
    history->next_survival_at = TIME_NEVER;
    for (unsigned i = 0; i < history->count; i++) {
        EndedRun run = history->runs[i];
        TimeUs at = survival_time(&run);
        if (now < at) {
            history->runs[kept++] = run;
            history->next_survival_at = MIN(history->next_survival_at, at);
        }
        else if (survived != NULL) {
            survived(arg, &run);
        }
    }
    history->count = kept;
}

size_t
RunHistory_Count(const RunHistory *history, unsigned ends)
{
    size_t count = 0;
    for (unsigned i = 0; i < history->count; i++) {
        count += (history->runs[i].end & ends) != 0 ? 1 : 0;
    }
    return count;
}

size_t
RunHistory_Take(RunHistory *history, unsigned ends,
                void (*take)(void *arg, const EndedRun *run), void *arg)
{
    size_t taken = 0;
    unsigned kept = 0;
    for (unsigned i = 0; i < history->count; i++) {
        EndedRun run = history->runs[i];
        if ((run.end & ends) != 0) {
            taken++;
            take(arg, &run);
        }
        else {
            history->runs[kept++] = run;
        }
    }
    history->count = kept;
    return taken;
}
