/** @file
 * Rest that an endpoint asks of one sender.
 */
#include "sched/rest.h"

#include <string.h>

#include <glib.h>

#define TEXT_MAX_BYTES 32
/* Requests allowed at once from which on they are not counted any more. */
#define ALLOWED_MAX 16
/* Time without an answer after which one more request is allowed. */
#define TRIAL_PERIOD_US (1 * US_PER_S)

uint32_t
Rest_Parse(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > TEXT_MAX_BYTES ||
        strspn(text, "0123456789.") != length || text[0] == '.' ||
        text[length - 1] == '.' || strchr(text, '.') != strrchr(text, '.'))
    {
        return 0;
    }
    double ms = g_ascii_strtod(text, NULL) * 1000;
    return ms < REST_MAX_MS ? (uint32_t)ms : REST_MAX_MS;
}

bool
Rest_OnRefused(Rest *rest, uint32_t ms, TimeUs now)
{
    TimeUs until = now + ms * US_PER_MS;
    if (ms == 0 || until <= rest->until) {
        return false;
    }
    *rest = (Rest){.until = until, .allowed = 1, .left = 1};
    return true;
}

bool
Rest_MaySend(const Rest *rest, TimeUs now)
{
    if (now < rest->until) {
        return false;
    }
    return rest->allowed == 0 || rest->left > 0 ||
           now - rest->sent_at >= TRIAL_PERIOD_US;
}

void
Rest_OnSent(Rest *rest, TimeUs now)
{
    if (rest->allowed > 0) {
        rest->left -= rest->left > 0 ? 1 : 0;
        rest->sent_at = now;
    }
}

void
Rest_OnServed(Rest *rest, TimeUs now)
{
    if (rest->allowed == 0 || now < rest->until) {
        return;
    }
    rest->allowed *= 2;
    rest->left = rest->allowed;
    if (rest->allowed > ALLOWED_MAX) {
        *rest = (Rest){.until = 0};
    }
}
