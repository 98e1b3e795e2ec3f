/** @file
 * Replies to a question how a stream began. A table of origins with one place
 * merges them, so that contradictions count as everywhere else.
 */
#include "sched/origin_replies.h"

#include <string.h>

#include <glib.h>

struct OriginReplies {
    char *request;
    StreamOrigins *merged;
    GPtrArray *hosts; /* control hosts that know the origin; only compared */
    GPtrArray *unknowing; /* those that replied that they do not */
    unsigned count;
    TimeUs first_at;
};

OriginReplies *
OriginReplies_New(const char *request)
{
    OriginReplies *replies = g_new0(OriginReplies, 1);
    replies->request = g_strdup(request);
    replies->merged = StreamOrigins_New(1);
    replies->hosts = g_ptr_array_new();
    replies->unknowing = g_ptr_array_new();
    return replies;
}

void
OriginReplies_Free(OriginReplies *replies)
{
    g_free(replies->request);
    StreamOrigins_Free(replies->merged);
    g_ptr_array_unref(replies->hosts);
    g_ptr_array_unref(replies->unknowing);
    g_free(replies);
}

static void
add_host(GPtrArray *hosts, const void *host)
{
    if (!g_ptr_array_find(hosts, host, NULL)) {
        g_ptr_array_add(hosts, (void *)host);
    }
}

void
OriginReplies_Add(OriginReplies *replies, const void *host,
                  const StreamOrigin *origin, TimeUs now)
{
    if (strcmp(origin->request, replies->request) != 0 ||
        origin->expires_at <= now)
    {
        return;
    }
    StreamOrigins_Add(replies->merged, origin, now);
    if (replies->count++ == 0) {
        replies->first_at = now;
    }
    if (host != NULL) {
        g_ptr_array_remove_fast(replies->unknowing, (void *)host);
        add_host(replies->hosts, host);
    }
}

void
OriginReplies_AddUnknown(OriginReplies *replies, const void *host)
{
    if (!g_ptr_array_find(replies->hosts, host, NULL)) {
        add_host(replies->unknowing, host);
    }
}

bool
OriginReplies_AllReplied(const OriginReplies *replies, unsigned hosts)
{
    return hosts > 0 && replies->hosts->len + replies->unknowing->len >= hosts;
}

OriginVerdict
OriginReplies_Judge(const OriginReplies *replies, unsigned hosts, TimeUs now)
{
    const StreamOrigin *origin = OriginReplies_Origin(replies, now);
    if (origin == NULL) {
        return replies->count > 0 ? ORIGIN_EXPIRED : ORIGIN_OPEN;
    }
    if (origin->software[0] == '\0') {
        return ORIGIN_DISPUTED;
    }
    bool all_hosts = hosts > 0 && replies->hosts->len >= hosts;
    return all_hosts || now >= OriginReplies_SettlesAt(replies)
               ? ORIGIN_SETTLED
               : ORIGIN_OPEN;
}

TimeUs
OriginReplies_SettlesAt(const OriginReplies *replies)
{
    return replies->count == 0 ? TIME_NEVER
                               : replies->first_at + ORIGIN_REPLIES_SETTLE_US;
}

bool
OriginReplies_HasHost(const OriginReplies *replies)
{
    return replies->hosts->len > 0;
}

unsigned
OriginReplies_Count(const OriginReplies *replies)
{
    return replies->count;
}

const StreamOrigin *
OriginReplies_Origin(const OriginReplies *replies, TimeUs now)
{
    return StreamOrigins_Find(replies->merged, replies->request, now);
}
