/** @file
 * HTTP/1.1 parser: which messages it refuses and accepts, and where a message
 * ends.
 */
#include "unit.h"

#include <string.h>

#include "http1/parser.h"

#define HEAD_MAX 16384

/* Runs the parser until it needs more bytes, completes a message or refuses
 * it. */
static H1Step
run_parser(H1Parser *parser, struct evbuffer *in)
{
    Error err = ERROR_INIT;
    H1Step step;
    do {
        step = H1Parser_Next(parser, in, &err);
    } while (step == H1_HEAD || step == H1_BODY);
    if (step == H1_INVALID) {
        assert_int_not_equal(err.code, ERR_OK);
    }
    return step;
}

static H1Step
parse(H1Kind kind, const char *bytes, size_t length)
{
    H1Parser *parser = H1Parser_New(kind, HEAD_MAX);
    struct evbuffer *in = evbuffer_new();
    evbuffer_add(in, bytes, length);
    H1Step step = run_parser(parser, in);
    evbuffer_free(in);
    H1Parser_Free(parser);
    return step;
}

#define ASSERT_REQUEST(text, step)                                            \
    assert_int_equal(parse(H1_REQUEST, text, sizeof(text) - 1), step)
#define ASSERT_RESPONSE(text, step)                                           \
    assert_int_equal(parse(H1_RESPONSE, text, sizeof(text) - 1), step)

static void
ambiguous_requests_are_refused(void **state)
{
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                   "Content-Length: 5\r\n\r\nabcde",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                   "Content-Length: 4\r\n\r\nabcd",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\n"
                   "abcd",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 4\r\n"
                   "\r\nabcd",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\n"
                   "abcd",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.0\r\nHost: a\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                   H1_INVALID);
}

static void
malformed_heads_are_refused(void **state)
{
    ASSERT_REQUEST("GET / HTTP/1.1\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\nHost: a\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nX: a\0b\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
                   H1_INVALID);
    ASSERT_REQUEST("GET  / HTTP/1.1\r\nHost: a\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/2.0\r\nHost: a\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET /\r\nHost: a\r\n\r\n", H1_INVALID);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", H1_INVALID);
}

static void
valid_requests_are_accepted(void **state)
{
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\n\r\n", H1_DONE);
    ASSERT_REQUEST("\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", H1_DONE);
    ASSERT_REQUEST("GET / HTTP/1.0\r\n\r\n", H1_DONE);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
                   "abcd",
                   H1_DONE);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n"
                   "4;name=\"v\"\r\nabcd\r\n0\r\nTrailer: x\r\n\r\n",
                   H1_DONE);
    ASSERT_REQUEST("GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
                   "Connection: Upgrade\r\n\r\n",
                   H1_DONE);
    ASSERT_REQUEST("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
                   "ab",
                   H1_NEED_MORE);
}

static void
body_is_decoded_and_the_next_message_kept(void **state)
{
    static const char bytes[] =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    H1Parser *parser = H1Parser_New(H1_REQUEST, HEAD_MAX);
    struct evbuffer *in = evbuffer_new();
    /* Adds one byte at a time, because no result may depend on how the bytes
     * are split. */
    for (size_t i = 0; i + 1 < sizeof(bytes); i++) {
        evbuffer_add(in, bytes + i, 1);
        H1Step step = run_parser(parser, in);
        if (step == H1_DONE) {
            break;
        }
        assert_int_equal(step, H1_NEED_MORE);
    }
    assert_string_equal(H1Parser_Head(parser)->target, "/a");
    struct evbuffer *body = H1Parser_Body(parser);
    assert_int_equal(evbuffer_get_length(body), 5);
    assert_memory_equal(evbuffer_pullup(body, -1), "abcde", 5);
    evbuffer_drain(in, evbuffer_get_length(in));
    evbuffer_add(in, "GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET", 31);
    H1Parser_Reset(parser);
    assert_int_equal(run_parser(parser, in), H1_DONE);
    assert_string_equal(H1Parser_Head(parser)->target, "/b");
    assert_int_equal(evbuffer_get_length(in), 3);
    evbuffer_free(in);
    H1Parser_Free(parser);
}

static void
large_heads_are_refused(void **state)
{
    H1Parser *parser = H1Parser_New(H1_REQUEST, 64);
    struct evbuffer *in = evbuffer_new();
    evbuffer_add_printf(in, "GET / HTTP/1.1\r\nHost: a\r\nX: %064d", 1);
    Error err = ERROR_INIT;
    assert_int_equal(H1Parser_Next(parser, in, &err), H1_INVALID);
    assert_int_equal(err.code, ERR_TOO_LARGE);
    evbuffer_free(in);
    H1Parser_Free(parser);
}

static void
responses_end_as_declared(void **state)
{
    ASSERT_RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", H1_DONE);
    ASSERT_RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
                    H1_NEED_MORE);
    ASSERT_RESPONSE("HTTP/1.1 204 No Content\r\n\r\n", H1_DONE);
    ASSERT_RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "Content-Length: 3\r\n\r\nabc",
                    H1_INVALID);
    ASSERT_RESPONSE("garbage\r\n\r\n", H1_INVALID);
    ASSERT_RESPONSE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "x\r\n",
                    H1_INVALID);
}

/* A response without a length ends with its connection. A truncated response
 * with a length or chunks must not be accepted as complete. */
static void
responses_without_length_end_with_the_stream(void **state)
{
    static const struct {
        const char *bytes;
        H1Step at_end;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\n\r\nsome", H1_DONE},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", H1_INVALID},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
         H1_INVALID},
        {"HTTP/1.1 200 O", H1_NEED_MORE},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        H1Parser *parser = H1Parser_New(H1_RESPONSE, HEAD_MAX);
        struct evbuffer *in = evbuffer_new();
        evbuffer_add(in, cases[i].bytes, strlen(cases[i].bytes));
        assert_int_equal(run_parser(parser, in), H1_NEED_MORE);
        assert_int_equal(H1Parser_End(parser), cases[i].at_end);
        evbuffer_free(in);
        H1Parser_Free(parser);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ambiguous_requests_are_refused),
        cmocka_unit_test(malformed_heads_are_refused),
        cmocka_unit_test(valid_requests_are_accepted),
        cmocka_unit_test(body_is_decoded_and_the_next_message_kept),
        cmocka_unit_test(large_heads_are_refused),
        cmocka_unit_test(responses_end_as_declared),
        cmocka_unit_test(responses_without_length_end_with_the_stream),
    };
    return cmocka_run_group_tests_name("http1", tests, NULL, NULL);
}
