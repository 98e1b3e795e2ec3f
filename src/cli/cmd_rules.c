/** @file
 * Commands for the rule file: check, diff, apply, show and history.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "rules/rules.h"

#define FAULTS_SHOWN_MAX 20

/* Returns the contents of the file, which the caller frees, or prints an error
 * and returns NULL. */
static char *
read_file(const char *path)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(stderr, "laurellift: %s\n", error->message);
        g_error_free(error);
    }
    return text;
}

static json_t *
faults_to_json(const RulesFault *faults, size_t found)
{
    json_t *list = json_array();
    for (size_t i = 0; i < found && i < FAULTS_SHOWN_MAX; i++) {
        json_array_append_new(list, json_pack("{s:i, s:i, s:s}", "line",
                                              (int)faults[i].line, "column",
                                              (int)faults[i].column, "text",
                                              faults[i].text));
    }
    return list;
}

static void
print_check(const Cli *cli, const char *path, const Rules *rules,
            const RulesFault *faults, size_t found)
{
    int accounts = rules == NULL ? 0 : (int)Rules_AccountCount(rules);
    if (cli->json) {
        json_t *out =
            json_pack("{s:b, s:i, s:I, s:o}", "valid", rules != NULL,
                      "accounts", accounts, "found", (json_int_t)found,
                      "faults", faults_to_json(faults, found));
        Cli_PrintJson(out);
        json_decref(out);
        return;
    }
    for (size_t i = 0; i < found && i < FAULTS_SHOWN_MAX; i++) {
        printf("%s:%u:%u: %s\n", path, faults[i].line, faults[i].column,
               faults[i].text);
    }
    if (rules != NULL) {
        printf("%s: %d accounts\n", path, accounts);
    }
}

static int
run_check(Cli *cli)
{
    const char *path = cli->args[0];
    char *text = read_file(path);
    if (text == NULL) {
        return CLI_USAGE;
    }
    RulesFault faults[FAULTS_SHOWN_MAX];
    size_t found;
    Rules *rules =
        Rules_Parse(text, strlen(text), faults, FAULTS_SHOWN_MAX, &found);
    g_free(text);
    print_check(cli, path, rules, faults, found);
    int status = rules == NULL ? CLI_REFUSED : CLI_OK;
    Rules_Unref(rules);
    return status;
}

/* Returns the number of occurrences of each line. The keys point into
 * @p lines. */
static GHashTable *
count_lines(char **lines)
{
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
    for (char **line = lines; *line != NULL; line++) {
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, *line));
        g_hash_table_insert(counts, *line, GUINT_TO_POINTER(count + 1));
    }
    return counts;
}

/* Appends the lines that are not in @p others. If a line occurs
 * more often in @p lines, it is appended once for each further occurrence. */
static void
add_missing(char **lines, char **others, json_t *out)
{
    GHashTable *counts = count_lines(others);
    for (char **line = lines; *line != NULL; line++) {
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, *line));
        if (count == 0 && (*line)[0] != '\0') {
            json_array_append_new(out, json_string(*line));
        }
        else if (count > 0) {
            g_hash_table_insert(counts, *line, GUINT_TO_POINTER(count - 1));
        }
    }
    g_hash_table_destroy(counts);
}

/* Returns the lines that a change removes and adds. The order of lines and
 * empty lines are ignored. */
static json_t *
diff_texts(const char *before, const char *after)
{
    char **old_lines = g_strsplit(before, "\n", -1);
    char **new_lines = g_strsplit(after, "\n", -1);
    json_t *removed = json_array();
    json_t *added = json_array();
    add_missing(old_lines, new_lines, removed);
    add_missing(new_lines, old_lines, added);
    g_strfreev(old_lines);
    g_strfreev(new_lines);
    return json_pack("{s:o, s:o}", "removed", removed, "added", added);
}

static void
print_lines(const json_t *lines, char sign)
{
    size_t i;
    json_t *line;
    json_array_foreach(lines, i, line)
    {
        printf("%c %s\n", sign, json_string_value(line));
    }
}

static int
get_rules(const Cli *cli, ClientReply *reply)
{
    const ClientCall call = {.method = "GET", .path = "/v1/rules"};
    return Client_CallOrPrintError(cli, &call, reply);
}

static int
run_diff(Cli *cli)
{
    char *text = read_file(cli->args[0]);
    if (text == NULL) {
        return CLI_USAGE;
    }
    ClientReply reply;
    int status = get_rules(cli, &reply);
    if (status != CLI_OK) {
        g_free(text);
        return status;
    }
    json_t *diff = diff_texts(Cli_String(reply.json, "text"), text);
    const json_t *removed = json_object_get(diff, "removed");
    const json_t *added = json_object_get(diff, "added");
    json_object_set(diff, "version", json_object_get(reply.json, "version"));
    if (cli->json) {
        Cli_PrintJson(diff);
    }
    else {
        print_lines(removed, '-');
        print_lines(added, '+');
    }
    bool same = json_array_size(removed) + json_array_size(added) == 0;
    json_decref(diff);
    Client_Free(&reply);
    g_free(text);
    return same ? CLI_OK : CLI_REFUSED;
}

