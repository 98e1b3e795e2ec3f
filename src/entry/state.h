/** @file
 * Private header of the entry: types and functions that its modules share.
 */
#ifndef LAURELLIFT_ENTRY_STATE_H
#define LAURELLIFT_ENTRY_STATE_H

#include <event2/buffer.h>
#include <event2/event_struct.h>
#include <glib.h>
#include <xxhash.h>

#include "entry/lease.h"
#include "entry/life.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "rules/rules.h"
#include "sched/limits.h"
#include "sched/place.h"
#include "server/http.h"
#include "wire/identity.h"
#include "wire/link.h"

#define ENTRY_PART "entry"
/** Maximum length of an answer that is buffered until it is complete. */
#define ENTRY_BUFFERED_ANSWER_MAX_BYTES (4u * 1024 * 1024)

typedef struct Entry Entry;
typedef struct Request Request;
typedef struct ClaimClient ClaimClient;
typedef struct ClaimCommand ClaimCommand;
typedef struct Accounts Accounts;
typedef struct Suspects Suspects;

/** An agent and the link to it. */
typedef struct Peer {
    Entry *entry;
    uint64_t number; /**< Identifies the peer in Life; never reused. */
    char *name;
    uint64_t incarnation;
    Link *link;
    PlaceHandle place;
    bool other_region;
    uint32_t listed_by; /**< Hosts that list it: bits by ControlHost.id. */
} Peer;

/** A request from its receipt to its end. */
struct Request {
    Entry *entry;
    Life life;
    WorkSpec work;
    HttpRequest *http; /**< NULL once it is answered or its connection is
                          closed. */
    struct event timer;
    TimeUs timer_fires_at; /**< TIME_NEVER if the timer is not set. */
    TimeUs received_at;    /**< 0 until Request_Begin. */
    GList waiting;         /**< Node in Entry.waiting until the dispatch. */
    bool is_waiting;
    char *request_id; /**< Echoed as X-Request-Id. */
    char *account;
    uint32_t account_row; /**< Row in the limit table; UINT32_MAX: none. */
    char *method;
    char *path;
    char *model;
    char *service;
    char *content_type;
    char *idempotency_key;        /**< NULL if the route is idempotent. */
    uint64_t body_hash;           /**< Hash of account, path and body. */
    struct evbuffer *body_buffer; /**< Holds the body; NULL once it is not
                                     needed. */
    const char *body;
    size_t body_length;
    uint32_t answer_status;
    char *answer_type;
    bool buffers_answer; /**< The answer is sent only when it is complete. */
    bool head_sent;      /**< The head was sent to the caller. */
    GByteArray *answer_buffer; /**< Received body; NULL if streamed. */
    uint64_t acked_bytes;      /**< Offset of the last ack to the agent. */
    bool ack_due;              /**< The request is in Entry.ack_due. */
    bool answer_overflow;      /**< The body exceeds the buffer limit. */
    XXH3_state_t *hash;        /**< Hash of the body; NULL before the head. */
    uint32_t piece_count;
    ClaimCommand *command; /**< Command that awaits its reply, or NULL. */
    TimeUs dispatched_at;  /**< 0 before the dispatch and after its end was
                              reported to placement. */
    TimeUs first_piece_at; /**< 0 before the first piece. */
};

/** A control host and the link to it. */
typedef struct ControlHost {
    Entry *entry;
    uint32_t id; /**< Replica number. */
    Link *link;
    uint64_t members_version; /**< Version of its last member list. */
    GHashTable *entries; /**< Names of the entries that this host lists and
                            that are not draining (set of char *). */
} ControlHost;

