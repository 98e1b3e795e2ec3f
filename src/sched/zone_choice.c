/** @file
 * Choice of the zone that serves a request.
 */
#include "sched/zone_choice.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Round trips between zones and between regions, in milliseconds: one-way
 * latencies are 0.5 to 0.9 and 30 ms. */
#define ZONE_TRIP_MS 1.4
#define REGION_TRIP_MS 60
/* Part of the run time by which a request runs longer on a server whose slots
 * are almost all in use, as in the balancer. */
#define BATCHING_SLOWDOWN 0.25
/* Time constants of a zone's load, of its trend, and of the noise of its cost.
 */
#define LOAD_US (150 * US_PER_MS)
#define TREND_US (250 * US_PER_MS)
#define NOISE_US (5 * US_PER_S)
/* Time by which loads are predicted: the age of reports and the time until a
 * changed share shows in them. A zone at twice its capacity gains a load of 1
 * in one run time, so that a share that follows the load alone overshoots. */
#define LEAD_S 0.4
/* Change of a share in a second for a gain of one run time, and the largest
 * gain that counts. */
#define SHARE_PER_S 0.25
#define GAIN_MAX 4
/* Longest time between two updates that counts. */
#define STEP_MAX_S 0.5
/* Multiples of the noise of a difference at which a share begins, and above
 * which it grows, else it shrinks. Of normal noise, 1 in 700 values exceeds
 * the first. */
#define BEGIN_NOISES 3
#define END_NOISES 1
/* Least gain at which a share begins, as a part of the run time. With 2, 4 of
 * 500,000 requests left their zone under even demand. */
#define BEGIN_PART 2.5
/* Longest such gain in milliseconds: runs of engines take seconds, more than
 * the objectives of their callers. */
#define BEGIN_MAX_MS 150
/* Least and largest noise, as parts of the run time. Beyond the largest, costs
 * differ since load moves, not by chance. */
#define NOISE_MIN_PART 0.05
#define NOISE_MAX_PART 0.5
/* Time constant of the shares while the own zone has no server, and the
 * difference of costs, as a part of the run time, at which the cheaper of two
 * zones gets 2.7 times as much. */
#define AWAY_US (100 * US_PER_MS)
#define AWAY_SPREAD_PART 0.25
/* A share below this is none. */
#define SHARE_MIN 0.005
/* Loads between which one more request begins to cost the others a whole run
 * time, as it makes them wait. */
#define FULL_FROM 0.8
#define FULL_TO 1.2
/* Ms lost by a caller for each ms beyond its objective, besides that ms. */
#define LATE_WEIGHT 2
/* A rank's time is worth this part of the next higher one's. */
#define RANK_VALUE 0.7
/* Time over which bytes on the link are averaged, and the part of the bound
 * that is used: the rest is for frames and for arrivals in lumps. */
#define LINK_US (1 * US_PER_S)
#define LINK_PART 0.8

typedef struct ZoneState {
    char zone[ZONE_NAME_BYTES];
    double load;    /* moving mean */
    double trend;   /* of the load, per second */
    double cost_ms; /* at the predicted load */
    double now_ms;  /* cost at the load */
    double mean_ms; /* slow moving mean of the cost, and its variance */
    double variance;
    double share;
    bool present; /* in the newest update */
} ZoneState;

struct ZoneChoice {
    ZoneState zones[ZONES_MAX];
    size_t count;
    double noise_ms; /* of the newest difference that changed a share */
    TimeUs updated_at;
};

ZoneChoice *
ZoneChoice_New(void)
{
    return g_new0(ZoneChoice, 1);
}

void
ZoneChoice_Free(ZoneChoice *choice)
{
    g_free(choice);
}

double
ZoneChoice_TransferMs(const ZoneTransfer *transfer, unsigned distance,
                      double megabytes)
{
    switch (distance) {
    case 0:
        return 0;
    case 1:
        return ZONE_TRIP_MS + megabytes * transfer->zone_ms_per_mb;
    default:
        return REGION_TRIP_MS + megabytes * transfer->region_ms_per_mb;
    }
}

/* Returns the time of a request in the zone. Above full load it waits. */
static double
time_in(const ZoneServers *servers)
{
    double load = servers->load;
    double delay =
        load < 1 ? BATCHING_SLOWDOWN * load : BATCHING_SLOWDOWN + (load - 1);
    return servers->run_ms * (1 + delay);
}

double
ZoneChoice_DelayMs(const ZoneServers *servers)
{
    return time_in(servers) - servers->run_ms;
}

/* Returns the time that one more request costs the others in the zone. */
static double
time_of_others(const ZoneServers *servers)
{
    double full =
        CLAMP((servers->load - FULL_FROM) / (FULL_TO - FULL_FROM), 0, 1);
    double slope = BATCHING_SLOWDOWN + (1 - BATCHING_SLOWDOWN) * full;
    return servers->run_ms * slope * servers->load;
}

static ZoneState *
find_state(ZoneChoice *choice, const char *zone)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (strcmp(choice->zones[i].zone, zone) == 0) {
            return &choice->zones[i];
        }
    }
    return NULL;
}

