/** @file
 * State of the entry task, shared by the modules of this package.
 */
#ifndef LAURELLIFT_ENTRY_STATE_H
#define LAURELLIFT_ENTRY_STATE_H

#include <event2/http.h>
#include <glib.h>
#include <xxhash.h>

#include "kernel/settings.h"
#include "kernel/task.h"
#include "rules/rules.h"
#include "sched/limits.h"
#include "sched/place.h"
#include "wire/http.h"
#include "wire/link.h"
#include "wire/self.h"

#define ENTRY_PART "entry"

typedef struct Entry Entry;

/** Where a request stands. */
typedef enum RequestState {
    REQUEST_CLAIMING, /**< Waits for the claim of a non-idempotent request. */
    REQUEST_WANTING,  /**< Wants are out; nothing was dispatched. */
    REQUEST_SPENT,    /**< Dispatched once; never offered again. */
    REQUEST_ENDED,    /**< The caller has the final answer. */
} RequestState;

/** An agent that this entry knows. */
typedef struct Peer {
    Entry *entry;
    char *name;
    uint64_t incarnation;
    Link *link;
    PlaceHandle place;
    bool listed; /**< In the newest member list. */
} Peer;

typedef struct Request {
    Entry *entry;
    RequestState state;
    Work work;
    struct evhttp_request *http; /**< NULL: the caller is gone. */
    struct event *caller_closed;
    struct event *deadline;
    char *account;
    uint32_t account_index;
    char *method;
    char *path;
    char *model;
    char *service;
    char *content_type;
    char *idempotency_key; /**< NULL: idempotent route. */
    uint64_t body_hash;
    char *body;
    size_t body_length;
    Peer *wants[PLACE_WANTS_MAX];
    uint32_t want_count;
    Peer *dispatched_to;
    uint64_t grant_id;
    bool head_sent;
    uint32_t answer_status;
    char *answer_type;
    GByteArray *kept; /**< Answer of a non-idempotent request, to keep. */
    uint64_t received;
    XXH3_state_t *hash;
    TimeUs dispatched_at;
    TimeUs first_piece;
} Request;

struct Entry {
    const Settings *settings;
    TaskHandle task;
    struct event_base *base;
    LinkSelf self;
    struct evhttp *http;
    PlaceTable *places;
    LimitTable *limits;
    GHashTable *peers;    /**< Name -> Peer */
    GHashTable *requests; /**< RequestId -> Request */
    GHashTable *commands; /**< Command id (GBytes) -> Request */
    GPtrArray *control_links;
    uint64_t next_id;
    Rules *rules; /**< NULL until the first arrive. */
    uint64_t rules_version;
    uint64_t members_version;
    TimeUs lease_until;
    uint64_t lease_sequence;
    TimeUs lease_asked_at;
    struct event *tick;
    bool draining;
};

/** Control links: lease, rules, members, commands. */
int EntryControl_Open(Entry *entry, Error *err);
void EntryControl_Close(Entry *entry);
void EntryControl_Tick(Entry *entry, TimeUs now);
bool EntryControl_HasLease(const Entry *entry, TimeUs now);

/** Sends a command about the request's claim; the reply comes to
 * Request_Claimed when @p wait is set. */
int EntryControl_SendClaim(Request *request, Wire__CommandKind kind,
                           bool wait);

/** Links to agents. */
void EntryPeers_Update(Entry *entry, const Wire__Members *members);
void EntryPeers_Close(Entry *entry);
Peer *EntryPeers_ByPlace(Entry *entry, PlaceHandle place);

/** Callers' HTTP. */
int EntryCaller_Listen(Entry *entry, Error *err);

/** Life of a request. */
void Request_Begin(Request *request);
void Request_Claimed(Request *request, const Wire__CommandReply *reply);
void Request_OnFrame(Entry *entry, Peer *peer, const Wire__Frame *frame);
void Request_OnPeerDown(Entry *entry, Peer *peer);
void Request_Fail(Request *request, const HttpError *error);
void Request_Free(Request *request);

#endif