struct Entry {
    const Settings *settings;
    TaskHandle task;
    struct event_base *base;
    LinkIdentity self;
    ReaderLimits limits; /**< Of callers' requests. */
    HttpServer *http;
    PlaceTable *places;
    Accounts *accounts;
    GHashTable *peers;           /**< Name -> Peer */
    GHashTable *peers_by_number; /**< Peer.number -> Peer */
    GPtrArray *peers_by_place;   /**< PlaceHandle.index -> Peer */
    uint64_t last_peer_number;   /**< Last assigned Peer.number. */
    GHashTable *requests;        /**< RequestId -> Request */
    GQueue waiting[WORK_TIERS];  /**< Undispatched requests, oldest first. */
    GPtrArray *ack_due;          /**< Requests with unacknowledged bytes. */
    ClaimClient *claims;
    Suspects *suspects;
    GPtrArray *hosts;         /**< ControlHost */
    uint64_t last_request_id; /**< Last assigned RequestId.low. */
    Rules *rules;             /**< NULL until the first rules are received. */
    char *rules_text;         /**< Text that rules was parsed from. */
    bool needs_full_rules; /**< The last delta did not apply; request the full
                         text. */
    Lease lease;
    TimeUs next_lease_round_at;     /**< Start of the next lease round. */
    TimeUs next_members_request_at; /**< Time of the next member request. */
    struct event *tick;
    uint32_t tick_count; /**< Number of timer ticks since the start. */
    bool draining;
    TimeUs answer_all_at; /**< Last moment to answer callers of a stop. */
};

/* ---- control.c: links to control hosts ---- */

/** Opens links to all control hosts. */
int EntryControl_Open(Entry *entry, Error *err);
void EntryControl_Close(Entry *entry);
void EntryControl_Tick(Entry *entry, TimeUs now);
bool EntryControl_HasLease(const Entry *entry, TimeUs now);
/** Announces this entry and whether it is draining to all control hosts. */
void EntryControl_SendPresence(Entry *entry);

/* ---- rules.c ---- */

/** Requests newer rules than the current version from a control host. */
void EntryRules_Request(Entry *entry, Link *link);
/** Handles rules from a control host.
 * @return true if newer rules are now in force. */
bool EntryRules_OnRules(Entry *entry, const Wire__Rules *message);
void EntryRules_Free(Entry *entry);

/* ---- claims.c: claim commands to control ---- */
ClaimClient *EntryClaims_New(Entry *entry);
void EntryClaims_Free(ClaimClient *client);
/** Requests the claim of a request. Request_OnClaim reports the reply.
 * @return ERR_FULL if too many commands are pending. */
int EntryClaims_RequestClaim(ClaimClient *client, Request *request);
/** Records the outcome of a claim. Request_OnRecorded reports the reply. */
void EntryClaims_Record(ClaimClient *client, Request *request,
                        LifeClaimOutcome record);
/** Separates a request that is about to be freed from its command, which is
 * still resent. */
void EntryClaims_Detach(Request *request);
void EntryClaims_OnReply(ClaimClient *client, const Wire__CommandReply *reply);
void EntryClaims_Tick(ClaimClient *client, TimeUs now);
uint32_t EntryClaims_PendingCount(const ClaimClient *client);

/* ---- peers.c: links to agents ---- */

/** Updates the set of agents from a control host's member list. */
void EntryPeers_Update(Entry *entry, ControlHost *host,
                       const Wire__Members *members);
void EntryPeers_Close(Entry *entry);
Peer *EntryPeers_ByPlace(Entry *entry, PlaceHandle place);
Peer *EntryPeers_ByNumber(Entry *entry, uint64_t number);
json_t *EntryPeers_Dump(Entry *entry);

/* ---- accounts.c: account limits ---- */
Accounts *EntryAccounts_New(void);
void EntryAccounts_Free(Accounts *accounts);
/** Admits or refuses a request according to the limits of its account.
 * @param retry_after_ms  set if the request is refused. */
bool EntryAccounts_Admit(Entry *entry, const RulesAccount *account,
                         Request *request, TimeUs now,
                         uint32_t *retry_after_ms);
void EntryAccounts_Release(Entry *entry, const Request *request, TimeUs now);

/* ---- suspects.c: request fingerprints that crashed endpoints ---- */
Suspects *EntrySuspects_New(void);
void EntrySuspects_Free(Suspects *suspects);
uint64_t EntrySuspects_Version(const Suspects *suspects);
void EntrySuspects_Set(Suspects *suspects, const Wire__Quarantine *list);
/** Looks up the subjects of a request.
 * @param alone  set to whether the request is suspect. The endpoint of a
 * suspect request may run no other one at the same time.
 * @return true if the request or a part of its prompt is quarantined. */
