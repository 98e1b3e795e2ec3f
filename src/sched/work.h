/** @file
 * Types that all scheduling decisions use. Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_WORK_H
#define LAURELLIFT_SCHED_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "kernel/error.h"
#include "sched/subjects.h"

#define WORK_TIERS 4
/** Maximum number of prefix hashes stored for one request. */
#define WORK_PREFIX_BLOCKS_MAX 32
/** Number of prompt tokens in one prefix block. */
#define WORK_BLOCK_TOKENS 128

typedef struct RequestId {
    uint64_t high;
    uint64_t low;
} RequestId;

/** Request data that scheduling decisions use. */
typedef struct WorkSpec {
    RequestId id;
    uint64_t target;   /**< Work_TargetHash of the model or service. */
    Subjects subjects; /**< Hashes of account, route and body, and of the
                          prompt's messages except the last. */
    uint64_t account;  /**< Hash; 0 if it has none that shares are kept of. */
    uint32_t tier;     /**< 0 is the highest. */
    uint32_t rank;     /**< Order within the tier; 0 is the highest. */
    TimeUs deadline;   /**< By the clock of this process. */
    /** Time by which the first piece should arrive; a request that misses it
     * is delayed, not refused. 0 if only the deadline counts. */
    TimeUs first_piece_deadline;
    /** Time at which the caller gives up unless it has the first piece; 0 if
     * only the deadline counts. */
    TimeUs first_piece_limit;
    uint32_t prompt_tokens;         /**< 0 for plain services. */
    uint32_t output_tokens;         /**< Expected number. */
    uint32_t longest_output_tokens; /**< Upper bound; 0 if unknown. */
    bool alone; /**< No other request may run at the endpoint meanwhile. */
    uint32_t prefix_count;
    uint64_t prefix[WORK_PREFIX_BLOCKS_MAX]; /**< Chained block hashes. */
} WorkSpec;

/** Reason for refusing a request. The values equal those of
 * Wire__RefuseReason. */
typedef enum RefuseReason {
    REFUSE_NONE = 0,
    REFUSE_SHED = 1,
    REFUSE_DEADLINE = 2, /**< The deadline cannot be met. */
    REFUSE_LEAVING = 3,  /**< The endpoint is draining or gone. */
    REFUSE_UNFIT = 4,    /**< The endpoint does not serve the target. */
    REFUSE_LAPSED = 5,   /**< The grant has expired or is not known. */
    REFUSE_DUPLICATE = 6,
    REFUSE_QUARANTINED = 7,
} RefuseReason;

/** Returns the lower-case name of a reason, such as "deadline". The names are
 * stable. */
const char *RefuseReason_Name(RefuseReason reason);

/** Returns the hash that identifies a model or a service. */
uint64_t Work_TargetHash(bool is_model, const char *name);

/** Hash and equality functions of RequestId keys, for GLib hash tables. */
unsigned RequestId_HashKey(const void *id);
int RequestId_EqualKeys(const void *a, const void *b);

static inline bool
request_id_equal(RequestId a, RequestId b)
{
    return a.high == b.high && a.low == b.low;
}

#endif
