/** @file
 * Fleet task: origins of streams at a control host. Gateways tell every
 * control host how their streams began, again at each connection, and ask all
 * of them about the streams of others. Nothing is agreed on or stored: an
 * origin never changes.
 */
#include "fleet/state.h"
#include "routes/origin_news.h"

void
FleetOrigins_OnNews(Fleet *fleet, const Wire__StreamOriginNews *news)
{
    OriginNews_AddAll(fleet->origins, news);
}

void
FleetOrigins_OnQuery(const Fleet *fleet, Link *link,
                     const Wire__StreamOriginQuery *query)
{
    if (OriginNews_Answer(fleet->origins, link, query)) {
        return;
    }
    Wire__StreamOriginReply reply = WIRE__STREAM_ORIGIN_REPLY__INIT;
    reply.nonce = query->nonce;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_REPLY;
    frame.stream_origin_reply = &reply;
    Link_Send(link, &frame);
}
