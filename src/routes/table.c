/** @file
 * Route table: building, checks and lookups.
 */
#include "routes/table.h"

#include <string.h>
#include <strings.h>

#include <xxhash.h>

struct RouteTable {
    int references;
    uint64_t version;
    GStringChunk *texts;
    GArray *routes;   /* Route */
    GArray *services; /* RouteService */
    GArray *accounts; /* RouteAccount */
    RouteLimits limits;
    bool is_open;        /* requests need no key */
    GHashTable *by_host; /* lower-case host -> GPtrArray of Route */
    GHashTable *by_key;  /* key -> RouteAccount */
    GHashTable *by_name; /* service name -> RouteService */
};

/* Limits that are used when a document sets none. */
static const RouteLimits default_limits = {
    .max_head_bytes = 16384,
    .max_body_bytes = 4u * 1024 * 1024,
    .head_timeout_ms = 3000,
    .idle_timeout_ms = 15000,
};

RouteTable *
RouteTable_New(uint64_t version)
{
    RouteTable *table = g_new0(RouteTable, 1);
    table->references = 1;
    table->version = version;
    table->texts = g_string_chunk_new(4096);
    table->routes = g_array_new(FALSE, FALSE, sizeof(Route));
    table->services = g_array_new(FALSE, FALSE, sizeof(RouteService));
    table->accounts = g_array_new(FALSE, FALSE, sizeof(RouteAccount));
    table->limits = default_limits;
    table->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           (GDestroyNotify)g_ptr_array_unref);
    table->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return table;
}

RouteTable *
RouteTable_Ref(RouteTable *table)
{
    table->references++;
    return table;
}

void
RouteTable_Unref(RouteTable *table)
{
    if (table == NULL || --table->references > 0) {
        return;
    }
    for (guint i = 0; i < table->routes->len; i++) {
        g_array_unref(g_array_index(table->routes, Route, i).splits);
    }
    for (guint i = 0; i < table->accounts->len; i++) {
        g_ptr_array_unref(
            g_array_index(table->accounts, RouteAccount, i).keys);
    }
    g_array_unref(table->routes);
    g_array_unref(table->services);
    g_array_unref(table->accounts);
    g_hash_table_destroy(table->by_host);
    g_hash_table_destroy(table->by_key);
    g_hash_table_destroy(table->by_name);
    g_string_chunk_free(table->texts);
    g_free(table);
}

const char *
RouteTable_Text(RouteTable *table, const char *text)
{
    return g_string_chunk_insert_const(table->texts, text);
}

void
RouteTable_AddRoute(RouteTable *table, const Route *route)
{
    g_array_append_val(table->routes, *route);
}

void
RouteTable_AddService(RouteTable *table, const RouteService *service)
{
    g_array_append_val(table->services, *service);
}

void
RouteTable_AddAccount(RouteTable *table, const RouteAccount *account)
{
    g_array_append_val(table->accounts, *account);
}

void
RouteTable_SetLimits(RouteTable *table, const RouteLimits *limits)
{
    table->limits = *limits;
}

void
RouteTable_SetOpen(RouteTable *table)
{
    table->is_open = true;
}

static int
index_services(RouteTable *table, Error *err)
{
    for (guint i = 0; i < table->services->len; i++) {
        RouteService *service =
            &g_array_index(table->services, RouteService, i);
        if (!g_hash_table_insert(table->by_name, (gpointer)service->name,
                                 service)) {
            return Error_Set(err, ERR_INVALID, "Service %s is defined twice.",
                             service->name);
        }
    }
    return ERR_OK;
}

static int
index_keys(RouteTable *table, Error *err)
{
    for (guint i = 0; i < table->accounts->len; i++) {
        RouteAccount *account =
            &g_array_index(table->accounts, RouteAccount, i);
        for (guint k = 0; k < account->keys->len; k++) {
            const RouteAccount *other =
                g_hash_table_lookup(table->by_key, account->keys->pdata[k]);
            if (other != NULL && other != account) {
                return Error_Set(err, ERR_INVALID,
                                 "Accounts %s and %s share a key.",
                                 other->name, account->name);
            }
            g_hash_table_insert(table->by_key, account->keys->pdata[k],
                                account);
        }
    }
    return ERR_OK;
}

static int
check_route(const RouteTable *table, const Route *route, Error *err)
{
    size_t length = strlen(route->prefix);
    if (length == 0 || route->prefix[0] != '/' ||
        route->prefix[length - 1] != '/') {
        return Error_Set(
            err, ERR_INVALID,
            "Route %s: expected a prefix that starts and ends with '/'.",
            route->name);
    }
    if (route->timeout_ms == 0) {
        return Error_Set(err, ERR_INVALID,
                         "Route %s: expected a timeout above 0 ms.",
                         route->name);
    }
    uint64_t weights = 0;
    for (guint i = 0; i < route->splits->len; i++) {
        const RouteSplit *split = &g_array_index(route->splits, RouteSplit, i);
        weights += split->weight;
        if (!g_hash_table_contains(table->by_name, split->service)) {
            return Error_Set(err, ERR_INVALID,
                             "Route %s: there is no service %s.", route->name,
                             split->service);
        }
    }
    return weights > 0
               ? ERR_OK
               : Error_Set(err, ERR_INVALID,
                           "Route %s: expected weights with a sum above 0.",
                           route->name);
}

