/** @file
 * The directory of endpoints in a file, so that a control host that starts
 * again knows them before they announce themselves. What it holds may be
 * old: `born` and `sequence` let newer news win, and a request names the
 * endpoint it means.
 */
#ifndef LAURELLIFT_FLEET_DIRECTORY_FILE_H
#define LAURELLIFT_FLEET_DIRECTORY_FILE_H

#include <glib.h>

#include "routes/endpoint.h"

/** Packs the directory with a checksum. */
GBytes *DirectoryFile_Pack(const Directory *directory);

/** Adds what the bytes hold. ERR_CORRUPT adds nothing. */
int DirectoryFile_Unpack(GBytes *bytes, Directory *directory);

/** Reads the file in the folder; a missing one is an empty directory. */
void DirectoryFile_Load(const char *folder, Directory *directory);

/** Replaces the file, on a thread of its own. A failure costs no more than
 * the file's use, and is logged. */
void DirectoryFile_Save(const char *folder, const Directory *directory);

#endif
