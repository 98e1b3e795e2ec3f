/** @file
 * How a configuration document becomes a route table. The format belongs to
 * whoever sends the documents; the product only needs the table.
 */
#ifndef LAURELLIFT_ROUTES_CODEC_H
#define LAURELLIFT_ROUTES_CODEC_H

#include "routes/table.h"

typedef struct RouteCodec {
    /** Decodes and checks a document. ERR_INVALID with a sentence in
     * @p err; the caller unrefs the table. */
    int (*decode)(const char *bytes, size_t length, RouteTable **table,
                  Error *err);
} RouteCodec;

#endif
