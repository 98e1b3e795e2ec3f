/** @file
 * HTTP client of the administration API.
 */
#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "kernel/clock.h"
#include "wire/address.h"

#define ATTEMPT_TIMEOUT_S 12
#define RETRY_DELAY_US (200 * US_PER_MS)
#define SCHEME "http://"

typedef struct Exchange {
    struct event_base *base;
    ClientReply *reply;
    char *location; /* Location header of the reply, or NULL */
} Exchange;

static void
on_reply(struct evhttp_request *request, void *arg)
{
    Exchange *exchange = arg;
    event_base_loopbreak(exchange->base);
    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        return;
    }
    ClientReply *reply = exchange->reply;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    reply->status = evhttp_request_get_response_code(request);
    reply->text = g_malloc(length + 1);
    evbuffer_copyout(in, reply->text, length);
    reply->text[length] = '\0';
    reply->json = json_loadb(reply->text, length, 0, NULL);
    exchange->location = g_strdup(evhttp_find_header(
        evhttp_request_get_input_headers(request), "Location"));
}

static enum evhttp_cmd_type
request_method(const ClientCall *call)
{
    if (strcmp(call->method, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    return strcmp(call->method, "DELETE") == 0 ? EVHTTP_REQ_DELETE
                                               : EVHTTP_REQ_GET;
}

static struct evhttp_request *
make_request(const Cli *cli, const char *host, const ClientCall *call,
             Exchange *exchange)
{
    struct evhttp_request *request = evhttp_request_new(on_reply, exchange);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Command-Id", cli->command_id);
    if (cli->key != NULL) {
        char *bearer = g_strdup_printf("Bearer %s", cli->key);
        evhttp_add_header(headers, "Authorization", bearer);
        g_free(bearer);
    }
    if (call->body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
                     strlen(call->body));
    }
    return request;
}

/* Sends one request to one host. *location is the reply's Location header or
 * NULL; the caller frees it.
 * @return false if the host did not reply. */
static bool
send_request(const Cli *cli, const char *host, const ClientCall *call,
             ClientReply *reply, char **location)
{
    Address address;
    *reply = (ClientReply){.status = 0};
    if (Address_Parse(host, &address, NULL) != ERR_OK) {
        return false;
    }
    Exchange exchange = {.base = event_base_new(), .reply = reply};
    struct evhttp_connection *connection = evhttp_connection_base_new(
        exchange.base, NULL, address.host, address.port);
    evhttp_connection_set_timeout(connection, ATTEMPT_TIMEOUT_S);
    if (evhttp_make_request(connection,
                            make_request(cli, host, call, &exchange),
                            request_method(call), call->path) == 0)
    {
        event_base_dispatch(exchange.base);
    }
    evhttp_connection_free(connection);
    event_base_free(exchange.base);
    *location = exchange.location;
    return reply->status != 0;
}

bool
Client_CallHost(const Cli *cli, const char *host, const ClientCall *call,
                ClientReply *reply)
{
    char *location = NULL;
    bool replied = send_request(cli, host, call, reply, &location);
    g_free(location);
    return replied;
}

void
Client_Free(ClientReply *reply)
{
    g_free(reply->text);
    reply->text = NULL;
    json_decref(reply->json);
    reply->json = NULL;
    reply->status = 0;
}

/* Returns the host and port of a redirect's location, or NULL. The caller
 * frees it. */
static char *
location_host(const char *location)
{
    if (location == NULL || !g_str_has_prefix(location, SCHEME)) {
        return NULL;
    }
    const char *start = location + strlen(SCHEME);
    return g_strndup(start, strcspn(start, "/"));
}

static bool
is_final(int status)
{
    return status != 0 && status != 307 && status != 503 && status != 504;
}

/* Sends the request to one host. *leader is the target of a redirect, or NULL;
 * the caller frees it.
 * @return true if the reply is final. */
static bool
call_host(const Cli *cli, const char *host, const ClientCall *call,
          ClientReply *reply, char **leader)
{
    char *location = NULL;
    ClientReply answer;
    send_request(cli, host, call, &answer, &location);
    *leader = location_host(location);
    g_free(location);
    if (is_final(answer.status)) {
        *reply = answer;
        return true;
    }
    Client_Free(&answer);
    return false;
}

bool
Client_Call(const Cli *cli, const ClientCall *call, ClientReply *reply)
{
    TimeUs deadline = Clock_Now() + cli->timeout_s * US_PER_S;
    guint count = g_strv_length(cli->admins);
    guint next = 0;
    bool replied = false;
    char *host = g_strdup(cli->admins[next]);
    *reply = (ClientReply){.status = 0};
    while (!replied && Clock_Now() < deadline) {
        char *leader = NULL;
        replied = call_host(cli, host, call, reply, &leader);
        g_free(host);
        host = leader;
        if (!replied && host == NULL) {
            next = (next + 1) % count;
            host = g_strdup(cli->admins[next]);
            g_usleep(RETRY_DELAY_US);
        }
    }
    g_free(host);
    return replied;
}

static void
print_faults(const json_t *error)
{
    size_t i;
    json_t *fault;
    json_array_foreach(json_object_get(error, "faults"), i, fault)
    {
        fprintf(stderr, "%lld:%lld: %s\n",
                (long long)Cli_Integer(fault, "line"),
                (long long)Cli_Integer(fault, "column"),
                Cli_String(fault, "text"));
    }
}

static void
print_error(const Cli *cli, const ClientReply *reply)
{
    const json_t *error = json_object_get(reply->json, "error");
    if (cli->json && reply->json != NULL) {
        Cli_PrintJson(reply->json);
        return;
    }
    if (error == NULL) {
        fprintf(stderr, "laurellift: no control host replied in time; "
                        "the outcome is unknown\n");
        return;
    }
    fprintf(stderr, "laurellift: %s: %s (outcome %s)\n",
            Cli_String(error, "code"), Cli_String(error, "message"),
            Cli_String(error, "outcome"));
    print_faults(error);
}

int
Client_CallOrPrintError(const Cli *cli, const ClientCall *call,
                        ClientReply *reply)
{
    bool replied = Client_Call(cli, call, reply);
    if (replied && reply->status < 300 && reply->json != NULL) {
        return CLI_OK;
    }
    print_error(cli, reply);
    Client_Free(reply);
    return replied ? CLI_REFUSED : CLI_UNREACHABLE;
}

void
Cli_PrintJson(const json_t *json)
{
    char *text = json_dumps(json, JSON_INDENT(2) | JSON_SORT_KEYS);
    printf("%s\n", text);
    free(text);
}

const char *
Cli_String(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? "" : text;
}

gint64
Cli_Integer(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}
