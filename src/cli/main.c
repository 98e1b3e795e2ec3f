/** @file
 * laurellift: entry point, usage text and options of the operators' command
 * line.
 */
#include <locale.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cli/cli.h"

#define DEFAULT_TIMEOUT_S 20
#define WORDS_MAX 2
#define ENV_ADMIN "LAURELLIFT_ADMIN"
#define ENV_KEY_FILE "LAURELLIFT_KEY_FILE"

typedef struct CommandTable {
    const CliCommand *commands;
    size_t count;
} CommandTable;

static CommandTable
command_table(size_t index)
{
    const CommandTable tables[] = {
        {cli_rules_commands, cli_rules_commands_count},
        {cli_fleet_commands, cli_fleet_commands_count},
        {cli_trace_commands, cli_trace_commands_count},
    };
    return index < G_N_ELEMENTS(tables) ? tables[index]
                                        : (CommandTable){.count = 0};
}

static void
print_usage(FILE *out)
{
    fprintf(out, "Usage: laurellift COMMAND [OPTION...] [ARGUMENT...]\n\n"
                 "Commands:\n");
    for (size_t t = 0; command_table(t).count > 0; t++) {
        for (size_t i = 0; i < command_table(t).count; i++) {
            const CliCommand *command = &command_table(t).commands[i];
            fprintf(out, "  %-17s %s\n", command->name, command->summary);
        }
    }
    fprintf(
        out,
        "\n`laurellift COMMAND --help` shows options and examples.\n\n"
        "Exit status: 0 success, 1 refused or in conflict, 2 invalid usage,\n"
        "3 no control host replied in time (the outcome is unknown).\n\n"
        "Environment: " ENV_ADMIN
        " (addresses separated by commas) and\n" ENV_KEY_FILE
        " are the defaults of --admin and --key-file.\n");
}

/* Returns the number of words in the command's name if the arguments start
 * with them, otherwise 0. */
static int
match_words(const CliCommand *command, int argc, char **argv)
{
    char **words = g_strsplit(command->name, " ", WORDS_MAX);
    int count = (int)g_strv_length(words);
    bool matches = argc > count;
    for (int i = 0; matches && i < count; i++) {
        matches = strcmp(words[i], argv[i + 1]) == 0;
    }
    g_strfreev(words);
    return matches ? count : 0;
}

static const CliCommand *
find_command(int argc, char **argv, int *words)
{
    for (size_t t = 0; command_table(t).count > 0; t++) {
        for (size_t i = 0; i < command_table(t).count; i++) {
            const CliCommand *command = &command_table(t).commands[i];
            *words = match_words(command, argc, argv);
            if (*words > 0) {
                return command;
            }
        }
    }
    return NULL;
}

static GOptionContext *
make_context(Cli *cli, const CliCommand *command)
{
    const GOptionEntry entries[] = {
        {"admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &cli->admins,
         "Administration API of a control host; may be repeated", "IP:PORT"},
        {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &cli->key_file,
         "File whose first line is the operator's key", "FILE"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &cli->json, "Print JSON", NULL},
        {"timeout", 't', 0, G_OPTION_ARG_INT, &cli->timeout_s,
         "Time limit of one call, retries included (default: 20)", "SECONDS"},
        {"base", 0, 0, G_OPTION_ARG_INT64, &cli->base,
         "rules apply: version that the file is based on", "N"},
        {"command-id", 0, 0, G_OPTION_ARG_STRING, &cli->command_id,
         "Id of an earlier command whose reply was lost", "HEX"},
        {"undo", 0, 0, G_OPTION_ARG_NONE, &cli->undo,
         "endpoint drain: accept requests again", NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli->args, NULL,
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    char *usage = g_strdup_printf("%s %s", command->name, command->args);
    GOptionContext *context = g_option_context_new(usage);
    g_option_context_set_summary(context, command->summary);
    g_option_context_set_description(context, command->details);
    g_option_context_add_main_entries(context, entries, NULL);
    g_free(usage);
    return context;
}

static bool
parse(Cli *cli, const CliCommand *command, int argc, char **argv)
{
    GOptionContext *context = make_context(cli, command);
    GError *error = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed) {
        fprintf(stderr, "laurellift: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    cli->arg_count = cli->args == NULL ? 0 : g_strv_length(cli->args);
    if (cli->arg_count < command->min_args ||
        cli->arg_count > command->max_args) {
        fprintf(stderr, "laurellift: expected: laurellift %s %s\n",
                command->name, command->args);
        return false;
    }
    return true;
}

static bool
read_key(Cli *cli)
{
    if (cli->key_file == NULL) {
        cli->key_file = g_strdup(g_getenv(ENV_KEY_FILE));
    }
    if (cli->key_file == NULL) {
        return true;
    }
    GError *error = NULL;
    if (!g_file_get_contents(cli->key_file, &cli->key, NULL, &error)) {
        fprintf(stderr, "laurellift: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    cli->key[strcspn(cli->key, "\r\n")] = '\0';
    return true;
}

static bool
read_command_id(Cli *cli)
{
    if (cli->command_id == NULL) {
        uint8_t id[CLI_COMMAND_ID_HEX / 2];
        randombytes_buf(id, sizeof(id));
        cli->command_id = g_malloc(CLI_COMMAND_ID_HEX + 1);
        sodium_bin2hex(cli->command_id, CLI_COMMAND_ID_HEX + 1, id,
                       sizeof(id));
    }
    if (strlen(cli->command_id) == CLI_COMMAND_ID_HEX &&
        strspn(cli->command_id, "0123456789abcdefABCDEF") ==
            CLI_COMMAND_ID_HEX)
    {
        return true;
    }
    fprintf(stderr,
            "laurellift: --command-id must be 32 hexadecimal digits\n");
    return false;
}

static void
fill_admins(Cli *cli)
{
    const char *hosts = g_getenv(ENV_ADMIN);
    if (cli->admins == NULL) {
        cli->admins =
            g_strsplit(hosts == NULL ? "127.0.0.1:7401" : hosts, ",", -1);
    }
}

static void
free_cli(Cli *cli)
{
    g_strfreev(cli->admins);
    g_strfreev(cli->args);
    g_free(cli->key_file);
    g_free(cli->key);
    g_free(cli->command_id);
}

static int
run(const CliCommand *command, int words, int argc, char **argv)
{
    Cli cli = {.timeout_s = DEFAULT_TIMEOUT_S, .base = -1};
    argv[words] = argv[0];
    int status = CLI_USAGE;
    if (parse(&cli, command, argc - words, argv + words) && read_key(&cli) &&
        read_command_id(&cli))
    {
        fill_admins(&cli);
        status = command->run(&cli);
    }
    free_cli(&cli);
    return status;
}

int
main(int argc, char **argv)
{
    setlocale(LC_ALL, "");
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    if (argc == 2 &&
        (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0))
    {
        print_usage(stdout);
        return CLI_OK;
    }
    int words = 0;
    const CliCommand *command = find_command(argc, argv, &words);
    if (command == NULL) {
        print_usage(stderr);
        return CLI_USAGE;
    }
    return run(command, words, argc, argv);
}
