/** @file
 * Bench of the request path on loopback: compares an entry and an agent with
 * baseline_relay, and measures the CPU time and memory of an idle entry with
 * 12 agents. It starts the processes that it needs and kills them at the end.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "kernel/clock.h"
#include "rules/rules.h"

#define HOST "127.0.0.1"
#define KEY "bench-key"
#define AGENTS 12
#define CONNECTIONS 32
#define REQUESTS 20000
#define LIGHT_REQUESTS 2000
#define ROUNDS 3
#define IDLE_S 3
#define START_LIMIT_US (20 * US_PER_S)
#define MIN_THROUGHPUT_RATIO 0.5
#define MAX_ADDED_MEDIAN_MS 1.0
#define MAX_IDLE_CORES 0.024
#define MAX_IDLE_MB 128.0

/* Offsets from Bench.first_port. */
enum {
    PORT_ENTRY,
    PORT_CONTROL,
    PORT_ADMIN,
    PORT_SERVICE,
    PORT_RELAY,
    PORT_AGENTS,
};

typedef struct Bench {
    char *build;
    char *folder;
    unsigned first_port;
    GArray *children;
    GPid entry_pid;
    GPid agents_pid;
    struct event_base *base;
} Bench;

/* Closed-loop run: each connection sends its next request when it has received
 * the answer to the last one. */
typedef struct Run {
    struct event_base *base;
    unsigned port;
    unsigned unsent;
    unsigned open_connections;
    unsigned failed;
    GArray *latency_us;
} Run;

typedef struct Caller {
    Run *run;
    struct evhttp_connection *connection;
    TimeUs sent_at;
} Caller;

static void send_request(Caller *caller);

static void
on_answer(struct evhttp_request *answer, void *arg)
{
    Caller *caller = arg;
    Run *run = caller->run;
    bool succeeded =
        answer != NULL && evhttp_request_get_response_code(answer) == 200;
    run->failed += succeeded ? 0 : 1;
    TimeUs latency = Clock_Now() - caller->sent_at;
    g_array_append_val(run->latency_us, latency);
    send_request(caller);
}

static void
send_request(Caller *caller)
{
    Run *run = caller->run;
    if (run->unsent == 0) {
        if (--run->open_connections == 0) {
            event_base_loopbreak(run->base);
        }
        return;
    }
    run->unsent--;
    caller->sent_at = Clock_Now();
    struct evhttp_request *request = evhttp_request_new(on_answer, caller);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", HOST);
    evhttp_add_header(headers, "Authorization", "Bearer " KEY);
    evhttp_make_request(caller->connection, request, EVHTTP_REQ_GET,
                        "/orders/1");
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    TimeUs first = *(const TimeUs *)a;
    TimeUs second = *(const TimeUs *)b;
    return first < second ? -1 : first > second;
}

/* Sends @p requests to the process at @p port, an offset from the first port.
 * Returns requests per second, and sets the median latency and the number of
 * failed requests. */
static double
measure(const Bench *bench, unsigned port, unsigned connections,
        unsigned requests, double *median_ms, unsigned *failed)
{
    Run run = {
        .base = bench->base,
        .port = bench->first_port + port,
        .unsent = requests,
        .open_connections = connections,
        .latency_us = g_array_new(FALSE, FALSE, sizeof(TimeUs)),
    };
    Caller *callers = g_new0(Caller, connections);
    TimeUs started = Clock_Now();
    for (unsigned i = 0; i < connections; i++) {
        callers[i].run = &run;
        callers[i].connection = evhttp_connection_base_new(
            bench->base, NULL, HOST, (uint16_t)run.port);
        send_request(&callers[i]);
    }
    event_base_dispatch(bench->base);
    double seconds = (double)(Clock_Now() - started) / US_PER_S;
    g_array_sort(run.latency_us, compare_times);
    TimeUs median =
        g_array_index(run.latency_us, TimeUs, run.latency_us->len / 2);
    *median_ms = (double)median / US_PER_MS;
    *failed = run.failed;
    for (unsigned i = 0; i < connections; i++) {
        evhttp_connection_free(callers[i].connection);
    }
    g_free(callers);
    g_array_free(run.latency_us, TRUE);
    return requests / seconds;
}

