/** @file
 * Delta between two rule files: the common prefix, the common suffix and the
 * new text between them. A change of one line costs about the bytes of that
 * line on links and disks.
 */
#ifndef LAURELLIFT_RULES_DELTA_H
#define LAURELLIFT_RULES_DELTA_H

#include <stddef.h>
#include <stdint.h>

/** Replaces the text between a prefix and a suffix of the base text. */
typedef struct RulesDelta {
    size_t prefix;      /**< Bytes kept from the start of the base. */
    size_t suffix;      /**< Bytes kept from the end of the base. */
    const char *middle; /**< New text between them. */
    size_t middle_length;
    uint64_t hash; /**< XXH3 of the whole new text. */
} RulesDelta;

/** Computes the delta from @p base to @p text. `middle` points into @p text.
 */
RulesDelta RulesDelta_Make(const char *base, const char *text);

/** Applies a delta to @p base.
 * @return the new text, to be freed with g_free(), or NULL when the delta does
 *         not fit @p base or the hash of the result differs. */
char *RulesDelta_Apply(const char *base, const RulesDelta *delta);

#endif
