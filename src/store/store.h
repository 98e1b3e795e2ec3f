/** @file
 * Store: durable records of the replicated log in one data folder.
 */
#ifndef LAURELLIFT_STORE_STORE_H
#define LAURELLIFT_STORE_STORE_H

#include "kernel/error.h"

/** Creates the data folder when it is missing. ERR_IO when it cannot. */
int Store_PrepareFolder(const char *path, Error *err);

#endif
