/** @file
 * Checks of a raw head that must hold before it may be interpreted: anything
 * that two HTTP implementations could frame differently is refused.
 */
#ifndef LAURELLIFT_HTTP1_STRICT_H
#define LAURELLIFT_HTTP1_STRICT_H

#include <stdbool.h>
#include <stddef.h>

#include "kernel/error.h"

/** @param raw  the head with its closing empty line.
 * @return ERR_OK or ERR_INVALID with a sentence in @p err. */
int H1Head_CheckRaw(const char *raw, size_t length, bool request, Error *err);

#endif
