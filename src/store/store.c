/** @file
 * Store: the data folder.
 */
#include "store/store.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#define FOLDER_MODE 0700

int
Store_PrepareFolder(const char *path, Error *err)
{
    if (g_mkdir_with_parents(path, FOLDER_MODE) != 0) {
        return Error_Set(err, ERR_IO, "Cannot make folder %s: %s.", path,
                         strerror(errno));
    }
    return ERR_OK;
}