static GPid
start_process(Bench *bench, const char *program, const char *arguments)
{
    char *command =
        g_strdup_printf("%s/%s %s", bench->build, program, arguments);
    char **argv = NULL;
    GPid pid = 0;
    GError *error = NULL;
    g_shell_parse_argv(command, NULL, &argv, NULL);
    if (!g_spawn_async(bench->folder, argv, NULL,
                       G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL,
                       NULL, NULL, &pid, &error))
    {
        fprintf(stderr, "bench_path: cannot start a process: %s\n",
                error->message);
        exit(2);
    }
    g_array_append_val(bench->children, pid);
    g_strfreev(argv);
    g_free(command);
    return pid;
}

static void
write_file(const Bench *bench, const char *name, const GString *text)
{
    char *path = g_build_filename(bench->folder, name, NULL);
    g_file_set_contents(path, text->str, (gssize)text->len, NULL);
    g_free(path);
}

static GString *
settings_head(const Bench *bench, const char *name)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "name: %s\nregion: west\nzone: west-1\ncontrol_hosts:\n"
                    "  - { id: 1, address: \"" HOST ":%u\", admin: \"" HOST
                    ":%u\" }\n",
                    name, bench->first_port + PORT_CONTROL,
                    bench->first_port + PORT_ADMIN);
    return text;
}

static void
write_settings(const Bench *bench)
{
    char hash[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey(KEY, hash);
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "account bench key=%s tier=0 # asked by bench\n"
                    "route GET /orders/* service=register idempotent=yes "
                    "# asked by bench\n",
                    hash);
    write_file(bench, "rules", text);
    text = settings_head(bench, "control");
    g_string_append(text, "control: { id: 1, data_dir: data, bootstrap: true, "
                          "rules: rules }\n");
    write_file(bench, "control.yaml", text);
    text = settings_head(bench, "entry");
    g_string_append_printf(text, "entry: { http: \"" HOST ":%u\" }\n",
                           bench->first_port + PORT_ENTRY);
    write_file(bench, "entry.yaml", text);
    text = settings_head(bench, "agents");
    g_string_append(text, "agents:\n");
    for (unsigned i = 0; i < AGENTS; i++) {
        unsigned port = bench->first_port + PORT_AGENTS + 2 * i;
        g_string_append_printf(
            text,
            "  - { name: agent-%u, listen: \"" HOST ":%u\", http: \"" HOST
            ":%u\", endpoint: \"" HOST ":%u\" }\n",
            i, port, port + 1, bench->first_port + PORT_SERVICE);
    }
    write_file(bench, "agents.yaml", text);
}

static void
start_all(Bench *bench)
{
    write_settings(bench);
    char *arguments = g_strdup_printf(
        "--listen " HOST ":%u --agent " HOST ":%u --slots 64 --delay-ms 0",
        bench->first_port + PORT_SERVICE, bench->first_port + PORT_AGENTS + 1);
    start_process(bench, "test/fakes/fake_service", arguments);
    g_free(arguments);
    arguments = g_strdup_printf("--listen " HOST ":%u --to " HOST ":%u",
                                bench->first_port + PORT_RELAY,
                                bench->first_port + PORT_SERVICE);
    start_process(bench, "test/bench/baseline_relay", arguments);
    g_free(arguments);
    start_process(bench, "src/daemon/laurelliftd", "control.yaml");
    bench->agents_pid =
        start_process(bench, "src/daemon/laurelliftd", "agents.yaml");
    bench->entry_pid =
        start_process(bench, "src/daemon/laurelliftd", "entry.yaml");
}

static bool
wait_for_answers(const Bench *bench)
{
    TimeUs limit = Clock_Now() + START_LIMIT_US;
    unsigned failed = 1;
    double median_ms;
    while (failed > 0 && Clock_Now() < limit) {
        g_usleep(200 * 1000);
        measure(bench, PORT_ENTRY, 1, 20, &median_ms, &failed);
    }
    return failed == 0;
}

/* Reads the CPU time in seconds and the resident memory of a process. */
static void
read_usage(GPid pid, double *cpu_s, double *megabytes)
{
    char *path = g_strdup_printf("/proc/%d/stat", pid);
    char *text = NULL;
    unsigned long user = 0;
    unsigned long kernel = 0;
    long pages = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        sscanf(strrchr(text, ')') + 2,
               "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d "
               "%*d %*d %*d %*d %*u %*u %ld",
               &user, &kernel, &pages);
    }
    *cpu_s = (double)(user + kernel) / (double)sysconf(_SC_CLK_TCK);
    *megabytes = (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
    g_free(text);
    g_free(path);
}

