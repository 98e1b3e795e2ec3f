/** @file
 * Choice of the zone: how much leaves, for where, and what callers get,
 * compared with the fixed costs of distance.
 */
#include "unit.h"

#include <math.h>

#include <glib.h>

#include "zone_play.h"

#define START (100 * US_PER_S)
#define LINK_MBIT_S 60
/* Largest ratio of the requests that leave for two zones that are alike. */
#define EVEN_RATIO 1.3
/* Largest change of a share in 100 ms. */
#define STEP_MAX 0.1

static const ZoneTransfer transfer = {
    .enabled = true,
    .zone_ms_per_mb = 50,
    .region_ms_per_mb = 400,
    .region_mbit_s = LINK_MBIT_S,
};

static ZonePlayOptions
play_of(double demand, double first_demand)
{
    ZonePlayOptions options = {
        .megabytes = 0.02,
        .lost_zone = -1,
        .seed = 1,
        .seconds = 40,
        .transfer = transfer,
    };
    for (int z = 0; z < ZONE_PLAY_ZONES; z++) {
        options.demand[z] = z == 0 ? first_demand : demand;
        options.slots[z] = 12;
    }
    return options;
}

/* Returns the part of all requests that is sent to other zones, or if
 * @p regions to the other region. */
static double
left_part(const ZonePlayResult *result, bool regions)
{
    unsigned left = 0;
    unsigned all = 0;
    for (int a = 0; a < ZONE_PLAY_ZONES; a++) {
        for (int b = 0; b < ZONE_PLAY_ZONES; b++) {
            all += result->sent[a][b];
            if (a != b && (!regions || a / 3 != b / 3)) {
                left += result->sent[a][b];
            }
        }
    }
    return (double)left / all;
}

static ZonePlayResult
play(const char *name, ZonePlayOptions options, bool fixed)
{
    options.fixed = fixed;
    ZonePlayResult result = ZonePlay_Run(&options);
    print_message("%-12s %-5s requests %u left %.4f region %.4f late %.4f "
                  "mean %.0f p99 %.0f link %.1f Mbit/s load %.2f\n",
                  name, fixed ? "fixed" : "zones", result.requests,
                  left_part(&result, false), left_part(&result, true),
                  (double)result.late / result.requests, result.mean_ms,
                  result.p99_ms, result.most_mbit_s, result.most_load);
    return result;
}

static double
late_part(const ZonePlayResult *result)
{
    return (double)result->late / result->requests;
}

/* Asserts that callers get no less than with the fixed costs. */
static ZonePlayResult
play_both(const char *name, ZonePlayOptions options)
{
    ZonePlayResult fixed = play(name, options, true);
    ZonePlayResult zones = play(name, options, false);
    assert_true(late_part(&zones) <= late_part(&fixed));
    assert_true(zones.most_mbit_s <= LINK_MBIT_S);
    return zones;
}

/* Guards against traffic between zones that gains nothing. */
static void
even_demand_stays(void **state)
{
    for (uint32_t seed = 1; seed <= 10; seed++) {
        ZonePlayOptions options = play_of(0.6, 0.6);
        options.seed = seed;
        ZonePlayResult zones = play_both("even", options);
        assert_true(left_part(&zones, false) <= 0);
    }
}

/* Guards against callers who wait in a full zone beside empty ones, and
 * against gateways that all leave for the same place. */
static void
a_zone_with_too_few_servers_shares_its_demand(void **state)
{
    ZonePlayResult zones = play_both("twice", play_of(0.3, 2));
    assert_true(zones.sent[0][1] <= EVEN_RATIO * zones.sent[0][2]);
    assert_true(zones.sent[0][2] <= EVEN_RATIO * zones.sent[0][1]);
    for (int z = 1; z < ZONE_PLAY_ZONES; z++) {
        assert_true(zones.sent[z][0] == 0);
    }
    ZonePlayOptions options = play_of(0.1, 5);
    options.megabytes = 0.004;
    zones = play_both("five times", options);
    assert_true(left_part(&zones, true) > 0.3);
}

static void
a_zone_without_servers_is_served_by_others(void **state)
{
    ZonePlayOptions options = play_of(0.6, 0.4);
    options.slots[0] = 0;
    ZonePlayResult zones = play_both("no servers", options);
    assert_true(zones.sent[0][1] <= EVEN_RATIO * zones.sent[0][2]);
    assert_true(zones.sent[0][2] <= EVEN_RATIO * zones.sent[0][1]);
    assert_true(zones.sent[0][1] + zones.sent[0][2] >
                zones.sent[0][3] + zones.sent[0][4] + zones.sent[0][5]);
}

/* Guards against requests for a zone that is cut off or lost, longer than its
 * loss stays unknown. */
static void
a_lost_zone_gets_nothing(void **state)
{
    for (int zone = 0; zone < 2; zone++) {
        ZonePlayOptions options = play_of(0.6, 0.6);
        options.lost_zone = zone;
        options.lost_s = 20;
        ZonePlayResult zones = play_both("lost", options);
        assert_int_equal(zones.to_lost, 0);
    }
}

