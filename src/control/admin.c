/** @file
 * Administration API: authentication, routing, redirects to the leader, and
 * error replies.
 */
#include "control/admin.h"

#include <string.h>

#include <sodium.h>
#include <sys/queue.h>

#include "kernel/log.h"
#include "rules/rules.h"
#include "server/http.h"

#define BEARER_PREFIX "Bearer "
#define BODY_MAX_BYTES (RULES_TEXT_MAX_BYTES + 4096)
#define HEADERS_MAX_BYTES (16 * 1024)

static void
free_call(AdminCall *call)
{
    evhttp_clear_headers(&call->query);
    g_free(call->name);
    g_free(call);
}

void
Admin_Reply(AdminCall *call, int status, json_t *body)
{
    HttpRequest_ReplyJson(call->request, status, body);
    free_call(call);
}

static void
reply_error(HttpRequest *request, int status, const char *code,
            const char *text, const char *outcome)
{
    HttpRequest_ReplyError(
        request,
        &(HttpError){
            .status = status,
            .code = code,
            .message = text,
            .outcome = outcome,
            .retry_after_ms = status == 503 ? CONTROL_RETRY_AFTER_MS : 0,
        });
}

void
Admin_Fail(AdminCall *call, int status, int code, const char *text,
           const char *outcome)
{
    reply_error(call->request, status, Error_Name(code), text, outcome);
    free_call(call);
}

void
Admin_Refuse(AdminCall *call, const HttpError *error)
{
    HttpRequest_ReplyError(call->request, error);
    free_call(call);
}

void
Admin_FailCommand(AdminCall *call, int code, const char *text)
{
    const char *outcome = code == ERR_TIMEOUT ? "unknown" : "not_run";
    int status = 503;
    switch (code) {
    case ERR_INVALID:
    case ERR_CORRUPT:
    case ERR_TOO_LARGE:
        status = 422;
        break;
    case ERR_NOT_FOUND:
        status = 404;
        break;
    case ERR_CONFLICT:
    case ERR_DUPLICATE:
        status = 409;
        break;
    case ERR_DENIED:
        status = 403;
        break;
    case ERR_TIMEOUT:
        status = 504;
        break;
    default:
        break;
    }
    Admin_Fail(call, status, code, text, outcome);
}

Wire__Command
Admin_Command(AdminCall *call, Wire__CommandKind kind)
{
    Wire__Command command = WIRE__COMMAND__INIT;
    command.command_id.data = call->command_id;
    command.command_id.len = COMMAND_ID_BYTES;
    command.kind = kind;
    command.author = (char *)call->author;
    return command;
}

json_t *
Admin_FormatTime(uint64_t wall_ms)
{
    GDateTime *time = g_date_time_new_from_unix_utc((gint64)(wall_ms / 1000));
    char *text = time == NULL ? g_strdup("")
                              : g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    json_t *out = json_string(text);
    g_free(text);
    if (time != NULL) {
        g_date_time_unref(time);
    }
    return out;
}

/* Name of the operator whose key is in the Authorization field, or NULL. The
 * key's hash is compared with every operator's hash, each in constant time. */
