/** @file
 * Command trace: prints the records of one request from the logs of several
 * processes, in order of time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

/* Size of the line buffer. A record on a longer line is skipped. */
#define RECORD_MAX_BYTES 65536

typedef struct TraceRecord {
    char *time;
    guint sequence; /* reading order, for records of equal time */
    char *line;
} TraceRecord;

static void
free_record(gpointer data)
{
    TraceRecord *record = data;
    g_free(record->time);
    g_free(record->line);
    g_free(record);
}

static gint
compare_records(gconstpointer a, gconstpointer b)
{
    const TraceRecord *first = *(const TraceRecord *const *)a;
    const TraceRecord *second = *(const TraceRecord *const *)b;
    int order = strcmp(first->time, second->time);
    if (order != 0) {
        return order;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

/* Formats a record as `TIME FILE PART: Sentence. key=value`. The caller frees
 * the result. */
static char *
format_record(const char *name, const json_t *record)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "%s %s %s: %s", Cli_String(record, "time"), name,
                    Cli_String(record, "part"), Cli_String(record, "event"));
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)record, key, value)
    {
        if (strcmp(key, "time") == 0 || strcmp(key, "part") == 0 ||
            strcmp(key, "event") == 0 || strcmp(key, "level") == 0)
        {
            continue;
        }
        if (json_is_string(value)) {
            g_string_append_printf(text, " %s=%s", key,
                                   json_string_value(value));
        }
        else {
            char *number = json_dumps(value, JSON_ENCODE_ANY);
            g_string_append_printf(text, " %s=%s", key, number);
            free(number);
        }
    }
    return g_string_free(text, FALSE);
}

static void
add_line(GPtrArray *records, const char *name, const char *line,
         const char *id, bool as_json)
{
    /* Log collectors may prepend a prefix to a record. */
    const char *start = strchr(line, '{');
    json_t *json = start == NULL ? NULL : json_loads(start, 0, NULL);
    if (json != NULL && strcmp(Cli_String(json, "id"), id) == 0) {
        TraceRecord *record = g_new0(TraceRecord, 1);
        record->time = g_strdup(Cli_String(json, "time"));
        record->sequence = records->len;
        record->line =
            as_json ? g_strchomp(g_strdup(start)) : format_record(name, json);
        g_ptr_array_add(records, record);
    }
    json_decref(json);
}

static bool
read_file(GPtrArray *records, const char *path, const char *id, bool as_json)
{
    bool standard_input = strcmp(path, "-") == 0;
    FILE *file = standard_input ? stdin : fopen(path, "r");
    if (file == NULL) {
        fprintf(stderr, "laurellift: cannot read %s\n", path);
        return false;
    }
    char *name = g_path_get_basename(path);
    char *line = g_malloc(RECORD_MAX_BYTES);
    while (fgets(line, RECORD_MAX_BYTES, file) != NULL) {
        add_line(records, name, line, id, as_json);
    }
    g_free(line);
    g_free(name);
    if (!standard_input) {
        fclose(file);
    }
    return true;
}

static int
run_trace(Cli *cli)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(free_record);
    bool readable = true;
    for (guint i = 1; i < cli->arg_count; i++) {
        readable = read_file(records, cli->args[i], cli->args[0], cli->json) &&
                   readable;
    }
    if (cli->arg_count == 1) {
        readable = read_file(records, "-", cli->args[0], cli->json);
    }
    g_ptr_array_sort(records, compare_records);
    for (guint i = 0; i < records->len; i++) {
        const TraceRecord *record = records->pdata[i];
        puts(record->line);
    }
    bool any = records->len > 0;
    g_ptr_array_unref(records);
    if (!readable) {
        return CLI_USAGE;
    }
    return any ? CLI_OK : CLI_REFUSED;
}

const CliCommand cli_trace_commands[] = {
    {
        .name = "trace",
        .args = "ID [LOG...]",
        .summary = "Prints the log records of one request in order of time.",
        .details = "Reads the JSON logs of processes, or standard input.\n"
                   "Example: laurellift trace 9c41d07be2a35f68 *.log\n"
                   "Exits 1 if no record has the id of the request.",
        .min_args = 1,
        .max_args = 4096,
        .run = run_trace,
    },
};

const size_t cli_trace_commands_count = G_N_ELEMENTS(cli_trace_commands);
