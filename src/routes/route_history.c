/** @file
 * Route history: hash table by host and prefix.
 */
#include "routes/route_history.h"

#include <string.h>

typedef struct RouteState {
    char *host;
    char *service; /* the only one with a weight above 0; NULL if several */
    TimeUs since;
    bool listed; /* in the newest table */
} RouteState;

struct RouteHistory {
    GHashTable *by_key; /* host and prefix -> RouteState */
};

static void
free_state(gpointer data)
{
    RouteState *state = data;
    g_free(state->host);
    g_free(state->service);
    g_free(state);
}

RouteHistory *
RouteHistory_New(void)
{
    RouteHistory *history = g_new0(RouteHistory, 1);
    history->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_state);
    return history;
}

void
RouteHistory_Free(RouteHistory *history)
{
    g_hash_table_destroy(history->by_key);
    g_free(history);
}

static char *
key_of(const Route *route)
{
    return g_strconcat(route->host, route->prefix, NULL);
}

static const char *
sole_service(const Route *route)
{
    const char *service = NULL;
    for (guint i = 0; i < route->splits->len; i++) {
        const RouteSplit *split = &g_array_index(route->splits, RouteSplit, i);
        if (split->weight == 0) {
            continue;
        }
        if (service != NULL && strcmp(service, split->service) != 0) {
            return NULL;
        }
        service = split->service;
    }
    return service;
}

/* One update of the history. */
typedef struct Update {
    RouteHistory *history;
    TimeUs now;
    GHashTable *changed_hosts; /* set of host names */
} Update;

static void
record_route(void *arg, const Route *route)
{
    const Update *update = arg;
    char *key = key_of(route);
    RouteState *state = g_hash_table_lookup(update->history->by_key, key);
    const char *service = sole_service(route);
    if (state == NULL) {
        state = g_new0(RouteState, 1);
        state->host = g_strdup(route->host);
        state->service = g_strdup(service);
        state->since = update->now;
        g_hash_table_insert(update->history->by_key, g_strdup(key), state);
    }
    else if (g_strcmp0(state->service, service) != 0) {
        g_free(state->service);
        state->service = g_strdup(service);
        state->since = update->now;
    }
    state->listed = true;
    g_free(key);
}

static void
remove_unlisted(const Update *update)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, update->history->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        RouteState *state = value;
        if (!state->listed) {
            g_hash_table_add(update->changed_hosts, g_strdup(state->host));
            g_hash_table_iter_remove(&iter);
        }
        else {
            state->listed = false;
        }
    }
}

void
RouteHistory_Apply(RouteHistory *history, const RouteTable *table, TimeUs now)
{
    Update update = {
        .history = history,
        .now = now,
        .changed_hosts =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    RouteTable_ForEachRoute(table, record_route, &update);
    remove_unlisted(&update);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, history->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        RouteState *state = value;
        if (g_hash_table_contains(update.changed_hosts, state->host)) {
            state->since = now;
        }
    }
    g_hash_table_destroy(update.changed_hosts);
}

TimeUs
RouteHistory_SoleSince(const RouteHistory *history, const Route *route)
{
    char *key = key_of(route);
    const RouteState *state = g_hash_table_lookup(history->by_key, key);
    g_free(key);
    return state == NULL || state->service == NULL ? TIME_NEVER : state->since;
}
