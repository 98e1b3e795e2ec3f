/** @file
 * Content of the state file with the directory of endpoints.
 */
#include "fleet/directory_file.h"

#include "kernel/error.h"
#include "routes/endpoint_wire.h"

/* Maximum number of endpoints in the file. */
#define SAVED_ENDPOINTS_MAX 8192

typedef struct WireRecords {
    GPtrArray *records; /* Wire__EndpointRecord */
} WireRecords;

static void
add_wire_record(void *arg, const EndpointRecord *record)
{
    WireRecords *saved = arg;
    if (record->state == ENDPOINT_GONE ||
        saved->records->len >= SAVED_ENDPOINTS_MAX)
    {
        return;
    }
    Wire__EndpointRecord *wire_record = g_new(Wire__EndpointRecord, 1);
    EndpointWire_Fill(wire_record, record);
    g_ptr_array_add(saved->records, wire_record);
}

GBytes *
DirectoryFile_Pack(const Directory *directory)
{
    WireRecords saved = {.records = g_ptr_array_new_with_free_func(g_free)};
    Directory_ForEach(directory, add_wire_record, &saved);
    Wire__EndpointNews list = WIRE__ENDPOINT_NEWS__INIT;
    list.n_endpoints = saved.records->len;
    list.endpoints = (Wire__EndpointRecord **)saved.records->pdata;
    size_t size = wire__endpoint_news__get_packed_size(&list);
    uint8_t *bytes = g_malloc(size);
    wire__endpoint_news__pack(&list, bytes);
    g_ptr_array_unref(saved.records);
    return g_bytes_new_take(bytes, size);
}

int
DirectoryFile_Unpack(GBytes *bytes, Directory *directory)
{
    gsize size;
    const uint8_t *data = g_bytes_get_data(bytes, &size);
    Wire__EndpointNews *list = wire__endpoint_news__unpack(NULL, size, data);
    if (list == NULL) {
        return ERR_CORRUPT;
    }
    for (size_t i = 0; i < list->n_endpoints; i++) {
        EndpointRecord record;
        EndpointWire_Read(list->endpoints[i], &record);
        record.stored = true;
        Directory_Update(directory, &record, NULL);
    }
    wire__endpoint_news__free_unpacked(list, NULL);
    return ERR_OK;
}
