/** @file
 * State of the entry task, shared by the modules of this package.
 */
#ifndef LAURELLIFT_ENTRY_STATE_H
#define LAURELLIFT_ENTRY_STATE_H

#include <event2/event_struct.h>
#include <event2/http.h>
#include <glib.h>
#include <xxhash.h>

#include "entry/lease.h"
#include "entry/life.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "rules/rules.h"
#include "sched/limits.h"
#include "sched/place.h"
#include "wire/http.h"
#include "wire/identity.h"
#include "wire/link.h"

#define ENTRY_PART "entry"
/** Longest answer that is held back whole, in bytes. */
#define ENTRY_HELD_ANSWER_MAX_BYTES (4u * 1024 * 1024)

typedef struct Entry Entry;
typedef struct Request Request;
typedef struct ClaimBox ClaimBox;
typedef struct ClaimCommand ClaimCommand;
typedef struct Accounts Accounts;
typedef struct Suspects Suspects;

/** An agent that this entry knows. */
typedef struct Peer {
    Entry *entry;
    uint64_t number; /**< Names the peer in Life; never reused. */
    char *name;
    uint64_t incarnation;
    Link *link;
    PlaceHandle place;
    bool other_region;
    uint32_t listed_by; /**< Bit per control host that lists it. */
} Peer;

/** A connection of a caller. It carries one request at a time. */
typedef struct Caller {
    Entry *entry;
    struct evhttp_connection *connection;
    struct event *closed; /**< The caller closed its side. */
    Request *request;     /**< NULL between requests. */
} Caller;

struct Request {
    Entry *entry;
    Life life;
    WorkSpec work;
    struct evhttp_request *http; /**< NULL: the caller is gone. */
    Caller *caller;
    struct event timer;
    TimeUs timer_set; /**< When `timer` fires; TIME_NEVER: not set. */
    TimeUs received_at;
    GList waiting; /**< Node in Entry.waiting while nothing is dispatched. */
    bool is_waiting;
    char *request_id; /**< Echoed as X-Request-Id. */
    char *account;
    uint32_t account_slot; /**< Of its limits. */
    char *method;
    char *path;
    char *model;
    char *service;
    char *content_type;
    char *idempotency_key; /**< NULL: idempotent route. */
    uint64_t body_hash;
    char *body;
    size_t body_length;
    uint32_t answer_status;
    char *answer_type;
    bool hold_answer;   /**< The answer is given only when it is whole. */
    bool head_sent;     /**< The caller has the head. */
    GByteArray *held;   /**< The answer so far, when it is held. */
    uint64_t acked;     /**< Offset of the last ack. */
    bool ack_due;       /**< In Entry.ack_due. */
    bool held_overflow; /**< The answer is too large to be held. */
    XXH3_state_t *hash; /**< Of the answer; NULL until it begins. */
    uint32_t pieces;
    ClaimCommand *command; /**< The one that waits for its reply, or NULL. */
    TimeUs dispatched_at;
    TimeUs first_piece_at;
};

/** A control host. */
typedef struct ControlHost {
    Entry *entry;
    uint32_t id; /**< Replica number. */
    Link *link;
    uint64_t members_version;
    GHashTable *entries; /**< Set of names of the live entries it lists. */
} ControlHost;

struct Entry {
    const Settings *settings;
    TaskHandle task;
    struct event_base *base;
    LinkIdentity self;
    struct evhttp *http;
    GHashTable *callers; /**< evhttp_connection -> Caller */
    PlaceTable *places;
    Accounts *accounts;
    GHashTable *peers;         /**< Name -> Peer */
    GHashTable *peers_numbers; /**< Peer.number -> Peer */
    GPtrArray *peers_places;   /**< PlaceHandle.index -> Peer */
    uint64_t next_peer;
    GHashTable *requests;       /**< RequestId -> Request */
    GQueue waiting[WORK_TIERS]; /**< Not dispatched, oldest first. */
    GPtrArray *ack_due;         /**< Requests with bytes to acknowledge. */
    ClaimBox *claims;
    Suspects *suspects;
    GPtrArray *hosts; /**< ControlHost */
    uint64_t next_id;
    Rules *rules;     /**< NULL until the first arrive. */
    char *rules_text; /**< Text of the rules in force. */
    bool rules_whole; /**< A delta did not fit; ask for the whole text. */
    Lease lease;
    TimeUs lease_due; /**< When the next round of asking begins. */
    TimeUs members_due;
    struct event *tick;
    uint32_t ticks;
    bool draining;
};

/** Control links: lease, rules, members, quarantine. */
int EntryControl_Open(Entry *entry, Error *err);
void EntryControl_Close(Entry *entry);
void EntryControl_Tick(Entry *entry, TimeUs now);
bool EntryControl_HasLease(const Entry *entry, TimeUs now);
/** Tells the control hosts that this entry is there, or is leaving. */
void EntryControl_SendPresence(Entry *entry);

