/** @file
 * JSON records on standard output, within a budget.
 */
#ifndef LAURELLIFT_KERNEL_LOG_JSON_H
#define LAURELLIFT_KERNEL_LOG_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "kernel/log.h"

/** What may be written. Both fill up over a second. */
typedef struct LogBudget {
    double lines;
    double bytes;
    TimeUs filled_at;
    uint64_t
        dropped_records; /**< Records since the last one that told of them. */
} LogBudget;

/** Lines and bytes a second: several times what a busy entry host writes for
 * its requests, a small part of what its link carries. */
#define LOG_BUDGET_LINES_PER_S 400
#define LOG_BUDGET_BYTES_PER_S (128 * 1024)

/** Takes a record of @p bytes out of the budget. Records below a warning
 * leave a quarter of it to the others. */
bool LogBudget_Take(LogBudget *budget, LogLevel level, size_t bytes,
                    TimeUs now);

/** Formats a record; the caller frees it with free().
 * @param text  "Sentence. key=value key=\"a value\"". */
char *LogJson_Format(int64_t wall_ms, const char *level, const char *part,
                     const char *text);

/** Writes a record on standard output, or counts it as left out. */
void LogJson_Write(LogLevel level, const char *name, const char *part,
                   const char *text);

#endif
