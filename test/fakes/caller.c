/** @file
 * HTTP requests of the load generator. Each request carries a tag; the answer
 * is checked for completeness and for that tag.
 */
#include "caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>

static const char *const kind_names[] = {
    [CALL_DRAFT] = "draft",
    [CALL_LOOKUP] = "lookup",
    [CALL_FILING] = "filing",
};

const char *
Caller_KindName(CallKind kind)
{
    return kind_names[kind];
}

int64_t
Caller_Now(void)
{
    return g_get_monotonic_time();
}

/* Writes the tag of an attempt. check_records reports each tag that ran twice:
 * every attempt of a draft or lookup has its own tag, while all attempts of a
 * filing share one, since a filing must not run again. */
static void
write_tag(const Call *call, char *tag, size_t size)
{
    if (call->kind == CALL_FILING) {
        g_snprintf(tag, size, "tag-%u", call->number);
        return;
    }
    g_snprintf(tag, size, "tag-%u-%u", call->number, call->attempt);
}

/* A complete answer contains the tag; that of a draft also ends with the
 * [DONE] event. */
static bool
is_complete(const Call *call)
{
    char tag[48];
    write_tag(call, tag, sizeof(tag));
    if (strstr(call->answer->str, tag) == NULL) {
        return false;
    }
    return call->kind != CALL_DRAFT ||
           g_str_has_suffix(call->answer->str, "data: [DONE]\n\n");
}

static const char *
outcome_name(const char *text)
{
    static const char *const names[] = {"ran", "not_run", "unknown"};
    for (size_t i = 0; text != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            return names[i];
        }
    }
    return "broken";
}

static CallOutcome
read_outcome(const Call *call, struct evhttp_request *request)
{
    CallOutcome outcome = {.outcome = "broken", .retry_after_s = -1};
    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        return outcome;
    }
    outcome.status = evhttp_request_get_response_code(request);
    const char *retry = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Retry-After");
    if (retry != NULL) {
        outcome.retry_after_s = atoi(retry);
    }
    if (outcome.status == 200) {
        outcome.outcome = "ran";
        outcome.complete = is_complete(call);
        return outcome;
    }
    json_t *json = json_loads(call->answer->str, 0, NULL);
    const json_t *error = json_object_get(json, "error");
    outcome.outcome =
        outcome_name(json_string_value(json_object_get(error, "outcome")));
    json_decref(json);
    return outcome;
}

static void
record_attempt(const Caller *caller, const Call *call,
               const CallOutcome *outcome)
{
    FILE *file = caller->record == NULL ? NULL : fopen(caller->record, "ae");
    if (file == NULL) {
        return;
    }
    char tag[48];
    write_tag(call, tag, sizeof(tag));
    fprintf(file,
            "{\"tag\":\"%s\",\"kind\":\"%s\",\"tier\":%u,\"attempt\":%u,"
            "\"status\":%d,\"outcome\":\"%s\",\"whole\":%s,"
            "\"retry_after_s\":%d,\"ms\":%.1f}\n",
            tag, kind_names[call->kind], call->tier, call->attempt,
            outcome->status, outcome->outcome,
            outcome->complete ? "true" : "false", outcome->retry_after_s,
            (double)(Caller_Now() - call->sent_us) / 1000);
    fclose(file);
}

static void
append_answer(Call *call, struct evhttp_request *request)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    if (length == 0) {
        return;
    }
    if (call->first_piece_us == 0) {
        call->first_piece_us = Caller_Now();
    }
    g_string_append_len(call->answer, (char *)evbuffer_pullup(in, -1),
                        (gssize)length);
    evbuffer_drain(in, length);
}

static void
on_chunk(struct evhttp_request *request, void *arg)
{
    append_answer(arg, request);
}

static void
on_done(struct evhttp_request *request, void *arg)
{
    Call *call = arg;
    Caller *caller = call->caller;
    if (request != NULL) {
        append_answer(call, request);
    }
    CallOutcome outcome = read_outcome(call, request);
    record_attempt(caller, call, &outcome);
    if (caller->on_outcome(caller, call, &outcome)) {
        return;
    }
    g_string_free(call->answer, TRUE);
    g_free(call);
}

static void
add_headers(const Caller *caller, const Call *call, struct evkeyvalq *headers)
{
    char text[64];
    evhttp_add_header(headers, "Host", "entry");
    evhttp_add_header(headers, "Connection", "close");
    char *bearer = g_strdup_printf("Bearer %s", caller->key);
    evhttp_add_header(headers, "Authorization", bearer);
    g_free(bearer);
    g_snprintf(text, sizeof(text), "%u", call->tier);
    evhttp_add_header(headers, "X-Laurellift-Tier", text);
    g_snprintf(text, sizeof(text), "%d", caller->deadline_ms);
    evhttp_add_header(headers, "X-Laurellift-Deadline-Ms", text);
    if (call->kind == CALL_FILING) {
        g_snprintf(text, sizeof(text), "filing-%u", call->number);
        evhttp_add_header(headers, "Idempotency-Key", text);
    }
}

static void
write_draft(const Call *call, const char *tag, struct evbuffer *body)
{
    char *padding = g_strnfill(call->prompt_bytes, 'x');
    evbuffer_add_printf(body,
                        "{\"model\":\"draft-large\",\"stream\":true,"
                        "\"max_tokens\":%u,\"messages\":[{\"role\":\"user\","
                        "\"content\":\"%s %s\"}]}",
                        call->tokens, tag, padding);
    g_free(padding);
}

void
Caller_Send(Caller *caller, Call *call)
{
    call->caller = caller;
    call->attempt++;
    call->sent_us = Caller_Now();
    call->first_piece_us = 0;
    if (call->answer == NULL) {
        call->answer = g_string_new(NULL);
    }
    g_string_truncate(call->answer, 0);
    guint index = (call->number + call->attempt) % caller->entries->len;
    const Address *entry = g_ptr_array_index(caller->entries, index);
    struct evhttp_connection *connection = evhttp_connection_base_new(
        caller->base, NULL, entry->host, entry->port);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request *request = evhttp_request_new(on_done, call);
    evhttp_request_set_chunked_cb(request, on_chunk);
    add_headers(caller, call, evhttp_request_get_output_headers(request));
    struct evbuffer *body = evhttp_request_get_output_buffer(request);
    char tag[48];
    write_tag(call, tag, sizeof(tag));
    if (call->kind == CALL_DRAFT) {
        write_draft(call, tag, body);
        evhttp_make_request(connection, request, EVHTTP_REQ_POST,
                            "/v1/chat/completions");
    }
    else if (call->kind == CALL_FILING) {
        evbuffer_add_printf(body, "%s", tag);
        evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/orders");
    }
    else {
        char *path = g_strdup_printf("/orders/%s", tag);
        evhttp_make_request(connection, request, EVHTTP_REQ_GET, path);
        g_free(path);
    }
}
