/** @file
 * Sets errors and names error codes.
 */
#include "kernel/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const error_names[] = {
    [-ERR_OK] = "ok",
    [-ERR_INVALID] = "invalid",
    [-ERR_NOT_FOUND] = "not_found",
    [-ERR_CONFLICT] = "conflict",
    [-ERR_FULL] = "full",
    [-ERR_IO] = "io",
    [-ERR_CORRUPT] = "corrupt",
    [-ERR_TIMEOUT] = "timeout",
    [-ERR_DENIED] = "denied",
    [-ERR_UNAVAILABLE] = "unavailable",
    [-ERR_NO_MEMORY] = "no_memory",
    [-ERR_STOPPING] = "stopping",
    [-ERR_TOO_LARGE] = "too_large",
    [-ERR_DUPLICATE] = "duplicate",
};

int
Error_Set(Error *err, int code, const char *format, ...)
{
    if (err == NULL) {
        return code;
    }
    va_list args;
    va_start(args, format);
    vsnprintf(err->text, sizeof(err->text), format, args);
    va_end(args);
    err->code = code;
    return code;
}

const char *
Error_Name(int code)
{
    size_t index = (size_t)(-(long)code);
    size_t count = sizeof(error_names) / sizeof(error_names[0]);
    if (code > 0 || index >= count) {
        return "unknown";
    }
    return error_names[index];
}

void
Error_InvariantViolated(const char *condition, const char *file, int line)
{
    fprintf(stderr, "kernel: Invariant violated. condition=\"%s\" at=%s:%d\n",
            condition, file, line);
    abort();
}
