/** @file
 * Account limits as token buckets that store the units of one second.
 */
#include "sched/limits.h"

#include <math.h>

#include <glib.h>

/* Time constant of the demand average. */
#define DEMAND_WINDOW_US (5.0 * US_PER_S)

typedef struct AccountUse {
    AccountLimits limits;
    double share;
    double requests; /* requests left in the bucket */
    double tokens;   /* tokens left in the bucket; negative: debt */
    TimeUs filled_at;
    uint32_t running;
    double demand; /* requests per second, decaying average */
    TimeUs demand_at;
} AccountUse;

struct LimitTable {
    uint32_t count;
    AccountUse use[];
};

LimitTable *
Limits_New(uint32_t accounts)
{
    size_t size = sizeof(LimitTable) + accounts * sizeof(AccountUse);
    LimitTable *table = g_malloc0(size);
    table->count = accounts;
    for (uint32_t i = 0; i < accounts; i++) {
        table->use[i].share = 1.0;
    }
    return table;
}

void
Limits_Free(LimitTable *table)
{
    g_free(table);
}

static void
refill(AccountUse *use, TimeUs now)
{
    double seconds = (double)(now - use->filled_at) / US_PER_S;
    double request_rate = use->limits.requests_s * use->share;
    double token_rate = use->limits.tokens_s * use->share;
    use->requests =
        fmin(use->requests + seconds * request_rate, fmax(request_rate, 1));
    use->tokens = fmin(use->tokens + seconds * token_rate, token_rate);
    use->filled_at = now;
}

void
Limits_Set(LimitTable *table, uint32_t account, const AccountLimits *limits,
           TimeUs now)
{
    AccountUse *use = &table->use[account];
    bool first_use = use->filled_at == 0;
    use->limits = *limits;
    if (first_use) {
        use->filled_at = now;
        use->requests = fmax(limits->requests_s * use->share, 1);
        use->tokens = limits->tokens_s * use->share;
    }
}

void
Limits_SetShare(LimitTable *table, uint32_t account, double share)
{
    table->use[account].share = share;
}

static void
count_demand(AccountUse *use, TimeUs now)
{
    double age = (double)(now - use->demand_at);
    use->demand *= exp(-age / DEMAND_WINDOW_US);
    use->demand += US_PER_S / DEMAND_WINDOW_US;
    use->demand_at = now;
}

static uint32_t
refill_time_ms(double missing, double rate)
{
    if (rate <= 0) {
        return 60000;
    }
    return (uint32_t)fmin(60000, ceil(missing * 1000 / rate));
}

bool
Limits_Admit(LimitTable *table, uint32_t account, uint32_t tokens, TimeUs now,
             uint32_t *retry_after_ms)
{
    AccountUse *use = &table->use[account];
    count_demand(use, now);
    refill(use, now);
    const AccountLimits *limits = &use->limits;
    if (limits->requests_s > 0 && use->requests < 1) {
        *retry_after_ms =
            refill_time_ms(1 - use->requests, limits->requests_s * use->share);
        return false;
    }
    /* A request that costs more than the bucket holds is admitted unless the
     * bucket is empty or in debt. It leaves the bucket in debt. */
    if (limits->tokens_s > 0 && use->tokens <= 0) {
        *retry_after_ms =
            refill_time_ms(1 - use->tokens, limits->tokens_s * use->share);
        return false;
    }
    double concurrency_limit = fmax(1, floor(limits->concurrent * use->share));
    if (limits->concurrent > 0 && use->running >= concurrency_limit) {
        *retry_after_ms = 1000;
        return false;
    }
    use->requests -= 1;
    use->tokens -= tokens;
    use->running++;
    return true;
}

void
Limits_Release(LimitTable *table, uint32_t account, uint32_t tokens,
               uint32_t tokens_used, TimeUs now)
{
    AccountUse *use = &table->use[account];
    refill(use, now);
    use->tokens += (double)tokens - tokens_used;
    if (use->running > 0) {
        use->running--;
    }
}

double
Limits_Demand(const LimitTable *table, uint32_t account, TimeUs now)
{
    const AccountUse *use = &table->use[account];
    double age = (double)(now - use->demand_at);
    return use->demand * exp(-age / DEMAND_WINDOW_US);
}
