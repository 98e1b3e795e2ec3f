/** @file
 * zlib compression of documents.
 */
#include "wire/deflate.h"

#include <zlib.h>

GBytes *
Deflate_Pack(const void *bytes, size_t length)
{
    uLongf size = compressBound(length);
    uint8_t *packed = g_malloc(size);
    int result = compress2(packed, &size, bytes, length, Z_BEST_SPEED);
    g_assert(result == Z_OK);
    return g_bytes_new_take(g_realloc(packed, size), size);
}

GBytes *
Deflate_Unpack(const void *bytes, size_t length, size_t inflated)
{
    if (inflated > DEFLATE_MAX_BYTES) {
        return NULL;
    }
    uLongf size = inflated;
    uint8_t *plain = g_malloc(MAX(inflated, 1));
    if (uncompress(plain, &size, bytes, length) != Z_OK || size != inflated) {
        g_free(plain);
        return NULL;
    }
    return g_bytes_new_take(plain, size);
}
