/** @file
 * Types of the operators' command line, and the client of the administration
 * API. Internal to the cli package.
 */
#ifndef LAURELLIFT_CLI_CLI_H
#define LAURELLIFT_CLI_CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** Exit statuses. They are stable, since scripts may depend on them. */
enum {
    CLI_OK = 0,
    CLI_REFUSED = 1, /**< Refused or in conflict; or a file has errors, the
                         files differ, or no record was found. */
    CLI_USAGE = 2,
    CLI_UNREACHABLE = 3, /**< No control host answered in time. */
};

#define CLI_COMMAND_ID_HEX 32

/** Parsed command line. */
typedef struct Cli {
    gboolean json;
    char **admins;    /**< --admin: IP:PORT of administration APIs;
                         NULL-terminated. */
    char *key_file;   /**< File whose first line is the operator's key. */
    char *key;        /**< Operator's key; NULL if there is no key file. */
    int timeout_s;    /**< Time limit of one call, retries included. */
    gint64 base;      /**< --base: rule version; -1 if not given. */
    char *command_id; /**< --command-id, or a new random id. */
    gboolean undo;    /**< --undo of `endpoint drain`. */
    char **args;      /**< Arguments after the command's name. */
    guint arg_count;
} Cli;

/** Command of the program. */
typedef struct CliCommand {
    const char *name;    /**< One or two words, as in "rules apply". */
    const char *args;    /**< Arguments, as shown in the usage line. */
    const char *summary; /**< One line for the list of commands. */
    const char *details; /**< Help text with examples and exit statuses. */
    guint min_args;
    guint max_args;
    int (*run)(Cli *cli); /**< Returns the exit status. */
} CliCommand;

extern const CliCommand cli_rules_commands[];
extern const size_t cli_rules_commands_count;
extern const CliCommand cli_fleet_commands[];
extern const size_t cli_fleet_commands_count;

extern const CliCommand cli_trace_commands[];
extern const size_t cli_trace_commands_count;

/* ---- client.c ---- */

/** HTTP request to the administration API. */
typedef struct ClientCall {
    const char *method; /**< "GET", "POST" or "DELETE". */
    const char *path;
    const char *body; /**< NULL if there is none. */
} ClientCall;

/** Reply of the administration API. */
typedef struct ClientReply {
    int status;   /**< HTTP status; 0 if no host replied. */
    char *text;   /**< Body. */
    json_t *json; /**< Parsed body; NULL if it is not JSON. */
} ClientReply;

/** Sends the request to one host, without retries or redirects.
 * @return false if the host did not reply. */
bool Client_CallHost(const Cli *cli, const char *host, const ClientCall *call,
                     ClientReply *reply);

/** Sends the request to the hosts of --admin in turn until one of them gives a
 * final reply. Redirects to the leader are followed. If a host is unavailable
 * or its reply is lost, the request is retried with the same command id, so
 * that the command is executed once.
 * @return false if no host gave a final reply in time. */
bool Client_Call(const Cli *cli, const ClientCall *call, ClientReply *reply);

void Client_Free(ClientReply *reply);

/** Sends the request as Client_Call does and prints the error if it fails.
 * @return CLI_OK, and the caller frees @p reply; or the exit status of the
 *         error. */
int Client_CallOrPrintError(const Cli *cli, const ClientCall *call,
                            ClientReply *reply);

/** Prints JSON on standard output. */
void Cli_PrintJson(const json_t *json);

/** Returns the string member @p key, or "" if it is missing. */
const char *Cli_String(const json_t *object, const char *key);
/** Returns the integer member @p key, or 0 if it is missing. */
gint64 Cli_Integer(const json_t *object, const char *key);

#endif
