/** @file
 * HTTP/1.1 parser: runs http-parser one step at a time.
 */
#include "http1/parser.h"

#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "http1/strict.h"

/* Status codes outside are invalid (RFC 9110, section 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
/* Longest string whose memory is kept for the next message. */
#define KEPT_STRING_BYTES 1024

typedef enum ParserState {
    STATE_HEAD,
    STATE_BODY,
    STATE_DONE,
    STATE_INVALID,
} ParserState;

struct H1Parser {
    H1Kind kind;
    size_t max_head_bytes;
    ParserState state;
    bool no_body;
    bool complete; /* http-parser has parsed the end of the message */
    bool in_value; /* a part of the collected field's value was parsed */
    bool has_head; /* further fields are trailers, which are ignored */
    http_parser core;
    H1Head head;
    GStringChunk *strings;
    GString *target;
    GString *name;
    GString *value;
    struct evbuffer *body;
    size_t body_added; /* body bytes decoded by the current step */
};

static H1Parser *
parser_of(http_parser *core)
{
    return core->data;
}

/* Removes the whitespace after a field's value, which is not a part of it
 * (RFC 9110, section 5.5). */
static void
trim_value(GString *value)
{
    gsize length = value->len;
    while (length > 0 && strchr(" \t", value->str[length - 1]) != NULL) {
        length--;
    }
    g_string_truncate(value, length);
}

/* Adds the field whose name and value were collected to the head, unless there
 * is none. */
static void
add_field(H1Parser *parser)
{
    if (parser->name->len == 0) {
        return;
    }
    trim_value(parser->value);
    H1Field field = {
        .name = g_string_chunk_insert(parser->strings, parser->name->str),
        .value = g_string_chunk_insert(parser->strings, parser->value->str),
    };
    g_array_append_val(parser->head.fields, field);
    g_string_truncate(parser->name, 0);
    g_string_truncate(parser->value, 0);
    parser->in_value = false;
}

static int
on_url(http_parser *core, const char *at, size_t length)
{
    g_string_append_len(parser_of(core)->target, at, (gssize)length);
    return 0;
}

static int
on_field(http_parser *core, const char *at, size_t length)
{
    H1Parser *parser = parser_of(core);
    if (parser->has_head) {
        return 0;
    }
    if (parser->in_value) {
        add_field(parser);
    }
    g_string_append_len(parser->name, at, (gssize)length);
    return 0;
}

static int
on_value(http_parser *core, const char *at, size_t length)
{
    H1Parser *parser = parser_of(core);
    if (!parser->has_head) {
        parser->in_value = true;
        g_string_append_len(parser->value, at, (gssize)length);
    }
    return 0;
}

/* Returns whether a response has no body because of its status, whatever
 * length it states (RFC 9112, section 6.3). */
static bool
has_no_body(const H1Parser *parser)
{
    unsigned status = parser->core.status_code;
    return parser->kind == H1_RESPONSE &&
           (status < 200 || status == 204 || status == 304);
}

static int
on_head(http_parser *core)
{
    H1Parser *parser = parser_of(core);
    add_field(parser);
    parser->has_head = true;
    H1Head *head = &parser->head;
    if (parser->kind == H1_REQUEST) {
        head->method = http_method_str((enum http_method)core->method);
        head->target =
            g_string_chunk_insert(parser->strings, parser->target->str);
    }
    head->status = core->status_code;
    head->http10 = core->http_major == 1 && core->http_minor == 0;
    head->keep_alive = http_should_keep_alive(core) != 0;
    head->chunked = (core->flags & F_CHUNKED) != 0;
    head->has_length = (core->flags & F_CONTENTLENGTH) != 0;
    head->length = head->has_length ? core->content_length : 0;
    /* Upgrades of the protocol are not supported, so an offer must not change
     * where the message ends (RFC 9110, section 7.8). */
    core->upgrade = 0;
    return parser->no_body || has_no_body(parser) ? 1 : 0;
}

static int
on_body(http_parser *core, const char *at, size_t length)
{
    H1Parser *parser = parser_of(core);
    evbuffer_add(parser->body, at, length);
    parser->body_added += length;
    return 0;
}

static int
on_complete(http_parser *core)
{
    parser_of(core)->complete = true;
    http_parser_pause(core, 1);
    return 0;
}

/* http-parser reports trailer fields through the same callbacks as the fields
 * of the head. */
static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

H1Parser *
H1Parser_New(H1Kind kind, size_t max_head_bytes)
{
    H1Parser *parser = g_new0(H1Parser, 1);
    parser->kind = kind;
    parser->max_head_bytes = max_head_bytes;
    parser->head.fields = g_array_new(FALSE, FALSE, sizeof(H1Field));
    parser->strings = g_string_chunk_new(1024);
    parser->target = g_string_new(NULL);
    parser->name = g_string_new(NULL);
    parser->value = g_string_new(NULL);
    parser->body = evbuffer_new();
    H1Parser_Reset(parser);
    return parser;
}

void
H1Parser_Free(H1Parser *parser)
{
    g_array_unref(parser->head.fields);
    g_string_chunk_free(parser->strings);
    g_string_free(parser->target, TRUE);
    g_string_free(parser->name, TRUE);
    g_string_free(parser->value, TRUE);
    evbuffer_free(parser->body);
    g_free(parser);
}

