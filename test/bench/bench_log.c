/** @file
 * Bench of the replicated log on disk, with file syncs and with links over
 * loopback. It measures accepted changes per second, the latency and the bytes
 * of a change, the time from a leader's kill to the next accepted change, and
 * the time of a restart. Exits with an error if a bound is missed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/stat.h>

#include <glib.h>

#include "../unit/log_host.h"
#include "kernel/clock.h"
#include "kernel/log.h"

#define CHANGE_BYTES 200
/* Proposals in flight when throughput is measured. */
#define IN_FLIGHT_MAX 256
#define WAIT_LIMIT_MS 60000

/* The bounds are far from the measured values, so that only a regression
 * misses them. */
#define MIN_CHANGES_S 500
#define MAX_ELECTION_MS 3000
#define MAX_RESTART_MS 5000
#define MAX_BYTES_PER_CHANGE 600

typedef struct Options {
    gchar *csv;
    gboolean is_short;
} Options;

typedef struct Bench {
    FILE *csv;
    bool failed;
} Bench;

static struct event_base *base;
static LogHost hosts[LOG_HOSTS_MAX];

/* Prints a value. The bench fails if @p value is below a lowest bound or above
 * a highest bound. */
static void
report_value(Bench *bench, const char *name, double value, const char *unit,
             double bound, bool is_lower_bound)
{
    bool missed = is_lower_bound ? value < bound : value > bound;
    printf("%-36s %12.2f %s%s\n", name, value, unit,
           missed ? "  BOUND MISSED" : "");
    if (bench->csv != NULL) {
        fprintf(bench->csv, "%s,%.3f,%s\n", name, value, unit);
    }
    bench->failed = bench->failed || missed;
}

static bool
has_leader(LogHost *group, unsigned count, void *arg)
{
    return LogHost_Leader(group, count) != NULL;
}

static bool
leader_applied(LogHost *group, unsigned count, void *arg)
{
    LogHost *leader = LogHost_Leader(group, count);
    return leader != NULL && leader->state->len >= *(guint *)arg;
}

static void
start_group(unsigned count)
{
    LogHost_InitGroup(base, hosts, count);
    for (unsigned i = 0; i < count; i++) {
        Error err = ERROR_INIT;
        INVARIANT(LogHost_Start(&hosts[i], &err) == ERR_OK);
    }
    INVARIANT(LogHost_RunUntil(hosts, count, has_leader, NULL, WAIT_LIMIT_MS));
}

/* Proposes @p changes with at most @p window in flight. Returns the seconds
 * until all are applied at the leader. */
static double
run_changes(unsigned count, guint changes, guint window)
{
    char text[CHANGE_BYTES + 1];
    memset(text, 'x', CHANGE_BYTES);
    text[CHANGE_BYTES] = '\0';
    LogHost *leader = LogHost_Leader(hosts, count);
    guint start = leader->state->len;
    guint proposed = 0;
    TimeUs started_at = Clock_Now();
    while (leader->state->len < start + changes) {
        while (proposed < changes &&
               proposed < leader->state->len - start + window) {
            INVARIANT(LogHost_Propose(hosts, count, text) == ERR_OK);
            proposed++;
        }
        event_base_loop(base, EVLOOP_ONCE);
    }
    return (double)(Clock_Now() - started_at) / (double)US_PER_S;
}

static double
folder_bytes(const char *folder)
{
    double total = 0;
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        struct stat status;
        if (stat(path, &status) == 0) {
            total += (double)status.st_size;
        }
        g_free(path);
    }
    g_dir_close(dir);
    return total;
}

