/** @file
 * Administration API: a call, its reply and the route tables. Internal to the
 * control package.
 */
#ifndef LAURELLIFT_CONTROL_ADMIN_H
#define LAURELLIFT_CONTROL_ADMIN_H

#include <stdbool.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "control/replies.h"
#include "control/service.h"
#include "server/http.h"

/** One call. Its handler replies exactly once, and the reply frees the call.
 */
typedef struct AdminCall {
    Control *control;
    HttpRequest *request;
    const char *author; /**< Name of the operator. */
    char *name;         /**< Part of the path that matched `*`, or NULL. */
    struct evkeyvalq query;
    uint8_t command_id[COMMAND_ID_BYTES];
    void (*handle)(struct AdminCall *call);
} AdminCall;

/** One operation: method, path pattern (with at most one `*`) and handler. */
typedef struct AdminRoute {
    const char *method;
    const char *path;
    bool leader_only; /**< Only a confirmed leader may run the operation. */
    void (*handle)(AdminCall *call);
} AdminRoute;

/** Replies with JSON and frees the call. Takes the reference to @p body. */
void Admin_Reply(AdminCall *call, int status, json_t *body);

/** Replies with an error and frees the call.
 * @param outcome  "not_run" or "unknown". */
void Admin_Fail(AdminCall *call, int status, int code, const char *text,
                const char *outcome);

/** Replies with an error of the server and frees the call. */
void Admin_Refuse(AdminCall *call, const HttpError *error);

/** Replies with the error of a command and the HTTP status that belongs to its
 * code, and frees the call. */
void Admin_FailCommand(AdminCall *call, int code, const char *text);

/** Creates a command with the id and the author of the call. */
Wire__Command Admin_Command(AdminCall *call, Wire__CommandKind kind);

/** Formats @p wall_ms (ms since 1970) as ISO 8601 in UTC, in whole seconds. */
json_t *Admin_FormatTime(uint64_t wall_ms);

extern const AdminRoute admin_rules_routes[];
extern const size_t admin_rules_routes_count;
extern const AdminRoute admin_fleet_routes[];
extern const size_t admin_fleet_routes_count;

#endif
