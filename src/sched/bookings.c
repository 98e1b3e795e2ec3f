/** @file
 * Bookings of an engine's slots, in an array.
 */
#include "sched/bookings.h"

#include <string.h>

#include <glib.h>

/* Fraction of the slots that may be booked at any time. The others serve the
 * requests that arrive, so that a caller gains nothing by being refused. */
#define BOOKED_FRACTION 0.5
/* Time by which a caller may come early or late: two round trips between
 * regions and the time that a refusal takes. */
#define EARLY_US (50 * US_PER_MS)
#define LATE_US (300 * US_PER_MS)

static unsigned
count_overlaps(const Bookings *bookings, TimeUs from, TimeUs run)
{
    unsigned count = 0;
    for (unsigned i = 0; i < bookings->count; i++) {
        const Booking *entry = &bookings->entries[i];
        count += entry->from < from + run && from < entry->from + entry->run;
    }
    return count;
}

static void
remove_entry(Bookings *bookings, unsigned index)
{
    bookings->count--;
    memmove(&bookings->entries[index], &bookings->entries[index + 1],
            (bookings->count - index) * sizeof(bookings->entries[0]));
}

bool
Bookings_Add(Bookings *bookings, const WorkSpec *work, TimeUs from, TimeUs run,
             uint32_t slots, TimeUs now)
{
    Bookings_Expire(bookings, now);
    if (bookings->count == BOOKINGS_MAX ||
        count_overlaps(bookings, from, run) + 1 > BOOKED_FRACTION * slots)
    {
        return false;
    }
    unsigned at = bookings->count;
    while (at > 0 && bookings->entries[at - 1].from > from) {
        bookings->entries[at] = bookings->entries[at - 1];
        at--;
    }
    bookings->entries[at] = (Booking){
        .tier = work->tier,
        .rank = work->rank,
        .prompt_tokens = work->prompt_tokens,
        .output_tokens = work->output_tokens,
        .from = from,
        .until = from + LATE_US,
        .run = run,
    };
    bookings->count++;
    return true;
}

bool
Bookings_Claim(Bookings *bookings, const WorkSpec *work, TimeUs now)
{
    for (unsigned i = 0; i < bookings->count; i++) {
        const Booking *entry = &bookings->entries[i];
        if (entry->tier == work->tier && entry->rank == work->rank &&
            entry->prompt_tokens == work->prompt_tokens &&
            entry->output_tokens == work->output_tokens &&
            now >= entry->from - EARLY_US && now < entry->until)
        {
            remove_entry(bookings, i);
            return true;
        }
    }
    return false;
}

unsigned
Bookings_Expire(Bookings *bookings, TimeUs now)
{
    unsigned expired = 0;
    for (unsigned i = bookings->count; i > 0; i--) {
        if (now >= bookings->entries[i - 1].until) {
            remove_entry(bookings, i - 1);
            expired++;
        }
    }
    return expired;
}

TimeUs
Bookings_WorkBefore(const Bookings *bookings, const WorkSpec *work,
                    TimeUs before)
{
    TimeUs sum = 0;
    for (unsigned i = 0; i < bookings->count; i++) {
        const Booking *entry = &bookings->entries[i];
        if (entry->tier <= work->tier && entry->from < before) {
            sum += entry->run;
        }
    }
    return sum;
}