static void
measure_changes(Bench *bench, unsigned count, guint changes)
{
    char name[64];
    start_group(count);
    guint sequential = MIN(changes, 200);
    double before = folder_bytes(hosts[0].folder);
    double seconds = run_changes(count, sequential, 1);
    double after = folder_bytes(hosts[0].folder);
    snprintf(name, sizeof(name), "hosts_%u_one_change", count);
    report_value(bench, name, seconds * 1000 / sequential, "ms", 1000, false);
    snprintf(name, sizeof(name), "hosts_%u_disk_bytes_a_change", count);
    report_value(bench, name, (after - before) / sequential, "bytes",
                 MAX_BYTES_PER_CHANGE, false);
    seconds = run_changes(count, changes, IN_FLIGHT_MAX);
    snprintf(name, sizeof(name), "hosts_%u_changes_a_second", count);
    report_value(bench, name, changes / seconds, "1/s", MIN_CHANGES_S, true);
    LogHost_FreeGroup(hosts, count);
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

/* Measures the time from a kill of the leader to the next accepted change. */
static void
measure_elections(Bench *bench, unsigned rounds)
{
    double *times = g_new(double, rounds);
    start_group(3);
    run_changes(3, 1, 1);
    for (unsigned i = 0; i < rounds; i++) {
        LogHost *killed = LogHost_Leader(hosts, 3);
        TimeUs started_at = Clock_Now();
        LogHost_Kill(killed);
        INVARIANT(LogHost_RunUntil(hosts, 3, has_leader, NULL, WAIT_LIMIT_MS));
        run_changes(3, 1, 1);
        times[i] = (double)(Clock_Now() - started_at) / (double)US_PER_MS;
        Error err = ERROR_INIT;
        INVARIANT(LogHost_Start(killed, &err) == ERR_OK);
        guint expected_changes = LogHost_Leader(hosts, 3)->state->len;
        TimeUs catch_up_limit = Clock_Now() + 2 * US_PER_S;
        while (killed->state->len < expected_changes &&
               Clock_Now() < catch_up_limit) {
            event_base_loop(base, EVLOOP_ONCE);
        }
    }
    qsort(times, rounds, sizeof(double), compare_doubles);
    report_value(bench, "kill_to_accepted_median", times[rounds / 2], "ms",
                 MAX_ELECTION_MS, false);
    report_value(bench, "kill_to_accepted_worst", times[rounds - 1], "ms",
                 2 * MAX_ELECTION_MS, false);
    g_free(times);
    LogHost_FreeGroup(hosts, 3);
}

/* Measures how long a single host takes after a restart to become the leader
 * and to apply all @p changes. */
static void
measure_restart(Bench *bench, guint changes)
{
    char name[64];
    start_group(1);
    run_changes(1, changes, IN_FLIGHT_MAX);
    guint expected_changes = hosts[0].state->len;
    LogHost_Kill(&hosts[0]);
    snprintf(name, sizeof(name), "folder_after_%u_changes", changes);
    report_value(bench, name, folder_bytes(hosts[0].folder) / 1024, "KiB", 1e9,
                 false);
    TimeUs started_at = Clock_Now();
    Error err = ERROR_INIT;
    INVARIANT(LogHost_Start(&hosts[0], &err) == ERR_OK);
    INVARIANT(LogHost_RunUntil(hosts, 1, leader_applied, &expected_changes,
                               WAIT_LIMIT_MS));
    double ms = (double)(Clock_Now() - started_at) / (double)US_PER_MS;
    snprintf(name, sizeof(name), "restart_after_%u_changes", changes);
    report_value(bench, name, ms, "ms", MAX_RESTART_MS, false);
    LogHost_FreeGroup(hosts, 1);
}

static void
run_all(Bench *bench, bool is_short)
{
    measure_changes(bench, 1, is_short ? 2000 : 20000);
    measure_changes(bench, 3, is_short ? 2000 : 20000);
    measure_elections(bench, is_short ? 3 : 15);
    measure_restart(bench, 1000);
    if (!is_short) {
        measure_restart(bench, 100000);
    }
}

int
main(int argc, char **argv)
{
    Options options = {.csv = NULL};
    GOptionEntry entries[] = {
        {"csv", 0, 0, G_OPTION_ARG_FILENAME, &options.csv,
         "Write the results to FILE as CSV", "FILE"},
        {"short", 0, 0, G_OPTION_ARG_NONE, &options.is_short,
         "Measure fewer changes, elections and restarts", NULL},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- bench of the replicated log");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL)) {
        return EXIT_FAILURE;
    }
    g_option_context_free(context);
    Log_SetLevel(LOG_LEVEL_ERROR);
    base = event_base_new();
    Bench bench = {
        .csv = options.csv == NULL ? NULL : fopen(options.csv, "we"),
    };
    run_all(&bench, options.is_short);
    if (bench.csv != NULL) {
        (void)fclose(bench.csv);
    }
    event_base_free(base);
    g_free(options.csv);
    return bench.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
