/** @file
 * File operations on one data folder as a table of function pointers, so
 * that tests can inject failed, short and lost writes.
 *
 * File names are relative to the folder. Every function that can fail
 * returns a negative errno value on failure.
 */
#ifndef LAURELLIFT_STORE_FILES_H
#define LAURELLIFT_STORE_FILES_H

#include <stdbool.h>
#include <stdint.h>

#include <sys/types.h>

#include <glib.h>

#include "kernel/error.h"

/** Operations on the files of one folder. */
typedef struct StoreFiles {
    void *context;
    /** Appends a copy (g_strdup) of each file's name to @p names. */
    int (*list)(void *context, GPtrArray *names);
    /** Opens a file for reading and writing. Creates a missing file when
     * @p create is true.
     * @return the file handle. */
    int (*open)(void *context, const char *name, bool create);
    int64_t (*size)(void *context, int file);
    ssize_t (*read)(void *context, int file, void *bytes, size_t length,
                    uint64_t offset);
    /** Writes at @p offset. May write fewer than @p length bytes.
     * @return number of bytes written. */
    ssize_t (*write)(void *context, int file, const void *bytes, size_t length,
                     uint64_t offset);
    int (*truncate)(void *context, int file, uint64_t length);
    int (*sync)(void *context, int file);
    void (*close)(void *context, int file);
    int (*rename)(void *context, const char *from, const char *to);
    int (*remove)(void *context, const char *name);
    /** Makes the creation, renaming and removal of files durable. */
    int (*sync_folder)(void *context);
    void (*free)(void *context);
} StoreFiles;

/** Opens the folder, creates it when it does not exist, and locks it so that
 * no other process can open it.
 * @return ERR_OK, ERR_IO, or ERR_CONFLICT when another process holds the
 * lock. */
int StoreFiles_OpenFolder(const char *path, StoreFiles *files, Error *err);

#endif
