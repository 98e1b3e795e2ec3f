/** @file
 * Checks on the raw head of a message before it is parsed. They refuse any
 * head that two HTTP implementations could interpret with different framing,
 * as in request smuggling.
 */
#ifndef LAURELLIFT_HTTP1_STRICT_H
#define LAURELLIFT_HTTP1_STRICT_H

#include <stdbool.h>
#include <stddef.h>

#include "kernel/error.h"

/** @param raw  the head with the empty line that ends it.
 * @return ERR_OK or ERR_INVALID. */
int H1Head_CheckRaw(const char *raw, size_t length, bool request, Error *err);

#endif
