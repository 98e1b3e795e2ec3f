/** @file
 * Conversion of the origins of streams to and from their wire form.
 */
#include "routes/origin_news.h"

#include <glib.h>

#include "kernel/counter.h"
#include "kernel/log.h"

#define PART "routes"
/* Origins in one message. */
#define MESSAGE_ORIGINS 256
/* A full table is logged at the first origin that it forgets and then once for
 * so many of them. */
#define LOG_EVERY_DISPLACED 1000

void
OriginNews_Fill(Wire__StreamOrigin *message, const StreamOrigin *origin,
                TimeUs now)
{
    wire__stream_origin__init(message);
    message->request = (char *)origin->request;
    message->service = (char *)origin->service;
    message->account = (char *)origin->account;
    message->software = (char *)origin->software;
    message->ttl_ms = (uint32_t)MAX(
        (origin->expires_at - now + US_PER_MS - 1) / US_PER_MS, 0);
}

StreamOrigin
OriginNews_Read(const Wire__StreamOrigin *message, TimeUs now)
{
    return (StreamOrigin){
        .request = message->request,
        .service = message->service,
        .account = message->account,
        .software = message->software,
        .expires_at = now + message->ttl_ms * US_PER_MS,
    };
}

bool
OriginNews_AddCopy(StreamOrigins *table, const StreamOrigin *origin,
                   TimeUs now)
{
    uint64_t before = StreamOrigins_Displaced(table);
    bool added = StreamOrigins_Add(table, origin, now);
    uint64_t displaced = StreamOrigins_Displaced(table);
    if (displaced != before && before % LOG_EVERY_DISPLACED == 0) {
        LOG_WARN(PART,
                 "Table of streams is full and forgets the ones that end "
                 "first. known=%zu forgotten=%llu",
                 StreamOrigins_Count(table), (unsigned long long)displaced);
    }
    return added;
}

bool
OriginNews_Add(StreamOrigins *table, const StreamOrigin *origin, TimeUs now)
{
    bool added = OriginNews_AddCopy(table, origin, now);
    Counter_Set(Counter_Get("stream_origins",
                            "Streams whose origin this process knows."),
                (int64_t)StreamOrigins_Count(table));
    return added;
}

void
OriginNews_AddAll(StreamOrigins *table, const Wire__StreamOriginNews *news)
{
    TimeUs now = Clock_Now();
    for (size_t i = 0; i < news->n_origins; i++) {
        StreamOrigin origin = OriginNews_Read(news->origins[i], now);
        OriginNews_Add(table, &origin, now);
    }
}

bool
OriginNews_Answer(const StreamOrigins *table, Link *link,
                  const Wire__StreamOriginQuery *query)
{
    TimeUs now = Clock_Now();
    const StreamOrigin *origin =
        StreamOrigins_Find(table, query->request, now);
    if (origin == NULL) {
        return false;
    }
    Wire__StreamOrigin message;
    OriginNews_Fill(&message, origin, now);
    Wire__StreamOriginReply reply = WIRE__STREAM_ORIGIN_REPLY__INIT;
    reply.nonce = query->nonce;
    reply.origin = &message;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_REPLY;
    frame.stream_origin_reply = &reply;
    Link_Send(link, &frame);
    return true;
}

int
OriginNews_Send(Link *link, const StreamOrigin *origin, TimeUs now)
{
    Wire__StreamOrigin message;
    Wire__StreamOrigin *pointer = &message;
    OriginNews_Fill(&message, origin, now);
    Wire__StreamOriginNews news = WIRE__STREAM_ORIGIN_NEWS__INIT;
    news.n_origins = 1;
    news.origins = &pointer;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS;
    frame.stream_origin_news = &news;
    return Link_Send(link, &frame);
}

/* A message that is being filled. */
typedef struct Batch {
    Link *link;
    TimeUs now;
    Wire__StreamOrigin items[MESSAGE_ORIGINS];
    Wire__StreamOrigin *pointers[MESSAGE_ORIGINS];
    size_t count;
} Batch;

static void
send_batch(Batch *batch)
{
    if (batch->count == 0) {
        return;
    }
    Wire__StreamOriginNews news = WIRE__STREAM_ORIGIN_NEWS__INIT;
    news.n_origins = batch->count;
    news.origins = batch->pointers;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_STREAM_ORIGIN_NEWS;
    frame.stream_origin_news = &news;
    Link_Send(batch->link, &frame);
    batch->count = 0;
}

static void
add_to_batch(void *arg, const StreamOrigin *origin)
{
    Batch *batch = arg;
    OriginNews_Fill(&batch->items[batch->count], origin, batch->now);
    batch->pointers[batch->count] = &batch->items[batch->count];
    if (++batch->count == MESSAGE_ORIGINS) {
        send_batch(batch);
    }
}

void
OriginNews_SendAll(const StreamOrigins *table, Link *link, TimeUs now)
{
    Batch batch = {.link = link, .now = now};
    StreamOrigins_ForEach(table, now, add_to_batch, &batch);
    send_batch(&batch);
}
