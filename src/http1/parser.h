/** @file
 * HTTP/1.1 messages out of a byte stream, framed strictly (RFC 9112).
 *
 * The parser pulls from an evbuffer and reports one step at a time; it never
 * reads past the end of a message, so what follows stays in the buffer.
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

/** A decoded head. Strings live until the parser is reset or freed. */
typedef struct H1Head {
    const char *method; /**< Request. */
    const char *target; /**< Request: path and query. */
    unsigned status;    /**< Response. */
    bool http10;
    bool keep_alive;
    bool chunked;
    bool has_length;
    uint64_t length; /**< When has_length. */
    GArray *fields;  /**< H1Field, in the order received. */
} H1Head;

typedef enum H1Step {
    H1_NEED_MORE, /**< Needs more bytes. */
    H1_HEAD,      /**< The head is complete; see H1Parser_Head. */
    H1_BODY,      /**< Body bytes were appended to H1Parser_Body. */
    H1_DONE,      /**< The message is complete; reset before the next one. */
    H1_INVALID,   /**< The bytes are no valid message; the stream is lost. */
} H1Step;

typedef struct H1Parser H1Parser;

/** @param max_head_bytes  bound of a head, in bytes. */
H1Parser *H1Parser_New(H1Kind kind, size_t max_head_bytes);
void H1Parser_Free(H1Parser *parser);

/** Makes ready for the next message of the stream. */
void H1Parser_Reset(H1Parser *parser);

/** The response to come has no body, as after HEAD. */
void H1Parser_ExpectNoBody(H1Parser *parser);

/** Takes the next step from @p in. With H1_INVALID, @p err says why:
 * ERR_INVALID, or ERR_TOO_LARGE for a head over the bound. */
H1Step H1Parser_Next(H1Parser *parser, struct evbuffer *in, Error *err);

/** The stream ended. H1_DONE when that completes the message, H1_INVALID when
 * it cuts one, H1_NEED_MORE when none had begun. */
H1Step H1Parser_End(H1Parser *parser);

/** True once bytes of a message have been taken and it is not complete. */
bool H1Parser_InMessage(const H1Parser *parser);

const H1Head *H1Parser_Head(const H1Parser *parser);

/** Decoded body bytes; the owner drains them. */
struct evbuffer *H1Parser_Body(H1Parser *parser);

/** Value of the first field of this name (any case), or NULL. */
const char *H1Head_Get(const H1Head *head, const char *name);

#endif
