/** @file
 * Table of the origins of streams, with an order by expiry.
 */
#include "sched/stream_origins.h"

#include <string.h>

#include <glib.h>

typedef struct Entry {
    StreamOrigin origin; /* its strings belong to the entry */
    GSequenceIter *position;
} Entry;

struct StreamOrigins {
    GHashTable *by_request; /* request id -> Entry */
    GSequence *by_expiry;   /* Entry; the first expires first */
    size_t max;
    uint64_t displaced;
};

static void
free_entry(gpointer data)
{
    Entry *entry = data;
    g_sequence_remove(entry->position);
    g_free((char *)entry->origin.request);
    g_free((char *)entry->origin.service);
    g_free((char *)entry->origin.account);
    g_free((char *)entry->origin.software);
    g_free(entry);
}

StreamOrigins *
StreamOrigins_New(size_t max)
{
    StreamOrigins *origins = g_new0(StreamOrigins, 1);
    origins->by_request =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    origins->by_expiry = g_sequence_new(NULL);
    origins->max = max;
    return origins;
}

void
StreamOrigins_Free(StreamOrigins *origins)
{
    g_hash_table_destroy(origins->by_request);
    g_sequence_free(origins->by_expiry);
    g_free(origins);
}

static gint
compare_expiry(gconstpointer a, gconstpointer b, gpointer data)
{
    const Entry *first = a;
    const Entry *second = b;
    if (first->origin.expires_at == second->origin.expires_at) {
        return 0;
    }
    return first->origin.expires_at < second->origin.expires_at ? -1 : 1;
}

static Entry *
first_to_expire(const StreamOrigins *origins)
{
    GSequenceIter *first = g_sequence_get_begin_iter(origins->by_expiry);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void
remove_expired(StreamOrigins *origins, TimeUs now)
{
    Entry *entry;
    while ((entry = first_to_expire(origins)) != NULL &&
           entry->origin.expires_at <= now)
    {
        g_hash_table_remove(origins->by_request, entry->origin.request);
    }
}

static bool
is_valid(const StreamOrigin *origin, TimeUs now)
{
    size_t length = strlen(origin->request);
    return length > 0 && length <= STREAM_ORIGIN_ID_MAX &&
           origin->expires_at > now;
}

static bool
is_same(const StreamOrigin *a, const StreamOrigin *b)
{
    return strcmp(a->service, b->service) == 0 &&
           strcmp(a->account, b->account) == 0 &&
           strcmp(a->software, b->software) == 0;
}

/* Applies a further report on a known request. */
static bool
update_entry(Entry *entry, const StreamOrigin *origin, TimeUs expires_at)
{
    if (expires_at > entry->origin.expires_at) {
        entry->origin.expires_at = expires_at;
        g_sequence_sort_changed(entry->position, compare_expiry, NULL);
    }
    if (entry->origin.software[0] == '\0' || is_same(&entry->origin, origin)) {
        return false;
    }
    g_free((char *)entry->origin.software);
    entry->origin.software = g_strdup("");
    return true;
}

bool
StreamOrigins_Add(StreamOrigins *origins, const StreamOrigin *origin,
                  TimeUs now)
{
    remove_expired(origins, now);
    if (!is_valid(origin, now)) {
        return false;
    }
    TimeUs expires_at =
        MIN(origin->expires_at, now + STREAM_ORIGIN_LIFE_MAX_US);
    Entry *entry = g_hash_table_lookup(origins->by_request, origin->request);
    if (entry != NULL) {
        return update_entry(entry, origin, expires_at);
    }
    if (g_hash_table_size(origins->by_request) >= origins->max) {
        g_hash_table_remove(origins->by_request,
                            first_to_expire(origins)->origin.request);
        origins->displaced++;
    }
    entry = g_new0(Entry, 1);
    entry->origin = (StreamOrigin){
        .request = g_strdup(origin->request),
        .service = g_strdup(origin->service),
        .account = g_strdup(origin->account),
        .software = g_strdup(origin->software),
        .expires_at = expires_at,
    };
    entry->position = g_sequence_insert_sorted(origins->by_expiry, entry,
                                               compare_expiry, NULL);
    g_hash_table_insert(origins->by_request, (char *)entry->origin.request,
                        entry);
    return true;
}

const StreamOrigin *
StreamOrigins_Find(const StreamOrigins *origins, const char *request,
                   TimeUs now)
{
    const Entry *entry = g_hash_table_lookup(origins->by_request, request);
    return entry == NULL || entry->origin.expires_at <= now ? NULL
                                                            : &entry->origin;
}

void
StreamOrigins_ForEach(const StreamOrigins *origins, TimeUs now,
                      void (*visit)(void *arg, const StreamOrigin *origin),
                      void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, origins->by_request);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;
        if (entry->origin.expires_at > now) {
            visit(arg, &entry->origin);
        }
    }
}

size_t
StreamOrigins_Expire(StreamOrigins *origins, TimeUs now)
{
    remove_expired(origins, now);
    return g_hash_table_size(origins->by_request);
}

size_t
StreamOrigins_Count(const StreamOrigins *origins)
{
    return g_hash_table_size(origins->by_request);
}

uint64_t
StreamOrigins_Displaced(const StreamOrigins *origins)
{
    return origins->displaced;
}
