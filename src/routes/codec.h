/** @file
 * Interface for decoding a configuration document into a route table. The
 * program that adds the tasks implements it, because the format is chosen by
 * whoever writes the documents; the tasks use only the table.
 */
#ifndef LAURELLIFT_ROUTES_CODEC_H
#define LAURELLIFT_ROUTES_CODEC_H

#include "routes/table.h"

typedef struct RouteCodec {
    /** Decodes and checks a document. Sets @p table to a table with one
     * reference, which the caller releases with RouteTable_Unref().
     * @return ERR_OK, or ERR_INVALID with a message in @p err. */
    int (*decode)(const char *bytes, size_t length, RouteTable **table,
                  Error *err);
} RouteCodec;

#endif
