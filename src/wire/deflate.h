/** @file
 * Compressed byte strings, for documents that cross zones.
 */
#ifndef LAURELLIFT_WIRE_DEFLATE_H
#define LAURELLIFT_WIRE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Largest inflated string, in bytes: the operators' bound of a document. */
#define DEFLATE_MAX_BYTES (8u * 1024 * 1024)

GBytes *Deflate_Pack(const void *bytes, size_t length);

/** @return NULL when the bytes do not inflate to exactly @p inflated. */
GBytes *Deflate_Unpack(const void *bytes, size_t length, size_t inflated);

#endif
