/** @file
 * JSON log records on standard output, limited in rate.
 */
#ifndef LAURELLIFT_KERNEL_LOG_JSON_H
#define LAURELLIFT_KERNEL_LOG_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "kernel/log.h"

/** Token bucket of lines and bytes. An empty bucket is full again after one
 * second. */
typedef struct LogBudget {
    double lines;             /**< Lines that may be written now. */
    double bytes;             /**< Bytes that may be written now. */
    TimeUs filled_at;         /**< Time of the last refill; 0 if none yet. */
    uint64_t dropped_records; /**< Dropped and not yet reported in the log. */
} LogBudget;

/** Size of the budget, which is also its refill per second. It is several
 * times what a busy entry host logs for its requests and a small part of the
 * bandwidth of that host's network link. */
#define LOG_BUDGET_LINES_PER_S 400
#define LOG_BUDGET_BYTES_PER_S (128 * 1024)

/** Takes one record of @p bytes from the budget. A quarter of the budget is
 * reserved for warnings and errors.
 * @return false if the record exceeds the budget; it is counted as dropped. */
bool LogBudget_Take(LogBudget *budget, LogLevel level, size_t bytes,
                    TimeUs now);

/** Formats a record as one line of JSON, which the caller frees with free(). A
 * key that names a field of the logger, or one that the text names twice, gets
 * the prefix "field_". A value is a number if the format prints it with %d,
 * %i, %u or %f, otherwise a string, also if it has digits only.
 * @param format  the format that the text was printed with.
 * @param text  "Sentence. key=value key=\"a value\"". */
char *LogJson_Format(int64_t wall_ms, const char *level, const char *part,
                     const char *format, const char *text);

/** Writes a record on standard output, or counts it as dropped.
 * @param name  name of the level. */
void LogJson_Write(LogLevel level, const char *name, const char *part,
                   const char *format, const char *text);

#endif
