/** @file
 * Current speed of servers.
 */
#include "sched/pace.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Shortest of the compared holding times; each is twice the one before. */
#define HOLDING_FIRST_US (50 * US_PER_MS)
/* Holding time while fewer pairs of reports are known: a third of the time for
 * which servers are slow, so that an old figure does not bar a
 * server. */
#define HOLDING_DEFAULT_US (200 * US_PER_MS)
#define PAIRS_MIN 12
/* Part of the sums of errors that each new pair keeps. */
#define PAIRS_KEPT 0.99
/* Least difference between the excess and its mean at which a pair of reports
 * tells how long figures hold. */
#define DEVIATION_MIN 0.15
/* A figure with this excess counts as that of a slow server. */
#define SLOW_EXCESS 0.4
#define SLOW_WEIGHT 0.1
/* Weight of the newest report in the usual figure of its server, and the time
 * constant with which the usual figure follows reports of a server that
 * remains slow. */
#define USUAL_WEIGHT 0.2
#define USUAL_FOLLOWS_US (20 * US_PER_S)
/* Weight of the newest report in the mean excess. A report that follows
 * another of the same server within the holding time counts less. */
#define EXCESS_WEIGHT 0.02
/* Least weight of the newest run in the mean run time of a server and of the
 * service. Run times of plain work vary by about their mean, so a mean over 10
 * runs varies by a fifth. */
#define RUN_WEIGHT 0.03
#define SERVICE_RUN_WEIGHT 0.01
/* Runs that the mean of the service counts for in that of a server. */
#define RUN_PRIOR 3
/* Time within which the newest report counts as that of a run's own answer. */
#define ANSWER_REPORT_US (50 * US_PER_MS)
/* Largest additional cost that spreads senders: below the cost of leaving the
 * zone, which thus keeps its meaning. */
#define SPREAD_MAX_MS 4
/* Assumed time of a question, and its price, in milliseconds of a caller's
 * time. */
#define ANSWER_DEFAULT_MS 2
#define ANSWER_WEIGHT 0.1
#define QUESTION_PRICE_MS 0.2
/* Weight of the time that an answer saves: late answers come from slow
 * servers, and a caller loses more by one than by a question. */
#define SAVED_WEIGHT 2
#define TEXT_MAX_BYTES 12

double
Pace_Parse(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > TEXT_MAX_BYTES ||
        strspn(text, "0123456789.") != length || text[0] == '.' ||
        text[length - 1] == '.' || strchr(text, '.') != strrchr(text, '.'))
    {
        return 0;
    }
    double figure = g_ascii_strtod(text, NULL);
    return figure >= PACE_MIN && figure <= PACE_MAX ? figure : 0;
}

bool
Pace_IsKnown(const Pace *pace)
{
    return pace->report.figure > 0;
}

static double
holding_us(int index)
{
    return ldexp((double)HOLDING_FIRST_US, index);
}

TimeUs
Pace_HoldingTime(const PaceService *service)
{
    if (service->pairs < PAIRS_MIN) {
        return HOLDING_DEFAULT_US;
    }
    int best = 0;
    for (int i = 1; i < PACE_HOLDING_TIMES; i++) {
        if (service->errors[i] < service->errors[best]) {
            best = i;
        }
    }
    return (TimeUs)holding_us(best);
}

static double
excess_of(const Pace *pace)
{
    return pace->report.figure / pace->usual - 1;
}

/* Updates the errors of all holding times with a report that follows that of
 * the server. */
static void
add_pair(PaceService *service, const Pace *pace, double figure, double age)
{
    double deviation = excess_of(pace) - service->excess;
    if (fabs(deviation) < DEVIATION_MIN) {
        return;
    }
    double excess = figure / pace->usual - 1;
    for (int i = 0; i < PACE_HOLDING_TIMES; i++) {
        double predicted =
            service->excess + deviation * exp(-age / holding_us(i));
        double error = excess - predicted;
        service->errors[i] = PAIRS_KEPT * service->errors[i] + error * error;
    }
    service->pairs++;
}

static void
add_excess(PaceService *service, double excess, double age)
{
    double news = 1 - exp(-age / (double)Pace_HoldingTime(service));
    service->excess += EXCESS_WEIGHT * news * (excess - service->excess);
    if (excess > SLOW_EXCESS) {
        double before =
            service->slow_excess > 0 ? service->slow_excess : excess;
        service->slow_excess = before + SLOW_WEIGHT * (excess - before);
    }
}

void
Pace_OnReport(Pace *pace, PaceService *service, double figure, TimeUs now)
{
    double age = (double)USUAL_FOLLOWS_US;
    if (Pace_IsKnown(pace)) {
        age = (double)MAX(now - pace->report.received_at, 0);
        add_pair(service, pace, figure, age);
    }
    else {
        pace->usual = PACE_USUAL;
    }
    double excess = figure / pace->usual - 1;
    add_excess(service, excess, age);
    double weight = excess > SLOW_EXCESS
                        ? 1 - exp(-age / (double)USUAL_FOLLOWS_US)
                        : USUAL_WEIGHT;
    if (Pace_IsKnown(pace) || excess <= SLOW_EXCESS) {
        pace->usual += weight * (figure - pace->usual);
    }
    pace->report = (PaceReport){.figure = figure, .received_at = now};
}