static void
a_full_region_sends_to_the_other(void **state)
{
    ZonePlayOptions options = play_of(0.3, 1.3);
    options.demand[1] = options.demand[2] = 1.3;
    ZonePlayResult zones = play_both("region full", options);
    assert_true(left_part(&zones, true) > 0.1);
    for (int a = 3; a < ZONE_PLAY_ZONES; a++) {
        for (int b = 0; b < 3; b++) {
            assert_true(zones.sent[a][b] == 0);
        }
    }
}

/* Guards against more bytes on the link than the operators allow. Callers of
 * the full region wait instead, so only the bound is compared. */
static void
the_link_stays_within_its_bound(void **state)
{
    static const double megabytes[] = {0.05, 0.1, 0.2};
    for (size_t i = 0; i < G_N_ELEMENTS(megabytes); i++) {
        ZonePlayOptions options = play_of(0.3, 1.3);
        options.demand[1] = options.demand[2] = 1.3;
        options.megabytes = megabytes[i];
        play("link", options, true);
        ZonePlayResult zones = play("link", options, false);
        assert_true(zones.most_mbit_s <= LINK_MBIT_S);
        assert_true(zones.most_mbit_s > 0);
    }
}

/* Guards against shares that lag behind demand which moves from zone to zone.
 */
static void
waves_are_followed(void **state)
{
    static const double demands[] = {0.6, 0.8};
    for (size_t i = 0; i < G_N_ELEMENTS(demands); i++) {
        ZonePlayOptions options = play_of(demands[i], demands[i]);
        options.swing = 0.55;
        ZonePlayResult zones = play_both("waves", options);
        assert_true(late_part(&zones) < 0.001);
    }
}

static ZoneServers
servers(const char *zone, unsigned distance, double load)
{
    return (ZoneServers){
        .zone = zone,
        .distance = distance,
        .slots = 12,
        .load = load,
        .run_ms = 60,
    };
}

/* Guards against jumps of a share, which other zones see as a herd. */
static void
shares_change_smoothly(void **state)
{
    ZoneChoice *choice = ZoneChoice_New();
    ZoneLink link = {.mbit_s = 0};
    double before = 0;
    double most = 0;
    for (int i = 0; i < 100; i++) {
        TimeUs now = START + i * 100 * US_PER_MS;
        double load = i < 20 || i > 60 ? 0.5 : 6;
        ZoneServers zones[] = {servers("a", 0, load), servers("b", 1, 0.5)};
        ZoneRequest request = {.hash = 0, .objective_ms = 400};
        ZoneReason reason = {.share = 0};
        ZoneChoice_Update(choice, &transfer, zones, 2, now);
        int picked = ZoneChoice_Pick(choice, &transfer, zones, 2, &request,
                                     &link, 0, now, &reason);
        double share = picked == 1 ? reason.share : before;
        assert_true(fabs(share - before) <= STEP_MAX + 1e-9);
        before = share;
        most = fmax(most, share);
    }
    assert_true(most > 0.5);
    ZoneChoice_Free(choice);
}

/* Returns the zone of a request, while most of the demand leaves. */
static int
pick(double megabytes, unsigned rank, const ZoneLink *link, double bound)
{
    ZoneChoice *choice = ZoneChoice_New();
    ZoneServers zones[] = {servers("a", 0, 6), servers("b", 2, 0.2)};
    for (int i = 0; i < 100; i++) {
        ZoneChoice_Update(choice, &transfer, zones, 2,
                          START + i * 100 * US_PER_MS);
    }
    zones[0].load = 2;
    ZoneRequest request = {
        .hash = 0,
        .megabytes = megabytes,
        .objective_ms = 800,
        .rank = rank,
    };
    ZoneReason reason;
    int picked = ZoneChoice_Pick(choice, &transfer, zones, 2, &request, link,
                                 bound, START + 10 * US_PER_S, &reason);
    ZoneChoice_Free(choice);
    return picked;
}

/* Guards against a request that costs more to send than its caller gains. */
static void
each_request_weighs_its_own_cost(void **state)
{
    ZoneLink idle = {.mbit_s = 0};
    ZoneLink busy = {.mbit_s = 3, .counted_at = START + 10 * US_PER_S};
    assert_int_equal(pick(0.02, 0, &idle, 0), 1);
    assert_int_equal(pick(2, 0, &idle, 0), 0);
    assert_int_equal(pick(0.31, 0, &idle, 0), 1);
    assert_int_equal(pick(0.31, 3, &idle, 0), 0);
    assert_int_equal(pick(0.02, 0, &busy, 3), 0);
    assert_int_equal(pick(0.02, 0, &idle, 3), 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(even_demand_stays),
        cmocka_unit_test(a_zone_with_too_few_servers_shares_its_demand),
        cmocka_unit_test(a_zone_without_servers_is_served_by_others),
        cmocka_unit_test(a_lost_zone_gets_nothing),
        cmocka_unit_test(a_full_region_sends_to_the_other),
        cmocka_unit_test(the_link_stays_within_its_bound),
        cmocka_unit_test(waves_are_followed),
        cmocka_unit_test(shares_change_smoothly),
        cmocka_unit_test(each_request_weighs_its_own_cost),
    };
    return cmocka_run_group_tests_name("zone_choice", tests, NULL, NULL);
}
