/** @file
 * Gateway: connections of callers. Requests are processed one at a time; the
 * reader keeps the others.
 */
#include <string.h>

#include "gateway/state.h"
#include "http1/chunk.h"
#include "kernel/buffer.h"
#include "kernel/log.h"
#include "server/handover.h"
#include "server/reader.h"
#include "wire/client_memory.h"

/* Time limit from a request's head to the end of its body. */
#define BODY_TIMEOUT_MS 20000

struct Conn {
    Gateway *gateway;
    Reader *reader;
    Call *call;
    bool close_after; /* close after the current answer */
    bool http10;
    size_t handed_bytes;   /* of the kernel's buffer, at the end of a stop */
    ReaderRefusal refusal; /* the newest by a request's head */
};

static void
get_limits(const void *owner, ReaderLimits *limits)
{
    static const RouteLimits fallback = {
        .max_head_bytes = 16384,
        .max_body_bytes = 4u * 1024 * 1024,
        .head_timeout_ms = 3000,
        .idle_timeout_ms = 15000,
    };
    const Conn *conn = owner;
    const RouteTable *table = conn->gateway->table;
    const RouteLimits *configured =
        table == NULL ? &fallback : RouteTable_Limits(table);
    size_t largest =
        ClientBudget_LargestBody(ClientBudget_Bound(ClientMemory_Budget()));
    *limits = (ReaderLimits){
        .max_head_bytes = configured->max_head_bytes,
        .max_body_bytes = MIN(configured->max_body_bytes, largest),
        .head_timeout_ms = configured->head_timeout_ms,
        .body_timeout_ms = BODY_TIMEOUT_MS,
        .idle_timeout_ms = configured->idle_timeout_ms,
    };
}

void
Conn_Free(Conn *conn)
{
    Call *call = conn->call;
    g_hash_table_remove(conn->gateway->conns, conn);
    Reader_Free(conn->reader);
    g_free(conn);
    if (call != NULL) {
        Call_OnCallerDisconnect(call);
    }
}

static const ReaderRefusal *
check_head(void *owner, const H1Head *head)
{
    static const ReaderRefusal out_of_memory = {
        .status = 503,
        .code = "out_of_memory",
        .message = "The gateway holds too much for slow callers.",
    };
    Conn *conn = owner;
    if (Held_RefusesNew(conn->gateway->held)) {
        return &out_of_memory;
    }
    const CallError *error =
        Reader_JudgesHead(head) ? Call_CheckHead(conn->gateway, head) : NULL;
    if (error == NULL) {
        return NULL;
    }
    conn->refusal = (ReaderRefusal){
        .status = error->status,
        .code = error->code,
        .message = error->message,
    };
    return &conn->refusal;
}

static void
start_call(void *owner, const H1Head *head, struct evbuffer *body)
{
    Conn *conn = owner;
    conn->http10 = head->http10;
    conn->close_after = !head->keep_alive;
    Call_Start(conn, conn->gateway, head, body);
}

static void
print_refusal(void *owner, struct evbuffer *out, const H1Head *head,
              const ReaderRefusal *refusal)
{
    const Conn *conn = owner;
    const GatewayFields *fields = conn->gateway->options->fields;
    const char *id =
        head == NULL ? NULL : H1Head_Get(head, fields->request_id);
    char *field =
        id == NULL ? NULL : g_strdup_printf("%s: %s", fields->request_id, id);
    CallError error = {
        .status = refusal->status,
        .code = refusal->code,
        .message = refusal->message,
        .retry_after_ms = refusal->retry_after_ms,
    };
    GatewayErrors_Print(out, &error, field, "not_run", true);
    GatewayErrors_Count(error.code);
    LOG_INFO(GATEWAY_PART,
             "Request refused. id=%s status=%u code=%s why=\"%s\"",
             id == NULL ? "" : id, error.status, error.code, error.message);
    g_free(field);
}

static void
on_written(void *owner)
{
    const Conn *conn = owner;
    if (conn->call != NULL) {
        Call_OnBytesWritten(conn->call);
    }
}

static void
on_closed(void *owner)
{
    Conn_Free(owner);
}

static const ReaderOps reader_ops = {
    .limits = get_limits,
    .check = check_head,
    .serve = start_call,
    .print_refusal = print_refusal,
    .written = on_written,
    .closed = on_closed,
};

