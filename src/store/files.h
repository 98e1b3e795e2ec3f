/** @file
 * Files of one data folder behind a table of function pointers, so that
 * tests can inject failed, short and lost writes.
 *
 * Names are relative to the folder. Every function that can fail returns a
 * negative errno.
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
    /** Adds the names in the folder (g_strdup) to @p names. */
    int (*list)(void *context, GPtrArray *names);
    /** Opens for reading and writing; @p create makes a missing file. */
    int (*open)(void *context, const char *name, bool create);
    int64_t (*size)(void *context, int file);
    ssize_t (*read)(void *context, int file, void *bytes, size_t length,
                    uint64_t offset);
    /** May write less than @p length. */
    ssize_t (*write)(void *context, int file, const void *bytes, size_t length,
                     uint64_t offset);
    int (*truncate)(void *context, int file, uint64_t length);
    int (*sync)(void *context, int file);
    void (*close)(void *context, int file);
    int (*rename)(void *context, const char *from, const char *to);
    int (*remove)(void *context, const char *name);
    /** Makes creations, renames and removals durable. */
    int (*sync_folder)(void *context);
    void (*free)(void *context);
} StoreFiles;

/** Opens the folder, making it when it is missing, and locks it against
 * other processes.
 * @return ERR_OK, ERR_IO, or ERR_CONFLICT when another process has it. */
int StoreFiles_OpenFolder(const char *path, StoreFiles *files, Error *err);

#endif
