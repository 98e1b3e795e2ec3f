/** @file
 * Serializes and applies the replicated departures of endpoints.
 */
#include "fleet/departures.h"

#include <string.h>

#include "fleet/document.h"
#include "routes/endpoint_wire.h"

struct Departures {
    GHashTable *by_id; /* id -> GList in `order` */
    GQueue order;      /* Wire__EndpointRecord elements, oldest first */
};

static void
free_record(gpointer record)
{
    wire__endpoint_record__free_unpacked(record, NULL);
}

Departures *
Departures_New(void)
{
    Departures *departures = g_new0(Departures, 1);
    departures->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&departures->order);
    return departures;
}

static void
clear(Departures *departures)
{
    g_hash_table_remove_all(departures->by_id);
    g_queue_clear_full(&departures->order, free_record);
}

void
Departures_Free(Departures *departures)
{
    clear(departures);
    g_hash_table_destroy(departures->by_id);
    g_free(departures);
}

GBytes *
Departures_PackCommand(uint64_t id, const EndpointRecord *record)
{
    Wire__EndpointRecord message;
    EndpointWire_Fill(&message, record);
    Wire__ConfigCommand command = WIRE__CONFIG_COMMAND__INIT;
    command.id = id;
    command.departure = &message;
    size_t size = wire__config_command__get_packed_size(&command);
    uint8_t *bytes = g_malloc(size);
    wire__config_command__pack(&command, bytes);
    return g_bytes_new_take(bytes, size);
}

static const Wire__EndpointRecord *
find(const Departures *departures, const char *id)
{
    const GList *place = g_hash_table_lookup(departures->by_id, id);
    return place == NULL ? NULL : place->data;
}

/* Returns whether @p known says as much as the departure of the given start
 * and state, or is of a later start. */
static bool
says_as_much(const Wire__EndpointRecord *known, uint64_t born,
             Wire__EndpointState state)
{
    return known != NULL &&
           (known->born > born ||
            (known->born == born && (int)known->state >= (int)state));
}

static bool
is_valid(const Wire__EndpointRecord *record)
{
    return record->id[0] != '\0' && strlen(record->id) <= ENDPOINT_TEXT_MAX &&
           (record->state == WIRE__ENDPOINT_STATE__ENDPOINT_DRAINING ||
            record->state == WIRE__ENDPOINT_STATE__ENDPOINT_GONE);
}

static void
remove_place(Departures *departures, GList *place)
{
    Wire__EndpointRecord *record = place->data;
    g_hash_table_remove(departures->by_id, record->id);
    g_queue_delete_link(&departures->order, place);
    free_record(record);
}

/* Adds a departure as the newest one, and takes ownership of it. */
static void
add(Departures *departures, Wire__EndpointRecord *record)
{
    GList *place = g_hash_table_lookup(departures->by_id, record->id);
    if (place == NULL && departures->order.length >= DEPARTURES_MAX) {
        place = departures->order.head;
    }
    if (place != NULL) {
        remove_place(departures, place);
    }
    g_queue_push_tail(&departures->order, record);
    g_hash_table_insert(departures->by_id, record->id, departures->order.tail);
}

/* Returns whether a departure in a command is news: the same one comes again
 * if an endpoint drains, is ready and drains once more. */
static bool
is_news(const Departures *departures, const Wire__EndpointRecord *record)
{
    const Wire__EndpointRecord *known = find(departures, record->id);
    return !says_as_much(known, record->born, record->state) ||
           (known->born == record->born && known->state == record->state &&
            known->sequence < record->sequence);
}

bool
Departures_Apply(Departures *departures, const uint8_t *command, size_t length,
                 EndpointRecord *record)
{
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, command);
    if (decoded == NULL) {
        return false;
    }
    bool changed = decoded->departure != NULL &&
                   is_valid(decoded->departure) &&
                   is_news(departures, decoded->departure);
    if (changed) {
        Wire__EndpointRecord *added = g_steal_pointer(&decoded->departure);
        add(departures, added);
        EndpointWire_Read(added, record);
    }
    wire__config_command__free_unpacked(decoded, NULL);
    return changed;
}

bool
Departures_Has(const Departures *departures, const EndpointRecord *record)
{
    return says_as_much(find(departures, record->id), record->born,
                        (Wire__EndpointState)record->state);
}

unsigned
Departures_Count(const Departures *departures)
{
    return departures->order.length;
}

void
Departures_ForEach(const Departures *departures,
                   void (*visit)(void *arg, const EndpointRecord *record),
                   void *arg)
{
    for (const GList *at = departures->order.head; at != NULL; at = at->next) {
        EndpointRecord record;
        EndpointWire_Read(at->data, &record);
        visit(arg, &record);
    }
}

GBytes *
Departures_AppendTo(GBytes *snapshot, const Departures *departures)
{
    if (departures->order.length == 0) {
        return snapshot;
    }
    GPtrArray *records = g_ptr_array_new();
    for (const GList *at = departures->order.head; at != NULL; at = at->next) {
        g_ptr_array_add(records, at->data);
    }
    Wire__ConfigCommand part = WIRE__CONFIG_COMMAND__INIT;
    part.n_departures = records->len;
    part.departures = (Wire__EndpointRecord **)records->pdata;
    GBytes *all = Document_Append(snapshot, &part);
    g_ptr_array_unref(records);
    return all;
}

int
Departures_Load(Departures *departures, const uint8_t *bytes, size_t length,
                Error *err)
{
    Wire__ConfigCommand *decoded =
        wire__config_command__unpack(NULL, length, bytes);
    if (decoded == NULL) {
        return Error_Set(err, ERR_CORRUPT,
                         "The saved departures cannot be decoded.");
    }
    clear(departures);
    for (size_t i = 0; i < decoded->n_departures; i++) {
        if (is_valid(decoded->departures[i])) {
            add(departures, g_steal_pointer(&decoded->departures[i]));
        }
    }
    wire__config_command__free_unpacked(decoded, NULL);
    return ERR_OK;
}
