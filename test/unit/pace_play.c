/** @file
 * Play of plain requests at servers whose speed changes.
 */
#include "pace_play.h"

#include <math.h>

#include "sched/balancer.h"
#include "sched/pace.h"

#define TICK_US 100
#define SLOTS 6
#define RUN_MS 60
#define SLOW_FACTOR 2.5
#define SLOW_MS 600
#define WAVE_S 17
#define ZONE_WAY_US 700
#define REGION_WAY_US 30000
#define OWN_WAY_US 300
/* Of the gateway (service_queue.c). */
#define LOAD_MAX 1.5
#define RETRY_US (50 * US_PER_MS)
#define ASKS_MAX 3
#define REPORT_DECAY_US (1 * US_PER_S)
#define RUN_WEIGHT 0.1
/* A server's load is averaged over the length of a slow phase: over much less,
 * the random arrivals alone exceed 2 slots. */
#define WINDOW_US (600 * US_PER_MS)
/* Time before measurements begin: the gateways have no figures at first. */
#define WARM_UP_US (20 * US_PER_S)

typedef enum Stage {
    AT_GATEWAY, /* until next_at: waits, or asks a server */
    TO_SERVER,
    IN_QUEUE,
    RUNNING,
    TO_GATEWAY,
} Stage;

typedef struct Request {
    Stage stage;
    int gateway;
    int server;
    int asked; /* server that is asked; -1 if none */
    int asks;
    TimeUs asked_at;
    TimeUs received_at;
    TimeUs sent_at;
    TimeUs next_at;
    double work_us;
    double figure; /* in the answer; reported is its load */
    unsigned reported;
} Request;

typedef struct Server {
    double speed;
    bool slow;
    TimeUs change_at;
    GQueue waiting;
    unsigned running;
    double load_sum;  /* of the ticks of a window */
    double share_sum; /* its speed in the same ticks, or 0 while it is slow */
} Server;

/* What a gateway knows of a server. */
typedef struct View {
    Pace pace;
    double mean_ms;
    unsigned running;
    unsigned others;
    TimeUs others_at;
} View;

typedef struct Gate {
    int zone;
    PaceService service;
    View views[PLAY_SERVERS];
} Gate;

typedef struct Play {
    const PlayOptions *options;
    GRand *random;
    TimeUs now;
    Server servers[PLAY_SERVERS];
    Gate gates[PLAY_GATEWAYS];
    GPtrArray *active;
    GArray *times; /* double, ms */
    PlayResult result;
} Play;

static unsigned
distance_of(int a, int b)
{
    return a == b ? 0 : a / 3 == b / 3 ? 1 : 2;
}

static TimeUs
way_us(int zone, int server)
{
    static const TimeUs ways[] = {OWN_WAY_US, ZONE_WAY_US, REGION_WAY_US};
    return ways[distance_of(zone, server)];
}

static double
gauss(GRand *random)
{
    double u = 1 - g_rand_double(random);
    return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
}

static double
slowness_of(const Server *server)
{
    return (server->slow ? SLOW_FACTOR : 1) / server->speed;
}

static double
figure_of(const Play *play, const Server *server)
{
    return 100 * (play->options->figure_shows_speed
                      ? slowness_of(server)
                      : slowness_of(server) * server->speed);
}

static void
change_speed(Play *play, Server *server)
{
    double fraction = play->options->slow_fraction;
    if (fraction <= 0 || play->now < server->change_at) {
        return;
    }
    server->slow = server->change_at != 0 && !server->slow;
    double usual_ms = SLOW_MS * (1 - fraction) / fraction;
    double ms =
        server->slow
            ? g_rand_double_range(play->random, 0.5 * SLOW_MS, 1.5 * SLOW_MS)
            : -log(1 - g_rand_double(play->random)) * usual_ms;
    server->change_at = play->now + 1 + (TimeUs)(ms * US_PER_MS);
}

static double
load_of(const View *view, TimeUs now)
{
    double age = (double)(now - view->others_at) / REPORT_DECAY_US;
    double others = age < 1 ? view->others * (1 - age) : 0;
    return (view->running + others) / SLOTS;
}

static void
fill_candidates(const Play *play, const Request *request,
                BalancerCandidate *candidates, PaceOption *options)
{
    const Gate *gate = &play->gates[request->gateway];
    bool figures = play->options->policy != PLAY_MEANS;
    for (int s = 0; s < PLAY_SERVERS; s++) {
        const View *view = &gate->views[s];
        candidates[s] = (BalancerCandidate){
            .usable = true,
            .distance = distance_of(gate->zone, s),
            .load = load_of(view, play->now),
            .expected_run_ms = view->mean_ms,
        };
        if (figures) {
            candidates[s].expected_run_ms =
                Pace_RunMs(&view->pace, &gate->service, play->now);
            candidates[s].spread_ms = Pace_SpreadMs(
                (uint64_t)(request->gateway * 7919 + s * 104729) *
                    2654435761U >>
                16);
        }
        options[s] = (PaceOption){
            .pace = candidates[s].distance < 2 ? &view->pace : NULL,
            .run_ms = candidates[s].expected_run_ms,
            .other_ms = Balancer_CostMs(&candidates[s]) -
                        candidates[s].expected_run_ms,
        };
    }
}

