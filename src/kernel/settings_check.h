/** @file
 * Checks of settings that the YAML schema cannot express.
 */
#ifndef LAURELLIFT_KERNEL_SETTINGS_CHECK_H
#define LAURELLIFT_KERNEL_SETTINGS_CHECK_H

#include "kernel/settings.h"

/** Checks values against each other and against what they must look like.
 * @param path  names the file in @p err and is read again to find lines. */
int SettingsCheck_All(const char *path, const Settings *settings, Error *err);

/** Number of the first line, @p from or later, that holds @p text; @p from
 * when there is none. */
unsigned SettingsCheck_FindLine(const char *path, const char *text,
                                unsigned from);

#endif
