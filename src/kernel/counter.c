/** @file
 * Counters: a table of atomic integers, sorted by metric name.
 */
#include "kernel/counter.h"

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

struct Counter {
    char *name;
    char *help;
    _Atomic int64_t value;
};

static GMutex table_lock;
static GTree *table; /* name (char *) to Counter *, in order of names */

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer user)
{
    return strcmp(a, b);
}

Counter *
Counter_Get(const char *name, const char *help)
{
    g_mutex_lock(&table_lock);
    if (table == NULL) {
        table = g_tree_new_full(compare_names, NULL, NULL, NULL);
    }
    Counter *counter = g_tree_lookup(table, name);
    if (counter == NULL) {
        counter = g_new0(Counter, 1);
        counter->name = g_strdup(name);
        counter->help = g_strdup(help);
        g_tree_insert(table, counter->name, counter);
    }
    g_mutex_unlock(&table_lock);
    return counter;
}

void
Counter_Add(Counter *counter, int64_t amount)
{
    atomic_fetch_add_explicit(&counter->value, amount, memory_order_relaxed);
}

void
Counter_Set(Counter *counter, int64_t value)
{
    atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

int64_t
Counter_Value(const Counter *counter)
{
    return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

typedef struct PrintState {
    struct evbuffer *out;
    char family[128]; /* metric name of the last HELP and TYPE lines */
} PrintState;

static void
print_family(PrintState *state, const Counter *counter)
{
    char family[sizeof(state->family)];
    g_strlcpy(family, counter->name, sizeof(family));
    family[strcspn(family, "{")] = '\0';
    if (strcmp(family, state->family) == 0) {
        return;
    }
    g_strlcpy(state->family, family, sizeof(state->family));
    if (counter->help != NULL) {
        evbuffer_add_printf(state->out, "# HELP laurellift_%s %s\n", family,
                            counter->help);
    }
    const char *type =
        g_str_has_suffix(family, "_total") ? "counter" : "gauge";
    evbuffer_add_printf(state->out, "# TYPE laurellift_%s %s\n", family, type);
}

static gboolean
print_counter(gpointer key, gpointer value, gpointer user)
{
    PrintState *state = user;
    const Counter *counter = value;
    print_family(state, counter);
    evbuffer_add_printf(state->out, "laurellift_%s %lld\n", counter->name,
                        (long long)Counter_Value(counter));
    return FALSE;
}

void
Counter_PrintAll(struct evbuffer *out)
{
    PrintState state = {.out = out};
    g_mutex_lock(&table_lock);
    if (table != NULL) {
        g_tree_foreach(table, print_counter, &state);
    }
    g_mutex_unlock(&table_lock);
}
