/** @file
 * Replies of control hosts and keepers to one question how a stream began, and
 * when they suffice. The load are callers that take up streams after all
 * gateways and control hosts have started again: copies of an origin may then
 * contradict each other, since a correction has not reached all of them. Has
 * no I/O and reads no clock.
 */
#ifndef LAURELLIFT_SCHED_ORIGIN_REPLIES_H
#define LAURELLIFT_SCHED_ORIGIN_REPLIES_H

#include "sched/stream_origins.h"

/** Time after the first reply for which others are awaited: a round trip
 * between regions (60 ms) and the work of a busy host. */
#define ORIGIN_REPLIES_SETTLE_US (80 * US_PER_MS)

typedef struct OriginReplies OriginReplies;

typedef enum OriginVerdict {
    ORIGIN_OPEN,     /**< No reply yet, or more are awaited. */
    ORIGIN_EXPIRED,  /**< What was replied holds no longer. */
    ORIGIN_SETTLED,  /**< All replies so far agree. */
    ORIGIN_DISPUTED, /**< Two replies differ, or one is not certain. */
} OriginVerdict;

/** @param request  id of the request that began the stream. */
OriginReplies *OriginReplies_New(const char *request);
void OriginReplies_Free(OriginReplies *replies);

/** Adds a reply. Replies about other requests are ignored.
 * @param host  identifies the control host that replied; NULL for a keeper,
 *              which replies only if it knows the origin. */
void OriginReplies_Add(OriginReplies *replies, const void *host,
                       const StreamOrigin *origin, TimeUs now);

/** Adds a control host's reply that it does not know the origin. */
void OriginReplies_AddUnknown(OriginReplies *replies, const void *host);

/** Returns whether all control hosts that were asked have replied, whatever
 * they know. What the gateway knows is then as new as the question.
 * @param hosts  number of control hosts that were asked. */
bool OriginReplies_AllReplied(const OriginReplies *replies, unsigned hosts);

/** Judges the replies so far. They suffice when all control hosts have
 * replied, or ORIGIN_REPLIES_SETTLE_US after the first one.
 * @param hosts  number of control hosts that were asked, if these together
 *               know all origins; else 0. */
OriginVerdict OriginReplies_Judge(const OriginReplies *replies, unsigned hosts,
                                  TimeUs now);

/** Returns the time from which the replies suffice in any case; TIME_NEVER
 * before the first one. */
TimeUs OriginReplies_SettlesAt(const OriginReplies *replies);

/** Returns whether a control host has replied. */
bool OriginReplies_HasHost(const OriginReplies *replies);

/** Returns the number of replies, of control hosts and keepers. */
unsigned OriginReplies_Count(const OriginReplies *replies);

/** Returns the origin that the replies agree on, with software "" if they do
 * not; NULL before the first one. */
const StreamOrigin *OriginReplies_Origin(const OriginReplies *replies,
                                         TimeUs now);

#endif