Conn *
Conn_New(Gateway *gateway, evutil_socket_t fd)
{
    Conn *conn = g_new0(Conn, 1);
    conn->gateway = gateway;
    Held_LimitSocket(gateway->held, fd);
    conn->reader = Reader_New(gateway->base, fd, &reader_ops, conn);
    if (conn->reader == NULL) {
        g_free(conn);
        return NULL;
    }
    g_hash_table_add(gateway->conns, conn);
    return conn;
}

void
Conn_SetCall(Conn *conn, Call *call)
{
    conn->call = call;
}

Call *
Conn_Call(const Conn *conn)
{
    return conn->call;
}

static struct evbuffer *
output_of(const Conn *conn)
{
    return bufferevent_get_output(Reader_Stream(conn->reader));
}

void
Conn_SendHead(Conn *conn, struct evbuffer *head)
{
    Buffer_AppendPacked(output_of(conn), head);
}

void
Conn_SendBody(Conn *conn, struct evbuffer *body)
{
    if (evbuffer_get_length(body) < BUFFER_BLOCK_BYTES) {
        Buffer_AppendPacked(output_of(conn), body);
    }
    else {
        evbuffer_add_buffer(output_of(conn), body);
    }
    Held_OnUnsent(conn->gateway->held, Conn_UnsentBytes(conn));
}

void
Conn_SendPart(Conn *conn, struct evbuffer *part)
{
    if (conn->http10) {
        Buffer_AppendPacked(output_of(conn), part);
    }
    else {
        H1Chunk_Append(output_of(conn), part);
    }
    Held_OnUnsent(conn->gateway->held, Conn_UnsentBytes(conn));
}

void
Conn_EndParts(Conn *conn)
{
    if (!conn->http10) {
        H1Chunk_AppendLast(output_of(conn));
    }
}

void
Conn_Finish(Conn *conn)
{
    conn->call = NULL;
    Reader_Finish(conn->reader, Conn_WillClose(conn));
}

void
Conn_Abort(Conn *conn)
{
    conn->call = NULL;
    Conn_Free(conn);
}

bool
Conn_WillClose(const Conn *conn)
{
    return conn->close_after || conn->gateway->stopping ||
           Reader_WillClose(conn->reader);
}

bool
Conn_IsHttp10(const Conn *conn)
{
    return conn->http10;
}

size_t
Conn_UnsentBytes(const Conn *conn)
{
    return Reader_UnsentBytes(conn->reader);
}

size_t
Conn_AnswerBytes(const Conn *conn)
{
    size_t unsent = Reader_HeldBytes(conn->reader);
    size_t in_kernel = unsent > 0 ? Held_KernelBytes(conn->gateway->held) : 0;
    size_t of_call = conn->call == NULL ? 0 : Call_AnswerBytes(conn->call);
    return unsent + in_kernel + conn->handed_bytes + of_call;
}

HeldFor
Conn_Held(const Conn *conn)
{
    size_t unsent = Conn_UnsentBytes(conn);
    return (HeldFor){
        .bytes = Conn_AnswerBytes(conn) + Reader_ChargedBytes(conn->reader),
        .has_answer = unsent > 0 || (conn->call != NULL &&
                                     conn->call->state != CALL_WAITING),
        .complete = conn->call == NULL && unsent > 0,
    };
}

void
Conn_ResumeReading(Conn *conn)
{
    if (conn->call != NULL &&
        Conn_UnsentBytes(conn) <= Held_CallerPart(conn->gateway->held))
    {
        Call_OnBytesWritten(conn->call);
    }
}

void
Conn_CutOff(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CutOff(conn->call);
        return;
    }
    Conn_Free(conn);
}

void
Conn_CheckStop(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CheckStop(conn->call);
    }
}

void
Conn_EndStop(Conn *conn)
{
    if (conn->call != NULL) {
        Call_EndStop(conn->call);
    }
    /* Other sockets take what the system's bound allows already. */
    if (Held_KernelBytes(conn->gateway->held) > 0) {
        conn->handed_bytes += Handover_GrowBuffer(Reader_Stream(conn->reader));
    }
}

void
Conn_CheckBarred(Conn *conn)
{
    if (conn->call != NULL) {
        Call_CheckBarred(conn->call);
    }
}

void
Conn_Drain(Conn *conn, bool close_idle)
{
    if (close_idle) {
        Reader_CloseIfIdle(conn->reader);
    }
}
