/** @file
 * Logger. One line a record, in one of two forms:
 * - text, on standard error:
 *   `TIME LEVEL PART: Short sentence. key=value key="a value"`
 * - JSON, on standard output: an object with `time`, `level`, `part`,
 *   `event` (the sentence) and a field for each key.
 *
 * The JSON form never blocks and keeps to a budget of lines and bytes a
 * second. Records that it leaves out are counted and told of in a record of
 * their own; warnings and errors are kept before the rest.
 */
#ifndef LAURELLIFT_KERNEL_LOG_H
#define LAURELLIFT_KERNEL_LOG_H

typedef enum LogLevel {
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_INFO,
    LOG_LEVEL_WARN,
    LOG_LEVEL_ERROR,
} LogLevel;

/** Writes JSON on standard output from now on. */
void Log_UseJson(void);

/** Drops records below @p level. */
void Log_SetLevel(LogLevel level);

/** Parses "debug", "info", "warn" or "error"; ERR_INVALID otherwise. */
int Log_ParseLevel(const char *name, LogLevel *level);

/** Writes one record. @p part is the fixed prefix of the part that logs. */
void Log_Write(LogLevel level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG_DEBUG(part, ...) Log_Write(LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define LOG_INFO(part, ...) Log_Write(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define LOG_WARN(part, ...) Log_Write(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define LOG_ERROR(part, ...) Log_Write(LOG_LEVEL_ERROR, part, __VA_ARGS__)

#endif
