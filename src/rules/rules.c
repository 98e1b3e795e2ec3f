/** @file
 * Rule file: parsing, and lookups in the parsed rules.
 */
#include "rules/rules.h"

#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "rules/line.h"

struct Rules {
    gint references;
    GArray *accounts;    /* of RulesAccount */
    GArray *routes;      /* of RulesRoute */
    GHashTable *by_key;  /* key hash (32 bytes) -> index + 1 */
    GHashTable *by_name; /* account name -> index + 1 */
    GHashTable *models;  /* set of model names */
};

static guint
hash_key_hash(gconstpointer key)
{
    guint value;
    memcpy(&value, key, sizeof(value));
    return value;
}

static gboolean
equal_key_hash(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, RULES_KEY_HASH_BYTES) == 0;
}

static Rules *
new_rules(void)
{
    Rules *rules = g_new0(Rules, 1);
    rules->references = 1;
    rules->accounts = g_array_new(FALSE, FALSE, sizeof(RulesAccount));
    rules->routes = g_array_new(FALSE, FALSE, sizeof(RulesRoute));
    rules->by_key =
        g_hash_table_new_full(hash_key_hash, equal_key_hash, g_free, NULL);
    rules->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    rules->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return rules;
}

Rules *
Rules_Ref(Rules *rules)
{
    g_atomic_int_inc(&rules->references);
    return rules;
}

void
Rules_Unref(Rules *rules)
{
    if (rules == NULL || !g_atomic_int_dec_and_test(&rules->references)) {
        return;
    }
    g_array_free(rules->accounts, TRUE);
    g_array_free(rules->routes, TRUE);
    g_hash_table_destroy(rules->by_key);
    g_hash_table_destroy(rules->by_name);
    g_hash_table_destroy(rules->models);
    g_free(rules);
}

/* Collects the errors of a rule file. */
typedef struct FaultList {
    RulesFault *faults;
    size_t capacity;
    size_t found;
} FaultList;

static void
add_fault(FaultList *list, unsigned line, unsigned column, const char *text)
{
    if (list->found < list->capacity) {
        RulesFault *fault = &list->faults[list->found];
        fault->line = line;
        fault->column = column;
        g_strlcpy(fault->text, text, sizeof(fault->text));
    }
    list->found++;
}

static const char *
add_account(Rules *rules, RulesAccount *account)
{
    account->index = rules->accounts->len;
    gpointer value = GUINT_TO_POINTER(account->index + 1);
    if (g_hash_table_contains(rules->by_name, account->name)) {
        return "This account is already defined.";
    }
    if (g_hash_table_contains(rules->by_key, account->key_hash)) {
        return "This key already belongs to another account.";
    }
    g_array_append_val(rules->accounts, *account);
    g_hash_table_insert(rules->by_name, g_strdup(account->name), value);
    g_hash_table_insert(rules->by_key,
                        g_memdup2(account->key_hash, RULES_KEY_HASH_BYTES),
                        value);
    return NULL;
}

static const char *
add_route(Rules *rules, const RulesRoute *route)
{
    for (guint i = 0; i < rules->routes->len; i++) {
        const RulesRoute *other = &g_array_index(rules->routes, RulesRoute, i);
        if (strcmp(other->method, route->method) == 0 &&
            strcmp(other->path, route->path) == 0 &&
            other->prefix == route->prefix)
        {
            return "This method and path already have a route.";
        }
    }
    g_array_append_val(rules->routes, *route);
    return NULL;
}

static const char *
add_rule(Rules *rules, RulesLine *line)
{
    switch (line->kind) {
    case RULES_LINE_ACCOUNT:
        return add_account(rules, &line->account);
    case RULES_LINE_MODEL:
        if (!g_hash_table_add(rules->models, g_strdup(line->model))) {
            return "This model is already defined.";
        }
        return NULL;
    case RULES_LINE_ROUTE:
        return add_route(rules, &line->route);
    default:
        return NULL;
    }
}

