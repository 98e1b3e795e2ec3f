/** @file
 * Bench of the scheduling decisions. It measures the time of a placement for
 * several numbers of endpoints, of a want for several queue lengths and of a
 * limit check for several numbers of accounts, the memory of each table, and
 * the heap growth on the hot path.
 *
 * bench_decision [--csv FILE]
 * The bounds limit the growth of the time of a placement and the heap growth,
 * not the time itself.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "sched/limits.h"
#include "sched/place.h"
#include "sched/queue.h"

#define SEED 20261203
#define ROUNDS 20000
#define TARGETS 11
/* Highest ratio of the time of a placement among 3,700 endpoints to that among
 * 100. Placement samples the endpoints in both cases. */
#define MAX_TIME_GROWTH 3.0

static FILE *csv;

static double
now_ns(void)
{
    return (double)g_get_monotonic_time() * 1000;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
print_cost(const char *name, uint32_t size, double ns, size_t bytes)
{
    printf("%-16s %8u %10.0f ns %12zu bytes\n", name, size, ns, bytes);
    if (csv != NULL) {
        fprintf(csv, "%s,%u,%.0f,%zu\n", name, size, ns, bytes);
    }
}

static WorkSpec
new_work(GRand *rand, uint32_t number)
{
    WorkSpec work = {
        .id = {.low = number + 1},
        .target = 1 + g_rand_int(rand) % TARGETS,
        .tier = g_rand_int(rand) % WORK_TIERS,
        .deadline = 1000 * US_PER_S,
        .prompt_tokens = 3000,
        .output_tokens = 300,
        .prefix_count = 24,
    };
    uint64_t group = g_rand_int(rand) % 500;
    for (uint32_t i = 0; i < work.prefix_count; i++) {
        work.prefix[i] = (group << 8 | i) * 0x9e3779b97f4a7c15U;
    }
    return work;
}

static PlaceTable *
new_places(uint32_t endpoints)
{
    PlaceTable *table = Place_New(&(PlaceConfig){
        .capacity = endpoints,
        .wants = 3,
        .zone = 1,
        .region = 1,
        .zone_latency = 500,
        .region_latency = 30 * US_PER_MS,
    });
    for (uint32_t i = 0; i < endpoints; i++) {
        PlaceEndpoint endpoint = {
            .name = i + 1,
            .zone = i % 5 + 1,
            .region = i % 2 + 1,
            .target_count = 2,
            .targets = {1 + i % TARGETS, 1 + (i + 1) % TARGETS},
        };
        PlaceHandle handle;
        Place_Add(table, &endpoint, 0, &handle);
        Place_SetConnected(table, handle, true);
        PlaceReport report = {
            .sequence = 1,
            .slots = 16,
            .running = i % 16,
            .prefill_tokens_s = 4000,
            .decode_tokens_s = 30,
            .lowest_tier = WORK_TIERS - 1,
        };
        Place_OnReport(table, handle, &report, 0);
    }
    return table;
}

/* Returns the nanoseconds per placement and adds the heap growth in bytes to
 * @p heap_growth. */
static double
measure_place(uint32_t endpoints, size_t *heap_growth)
{
    size_t before = heap_bytes();
    PlaceTable *table = new_places(endpoints);
    size_t bytes = heap_bytes() - before;
    GRand *rand = g_rand_new_with_seed(SEED);
    WorkSpec *specs = g_new(WorkSpec, ROUNDS);
    for (uint32_t i = 0; i < ROUNDS; i++) {
        specs[i] = new_work(rand, i);
    }
    size_t before_rounds = heap_bytes();
    double start = now_ns();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        PlaceChoice choice;
        TimeUs now = i * 100;
        if (Place_Pick(table, &specs[i], now, &choice)) {
            PlaceHandle best = choice.endpoints[0];
            Place_OnDispatched(table, best, &specs[i], now);
            Place_OnFinished(table, best, &specs[i],
                             &(PlaceResult){
                                 .dispatched_at = now,
                                 .first_piece_at = now + 1,
                                 .ended_at = now + 2,
                                 .complete = true,
                             },
                             now + 2);
        }
    }
    double ns = (now_ns() - start) / ROUNDS;
    *heap_growth += heap_bytes() - before_rounds;
    g_free(specs);
    g_rand_free(rand);
    Place_Free(table);
    print_cost("place", endpoints, ns, bytes);
    return ns;
}

