/** @file
 * Rate limit that an endpoint names.
 */
#include "sched/named_rate.h"

#include <string.h>

#include <glib.h>

/* A limit ends after this many answers without it and this time since it was
 * last named. */
#define UNNAMED_MAX 4
#define UNNAMED_MIN_US (5 * US_PER_S)
/* Time whose requests the bucket holds beyond one, so that a late timer loses
 * none. */
#define BURST_US (100 * US_PER_MS)
#define TEXT_MAX_BYTES 20

double
NamedRate_Parse(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > TEXT_MAX_BYTES ||
        strspn(text, "0123456789.") != length || text[0] == '.' ||
        text[length - 1] == '.' || strchr(text, '.') != strrchr(text, '.'))
    {
        return 0;
    }
    double rate = g_ascii_strtod(text, NULL);
    return rate <= NAMED_RATE_MAX ? rate : 0;
}

bool
NamedRate_OnAnswer(NamedRate *limit, double rate, TimeUs sent_at, TimeUs now,
                   double level)
{
    double before = limit->rate;
    if (rate > 0) {
        if (before <= 0) {
            limit->level = level;
            limit->filled_at = now;
        }
        limit->rate = rate;
        limit->named_at = now;
        limit->unnamed = 0;
        return before < rate || before > rate;
    }
    if (before <= 0 || sent_at < limit->named_at) {
        return false;
    }
    limit->unnamed++;
    if (limit->unnamed < UNNAMED_MAX || now - limit->named_at < UNNAMED_MIN_US)
    {
        return false;
    }
    *limit = (NamedRate){.rate = 0};
    return true;
}

/* Returns the level at @p now. */
static double
level_at(const NamedRate *limit, double share, TimeUs now)
{
    double rate = limit->rate * share;
    double capacity = 1 + rate * BURST_US / US_PER_S;
    double added = rate * (double)(now - limit->filled_at) / US_PER_S;
    return MIN(limit->level + MAX(added, 0), capacity);
}

bool
NamedRate_MaySend(NamedRate *limit, double share, TimeUs now)
{
    if (limit->rate <= 0) {
        return true;
    }
    limit->level = level_at(limit, share, now);
    limit->filled_at = now;
    return limit->level >= 1;
}

void
NamedRate_OnSent(NamedRate *limit)
{
    if (limit->rate > 0) {
        limit->level -= 1;
    }
}

void
NamedRate_OnUnsent(NamedRate *limit)
{
    if (limit->rate > 0) {
        limit->level += 1;
    }
}

TimeUs
NamedRate_NextAt(const NamedRate *limit, double share, double position,
                 TimeUs now)
{
    if (limit->rate <= 0) {
        return now;
    }
    double missing = 1 + position - level_at(limit, share, now);
    double rate = MAX(limit->rate * share, 1.0 / NAMED_RATE_MAX);
    return now + (TimeUs)(MAX(missing, 0) / rate * US_PER_S);
}
