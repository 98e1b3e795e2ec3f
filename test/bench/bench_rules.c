/** @file
 * Bench of large rule files: time to parse, time of a lookup, memory, and the
 * size of the delta of a one-line change.
 *
 * Prints `NAME VALUE UNIT` lines. Fails if a lookup among 30,000 accounts
 * takes more than LOOKUP_RATIO_MAX times as long as one among 1,000, or if the
 * delta of a one-line change is larger than DELTA_MAX_BYTES.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "kernel/clock.h"
#include "rules/delta.h"
#include "rules/rules.h"

#define LOOKUPS 200000
#define ROUNDS 5
#define LOOKUP_RATIO_MAX 6.0
#define DELTA_MAX_BYTES 256

/* Returns a rule file of @p count accounts, whose keys are "key-0", "key-1"
 * and so on. */
static char *
make_text(unsigned count)
{
    GString *text = g_string_new(NULL);
    for (unsigned i = 0; i < count; i++) {
        char key[32];
        char hex[2 * RULES_KEY_HASH_BYTES + 1];
        g_snprintf(key, sizeof(key), "key-%u", i);
        Rules_HashKey(key, hex);
        g_string_append_printf(text,
                               "account office-%u key=%s tier=%u "
                               "requests_s=%u concurrent=16 # asked by both "
                               "offices\n",
                               i, hex, i % RULES_TIERS, 10 + i % 90);
    }
    return g_string_free(text, FALSE);
}

static double
parse_ms(const char *text, Rules **rules)
{
    double best = 1e9;
    for (unsigned round = 0; round < ROUNDS; round++) {
        size_t found;
        Rules_Unref(*rules);
        TimeUs start = Clock_Now();
        *rules = Rules_Parse(text, strlen(text), NULL, 0, &found);
        best = MIN(best, (double)(Clock_Now() - start) / US_PER_MS);
    }
    return best;
}

/* Returns the nanoseconds per lookup in the fastest round in which all keys
 * were found, or 1e9 if there is none. */
static double
key_lookup_ns(const Rules *rules, unsigned count)
{
    double best = 1e9;
    for (unsigned round = 0; round < ROUNDS; round++) {
        unsigned found = 0;
        TimeUs start = Clock_Now();
        for (unsigned i = 0; i < LOOKUPS; i++) {
            char key[32] = "key-";
            g_snprintf(key + 4, sizeof(key) - 4, "%u", i * 7919u % count);
            found += Rules_AccountByKey(rules, key) != NULL;
        }
        double lookup_ns = (double)(Clock_Now() - start) * 1000 / LOOKUPS;
        best = MIN(best, found == LOOKUPS ? lookup_ns : 1e9);
    }
    return best;
}

static size_t largest_delta;

static size_t
delta_bytes(const char *text)
{
    char *changed = g_strdup(text);
    char *number = strstr(changed + strlen(changed) / 2, "=16 ");
    number[1] = '3';
    number[2] = '2';
    RulesDelta delta = RulesDelta_Make(text, changed);
    size_t size = delta.middle_length;
    largest_delta = MAX(largest_delta, size);
    g_free(changed);
    return size;
}

/* Measures a rule file of @p count accounts. Returns the nanoseconds per
 * lookup. */
static double
measure(unsigned count)
{
    char *text = make_text(count);
    Rules *rules = NULL;
    double ms = parse_ms(text, &rules);
    double ns = key_lookup_ns(rules, count);
    printf("rules_%u_text %zu bytes\n", count, strlen(text));
    printf("rules_%u_parse %.2f ms\n", count, ms);
    printf("rules_%u_lookup %.0f ns\n", count, ns);
    printf("rules_%u_memory %zu bytes\n", count, Rules_MemoryBytes(rules));
    printf("rules_%u_delta_of_one_line %zu bytes\n", count, delta_bytes(text));
    Rules_Unref(rules);
    g_free(text);
    return ns;
}

int
main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return 1;
    }
    double small_ns = measure(1000);
    measure(10000);
    double large_ns = measure(30000);
    printf("rules_lookup_30000_to_1000 %.2f ratio\n", large_ns / small_ns);
    if (large_ns > LOOKUP_RATIO_MAX * small_ns) {
        fprintf(stderr,
                "bench_rules: a lookup among 30,000 accounts takes too "
                "long compared with one among 1,000\n");
        return 1;
    }
    return largest_delta > DELTA_MAX_BYTES;
}
