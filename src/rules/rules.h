/** @file
 * Rule file: a rule a line, each followed by a comment that names who asked
 * for it. A parsed set of rules is immutable and shared by reference.
 *
 * - `account NAME key=HASH tier=0 [requests_s=N] [tokens_s=N]
 *   [concurrent=N] # asked by OFFICE`
 * - `model NAME # asked by OFFICE`
 * - `route METHOD PATH model # asked by OFFICE`
 * - `route METHOD PATH service=NAME idempotent=yes|no # asked by OFFICE`
 *
 * PATH ends with `*` to match a prefix; the longest match wins. HASH is the
 * hex BLAKE2b-256 of the account's API key. `tier` is the highest tier
 * (lowest number) that the account may ask for and its default.
 */
#ifndef LAURELLIFT_RULES_RULES_H
#define LAURELLIFT_RULES_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/error.h"

#define RULES_TIERS 4
#define RULES_NAME_MAX 64
#define RULES_KEY_HASH_BYTES 32
#define RULES_TEXT_MAX_BYTES (16u * 1024 * 1024)

typedef struct RulesAccount {
    char name[RULES_NAME_MAX + 1];
    uint8_t key_hash[RULES_KEY_HASH_BYTES];
    uint32_t index;      /**< Dense: 0 .. account count - 1. */
    uint32_t tier;       /**< Highest tier it may use; 0 is the highest. */
    uint32_t requests_s; /**< 0: no limit. */
    uint32_t tokens_s;   /**< 0: no limit. */
    uint32_t concurrent; /**< 0: no limit. */
} RulesAccount;

typedef struct RulesRoute {
    char method[8];
    char path[128]; /**< Without the final `*`. */
    bool prefix;    /**< Any path that starts with `path`. */
    bool is_model;  /**< Model work; otherwise a plain service. */
    char service[RULES_NAME_MAX + 1];
    bool idempotent;
} RulesRoute;

/** Where a rule file is wrong; line and column count from 1. */
typedef struct RulesFault {
    unsigned line;
    unsigned column;
    char text[200];
} RulesFault;

typedef struct Rules Rules;

/** Parses @p text.
 * @param faults   room for @p capacity faults; may be NULL when 0.
 * @param found    number of faults, of which the first @p capacity are given.
 * @return the rules with one reference, or NULL when there are faults. */
Rules *Rules_Parse(const char *text, size_t length, RulesFault *faults,
                   size_t capacity, size_t *found);

Rules *Rules_Ref(Rules *rules);
void Rules_Unref(Rules *rules);

/** The account whose key this is, or NULL. */
const RulesAccount *Rules_AccountByKey(const Rules *rules,
                                       const char *api_key);

const RulesAccount *Rules_AccountByName(const Rules *rules, const char *name);

/** The route for this method and path (no query string), or NULL. */
const RulesRoute *Rules_FindRoute(const Rules *rules, const char *method,
                                  const char *path);

bool Rules_HasModel(const Rules *rules, const char *name);

uint32_t Rules_AccountCount(const Rules *rules);

/** Bytes of memory that the parsed rules take. */
size_t Rules_MemoryBytes(const Rules *rules);

/** Hex BLAKE2b-256 of an API key or operator's key. */
void Rules_HashKey(const char *key, char hex[2 * RULES_KEY_HASH_BYTES + 1]);

#endif
