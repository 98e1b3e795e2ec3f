/** @file
 * Reads the requests of one client connection, one at a time, and ends it.
 *
 * The memory of a request is charged to the budget of the process before its
 * bytes are read. A request that is refused is answered at once; what the
 * client still sends is then read and dropped for a limited time, so that no
 * reset destroys the answer (RFC 9112, section 9.6).
 */
#ifndef LAURELLIFT_SERVER_READER_H
#define LAURELLIFT_SERVER_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "http1/parser.h"

typedef struct Reader Reader;

/** Limits of what a client may send. Times are in milliseconds. */
typedef struct ReaderLimits {
    size_t max_head_bytes;
    size_t max_body_bytes;
    uint32_t head_timeout_ms; /**< From the first byte to the end of a head. */
    uint32_t body_timeout_ms; /**< From there to the end of the body. */
    uint32_t idle_timeout_ms; /**< Between requests, and without progress of an
                                 answer. */
} ReaderLimits;

/** Answer to a request that was not read to its end, and so has not run. */
typedef struct ReaderRefusal {
    unsigned status;
    const char *code;        /**< Stable error name. */
    const char *message;     /**< One sentence. */
    uint32_t retry_after_ms; /**< 0 omits Retry-After. */
} ReaderRefusal;

/** What the owner of a reader does. */
typedef struct ReaderOps {
    /** Sets the limits in force. */
    void (*limits)(const void *owner, ReaderLimits *limits);
    /** Judges a request by its head, before its body is read.
     * @return NULL to go on. */
    const ReaderRefusal *(*check)(void *owner, const H1Head *head);
    /** Serves a complete request. The owner takes the bytes of the body, and
     * calls Reader_Finish or Reader_Free at its end. */
    void (*serve)(void *owner, const H1Head *head, struct evbuffer *body);
    /** Prints and logs a refusal, after which the connection closes.
     * @param head  of the request, or NULL if none has been parsed. */
    void (*print_refusal)(void *owner, struct evbuffer *out,
                          const H1Head *head, const ReaderRefusal *refusal);
    /** The output buffer was written; NULL if not needed. */
    void (*written)(void *owner);
    /** The connection has ended; the owner calls Reader_Free. */
    void (*closed)(void *owner);
} ReaderOps;

/** Returns whether a request is judged by its head alone where that suffices.
 * Others are read first, so that their connection can carry the next request
 * after a refusal. */
bool Reader_JudgesHead(const H1Head *head);

/** Takes over an accepted socket.
 * @return NULL, and the socket is closed, if the budget has no room. */
Reader *Reader_New(struct event_base *base, evutil_socket_t fd,
                   const ReaderOps *ops, void *owner);
void Reader_Free(Reader *reader);

/** Prepares a listening socket, from which the accepted ones inherit how much
 * the kernel receives for them. */
void Reader_PrepareListener(evutil_socket_t fd);

/** Returns the stream that answers are written to. */
struct bufferevent *Reader_Stream(const Reader *reader);

/** Ends the request that is served, after its answer was written to the
 * stream: reads the next one, or closes the connection. */
void Reader_Finish(Reader *reader, bool close);

/** Returns whether the connection closes after the current answer, since
 * further requests were dropped. */
bool Reader_WillClose(const Reader *reader);

/** Closes the connection if it is between requests. */
void Reader_CloseIfIdle(Reader *reader);

/** Returns the number of answer bytes that are not yet written. */
size_t Reader_UnsentBytes(const Reader *reader);

/** Returns the memory that these bytes take. */
size_t Reader_HeldBytes(const Reader *reader);

/** Charges the memory of the unsent answer, which the owner has added to.
 * Above the bound of the process the connections with the largest unsent
 * answers are closed, once control returns to the event loop. For owners that
 * do not bound their answers themselves. */
void Reader_ChargeAnswer(Reader *reader);

/** Returns the bytes that are charged for the current request. */
size_t Reader_ChargedBytes(const Reader *reader);

/** Returns the parser, which holds the head of the served request. */
H1Parser *Reader_Parser(const Reader *reader);

/** Passes on the parser, with the head of the served request. The reader can
 * then only be freed. */
H1Parser *Reader_TakeParser(Reader *reader);

#endif
