/** @file
 * StoreFiles on the operating system's file system.
 */
#include "store/files.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <sys/file.h>
#include <sys/stat.h>

#define FOLDER_MODE 0700
#define FILE_MODE 0600

typedef struct Folder {
    int fd;
} Folder;

static int
list_files(void *context, GPtrArray *names)
{
    Folder *folder = context;
    int fd = openat(folder->fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return -errno;
    }
    DIR *dir = fdopendir(fd);
    if (dir == NULL) {
        int result = -errno;
        close(fd);
        return result;
    }
    struct dirent *item;
    errno = 0;
    while ((item = readdir(dir)) != NULL) {
        if (item->d_name[0] != '.') {
            g_ptr_array_add(names, g_strdup(item->d_name));
        }
    }
    int result = -errno;
    closedir(dir);
    return result;
}

static int
open_file(void *context, const char *name, bool create)
{
    Folder *folder = context;
    int flags = O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0);
    int fd = openat(folder->fd, name, flags, FILE_MODE);
    return fd < 0 ? -errno : fd;
}

static int64_t
file_size(void *context, int file)
{
    struct stat status;
    return fstat(file, &status) != 0 ? -errno : status.st_size;
}

static ssize_t
read_file(void *context, int file, void *bytes, size_t length, uint64_t offset)
{
    ssize_t count = pread(file, bytes, length, (off_t)offset);
    return count < 0 ? -errno : count;
}

static ssize_t
write_file(void *context, int file, const void *bytes, size_t length,
           uint64_t offset)
{
    ssize_t count = pwrite(file, bytes, length, (off_t)offset);
    return count < 0 ? -errno : count;
}

static int
truncate_file(void *context, int file, uint64_t length)
{
    return ftruncate(file, (off_t)length) != 0 ? -errno : 0;
}

static int
sync_file(void *context, int file)
{
    return fdatasync(file) != 0 ? -errno : 0;
}

static void
close_file(void *context, int file)
{
    close(file);
}

static int
rename_file(void *context, const char *from, const char *to)
{
    Folder *folder = context;
    return renameat(folder->fd, from, folder->fd, to) != 0 ? -errno : 0;
}

static int
remove_file(void *context, const char *name)
{
    Folder *folder = context;
    return unlinkat(folder->fd, name, 0) != 0 ? -errno : 0;
}

static int
sync_folder(void *context)
{
    Folder *folder = context;
    return fsync(folder->fd) != 0 ? -errno : 0;
}

static void
free_folder(void *context)
{
    Folder *folder = context;
    close(folder->fd);
    g_free(folder);
}

int
StoreFiles_OpenFolder(const char *path, StoreFiles *files, Error *err)
{
    if (g_mkdir_with_parents(path, FOLDER_MODE) != 0) {
        return Error_Set(err, ERR_IO, "Cannot create folder %s: %s.", path,
                         strerror(errno));
    }
    int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return Error_Set(err, ERR_IO, "Cannot open folder %s: %s.", path,
                         strerror(errno));
    }
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
        close(fd);
        return Error_Set(err, ERR_CONFLICT,
                         "Folder %s is in use by another process.", path);
    }
    Folder *folder = g_new0(Folder, 1);
    folder->fd = fd;
    *files = (StoreFiles){
        .context = folder,
        .list = list_files,
        .open = open_file,
        .size = file_size,
        .read = read_file,
        .write = write_file,
        .truncate = truncate_file,
        .sync = sync_file,
        .close = close_file,
        .rename = rename_file,
        .remove = remove_file,
        .sync_folder = sync_folder,
        .free = free_folder,
    };
    return ERR_OK;
}