/** Rules: asks one control host for those after the version held. */
void EntryRules_Ask(Entry *entry, Link *link);
/** @return true when the message put newer rules in force. */
bool EntryRules_Take(Entry *entry, const Wire__Rules *message);
void EntryRules_Free(Entry *entry);

/** Commands about claims, resent until a control host has answered. */
ClaimBox *EntryClaims_New(Entry *entry);
void EntryClaims_Free(ClaimBox *box);
/** Asks for the request's claim. ERR_FULL when too many are pending. */
int EntryClaims_Ask(ClaimBox *box, Request *request);
/** Records what became of the request. */
void EntryClaims_Record(ClaimBox *box, Request *request,
                        LifeClaimOutcome record);
/** The request is forgotten; its commands are still resent. */
void EntryClaims_Detach(Request *request);
void EntryClaims_OnReply(ClaimBox *box, const Wire__CommandReply *reply);
void EntryClaims_Tick(ClaimBox *box, TimeUs now);
uint32_t EntryClaims_Pending(const ClaimBox *box);

/** Links to agents. */
void EntryPeers_Update(Entry *entry, ControlHost *host,
                       const Wire__Members *members);
void EntryPeers_Close(Entry *entry);
Peer *EntryPeers_ByPlace(Entry *entry, PlaceHandle place);
Peer *EntryPeers_ByNumber(Entry *entry, uint64_t number);
json_t *EntryPeers_Dump(Entry *entry);

/** Limits of accounts. An account keeps its slot over changes of rules. */
Accounts *EntryAccounts_New(void);
void EntryAccounts_Free(Accounts *accounts);
bool EntryAccounts_Admit(Entry *entry, const RulesAccount *account,
                         Request *request, TimeUs now,
                         uint32_t *retry_after_ms);
void EntryAccounts_Release(Entry *entry, const Request *request, TimeUs now);

/** Fingerprints that crashed endpoints. */
Suspects *EntrySuspects_New(void);
void EntrySuspects_Free(Suspects *suspects);
uint64_t EntrySuspects_Version(const Suspects *suspects);
void EntrySuspects_Set(Suspects *suspects, const Wire__Quarantine *list);
/** @param alone  set when the request must run with nothing beside it.
 * @return true when the fingerprint is quarantined. */
bool EntrySuspects_Check(const Suspects *suspects, uint64_t fingerprint,
                         bool *alone);

/** Callers' HTTP. */
int EntryCaller_Listen(Entry *entry, Error *err);
void EntryCaller_Close(Entry *entry);
/** The request has been answered; the connection may carry another one. */
void EntryCaller_Detach(Request *request);
/** Fills account, route, body and work from the HTTP request.
 * @return NULL, or why the request is refused. */
const HttpError *EntryReader_Read(Request *request);

/** Answer on its way to the caller. */
void EntryAnswer_Head(Request *request, const Wire__AnswerHead *head);
void EntryAnswer_Piece(Request *request, const Wire__AnswerPiece *piece,
                       size_t skip);
void EntryAnswer_Finish(Request *request, bool recorded);
void EntryAnswer_SendStored(Request *request, const Wire__CommandReply *reply);
/** Gives the error, or cuts an answer that has begun. */
void EntryAnswer_Fail(Request *request, const HttpError *error);
/** Sends the acks that are due. */
void EntryAnswer_Tick(Entry *entry);

/** Life of a request. */
void Request_Begin(Request *request);
void Request_Claimed(Request *request, LifeClaimResult claim,
                     const Wire__CommandReply *reply);
void Request_Recorded(Request *request);
void Request_OnFrame(Entry *entry, Peer *peer, const Wire__Frame *frame);
void Request_OnPeer(Entry *entry, Peer *peer, bool up);
void Request_CallerGone(Request *request);
/** Sheds the newest waiting request of a tier below @p tier. */
bool Request_ShedBelow(Entry *entry, uint32_t tier);
void Request_Free(Request *request);
json_t *Request_Dump(const Entry *entry, uint32_t most);

/** Frames of a request to agents. */
int EntrySend_Want(Request *request, Peer *peer);
int EntrySend_Dispatch(Request *request, Peer *peer, uint64_t grant_id);
void EntrySend_Withdraw(Request *request, LifeAgent agent);
void EntrySend_Cancel(Request *request, LifeAgent agent);
/** Tells the runner that all bytes before @p offset have been passed on. */
void EntrySend_Ack(Request *request, uint64_t offset);
/** The end of the answer has come: the agent may forget it. */
void EntrySend_LastAck(Peer *peer, const Wire__AnswerEnd *end);
void EntrySend_Resume(Request *request, const LifeAction *action);

/** Queues a frame to an agent; bytes to another region are counted. */
int EntryPeers_Send(Peer *peer, const Wire__Frame *frame);

/** Counters by tier. */
void EntryCounters_Request(uint32_t tier);
void EntryCounters_Refused(const char *reason, uint32_t tier);
void EntryCounters_Finished(const char *outcome, uint32_t tier);

/** The answer that a failure gets. */
HttpError EntryErrors_Of(const LifeAction *action);

#endif
