/** @file
 * Workloads of the policy bench, generated from a fixed seed.
 */
#include <math.h>

#include "policy_engine.h"

#define SEED 20261203
#define REQUEST_KINDS_MAX 5
#define BURST_PERIOD_US (60 * US_PER_S)
#define BURST_LENGTH_US (10 * US_PER_S)

/* Kind of request. The token counts are means; those of a request lie between
 * half and one and a half of the mean. */
typedef struct RequestKind {
    double load_share; /* fraction of the load, by cost */
    uint32_t tier;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint32_t deadline_s;
    uint32_t shared_blocks; /* leading blocks that a group's requests share */
    uint32_t groups;
} RequestKind;

static const RequestKind request_kinds[][REQUEST_KINDS_MAX] = {
    [DEPLOYMENT_SAHIL] =
        {
            /* Drafts of announced closures. */
            {0.18, 0, 3000, 600, 60, 16, 12},
            /* Other complete orders. */
            {0.34, 1, 3000, 600, 90, 16, 12},
            /* One-line lookups. */
            {0.06, 1, 60, 10, 8, 0, 1},
            /* Summaries of objections. */
            {0.28, 2, 6000, 300, 60, 8, 20},
            /* Clause wording. */
            {0.14, 3, 400, 40, 15, 2, 12},
        },
    [DEPLOYMENT_MILK] =
        {
            /* Dispute summaries for lab appeals. */
            {0.16, 0, 3000, 300, 60, 8, 10},
            /* Sheet reviews of a whole month. */
            {0.44, 1, 8000, 1200, 180, 24, 30},
            /* Premium postings checked by the model. */
            {0.12, 2, 600, 60, 20, 2, 5},
            /* Sheet lookups. */
            {0.06, 2, 80, 12, 8, 0, 1},
            /* Per-load test notes. */
            {0.22, 3, 240, 40, 15, 1, 5},
        },
};

static uint32_t
vary_tokens(GRand *rand, uint32_t mean)
{
    return (uint32_t)fmax(1, mean * g_rand_double_range(rand, 0.5, 1.5));
}

static void
fill_prefix(GRand *rand, const RequestKind *kind, uint32_t number,
            WorkSpec *work)
{
    uint32_t blocks = work->prompt_tokens / WORK_BLOCK_TOKENS;
    work->prefix_count = MIN(blocks, WORK_PREFIX_BLOCKS_MAX);
    uint32_t group = (uint32_t)g_rand_int_range(rand, 0, (int)kind->groups);
    for (uint32_t i = 0; i < work->prefix_count; i++) {
        bool shared = i < kind->shared_blocks;
        uint64_t block_base =
            shared ? group * 31 + kind->prompt_tokens : number + 100000;
        work->prefix[i] = (block_base << 16 | i) * 0x9e3779b97f4a7c15U;
    }
}

static BenchRequest
new_request(GRand *rand, const RequestKind *kind, uint32_t number, TimeUs now)
{
    BenchRequest request = {
        .arrival = now,
        .entry = (uint32_t)g_rand_int_range(rand, 0, ZONES),
        .server = -1,
        .work =
            {
                .id = {.high = 1, .low = number + 1},
                .target = Work_TargetHash(true, "model"),
                .subjects = {.request = number + 1},
                .tier = kind->tier,
                .deadline = now + kind->deadline_s * US_PER_S,
                .prompt_tokens = vary_tokens(rand, kind->prompt_tokens),
                .output_tokens = vary_tokens(rand, kind->output_tokens),
            },
    };
    fill_prefix(rand, kind, number, &request.work);
    return request;
}

/* Returns the cost of a request of mean size whose shared prefix is cached. */
static double
mean_cost(const RequestKind *kind)
{
    WorkSpec work = {
        .prompt_tokens = kind->prompt_tokens,
        .output_tokens = kind->output_tokens,
    };
    return Engine_Cost(&work, kind->shared_blocks);
}

static double
capacity(const Case *bench_case)
{
    double sum = 0;
    for (uint32_t i = 0; i < Sim_ServerCount(bench_case->deployment); i++) {
        sum += Sim_ServerSpeed(&(Case){.deployment = bench_case->deployment},
                               i, 0);
    }
    return sum;
}

static bool
in_burst(const Case *bench_case, TimeUs now)
{
    return bench_case->burst_load > 0 &&
           now % BURST_PERIOD_US < BURST_LENGTH_US;
}

static gint
by_arrival(gconstpointer a, gconstpointer b)
{
    const BenchRequest *first = a;
    const BenchRequest *second = b;
    if (first->arrival != second->arrival) {
        return first->arrival < second->arrival ? -1 : 1;
    }
    return first->work.id.low < second->work.id.low ? -1 : 1;
}

GArray *
Load_NewRequests(const Case *bench_case)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(BenchRequest));
    for (int i = 0; i < REQUEST_KINDS_MAX; i++) {
        const RequestKind *kind = &request_kinds[bench_case->deployment][i];
        double rate =
            capacity(bench_case) * kind->load_share / mean_cost(kind);
        TimeUs now = 0;
        while (now < ARRIVALS_END_US) {
            double load = in_burst(bench_case, now) ? bench_case->burst_load
                                                    : bench_case->load;
            double uniform = g_rand_double(rand);
            now += (TimeUs)(-log(1 - uniform) / (rate * load) * US_PER_S);
            BenchRequest request = new_request(rand, kind, requests->len, now);
            g_array_append_val(requests, request);
        }
    }
    g_array_sort(requests, by_arrival);
    g_rand_free(rand);
    return requests;
}
