/** @file
 * Commands for processes, endpoints and quarantine, and hash-key.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "rules/rules.h"

/* Prints the reply as JSON if --json is given.
 * @return whether --json is given. */
static bool
print_as_json(const Cli *cli, const ClientReply *reply)
{
    if (cli->json) {
        Cli_PrintJson(reply->json);
    }
    return cli->json;
}

static const char *
role_name(const json_t *status)
{
    if (json_is_true(json_object_get(status, "leads"))) {
        return "leader";
    }
    return json_is_true(json_object_get(status, "votes")) ? "follower"
                                                          : "learner";
}

static void
print_status(const json_t *status)
{
    printf("%s: %s, term %lld, rules %lld, claims %lld (%lld running), "
           "quarantine %lld, entries %lld, agents %lld%s\n",
           Cli_String(status, "name"), role_name(status),
           (long long)Cli_Integer(status, "term"),
           (long long)Cli_Integer(status, "rules_version"),
           (long long)Cli_Integer(status, "claims"),
           (long long)Cli_Integer(status, "claims_running"),
           (long long)Cli_Integer(status, "quarantine"),
           (long long)Cli_Integer(status, "entries"),
           (long long)Cli_Integer(status, "agents"),
           json_is_true(json_object_get(status, "read_only")) ? ", READ-ONLY"
                                                              : "");
}

static json_t *
fetch_status(const Cli *cli, const char *host, int *exit_status)
{
    const ClientCall call = {.method = "GET", .path = "/v1/status"};
    ClientReply reply;
    json_t *status = NULL;
    if (!Client_CallHost(cli, host, &call, &reply)) {
        *exit_status = CLI_UNREACHABLE;
        return json_pack("{s:s, s:b}", "admin", host, "reached", 0);
    }
    if (reply.status != 200 || reply.json == NULL) {
        *exit_status = MAX(*exit_status, CLI_REFUSED);
        status = json_pack("{s:s, s:b, s:i}", "admin", host, "reached", 1,
                           "status", reply.status);
    }
    else {
        status = json_incref(reply.json);
        json_object_set_new(status, "admin", json_string(host));
        json_object_set_new(status, "reached", json_true());
    }
    Client_Free(&reply);
    return status;
}

static void
print_host(const json_t *host)
{
    if (json_object_get(host, "term") != NULL) {
        print_status(host);
    }
    else if (json_is_true(json_object_get(host, "reached"))) {
        printf("%s: refused with status %lld\n", Cli_String(host, "admin"),
               (long long)Cli_Integer(host, "status"));
    }
    else {
        printf("%s: does not answer\n", Cli_String(host, "admin"));
    }
}

static int
run_status(Cli *cli)
{
    int exit_status = CLI_OK;
    json_t *hosts = json_array();
    for (char **host = cli->admins; *host != NULL; host++) {
        json_array_append_new(hosts, fetch_status(cli, *host, &exit_status));
    }
    if (cli->json) {
        Cli_PrintJson(hosts);
    }
    size_t i;
    json_t *host;
    json_array_foreach(hosts, i, host)
    {
        if (!cli->json) {
            print_host(host);
        }
    }
    json_decref(hosts);
    return exit_status;
}

static int
run_dump(Cli *cli)
{
    const ClientCall call = {.method = "GET", .path = "/debug/state"};
    ClientReply reply;
    if (!Client_CallHost(cli, cli->args[0], &call, &reply) ||
        reply.json == NULL) {
        fprintf(stderr, "laurellift: %s does not answer\n", cli->args[0]);
        Client_Free(&reply);
        return CLI_UNREACHABLE;
    }
    Cli_PrintJson(reply.json);
    Client_Free(&reply);
    return CLI_OK;
}

static int
run_endpoint_list(Cli *cli)
{
    const ClientCall call = {.method = "GET", .path = "/v1/endpoints"};
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, &call, &reply);
    if (status != CLI_OK) {
        return status;
    }
    size_t i;
    json_t *endpoint;
    if (!print_as_json(cli, &reply)) {
        json_array_foreach(json_object_get(reply.json, "endpoints"), i,
                           endpoint)
        {
            printf(
                "%s  %s  %s/%s  %s%s\n", Cli_String(endpoint, "name"),
                Cli_String(endpoint, "kind"), Cli_String(endpoint, "region"),
                Cli_String(endpoint, "zone"), Cli_String(endpoint, "address"),
                json_is_true(json_object_get(endpoint, "leaving"))
                    ? "  takes no work"
                    : "");
        }
    }
    Client_Free(&reply);
    return CLI_OK;
}

/* Sends a change and prints the reply as JSON, or @p done without --json. */
static int
send_change(const Cli *cli, const ClientCall *call, const char *done)
{
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, call, &reply);
    if (status != CLI_OK) {
        return status;
    }
    if (!print_as_json(cli, &reply)) {
        printf("%s\n", done);
    }
    Client_Free(&reply);
    return CLI_OK;
}