static bool
check(const char *name, double value, double bound, bool at_most)
{
    bool in_bound = at_most ? value <= bound : value >= bound;
    printf("%-34s %10.3f  bound %s %.3f%s\n", name, value,
           at_most ? "<=" : ">=", bound, in_bound ? "" : "  MISSED");
    return in_bound;
}

static bool
bench_idle(GPid entry)
{
    double before;
    double after;
    double megabytes;
    read_usage(entry, &before, &megabytes);
    g_usleep(IDLE_S * US_PER_S);
    read_usage(entry, &after, &megabytes);
    bool in_bound = check("idle entry, 12 agents: cores",
                          (after - before) / IDLE_S, MAX_IDLE_CORES, true);
    return check("idle entry, 12 agents: MB", megabytes, MAX_IDLE_MB, true) &&
           in_bound;
}

static bool
bench_load(const Bench *bench)
{
    double relay_ms;
    double entry_ms;
    unsigned failed;
    measure(bench, PORT_RELAY, 1, LIGHT_REQUESTS, &relay_ms, &failed);
    measure(bench, PORT_ENTRY, 1, LIGHT_REQUESTS, &entry_ms, &failed);
    bool in_bound = check("added median latency, ms", entry_ms - relay_ms,
                          MAX_ADDED_MEDIAN_MS, true);
    double entry_s[2];
    double agents_s[2];
    double unused_mb;
    read_usage(bench->entry_pid, &entry_s[0], &unused_mb);
    read_usage(bench->agents_pid, &agents_s[0], &unused_mb);
    double best_relay_rate = 0;
    double best_entry_rate = 0;
    for (unsigned i = 0; i < ROUNDS; i++) {
        double unused;
        double relay_rate = measure(bench, PORT_RELAY, CONNECTIONS, REQUESTS,
                                    &unused, &failed);
        in_bound = in_bound && failed == 0;
        double entry_rate = measure(bench, PORT_ENTRY, CONNECTIONS, REQUESTS,
                                    &unused, &failed);
        in_bound = in_bound && failed == 0;
        best_relay_rate = MAX(best_relay_rate, relay_rate);
        best_entry_rate = MAX(best_entry_rate, entry_rate);
    }
    read_usage(bench->entry_pid, &entry_s[1], &unused_mb);
    read_usage(bench->agents_pid, &agents_s[1], &unused_mb);
    printf("CPU time per request: entry %.0f us, agent %.0f us\n",
           (entry_s[1] - entry_s[0]) * 1e6 / (ROUNDS * REQUESTS),
           (agents_s[1] - agents_s[0]) * 1e6 / (ROUNDS * REQUESTS));
    printf("baseline relay %.0f/s, entry and agent %.0f/s, failed %u\n",
           best_relay_rate, best_entry_rate, failed);
    return check("requests a second, ratio", best_entry_rate / best_relay_rate,
                 MIN_THROUGHPUT_RATIO, false) &&
           in_bound;
}

int
main(int argc, char **argv)
{
    char *program = realpath(argv[0], NULL);
    char *program_folder = g_path_get_dirname(program);
    const char *ports = g_getenv("LL_BENCH_PORTS");
    Bench bench = {
        .build = g_build_filename(program_folder, "..", "..", NULL),
        .folder = g_dir_make_tmp("bench-path-XXXXXX", NULL),
        .first_port = ports == NULL ? 17000 : (unsigned)atoi(ports),
        .children = g_array_new(FALSE, FALSE, sizeof(GPid)),
        .base = event_base_new(),
    };
    signal(SIGPIPE, SIG_IGN);
    start_all(&bench);
    bool in_bound = wait_for_answers(&bench);
    if (!in_bound) {
        printf(
            "the entry did not answer all requests before the start limit\n");
    }
    else {
        in_bound = bench_idle(bench.entry_pid);
        in_bound = bench_load(&bench) && in_bound;
    }
    for (guint i = 0; i < bench.children->len; i++) {
        kill(g_array_index(bench.children, GPid, i), SIGKILL);
    }
    return in_bound ? 0 : 1;
}
