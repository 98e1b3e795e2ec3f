/** @file
 * The terms that every scheduling decision is made of. Pure: no clock, no
 * sockets.
 */
#ifndef LAURELLIFT_SCHED_WORK_H
#define LAURELLIFT_SCHED_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "kernel/error.h"

#define WORK_TIERS 4
/** Longest prefix chain that is kept of one request. */
#define WORK_PREFIX_BLOCKS_MAX 32
/** Prompt tokens that one prefix hash covers. */
#define WORK_BLOCK_TOKENS 128

typedef struct RequestId {
    uint64_t high;
    uint64_t low;
} RequestId;

/** What a decision knows of a request. */
typedef struct WorkSpec {
    RequestId id;
    uint64_t target;      /**< Work_TargetHash of the model or service. */
    uint64_t fingerprint; /**< Of account, route and body. */
    uint32_t tier;        /**< 0 is the highest. */
    uint32_t rank;        /**< Within the tier; 0 goes first. */
    TimeUs deadline;      /**< On this process's clock. */
    TimeUs first_piece_deadline;    /**< When the first piece is due for full
                             credit; 0: only the deadline counts. */
    uint32_t prompt_tokens;         /**< 0 for plain services. */
    uint32_t output_tokens;         /**< Expected. */
    uint32_t longest_output_tokens; /**< 0: as expected. */
    bool alone;                     /**< Runs with nothing beside it. */
    uint32_t prefix_count;
    uint64_t prefix[WORK_PREFIX_BLOCKS_MAX]; /**< Hash chain of the prompt. */
} WorkSpec;

/** Why work is not taken. Same order as Wire__RefuseReason. */
typedef enum RefuseReason {
    REFUSE_NONE = 0,
    REFUSE_SHED = 1,
    REFUSE_DEADLINE = 2,
    REFUSE_LEAVING = 3,
    REFUSE_UNFIT = 4,
    REFUSE_LAPSED = 5,
    REFUSE_DUPLICATE = 6,
    REFUSE_QUARANTINED = 7,
} RefuseReason;

/** Stable lower-case name of a reason, such as "deadline". */
const char *RefuseReason_Name(RefuseReason reason);

/** Identity of a model or a service in decisions. */
uint64_t Work_TargetHash(bool is_model, const char *name);

/** Hash and equality of RequestId keys, for GLib's hash tables. */
unsigned RequestId_HashKey(const void *id);
int RequestId_EqualKeys(const void *a, const void *b);

static inline bool
request_id_equal(RequestId a, RequestId b)
{
    return a.high == b.high && a.low == b.low;
}

#endif
