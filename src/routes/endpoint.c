/** @file
 * Directory of endpoints.
 */
#include "routes/endpoint.h"

#include <string.h>

/* Maximum number of endpoints in the directory, including gone ones. */
#define DIRECTORY_MAX 20000

struct Directory {
    GHashTable *by_id;      /* id -> Entry */
    GHashTable *by_address; /* address -> Entry of the last started endpoint */
};

typedef struct Entry {
    char *id;
    char *service;
    char *address;
    char *zone;
    EndpointRecord news; /* its strings point to those above */
} Entry;

static void
free_entry(gpointer data)
{
    Entry *entry = data;
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->address);
    g_free(entry->zone);
    g_free(entry);
}

Directory *
Directory_New(void)
{
    Directory *directory = g_new0(Directory, 1);
    directory->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    directory->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return directory;
}

void
Directory_Free(Directory *directory)
{
    g_hash_table_destroy(directory->by_address);
    g_hash_table_destroy(directory->by_id);
    g_free(directory);
}

/* Returns true when the record is older than the stored record of the same
 * id. */
static bool
is_stale(const Entry *entry, const EndpointRecord *news)
{
    if (news->born != entry->news.born) {
        return news->born < entry->news.born;
    }
    if (entry->news.state == ENDPOINT_GONE) {
        return true;
    }
    return news->state != ENDPOINT_GONE &&
           news->sequence <= entry->news.sequence;
}

static void
set_text(char **field, const char *text)
{
    if (text != NULL && g_strcmp0(*field, text) != 0) {
        g_free(*field);
        *field = g_strdup(text);
    }
}

static void
store(Entry *entry, const EndpointRecord *news)
{
    set_text(&entry->service, news->service);
    set_text(&entry->address, news->address);
    set_text(&entry->zone, news->zone);
    entry->news = *news;
    entry->news.id = entry->id;
    entry->news.service = entry->service;
    entry->news.address = entry->address;
    entry->news.zone = entry->zone;
}

static bool
is_same(const Entry *entry, const EndpointRecord *news)
{
    return entry->news.state == news->state &&
           entry->news.born == news->born &&
           entry->news.slots == news->slots &&
           (news->service == NULL ||
            g_strcmp0(entry->service, news->service) == 0) &&
           (news->address == NULL ||
            g_strcmp0(entry->address, news->address) == 0);
}

/* Assigns the address of @p entry to the endpoint that started last. If it
 * belonged to another endpoint, the older of the two becomes ENDPOINT_GONE. */
static void
claim_address(Directory *directory, Entry *entry, GPtrArray *superseded)
{
    if (entry->address == NULL || entry->news.state == ENDPOINT_GONE) {
        return;
    }
    Entry *holder = g_hash_table_lookup(directory->by_address, entry->address);
    if (holder == entry) {
        return;
    }
    if (holder != NULL && holder->news.state != ENDPOINT_GONE &&
        g_strcmp0(holder->address, entry->address) == 0)
    {
        Entry *older = holder->news.born < entry->news.born ? holder : entry;
        older->news.state = ENDPOINT_GONE;
        if (superseded != NULL) {
            g_ptr_array_add(superseded, older->id);
        }
        if (older == entry) {
            return;
        }
    }
    g_hash_table_replace(directory->by_address, g_strdup(entry->address),
                         entry);
}

bool
Directory_Update(Directory *directory, const EndpointRecord *news,
                 GPtrArray *superseded)
{
    Entry *entry = g_hash_table_lookup(directory->by_id, news->id);
    if (entry == NULL) {
        if (news->state == ENDPOINT_UNKNOWN ||
            g_hash_table_size(directory->by_id) >= DIRECTORY_MAX)
        {
            return false;
        }
        entry = g_new0(Entry, 1);
        entry->id = g_strdup(news->id);
        g_hash_table_insert(directory->by_id, entry->id, entry);
        store(entry, news);
        claim_address(directory, entry, superseded);
        return true;
    }
    EndpointRecord fresh = *news;
    if (fresh.born == 0) {
        fresh.born = entry->news.born;
    }
    if (is_stale(entry, &fresh)) {
        return false;
    }
    bool changed = !is_same(entry, &fresh);
    store(entry, &fresh);
    claim_address(directory, entry, superseded);
    return changed;
}

const EndpointRecord *
Directory_Find(const Directory *directory, const char *id)
{
    const Entry *entry = g_hash_table_lookup(directory->by_id, id);
    return entry == NULL ? NULL : &entry->news;
}

void
Directory_ForEach(const Directory *directory,
                  void (*visit)(void *arg, const EndpointRecord *news),
                  void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directory->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;
        visit(arg, &entry->news);
    }
}