static void
discard_actions(WantQueue *queue)
{
    QueueAction actions[64];
    while (Queue_TakeActions(queue, actions, 64) > 0) {
    }
}

static void
measure_queue(uint32_t waiting, size_t *heap_growth)
{
    size_t before = heap_bytes();
    WantQueue *queue = Queue_New(&(QueueConfig){
        .max_wants = 4096,
        .max_ended_ids = 8192,
        .slots = 16,
        .grant_ttl = US_PER_S,
    });
    size_t bytes = heap_bytes() - before;
    GRand *rand = g_rand_new_with_seed(SEED);
    for (uint32_t i = 0; i < waiting; i++) {
        WorkSpec work = new_work(rand, i);
        Queue_AddWant(queue, &work, 1, 0);
        discard_actions(queue);
    }
    size_t before_rounds = heap_bytes();
    double start = now_ns();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        WorkSpec work = new_work(rand, waiting + i);
        TimeUs now = i * 100;
        Queue_AddWant(queue, &work, 1, now);
        Queue_Withdraw(queue, work.id, 1, now);
        discard_actions(queue);
    }
    double ns = (now_ns() - start) / ROUNDS;
    *heap_growth += heap_bytes() - before_rounds;
    g_rand_free(rand);
    Queue_Free(queue);
    print_cost("queue", waiting, ns, bytes);
}

static void
measure_limits(uint32_t accounts, size_t *heap_growth)
{
    size_t before = heap_bytes();
    LimitTable *table = Limits_New(accounts);
    size_t bytes = heap_bytes() - before;
    AccountLimits limits = {
        .requests_s = 100,
        .tokens_s = 100000,
        .concurrent = 50,
    };
    for (uint32_t i = 0; i < accounts; i++) {
        Limits_Set(table, i, &limits, 0);
    }
    GRand *rand = g_rand_new_with_seed(SEED);
    size_t before_rounds = heap_bytes();
    double start = now_ns();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        uint32_t account = (uint32_t)g_rand_int_range(rand, 0, (int)accounts);
        uint32_t retry;
        if (Limits_Admit(table, account, 500, i * 100, &retry)) {
            Limits_Release(table, account, 500, 400, i * 100 + 50);
        }
    }
    double ns = (now_ns() - start) / ROUNDS;
    *heap_growth += heap_bytes() - before_rounds;
    g_rand_free(rand);
    Limits_Free(table);
    print_cost("limits", accounts, ns, bytes);
}

int
main(int argc, char **argv)
{
    for (int i = 1; i + 1 < argc; i++) {
        if (strcmp(argv[i], "--csv") == 0) {
            csv = fopen(argv[i + 1], "w");
        }
    }
    if (csv != NULL) {
        fprintf(csv, "what,size,ns,bytes\n");
    }
    size_t heap_growth = 0;
    measure_place(12, &heap_growth);
    double small = measure_place(100, &heap_growth);
    measure_place(1000, &heap_growth);
    double large = measure_place(3700, &heap_growth);
    for (uint32_t waiting = 0; waiting <= 1024; waiting += 256) {
        measure_queue(waiting, &heap_growth);
    }
    measure_limits(5, &heap_growth);
    measure_limits(1000, &heap_growth);
    measure_limits(30000, &heap_growth);
    if (csv != NULL) {
        fclose(csv);
    }
    printf("growth of place from 100 to 3,700 endpoints: %.2f (bound %.1f)\n",
           large / small, MAX_TIME_GROWTH);
    printf("heap grown on the hot path: %zu bytes (bound 0)\n", heap_growth);
    return large / small > MAX_TIME_GROWTH || heap_growth > 0;
}
