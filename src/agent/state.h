/** @file
 * State of an agent task, shared by the modules of this package.
 */
#ifndef LAURELLIFT_AGENT_STATE_H
#define LAURELLIFT_AGENT_STATE_H

#include <event2/http.h>
#include <glib.h>

#include "agent/cache.h"
#include "agent/run_input.h"
#include "agent/wants.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "sched/queue.h"
#include "sched/run_history.h"
#include "server/http.h"
#include "wire/http.h"
#include "wire/identity.h"
#include "wire/link.h"

#define AGENT_PART "agent"
#define ENDPOINT_TEXT_BYTES 65
#define COMMAND_ID_BYTES 16

typedef struct Run Run;
typedef struct Answer Answer;
typedef struct Orders Orders;
typedef struct CrashWatch CrashWatch;
typedef struct AgentWithdrawal AgentWithdrawal;

/** State of the endpoint, from its announcements and reports. */
typedef struct Endpoint {
    bool announced;
    bool leaving;          /**< Set by the last announcement. */
    bool leaving_reported; /**< Set by /v1/leaving; cleared by a restart. */
    bool checks_fencing;
    bool is_engine;
    char service[ENDPOINT_TEXT_BYTES];
    /** Boot id, which differs at each start; empty if not announced. */
    char boot[ENDPOINT_TEXT_BYTES];
    char version[ENDPOINT_TEXT_BYTES];
    GPtrArray *models;     /**< of char * */
    uint32_t slots;        /**< Announced number. */
    uint32_t usable_slots; /**< Announced number, reduced by load reports. */
    TimeUs last_seen_at;   /**< Time of the last announcement. */
    uint64_t load_sequence;
    uint64_t cache_sequence;
    uint32_t reported_running;
    uint32_t reported_queued;
    double kv_free; /**< Free fraction of the KV cache; -1 if unknown. */
} Endpoint;

typedef struct Agent {
    const Settings *settings;
    const SettingsAgent *own; /**< The settings of this agent. */
    TaskHandle task;
    struct event_base *base;
    LinkIdentity self;
    LinkServer *entry_server;
    GHashTable *entry_links; /**< Token -> connected Link. */
    uint64_t next_token;
    GPtrArray *control_links;
    HttpServer *http;
    Address endpoint_address;
    Endpoint endpoint;
    WantQueue *queue;
    WantTable *wants;
    PrefixCache *cache;
    /** Number of grants and dispatches so far, an upper bound of the number of
     * ended ids that the queue has stored. */
    uint64_t ended_id_bound;
    GHashTable *runs;     /**< RequestId -> Run */
    GHashTable *answers;  /**< RequestId -> Answer */
    GQueue ended_answers; /**< of Answer, oldest first */
    size_t unacked_bytes; /**< Unacknowledged bytes of all answers. */
    size_t unacked_max;   /**< Bound of these. */
    RunInputs inputs;
    GPtrArray
        *answers_due; /**< of Answer, whose short pieces are to be sent */
    struct event *send_due; /**< sends them after the current event */
    bool answers_blocked;   /**< The send queue of a link was full. */
    bool bad_rate_logged; /**< An answer named a limit that cannot be read. */
    Orders *orders;
    CrashWatch *crashes;
    AgentWithdrawal *withdrawal;
    GHashTable *suspects; /**< Fingerprint -> SuspectFlag bits. */
    uint64_t quarantine_version;
    TimeUs quarantine_requested_at;
    struct event *tick;
    struct event *report;
    TimeUs last_tick_at;
    /** Start of the planned stop or, if later, end of the last run. */
    TimeUs idle_since;
    uint64_t report_sequence;
    uint64_t report_hash; /**< Hash of the last report without its sequence. */
    TimeUs report_sent_at;
    TimeUs presence_sent_at; /**< Time of the last Presence to control. */
    bool leaving;            /**< The queue grants no new requests. */
    bool draining;           /**< A planned stop has begun. */
    bool goodbye_sent;
    bool drained_by_order; /**< Set by the orders drain and undrain. */
} Agent;

/** Updates the leaving state and, if the last tick is too old, expires grants
 * and wants. Must be called before a frame is handled, so that a process that
 * was suspended expires its grants first. */
void Agent_Refresh(Agent *agent, TimeUs now);

/** Maximum number of waiting wants. */
#define AGENT_WANTS_MAX 4096
/** Maximum number of ended ids that the queue stores. */
#define AGENT_ENDED_IDS_MAX 8192

