/** @file
 * Content of the state file with the directory of endpoints. A restarted
 * control host loads it and thus has the endpoints before they announce
 * themselves again. Loaded records may be outdated: `born` and `sequence` let
 * newer records replace them, and each request carries the id of the endpoint
 * for which it is meant.
 */
#ifndef LAURELLIFT_FLEET_DIRECTORY_FILE_H
#define LAURELLIFT_FLEET_DIRECTORY_FILE_H

#include <glib.h>

#include "routes/endpoint.h"

#define DIRECTORY_FILE_NAME "endpoints"

/** Serializes the directory, without endpoints that are gone. */
GBytes *DirectoryFile_Pack(const Directory *directory);

/** Adds the serialized endpoint records to the directory.
 * @return ERR_OK, or ERR_CORRUPT, which adds nothing. */
int DirectoryFile_Unpack(GBytes *bytes, Directory *directory);

#endif
