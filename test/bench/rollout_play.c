/** @file
 * Simulation of the answers of a roll-out.
 */
#include "rollout_play.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Gateways report every 250 ms. */
#define TICK_US (250 * US_PER_MS)
#define TICKS ((int)(PLAY_DEADLINE_US / TICK_US))
/* Callers' time; an answer that takes longer is a failure without a time. */
#define CALLER_MS 5000.0
/* Run times: even in the logarithm over a hundredfold, with some noise. */
#define SIZE_SPREAD 4.605
#define NOISE 0.3
/* Time of a failure / time of the run that failed. */
#define FAILURE_TIME 0.1
#define FAULT_FROM_S 3.0
#define FAULT_UNTIL_S 8.0
#define OVERLOAD_FAILURES 0.4
#define OVERLOAD_LOG_SLOWNESS 1.0986 /* 3 times */
#define PACE_S 0.6
#define PACE_LOG_SLOWNESS 0.9163 /* 2.5 times */
#define PACE_PART 0.15

static const char *const route_names[PLAY_ROUTES] = {
    "/v1/chat", "/v1/complete", "/v1/embed", "/v1/rank", "/v1/batch"};
static const double route_parts[PLAY_ROUTES] = {0.3, 0.25, 0.2, 0.15, 0.1};
/* Shortest run times; the longest, a hundred times as long, are within the
 * latency objectives of 0.8 to 2 s. */
static const double route_ms[PLAY_ROUTES] = {8, 12, 6, 10, 15};
/* Logarithms of 1, 1.2 and 1.5. */
static const double class_log_slowness[ROLLOUT_LOAD_CLASSES] = {0, 0.1823,
                                                                0.4055};

typedef struct Play {
    const PlayCase *play;
    uint64_t state;
    double phase_s;  /* of the load */
    double next_s;   /* arrival */
    double load;     /* fraction of the slots that are taken */
    double share;    /* of the candidate */
    bool slow_epoch; /* of the uneven candidate server */
    int epoch;
    double log_route_ms[PLAY_ROUTES];
    double fault_log_slowness;
    RolloutSample samples[TICKS + 1][PLAY_ROUTES][2][ROLLOUT_LOAD_CLASSES];
} Play;

/* SplitMix64; returns a number in [0, 1). */
static double
draw(Play *run)
{
    uint64_t z = run->state += 0x9e3779b97f4a7c15;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    z ^= z >> 31;
    return (double)(z >> 11) * 0x1p-53;
}

bool
Play_IsBad(const PlayCase *play)
{
    return play->more > 0 || play->slowness > 1;
}

static int
draw_route(Play *run)
{
    double left = draw(run);
    int route = 0;
    while (route < PLAY_ROUTES - 1 && left >= route_parts[route]) {
        left -= route_parts[route++];
    }
    return route;
}

/* The load swings between a fifth and nine tenths of the slots. */
static double
load_at(const Play *run, double at_s)
{
    return 0.55 + 0.35 * sin((at_s + run->phase_s) * 2 * M_PI / 7);
}

static unsigned
draw_class(Play *run)
{
    double busy = run->load + 0.5 * (draw(run) - 0.5);
    return busy < 0.5 ? 0 : (busy < 1 ? 1 : 2);
}

/* Failure rate, and ln of the slowness, of one request. */
typedef struct Odds {
    double failures;
    double log_slowness;
} Odds;

static void
add_old_fault(Odds *odds, OldFault fault, RolloutSide side, double at_s)
{
    if (at_s < FAULT_FROM_S || at_s >= FAULT_UNTIL_S) {
        return;
    }
    bool is_hit = side == ROLLOUT_OLD || fault == POOL_OVERLOADED;
    if (is_hit && (fault == OLD_OVERLOADED || fault == POOL_OVERLOADED)) {
        odds->failures += OVERLOAD_FAILURES;
        odds->log_slowness += OVERLOAD_LOG_SLOWNESS;
    }
    if (is_hit && fault == OLD_CRASHING && fmod(at_s, 1) < 0.5) {
        odds->failures = 1;
    }
}

static Odds
odds_of(Play *run, int route, RolloutSide side, unsigned class, double at_s)
{
    const PlayCase *play = run->play;
    Odds odds = {.failures = play->base,
                 .log_slowness = class_log_slowness[class]};
    add_old_fault(&odds, play->old_fault, side, at_s);
    if (side == ROLLOUT_OLD) {
        /* Many old servers, which are slow at different times. */
        bool slow = play->uneven && draw(run) < PACE_PART;
        odds.log_slowness += slow ? PACE_LOG_SLOWNESS : 0;
        return odds;
    }
    if ((play->route == PLAY_ANY_ROUTE || play->route == route) &&
        class >= play->load_class && at_s >= play->from_s)
    {
        odds.failures += play->more;
        odds.log_slowness += run->fault_log_slowness;
    }
    if (play->uneven) {
        int epoch = (int)(at_s / PACE_S);
        if (epoch != run->epoch) {
            run->epoch = epoch;
            run->slow_epoch = draw(run) < PACE_PART;
        }
        odds.log_slowness += run->slow_epoch ? PACE_LOG_SLOWNESS : 0;
    }
    return odds;
}

