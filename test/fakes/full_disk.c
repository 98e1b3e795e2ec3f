/** @file
 * Library that makes the disk of a process full, for tests that preload it:
 * while the file that LL_FULL_DISK names exists, nothing more is written to
 * the folder that LL_FULL_DISK_FOLDER names, and no file is created there. If
 * the file says `short`, each write takes one byte before it fails; if it says
 * `snapshot`, only files whose names begin so are refused.
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/types.h>

typedef ssize_t PwriteFunction(int fd, const void *bytes, size_t length,
                               off_t offset);
typedef ssize_t WriteFunction(int fd, const void *bytes, size_t length);
typedef int OpenatFunction(int folder, const char *path, int flags, ...);
typedef int OpenFunction(const char *path, int flags, ...);

/* Functions of the C library that are replaced. */
ssize_t FullDisk_Pwrite(int fd, const void *bytes, size_t length,
                        off_t offset) __asm__("pwrite");
ssize_t FullDisk_Pwrite64(int fd, const void *bytes, size_t length,
                          off64_t offset) __asm__("pwrite64");
ssize_t FullDisk_Write(int fd, const void *bytes,
                       size_t length) __asm__("write");
int FullDisk_Openat(int folder, const char *path, int flags,
                    ...) __asm__("openat");
int FullDisk_Open(const char *path, int flags, ...) __asm__("open");

typedef enum Fullness {
    HAS_ROOM,
    IS_FULL,
    TAKES_ONE_BYTE,
    REFUSES_SNAPSHOTS,
} Fullness;

static Fullness
read_fullness(void)
{
    const char *path = getenv("LL_FULL_DISK");
    FILE *file = path == NULL ? NULL : fopen(path, "r");
    if (file == NULL) {
        return HAS_ROOM;
    }
    char text[16] = "";
    size_t length = fread(text, 1, sizeof(text) - 1, file);
    fclose(file);
    text[length] = '\0';
    return strncmp(text, "short", 5) == 0      ? TAKES_ONE_BYTE
           : strncmp(text, "snapshot", 8) == 0 ? REFUSES_SNAPSHOTS
                                               : IS_FULL;
}

/* Returns how full the disk is for a file, or for the folder itself. */
static Fullness
fullness_of_path(const char *path)
{
    const char *folder = getenv("LL_FULL_DISK_FOLDER");
    if (folder == NULL || strncmp(path, folder, strlen(folder)) != 0) {
        return HAS_ROOM;
    }
    Fullness full = read_fullness();
    const char *slash = strrchr(path, '/');
    bool is_snapshot = slash != NULL && strncmp(slash, "/snapshot", 9) == 0;
    return full == REFUSES_SNAPSHOTS && !is_snapshot ? HAS_ROOM : full;
}

static bool
path_of(int fd, char *path, size_t size)
{
    char link[32];
    snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, size - 1);
    path[length < 0 ? 0 : length] = '\0';
    return length >= 0;
}

static Fullness
fullness_of(int fd)
{
    char path[4096];
    return path_of(fd, path, sizeof(path)) ? fullness_of_path(path) : HAS_ROOM;
}

static int
refuse(void)
{
    errno = ENOSPC;
    return -1;
}

ssize_t
FullDisk_Pwrite(int fd, const void *bytes, size_t length, off_t offset)
{
    PwriteFunction *real = (PwriteFunction *)dlsym(RTLD_NEXT, "pwrite");
    Fullness full = fullness_of(fd);
    if (full == IS_FULL || full == REFUSES_SNAPSHOTS ||
        (full == TAKES_ONE_BYTE && length <= 1))
    {
        return refuse();
    }
    return real(fd, bytes, full == TAKES_ONE_BYTE ? 1 : length, offset);
}

ssize_t
FullDisk_Pwrite64(int fd, const void *bytes, size_t length, off64_t offset)
{
    return FullDisk_Pwrite(fd, bytes, length, offset);
}

ssize_t
FullDisk_Write(int fd, const void *bytes, size_t length)
{
    WriteFunction *real = (WriteFunction *)dlsym(RTLD_NEXT, "write");
    return fullness_of(fd) != HAS_ROOM ? refuse() : real(fd, bytes, length);
}

int
FullDisk_Openat(int folder, const char *path, int flags, ...)
{
    OpenatFunction *real = (OpenatFunction *)dlsym(RTLD_NEXT, "openat");
    va_list args;
    va_start(args, flags);
    mode_t mode = (flags & O_CREAT) != 0 ? va_arg(args, mode_t) : 0;
    va_end(args);
    char whole[4096 + 256];
    if ((flags & O_CREAT) != 0 && faccessat(folder, path, F_OK, 0) != 0 &&
        path_of(folder, whole, 4096))
    {
        strncat(whole, "/", 2);
        strncat(whole, path, 255);
        if (fullness_of_path(whole) != HAS_ROOM) {
            return refuse();
        }
    }
    return real(folder, path, flags, mode);
}

int
FullDisk_Open(const char *path, int flags, ...)
{
    OpenFunction *real = (OpenFunction *)dlsym(RTLD_NEXT, "open");
    va_list args;
    va_start(args, flags);
    mode_t mode = (flags & O_CREAT) != 0 ? va_arg(args, mode_t) : 0;
    va_end(args);
    return (flags & O_CREAT) != 0 && fullness_of_path(path) != HAS_ROOM
               ? refuse()
               : real(path, flags, mode);
}
