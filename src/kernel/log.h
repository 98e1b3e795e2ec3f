/** @file
 * Logger. Each record is one line in one of two formats:
 * - text, on standard error:
 *   `TIME LEVEL PART: Short sentence. key=value key="a value"`
 * - JSON, on standard output: an object with `time`, `level`, `part`,
 *   `event` (the sentence) and a field for each key.
 *
 * Writing JSON never blocks and is limited to a number of lines and bytes per
 * second. Dropped records are counted, and a later record reports their
 * number. Part of the limit is reserved for warnings and errors.
 */
#ifndef LAURELLIFT_KERNEL_LOG_H
#define LAURELLIFT_KERNEL_LOG_H

typedef enum LogLevel {
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_INFO,
    LOG_LEVEL_WARN,
    LOG_LEVEL_ERROR,
} LogLevel;

/** Switches from text on standard error to JSON on standard output. */
void Log_UseJson(void);

/** Sets the lowest level that is written. */
void Log_SetLevel(LogLevel level);

/** Parses "debug", "info", "warn" or "error".
 * @return ERR_OK, or ERR_INVALID for any other name. */
int Log_ParseLevel(const char *name, LogLevel *level);

/** Writes one record.
 * @param part  name of the component that logs, as in "gateway".
 * @param format  "Sentence. key=value key=\"a value\"". */
void Log_Write(LogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG_DEBUG(part, ...) Log_Write(LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define LOG_INFO(part, ...) Log_Write(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define LOG_WARN(part, ...) Log_Write(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define LOG_ERROR(part, ...) Log_Write(LOG_LEVEL_ERROR, part, __VA_ARGS__)

#endif
