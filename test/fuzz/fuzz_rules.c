/** @file
 * Fuzz target for the rule file parser and for deltas between rule files.
 * Arbitrary bytes must not crash the parser, the position of a fault must lie
 * inside the text, and accepted rules must support lookups. A delta between
 * two texts, applied to the first, must give the second.
 */
#include "fuzz.h"

#include <string.h>

#include <glib.h>

#include "rules/delta.h"
#include "rules/rules.h"

#define FAULTS_MAX 4

static void
check_faults(const RulesFault *faults, size_t found, size_t length)
{
    FUZZ_CHECK(found > 0, "rules were refused without a fault");
    for (size_t i = 0; i < found && i < FAULTS_MAX; i++) {
        FUZZ_CHECK(faults[i].line >= 1 && faults[i].line <= length + 1,
                   "line %u of a fault is outside the text", faults[i].line);
        FUZZ_CHECK(faults[i].column >= 1 && faults[i].column <= length + 1,
                   "column %u of a fault is outside the text",
                   faults[i].column);
        FUZZ_CHECK(faults[i].text[0] != '\0', "a fault has no text");
    }
}

static void
check_rules(Rules *rules)
{
    FUZZ_CHECK(Rules_AccountByKey(rules, "no such key") == NULL,
               "an unknown key was found");
    Rules_FindRoute(rules, "GET", "/orders/17");
    Rules_HasModel(rules, "a");
    FUZZ_CHECK(Rules_MemoryBytes(rules) >= Rules_AccountCount(rules),
               "memory size is smaller than the number of accounts");
    Rules_Unref(rules);
}

static void
check_delta(const uint8_t *bytes, size_t length)
{
    char *base = g_strndup((const char *)bytes, length / 2);
    char *text =
        g_strndup((const char *)bytes + length / 2, length - length / 2);
    RulesDelta delta = RulesDelta_Make(base, text);
    char *result = RulesDelta_Apply(base, &delta);
    FUZZ_CHECK(result != NULL && strcmp(result, text) == 0,
               "a delta does not give the second text");
    delta.prefix = length > 0 ? bytes[0] : 0;
    delta.suffix = length > 1 ? bytes[1] : 0;
    char *other = RulesDelta_Apply(base, &delta);
    FUZZ_CHECK(other == NULL || strcmp(other, text) == 0,
               "a damaged delta gives another text");
    g_free(other);
    g_free(result);
    g_free(text);
    g_free(base);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    RulesFault faults[FAULTS_MAX];
    size_t found = 0;
    Rules *rules =
        Rules_Parse((const char *)bytes, length, faults, FAULTS_MAX, &found);
    if (rules == NULL) {
        check_faults(faults, found, length);
    }
    else {
        check_rules(rules);
    }
    check_delta(bytes, length);
    return 0;
}
