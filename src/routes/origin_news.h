/** @file
 * Origins of streams in the wire form that gateways exchange with control
 * hosts and keepers.
 */
#ifndef LAURELLIFT_ROUTES_ORIGIN_NEWS_H
#define LAURELLIFT_ROUTES_ORIGIN_NEWS_H

#include "sched/stream_origins.h"
#include "wire/generated/wire.pb-c.h"
#include "wire/link.h"

/** Origins in a table of a gateway or control host: two minutes of 500 streams
 * a second. */
#define ORIGIN_NEWS_TABLE_MAX 60000
/** Origins in the table of a keeper. At about 300 bytes each, a full table
 * takes 2.5 MB. */
#define ORIGIN_NEWS_KEEPER_MAX 8192
/** Origins that a gateway remembers to have told one keeper: before 150
 * engines, full tables take 23 MB. A gateway with 30 streams a second, whose
 * callers have 15 s each, remembers 30 at each of 50 keepers. */
#define ORIGIN_NEWS_COPIES_MAX 512

/** Fills a message. Its strings belong to @p origin. */
void OriginNews_Fill(Wire__StreamOrigin *message, const StreamOrigin *origin,
                     TimeUs now);

/** Returns the origin in a message, with the strings of the message. */
StreamOrigin OriginNews_Read(const Wire__StreamOrigin *message, TimeUs now);

/** Adds an origin as StreamOrigins_Add() does, and logs when the table is full
 * and forgets others. */
bool OriginNews_AddCopy(StreamOrigins *table, const StreamOrigin *origin,
                        TimeUs now);

/** Does the same with the table of all origins that the process knows, whose
 * size is a metric. */
bool OriginNews_Add(StreamOrigins *table, const StreamOrigin *origin,
                    TimeUs now);

/** Adds all origins of a message. */
void OriginNews_AddAll(StreamOrigins *table,
                       const Wire__StreamOriginNews *news);

/** Answers a question if the table knows the origin. Otherwise nothing is
 * sent, and the gateway asks again.
 * @return whether the origin is known. */
bool OriginNews_Answer(const StreamOrigins *table, Link *link,
                       const Wire__StreamOriginQuery *query);

/** Sends one origin.
 * @return the result of Link_Send(). */
int OriginNews_Send(Link *link, const StreamOrigin *origin, TimeUs now);

/** Sends all origins of a table. */
void OriginNews_SendAll(const StreamOrigins *table, Link *link, TimeUs now);

#endif
