/** @file
 * Bounds of the bytes that are held for slow peers.
 */
#include "sched/held_bytes.h"

#include <glib.h>

/* A caller may have this part of the free bytes: with 8, one slow caller
 * leaves eight ninths of it free, and 400 share 98 hundredths. */
#define CALLER_DIVISOR 8
/* Least part of a caller: a few events must fit. */
#define CALLER_MIN_BYTES (8 * 1024)
/* Part of the bound up to which callers may have more than the least part. The
 * rest is for the least parts of the others, fast callers among them. */
#define SHARED_FRACTION 0.75
/* Part of the bound beyond which requests are refused. */
#define REFUSE_FRACTION 0.95

size_t
HeldBytes_CallerPart(size_t bound, size_t held)
{
    size_t shared = (size_t)(SHARED_FRACTION * (double)bound);
    size_t unused = shared > held ? shared - held : 0;
    return MAX(unused / CALLER_DIVISOR, CALLER_MIN_BYTES);
}

bool
HeldBytes_RefusesNew(size_t bound, size_t held)
{
    return (double)held > REFUSE_FRACTION * (double)bound;
}

/* Returns the order in which kinds of callers are cut; lower is first. */
static int
cut_order(const HeldFor *caller)
{
    if (caller->complete) {
        return 2;
    }
    return caller->has_answer ? 0 : 1;
}

int
HeldBytes_ChooseCut(size_t bound, size_t held, const HeldFor *callers,
                    size_t count)
{
    int best = -1;
    for (size_t i = 0; i < count && held > bound; i++) {
        if (callers[i].bytes == 0) {
            continue;
        }
        int order = best < 0 ? 0 : cut_order(&callers[best]);
        if (best < 0 || cut_order(&callers[i]) < order ||
            (cut_order(&callers[i]) == order &&
             callers[i].bytes > callers[best].bytes))
        {
            best = (int)i;
        }
    }
    return best;
}