static void
dispatch(Play *play, Request *request)
{
    Gate *gate = &play->gates[request->gateway];
    BalancerCandidate candidates[PLAY_SERVERS];
    PaceOption options[PLAY_SERVERS];
    fill_candidates(play, request, candidates, options);
    if (play->options->policy == PLAY_ASKS && request->asks < ASKS_MAX) {
        int asked = Pace_ChooseQuestion(options, PLAY_SERVERS, &gate->service,
                                        play->now);
        if (asked >= 0) {
            request->asked = asked;
            request->asks++;
            request->asked_at = play->now;
            request->next_at = play->now + 2 * way_us(gate->zone, asked);
            request->figure = figure_of(play, &play->servers[asked]);
            request->reported = play->servers[asked].running +
                                play->servers[asked].waiting.length;
            play->result.asked++;
            return;
        }
    }
    int best = Balancer_ChooseEndpoint(candidates, PLAY_SERVERS, LOAD_MAX);
    if (best < 0) {
        request->next_at = play->now + RETRY_US;
        return;
    }
    request->server = best;
    request->stage = TO_SERVER;
    request->sent_at = play->now;
    request->next_at = play->now + way_us(gate->zone, best);
    gate->views[best].running++;
}

static void
apply_report(Play *play, const Request *request, int server)
{
    Gate *gate = &play->gates[request->gateway];
    View *view = &gate->views[server];
    view->others = request->reported > view->running
                       ? request->reported - view->running
                       : 0;
    view->others_at = play->now;
    Pace_OnReport(&view->pace, &gate->service, request->figure, play->now);
}

static void
on_reply_to_question(Play *play, Request *request)
{
    apply_report(play, request, request->asked);
    Pace_OnAsked(&play->gates[request->gateway].service,
                 (double)(play->now - request->asked_at) / US_PER_MS);
    request->asked = -1;
}

static void
start_runs(Server *server)
{
    while (server->running < SLOTS && server->waiting.length > 0) {
        Request *request = g_queue_pop_head(&server->waiting);
        request->stage = RUNNING;
        server->running++;
    }
}

static void
arrive(Play *play, Request *request)
{
    Server *server = &play->servers[request->server];
    request->stage = IN_QUEUE;
    g_queue_push_tail(&server->waiting, request);
    if (play->now >= WARM_UP_US) {
        play->result.on_slow += server->slow;
        play->result.parts[request->server]++;
    }
    start_runs(server);
}

static void
run(Play *play, Request *request)
{
    Server *server = &play->servers[request->server];
    request->work_us -= TICK_US / slowness_of(server);
    if (request->work_us > 0) {
        return;
    }
    server->running--;
    request->figure = figure_of(play, server);
    request->reported = server->running + server->waiting.length;
    request->stage = TO_GATEWAY;
    request->next_at = play->now + way_us(play->gates[request->gateway].zone,
                                          request->server);
    start_runs(server);
}

static void
finish(Play *play, Request *request)
{
    Gate *gate = &play->gates[request->gateway];
    View *view = &gate->views[request->server];
    double run_ms = (double)(play->now - request->sent_at) / US_PER_MS;
    view->running--;
    apply_report(play, request, request->server);
    view->mean_ms =
        view->mean_ms <= 0
            ? run_ms
            : view->mean_ms + RUN_WEIGHT * (run_ms - view->mean_ms);
    Pace_OnRun(&view->pace, &gate->service, run_ms, play->now);
    if (request->received_at >= WARM_UP_US) {
        double ms = (double)(play->now - request->received_at) / US_PER_MS;
        g_array_append_val(play->times, ms);
        play->result.late += ms > PLAY_OBJECTIVE_MS;
    }
}

/* Steps one request. @return false when it has ended. */
static bool
step(Play *play, Request *request)
{
    if (request->stage == RUNNING) {
        run(play, request);
        return true;
    }
    if (request->stage == IN_QUEUE || play->now < request->next_at) {
        return true;
    }
    if (request->stage == TO_GATEWAY) {
        finish(play, request);
        return false;
    }
    if (request->stage == TO_SERVER) {
        arrive(play, request);
        return true;
    }
    if (request->asked >= 0) {
        on_reply_to_question(play, request);
    }
    dispatch(play, request);
    return true;
}

