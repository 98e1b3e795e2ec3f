/** @file
 * State file: the checksum, the reading, and the thread that writes.
 */
#include "fleet/state_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "fleet/state.h"
#include "kernel/log.h"

/* Time after a failed write before the next attempt. */
#define RETRY_US (500 * US_PER_MS)

struct StateFile {
    char *folder;
    char *name;
    gint references; /* of the owner and the writing thread */
    GMutex lock;
    GBytes *waiting; /* content to be written; NULL: none */
    bool writing;    /* a thread writes the file */
    bool failed;     /* its last write failed; used by that thread */
};

StateFile *
StateFile_New(const char *folder, const char *name)
{
    StateFile *file = g_new0(StateFile, 1);
    file->folder = g_strdup(folder);
    file->name = g_strdup(name);
    file->references = 1;
    g_mutex_init(&file->lock);
    return file;
}

void
StateFile_Free(StateFile *file)
{
    if (!g_atomic_int_dec_and_test(&file->references)) {
        return;
    }
    if (file->waiting != NULL) {
        g_bytes_unref(file->waiting);
    }
    g_mutex_clear(&file->lock);
    g_free(file->folder);
    g_free(file->name);
    g_free(file);
}

GBytes *
StateFile_Load(const StateFile *file)
{
    char *path = g_build_filename(file->folder, file->name, NULL);
    char *data = NULL;
    gsize length = 0;
    GBytes *content = NULL;
    if (g_file_get_contents(path, &data, &length, NULL)) {
        uint64_t sum = 0;
        memcpy(&sum, data, MIN(length, sizeof(sum)));
        if (length < sizeof(sum) ||
            sum != XXH3_64bits(data + sizeof(sum), length - sizeof(sum)))
        {
            LOG_WARN(FLEET_PART, "State file is corrupt and ignored. file=%s",
                     file->name);
        }
        else {
            content = g_bytes_new(data + sizeof(sum), length - sizeof(sum));
        }
        g_free(data);
    }
    g_free(path);
    return content;
}

static bool
write_all(int fd, const void *data, size_t length)
{
    const uint8_t *bytes = data;
    while (length > 0) {
        ssize_t written = write(fd, bytes, length);
        if (written <= 0) {
            return false;
        }
        bytes += written;
        length -= (size_t)written;
    }
    return true;
}

/* Syncs the folder, without which the rename may be lost with the power. */
static bool
sync_folder(const char *folder)
{
    int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool synced = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return synced;
}

/* Records that writing fails, or succeeds again, but not each attempt. */
static void
record_result(StateFile *file, bool written, int error)
{
    if (written && file->failed) {
        LOG_INFO(FLEET_PART, "State file is saved again. file=%s", file->name);
    }
    if (!written && !file->failed) {
        LOG_WARN(FLEET_PART,
                 "Saving a state file failed; trying again. file=%s "
                 "why=\"%s\"",
                 file->name, strerror(error));
    }
    file->failed = !written;
}

static bool
write_file(StateFile *file, GBytes *content)
{
    gsize length;
    const void *data = g_bytes_get_data(content, &length);
    uint64_t sum = XXH3_64bits(data, length);
    char *path = g_build_filename(file->folder, file->name, NULL);
    char *new_path = g_strconcat(path, ".new", NULL);
    int fd = open(new_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool written = fd >= 0 && write_all(fd, &sum, sizeof(sum)) &&
                   write_all(fd, data, length) && fsync(fd) == 0;
    int error = errno;
    if (fd >= 0) {
        close(fd);
    }
    if (written && (rename(new_path, path) != 0 || !sync_folder(file->folder)))
    {
        written = false;
        error = errno;
    }
    record_result(file, written, error);
    g_free(new_path);
    g_free(path);
    return written;
}

/* Waits after a failed write, and makes its content wait again unless newer
 * content does. Without an owner the content is dropped. */
static void
retry_later(StateFile *file, GBytes *content)
{
    g_usleep(RETRY_US);
    g_mutex_lock(&file->lock);
    if (file->waiting == NULL && g_atomic_int_get(&file->references) > 1) {
        file->waiting = g_bytes_ref(content);
    }
    g_mutex_unlock(&file->lock);
}

static gpointer
run_writer(gpointer arg)
{
    StateFile *file = arg;
    for (;;) {
        g_mutex_lock(&file->lock);
        GBytes *content = g_steal_pointer(&file->waiting);
        file->writing = content != NULL;
        g_mutex_unlock(&file->lock);
        if (content == NULL) {
            break;
        }
        if (!write_file(file, content)) {
            retry_later(file, content);
        }
        g_bytes_unref(content);
    }
    StateFile_Free(file);
    return NULL;
}

void
StateFile_Save(StateFile *file, GBytes *content)
{
    g_mutex_lock(&file->lock);
    if (file->waiting != NULL) {
        g_bytes_unref(file->waiting);
    }
    file->waiting = content;
    bool start = !file->writing;
    file->writing = true;
    g_mutex_unlock(&file->lock);
    if (start) {
        g_atomic_int_inc(&file->references);
        g_thread_unref(g_thread_new("state-file", run_writer, file));
    }
}
