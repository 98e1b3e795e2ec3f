/** @file
 * Refusal reason names and the hashes of targets and request ids.
 */
#include "sched/work.h"

#include <string.h>

#include <xxhash.h>

static const char *const reason_names[] = {
    [REFUSE_NONE] = "none",           [REFUSE_SHED] = "shed",
    [REFUSE_DEADLINE] = "deadline",   [REFUSE_LEAVING] = "leaving",
    [REFUSE_UNFIT] = "unfit",         [REFUSE_LAPSED] = "lapsed",
    [REFUSE_DUPLICATE] = "duplicate", [REFUSE_QUARANTINED] = "quarantined",
};

const char *
RefuseReason_Name(RefuseReason reason)
{
    size_t count = sizeof(reason_names) / sizeof(reason_names[0]);
    return (size_t)reason < count ? reason_names[reason] : "unknown";
}

uint64_t
Work_TargetHash(bool is_model, const char *name)
{
    return XXH3_64bits_withSeed(name, strlen(name), is_model ? 1 : 2);
}

unsigned
RequestId_HashKey(const void *id)
{
    const RequestId *request = id;
    return (unsigned)(request->high ^ request->low);
}

int
RequestId_EqualKeys(const void *a, const void *b)
{
    const RequestId *first = a;
    const RequestId *second = b;
    return request_id_equal(*first, *second);
}