bool EntrySuspects_Check(const Suspects *suspects, const Subjects *subjects,
                         bool *alone);

/* ---- caller.c, reader.c: HTTP requests from callers ---- */
int EntryCaller_Listen(Entry *entry, Error *err);
void EntryCaller_Close(Entry *entry);
/** Separates a request from its connection, which may then carry another
 * request. */
void EntryCaller_Detach(Request *request);
/** Judges a request by its head. Needs rules.
 * @return NULL, or the error to reply with. */
const HttpError *EntryReader_CheckHead(const Entry *entry, const H1Head *head);
/** Fills @p request from its HTTP request.
 * @return NULL, or the error to reply with. */
const HttpError *EntryReader_Read(Request *request);

/* ---- answer.c: answers to callers ---- */

void EntryAnswer_SendHead(Request *request, const Wire__AnswerHead *head);
/** Sends or buffers a piece of the answer.
 * @param skip  number of leading bytes that were received before. */
void EntryAnswer_SendPiece(Request *request, const Wire__AnswerPiece *piece,
                           size_t skip);
void EntryAnswer_Finish(Request *request, bool recorded);
void EntryAnswer_SendStored(Request *request, const Wire__CommandReply *reply);
/** Replies with an error, or closes the connection if the head of the answer
 * was already sent. */
void EntryAnswer_Fail(Request *request, const HttpError *error);
/** Sends the pending acks to agents. */
void EntryAnswer_SendAcks(Entry *entry);

/* ---- request.c, dump.c ---- */

/** Starts a request that was read and admitted. Any Request function that
 * passes an event to the state machine frees the request if it ends. */
void Request_Begin(Request *request);
void Request_OnClaim(Request *request, LifeClaimResult claim,
                     const Wire__CommandReply *reply);
void Request_OnRecorded(Request *request);
void Request_OnFrame(Entry *entry, Peer *peer, const Wire__Frame *frame);
/** Handles a connected or disconnected link to an agent. */
void Request_OnLink(Entry *entry, Peer *peer, bool connected);
void Request_OnCallerDisconnect(Request *request);
/** Sheds the newest waiting request of the lowest tier below @p tier.
 * @return false if no such request is waiting. */
bool Request_ShedBelow(Entry *entry, uint32_t tier);

/** Answers all requests that have no complete answer, since the entry ends
 * soon: as not run, or with an unknown outcome. */
void Request_AnswerAll(Entry *entry);
/** Frees the body, which is not needed again once it was dispatched. */
void Request_DropBody(Request *request);
void Request_Free(Request *request);
json_t *Request_Dump(const Entry *entry, uint32_t max_count);

/* ---- send.c: frames to agents ---- */
int EntrySend_Want(Request *request, Peer *peer);
int EntrySend_Dispatch(Request *request, Peer *peer, uint64_t grant_id);
void EntrySend_Withdraw(Request *request, LifeAgent agent);
void EntrySend_Cancel(Request *request, LifeAgent agent);
/** Acknowledges all bytes before @p offset to the agent that runs the
 * request. */
void EntrySend_Ack(Request *request, uint64_t offset);
/** Acknowledges the whole answer, so that the agent can discard it. */
void EntrySend_LastAck(Peer *peer, const Wire__AnswerEnd *end);
void EntrySend_Resume(Request *request, const LifeAction *action);

/** Queues a frame on the link to an agent. Counts the bytes if the agent is in
 * another region. */
int EntryPeers_Send(Peer *peer, const Wire__Frame *frame);

/* ---- counters.c: metrics by tier ---- */
void EntryCounters_CountRequest(uint32_t tier);
void EntryCounters_CountRefused(const char *reason, uint32_t tier);
void EntryCounters_CountFinished(const char *outcome, uint32_t tier);

/** Returns the HTTP error for a LIFE_DO_FAIL action. */
HttpError EntryErrors_FromAction(const LifeAction *action);

#endif
