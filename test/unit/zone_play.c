/** @file
 * Play of requests at the gateways of several zones.
 */
#include "zone_play.h"

#include <math.h>

#include <glib.h>

#include "sched/balancer.h"

#define GATEWAYS 38
#define TICK_US (1 * US_PER_MS)
#define RUN_MS 60
#define SIGMA 0.4
#define OBJECTIVE_MS 400
#define DEMAND_SLOTS 12
#define WAVE_S 17
/* Age of the loads that gateways see. */
#define VIEW_TICKS 200
#define WARM_UP_US (5 * US_PER_S)
#define WINDOW_US (1 * US_PER_S)

typedef struct Run {
    TimeUs received_at;
    TimeUs at; /* arrives at the zone, or ends there */
    bool running;
    int from;
    int to;
} Run;

typedef struct Zone {
    unsigned running;
    GQueue waiting;
    double view[VIEW_TICKS]; /* loads of the last ticks */
    double load_sum;
    double slots;
} Zone;

typedef struct Play {
    const ZonePlayOptions *options;
    GRand *random;
    TimeUs now;
    Zone zones[ZONE_PLAY_ZONES];
    ZoneChoice *choices[GATEWAYS];
    ZoneLink links[GATEWAYS];
    GPtrArray *active;
    GArray *times;
    double link_mb[2];
    ZonePlayResult result;
} Play;

static const char *const names[ZONE_PLAY_ZONES] = {"a1", "a2", "a3",
                                                   "b1", "b2", "b3"};

static unsigned
distance_of(int a, int b)
{
    return a == b ? 0 : a / 3 == b / 3 ? 1 : 2;
}

static TimeUs
way_us(int a, int b)
{
    static const TimeUs ways[] = {300, 700, 30000};
    return ways[distance_of(a, b)];
}

static bool
is_lost(const Play *play, int zone)
{
    return zone == play->options->lost_zone &&
           play->now >= play->options->lost_s * US_PER_S;
}

static size_t
fill_zones(const Play *play, int from, ZoneServers *zones, int *indexes)
{
    size_t count = 0;
    long tick = (long)(play->now / TICK_US);
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        const Zone *zone = &play->zones[z];
        /* A lost zone is known after half a second. */
        if (zone->slots < 1 ||
            (is_lost(play, z) &&
             play->now > play->options->lost_s * US_PER_S + US_PER_S / 2))
        {
            continue;
        }
        indexes[count] = z;
        zones[count++] = (ZoneServers){
            .zone = names[z],
            .distance = distance_of(from, z),
            .slots = zone->slots,
            .load = zone->view[(tick + 1) % VIEW_TICKS],
            .run_ms = RUN_MS,
        };
    }
    return count;
}

static int
pick_by_fixed_costs(const ZoneServers *zones, size_t count)
{
    BalancerCandidate candidates[ZONE_PLAY_ZONES];
    for (size_t i = 0; i < count; i++) {
        candidates[i] = (BalancerCandidate){
            .usable = true,
            .distance = zones[i].distance,
            .load = zones[i].load,
            .expected_run_ms = zones[i].run_ms,
        };
    }
    return Balancer_ChooseEndpoint(candidates, count, HUGE_VAL);
}

static void
send_request(Play *play, int gateway, int from)
{
    const ZonePlayOptions *options = play->options;
    ZoneServers zones[ZONE_PLAY_ZONES];
    int indexes[ZONE_PLAY_ZONES];
    size_t count = fill_zones(play, from, zones, indexes);
    int picked;
    if (options->fixed) {
        picked = pick_by_fixed_costs(zones, count);
    }
    else {
        ZoneRequest request = {
            .hash = g_rand_int(play->random),
            .megabytes = options->megabytes,
            .objective_ms = OBJECTIVE_MS,
        };
        ZoneReason reason;
        ZoneChoice_Update(play->choices[gateway], &options->transfer, zones,
                          count, play->now);
        picked =
            ZoneChoice_Pick(play->choices[gateway], &options->transfer, zones,
                            count, &request, &play->links[gateway],
                            options->transfer.region_mbit_s / (GATEWAYS / 2.0),
                            play->now, &reason);
    }
    int to = indexes[picked];
    if (distance_of(from, to) == 2) {
        ZoneLink_OnSent(&play->links[gateway], options->megabytes, play->now);
        play->link_mb[from / 3] += options->megabytes;
    }
    if (play->now > WARM_UP_US) {
        play->result.sent[from][to]++;
        play->result.to_lost +=
            is_lost(play, to) && play->now > (options->lost_s + 1) * US_PER_S;
    }
    Run *run = g_new0(Run, 1);
    *run = (Run){
        .received_at = play->now,
        .at = play->now + way_us(from, to),
        .from = from,
        .to = to,
    };
    g_ptr_array_add(play->active, run);
}

