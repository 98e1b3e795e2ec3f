/** @file
 * Request metrics of the entry by tier.
 */
#include "entry/state.h"

#include "kernel/counter.h"

#define NAME_MAX_BYTES 128

static void
count_by_tier(const char *family, const char *label, const char *value,
              uint32_t tier, const char *help)
{
    char name[NAME_MAX_BYTES];
    char number[8] = "none";
    if (tier < WORK_TIERS) {
        g_snprintf(number, sizeof(number), "%u", tier);
    }
    g_snprintf(name, sizeof(name), "%s{%s=\"%s\",tier=\"%s\"}", family, label,
               value, number);
    Counter_Add(Counter_Get(name, help), 1);
}

void
EntryCounters_CountRequest(uint32_t tier)
{
    static Counter *counters[WORK_TIERS];
    if (counters[tier] == NULL) {
        char name[NAME_MAX_BYTES];
        g_snprintf(name, sizeof(name), "entry_requests_total{tier=\"%u\"}",
                   tier);
        counters[tier] = Counter_Get(name, "Requests accepted, by tier.");
    }
    Counter_Add(counters[tier], 1);
}

void
EntryCounters_CountRefused(const char *reason, uint32_t tier)
{
    count_by_tier(
        "entry_refused_total", "reason", reason, tier,
        "Requests that were refused and did not run, by reason and tier.");
}

void
EntryCounters_CountFinished(const char *outcome, uint32_t tier)
{
    count_by_tier("entry_finished_total", "outcome", outcome, tier,
                  "Requests that ended, by outcome and tier.");
}
