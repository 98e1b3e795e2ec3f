/** @file
 * Fake model engine: answers chat completions, streamed or not, at a fixed
 * speed. It ignores priorities and starts each request at once. Its options
 * inject the faults that the agent must handle.
 */
#include "fake_engine.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>

#define DEFAULT_TOKENS 8
#define BLOCK_TOKENS 128
#define BLOCKS_MAX 64
#define BYTES_PER_TOKEN 4
/* Delay before a connection is closed, in which buffered bytes are written to
 * the socket. */
#define CUT_DELAY_MS 30

/* Time to the crash for each value of --crash-when. */
#define CRASH_SILENT_MS 2000
#define CRASH_LATER_MS 1500
#define CRASH_END_MS 20

typedef struct Stream {
    Engine *engine;
    struct evhttp_request *request;
    struct event *next_timer;
    struct event *cut_timer;
    bool streamed;
    bool usage; /* send a usage event before [DONE] */
    bool crash_at_end;
    int tokens; /* tokens to send */
    int sent;   /* tokens sent */
    int bytes;  /* body bytes sent */
    int prompt_tokens;
    int cached_tokens;
    GString *text;
    char *first_word; /* first word of the answer; "word0" if NULL */
} Stream;

static void
free_stream(Stream *stream)
{
    stream->engine->running--;
    event_free(stream->next_timer);
    g_free(stream->first_word);
    event_free(stream->cut_timer);
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
schedule(struct event *event, int delay_ms)
{
    struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = (delay_ms % 1000) * 1000,
    };
    event_add(event, &delay);
}

static void
on_crash(evutil_socket_t fd, short events, void *arg)
{
    _Exit(1);
}

static void
crash_after(const Engine *engine, int ms)
{
    struct timeval delay = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_once(engine->fake.base, -1, EV_TIMEOUT, on_crash, NULL, &delay);
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
on_cut(evutil_socket_t fd, short events, void *arg)
{
    Stream *stream = arg;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(stream->request);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    Fake_Record(&stream->engine->fake, "cut after %d", stream->bytes);
    free_stream(stream);
    evhttp_connection_free(connection);
}

/* Sends a part of the body, up to cut_after bytes in all. Returns false when
 * that limit was reached and the connection will be closed. */
static bool
send_part(Stream *stream, struct evbuffer *part)
{
    int cut_after = stream->engine->cut_after;
    int length = (int)evbuffer_get_length(part);
    if (cut_after == 0 || stream->bytes + length < cut_after) {
        stream->bytes += length;
        evhttp_send_reply_chunk(stream->request, part);
        return true;
    }
    int remaining = cut_after - stream->bytes;
    struct evbuffer *head = evbuffer_new();
    evbuffer_remove_buffer(part, head, (size_t)remaining);
    stream->bytes += remaining;
    evhttp_send_reply_chunk(stream->request, head);
    evbuffer_free(head);
    schedule(stream->cut_timer, CUT_DELAY_MS);
    return false;
}

static bool
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
    bool still_open = send_part(stream, out);
    evbuffer_free(out);
    return still_open;
}

static void
add_usage(const Stream *stream, struct evbuffer *out)
{
    evbuffer_add_printf(out, "\"usage\":{\"completion_tokens\":%d",
                        stream->sent);
    if (stream->engine->cache != NULL) {
        evbuffer_add_printf(out,
                            ",\"prompt_tokens\":%d,\"prompt_tokens_details\":"
                            "{\"cached_tokens\":%d}",
                            stream->prompt_tokens, stream->cached_tokens);
    }
    evbuffer_add_printf(out, "}");
}

static void
end_stream(Stream *stream)
{
    struct evbuffer *out = evbuffer_new();
    if (stream->usage) {
        evbuffer_add_printf(out, "data: {\"choices\":[],");
        add_usage(stream, out);
        evbuffer_add_printf(out, "}\n\n");
    }
    evbuffer_add_printf(out, "data: [DONE]\n\n");
    evhttp_send_reply_chunk(stream->request, out);
    evhttp_send_reply_end(stream->request);
    evbuffer_free(out);
}

/* Sends the whole answer. Returns false when the connection will be closed
 * before the answer's end. */
static bool
send_completion(Stream *stream)
{
    struct evbuffer *out = evbuffer_new();
    evbuffer_add_printf(
        out,
        "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
        "\"message\":{\"role\":\"assistant\",\"content\":\"%s\"}}],",
        stream->text->str);
    add_usage(stream, out);
    evbuffer_add_printf(out, "}\n");
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(stream->request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    char length[16];
    g_snprintf(length, sizeof(length), "%zu", evbuffer_get_length(out));
    if (stream->engine->unframed) {
        stream->request->minor = 0;
        evhttp_add_header(headers, "Connection", "close");
    }
    else {
        evhttp_add_header(headers, "Content-Length", length);
    }
    evhttp_send_reply_start(stream->request, 200, "OK");
    bool still_open = send_part(stream, out);
    evbuffer_free(out);
    if (still_open) {
        evhttp_send_reply_end(stream->request);
    }
    return still_open;
}

static void
on_token(evutil_socket_t fd, short events, void *arg)
{
    Stream *stream = arg;
    if (stream->sent == stream->tokens) {
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(stream->request), NULL, NULL);
        bool ended = true;
        if (stream->streamed) {
            end_stream(stream);
        }
        else {
            ended = send_completion(stream);
        }
        if (stream->crash_at_end) {
            crash_after(stream->engine, CRASH_END_MS);
        }
        if (ended) {
            free_stream(stream);
        }
        return;
    }
    if (stream->streamed && !send_token(stream)) {
        return;
    }
    char word[64];
    write_word(stream, word, sizeof(word));
    g_string_append_printf(stream->text, "%s ", word);
    stream->sent++;
    if (stream->sent != stream->engine->silent_after) {
        schedule(stream->next_timer, stream->engine->token_ms);
    }
}

