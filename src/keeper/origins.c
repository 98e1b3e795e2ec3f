/** @file
 * Keeper: origins of streams.
 */
#include "keeper/origins.h"

#include <glib.h>

#include "kernel/counter.h"
#include "kernel/log.h"
#include "routes/origin_news.h"

#define PART "keeper"

struct KeeperOrigins {
    StreamOrigins *table;
    Counter *questions;
    Counter *replies;
};

KeeperOrigins *
KeeperOrigins_New(void)
{
    KeeperOrigins *origins = g_new0(KeeperOrigins, 1);
    origins->table = StreamOrigins_New(ORIGIN_NEWS_KEEPER_MAX);
    origins->questions =
        Counter_Get("keeper_origin_questions_total",
                    "Questions of gateways how a stream began.");
    origins->replies =
        Counter_Get("keeper_origin_replies_total",
                    "Questions of gateways that this keeper answered.");
    return origins;
}

void
KeeperOrigins_Free(KeeperOrigins *origins)
{
    StreamOrigins_Free(origins->table);
    g_free(origins);
}

void
KeeperOrigins_OnNews(KeeperOrigins *origins,
                     const Wire__StreamOriginNews *news)
{
    OriginNews_AddAll(origins->table, news);
}

void
KeeperOrigins_OnQuery(const KeeperOrigins *origins, Link *link,
                      const Wire__StreamOriginQuery *query)
{
    Counter_Add(origins->questions, 1);
    if (OriginNews_Answer(origins->table, link, query)) {
        Counter_Add(origins->replies, 1);
        LOG_DEBUG(PART, "Origin of a stream told. request=%s gateway=%s",
                  query->request, Link_Peer(link)->name);
    }
}

size_t
KeeperOrigins_Count(const KeeperOrigins *origins)
{
    return StreamOrigins_Count(origins->table);
}
