/** @file
 * Fake model engine: chat completions, streamed or whole, at a set speed.
 * It knows no priorities and runs what it is given at once.
 */
#include "fake.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#define DEFAULT_TOKENS 8

typedef struct Engine {
    Fake fake;
    gchar *model;
    gint token_ms;   /* decode time of one token */
    gint prefill_ms; /* time to the first token */
    gboolean echo;   /* the first word is the prompt's first word */
    gchar *crash_on; /* a prompt that holds this text kills the engine */
} Engine;

typedef struct Stream {
    Engine *engine;
    struct evhttp_request *request;
    struct event *next;
    bool streamed;
    int tokens;
    int sent;
    GString *text;
    char *first_word; /* NULL: word0 */
} Stream;

static void
free_stream(Stream *stream)
{
    event_free(stream->next);
    g_free(stream->first_word);
    g_string_free(stream->text, TRUE);
    g_free(stream);
}

static void
on_closed(struct evhttp_connection *connection, void *arg)
{
    Stream *stream = arg;
    Fake_Record(&stream->engine->fake, "cancelled after %d", stream->sent);
    free_stream(stream);
}

static void
schedule(Stream *stream, int delay_ms)
{
    struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = (delay_ms % 1000) * 1000,
    };
    event_add(stream->next, &delay);
}

static void
write_word(const Stream *stream, char *word, size_t size)
{
    if (stream->sent == 0 && stream->first_word != NULL) {
        g_strlcpy(word, stream->first_word, size);
        return;
    }
    g_snprintf(word, size, "word%d", stream->sent);
}

static void
send_token(Stream *stream)
{
    struct evbuffer *out = evbuffer_new();
    char word[64];
    write_word(stream, word, sizeof(word));
    evbuffer_add_printf(
        out,
        "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{"
        "\"index\":0,\"delta\":{\"content\":\"%s \"}}]}\n\n",
        word);
    evhttp_send_reply_chunk(stream->request, out);
    evbuffer_free(out);
}

static void
end_stream(Stream *stream)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(stream->request);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    struct evbuffer *out = evbuffer_new();
    if (stream->streamed) {
        evbuffer_add_printf(out, "data: [DONE]\n\n");
        evhttp_send_reply_chunk(stream->request, out);
        evhttp_send_reply_end(stream->request);
    }
    else {
        evbuffer_add_printf(
            out,
            "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
            "\"message\":{\"role\":\"assistant\",\"content\":\"%s\"}}],"
            "\"usage\":{\"completion_tokens\":%d}}\n",
            stream->text->str, stream->sent);
        evhttp_add_header(evhttp_request_get_output_headers(stream->request),
                          "Content-Type", "application/json");
        evhttp_send_reply(stream->request, 200, "OK", out);
    }
    evbuffer_free(out);
    free_stream(stream);
}

static void
on_token(evutil_socket_t fd, short events, void *arg)
{
    Stream *stream = arg;
    if (stream->sent == stream->tokens) {
        end_stream(stream);
        return;
    }
    if (stream->streamed) {
        send_token(stream);
    }
    char word[64];
    write_word(stream, word, sizeof(word));
    g_string_append_printf(stream->text, "%s ", word);
    stream->sent++;
    schedule(stream, stream->engine->token_ms);
}

/* First word of the first message's content; free with g_free. */
static char *
first_word_of(const json_t *body)
{
    const json_t *messages = json_object_get(body, "messages");
    const json_t *content =
        json_object_get(json_array_get(messages, 0), "content");
    const char *text = json_string_value(content);
    if (text == NULL) {
        return NULL;
    }
    return g_strndup(text, strcspn(text, " \n"));
}

static void
start_stream(Engine *engine, struct evhttp_request *request,
             const json_t *body)
{
    Stream *stream = g_new0(Stream, 1);
    stream->engine = engine;
    stream->request = request;
    stream->streamed = json_is_true(json_object_get(body, "stream"));
    json_int_t most = json_integer_value(json_object_get(body, "max_tokens"));
    stream->tokens = most > 0 ? (int)most : DEFAULT_TOKENS;
    stream->text = g_string_new(NULL);
    if (engine->echo) {
        stream->first_word = first_word_of(body);
    }
    stream->next = event_new(engine->fake.base, -1, 0, on_token, stream);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_closed, stream);
    if (stream->streamed) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Type", "text/event-stream");
        evhttp_send_reply_start(request, 200, "OK");
    }
    schedule(stream, engine->prefill_ms);
}

static void
on_completion(struct evhttp_request *request, void *arg)
{
    Engine *engine = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(in);
    const char *text = (const char *)evbuffer_pullup(in, -1);
    json_t *body = json_loadb(text, length, 0, NULL);
    if (body == NULL) {
        evhttp_send_reply(request, 400, "Bad Request", NULL);
        return;
    }
    char *line = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    Fake_Record(&engine->fake, "ran %s", line);
    bool crash =
        engine->crash_on != NULL && strstr(line, engine->crash_on) != NULL;
    free(line);
    if (crash) {
        _Exit(1);
    }
    start_stream(engine, request, body);
    json_decref(body);
}

int
main(int argc, char **argv)
{
    Engine engine = {.fake = {.slots = 4}, .token_ms = 2, .prefill_ms = 5};
    const GOptionEntry own[] = {
        {"model", 0, 0, G_OPTION_ARG_STRING, &engine.model, "Model", "NAME"},
        {"token-ms", 0, 0, G_OPTION_ARG_INT, &engine.token_ms,
         "Time of one token", "MS"},
        {"prefill-ms", 0, 0, G_OPTION_ARG_INT, &engine.prefill_ms,
         "Time to the first token", "MS"},
        {"echo", 0, 0, G_OPTION_ARG_NONE, &engine.echo,
         "The first word is the prompt's first word", NULL},
        {"crash-on", 0, 0, G_OPTION_ARG_STRING, &engine.crash_on,
         "Crash on prompts with this text", "TEXT"},
        {NULL},
    };
    Fake_ReadOptions(&engine.fake, argc, argv, own);
    if (engine.model == NULL) {
        engine.model = g_strdup("draft-large");
    }
    Fake_Start(&engine.fake,
               json_pack("{s:s, s:[s], s:i}", "kind", "engine", "models",
                         engine.model, "slots", engine.fake.slots));
    evhttp_set_cb(engine.fake.http, "/v1/chat/completions", on_completion,
                  &engine);
    return Fake_Run(&engine.fake);
}
