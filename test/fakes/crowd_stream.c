/** @file
 * What the clients of a crowd send.
 */
#include "crowd_stream.h"

#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>

#include "wire/frame.h"
#include "wire/link.h"

#define BLOCK_BYTES (16u * 1024)
/* Bytes of a head that stops, and of the repeated part of one without end. */
#define HEAD_BYTES 7000
#define FIELD_BYTES 1000
/* Bytes after which a stream without end ends, in bodies. */
#define ENDLESS_BODIES 8
#define ANNOUNCED_BYTES 1000000000ull
#define PIPELINED 8

uint64_t
Stream_Length(const Stream *stream)
{
    return stream->head->len + stream->unit->len * stream->repeat +
           stream->tail->len;
}

const char *
Stream_At(const Stream *stream, uint64_t offset, size_t *length)
{
    if (offset < stream->head->len) {
        *length = stream->head->len - offset;
        return stream->head->str + offset;
    }
    offset -= stream->head->len;
    uint64_t units = stream->unit->len * stream->repeat;
    if (offset < units) {
        size_t within = offset % stream->unit->len;
        *length = stream->unit->len - within;
        return stream->unit->str + within;
    }
    offset -= units;
    *length = stream->tail->len - offset;
    return stream->tail->str + offset;
}

/* ---- Streams ---- */

/* Prints a request's head without its framing field and its end. */
static void
print_head(const StreamRequest *request, GString *out)
{
    g_string_append_printf(out, "%s %s HTTP/1.1\r\n", request->method,
                           request->path);
    for (char **field = request->fields; field != NULL && *field != NULL;
         field++) {
        g_string_append_printf(out, "%s\r\n", *field);
    }
}

static void
fill(GString *out, size_t length)
{
    gsize before = out->len;
    g_string_set_size(out, before + length);
    memset(out->str + before, 'x', length);
}

/* A body of this length is announced; `missing` bytes of it never come. */
static void
make_length(Stream *stream, const StreamRequest *request, uint64_t length,
            size_t missing)
{
    print_head(request, stream->head);
    g_string_append_printf(stream->head, "Content-Length: %llu\r\n\r\n",
                           (unsigned long long)length);
    fill(stream->unit, BLOCK_BYTES);
    stream->repeat = (length - missing) / BLOCK_BYTES;
    fill(stream->tail, (length - missing) % BLOCK_BYTES);
}

static void
make_chunks(Stream *stream, const StreamRequest *request, size_t chunk,
            uint64_t count, bool ends)
{
    print_head(request, stream->head);
    g_string_append(stream->head, "Transfer-Encoding: chunked\r\n\r\n");
    /* Small chunks are repeated in blocks, so that a write has many. */
    uint64_t block = MAX(BLOCK_BYTES / (chunk + 6), 1);
    block = MAX(MIN(block, count), 1);
    for (uint64_t i = 0; i < block; i++) {
        g_string_append_printf(stream->unit, "%zx\r\n", chunk);
        fill(stream->unit, chunk);
        g_string_append(stream->unit, "\r\n");
    }
    stream->repeat = count / block;
    g_string_append(stream->tail, ends ? "0\r\n\r\n" : "");
}

static void
make_whole(Stream *stream, const StreamRequest *request)
{
    make_length(stream, request, (uint64_t)request->body_bytes, 0);
}

static void
make_short(Stream *stream, const StreamRequest *request)
{
    make_length(stream, request, (uint64_t)request->body_bytes, 1);
}

static void
make_announced(Stream *stream, const StreamRequest *request)
{
    make_length(stream, request, ANNOUNCED_BYTES, 1);
}

static void
make_chunks_whole(Stream *stream, const StreamRequest *request)
{
    uint64_t count = (uint64_t)request->body_bytes / (64 * 1024);
    make_chunks(stream, request, (size_t)64 * 1024, count, true);
}

static void
make_chunks_large(Stream *stream, const StreamRequest *request)
{
    uint64_t count = (uint64_t)request->body_bytes / (64 * 1024);
    make_chunks(stream, request, (size_t)64 * 1024, count - 1, false);
}

static void
make_chunks_small(Stream *stream, const StreamRequest *request)
{
    make_chunks(stream, request, 1, (uint64_t)request->body_bytes / 2, false);
}

static void
make_endless_chunks(Stream *stream, const StreamRequest *request)
{
    uint64_t bytes = (uint64_t)request->body_bytes * ENDLESS_BODIES;
    make_chunks(stream, request, (size_t)64 * 1024, bytes / (64 * 1024),
                false);
}

/* Repeats a text after `start` without end. */
static void
make_endless(Stream *stream, const StreamRequest *request, const char *start,
             const char *before, const char *after)
{
    print_head(request, stream->head);
    g_string_append(stream->head, start);
    g_string_append(stream->unit, before);
    fill(stream->unit, FIELD_BYTES);
    g_string_append(stream->unit, after);
    stream->repeat =
        (uint64_t)request->body_bytes * ENDLESS_BODIES / stream->unit->len;
}

