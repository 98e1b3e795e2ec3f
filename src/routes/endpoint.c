/** @file
 * Directory of endpoints.
 */
#include "routes/endpoint.h"

#include <string.h>

#include "kernel/log.h"

#define PART "directory"

/* Maximum number of endpoints in the directory, including gone ones. */
#define DIRECTORY_MAX 20000

struct Directory {
    GHashTable *by_id;      /* id -> Entry */
    GHashTable *by_address; /* address -> Entry of the last started endpoint */
    RouteTable *table;      /* configuration in force, or NULL */
};

typedef struct Entry {
    char *id;
    char *service;
    char *address;
    char *zone;
    char *software;
    EndpointRecord record; /* its strings point to those above */
} Entry;

static void
free_entry(gpointer data)
{
    Entry *entry = data;
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->address);
    g_free(entry->zone);
    g_free(entry->software);
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
    RouteTable_Unref(directory->table);
    g_free(directory);
}

/* Returns true when the record is older than the stored record of the same
 * id. */
static bool
is_outdated(const Entry *entry, const EndpointRecord *record)
{
    if (record->born != entry->record.born) {
        return record->born < entry->record.born;
    }
    if (entry->record.state == ENDPOINT_GONE) {
        return true;
    }
    return record->state != ENDPOINT_GONE &&
           record->sequence <= entry->record.sequence;
}

static void
replace_text(char **field, const char *text)
{
    if (text != NULL && g_strcmp0(*field, text) != 0) {
        g_free(*field);
        *field = g_strdup(text);
    }
}

/* Returns the software in the record, or NULL if that of the entry applies. */
static const char *
software_of(const Entry *entry, const EndpointRecord *record)
{
    bool same_start = entry->record.born == record->born;
    return record->software == NULL && !same_start ? "" : record->software;
}

static void
store_record(Entry *entry, const EndpointRecord *record)
{
    replace_text(&entry->service, record->service);
    replace_text(&entry->address, record->address);
    replace_text(&entry->zone, record->zone);
    replace_text(&entry->software, software_of(entry, record));
    entry->record = *record;
    entry->record.id = entry->id;
    entry->record.service = entry->service;
    entry->record.address = entry->address;
    entry->record.zone = entry->zone;
    entry->record.software = entry->software;
}

/* Applies a report that the stored start leaves.
 * @return true when it is new. */
static bool
mark_leaving(Entry *entry)
{
    if (entry->record.leaving || entry->record.state == ENDPOINT_GONE) {
        return false;
    }
    entry->record.leaving = true;
    entry->record.state = ENDPOINT_DRAINING;
    return true;
}

static bool
is_unchanged(const Entry *entry, const EndpointRecord *record)
{
    return entry->record.state == record->state &&
           entry->record.born == record->born &&
           entry->record.slots == record->slots &&
           entry->record.stored == record->stored &&
           (record->service == NULL ||
            g_strcmp0(entry->service, record->service) == 0) &&
           (record->address == NULL ||
            g_strcmp0(entry->address, record->address) == 0) &&
           (record->software == NULL ||
            g_strcmp0(entry->software, record->software) == 0);
}

/* Returns whether the configuration names @p service but not @p other, so that
 * an endpoint of the latter replaces none of the former. */
static bool
is_named_alone(const Directory *directory, const char *service,
               const char *other)
{
    const RouteTable *table = directory->table;
    return table != NULL && service != NULL &&
           RouteTable_Service(table, service) != NULL &&
           (other == NULL || RouteTable_Service(table, other) == NULL);
}

/* Assigns the address of @p entry to the endpoint that started last. If it
 * belonged to another endpoint, the older of the two becomes ENDPOINT_GONE. */
static void
assign_address(Directory *directory, Entry *entry, GPtrArray *superseded)
{
    if (entry->address == NULL || entry->record.state == ENDPOINT_GONE) {
        return;
    }
    Entry *previous =
        g_hash_table_lookup(directory->by_address, entry->address);
    if (previous == entry) {
        return;
    }
    if (previous != NULL && previous->record.state != ENDPOINT_GONE &&
        g_strcmp0(previous->address, entry->address) == 0)
    {
        if (is_named_alone(directory, previous->service, entry->service)) {
            return;
        }
        Entry *older =
            previous->record.born < entry->record.born ? previous : entry;
        older->record.state = ENDPOINT_GONE;
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

void
Directory_SetTable(Directory *directory, RouteTable *table,
                   GPtrArray *superseded)
{
    RouteTable_Unref(directory->table);
    directory->table = table == NULL ? NULL : RouteTable_Ref(table);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directory->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        assign_address(directory, value, superseded);
    }
}

bool
Directory_Update(Directory *directory, const EndpointRecord *record,
                 GPtrArray *superseded)
{
    Entry *entry = g_hash_table_lookup(directory->by_id, record->id);
    if (entry == NULL) {
        if (record->state == ENDPOINT_UNKNOWN ||
            g_hash_table_size(directory->by_id) >= DIRECTORY_MAX)
        {
            return false;
        }
        entry = g_new0(Entry, 1);
        entry->id = g_strdup(record->id);
        g_hash_table_insert(directory->by_id, entry->id, entry);
        store_record(entry, record);
        assign_address(directory, entry, superseded);
        return true;
    }
    EndpointRecord update = *record;
    if (update.born == 0) {
        update.born = entry->record.born;
    }
    if (entry->record.state != ENDPOINT_GONE && update.service != NULL &&
        is_named_alone(directory, entry->service, update.service))
    {
        LOG_WARN(PART,
                 "Announcement for an unknown service is ignored, as its id "
                 "is in use. id=%s service=%s",
                 entry->id, update.service);
        return false;
    }
    if (is_outdated(entry, &update)) {
        return update.leaving && update.born == entry->record.born &&
               mark_leaving(entry);
    }
    bool same_start = update.born == entry->record.born;
    update.leaving = update.leaving || (same_start && entry->record.leaving);
    if (update.leaving && update.state == ENDPOINT_READY) {
        update.state = ENDPOINT_DRAINING;
    }
    bool changed = !is_unchanged(entry, &update);
    store_record(entry, &update);
    assign_address(directory, entry, superseded);
    return changed;
}

bool
Directory_SetLeaving(Directory *directory, const char *id, uint64_t born)
{
    Entry *entry = g_hash_table_lookup(directory->by_id, id);
    return entry != NULL && entry->record.born == born && mark_leaving(entry);
}

const EndpointRecord *
Directory_Find(const Directory *directory, const char *id)
{
    const Entry *entry = g_hash_table_lookup(directory->by_id, id);
    return entry == NULL ? NULL : &entry->record;
}

void
Directory_ForEach(const Directory *directory,
                  void (*visit)(void *arg, const EndpointRecord *record),
                  void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directory->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;
        visit(arg, &entry->record);
    }
}
