/** @file
 * Administration API: the rules and their history.
 */
#include <stdlib.h>
#include <string.h>

#include "control/admin.h"
#include "kernel/log.h"
#include "rules/rules.h"
#include "server/http.h"

#define REPORTED_FAULTS_MAX 20

static json_t *
change_to_json(const RulebookChange *change)
{
    return json_pack("{s:I, s:s, s:o, s:I}", "version",
                     (json_int_t)change->version, "author", change->author,
                     "time", Admin_FormatTime(change->wall_ms), "bytes",
                     (json_int_t)change->bytes);
}

static const RulebookChange *
find_change(const Rulebook *book, uint64_t version)
{
    for (size_t i = Rulebook_HistoryCount(book); i > 0; i--) {
        const RulebookChange *change = Rulebook_ChangeAt(book, i - 1);
        if (change->version == version) {
            return change;
        }
    }
    return NULL;
}

static void
reply_version(AdminCall *call, uint64_t version)
{
    const Rulebook *book = State_Rulebook(call->control->state);
    const char *text = Rulebook_FindText(book, version);
    if (version == 0 && Rulebook_Version(book) == 0) {
        text = "";
    }
    if (text == NULL) {
        Admin_Fail(call, 404, ERR_NOT_FOUND,
                   "The text of this version is not stored.", "not_run");
        return;
    }
    const RulebookChange *change = find_change(book, version);
    json_t *body = change != NULL ? change_to_json(change) : json_object();
    json_object_set_new(body, "version", json_integer((json_int_t)version));
    json_object_set_new(body, "text", json_string(text));
    Admin_Reply(call, 200, body);
}

static void
get_rules(AdminCall *call)
{
    reply_version(call,
                  Rulebook_Version(State_Rulebook(call->control->state)));
}

static bool
parse_version(const char *text, uint64_t *version)
{
    return text != NULL &&
           g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, version, NULL);
}

static void
get_version(AdminCall *call)
{
    uint64_t version;
    if (!parse_version(call->name, &version)) {
        Admin_Fail(call, 400, ERR_INVALID, "A version must be a whole number.",
                   "not_run");
        return;
    }
    reply_version(call, version);
}

static void
get_history(AdminCall *call)
{
    const Rulebook *book = State_Rulebook(call->control->state);
    json_t *changes = json_array();
    for (size_t i = 0; i < Rulebook_HistoryCount(book); i++) {
        json_array_append_new(changes,
                              change_to_json(Rulebook_ChangeAt(book, i)));
    }
    Admin_Reply(call, 200, json_pack("{s:o}", "changes", changes));
}

/* Replies 422 with the first REPORTED_FAULTS_MAX faults and returns true when
 * the text is not valid. */
static bool
reply_faults(AdminCall *call, const char *text, size_t length)
{
    RulesFault faults[REPORTED_FAULTS_MAX];
    size_t found;
    Rules *rules =
        Rules_Parse(text, length, faults, REPORTED_FAULTS_MAX, &found);
    if (rules != NULL) {
        Rules_Unref(rules);
        return false;
    }
    json_t *list = json_array();
    for (size_t i = 0; i < found && i < REPORTED_FAULTS_MAX; i++) {
        json_array_append_new(list, json_pack("{s:i, s:i, s:s}", "line",
                                              (int)faults[i].line, "column",
                                              (int)faults[i].column, "text",
                                              faults[i].text));
    }
    Admin_Reply(call, 422,
                json_pack("{s:{s:s, s:s, s:s, s:I, s:o}}", "error", "code",
                          "invalid", "message", "The rules are not valid.",
                          "outcome", "not_run", "found", (json_int_t)found,
                          "faults", list));
    return true;
}

static void
on_applied(void *arg, const Wire__CommandReply *reply)
{
    AdminCall *call = arg;
    if (reply->code != ERR_OK) {
        Admin_FailCommand(call, reply->code, reply->text);
        return;
    }
    LOG_INFO(CONTROL_PART, "Rules accepted. version=%llu author=\"%s\"",
             (unsigned long long)reply->version, call->author);
    Admin_Reply(call, 200,
                json_pack("{s:I}", "version", (json_int_t)reply->version));
}

static void
post_rules(AdminCall *call)
{
    uint64_t base;
    if (!parse_version(evhttp_find_header(&call->query, "base"), &base)) {
        Admin_Fail(
            call, 400, ERR_INVALID,
            "Expected ?base=N, the version that the change is based on.",
            "not_run");
        return;
    }
    size_t length;
    const char *text = HttpRequest_Body(call->request, &length);
    if (!reply_faults(call, text, length)) {
        Wire__Command command =
            Admin_Command(call, WIRE__COMMAND_KIND__COMMAND_APPLY_RULES);
        command.base_version = base;
        command.text = (char *)text;
        Commands_Submit(call->control, &command, on_applied, call);
    }
}

const AdminRoute admin_rules_routes[] = {
    {"GET", "/v1/rules", true, get_rules},
    {"POST", "/v1/rules", true, post_rules},
    {"GET", "/v1/rules/history", true, get_history},
    {"GET", "/v1/rules/*", true, get_version},
};
const size_t admin_rules_routes_count = G_N_ELEMENTS(admin_rules_routes);