static const char *
find_operator(const Control *control, const char *header)
{
    if (header == NULL || !g_str_has_prefix(header, BEARER_PREFIX)) {
        return NULL;
    }
    char hex[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey(header + strlen(BEARER_PREFIX), hex);
    const SettingsControl *control_settings = control->settings->control;
    const char *found = NULL;
    for (unsigned i = 0; i < control_settings->operators_count; i++) {
        const SettingsOperator *operator= & control_settings->operators[i];
        if (strlen(operator->key_hash) == sizeof(hex) - 1 &&
            sodium_memcmp(operator->key_hash, hex, sizeof(hex) - 1) == 0)
        {
            found = operator->name;
        }
    }
    return found;
}

/* Matches a path with a pattern such as `/v1/endpoints/(star)/drain`. @p name
 * is set to the decoded path segment at the star, to be freed with free. */
static bool
path_matches(const char *pattern, const char *path, char **name)
{
    const char *star = strchr(pattern, '*');
    if (star == NULL) {
        return strcmp(pattern, path) == 0;
    }
    size_t prefix_length = (size_t)(star - pattern);
    size_t suffix_length = strlen(star + 1);
    size_t length = strlen(path);
    if (length <= prefix_length + suffix_length ||
        strncmp(pattern, path, prefix_length) != 0 ||
        strcmp(star + 1, path + length - suffix_length) != 0)
    {
        return false;
    }
    const char *segment = path + prefix_length;
    size_t segment_length = length - prefix_length - suffix_length;
    if (memchr(segment, '/', segment_length) != NULL) {
        return false;
    }
    char *encoded = g_strndup(segment, segment_length);
    *name = evhttp_uridecode(encoded, 0, NULL);
    g_free(encoded);
    return *name != NULL;
}

typedef struct RouteTable {
    const AdminRoute *routes;
    size_t count;
} RouteTable;

/* Finds the route of a request, or NULL.
 * @param known_path  set when a route has this path, with any method. */
static const AdminRoute *
find_route(HttpRequest *request, const char *path, char **name,
           bool *known_path)
{
    const RouteTable tables[] = {
        {admin_rules_routes, admin_rules_routes_count},
        {admin_fleet_routes, admin_fleet_routes_count},
    };
    const char *method = HttpRequest_Method(request);
    for (size_t t = 0; t < G_N_ELEMENTS(tables); t++) {
        for (size_t i = 0; i < tables[t].count; i++) {
            const AdminRoute *route = &tables[t].routes[i];
            char *found = NULL;
            if (!path_matches(route->path, path, &found)) {
                continue;
            }
            *known_path = true;
            if (strcmp(route->method, method) == 0) {
                *name = found;
                return route;
            }
            free(found);
        }
    }
    return NULL;
}

const SettingsControlHost *
Control_FindHost(const Control *control, uint32_t id)
{
    const Settings *settings = control->settings;
    for (unsigned i = 0; i < settings->control_hosts_count; i++) {
        if (settings->control_hosts[i].id == id) {
            return &settings->control_hosts[i];
        }
    }
    return NULL;
}

/* Redirects the caller to the leader, or replies 503 when none is known. */
static void
redirect_to_leader(AdminCall *call)
{
    ReplicaStatus status;
    Replica_GetStatus(call->control->replica, &status);
    const SettingsControlHost *host =
        status.is_leader ? NULL
                         : Control_FindHost(call->control, status.leader);
    if (host == NULL) {
        Admin_Fail(call, 503, ERR_UNAVAILABLE, "The leader is not known.",
                   "not_run");
        return;
    }
    char *location = g_strdup_printf("http://%s%s", host->admin,
                                     HttpRequest_Target(call->request));
    HttpRequest_AddField(call->request, "Location", location);
    g_free(location);
    Admin_Fail(call, 307, ERR_UNAVAILABLE,
               "Another control host is the leader.", "not_run");
}

static void
on_confirmed(void *arg, bool is_leader)
{
    AdminCall *call = arg;
    ReplicaStatus status;
    Replica_GetStatus(call->control->replica, &status);
    if (!is_leader || status.applied_index < status.commit_index) {
        Admin_Fail(call, 503, ERR_UNAVAILABLE,
                   "This host could not confirm its leadership.", "not_run");
        return;
    }
    call->handle(call);
}

static void
run_operation(AdminCall *call, const AdminRoute *route)
{
    if (!route->leader_only) {
        route->handle(call);
        return;
    }
    if (!call->control->is_leader) {
        redirect_to_leader(call);
        return;
    }
    call->handle = route->handle;
    Replica_ConfirmLeadership(call->control->replica, on_confirmed, call);
}

/* Reads the Command-Id header, or creates a random id when there is none. */
static bool
read_command_id(HttpRequest *request, uint8_t id[COMMAND_ID_BYTES])
{
    const char *hex = HttpRequest_Field(request, "Command-Id");
    if (hex == NULL) {
        randombytes_buf(id, COMMAND_ID_BYTES);
        return true;
    }
    size_t length = 0;
    const char *end = hex;
    return sodium_hex2bin(id, COMMAND_ID_BYTES, hex, strlen(hex), NULL,
                          &length, &end) == 0 &&
           *end == '\0' && length == COMMAND_ID_BYTES;
}

static void
start_call(Control *control, HttpRequest *request, const AdminRoute *route,
           const char *author, char *name)
{
    AdminCall *call = g_new0(AdminCall, 1);
    call->control = control;
    call->request = request;
    call->author = author;
    call->name = g_strdup(name);
    free(name);
    const char *query = HttpRequest_Query(request);
    TAILQ_INIT(&call->query);
    if (query != NULL) {
        evhttp_parse_query_str(query, &call->query);
    }
    if (!read_command_id(request, call->command_id)) {
        Admin_Fail(call, 400, ERR_INVALID,
                   "Command-Id must be 32 hexadecimal digits.", "not_run");
        return;
    }
    run_operation(call, route);
}

static const HttpError error_denied = {
    .status = 401,
    .code = "denied",
    .message = "The request needs the key of an operator.",
    .outcome = "not_run",
};

static const HttpError *
check_head(void *arg, const H1Head *head)
{
    const char *header = H1Head_Get(head, "Authorization");
    return find_operator(arg, header) == NULL ? &error_denied : NULL;
}

static void
on_request(HttpRequest *request, void *arg)
{
    Control *control = arg;
    const char *author =
        find_operator(control, HttpRequest_Field(request, "Authorization"));
    if (author == NULL) {
        HttpRequest_ReplyError(request, &error_denied);
        return;
    }
    const char *path = HttpRequest_Path(request);
    char *name = NULL;
    bool known_path = false;
    const AdminRoute *route =
        find_route(request, path == NULL ? "/" : path, &name, &known_path);
    if (route == NULL) {
        int status = known_path ? 405 : 404;
        reply_error(request, status, "not_found",
                    "No operation has this path and method.", "not_run");
        return;
    }
    start_call(control, request, route, author, name);
}

static const ReaderLimits limits = {
    .max_head_bytes = HEADERS_MAX_BYTES,
    .max_body_bytes = BODY_MAX_BYTES,
    .head_timeout_ms = 10000,
    .body_timeout_ms = 60000,
    .idle_timeout_ms = 60000,
};

int
Admin_Open(Control *control, const Address *address, Error *err)
{
    control->http =
        HttpServer_Listen(control->base, address, &limits, NULL, NULL, err);
    if (control->http == NULL) {
        return err->code;
    }
    HttpServer_SetCheck(control->http, check_head, control);
    HttpServer_SetHandler(control->http, NULL, on_request, control);
    return ERR_OK;
}

void
Admin_Close(Control *control)
{
    if (control->http != NULL) {
        HttpServer_Free(control->http);
        control->http = NULL;
    }
}
