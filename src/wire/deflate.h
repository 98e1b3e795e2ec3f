/** @file
 * zlib compression of documents that are sent between zones.
 */
#ifndef LAURELLIFT_WIRE_DEFLATE_H
#define LAURELLIFT_WIRE_DEFLATE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Maximum uncompressed size, in bytes. No document that operators may install
 * is larger. */
#define DEFLATE_MAX_BYTES (8u * 1024 * 1024)

GBytes *Deflate_Pack(const void *bytes, size_t length);

/** @param plain_bytes  expected uncompressed size.
 * @return NULL when the uncompressed size differs from @p plain_bytes or
 * exceeds DEFLATE_MAX_BYTES, or the bytes are malformed. */
GBytes *Deflate_Unpack(const void *bytes, size_t length, size_t plain_bytes);

#endif
