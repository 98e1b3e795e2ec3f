/** @file
 * Gateway: which version of an endpoint's software began a stream. A stream
 * goes on only at that version, within one answer and when its caller takes it
 * up again at any gateway.
 */
#ifndef LAURELLIFT_GATEWAY_ORIGINS_H
#define LAURELLIFT_GATEWAY_ORIGINS_H

#include <stdbool.h>

#include "kernel/clock.h"
#include "routes/table.h"
#include "sched/origin_replies.h"
#include "wire/generated/wire.pb-c.h"
#include "wire/link.h"

typedef struct Call Call;
typedef struct Endpoint Endpoint;
typedef struct Gateway Gateway;
typedef struct Origins Origins;

/* Where a call stands that takes up a stream. */
typedef enum OriginLookup {
    ORIGIN_NOT_ASKED,
    ORIGIN_ASKED, /* control hosts were asked, and keepers if need be */
    ORIGIN_FOUND,
} OriginLookup;

/* What binds a call to a version of the software of one service. */
typedef struct CallOrigin {
    OriginLookup lookup;
    uint64_t nonce;         /* id of the pending question; 0 if none */
    OriginReplies *replies; /* to it; NULL if none is pending */
    unsigned hosts_asked;   /* control hosts that it was last sent to */
    TimeUs asked_at;        /* when it was first sent */
    TimeUs ask_until;       /* then the call is refused */
    TimeUs ask_again_at;    /* when the question is repeated */
    TimeUs ask_delay;       /* until the next repetition */
    bool bound;
    char *software; /* "" if it is not certain; NULL unless bound */
    char *service;  /* NULL unless bound */
} CallOrigin;

Origins *Origins_New(Gateway *gateway);
void Origins_Free(Origins *origins);

/* Finds out how the stream began that the call takes up, if it does.
 * @return false when the call waits for the answer, or was refused and is
 * freed. */
bool Origins_Resolve(Call *call);

/* Ends the call's question, if any: no reply reaches the call any more. */
void Origins_EndQuestion(Call *call);

/* Applies a reply.
 * @param host  identifies the control host that sent it; NULL for a keeper. */
void Origins_OnReply(Origins *origins, const void *host,
                     const Wire__StreamOriginReply *reply);

/* Sends what a keeper must know that has connected, and asks it the pending
 * questions. */
void Origins_OnKeeper(Origins *origins, const char *endpoint_id,
                      const char *address, Link *link);

/* Binds the call to the endpoint that sends the first event of its answer, and
 * tells the control hosts and some keepers. */
void Origins_OnFirstEvent(Call *call);

/* Makes the software uncertain of all streams that run at the endpoint, since
 * they may run in the start after the one that the gateway knew. */
void Origins_OnReplaced(Endpoint *endpoint);

/* Updates which version is the only one of the endpoint's service, after an
 * endpoint was added, changed or removed. */
void Origins_OnEndpoints(Origins *origins, const char *service);

/* Records that an endpoint is removed whose start was uncertain, since another
 * start may have begun streams without having been announced. */
void Origins_OnLeft(Origins *origins, const Endpoint *endpoint);

/* Updates since when routes have had one service, after the table in force was
 * replaced. */
void Origins_OnTable(Origins *origins, const RouteTable *table);

/* Returns whether some endpoint may continue the call's stream, now or later.
 * Always true of a call that is not bound. */
bool Origins_CanGoOn(Call *call);

/* Ends the call's question and frees what the call keeps. */
void Origins_Forget(Call *call);

/* Sends all streams that began here to a control host. */
void Origins_SendAll(const Origins *origins, Link *link);

#endif
