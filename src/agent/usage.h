/** @file
 * Token usage of an answer, read while the answer passes through: from the
 * `usage` object near its end, or by counting the events of a stream.
 */
#ifndef LAURELLIFT_AGENT_USAGE_H
#define LAURELLIFT_AGENT_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes at the end of an answer in which `usage` is looked for. */
#define USAGE_TAIL_BYTES 2048

/** Scanner of one answer. Starts zeroed. */
typedef struct Usage {
    uint32_t events;   /**< Lines that begin with `data:`. */
    uint32_t at_line;  /**< Bytes of `data:` matched on this line. */
    bool mid_line;     /**< The line cannot match any more. */
    size_t tail_bytes; /**< Bytes held in tail. */
    char tail[USAGE_TAIL_BYTES];
} Usage;

/** What an answer says of its tokens. */
typedef struct UsageTokens {
    uint32_t output;
    uint32_t cached;
    bool cached_stated; /**< The answer named its cached tokens. */
} UsageTokens;

/** Takes the next bytes of the answer. */
void Usage_Scan(Usage *usage, const char *data, size_t length);

/** Tokens of the answer so far. Absurd figures count as absent. */
UsageTokens Usage_Read(const Usage *usage);

/** True when the stream has ended with `data: [DONE]`. */
bool Usage_StreamDone(const Usage *usage);

#endif
