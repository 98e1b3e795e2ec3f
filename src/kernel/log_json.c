/** @file
 * JSON log records: splits a text record into fields and limits the output
 * rate.
 */
#include "kernel/log_json.h"

#include <ctype.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

/* Fraction of the budget that only warnings and errors may use. */
#define RESERVED_FRACTION 0.25
/* Bytes that a pipe accepts without blocking while poll() reports it as
 * writable (PIPE_BUF of Linux). */
#define PIPE_WRITE_BYTES 4096
/* Prefix of a key that names a field which the record already has. */
#define REPEATED_PREFIX "field_"
#define DROPPED_FORMAT "Records were left out. count=%llu"

static GMutex lock;
static LogBudget log_budget = {
    .lines = LOG_BUDGET_LINES_PER_S,
    .bytes = LOG_BUDGET_BYTES_PER_S,
};

bool
LogBudget_Take(LogBudget *budget, LogLevel level, size_t bytes, TimeUs now)
{
    if (budget->filled_at != 0) {
        double seconds = (double)(now - budget->filled_at) / (double)US_PER_S;
        budget->lines = MIN(budget->lines + seconds * LOG_BUDGET_LINES_PER_S,
                            LOG_BUDGET_LINES_PER_S);
        budget->bytes = MIN(budget->bytes + seconds * LOG_BUDGET_BYTES_PER_S,
                            LOG_BUDGET_BYTES_PER_S);
    }
    budget->filled_at = now;
    double reserved = level >= LOG_LEVEL_WARN ? 0 : RESERVED_FRACTION;
    if (budget->lines - 1 < reserved * LOG_BUDGET_LINES_PER_S ||
        budget->bytes - (double)bytes < reserved * LOG_BUDGET_BYTES_PER_S)
    {
        budget->dropped_records++;
        return false;
    }
    budget->lines -= 1;
    budget->bytes -= (double)bytes;
    return true;
}

/* Returns the first ` key=` of the record, or NULL if it has no keys. */
static const char *
find_key(const char *text)
{
    for (const char *at = strchr(text, ' '); at != NULL;
         at = strchr(at + 1, ' ')) {
        const char *end = at + 1;
        while (isalnum((unsigned char)*end) || *end == '_') {
            end++;
        }
        if (end > at + 1 && *end == '=') {
            return at;
        }
    }
    return NULL;
}

/* Returns whether a printf conversion prints a number. Hexadecimal ones print
 * identifiers.
 * @param conversion  the text after the `%`. */
static bool
prints_number(const char *conversion)
{
    conversion += strspn(conversion, "-+ #0123456789.*");
    conversion += strspn(conversion, "hlzjt");
    return *conversion != '\0' && strchr("diuf", *conversion) != NULL &&
           (conversion[1] == '\0' || conversion[1] == ' ');
}

/* Returns whether the value of a key is a number. The conversion in the format
 * decides this, not the value: an identifier may consist of digits. */
static bool
is_number_key(const char *format, const char *key)
{
    size_t length = strlen(key);
    for (const char *at = strstr(format, key); at != NULL;
         at = strstr(at + 1, key))
    {
        if (at > format && at[-1] == ' ' && at[length] == '=') {
            return at[length + 1] == '%' && prints_number(at + length + 2);
        }
    }
    return false;
}

static json_t *
make_value(const char *text, size_t length, bool is_number)
{
    char *copy = g_strndup(text, length);
    char *end = copy;
    json_t *value = NULL;
    if (is_number) {
        errno = 0;
        long long number = strtoll(copy, &end, 10);
        if (end != copy && *end == '\0' && errno == 0) {
            value = json_integer(number);
        }
        else {
            double real = g_ascii_strtod(copy, &end);
            value = end != copy && *end == '\0' ? json_real(real) : NULL;
        }
    }
    if (value == NULL) {
        value = json_string(copy);
    }
    g_free(copy);
    return value == NULL ? json_string("(not text)") : value;
}

/* Returns the name of a field: the key, with a prefix if the record has a
 * field of that name, so that no field hides another one. */
