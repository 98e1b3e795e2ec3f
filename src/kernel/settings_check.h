/** @file
 * Checks settings for errors that the YAML schema cannot express.
 */
#ifndef LAURELLIFT_KERNEL_SETTINGS_CHECK_H
#define LAURELLIFT_KERNEL_SETTINGS_CHECK_H

#include "kernel/settings.h"

/** Checks the format of values and the references between them.
 * @param path  settings file; read again to find the line numbers for @p err.
 */
int SettingsCheck_All(const char *path, const Settings *settings, Error *err);

/** Returns the number of the first line that contains @p text, starting at
 * line
 * @p from, or @p from if no line does. */
unsigned SettingsCheck_FindLine(const char *path, const char *text,
                                unsigned from);

#endif
