/** @file
 * Parser of HTTP/1.1 messages in a byte stream, with strict framing
 * (RFC 9112).
 *
 * The parser consumes bytes from an evbuffer and reports one step at a time.
 * Bytes after the end of a message stay in the buffer.
 */
#ifndef LAURELLIFT_HTTP1_PARSER_H
#define LAURELLIFT_HTTP1_PARSER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

#include "kernel/error.h"

typedef enum H1Kind {
    H1_REQUEST,
    H1_RESPONSE,
} H1Kind;

typedef struct H1Field {
    const char *name;
    const char *value;
} H1Field;

/** Start line and header fields of a message. The strings are valid until the
 * parser is reset or freed. */
typedef struct H1Head {
    const char *method; /**< NULL in a response. */
    const char *target; /**< Path and query; NULL in a response. */
    unsigned status;    /**< Status code; 0 in a request. */
    bool http10;
    bool keep_alive;
    bool chunked;
    bool has_length;
    uint64_t length;  /**< Content-Length; 0 unless has_length. */
    size_t raw_bytes; /**< Length as received, with the empty line. */
    GArray *fields;   /**< H1Field, in the order received. */
} H1Head;

typedef enum H1Step {
    H1_NEED_MORE, /**< The next step needs more bytes. */
    H1_HEAD,      /**< The head is complete; see H1Parser_Head. */
    H1_BODY,      /**< Part of the body was parsed; see H1Parser_Body. */
    H1_DONE,      /**< The message is complete. Call H1Parser_Reset next. */
    H1_INVALID,   /**< The message is invalid. Parsing cannot continue. */
} H1Step;

typedef struct H1Parser H1Parser;

/** @param max_head_bytes  maximum size of a head. */
H1Parser *H1Parser_New(H1Kind kind, size_t max_head_bytes);
void H1Parser_Free(H1Parser *parser);

/** Prepares the parser for the next message of the stream. */
void H1Parser_Reset(H1Parser *parser);

/** Declares that the next response has no body, as after a HEAD request. */
void H1Parser_ExpectNoBody(H1Parser *parser);

/** Consumes bytes from @p in up to the next step. For H1_INVALID, sets @p err
 * to ERR_INVALID, or to ERR_TOO_LARGE for a head that is too large. */
H1Step H1Parser_Next(H1Parser *parser, struct evbuffer *in, Error *err);

/** Handles the end of the stream.
 * @return H1_DONE when the message is complete, H1_INVALID when it is
 * truncated or was invalid, H1_NEED_MORE when no head had been parsed. */
H1Step H1Parser_End(H1Parser *parser);

/** Returns true while the head has been parsed and the message is not
 * complete. */
bool H1Parser_InMessage(const H1Parser *parser);

const H1Head *H1Parser_Head(const H1Parser *parser);

/** Returns the buffer of decoded body bytes, which the caller drains. */
struct evbuffer *H1Parser_Body(H1Parser *parser);

/** Returns the value of the first field with this name, or NULL. Ignores the
 * case of names. */
const char *H1Head_Get(const H1Head *head, const char *name);

#endif
