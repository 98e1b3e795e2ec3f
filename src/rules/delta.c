/** @file
 * Computes and applies deltas between two rule files.
 */
#include "rules/delta.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "rules/rules.h"

RulesDelta
RulesDelta_Make(const char *base, const char *text)
{
    size_t base_length = strlen(base);
    size_t length = strlen(text);
    size_t shortest = MIN(base_length, length);
    size_t prefix = 0;
    while (prefix < shortest && base[prefix] == text[prefix]) {
        prefix++;
    }
    size_t suffix = 0;
    while (suffix < shortest - prefix &&
           base[base_length - suffix - 1] == text[length - suffix - 1])
    {
        suffix++;
    }
    return (RulesDelta){
        .prefix = prefix,
        .suffix = suffix,
        .middle = text + prefix,
        .middle_length = length - prefix - suffix,
        .hash = XXH3_64bits(text, length),
    };
}

char *
RulesDelta_Apply(const char *base, const RulesDelta *delta)
{
    size_t base_length = strlen(base);
    if (delta->prefix > base_length ||
        delta->suffix > base_length - delta->prefix ||
        delta->middle_length > RULES_TEXT_MAX_BYTES)
    {
        return NULL;
    }
    size_t length = delta->prefix + delta->middle_length + delta->suffix;
    char *text = g_malloc(length + 1);
    memcpy(text, base, delta->prefix);
    if (delta->middle_length > 0) {
        memcpy(text + delta->prefix, delta->middle, delta->middle_length);
    }
    memcpy(text + length - delta->suffix, base + base_length - delta->suffix,
           delta->suffix);
    text[length] = '\0';
    if (XXH3_64bits(text, length) != delta->hash || strlen(text) != length) {
        g_free(text);
        return NULL;
    }
    return text;
}
