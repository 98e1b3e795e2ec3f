/** @file
 * State file: a small file of a control host that is replaced as a whole, with
 * a checksum, on a thread of its own. At most one thread writes a file;
 * content that is saved meanwhile replaces what still waits.
 */
#ifndef LAURELLIFT_FLEET_STATE_FILE_H
#define LAURELLIFT_FLEET_STATE_FILE_H

#include <glib.h>

typedef struct StateFile StateFile;

StateFile *StateFile_New(const char *folder, const char *name);

/** Frees the handle. A write that has begun is not waited for. */
void StateFile_Free(StateFile *file);

/** Returns the content last saved, or NULL if there is none or it is corrupt,
 * which is logged. */
GBytes *StateFile_Load(const StateFile *file);

/** Replaces the content and takes ownership of @p content. A write that fails,
 * as on a full disk, is repeated until it succeeds or newer content waits. */
void StateFile_Save(StateFile *file, GBytes *content);

#endif