static const ZoneState *
known_state(const ZoneChoice *choice, const char *zone)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (strcmp(choice->zones[i].zone, zone) == 0) {
            return &choice->zones[i];
        }
    }
    return NULL;
}

static double
weight_for(double span, TimeUs constant)
{
    return 1 - exp(-span / (double)constant);
}

/* Updates the load and the cost of a zone. */
static void
add_load(ZoneChoice *choice, const ZoneServers *servers, TimeUs now)
{
    ZoneState *state = find_state(choice, servers->zone);
    if (state == NULL && choice->count < ZONES_MAX) {
        state = &choice->zones[choice->count++];
        g_strlcpy(state->zone, servers->zone, sizeof(state->zone));
    }
    if (state == NULL) {
        return;
    }
    double span = (double)MAX(now - choice->updated_at, 1);
    if (!state->present) {
        state->load = servers->load;
        state->trend = 0;
    }
    double before = state->load;
    state->load += weight_for(span, LOAD_US) * (servers->load - state->load);
    double trend = (state->load - before) / span * (double)US_PER_S;
    state->trend += weight_for(span, TREND_US) * (trend - state->trend);
    ZoneServers predicted = *servers;
    predicted.load = state->load;
    state->now_ms = time_in(&predicted) + time_of_others(&predicted);
    predicted.load = MAX(state->load + LEAD_S * state->trend, 0);
    state->cost_ms = time_in(&predicted) + time_of_others(&predicted);
    if (!state->present) {
        state->mean_ms = state->cost_ms;
    }
    double error = state->cost_ms - state->mean_ms;
    state->mean_ms += weight_for(span, NOISE_US) * error;
    state->variance +=
        weight_for(span, NOISE_US) * (error * error - state->variance);
    state->present = true;
}

/* Changes the share that leaves for a zone. */
static void
step_share(ZoneChoice *choice, ZoneState *there, const ZoneState *here,
           const ZoneServers *servers, double transfer_ms, double seconds)
{
    double run = servers->run_ms;
    double noise = CLAMP(sqrt(here->variance + there->variance),
                         NOISE_MIN_PART * run, NOISE_MAX_PART * run);
    double gain = here->cost_ms - there->cost_ms - transfer_ms;
    double gain_now = here->now_ms - there->now_ms - transfer_ms;
    double begin =
        MAX(BEGIN_NOISES * noise, MIN(BEGIN_PART * run, BEGIN_MAX_MS));
    if (there->share < SHARE_MIN && MIN(gain, gain_now) < begin) {
        there->share = 0;
        return;
    }
    double beyond = (gain - END_NOISES * noise) / run;
    double step = SHARE_PER_S * seconds * CLAMP(beyond, -GAIN_MAX, GAIN_MAX);
    there->share = CLAMP(there->share + step, 0, 1);
    choice->noise_ms = noise;
}

/* Sets the shares where the own zone has no server: the nearer and the less
 * busy a zone, the more. */
static void
share_without_home(ZoneChoice *choice, const ZoneTransfer *transfer,
                   const ZoneServers *zones, size_t count, TimeUs now)
{
    double weights[ZONES_MAX] = {0};
    double least = HUGE_VAL;
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        const ZoneState *state = find_state(choice, zones[i].zone);
        weights[i] =
            state == NULL
                ? HUGE_VAL
                : state->cost_ms +
                      ZoneChoice_TransferMs(transfer, zones[i].distance, 0);
        least = MIN(least, weights[i]);
    }
    for (size_t i = 0; i < count; i++) {
        double scale = AWAY_SPREAD_PART * zones[i].run_ms;
        weights[i] = zones[i].slots * exp(-(weights[i] - least) / scale);
        sum += weights[i];
    }
    double part = weight_for((double)(now - choice->updated_at), AWAY_US);
    for (size_t i = 0; i < count && sum > 0; i++) {
        ZoneState *state = find_state(choice, zones[i].zone);
        if (state != NULL) {
            state->share += part * (weights[i] / sum - state->share);
        }
    }
}

/* Removes the shares of zones without servers, and scales the others down to a
 * sum of 1. */
static void
limit_shares(ZoneChoice *choice, const ZoneServers *zones, size_t count)
{
    double sum = 0;
    for (size_t s = 0; s < choice->count; s++) {
        ZoneState *state = &choice->zones[s];
        state->present = false;
        for (size_t i = 0; i < count; i++) {
            state->present =
                state->present || strcmp(zones[i].zone, state->zone) == 0;
        }
        state->share = state->present ? state->share : 0;
        sum += state->share;
    }
    for (size_t s = 0; s < choice->count && sum > 1; s++) {
        choice->zones[s].share /= sum;
    }
}