/* Returns the excess that is expected now. */
static double
expected_excess(const Pace *pace, const PaceService *service, TimeUs now)
{
    double age = (double)MAX(now - pace->report.received_at, 0);
    double kept = exp(-age / (double)Pace_HoldingTime(service));
    return service->excess + (excess_of(pace) - service->excess) * kept;
}

double
Pace_Expected(const Pace *pace, const PaceService *service, TimeUs now)
{
    return Pace_IsKnown(pace)
               ? pace->usual * (1 + expected_excess(pace, service, now))
               : PACE_USUAL * (1 + service->excess);
}

double
Pace_Factor(const Pace *pace, const PaceService *service, TimeUs now)
{
    return Pace_IsKnown(pace) ? (1 + expected_excess(pace, service, now)) /
                                    (1 + service->excess)
                              : 1;
}

static void
add_work(double *mean, unsigned *runs, double work_ms, double least_weight)
{
    double weight = MAX(1.0 / (*runs + 1), least_weight);
    *mean += weight * (work_ms - *mean);
    if (*runs < G_MAXUINT) {
        (*runs)++;
    }
}

void
Pace_OnRun(Pace *pace, PaceService *service, double run_ms, TimeUs now)
{
    double figure = now - pace->report.received_at <= ANSWER_REPORT_US &&
                            Pace_IsKnown(pace)
                        ? pace->report.figure
                        : Pace_Expected(pace, service, now);
    double work_ms = run_ms * PACE_USUAL / figure;
    add_work(&pace->work_ms, &pace->runs, work_ms, RUN_WEIGHT);
    add_work(&service->work_ms, &service->runs, work_ms, SERVICE_RUN_WEIGHT);
}

void
Pace_OnAsked(PaceService *service, double answer_ms)
{
    double before =
        service->answer_ms > 0 ? service->answer_ms : ANSWER_DEFAULT_MS;
    service->answer_ms = before + ANSWER_WEIGHT * (answer_ms - before);
}

/* Returns the expected run time at the usual speed; 0 before the first run, as
 * a server that is assumed to be like the others would not be tried. */
static double
work_of(const Pace *pace, const PaceService *service)
{
    if (pace->runs == 0) {
        return 0;
    }
    return (pace->runs * pace->work_ms + RUN_PRIOR * service->work_ms) /
           ((double)pace->runs + RUN_PRIOR);
}

double
Pace_RunMs(const Pace *pace, const PaceService *service, TimeUs now)
{
    return work_of(pace, service) * Pace_Expected(pace, service, now) /
           PACE_USUAL;
}

double
Pace_SpreadMs(uint64_t hash)
{
    return SPREAD_MAX_MS * (double)(hash % 1024) / 1024;
}

/* Returns the time that the answer of one server is expected to save.
 * @param best_cost   cost of the server that is chosen without an answer.
 * @param other_cost  least cost of the other servers. */
static double
expected_gain(const PaceOption *option, bool is_best, double best_cost,
              double other_cost, const PaceService *service, TimeUs now)
{
    double excess = expected_excess(option->pace, service, now);
    double slow = CLAMP(excess / service->slow_excess, 0, 1);
    double usual_ms = option->run_ms / (1 + excess);
    double slow_ms = usual_ms * (1 + service->slow_excess);
    if (is_best) {
        return slow * MAX(slow_ms + option->other_ms - other_cost, 0);
    }
    return (1 - slow) * MAX(best_cost - usual_ms - option->other_ms, 0);
}

int
Pace_ChooseQuestion(const PaceOption *options, size_t count,
                    const PaceService *service, TimeUs now)
{
    if (service->slow_excess <= 0 || count < 2) {
        return -1;
    }
    size_t best = 0;
    double best_cost = INFINITY;
    double other_cost = INFINITY;
    for (size_t i = 0; i < count; i++) {
        double cost = options[i].run_ms + options[i].other_ms;
        if (cost < best_cost) {
            other_cost = best_cost;
            best_cost = cost;
            best = i;
        }
        else {
            other_cost = MIN(other_cost, cost);
        }
    }
    double answer_ms =
        service->answer_ms > 0 ? service->answer_ms : ANSWER_DEFAULT_MS;
    double most = answer_ms + QUESTION_PRICE_MS;
    int chosen = -1;
    for (size_t i = 0; i < count; i++) {
        if (options[i].pace == NULL || !Pace_IsKnown(options[i].pace)) {
            continue;
        }
        double gain = expected_gain(&options[i], i == best, best_cost,
                                    other_cost, service, now);
        if (SAVED_WEIGHT * gain > most) {
            most = SAVED_WEIGHT * gain;
            chosen = (int)i;
        }
    }
    return chosen;
}
