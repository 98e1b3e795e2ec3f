/** @file
 * Sends answers to callers.
 *
 * An answer is streamed in HTTP chunks. It is buffered until it is complete if
 * its claim has to be recorded first, or if the caller uses HTTP/1.0, where a
 * closed connection would mark a partial answer as complete. Bytes are
 * acknowledged to the agent only after they were written to the caller's
 * socket, so that a slow caller slows down the agent.
 */
#include "entry/state.h"

#include <string.h>

#include <event2/buffer.h>

#define ACK_INTERVAL_BYTES (64u * 1024)
#define STATUS_MIN 200
#define STATUS_MAX 599
#define STATUS_BAD_GATEWAY 502

static const char answer_too_large_body[] =
    "{\"error\": {\"code\": \"answer_too_large\", \"message\": \"The request "
    "ran; its answer is too large to be kept.\", \"outcome\": \"ran\"}}\n";

static void
send_head(Request *request)
{
    request->head_sent = true;
    HttpRequest_StartReply(request->http, request->answer_status);
}

static void
add_content_type(Request *request)
{
    if (request->answer_type[0] != '\0') {
        HttpRequest_AddField(request->http, "Content-Type",
                             request->answer_type);
    }
}

void
EntryAnswer_SendHead(Request *request, const Wire__AnswerHead *head)
{
    bool valid = head->status >= STATUS_MIN && head->status <= STATUS_MAX;
    request->answer_status = valid ? head->status : STATUS_BAD_GATEWAY;
    request->answer_type = g_strdup(head->content_type);
    request->hash = XXH3_createState();
    XXH3_64bits_reset(request->hash);
    request->buffers_answer =
        request->idempotency_key != NULL ||
        (request->http != NULL && HttpRequest_IsHttp10(request->http));
    if (request->buffers_answer) {
        request->answer_buffer = g_byte_array_new();
        return;
    }
    if (request->http != NULL) {
        add_content_type(request);
        send_head(request);
    }
}

/* Returns the number of bytes that are not yet written to the caller's
 * socket. */
static uint64_t
unsent_bytes(const Request *request)
{
    if (request->http == NULL || request->buffers_answer) {
        return 0;
    }
    return HttpRequest_UnsentBytes(request->http);
}

/* Returns the offset up to which bytes are written to the caller's socket, or
 * buffered. */
static uint64_t
sent_offset(const Request *request)
{
    uint64_t unsent = unsent_bytes(request);
    uint64_t received = request->life.received_bytes;
    return unsent < received ? received - unsent : 0;
}

static void
update_ack(Request *request)
{
    uint64_t offset = sent_offset(request);
    if (offset >= request->acked_bytes + ACK_INTERVAL_BYTES) {
        EntrySend_Ack(request, offset);
    }
    if (!request->ack_due &&
        request->life.received_bytes > request->acked_bytes) {
        request->ack_due = true;
        g_ptr_array_add(request->entry->ack_due, request);
    }
}

void
EntryAnswer_SendAcks(Entry *entry)
{
    GPtrArray *due = entry->ack_due;
    guint remaining = 0;
    for (guint i = 0; i < due->len; i++) {
        Request *request = g_ptr_array_index(due, i);
        uint64_t offset = sent_offset(request);
        if (offset > request->acked_bytes) {
            EntrySend_Ack(request, offset);
        }
        request->ack_due = request->life.received_bytes > request->acked_bytes;
        if (request->ack_due) {
            due->pdata[remaining++] = request;
        }
    }
    g_ptr_array_set_size(due, (gint)remaining);
}

/* Buffers a piece. An answer above ENTRY_BUFFERED_ANSWER_MAX_BYTES is replaced
 * by an error. */
static void
buffer_piece(Request *request, const uint8_t *data, size_t size)
{
    if (request->answer_overflow) {
        return;
    }
    if (request->answer_buffer->len + size <= ENTRY_BUFFERED_ANSWER_MAX_BYTES)
    {
        g_byte_array_append(request->answer_buffer, data, (guint)size);
        return;
    }
    request->answer_overflow = true;
    request->answer_status = STATUS_BAD_GATEWAY;
    g_free(request->answer_type);
    request->answer_type = g_strdup("application/json");
    g_byte_array_set_size(request->answer_buffer, 0);
    g_byte_array_append(request->answer_buffer,
                        (const guint8 *)answer_too_large_body,
                        strlen(answer_too_large_body));
}

void
EntryAnswer_SendPiece(Request *request, const Wire__AnswerPiece *piece,
                      size_t skip)
{
    const uint8_t *data = piece->data.data + skip;
    size_t size = piece->data.len - skip;
    XXH3_64bits_update(request->hash, data, size);
    request->piece_count++;
    if (request->buffers_answer) {
        buffer_piece(request, data, size);
    }
    else if (request->http != NULL) {
        struct evbuffer *out = evbuffer_new();
        evbuffer_add(out, data, size);
        HttpRequest_SendPart(request->http, out);
        evbuffer_free(out);
    }
    update_ack(request);
}

static void
send_complete(Request *request, uint32_t status, const void *body, size_t size)
{
    HttpRequest *http = request->http;
    EntryCaller_Detach(request);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, body, size);
    HttpRequest_Reply(http, status, out);
    evbuffer_free(out);
}

void
EntryAnswer_Finish(Request *request, bool recorded)
{
    if (request->http == NULL) {
        return;
    }
    if (request->buffers_answer) {
        add_content_type(request);
        if (!recorded) {
            HttpRequest_AddField(request->http, "X-Laurellift-Recorded",
                                 "false");
        }
        send_complete(request, request->answer_status,
                      request->answer_buffer->data,
                      request->answer_buffer->len);
        return;
    }
    HttpRequest *http = request->http;
    EntryCaller_Detach(request);
    HttpRequest_EndReply(http);
}

void
EntryAnswer_SendStored(Request *request, const Wire__CommandReply *reply)
{
    if (request->http == NULL) {
        return;
    }
    HttpRequest_AddField(request->http, "Content-Type", reply->content_type);
    HttpRequest_AddField(request->http, "X-Laurellift-Replayed", "true");
    send_complete(request, reply->status, reply->answer.data,
                  reply->answer.len);
}

void
EntryAnswer_Fail(Request *request, const HttpError *error)
{
    HttpRequest *http = request->http;
    if (http == NULL) {
        return;
    }
    EntryCaller_Detach(request);
    if (!request->head_sent) {
        HttpRequest_ReplyError(http, error);
        return;
    }
    /* Closing the connection without a final chunk marks the answer as
     * incomplete. */
    HttpRequest_Abort(http);
}