/* Sets the version on which the change is based: --base, or the version in
 * force. */
static int
find_base(const Cli *cli, gint64 *base)
{
    *base = cli->base;
    if (*base >= 0) {
        return CLI_OK;
    }
    ClientReply reply;
    int status = get_rules(cli, &reply);
    if (status == CLI_OK) {
        *base = Cli_Integer(reply.json, "version");
        Client_Free(&reply);
    }
    return status;
}

static int
apply_text(const Cli *cli, gint64 base, const char *text)
{
    char *path = g_strdup_printf("/v1/rules?base=%" G_GINT64_FORMAT, base);
    const ClientCall call = {.method = "POST", .path = path, .body = text};
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, &call, &reply);
    g_free(path);
    if (status != CLI_OK) {
        return status;
    }
    if (cli->json) {
        Cli_PrintJson(reply.json);
    }
    else {
        printf("accepted as version %lld\n",
               (long long)Cli_Integer(reply.json, "version"));
    }
    Client_Free(&reply);
    return CLI_OK;
}

static int
run_apply(Cli *cli)
{
    char *text = read_file(cli->args[0]);
    if (text == NULL) {
        return CLI_USAGE;
    }
    gint64 base;
    int status = find_base(cli, &base);
    if (status == CLI_OK) {
        status = apply_text(cli, base, text);
    }
    g_free(text);
    return status;
}

static int
run_show(Cli *cli)
{
    char *path = cli->arg_count == 0
                     ? g_strdup("/v1/rules")
                     : g_strdup_printf("/v1/rules/%s", cli->args[0]);
    const ClientCall call = {.method = "GET", .path = path};
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, &call, &reply);
    g_free(path);
    if (status != CLI_OK) {
        return status;
    }
    if (cli->json) {
        Cli_PrintJson(reply.json);
    }
    else {
        printf("%s", Cli_String(reply.json, "text"));
    }
    Client_Free(&reply);
    return CLI_OK;
}

static int
run_history(Cli *cli)
{
    const ClientCall call = {.method = "GET", .path = "/v1/rules/history"};
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, &call, &reply);
    if (status != CLI_OK) {
        return status;
    }
    if (cli->json) {
        Cli_PrintJson(reply.json);
        Client_Free(&reply);
        return CLI_OK;
    }
    size_t i;
    json_t *change;
    json_array_foreach(json_object_get(reply.json, "changes"), i, change)
    {
        printf("%6lld  %s  %8lld bytes  %s\n",
               (long long)Cli_Integer(change, "version"),
               Cli_String(change, "time"),
               (long long)Cli_Integer(change, "bytes"),
               Cli_String(change, "author"));
    }
    Client_Free(&reply);
    return CLI_OK;
}

const CliCommand cli_rules_commands[] = {
    {
        .name = "rules check",
        .args = "FILE",
        .summary = "Checks a rule file without contacting a host.",
        .details = "Prints FILE:LINE:COLUMN: and what was expected for each "
                   "error. Exits 1 if there are errors.\n\n"
                   "  laurellift rules check rules",
        .min_args = 1,
        .max_args = 1,
        .run = run_check,
    },
    {
        .name = "rules diff",
        .args = "FILE",
        .summary = "Shows which lines a change would remove and add.",
        .details = "Exits 0 if there are no differences, otherwise 1."
                   "\n\n  laurellift rules diff rules --key-file key",
        .min_args = 1,
        .max_args = 1,
        .run = run_diff,
    },
    {
        .name = "rules apply",
        .args = "FILE",
        .summary = "Applies a rule file to the whole cluster.",
        .details =
            "The change is refused if another change was made since the base "
            "version; in this case, check `rules diff` and apply again. The "
            "option --base names the version that FILE is based on; the "
            "default is the version in force. If a reply is lost, the request "
            "is retried with the same command id, so that the change is not "
            "made twice.\n\n"
            "  laurellift rules show >rules\n"
            "  vi rules\n"
            "  laurellift rules apply rules --base 41",
        .min_args = 1,
        .max_args = 1,
        .run = run_apply,
    },
    {
        .name = "rules show",
        .args = "[VERSION]",
        .summary = "Prints the rules in force, or those of a stored version.",
        .details = "  laurellift rules show >rules\n"
                   "  laurellift rules show 41 --json",
        .max_args = 1,
        .run = run_show,
    },
    {
        .name = "rules history",
        .args = "",
        .summary = "Lists the accepted changes: version, time, size, author.",
        .details = "  laurellift rules history",
        .run = run_history,
    },
};
const size_t cli_rules_commands_count = G_N_ELEMENTS(cli_rules_commands);
