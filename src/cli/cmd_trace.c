/** @file
 * Command trace: prints the records of one request from the logs of several
 * processes, in order of time.
 */
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

/* Size of the line buffer. A record on a longer line is skipped. */
#define RECORD_MAX_BYTES 65536

typedef struct Found {
    char *time;
    guint
        sequence; /* position in reading order; orders records of equal time */
    char *line;
} Found;

static void
free_found(gpointer data)
{
    Found *found = data;
    g_free(found->time);
    g_free(found->line);
    g_free(found);
}

static gint
compare_found(gconstpointer a, gconstpointer b)
{
    const Found *first = *(const Found *const *)a;
    const Found *second = *(const Found *const *)b;
    int order = strcmp(first->time, second->time);
    if (order != 0) {
        return order;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

/* Formats a record as `TIME FILE PART: Sentence. key=value`. The caller frees
 * the result. */
static char *
describe(const char *name, const json_t *record)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "%s %s %s: %s", Cli_Text(record, "time"), name,
                    Cli_Text(record, "part"), Cli_Text(record, "event"));
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
            g_string_append_printf(text, " %s=%" JSON_INTEGER_FORMAT, key,
                                   json_integer_value(value));
        }
    }
    return g_string_free(text, FALSE);
}

static void
take_line(GPtrArray *all, const char *name, const char *line, const char *id,
          bool as_json)
{
    /* Log collectors may prepend a prefix to a record. */
    const char *start = strchr(line, '{');
    json_t *record = start == NULL ? NULL : json_loads(start, 0, NULL);
    if (record != NULL && strcmp(Cli_Text(record, "id"), id) == 0) {
        Found *found = g_new0(Found, 1);
        found->time = g_strdup(Cli_Text(record, "time"));
        found->sequence = all->len;
        found->line =
            as_json ? g_strchomp(g_strdup(start)) : describe(name, record);
        g_ptr_array_add(all, found);
    }
    json_decref(record);
}

static bool
read_file(GPtrArray *all, const char *path, const char *id, bool as_json)
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
        take_line(all, name, line, id, as_json);
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
    GPtrArray *all = g_ptr_array_new_with_free_func(free_found);
    bool readable = true;
    for (guint i = 1; i < cli->arg_count; i++) {
        readable =
            read_file(all, cli->args[i], cli->args[0], cli->json) && readable;
    }
    if (cli->arg_count == 1) {
        readable = read_file(all, "-", cli->args[0], cli->json);
    }
    g_ptr_array_sort(all, compare_found);
    for (guint i = 0; i < all->len; i++) {
        const Found *found = all->pdata[i];
        puts(found->line);
    }
    bool any = all->len > 0;
    g_ptr_array_unref(all);
    if (!readable) {
        return CLI_USAGE;
    }
    return any ? CLI_OK : CLI_REFUSED;
}

const CliCommand cli_trace_commands[] = {
    {
        .words = "trace",
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