/* Counts the leading blocks of the prompt that are cached, then caches all of
 * them. The agent passes the block hashes in X-Laurellift-Prefix. */
static void
use_cache(Stream *stream, size_t body_length)
{
    Engine *engine = stream->engine;
    stream->prompt_tokens = (int)body_length / BYTES_PER_TOKEN;
    const char *header =
        evhttp_find_header(evhttp_request_get_input_headers(stream->request),
                           "X-Laurellift-Prefix");
    if (engine->cache == NULL || header == NULL) {
        return;
    }
    uint64_t blocks[BLOCKS_MAX];
    uint32_t count = 0;
    char **hashes = g_strsplit(header, ",", BLOCKS_MAX);
    for (; hashes[count] != NULL; count++) {
        blocks[count] = g_ascii_strtoull(hashes[count], NULL, 16);
    }
    g_strfreev(hashes);
    uint32_t cached = Cache_CountLeading(engine->cache, blocks, count);
    stream->cached_tokens = (int)cached * BLOCK_TOKENS;
    Cache_Add(engine->cache, blocks, count);
    schedule(engine->cache_timer, engine->cache_ms);
    Fake_Record(&engine->fake, "blocks %u cached %u", count, cached);
}

static int
prefill_time_ms(const Stream *stream)
{
    const Engine *engine = stream->engine;
    if (engine->prefill_tokens_s == 0) {
        return engine->prefill_ms;
    }
    int tokens = MAX(0, stream->prompt_tokens - stream->cached_tokens);
    return engine->prefill_ms + tokens * 1000 / engine->prefill_tokens_s;
}

/* Returns the first word of the first message, to be freed with g_free(), or
 * NULL when its content is not a string. */
static char *
copy_first_word(const json_t *body)
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
             const json_t *body, size_t length, bool crash_at_end)
{
    Stream *stream = g_new0(Stream, 1);
    stream->engine = engine;
    stream->crash_at_end = crash_at_end;
    stream->request = request;
    engine->running++;
    stream->streamed = json_is_true(json_object_get(body, "stream"));
    const json_t *options = json_object_get(body, "stream_options");
    stream->usage = json_is_true(json_object_get(options, "include_usage"));
    json_int_t max_tokens =
        json_integer_value(json_object_get(body, "max_tokens"));
    stream->tokens = max_tokens > 0 ? (int)max_tokens : DEFAULT_TOKENS;
    stream->text = g_string_new(NULL);
    if (engine->echo) {
        stream->first_word = copy_first_word(body);
    }
    stream->next_timer = event_new(engine->fake.base, -1, 0, on_token, stream);
    stream->cut_timer = event_new(engine->fake.base, -1, 0, on_cut, stream);
    use_cache(stream, length);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_closed, stream);
    if (engine->rate_limit != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Laurellift-Rate-Limit", engine->rate_limit);
    }
    if (stream->streamed) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Type", "text/event-stream");
        evhttp_send_reply_start(request, 200, "OK");
    }
    schedule(stream->next_timer, prefill_time_ms(stream));
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
    const char *when = engine->crash_when != NULL ? engine->crash_when : "";
    if (crash && strcmp(when, "silent") == 0) {
        crash_after(engine, CRASH_SILENT_MS);
    }
    else if (crash && strcmp(when, "later") == 0) {
        struct bufferevent *socket = evhttp_connection_get_bufferevent(
            evhttp_request_get_connection(request));
        shutdown(bufferevent_getfd(socket), SHUT_RDWR);
        crash_after(engine, CRASH_LATER_MS);
    }
    else if (crash && strcmp(when, "end") != 0) {
        _Exit(1);
    }
    else {
        start_stream(engine, request, body, length, crash);
    }
    json_decref(body);
}

static json_t *
hash_list(const GArray *blocks)
{
    json_t *list = json_array();
    for (guint i = 0; i < blocks->len; i++) {
        uint64_t block = g_array_index(blocks, uint64_t, i);
        char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x", block);
        json_array_append_new(list, json_string(name));
        g_free(name);
    }
    return list;
}

/* Reports the blocks stored and evicted since the last report. Every
 * cache_gap-th report is lost. */
