/** @file
 * Reads and writes the file with the directory of endpoints.
 */
#include "fleet/directory_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "fleet/state.h"
#include "kernel/log.h"
#include "routes/endpoint_wire.h"

#define FILE_NAME "endpoints"
/* Maximum number of endpoints in the file. Gone endpoints are not saved. */
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
    uint8_t *bytes = g_malloc(sizeof(uint64_t) + size);
    wire__endpoint_news__pack(&list, bytes + sizeof(uint64_t));
    uint64_t sum = XXH3_64bits(bytes + sizeof(uint64_t), size);
    memcpy(bytes, &sum, sizeof(sum));
    g_ptr_array_unref(saved.records);
    return g_bytes_new_take(bytes, sizeof(uint64_t) + size);
}

int
DirectoryFile_Unpack(GBytes *bytes, Directory *directory)
{
    gsize size;
    const uint8_t *data = g_bytes_get_data(bytes, &size);
    uint64_t sum;
    if (size < sizeof(sum)) {
        return ERR_CORRUPT;
    }
    memcpy(&sum, data, sizeof(sum));
    if (sum != XXH3_64bits(data + sizeof(sum), size - sizeof(sum))) {
        return ERR_CORRUPT;
    }
    Wire__EndpointNews *list = wire__endpoint_news__unpack(
        NULL, size - sizeof(sum), data + sizeof(sum));
    if (list == NULL) {
        return ERR_CORRUPT;
    }
    for (size_t i = 0; i < list->n_endpoints; i++) {
        EndpointRecord record;
        EndpointWire_Read(list->endpoints[i], &record);
        Directory_Update(directory, &record, NULL);
    }
    wire__endpoint_news__free_unpacked(list, NULL);
    return ERR_OK;
}

void
DirectoryFile_Load(const char *folder, Directory *directory)
{
    char *path = g_build_filename(folder, FILE_NAME, NULL);
    char *data;
    gsize length;
    if (g_file_get_contents(path, &data, &length, NULL)) {
        GBytes *bytes = g_bytes_new_take(data, length);
        if (DirectoryFile_Unpack(bytes, directory) != ERR_OK) {
            LOG_WARN(FLEET_PART, "File with the directory of endpoints is "
                                 "corrupt and ignored.");
        }
        g_bytes_unref(bytes);
    }
    g_free(path);
}

/* Input of the thread that writes the file. The thread frees it. */
typedef struct SaveJob {
    char *folder;
    GBytes *bytes;
} SaveJob;

static bool
write_all(int file, GBytes *bytes)
{
    gsize length;
    const uint8_t *data = g_bytes_get_data(bytes, &length);
    while (length > 0) {
        ssize_t written = write(file, data, length);
        if (written <= 0) {
            return false;
        }
        data += written;
        length -= (gsize)written;
    }
    return fsync(file) == 0;
}

static gpointer
save_file(gpointer arg)
{
    SaveJob *job = arg;
    char *path = g_build_filename(job->folder, FILE_NAME, NULL);
    char *new_path = g_strconcat(path, ".new", NULL);
    int file = open(new_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool written = file >= 0 && write_all(file, job->bytes);
    if (file >= 0) {
        close(file);
    }
    if (!written || rename(new_path, path) != 0) {
        LOG_WARN(FLEET_PART,
                 "Saving the directory of endpoints failed. why=\"%s\"",
                 strerror(errno));
    }
    g_free(new_path);
    g_free(path);
    g_free(job->folder);
    g_bytes_unref(job->bytes);
    g_free(job);
    return NULL;
}

void
DirectoryFile_Save(const char *folder, const Directory *directory)
{
    SaveJob *job = g_new0(SaveJob, 1);
    job->folder = g_strdup(folder);
    job->bytes = DirectoryFile_Pack(directory);
    g_thread_unref(g_thread_new("roster", save_file, job));
}
