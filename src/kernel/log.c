/** @file
 * Logger: writes each record with one write() call, so that the records of
 * several threads do not interleave.
 */
#include "kernel/log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "kernel/log_json.h"

#define LOG_LINE_BYTES 1024

static const char *const level_names[] = {
    [LOG_LEVEL_DEBUG] = "debug",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_WARN] = "warn",
    [LOG_LEVEL_ERROR] = "error",
};

static atomic_int lowest_level = LOG_LEVEL_INFO;
static atomic_bool use_json;

void
Log_UseJson(void)
{
    atomic_store(&use_json, true);
}

void
Log_SetLevel(LogLevel level)
{
    atomic_store(&lowest_level, level);
}

int
Log_ParseLevel(const char *name, LogLevel *level)
{
    for (int i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_ERROR; i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (LogLevel)i;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

static size_t
format_prefix(char *line, size_t size, LogLevel level, const char *part)
{
    int64_t wall_ms = Clock_WallMs();
    time_t seconds = (time_t)(wall_ms / 1000);
    struct tm utc;
    gmtime_r(&seconds, &utc);
    size_t used = strftime(line, size, "%Y-%m-%dT%H:%M:%S", &utc);
    int length = snprintf(line + used, size - used,
                          ".%03dZ %-5s %s: ", (int)(wall_ms % 1000),
                          level_names[level], part);
    return used + (size_t)length;
}

void
Log_Write(LogLevel level, const char *part, const char *format, ...)
{
    if ((int)level < atomic_load(&lowest_level)) {
        return;
    }
    char line[LOG_LINE_BYTES];
    bool json = atomic_load(&use_json);
    size_t prefix =
        json ? 0 : format_prefix(line, sizeof(line) - 1, level, part);
    va_list args;
    va_start(args, format);
    int length =
        vsnprintf(line + prefix, sizeof(line) - 1 - prefix, format, args);
    va_end(args);
    if (json) {
        LogJson_Write(level, level_names[level], part, format, line);
        return;
    }
    size_t available = sizeof(line) - 2 - prefix;
    size_t used =
        prefix + ((size_t)length < available ? (size_t)length : available);
    line[used++] = '\n';
    ssize_t written = write(STDERR_FILENO, line, used);
    (void)written;
}