static char *
field_name(const json_t *record, const char *key)
{
    char *name = g_strdup(key);
    while (json_object_get(record, name) != NULL) {
        char *longer = g_strconcat(REPEATED_PREFIX, name, NULL);
        g_free(name);
        name = longer;
    }
    return name;
}

/* Adds the `key=value` pairs of the text, which was printed with the format,
 * to the object. */
static void
add_fields(json_t *record, const char *format, const char *text)
{
    while (text != NULL && *text != '\0') {
        text += strspn(text, " ");
        const char *equals = strchr(text, '=');
        if (equals == NULL) {
            return;
        }
        char *key = g_strndup(text, (gsize)(equals - text));
        const char *value = equals + 1;
        size_t length;
        if (*value == '"') {
            value++;
            const char *close = strchr(value, '"');
            length = close == NULL ? strlen(value) : (size_t)(close - value);
            text = close == NULL ? NULL : close + 1;
        }
        else {
            length = strcspn(value, " ");
            text = value + length;
        }
        char *name = field_name(record, key);
        json_object_set_new(
            record, name,
            make_value(value, length, is_number_key(format, key)));
        g_free(name);
        g_free(key);
    }
}

static void
format_time(int64_t wall_ms, char *out, size_t size)
{
    time_t seconds = (time_t)(wall_ms / 1000);
    struct tm utc;
    gmtime_r(&seconds, &utc);
    size_t used = strftime(out, size, "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(out + used, size - used, ".%03dZ", (int)(wall_ms % 1000));
}

char *
LogJson_Format(int64_t wall_ms, const char *level, const char *part,
               const char *format, const char *text)
{
    char when[40];
    format_time(wall_ms, when, sizeof(when));
    const char *keys = find_key(text);
    size_t length = keys == NULL ? strlen(text) : (size_t)(keys - text);
    json_t *record = json_object();
    json_object_set_new(record, "time", json_string(when));
    json_object_set_new(record, "level", json_string(level));
    json_object_set_new(record, "part", json_string(part));
    json_t *event = json_stringn(text, length);
    json_object_set_new(record, "event",
                        event == NULL ? json_string("(not text)") : event);
    add_fields(record, format, keys);
    char *line = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    return line;
}

/* Writes a line if that does not block.
 * @return false if the line was not written whole. */
static bool
write_line(const char *line, size_t length)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (length + 1 > PIPE_WRITE_BYTES || poll(&out, 1, 0) != 1 ||
        (out.revents & POLLOUT) == 0)
    {
        return false;
    }
    char *bytes = g_strdup_printf("%s\n", line);
    ssize_t written = write(STDOUT_FILENO, bytes, length + 1);
    g_free(bytes);
    return written == (ssize_t)length + 1;
}

/* Writes a record with the number of dropped records, if any, as soon as the
 * budget permits it. */
static void
report_dropped(TimeUs now)
{
    uint64_t count = log_budget.dropped_records;
    if (count == 0) {
        return;
    }
    char text[96];
    snprintf(text, sizeof(text), DROPPED_FORMAT, (unsigned long long)count);
    char *line =
        LogJson_Format(Clock_WallMs(), "warn", "log", DROPPED_FORMAT, text);
    if (LogBudget_Take(&log_budget, LOG_LEVEL_WARN, strlen(line), now) &&
        write_line(line, strlen(line)))
    {
        log_budget.dropped_records -= count;
    }
    else {
        log_budget.dropped_records = count;
    }
    free(line);
}

void
LogJson_Write(LogLevel level, const char *name, const char *part,
              const char *format, const char *text)
{
    char *line = LogJson_Format(Clock_WallMs(), name, part, format, text);
    TimeUs now = Clock_Now();
    g_mutex_lock(&lock);
    if (LogBudget_Take(&log_budget, level, strlen(line), now)) {
        report_dropped(now);
        if (!write_line(line, strlen(line))) {
            log_budget.dropped_records++;
        }
    }
    g_mutex_unlock(&lock);
    free(line);
}
