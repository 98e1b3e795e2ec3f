/** @file
 * Administration API: status, members, endpoints and quarantine.
 */
#include <stdlib.h>
#include <string.h>

#include "control/admin.h"
#include "kernel/log.h"
#include "server/http.h"
#include "server/json_size.h"

#define FINGERPRINT_HEX_DIGITS 16

static json_t *
status_to_json(const Control *control)
{
    ReplicaStatus status;
    Replica_GetStatus(control->replica, &status);
    const Claims *claims = State_Claims(control->state);
    return json_pack(
        "{s:s, s:i, s:b, s:i, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:I, s:I}",
        "name", control->settings->name, "replica", (int)status.id, "leads",
        status.is_leader, "leader", (int)status.leader, "votes",
        status.is_voter, "read_only", status.read_only, "term",
        (json_int_t)status.term, "commit", (json_int_t)status.commit_index,
        "applied", (json_int_t)status.applied_index, "rules_version",
        (json_int_t)Rulebook_Version(State_Rulebook(control->state)), "claims",
        (json_int_t)Claims_Count(claims), "claims_running",
        (json_int_t)Claims_RunningCount(claims), "quarantine",
        (json_int_t)State_QuarantineCount(control->state), "entries",
        (json_int_t)Members_Count(control->members, WIRE__ROLE__ROLE_ENTRY),
        "agents",
        (json_int_t)Members_Count(control->members, WIRE__ROLE__ROLE_AGENT));
}

static void
get_status(AdminCall *call)
{
    Admin_Reply(call, 200, status_to_json(call->control));
}

static void
get_members(AdminCall *call)
{
    const Members *members = call->control->members;
    Admin_Reply(call, 200,
                json_pack("{s:I, s:o, s:o}", "version",
                          (json_int_t)Members_Version(members), "entries",
                          Members_ToJson(members, WIRE__ROLE__ROLE_ENTRY),
                          "agents",
                          Members_ToJson(members, WIRE__ROLE__ROLE_AGENT)));
}

static void
get_endpoints(AdminCall *call)
{
    Admin_Reply(call, 200,
                json_pack("{s:o}", "endpoints",
                          Members_ToJson(call->control->members,
                                         WIRE__ROLE__ROLE_AGENT)));
}

static void
on_order_reply(void *arg, const Wire__OrderReply *reply)
{
    AdminCall *call = arg;
    if (reply->code != ERR_OK) {
        Admin_FailCommand(call, reply->code, reply->text);
        return;
    }
    Admin_Reply(call, 200,
                json_pack("{s:s, s:s}", "endpoint", call->name, "answer",
                          reply->text));
}

static void
submit_order(AdminCall *call, const char *kind, const char *argument)
{
    Wire__Order order = WIRE__ORDER__INIT;
    order.command_id.data = call->command_id;
    order.command_id.len = COMMAND_ID_BYTES;
    order.subject = call->name;
    order.kind = (char *)kind;
    order.argument = (char *)argument;
    Orders_Submit(call->control, &order, call->author, on_order_reply, call);
}

static bool
is_order_kind(const char *kind)
{
    static const char *const kinds[] = {"load", "unload", "role", "drain",
                                        "undrain"};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i], kind) == 0) {
            return true;
        }
    }
    return false;
}

static void
post_order(AdminCall *call)
{
    size_t length;
    const char *text = HttpRequest_Body(call->request, &length);
    const HttpError *error = JsonSize_Check(text, length);
    if (error != NULL) {
        Admin_Refuse(call, error);
        return;
    }
    json_t *body = json_loadb(text, length, 0, NULL);
    const char *kind = NULL;
    const char *argument = "";
    if (json_unpack(body, "{s:s, s?s}", "kind", &kind, "argument",
                    &argument) != 0 ||
        !is_order_kind(kind))
    {
        Admin_Fail(call, 400, ERR_INVALID,
                   "Expected {\"kind\": load, unload, role, drain or undrain, "
                   "\"argument\": text}.",
                   "not_run");
    }
    else {
        submit_order(call, kind, argument);
    }
    json_decref(body);
}

static void
post_drain(AdminCall *call)
{
    const char *undo = evhttp_find_header(&call->query, "undo");
    bool undrain = undo != NULL && strcmp(undo, "1") == 0;
    submit_order(call, undrain ? "undrain" : "drain", "");
}

static json_t *
suspect_to_json(const Wire__QuarantineEntry *entry)
{
    char hex[FINGERPRINT_HEX_DIGITS + 1];
    g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
               entry->fingerprint);
    return json_pack("{s:s, s:i, s:s, s:s}", "fingerprint", hex, "crashes",
                     (int)entry->crashes, "state",
                     entry->quarantined ? "quarantined" : "suspect",
                     "endpoint", entry->reason);
}

static void
get_quarantine(AdminCall *call)
{
    size_t count;
    Wire__QuarantineEntry **entries =
        State_ListQuarantine(call->control->state, &count);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, suspect_to_json(entries[i]));
        g_free(entries[i]);
    }
    g_free(entries);
    Admin_Reply(call, 200, json_pack("{s:o}", "quarantine", list));
}

static void
on_lifted(void *arg, const Wire__CommandReply *reply)
{
    AdminCall *call = arg;
    if (reply->code != ERR_OK) {
        Admin_FailCommand(call, reply->code, reply->text);
        return;
    }
    Admin_Reply(call, 200, json_pack("{s:s}", "done", call->name));
}

static void
delete_quarantine(AdminCall *call)
{
    uint64_t fingerprint;
    if (strlen(call->name) != FINGERPRINT_HEX_DIGITS ||
        !g_ascii_string_to_unsigned(call->name, 16, 0, G_MAXUINT64,
                                    &fingerprint, NULL))
    {
        Admin_Fail(call, 400, ERR_INVALID,
                   "A fingerprint must be 16 hexadecimal digits.", "not_run");
        return;
    }
    Wire__Command command =
        Admin_Command(call, WIRE__COMMAND_KIND__COMMAND_QUARANTINE_LIFT);
    command.fingerprints = &fingerprint;
    command.n_fingerprints = 1;
    Commands_Submit(call->control, &command, on_lifted, call);
}

const AdminRoute admin_fleet_routes[] = {
    {"GET", "/v1/status", false, get_status},
    {"GET", "/v1/members", false, get_members},
    {"GET", "/v1/endpoints", false, get_endpoints},
    {"POST", "/v1/endpoints/*/order", true, post_order},
    {"POST", "/v1/endpoints/*/drain", true, post_drain},
    {"GET", "/v1/quarantine", true, get_quarantine},
    {"DELETE", "/v1/quarantine/*", true, delete_quarantine},
};
const size_t admin_fleet_routes_count = G_N_ELEMENTS(admin_fleet_routes);