/* Empties a string and gives back what a long one took. */
static void
clear_string(GString **string)
{
    if ((*string)->allocated_len > KEPT_STRING_BYTES) {
        g_string_free(*string, TRUE);
        *string = g_string_new(NULL);
        return;
    }
    g_string_truncate(*string, 0);
}

void
H1Parser_Reset(H1Parser *parser)
{
    http_parser_init(&parser->core, parser->kind == H1_REQUEST
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
    parser->core.data = parser;
    parser->state = STATE_HEAD;
    parser->no_body = false;
    parser->complete = false;
    parser->in_value = false;
    parser->has_head = false;
    GArray *fields = parser->head.fields;
    g_array_set_size(fields, 0);
    parser->head = (H1Head){.fields = fields};
    g_string_chunk_clear(parser->strings);
    clear_string(&parser->target);
    clear_string(&parser->name);
    clear_string(&parser->value);
    evbuffer_drain(parser->body, evbuffer_get_length(parser->body));
}

void
H1Parser_ExpectNoBody(H1Parser *parser)
{
    parser->no_body = true;
}

static H1Step
set_invalid(H1Parser *parser)
{
    parser->state = STATE_INVALID;
    return H1_INVALID;
}

/* Skips empty lines before a request line (RFC 9112, section 2.2). */
static void
skip_empty_lines(struct evbuffer *in)
{
    char start[2];
    while (evbuffer_copyout(in, start, sizeof(start)) == sizeof(start) &&
           start[0] == '\r' && start[1] == '\n')
    {
        evbuffer_drain(in, sizeof(start));
    }
}

static H1Step
parse_head(H1Parser *parser, struct evbuffer *in, Error *err)
{
    if (parser->kind == H1_REQUEST) {
        skip_empty_lines(in);
    }
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    size_t length =
        end.pos < 0 ? evbuffer_get_length(in) : (size_t)end.pos + 4;
    if (length > parser->max_head_bytes) {
        Error_Set(err, ERR_TOO_LARGE, "The head is larger than %zu bytes.",
                  parser->max_head_bytes);
        return set_invalid(parser);
    }
    if (end.pos < 0) {
        return H1_NEED_MORE;
    }
    char *raw = g_malloc(length);
    evbuffer_remove(in, raw, length);
    bool request = parser->kind == H1_REQUEST;
    if (H1Head_CheckRaw(raw, length, request, err) != ERR_OK) {
        g_free(raw);
        return set_invalid(parser);
    }
    size_t parsed =
        http_parser_execute(&parser->core, &callbacks, raw, length);
    parser->head.raw_bytes = length;
    g_free(raw);
    enum http_errno failure = HTTP_PARSER_ERRNO(&parser->core);
    if ((failure != HPE_OK && failure != HPE_PAUSED) || parsed != length) {
        Error_Set(err, ERR_INVALID, "%s.", http_errno_description(failure));
        return set_invalid(parser);
    }
    unsigned status = parser->head.status;
    if (!request && (status < STATUS_MIN || status > STATUS_MAX)) {
        Error_Set(err, ERR_INVALID, "The status %03u does not exist.", status);
        return set_invalid(parser);
    }
    parser->state = STATE_BODY;
    return H1_HEAD;
}

static H1Step
parse_body(H1Parser *parser, struct evbuffer *in, Error *err)
{
    if (parser->complete) {
        parser->state = STATE_DONE;
        return H1_DONE;
    }
    parser->body_added = 0;
    size_t contiguous = evbuffer_get_contiguous_space(in);
    if (contiguous == 0) {
        return H1_NEED_MORE;
    }
    const char *data =
        (const char *)evbuffer_pullup(in, (ev_ssize_t)contiguous);
    size_t parsed =
        http_parser_execute(&parser->core, &callbacks, data, contiguous);
    enum http_errno failure = HTTP_PARSER_ERRNO(&parser->core);
    evbuffer_drain(in, parsed);
    if (failure != HPE_OK && failure != HPE_PAUSED) {
        Error_Set(err, ERR_INVALID, "%s.", http_errno_description(failure));
        return set_invalid(parser);
    }
    return H1_BODY;
}

H1Step
H1Parser_Next(H1Parser *parser, struct evbuffer *in, Error *err)
{
    switch (parser->state) {
    case STATE_HEAD:
        return parse_head(parser, in, err);
    case STATE_BODY:
        return parse_body(parser, in, err);
    case STATE_DONE:
        return H1_DONE;
    case STATE_INVALID:
        break;
    }
    return H1_INVALID;
}

H1Step
H1Parser_End(H1Parser *parser)
{
    if (parser->state == STATE_HEAD) {
        return H1_NEED_MORE;
    }
    if (parser->state == STATE_BODY && !parser->complete) {
        http_parser_execute(&parser->core, &callbacks, NULL, 0);
    }
    if (parser->complete) {
        parser->state = STATE_DONE;
        return H1_DONE;
    }
    return set_invalid(parser);
}

bool
H1Parser_InMessage(const H1Parser *parser)
{
    return parser->state == STATE_BODY;
}

const H1Head *
H1Parser_Head(const H1Parser *parser)
{
    return &parser->head;
}

struct evbuffer *
H1Parser_Body(H1Parser *parser)
{
    return parser->body;
}

const char *
H1Head_Get(const H1Head *head, const char *name)
{
    for (guint i = 0; i < head->fields->len; i++) {
        const H1Field *field = &g_array_index(head->fields, H1Field, i);
        if (strcasecmp(field->name, name) == 0) {
            return field->value;
        }
    }
    return NULL;
}
