/** @file
 * The operators' command line: options, commands, and the client of the
 * administration API. Internal to the cli package.
 */
#ifndef LAURELLIFT_CLI_CLI_H
#define LAURELLIFT_CLI_CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** Exit statuses; scripts may rely on them. */
enum {
    CLI_OK = 0,
    CLI_REFUSED = 1, /**< Refused, in conflict, or files differ. */
    CLI_USAGE = 2,
    CLI_UNREACHABLE = 3, /**< No control host answered in time. */
};

#define CLI_COMMAND_ID_HEX 32

/** What the command line says. */
typedef struct Cli {
    gboolean json;
    char **admins;    /**< IP:PORT of administration APIs. */
    char *key_file;   /**< File whose first line is the operator's key. */
    char *key;        /**< Read from it; NULL without one. */
    int timeout_s;    /**< Longest time for all tries of one call. */
    gint64 base;      /**< --base; -1 when not given. */
    char *command_id; /**< --command-id, or a new one. */
    gboolean undo;
    char **args; /**< What follows the command's words. */
    guint arg_count;
} Cli;

/** One command of the program. */
typedef struct CliCommand {
    const char *words;   /**< As in "rules apply". */
    const char *args;    /**< For the usage line. */
    const char *summary; /**< One line. */
    const char *details; /**< Examples and exit statuses. */
    guint min_args;
    guint max_args;
    int (*run)(Cli *cli);
} CliCommand;

extern const CliCommand cli_rules_commands[];
extern const size_t cli_rules_commands_count;
extern const CliCommand cli_fleet_commands[];
extern const size_t cli_fleet_commands_count;

extern const CliCommand cli_trace_commands[];
extern const size_t cli_trace_commands_count;

/* ---- client.c ---- */

/** A call of the administration API. */
typedef struct ClientCall {
    const char *method; /**< "GET", "POST" or "DELETE". */
    const char *path;
    const char *body; /**< NULL: none. */
} ClientCall;

/** Its answer. */
typedef struct ClientReply {
    int status;   /**< HTTP status; 0 when nothing answered. */
    char *text;   /**< Body. */
    json_t *json; /**< Body as JSON, or NULL. */
} ClientReply;

/** Asks one host once; follows no redirect.
 * @return false when nothing answered. */
bool Client_Once(const Cli *cli, const char *host, const ClientCall *call,
                 ClientReply *reply);

/** Asks the hosts of --admin in turn until one answers for good. A redirect
 * leads to the leader; an unavailable host and a lost answer are tried again
 * with the same command id.
 * @return false when no host gave an answer in time. */
bool Client_Call(const Cli *cli, const ClientCall *call, ClientReply *reply);

void Client_Free(ClientReply *reply);

/** Calls, and ends the failures: prints the error.
 * @return CLI_OK with @p reply to be freed, or the exit status. */
int Client_Require(const Cli *cli, const ClientCall *call, ClientReply *reply);

/** Prints JSON on standard output. */
void Cli_PrintJson(const json_t *json);

/** Text of a member, or "" where it is missing. */
const char *Cli_Text(const json_t *object, const char *key);
gint64 Cli_Number(const json_t *object, const char *key);

#endif