/* Runs one request and adds its answer to the report after its end. */
static void
run_request(Play *run, double at_s)
{
    int route = draw_route(run);
    RolloutSide side =
        draw(run) < PLAY_SHARE ? ROLLOUT_CANDIDATE : ROLLOUT_OLD;
    unsigned class = draw_class(run);
    Odds odds = odds_of(run, route, side, class, at_s);
    double noise = NOISE * 3.4641 * (draw(run) - 0.5);
    double log_ms = run->log_route_ms[route] + odds.log_slowness +
                    SIZE_SPREAD * draw(run) + noise;
    double run_ms = exp(log_ms);
    bool failed = draw(run) < odds.failures;
    if (failed) {
        run_ms *= FAILURE_TIME;
    }
    bool late = run_ms > CALLER_MS;
    double end_s = at_s + MIN(run_ms, CALLER_MS) / 1000 + 0.25 * draw(run);
    int tick = (int)(end_s * (double)US_PER_S / (double)TICK_US) + 1;
    if (tick > TICKS) {
        return;
    }
    RolloutSample *sample = &run->samples[tick][route][side][class];
    sample->answers++;
    if (failed || late) {
        sample->failures++;
    }
    else {
        sample->timed++;
        sample->log_sum += log_ms;
        sample->log_square_sum += log_ms * log_ms;
    }
}

static void
report(const Play *run, RolloutTest *test, int tick, TimeUs now)
{
    for (int r = 0; r < PLAY_ROUTES; r++) {
        for (int side = 0; side < 2; side++) {
            for (unsigned c = 0; c < ROLLOUT_LOAD_CLASSES; c++) {
                RolloutTest_Add(test, route_names[r], side, c,
                                &run->samples[tick][r][side][c], now);
            }
        }
    }
}

PlayOutcome
Play_Run(const PlayCase *play, uint64_t seed)
{
    static Play run;
    memset(&run, 0, sizeof(run));
    run.play = play;
    run.state = seed * 0x2545f4914f6cdd1d;
    run.phase_s = 7 * draw(&run);
    run.epoch = -1;
    run.fault_log_slowness = play->slowness > 0 ? log(play->slowness) : 0;
    for (int r = 0; r < PLAY_ROUTES; r++) {
        run.log_route_ms[r] = log(route_ms[r]);
    }
    TimeUs begun_at = 1000 * US_PER_S;
    RolloutTest *test = RolloutTest_New(begun_at, begun_at + PLAY_DEADLINE_US);
    PlayOutcome outcome = {.at = PLAY_DEADLINE_US};
    for (int tick = 1; tick <= TICKS; tick++) {
        TimeUs now = tick * TICK_US;
        run.load = load_at(&run, (double)now / (double)US_PER_S);
        while (run.next_s < (double)now / (double)US_PER_S) {
            run_request(&run, run.next_s);
            run.next_s += -log(1 - draw(&run)) / PLAY_RATE;
        }
        report(&run, test, tick, begun_at + now);
        RolloutReason reason;
        outcome.last = RolloutTest_Judge(test, begun_at + now, &reason);
        if (outcome.first == ROLLOUT_UNDECIDED &&
            outcome.last != outcome.first) {
            outcome.first = outcome.last;
            outcome.at = now;
            outcome.reason = reason;
            run.next_s = INFINITY; /* later requests are not compared */
        }
        if (outcome.last == ROLLOUT_BAD) {
            break;
        }
    }
    RolloutTest_Free(test);
    return outcome;
}

/* Returns the candidate's answers to which the fault applies. */
static double
answers_of(const PlayCase *play)
{
    double seconds =
        (double)PLAY_DEADLINE_US / (double)US_PER_S - play->from_s;
    double part = play->route == PLAY_ANY_ROUTE ? 1 : route_parts[play->route];
    double class_part = play->load_class > 0 ? 0.6 : 1;
    return PLAY_RATE * PLAY_SHARE * seconds * part * class_part;
}

/* Returns the error of the best test of a binomial count, with a randomized
 * threshold at which both errors are equal. */
static double
least_failure_error(double answers, double good_rate, double bad_rate)
{
    int count = (int)answers;
    double reject = 1; /* probability of rejecting a good one */
    double accept = 0; /* of accepting a bad one */
    double good_term = pow(1 - good_rate, count);
    double bad_term = pow(1 - bad_rate, count);
    for (int i = 0; i <= count; i++) {
        double next_reject = reject - good_term;
        double next_accept = accept + bad_term;
        if (next_accept >= next_reject) {
            double part = (reject - accept) / (good_term + bad_term);
            return accept + part * bad_term;
        }
        reject = next_reject;
        accept = next_accept;
        double odds = (double)(count - i) / (i + 1);
        good_term *= odds * good_rate / (1 - good_rate);
        bad_term *= odds * bad_rate / MAX(1 - bad_rate, 1e-9);
    }
    return 0;
}

double
Play_LeastError(const PlayCase *play)
{
    double answers = answers_of(play);
    if (play->slowness > 1) {
        double variance = SIZE_SPREAD * SIZE_SPREAD / 12 + NOISE * NOISE;
        double z = log(play->slowness) * sqrt(answers / variance) / 2;
        return 0.5 * erfc(z * M_SQRT1_2);
    }
    if (play->more > 0) {
        double rate = MIN(play->base + play->more, 1 - 1e-9);
        return least_failure_error(answers, play->base, rate);
    }
    return 0;
}