/** Listens for links from entries. */
int AgentLinks_Open(Agent *agent, Error *err);
void AgentLinks_Close(Agent *agent);
void AgentLinks_SendState(Agent *agent);
void AgentLinks_SendGoodbye(Agent *agent);

/** Sends the grants and refusals that the queue has decided. */
void AgentLinks_FlushQueue(Agent *agent);

/** Sends a frame to the entry whose link has this token.
 * @return ERR_UNAVAILABLE if the link is disconnected. */
int AgentLinks_Send(Agent *agent, uint64_t token, const Wire__Frame *frame);

/** Returns the number that identifies an entry's link. */
uint64_t AgentLinks_Token(const Link *link);

/** Opens the links to the control hosts. */
int AgentControl_Open(Agent *agent, Error *err);
void AgentControl_Close(Agent *agent);
void AgentControl_SendPresence(Agent *agent);
void AgentControl_Tick(Agent *agent);
/** Sends a frame to all control hosts. */
void AgentControl_SendAll(Agent *agent, const Wire__Frame *frame);
/** Returns true if control has quarantined the request or a part of its
 * prompt.
 */
bool AgentControl_IsQuarantined(const Agent *agent, const Subjects *subjects);
/** Adds the suspects listed by control to a state dump. */
void AgentControl_Dump(const Agent *agent, json_t *out);
/** Returns true if control lists the fingerprint as in flight at a crash. */
bool AgentControl_IsSuspected(const Agent *agent, uint64_t fingerprint);
/** Returns true if control lists the part of a prompt as in flight at crashes.
 */
bool AgentControl_IsListedPart(const Agent *agent, uint64_t part);
/** Copies the subjects of a want or dispatch, SUBJECT_PARTS_MAX parts at most.
 */
Subjects AgentLinks_ReadSubjects(uint64_t fingerprint, const uint64_t *parts,
                                 size_t count);

/** Runs a dispatched request, or replies why it does not run. */
void AgentDispatch_OnDispatch(Agent *agent, Link *link,
                              const Wire__Dispatch *dispatch);

/** Starts a dispatched request on the endpoint. */
void AgentRun_Start(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
                    enum evhttp_cmd_type method);
/** Closes the run's connection and ends the answer as cancelled.
 * @param why  detail of the end, sent to the entry. */
void AgentRun_Cancel(Run *run, const char *why);
/** Returns whether an endpoint's status is that of a final answer. evhttp
 * passes on any number but 0, and interim answers other than 100 as if they
 * were final. */
bool AgentRun_IsFinalStatus(int status);
/** Pauses or resumes reading from the endpoint. */
void AgentRun_SetReading(Run *run, bool reading);
void AgentRun_Tick(Agent *agent, TimeUs now);
void AgentRun_FreeAll(Agent *agent);
void AgentRun_Dump(const Agent *agent, json_t *out);

/** Creates the answer of a run. It is stored for resends to the entry of
 * @p link. */
Answer *AgentAnswer_New(Agent *agent, Link *link, Run *run,
                        const Wire__Dispatch *dispatch);
void AgentAnswer_SetHead(Answer *answer, uint32_t status, const char *type);
/** Sends the short pieces that arrived during the last event. */
void AgentAnswer_SendDue(Agent *agent);
void AgentAnswer_AddPiece(Answer *answer, const uint8_t *data, size_t length);
void AgentAnswer_End(Answer *answer, Wire__EndOutcome outcome,
                     const char *detail, uint32_t cached_tokens);
/** Returns true if so much is unacknowledged that the run must stop reading
 * from the endpoint. */
bool AgentAnswer_IsFull(const Answer *answer);
/** Returns true if the request is idempotent and its entry has been
 * disconnected for longer than resume_ms. */
bool AgentAnswer_IsAbandoned(const Answer *answer, TimeUs now);
bool AgentAnswer_HasHead(const Answer *answer);
void AgentAnswer_OnAck(Agent *agent, Link *link, const Wire__AnswerAck *ack);
void AgentAnswer_OnResume(Agent *agent, Link *link,
                          const Wire__Resume *resume);
void AgentAnswer_OnCancel(Agent *agent, Link *link, RequestId id);
void AgentAnswer_SendUnknown(Link *link, RequestId id);
void AgentAnswer_OnOwnerDisconnected(Agent *agent, uint64_t token);
void AgentAnswer_Tick(Agent *agent, TimeUs now);
/** Returns true if every answer has been acknowledged completely. */
bool AgentAnswer_AllAcknowledged(const Agent *agent);
void AgentAnswer_Free(gpointer answer);

