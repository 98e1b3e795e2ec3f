/** @file
 * Memory that a JSON text takes once it is parsed, which can exceed its length
 * a hundredfold.
 */
#ifndef LAURELLIFT_SERVER_JSON_SIZE_H
#define LAURELLIFT_SERVER_JSON_SIZE_H

#include <stddef.h>

#include "server/http.h"

/** Returns an upper estimate of the bytes that jansson allocates for a text,
 * valid or not. */
size_t JsonSize_Estimate(const char *text, size_t length);

/** Checks that a text fits into memory once it is parsed, beside what is held
 * for other clients.
 * @return NULL, or the error to reply with. */
const HttpError *JsonSize_Check(const char *text, size_t length);

#endif
