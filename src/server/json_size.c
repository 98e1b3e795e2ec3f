/** @file
 * Memory that a JSON text takes once it is parsed.
 */
#include "server/json_size.h"

#include <string.h>

#include "wire/client_memory.h"

#define RETRY_AFTER_MS 500
/* Bytes that jansson allocates, with the allocator's own: for an empty array
 * and an empty object with their tables, for an element or member with its
 * part of a table that grows and a number as its value, for a string without
 * its characters, and for a member's name beyond those of a string. */
#define ARRAY_BYTES 160
#define OBJECT_BYTES 288
#define ELEMENT_BYTES 64
#define STRING_BYTES 80
#define NAME_BYTES 48

/* Returns the position after the string that begins before @p at. */
static const char *
skip_string(const char *at, const char *end)
{
    while (at < end && *at != '"') {
        at += *at == '\\' && at + 1 < end ? 2 : 1;
    }
    return at < end ? at + 1 : end;
}

size_t
JsonSize_Estimate(const char *text, size_t length)
{
    const char *end = text + length;
    size_t bytes = ELEMENT_BYTES;
    for (const char *at = text; at < end;) {
        char c = *at++;
        switch (c) {
        case '[':
            bytes += ARRAY_BYTES;
            break;
        case '{':
            bytes += OBJECT_BYTES;
            break;
        case ',':
            bytes += ELEMENT_BYTES;
            break;
        case ':':
            bytes += NAME_BYTES;
            break;
        case '"': {
            const char *next = skip_string(at, end);
            bytes += STRING_BYTES + (size_t)(next - at);
            at = next;
            break;
        }
        default:
            break;
        }
    }
    return bytes;
}

const HttpError *
JsonSize_Check(const char *text, size_t length)
{
    static const HttpError never_fits = {
        .status = 413,
        .code = "too_large",
        .message = "The JSON has more values than the memory allows.",
        .outcome = "not_run",
    };
    static const HttpError no_room = {
        .status = 503,
        .code = "out_of_memory",
        .message = "Too much is held for clients at present.",
        .outcome = "not_run",
        .retry_after_ms = RETRY_AFTER_MS,
    };
    if (length == 0) {
        return NULL;
    }
    const ClientBudget *budget = ClientMemory_Budget();
    size_t bytes = JsonSize_Estimate(text, length);
    size_t bound = ClientBudget_Bound(budget);
    if (bytes > ClientBudget_LargestBody(bound)) {
        return &never_fits;
    }
    return bytes + ClientBudget_Used(budget) > bound ? &no_room : NULL;
}
