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
Deflate_Unpack(const void *bytes, size_t length, size_t plain_bytes)
{
    if (plain_bytes > DEFLATE_MAX_BYTES) {
        return NULL;
    }
    uLongf size = plain_bytes;
    uint8_t *plain = g_malloc(MAX(plain_bytes, 1));
    if (uncompress(plain, &size, bytes, length) != Z_OK || size != plain_bytes)
    {
        g_free(plain);
        return NULL;
    }
    return g_bytes_new_take(plain, size);
}