/** Opens the HTTP server for the endpoint's announcements and reports. */
int AgentEndpoint_Listen(Agent *agent, Error *err);
/** Called when a withdrawal is recorded, or was not in time; it may be
 * recorded later in that case. */
typedef void (*WithdrawalDone)(void *arg, bool recorded);

AgentWithdrawal *AgentWithdrawal_New(Agent *agent);
/** Tells all waiters that their withdrawal is not recorded. */
void AgentWithdrawal_Free(AgentWithdrawal *withdrawal);
/** Records that the endpoint has left or is drained, or no longer, at the
 * control hosts.
 * @param done  may be NULL. */
void AgentWithdrawal_Record(AgentWithdrawal *withdrawal, WithdrawalDone done,
                            void *arg);
void AgentWithdrawal_OnReply(AgentWithdrawal *withdrawal,
                             const Wire__CommandReply *reply);
/** Applies the record after an announcement of the endpoint, or ends it if
 * that is of another start. */
void AgentWithdrawal_OnAnnounced(AgentWithdrawal *withdrawal);
/** Applies what a leading control host knows.
 * @param message  NULL if it knows of no withdrawal. */
void AgentWithdrawal_OnKnown(AgentWithdrawal *withdrawal,
                             const Wire__Withdrawal *message);
/** Returns false until it is known whether the endpoint is withdrawn, for a
 * bounded time after the agent's start. */
bool AgentWithdrawal_MayServe(const AgentWithdrawal *withdrawal);
void AgentWithdrawal_Tick(AgentWithdrawal *withdrawal, TimeUs now);

/** Returns true if the endpoint may be sent new requests now. */
bool AgentEndpoint_IsUsable(const Agent *agent, TimeUs now);

/** Reads a JSON object from a POST request.
 * @return NULL after an error response if there is none. */
json_t *AgentEndpoint_ReadJson(HttpRequest *request);
void AgentEndpoint_ReplyBad(HttpRequest *request, const char *message);

/** Registers the paths of load and cache reports at the HTTP server. */
void AgentReport_Listen(Agent *agent);
/** Clears the reported state after a restart of the endpoint. */
void AgentReport_Reset(Agent *agent);
/** Updates the prefix cache model after a completed run.
 * @param expected  number of leading blocks that the model held at the start.
 * @param tokens    cached tokens stated in the answer; -1 if not stated. */
void AgentReport_UpdateCache(Agent *agent, const WorkSpec *work,
                             uint32_t expected, int64_t tokens);

Orders *AgentOrders_New(Agent *agent);
void AgentOrders_Free(Orders *orders);
/** Checks an operator's order and carries it out or forwards it to the
 * endpoint. */
void AgentOrders_OnOrder(Orders *orders, Link *link, const Wire__Order *order);
/** Processes control's reply that states the fencing floor. */
void AgentOrders_OnFloor(Orders *orders, const Wire__FenceReply *reply);
/** Requests the fencing floor from control until it is known. */
/** Asks the control hosts for the fencing floor and the withdrawal. */
void AgentOrders_RequestFloor(Orders *orders);
void AgentOrders_Tick(Orders *orders);
void AgentOrders_Dump(const Orders *orders, json_t *out);

CrashWatch *AgentCrash_New(Agent *agent);
void AgentCrash_Free(CrashWatch *watch);
/** Records the end of a run that the endpoint may have begun. */
void AgentCrash_OnRunEnded(CrashWatch *watch, const EndedRun *run);
/** Reports a crash, if there are suspects, because the endpoint refused a
 * connection. */
void AgentCrash_OnRefused(CrashWatch *watch);
/** Processes an announcement of the endpoint.
 * @param restarted  the boot id differs from the previous one. */
void AgentCrash_OnAnnounced(CrashWatch *watch, bool restarted);
void AgentCrash_OnReply(CrashWatch *watch, const Wire__CommandReply *reply);
void AgentCrash_Tick(CrashWatch *watch, TimeUs now);
void AgentCrash_Dump(const CrashWatch *watch, json_t *out);

/** Fills in the state dump of the task. */
void AgentDump_Fill(const Agent *agent, json_t *out);

static inline Wire__RequestId
agent_wire_id(RequestId id)
{
    Wire__RequestId wire = WIRE__REQUEST_ID__INIT;
    wire.high = id.high;
    wire.low = id.low;
    return wire;
}

#endif
