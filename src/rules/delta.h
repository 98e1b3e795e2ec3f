/** @file
 * Delta: the part of a rule file that a change replaces, so that a change of
 * one line costs about one line on links and disks.
 */
#ifndef LAURELLIFT_RULES_DELTA_H
#define LAURELLIFT_RULES_DELTA_H

#include <stddef.h>
#include <stdint.h>

/** Replaces what stands between a common start and end of two texts. */
typedef struct RulesDelta {
    size_t prefix; /**< Bytes kept from the start of the base. */
    size_t suffix; /**< Bytes kept from the end of the base. */
    const char *middle;
    size_t middle_length;
    uint64_t hash; /**< XXH3 of the whole new text. */
} RulesDelta;

/** The delta from @p base to @p text; `middle` points into @p text. */
RulesDelta RulesDelta_Make(const char *base, const char *text);

/** The text after the delta, to be freed with g_free; NULL when the delta
 * does not fit @p base or the result differs from what was meant. */
char *RulesDelta_Apply(const char *base, const RulesDelta *delta);

#endif