static void
make_endless_trailer(Stream *stream, const StreamRequest *request)
{
    make_endless(stream, request,
                 "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                 "X-Part: ", "\r\n");
}

static void
make_endless_extension(Stream *stream, const StreamRequest *request)
{
    make_endless(stream, request, "Transfer-Encoding: chunked\r\n\r\n1;", "",
                 "");
}

static void
make_endless_field(Stream *stream, const StreamRequest *request)
{
    make_endless(stream, request, "X-Part: ", "", "");
}

static void
make_endless_fields(Stream *stream, const StreamRequest *request)
{
    make_endless(stream, request, "", "X-Part: ", "\r\n");
}

static void
make_head(Stream *stream, const StreamRequest *request)
{
    print_head(request, stream->head);
    g_string_append(stream->head, "X-Part: ");
    fill(stream->head, HEAD_BYTES);
}

static void
make_idle(Stream *stream, const StreamRequest *request)
{
}

/* Requests behind one another, each with a whole body. */
static void
make_pipelined(Stream *stream, const StreamRequest *request)
{
    print_head(request, stream->unit);
    g_string_append_printf(stream->unit, "Content-Length: %llu\r\n\r\n",
                           (unsigned long long)request->body_bytes);
    fill(stream->unit, (size_t)request->body_bytes);
    stream->repeat = PIPELINED;
}

/* One request without a body. */
static void
make_request(Stream *stream, const StreamRequest *request)
{
    print_head(request, stream->unit);
    g_string_append(stream->unit, "\r\n");
    stream->repeat = 1;
}

/* Requests without a body behind one another. */
static void
make_requests(Stream *stream, const StreamRequest *request)
{
    make_request(stream, request);
    stream->repeat = PIPELINED;
}

/* A body of JSON that takes a hundred times its size when it is parsed. */
static void
make_json(Stream *stream, const StreamRequest *request)
{
    print_head(request, stream->head);
    g_string_append_printf(stream->head, "Content-Length: %llu\r\n\r\n[",
                           (unsigned long long)request->body_bytes);
    g_string_append(stream->unit, "[],");
    stream->repeat = ((uint64_t)request->body_bytes - 2) / 3;
    fill(stream->tail, ((size_t)request->body_bytes - 2) % 3);
    memset(stream->tail->str, ' ', stream->tail->len);
    g_string_append_c(stream->tail, ']');
}

/* A first frame of a link between processes that stops short of its end. */
static void
make_hello(Stream *stream, const StreamRequest *request)
{
    const char header[] = {0x00, 0x00, 0x0f, (char)0xff};
    g_string_append_len(stream->head, header, sizeof(header));
    fill(stream->head, 4000);
}

/* A link that is established, and then a frame that stops short. */
static void
make_frame(Stream *stream, const StreamRequest *request)
{
    Wire__Hello hello = WIRE__HELLO__INIT;
    hello.version = LINK_PROTOCOL_VERSION;
    hello.role = WIRE__ROLE__ROLE_GATEWAY;
    hello.name = "crowd";
    hello.zone = "west-1";
    hello.region = "west";
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_HELLO;
    frame.hello = &hello;
    struct evbuffer *out = evbuffer_new();
    Frame_Write(out, &frame);
    uint32_t header = htonl((uint32_t)request->body_bytes);
    evbuffer_add(out, &header, sizeof(header));
    size_t length = evbuffer_get_length(out);
    g_string_append_len(stream->head, (char *)evbuffer_pullup(out, -1),
                        (gssize)length);
    evbuffer_free(out);
    fill(stream->unit, BLOCK_BYTES);
    stream->repeat = (uint64_t)request->body_bytes / BLOCK_BYTES - 1;
}

static const struct {
    const char *name;
    void (*make)(Stream *stream, const StreamRequest *request);
} manners[] = {
    {"whole", make_whole},
    {"short", make_short},
    {"chunks-whole", make_chunks_whole},
    {"chunks-large", make_chunks_large},
    {"chunks-small", make_chunks_small},
    {"announced", make_announced},
    {"endless-chunks", make_endless_chunks},
    {"endless-trailer", make_endless_trailer},
    {"endless-extension", make_endless_extension},
    {"endless-field", make_endless_field},
    {"endless-fields", make_endless_fields},
    {"head", make_head},
    {"idle", make_idle},
    {"pipelined", make_pipelined},
    {"request", make_request},
    {"requests", make_requests},
    {"json", make_json},
    {"hello", make_hello},
    {"frame", make_frame},
};

bool
Stream_Make(Stream *stream, const StreamRequest *request, const char *manner)
{
    *stream = (Stream){
        .head = g_string_new(NULL),
        .unit = g_string_new(NULL),
        .tail = g_string_new(NULL),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(manners); i++) {
        if (g_strcmp0(manners[i].name, manner) == 0) {
            manners[i].make(stream, request);
            return true;
        }
    }
    return false;
}