static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
    const Route *first = *(const Route *const *)a;
    const Route *second = *(const Route *const *)b;
    size_t first_length = strlen(first->prefix);
    size_t second_length = strlen(second->prefix);
    if (first_length != second_length) {
        return first_length > second_length ? -1 : 1;
    }
    return strcmp(first->prefix, second->prefix);
}

static GPtrArray *
host_routes(RouteTable *table, const char *host)
{
    char *lower = g_ascii_strdown(host, -1);
    const char *key = RouteTable_Text(table, lower);
    g_free(lower);
    GPtrArray *routes = g_hash_table_lookup(table->by_host, key);
    if (routes == NULL) {
        routes = g_ptr_array_new();
        g_hash_table_insert(table->by_host, (gpointer)key, routes);
    }
    return routes;
}

static int
index_routes(RouteTable *table, Error *err)
{
    for (guint i = 0; i < table->routes->len; i++) {
        Route *route = &g_array_index(table->routes, Route, i);
        int result = check_route(table, route, err);
        if (result != ERR_OK) {
            return result;
        }
        g_ptr_array_add(host_routes(table, route->host), route);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->by_host);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray *routes = value;
        g_ptr_array_sort(routes, compare_prefixes);
        for (guint i = 1; i < routes->len; i++) {
            const Route *previous = routes->pdata[i - 1];
            const Route *route = routes->pdata[i];
            if (strcmp(previous->prefix, route->prefix) == 0) {
                return Error_Set(
                    err, ERR_INVALID,
                    "Routes %s and %s have the same host and prefix.",
                    previous->name, route->name);
            }
        }
    }
    return ERR_OK;
}

int
RouteTable_Finish(RouteTable *table, Error *err)
{
    int result = index_services(table, err);
    if (result == ERR_OK) {
        result = index_keys(table, err);
    }
    return result == ERR_OK ? index_routes(table, err) : result;
}

uint64_t
RouteTable_Version(const RouteTable *table)
{
    return table->version;
}

const RouteLimits *
RouteTable_Limits(const RouteTable *table)
{
    return &table->limits;
}

bool
RouteTable_RequiresKeys(const RouteTable *table)
{
    return !table->is_open;
}

const Route *
RouteTable_Match(const RouteTable *table, const char *host, const char *path)
{
    size_t length = strcspn(host, ":");
    char *lower = g_ascii_strdown(host, (gssize)length);
    const GPtrArray *routes = g_hash_table_lookup(table->by_host, lower);
    g_free(lower);
    for (guint i = 0; routes != NULL && i < routes->len; i++) {
        const Route *route = routes->pdata[i];
        if (g_str_has_prefix(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

const RouteAccount *
RouteTable_Account(const RouteTable *table, const char *key)
{
    return g_hash_table_lookup(table->by_key, key);
}

const RouteAccount *
RouteTable_FindAccount(const RouteTable *table, const char *name)
{
    for (guint i = 0; i < table->accounts->len; i++) {
        const RouteAccount *account =
            &g_array_index(table->accounts, RouteAccount, i);
        if (strcmp(account->name, name) == 0) {
            return account;
        }
    }
    return NULL;
}

const RouteService *
RouteTable_Service(const RouteTable *table, const char *name)
{
    return g_hash_table_lookup(table->by_name, name);
}

void
RouteTable_ForEachRoute(const RouteTable *table,
                        void (*visit)(void *arg, const Route *route),
                        void *arg)
{
    for (guint i = 0; i < table->routes->len; i++) {
        visit(arg, &g_array_index(table->routes, Route, i));
    }
}

void
RouteTable_ForEachAccount(const RouteTable *table,
                          void (*visit)(void *arg,
                                        const RouteAccount *account),
                          void *arg)
{
    for (guint i = 0; i < table->accounts->len; i++) {
        visit(arg, &g_array_index(table->accounts, RouteAccount, i));
    }
}

const char *
Route_PickService(const Route *route, const char *request_id)
{
    uint64_t weights = 0;
    for (guint i = 0; i < route->splits->len; i++) {
        weights += g_array_index(route->splits, RouteSplit, i).weight;
    }
    if (weights == 0) {
        return NULL;
    }
    uint64_t point = XXH3_64bits(request_id, strlen(request_id)) % weights;
    for (guint i = 0; i < route->splits->len; i++) {
        const RouteSplit *split = &g_array_index(route->splits, RouteSplit, i);
        if (point < split->weight) {
            return split->service;
        }
        point -= split->weight;
    }
    return NULL;
}

const char *
Route_FindService(const Route *route, const char *service)
{
    for (guint i = 0; i < route->splits->len; i++) {
        const RouteSplit *split = &g_array_index(route->splits, RouteSplit, i);
        if (split->weight > 0 && strcmp(split->service, service) == 0) {
            return split->service;
        }
    }
    return NULL;
}

bool
Route_HasService(const Route *route, const char *service)
{
    return Route_FindService(route, service) != NULL;
}
