/** @file
 * Table of the answers during a roll-out.
 */
#include "sched/rollout_samples.h"

#include <glib.h>

struct RolloutSamples {
    GHashTable *by_key; /* "CLASS SIDE ROUTE" -> RolloutSum */
};

static void
free_sum(gpointer data)
{
    RolloutSum *sum = data;
    g_free(sum->route);
    g_free(sum);
}

RolloutSamples *
RolloutSamples_New(void)
{
    RolloutSamples *samples = g_new0(RolloutSamples, 1);
    samples->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sum);
    return samples;
}

void
RolloutSamples_Free(RolloutSamples *samples)
{
    g_hash_table_destroy(samples->by_key);
    g_free(samples);
}

RolloutSum *
RolloutSamples_Find(RolloutSamples *samples, const char *route,
                    RolloutSide side, unsigned load_class)
{
    char *key = g_strdup_printf("%u %d %s", load_class, (int)side, route);
    RolloutSum *sum = g_hash_table_lookup(samples->by_key, key);
    if (sum != NULL || RolloutSamples_Count(samples) >= ROLLOUT_SAMPLES_MAX) {
        g_free(key);
        return sum;
    }
    sum = g_new0(RolloutSum, 1);
    sum->route = g_strdup(route);
    sum->side = side;
    sum->load_class = load_class;
    g_hash_table_insert(samples->by_key, key, sum);
    return sum;
}

size_t
RolloutSamples_Count(const RolloutSamples *samples)
{
    return g_hash_table_size(samples->by_key);
}

void
RolloutSamples_List(const RolloutSamples *samples, const RolloutSum **sums)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, samples->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sums[count++] = value;
    }
}