static int
run_endpoint_order(Cli *cli)
{
    char *name = g_uri_escape_string(cli->args[0], NULL, FALSE);
    char *path = g_strdup_printf("/v1/endpoints/%s/order", name);
    json_t *order = json_pack("{s:s, s:s}", "kind", cli->args[1], "argument",
                              cli->arg_count > 2 ? cli->args[2] : "");
    char *body = json_dumps(order, JSON_COMPACT);
    const ClientCall call = {.method = "POST", .path = path, .body = body};
    int status = send_change(cli, &call, "done");
    free(body);
    json_decref(order);
    g_free(path);
    g_free(name);
    return status;
}

static int
run_endpoint_drain(Cli *cli)
{
    char *name = g_uri_escape_string(cli->args[0], NULL, FALSE);
    char *path = g_strdup_printf("/v1/endpoints/%s/drain%s", name,
                                 cli->undo ? "?undo=1" : "");
    const ClientCall call = {.method = "POST", .path = path, .body = ""};
    int status = send_change(cli, &call,
                             cli->undo ? "accepts requests again"
                                       : "accepts no new requests");
    g_free(path);
    g_free(name);
    return status;
}

static int
run_quarantine_list(Cli *cli)
{
    const ClientCall call = {.method = "GET", .path = "/v1/quarantine"};
    ClientReply reply;
    int status = Client_CallOrPrintError(cli, &call, &reply);
    if (status != CLI_OK) {
        return status;
    }
    size_t i;
    json_t *entry;
    if (!print_as_json(cli, &reply)) {
        json_array_foreach(json_object_get(reply.json, "quarantine"), i, entry)
        {
            printf("%s  %s  %lld crashes  last at %s\n",
                   Cli_String(entry, "fingerprint"),
                   Cli_String(entry, "state"),
                   (long long)Cli_Integer(entry, "crashes"),
                   Cli_String(entry, "endpoint"));
        }
    }
    Client_Free(&reply);
    return CLI_OK;
}

static int
run_quarantine_lift(Cli *cli)
{
    char *fingerprint = g_uri_escape_string(cli->args[0], NULL, FALSE);
    char *path = g_strdup_printf("/v1/quarantine/%s", fingerprint);
    const ClientCall call = {.method = "DELETE", .path = path};
    int status = send_change(cli, &call, "lifted");
    g_free(path);
    g_free(fingerprint);
    return status;
}

static int
run_hash_key(Cli *cli)
{
    char hex[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey(cli->args[0], hex);
    printf("%s\n", hex);
    return CLI_OK;
}

const CliCommand cli_fleet_commands[] = {
    {
        .name = "status",
        .args = "",
        .summary = "Prints one line for each control host of --admin.",
        .details = "Exits 3 if a host does not answer.\n\n"
                   "  laurellift status --admin 10.0.0.1:7401 --admin "
                   "10.0.0.2:7401",
        .run = run_status,
    },
    {
        .name = "dump",
        .args = "HOST:PORT",
        .summary = "Prints the state of one process.",
        .details = "HOST:PORT is any HTTP address of the process; no key is "
                   "needed.\n\n  laurellift dump 10.0.0.7:8080 | jq .entry",
        .min_args = 1,
        .max_args = 1,
        .run = run_dump,
    },
    {
        .name = "endpoint list",
        .args = "",
        .summary = "Lists the endpoints whose agents are connected.",
        .details = "  laurellift endpoint list --json",
        .run = run_endpoint_list,
    },
    {
        .name = "endpoint order",
        .args = "NAME KIND [ARGUMENT]",
        .summary = "Sends an order to an endpoint: load, unload or role.",
        .details = "Orders carry a fencing number: if two operators send "
                   "orders, the later one takes effect.\n\n"
                   "  laurellift endpoint order engine-3 load draft-large\n"
                   "  laurellift endpoint order engine-3 role prefill",
        .min_args = 2,
        .max_args = 3,
        .run = run_endpoint_order,
    },
    {
        .name = "endpoint drain",
        .args = "NAME",
        .summary =
            "Lets an endpoint finish its requests and accept no new ones.",
        .details = "With --undo, it accepts requests again.\n\n"
                   "  laurellift endpoint drain engine-3\n"
                   "  laurellift endpoint drain engine-3 --undo",
        .min_args = 1,
        .max_args = 1,
        .run = run_endpoint_drain,
    },
    {
        .name = "quarantine list",
        .args = "",
        .summary = "Lists fingerprints of requests that crashed endpoints.",
        .details = "  laurellift quarantine list",
        .run = run_quarantine_list,
    },
    {
        .name = "quarantine lift",
        .args = "FINGERPRINT",
        .summary = "Removes a request from quarantine.",
        .details = "  laurellift quarantine lift 00c5f1e29a7734bd",
        .min_args = 1,
        .max_args = 1,
        .run = run_quarantine_lift,
    },
    {
        .name = "hash-key",
        .args = "KEY",
        .summary = "Prints the hash of a key, for rules and settings.",
        .details = "  laurellift hash-key \"$(head -n 1 key)\"",
        .min_args = 1,
        .max_args = 1,
        .run = run_hash_key,
    },
};
const size_t cli_fleet_commands_count = G_N_ELEMENTS(cli_fleet_commands);
