/** @file
 * Token usage of an answer: counts events and parses the tail of the body.
 */
#include "agent/usage.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#define EVENT_START "data:"
#define EVENT_START_BYTES 5
#define STREAM_END "data: [DONE]"
#define TOKENS_MAX 10000000

static void
count_events(Usage *usage, const char *data, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        if (data[i] == '\n') {
            usage->line_matched = 0;
            usage->skip_line = false;
        }
        else if (usage->skip_line) {
            continue;
        }
        else if (data[i] != EVENT_START[usage->line_matched]) {
            usage->skip_line = true;
        }
        else if (++usage->line_matched == EVENT_START_BYTES) {
            usage->events++;
            usage->skip_line = true;
        }
    }
}

static void
append_tail(Usage *usage, const char *data, size_t length)
{
    if (length >= USAGE_TAIL_BYTES) {
        memcpy(usage->tail, data + length - USAGE_TAIL_BYTES,
               USAGE_TAIL_BYTES);
        usage->tail_bytes = USAGE_TAIL_BYTES;
        return;
    }
    size_t room = USAGE_TAIL_BYTES - usage->tail_bytes;
    if (length > room) {
        /* Removes at least half of the tail, so that a series of short pieces
         * does not move it each time. */
        size_t drop = MAX(length - room, usage->tail_bytes / 2);
        usage->tail_bytes -= drop;
        memmove(usage->tail, usage->tail + drop, usage->tail_bytes);
    }
    memcpy(usage->tail + usage->tail_bytes, data, length);
    usage->tail_bytes += length;
}

void
Usage_Scan(Usage *usage, const char *data, size_t length)
{
    count_events(usage, data, length);
    append_tail(usage, data, length);
}

/* Returns the last occurrence of @p text in the tail, or NULL. */
static const char *
find_last(const Usage *usage, const char *text)
{
    return g_strrstr_len(usage->tail, (gssize)usage->tail_bytes, text);
}

static bool
read_tokens(const json_t *from, const char *name, uint32_t *tokens)
{
    const json_t *value = json_object_get(from, name);
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > TOKENS_MAX) {
        return false;
    }
    *tokens = (uint32_t)number;
    return true;
}

static json_t *
load_usage(const Usage *usage)
{
    const char *at = find_last(usage, "\"usage\"");
    const char *end = usage->tail + usage->tail_bytes;
    while (at != NULL && at < end && *at != '{') {
        at++;
    }
    if (at == NULL || at == end) {
        return NULL;
    }
    return json_loadb(at, (size_t)(end - at), JSON_DISABLE_EOF_CHECK, NULL);
}

UsageTokens
Usage_Read(const Usage *usage)
{
    uint32_t content = usage->events;
    if (content > 0 && Usage_StreamDone(usage)) {
        content--;
    }
    UsageTokens tokens = {.output = content};
    json_t *stated = load_usage(usage);
    read_tokens(stated, "completion_tokens", &tokens.output);
    const json_t *details = json_object_get(stated, "prompt_tokens_details");
    tokens.cached_stated =
        read_tokens(details, "cached_tokens", &tokens.cached);
    json_decref(stated);
    return tokens;
}

bool
Usage_StreamDone(const Usage *usage)
{
    const char *at = find_last(usage, STREAM_END);
    if (at == NULL || (at > usage->tail && at[-1] != '\n')) {
        return false;
    }
    const char *end = usage->tail + usage->tail_bytes;
    for (at += strlen(STREAM_END); at < end; at++) {
        if (!g_ascii_isspace(*at)) {
            return false;
        }
    }
    return true;
}
