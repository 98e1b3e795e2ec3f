/** @file
 * Token usage of an answer, from the `usage` object near its end or else from
 * the number of events of a stream.
 */
#ifndef LAURELLIFT_AGENT_USAGE_H
#define LAURELLIFT_AGENT_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the end of an answer in which `usage` is searched for. */
#define USAGE_TAIL_BYTES 2048

/** Scanner of one answer. Must be zero-initialized. */
typedef struct Usage {
    uint32_t events;       /**< Lines that begin with `data:`. */
    uint32_t line_matched; /**< Bytes of `data:` found on the line. */
    bool skip_line;        /**< The rest of the line is skipped. */
    size_t tail_bytes;     /**< Number of bytes used in tail. */
    char tail[USAGE_TAIL_BYTES];
} Usage;

/** Numbers of tokens of an answer. */
typedef struct UsageTokens {
    uint32_t output;
    uint32_t cached;
    bool cached_stated; /**< The answer states its cached tokens. */
} UsageTokens;

/** Scans the next bytes of the answer. */
void Usage_Scan(Usage *usage, const char *data, size_t length);

/** Returns the numbers of tokens of the answer so far. Numbers out of range
 * are ignored. */
UsageTokens Usage_Read(const Usage *usage);

/** Returns true if the stream has ended with `data: [DONE]`. */
bool Usage_StreamDone(const Usage *usage);

#endif