void
ZoneChoice_Update(ZoneChoice *choice, const ZoneTransfer *transfer,
                  const ZoneServers *zones, size_t count, TimeUs now)
{
    size_t home = count;
    count = MIN(count, ZONES_MAX);
    for (size_t i = 0; i < count; i++) {
        add_load(choice, &zones[i], now);
        home = zones[i].distance == 0 ? i : home;
    }
    ZoneState *here =
        home < count ? find_state(choice, zones[home].zone) : NULL;
    double seconds =
        MIN((double)(now - choice->updated_at) / US_PER_S, STEP_MAX_S);
    if (here == NULL) {
        share_without_home(choice, transfer, zones, count, now);
    }
    else {
        here->share = 0;
    }
    for (size_t i = 0; i < count && here != NULL; i++) {
        ZoneState *there = find_state(choice, zones[i].zone);
        if (i != home && there != NULL) {
            step_share(choice, there, here, &zones[i],
                       ZoneChoice_TransferMs(transfer, zones[i].distance, 0),
                       seconds);
        }
    }
    limit_shares(choice, zones, count);
    choice->updated_at = now;
}

/* Returns what the caller loses by an answer after @p ms. */
static double
loss_of(const ZoneRequest *request, double ms)
{
    double late = MAX(ms - request->objective_ms, 0);
    return (ms + LATE_WEIGHT * late) * pow(RANK_VALUE, request->rank);
}

/* Returns the cost of the request in a zone. */
static double
cost_of(const ZoneTransfer *transfer, const ZoneServers *servers,
        const ZoneRequest *request)
{
    double trip_ms = ZoneChoice_TransferMs(transfer, servers->distance, 0);
    double price_ms = ZoneChoice_TransferMs(transfer, servers->distance,
                                            request->megabytes) -
                      trip_ms;
    return loss_of(request, time_in(servers) + trip_ms) + price_ms +
           time_of_others(servers);
}

/* Returns the index of the zone to whose share the request belongs; -1 if it
 * does not leave. */
static int
drawn_zone(const ZoneChoice *choice, const ZoneServers *zones, size_t count,
           uint64_t hash)
{
    double at = (double)(hash % 65536) / 65536;
    for (size_t i = 0; i < count; i++) {
        const ZoneState *state = known_state(choice, zones[i].zone);
        if (state == NULL || state->share < SHARE_MIN) {
            continue;
        }
        at -= state->share;
        if (at < 0) {
            return (int)i;
        }
    }
    return -1;
}

static bool
is_allowed(const ZoneServers *servers, const ZoneRequest *request,
           const ZoneLink *link, double link_mbit_s, TimeUs now)
{
    return servers->distance < 2 ||
           ZoneLink_HasRoom(link, request->megabytes, link_mbit_s, now);
}

/* Returns the cheapest zone, or -1 if there is none. */
static int
cheapest_zone(const ZoneTransfer *transfer, const ZoneServers *zones,
              size_t count, const ZoneRequest *request, const ZoneLink *link,
              double link_mbit_s, TimeUs now)
{
    int best = -1;
    double best_cost = HUGE_VAL;
    for (size_t i = 0; i < count; i++) {
        double cost = cost_of(transfer, &zones[i], request);
        if (cost < best_cost &&
            is_allowed(&zones[i], request, link, link_mbit_s, now)) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

int
ZoneChoice_Pick(const ZoneChoice *choice, const ZoneTransfer *transfer,
                const ZoneServers *zones, size_t count,
                const ZoneRequest *request, const ZoneLink *link,
                double link_mbit_s, TimeUs now, ZoneReason *reason)
{
    int home = -1;
    for (size_t i = 0; i < count; i++) {
        home = zones[i].distance == 0 ? (int)i : home;
    }
    double here_ms =
        home < 0 ? HUGE_VAL : cost_of(transfer, &zones[home], request);
    int picked = drawn_zone(choice, zones, count, request->hash);
    if (picked >= 0 && picked != home &&
        (cost_of(transfer, &zones[picked], request) >= here_ms ||
         !is_allowed(&zones[picked], request, link, link_mbit_s, now)))
    {
        picked = home;
    }
    if (picked < 0) {
        picked = home >= 0 ? home
                           : cheapest_zone(transfer, zones, count, request,
                                           link, link_mbit_s, now);
    }
    if (picked >= 0) {
        const ZoneState *state = known_state(choice, zones[picked].zone);
        *reason = (ZoneReason){
            .here_ms = here_ms,
            .there_ms = cost_of(transfer, &zones[picked], request),
            .transfer_ms = ZoneChoice_TransferMs(
                transfer, zones[picked].distance, request->megabytes),
            .share = state == NULL ? 0 : state->share,
            .noise_ms = choice->noise_ms,
            .age = now - choice->updated_at,
        };
    }
    return picked;
}

static double
mean_at(const ZoneLink *link, TimeUs now)
{
    return link->mbit_s *
           exp(-(double)(now - link->counted_at) / (double)LINK_US);
}

void
ZoneLink_OnSent(ZoneLink *link, double megabytes, TimeUs now)
{
    link->mbit_s = mean_at(link, now) +
                   megabytes * 8 / ((double)LINK_US / (double)US_PER_S);
    link->counted_at = now;
}

bool
ZoneLink_HasRoom(const ZoneLink *link, double megabytes, double mbit_s,
                 TimeUs now)
{
    return mbit_s <= 0 ||
           mean_at(link, now) + megabytes * 8 <= LINK_PART * mbit_s;
}