Rules *
Rules_Parse(const char *text, size_t length, RulesFault *faults,
            size_t capacity, size_t *found)
{
    FaultList list = {.faults = faults, .capacity = capacity};
    Rules *rules = new_rules();
    unsigned line_number = 0;
    size_t position = 0;
    if (length > RULES_TEXT_MAX_BYTES) {
        add_fault(&list, 1, 1, "The rule file is larger than 16 MiB.");
        position = length;
    }
    while (position < length) {
        const char *start = text + position;
        const char *end = memchr(start, '\n', length - position);
        size_t size = end == NULL ? length - position : (size_t)(end - start);
        line_number++;
        position += size + 1;
        RulesLine line;
        unsigned column = 1;
        const char *fault = RulesLine_Parse(start, size, &line, &column);
        if (fault == NULL) {
            fault = add_rule(rules, &line);
        }
        if (fault != NULL) {
            add_fault(&list, line_number, column, fault);
        }
    }
    *found = list.found;
    if (list.found > 0) {
        Rules_Unref(rules);
        return NULL;
    }
    return rules;
}

static const RulesAccount *
account_at(const Rules *rules, gpointer value)
{
    guint index = GPOINTER_TO_UINT(value);
    if (index == 0) {
        return NULL;
    }
    return &g_array_index(rules->accounts, RulesAccount, index - 1);
}

static void
hash_key(const char *key, uint8_t hash[RULES_KEY_HASH_BYTES])
{
    crypto_generichash(hash, RULES_KEY_HASH_BYTES, (const uint8_t *)key,
                       strlen(key), NULL, 0);
}

const RulesAccount *
Rules_AccountByKey(const Rules *rules, const char *api_key)
{
    uint8_t hash[RULES_KEY_HASH_BYTES];
    hash_key(api_key, hash);
    return account_at(rules, g_hash_table_lookup(rules->by_key, hash));
}

const RulesAccount *
Rules_AccountByName(const Rules *rules, const char *name)
{
    return account_at(rules, g_hash_table_lookup(rules->by_name, name));
}

static bool
route_matches(const RulesRoute *route, const char *method, const char *path)
{
    if (strcmp(route->method, method) != 0) {
        return false;
    }
    if (route->prefix) {
        return g_str_has_prefix(path, route->path);
    }
    return strcmp(route->path, path) == 0;
}

const RulesRoute *
Rules_FindRoute(const Rules *rules, const char *method, const char *path)
{
    const RulesRoute *best = NULL;
    for (guint i = 0; i < rules->routes->len; i++) {
        const RulesRoute *route = &g_array_index(rules->routes, RulesRoute, i);
        if (!route_matches(route, method, path)) {
            continue;
        }
        if (!route->prefix) {
            return route;
        }
        if (best == NULL || strlen(route->path) > strlen(best->path)) {
            best = route;
        }
    }
    return best;
}

bool
Rules_HasModel(const Rules *rules, const char *name)
{
    return g_hash_table_contains(rules->models, name);
}

uint32_t
Rules_AccountCount(const Rules *rules)
{
    return rules->accounts->len;
}

size_t
Rules_MemoryBytes(const Rules *rules)
{
    const size_t hash_entry_bytes = 64;
    size_t accounts = rules->accounts->len;
    return accounts * (sizeof(RulesAccount) + RULES_KEY_HASH_BYTES +
                       RULES_NAME_MAX + 2 * hash_entry_bytes) +
           rules->routes->len * sizeof(RulesRoute);
}

void
Rules_HashKey(const char *key, char hex[2 * RULES_KEY_HASH_BYTES + 1])
{
    uint8_t hash[RULES_KEY_HASH_BYTES];
    hash_key(key, hash);
    sodium_bin2hex(hex, 2 * RULES_KEY_HASH_BYTES + 1, hash, sizeof(hash));
}