static void
on_cache_timer(evutil_socket_t fd, short events, void *arg)
{
    Engine *engine = arg;
    GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    Cache_TakeChanges(engine->cache, stored, evicted);
    json_int_t sequence = ++engine->cache_sequence;
    json_t *report =
        json_pack("{s:I, s:o, s:o}", "sequence", sequence, "stored",
                  hash_list(stored), "evicted", hash_list(evicted));
    if (engine->cache_gap == 0 || sequence % engine->cache_gap != 0) {
        Fake_Post(&engine->fake, "/v1/cache", report);
    }
    else {
        json_decref(report);
    }
    g_array_free(stored, TRUE);
    g_array_free(evicted, TRUE);
}

/* Reports the number of requests that were running one period ago. */
static void
on_load_timer(evutil_socket_t fd, short events, void *arg)
{
    Engine *engine = arg;
    Fake_Post(&engine->fake, "/v1/load",
              json_pack("{s:I, s:i, s:i}", "sequence", ++engine->load_sequence,
                        "running", engine->previous_running, "queued", 0));
    engine->previous_running = engine->running;
}

static void
read_options(Engine *engine, int argc, char **argv)
{
    const GOptionEntry own[] = {
        {"model", 0, 0, G_OPTION_ARG_STRING, &engine->model,
         "Model to announce", "NAME"},
        {"token-ms", 0, 0, G_OPTION_ARG_INT, &engine->token_ms,
         "Decode time of one token", "MS"},
        {"prefill-ms", 0, 0, G_OPTION_ARG_INT, &engine->prefill_ms,
         "Fixed part of the time to the first token", "MS"},
        {"prefill-tokens-s", 0, 0, G_OPTION_ARG_INT, &engine->prefill_tokens_s,
         "Prefill speed of uncached tokens, in tokens/s", "N"},
        {"echo", 0, 0, G_OPTION_ARG_NONE, &engine->echo,
         "Start answers with the prompt's first word", NULL},
        {"crash-on", 0, 0, G_OPTION_ARG_STRING, &engine->crash_on,
         "Crash on requests with this text", "TEXT"},
        {"crash-when", 0, 0, G_OPTION_ARG_STRING, &engine->crash_when,
         "Crash at the start, later (after closing the connection), silent "
         "(after the deadline) or at the end of the answer",
         "WHEN"},
        {"rate-limit", 0, 0, G_OPTION_ARG_STRING, &engine->rate_limit,
         "Rate limit to name in answers", "REQUESTS_S"},
        {"cut-after", 0, 0, G_OPTION_ARG_INT, &engine->cut_after,
         "Close the connection after BYTES of an answer's body", "BYTES"},
        {"silent-after", 0, 0, G_OPTION_ARG_INT, &engine->silent_after,
         "Stall each answer after N tokens", "N"},
        {"unframed", 0, 0, G_OPTION_ARG_NONE, &engine->unframed,
         "End answers by closing the connection, without a length", NULL},
        {"cache-blocks", 0, 0, G_OPTION_ARG_INT, &engine->cache_blocks,
         "Size of the prefix cache in blocks", "N"},
        {"cache-ms", 0, 0, G_OPTION_ARG_INT, &engine->cache_ms,
         "Delay of cache reports", "MS"},
        {"cache-gap", 0, 0, G_OPTION_ARG_INT, &engine->cache_gap,
         "Lose every N-th cache report", "N"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &engine->load_ms,
         "Period of load reports", "MS"},
        {"order-ms", 0, 0, G_OPTION_ARG_INT, &engine->order_ms,
         "Delay of the reply to an order", "MS"},
        {"checks-fencing", 0, 0, G_OPTION_ARG_NONE, &engine->checks_fencing,
         "Refuse orders with an outdated fencing number", NULL},
        {NULL},
    };
    Fake_ReadOptions(&engine->fake, argc, argv, own);
    if (engine->model == NULL) {
        engine->model = g_strdup("draft-large");
    }
}

static void
start_reports(Engine *engine)
{
    if (engine->cache_blocks > 0) {
        engine->cache = Cache_New((uint32_t)engine->cache_blocks);
        engine->cache_timer =
            event_new(engine->fake.base, -1, 0, on_cache_timer, engine);
    }
    if (engine->load_ms > 0) {
        engine->load_timer = event_new(engine->fake.base, -1, EV_PERSIST,
                                       on_load_timer, engine);
        schedule(engine->load_timer, engine->load_ms);
    }
}

int
main(int argc, char **argv)
{
    Engine engine = {.fake = {.slots = 4}, .token_ms = 2, .prefill_ms = 5};
    read_options(&engine, argc, argv);
    Fake_Start(&engine.fake,
               json_pack("{s:s, s:[s], s:i, s:b}", "kind", "engine", "models",
                         engine.model, "slots", engine.fake.slots,
                         "checks_fencing", engine.checks_fencing));
    evhttp_set_cb(engine.fake.http, "/v1/chat/completions", on_completion,
                  &engine);
    FakeOrders_Listen(&engine);
    start_reports(&engine);
    return Fake_Run(&engine.fake);
}