static double
run_us(GRand *random)
{
    double u = 1 - g_rand_double(random);
    double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(random));
    return RUN_MS * US_PER_MS * exp(SIGMA * normal - SIGMA * SIGMA / 2);
}

static void
start_runs(Play *play, Zone *zone)
{
    while (zone->running < zone->slots && zone->waiting.length > 0) {
        Run *run = g_queue_pop_head(&zone->waiting);
        zone->running++;
        run->running = true;
        run->at = play->now + (TimeUs)run_us(play->random);
        g_ptr_array_add(play->active, run);
    }
}

static void
finish(Play *play, const Run *run)
{
    double ms =
        (double)(play->now + way_us(run->from, run->to) - run->received_at) /
        US_PER_MS;
    if (run->received_at > WARM_UP_US) {
        g_array_append_val(play->times, ms);
        play->result.late += ms > OBJECTIVE_MS;
        play->result.mean_ms += ms;
    }
}

static void
step_runs(Play *play)
{
    for (guint i = 0; i < play->active->len;) {
        Run *run = play->active->pdata[i];
        if (play->now < run->at) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(play->active, i);
        Zone *zone = &play->zones[run->to];
        if (!run->running) {
            g_queue_push_tail(&zone->waiting, run);
        }
        else {
            zone->running--;
            finish(play, run);
            g_free(run);
        }
    }
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        start_runs(play, &play->zones[z]);
    }
}

static void
measure(Play *play)
{
    long tick = (long)(play->now / TICK_US);
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        Zone *zone = &play->zones[z];
        double load =
            zone->slots < 1
                ? 0
                : (zone->running + zone->waiting.length) / zone->slots;
        zone->view[tick % VIEW_TICKS] = load;
        zone->load_sum += load;
    }
    if (play->now % WINDOW_US != 0) {
        return;
    }
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        if (play->now > WARM_UP_US) {
            play->result.most_load =
                MAX(play->result.most_load,
                    play->zones[z].load_sum * TICK_US / WINDOW_US);
        }
        play->zones[z].load_sum = 0;
    }
    for (int r = 0; r < 2; r++) {
        play->result.most_mbit_s =
            MAX(play->result.most_mbit_s, play->link_mb[r] * 8);
        play->link_mb[r] = 0;
    }
}

static void
add_requests(Play *play)
{
    const ZonePlayOptions *options = play->options;
    double seconds = (double)play->now / US_PER_S;
    for (int g = 0; g < GATEWAYS; g++) {
        int from = g % ZONE_PLAY_ZONES;
        int gateways = GATEWAYS / ZONE_PLAY_ZONES +
                       (from < GATEWAYS % ZONE_PLAY_ZONES ? 1 : 0);
        double phase =
            2 * G_PI * (seconds / WAVE_S + (double)from / ZONE_PLAY_ZONES);
        double rate = options->demand[from] * DEMAND_SLOTS * 1000 / RUN_MS /
                      gateways * (1 + options->swing * sin(phase));
        if (g_rand_double(play->random) < rate * TICK_US / US_PER_S) {
            send_request(play, g, from);
        }
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double difference = *(const double *)a - *(const double *)b;
    return difference < 0 ? -1 : difference > 0;
}

static void
free_play(Play *play)
{
    for (int g = 0; g < GATEWAYS; g++) {
        ZoneChoice_Free(play->choices[g]);
    }
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        g_queue_clear_full(&play->zones[z].waiting, g_free);
    }
    for (guint i = 0; i < play->active->len; i++) {
        g_free(play->active->pdata[i]);
    }
    g_ptr_array_unref(play->active);
    g_array_unref(play->times);
    g_rand_free(play->random);
    g_free(play);
}

ZonePlayResult
ZonePlay_Run(const ZonePlayOptions *options)
{
    Play *play = g_new0(Play, 1);
    play->options = options;
    play->random = g_rand_new_with_seed(options->seed);
    play->active = g_ptr_array_new();
    play->times = g_array_new(FALSE, FALSE, sizeof(double));
    for (int g = 0; g < GATEWAYS; g++) {
        play->choices[g] = ZoneChoice_New();
    }
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        play->zones[z].slots = options->slots[z];
        g_queue_init(&play->zones[z].waiting);
    }
    for (play->now = TICK_US; play->now < options->seconds * US_PER_S;
         play->now += TICK_US)
    {
        add_requests(play);
        step_runs(play);
        measure(play);
    }
    ZonePlayResult result = play->result;
    result.requests = play->times->len;
    result.mean_ms /= play->times->len;
    qsort(play->times->data, play->times->len, sizeof(double),
          compare_doubles);
    result.p99_ms =
        g_array_index(play->times, double, play->times->len * 99 / 100);
    free_play(play);
    return result;
}