static void
add_requests(Play *play)
{
    const PlayOptions *options = play->options;
    double seconds = (double)play->now / US_PER_S;
    for (int g = 0; g < PLAY_GATEWAYS; g++) {
        double phase =
            2 * G_PI *
            (seconds / WAVE_S + (double)play->gates[g].zone / PLAY_SERVERS);
        double rate =
            options->rate / PLAY_GATEWAYS * (1 + options->swing * sin(phase));
        if (g_rand_double(play->random) >= rate * TICK_US / US_PER_S) {
            continue;
        }
        Request *request = g_new0(Request, 1);
        double sigma = options->sigma;
        request->gateway = g;
        request->asked = -1;
        request->received_at = play->now;
        request->next_at = play->now;
        request->work_us =
            RUN_MS * US_PER_MS *
            exp(sigma * gauss(play->random) - sigma * sigma / 2);
        g_ptr_array_add(play->active, request);
    }
}

/* Compares the loads of the servers of a region in the window that ends with
 * their shares: slow servers are to be avoided, so the others divide the load
 * in proportion to their speeds. */
static void
measure_swing(Play *play, const Server *servers)
{
    double load = 0;
    double speed = 0;
    for (int s = 0; s < PLAY_SERVERS / 2; s++) {
        load += servers[s].load_sum;
        speed += servers[s].share_sum;
    }
    for (int s = 0; s < PLAY_SERVERS / 2; s++) {
        double share = speed > 0 ? load * servers[s].share_sum / speed
                                 : load / (PLAY_SERVERS / 2.0);
        double swing = fabs(servers[s].load_sum - share) * TICK_US / WINDOW_US;
        play->result.most_swing = MAX(play->result.most_swing, swing);
    }
}

static void
measure_loads(Play *play)
{
    for (int s = 0; s < PLAY_SERVERS; s++) {
        Server *server = &play->servers[s];
        server->load_sum += server->running + server->waiting.length;
        server->share_sum += server->slow ? 0 : server->speed;
    }
    if (play->now % WINDOW_US != 0) {
        return;
    }
    if (play->now > WARM_UP_US) {
        measure_swing(play, play->servers);
        measure_swing(play, play->servers + PLAY_SERVERS / 2);
    }
    for (int s = 0; s < PLAY_SERVERS; s++) {
        play->servers[s].load_sum = 0;
        play->servers[s].share_sum = 0;
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double difference = *(const double *)a - *(const double *)b;
    return difference < 0 ? -1 : difference > 0;
}

static void
sum_up(Play *play)
{
    PlayResult *result = &play->result;
    result->requests = play->times->len;
    double sum = 0;
    qsort(play->times->data, play->times->len, sizeof(double),
          compare_doubles);
    for (guint i = 0; i < play->times->len; i++) {
        sum += g_array_index(play->times, double, i);
    }
    result->mean_ms = sum / play->times->len;
    result->p99_ms =
        g_array_index(play->times, double, play->times->len * 99 / 100);
    double arrived = 0;
    for (int s = 0; s < PLAY_SERVERS; s++) {
        arrived += result->parts[s];
    }
    for (int s = 0; s < PLAY_SERVERS; s++) {
        result->parts[s] /= arrived;
    }
    double holding[PLAY_GATEWAYS];
    for (int g = 0; g < PLAY_GATEWAYS; g++) {
        holding[g] =
            (double)Pace_HoldingTime(&play->gates[g].service) / US_PER_MS;
    }
    qsort(holding, PLAY_GATEWAYS, sizeof(double), compare_doubles);
    result->holding_ms = holding[PLAY_GATEWAYS / 2];
}

static void
step_all(Play *play)
{
    for (int s = 0; s < PLAY_SERVERS; s++) {
        change_speed(play, &play->servers[s]);
    }
    add_requests(play);
    for (guint i = 0; i < play->active->len;) {
        Request *request = play->active->pdata[i];
        if (step(play, request)) {
            i++;
            continue;
        }
        g_free(request);
        g_ptr_array_remove_index_fast(play->active, i);
    }
    measure_loads(play);
}

PlayResult
PacePlay_Run(const PlayOptions *options)
{
    Play *play = g_new0(Play, 1);
    play->options = options;
    play->random = g_rand_new_with_seed(options->seed);
    play->active = g_ptr_array_new();
    play->times = g_array_new(FALSE, FALSE, sizeof(double));
    for (int s = 0; s < PLAY_SERVERS; s++) {
        Server *server = &play->servers[s];
        server->speed = options->speeds == NULL ? 1 : options->speeds[s];
        g_queue_init(&server->waiting);
    }
    for (int g = 0; g < PLAY_GATEWAYS; g++) {
        play->gates[g].zone = g % PLAY_SERVERS;
    }
    for (play->now = TICK_US; play->now < options->seconds * US_PER_S;
         play->now += TICK_US)
    {
        step_all(play);
    }
    sum_up(play);
    PlayResult result = play->result;
    for (int s = 0; s < PLAY_SERVERS; s++) {
        g_queue_clear(&play->servers[s].waiting);
    }
    for (guint i = 0; i < play->active->len; i++) {
        g_free(play->active->pdata[i]);
    }
    g_ptr_array_unref(play->active);
    g_array_unref(play->times);
    g_rand_free(play->random);
    g_free(play);
    return result;
}
