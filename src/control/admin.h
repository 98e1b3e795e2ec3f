/** @file
 * Administration API: one call of it, and how it is answered. Internal to
 * the control package.
 */
#ifndef LAURELLIFT_CONTROL_ADMIN_H
#define LAURELLIFT_CONTROL_ADMIN_H

#include <stdbool.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "control/replies.h"
#include "control/service.h"

/** One call. It is freed by the reply, which is given exactly once. */
typedef struct AdminCall {
    Control *control;
    struct evhttp_request *request;
    const char *author; /**< Name of the operator. */
    char *name;         /**< What stood in place of `*` in the path. */
    struct evkeyvalq query;
    uint8_t command_id[COMMAND_ID_BYTES];
    void (*handle)(struct AdminCall *call);
} AdminCall;

/** One operation: method, path (with one `*` at most) and function. */
typedef struct AdminRoute {
    enum evhttp_cmd_type method;
    const char *path;
    bool leader; /**< Only a confirmed leader may answer. */
    void (*handle)(AdminCall *call);
} AdminRoute;

/** Ends the call with JSON; takes the reference. */
void Admin_Reply(AdminCall *call, int status, json_t *body);

/** Ends the call with an error.
 * @param outcome  "not_run" or "unknown". */
void Admin_Fail(AdminCall *call, int status, int code, const char *text,
                const char *outcome);

/** Ends the call with the error of a command's reply. */
void Admin_FailCommand(AdminCall *call, int code, const char *text);

/** A command that carries the call's id and author. */
Wire__Command Admin_Command(AdminCall *call, Wire__CommandKind kind);

/** Milliseconds since 1970 as ISO 8601, UTC. */
json_t *Admin_Time(uint64_t wall_ms);

extern const AdminRoute admin_rules_routes[];
extern const size_t admin_rules_routes_count;
extern const AdminRoute admin_fleet_routes[];
extern const size_t admin_fleet_routes_count;

#endif
