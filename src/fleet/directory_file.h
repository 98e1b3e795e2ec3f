/** @file
 * Saves the directory of endpoints to a file, so that a restarted control host
 * has it before the endpoints announce themselves again. Loaded records may be
 * outdated: `born` and `sequence` let newer records replace them, and each
 * request carries the id of the endpoint for which it is meant.
 */
#ifndef LAURELLIFT_FLEET_DIRECTORY_FILE_H
#define LAURELLIFT_FLEET_DIRECTORY_FILE_H

#include <glib.h>

#include "routes/endpoint.h"

/** Serializes the directory with a checksum. */
GBytes *DirectoryFile_Pack(const Directory *directory);

/** Adds the serialized endpoint records to the directory.
 * @return ERR_OK, or ERR_CORRUPT, which adds nothing. */
int DirectoryFile_Unpack(GBytes *bytes, Directory *directory);

/** Adds the records of the file in @p folder to the directory. A missing or
 * corrupt file adds nothing. */
void DirectoryFile_Load(const char *folder, Directory *directory);

/** Replaces the file in @p folder, on a separate thread. A failure is only
 * logged. */
void DirectoryFile_Save(const char *folder, const Directory *directory);

#endif
