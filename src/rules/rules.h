/** @file
 * Rule file: one rule per line, each followed by a comment that names the
 * author of the rule. Parsed rules are immutable and reference counted.
 *
 * - `account NAME key=HASH tier=0 [requests_s=N] [tokens_s=N]
 *   [concurrent=N] # asked by OFFICE`
 * - `model NAME # asked by OFFICE`
 * - `route METHOD PATH model # asked by OFFICE`
 * - `route METHOD PATH service=NAME idempotent=yes|no # asked by OFFICE`
 *
 * A PATH that ends with `*` matches a prefix; the longest match wins. HASH is
 * the hexadecimal BLAKE2b-256 of the account's API key. `tier` is the highest
 * tier (lowest number) that the account may request, and its default.
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
    uint32_t index;      /**< From 0 to the number of accounts - 1. */
    uint32_t tier;       /**< Highest tier that the account may use. */
    uint32_t requests_s; /**< Limit in requests/s; 0: no limit. */
    uint32_t tokens_s;   /**< Limit in tokens/s; 0: no limit. */
    uint32_t concurrent; /**< Limit on concurrent requests; 0: no limit. */
} RulesAccount;

typedef struct RulesRoute {
    char method[8];
    char path[128]; /**< Without the final `*`. */
    bool prefix;    /**< Matches every path that starts with `path`. */
    bool is_model;  /**< Sent to model engines, not to `service`. */
    char service[RULES_NAME_MAX + 1];
    bool idempotent;
} RulesRoute;

/** An error in a rule file. Line and column are counted from 1. */
typedef struct RulesFault {
    unsigned line;
    unsigned column;
    char text[200];
} RulesFault;

typedef struct Rules Rules;

/** Parses a rule file.
 * @param faults    receives the first @p capacity errors; may be NULL when
 *                  @p capacity is 0.
 * @param found     set to the number of all errors.
 * @return the rules with one reference, or NULL when there are errors. */
Rules *Rules_Parse(const char *text, size_t length, RulesFault *faults,
                   size_t capacity, size_t *found);

Rules *Rules_Ref(Rules *rules);
void Rules_Unref(Rules *rules);

/** Returns the account with the API key, or NULL. */
const RulesAccount *Rules_AccountByKey(const Rules *rules,
                                       const char *api_key);

const RulesAccount *Rules_AccountByName(const Rules *rules, const char *name);

/** Returns the route for a method and a path without query string, or NULL. */
const RulesRoute *Rules_FindRoute(const Rules *rules, const char *method,
                                  const char *path);

bool Rules_HasModel(const Rules *rules, const char *name);

uint32_t Rules_AccountCount(const Rules *rules);

/** Estimates the memory that the parsed rules use, in bytes. */
size_t Rules_MemoryBytes(const Rules *rules);

/** Writes the hexadecimal BLAKE2b-256 hash of an API key or operator's key. */
void Rules_HashKey(const char *key, char hex[2 * RULES_KEY_HASH_BYTES + 1]);

#endif
