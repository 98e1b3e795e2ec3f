/** @file
 * State of an agent task, shared by the modules of this package.
 */
#ifndef LAURELLIFT_AGENT_STATE_H
#define LAURELLIFT_AGENT_STATE_H

#include <event2/http.h>
#include <glib.h>

#include "agent/cache.h"
#include "agent/wants.h"
#include "kernel/settings.h"
#include "kernel/task.h"
#include "sched/queue.h"
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

/** What the endpoint said of itself. */
typedef struct Endpoint {
    bool announced;
    bool leaving;      /**< As the announcement says. */
    bool told_leaving; /**< By /v1/leaving; ends with the next boot. */
    bool checks_fencing;
    bool is_engine;
    char service[ENDPOINT_TEXT_BYTES];
    char boot[ENDPOINT_TEXT_BYTES]; /**< Differs at each start; optional. */
    char version[ENDPOINT_TEXT_BYTES];
    GPtrArray *models;     /**< of char * */
    uint32_t slots;        /**< Announced. */
    uint32_t usable_slots; /**< Calibrated by load reports. */
    TimeUs last_seen_at;   /**< Last announcement. */
    uint64_t load_sequence;
    uint64_t cache_sequence;
    uint32_t reported_running;
    uint32_t reported_queued;
    double kv_free; /**< Share of the KV cache that is free; -1: unknown. */
} Endpoint;

typedef struct Agent {
    const Settings *settings;
    const SettingsAgent *own;
    TaskHandle task;
    struct event_base *base;
    LinkIdentity self;
    LinkServer *entries;
    GHashTable *entry_links; /**< Token -> Link, of links that are up. */
    uint64_t next_token;
    GPtrArray *control_links;
    struct evhttp *http;
    Address endpoint_address;
    Endpoint endpoint;
    WantQueue *queue;
    WantTable *wants;
    PrefixCache *cache;
    uint64_t
        ended_id_bound; /**< Grants and dispatches: at least the tombstones. */
    GHashTable *runs;   /**< RequestId -> Run */
    GHashTable *answers;  /**< RequestId -> Answer */
    GQueue ended_answers; /**< of Answer, oldest first */
    size_t kept_bytes;    /**< Unacknowledged, of all answers. */
    bool answers_behind;  /**< Some link took no more frames. */
    Orders *orders;
    CrashWatch *crashes;
    GHashTable *suspects; /**< Fingerprint -> QuarantineEntry flags. */
    uint64_t quarantine_version;
    TimeUs quarantine_asked_at;
    struct event *tick;
    struct event *report;
    TimeUs ticked_at;
    TimeUs idle_since; /**< While draining: when the last run ended. */
    uint64_t report_sequence;
    uint64_t report_hash; /**< Of the last report, without its sequence. */
    TimeUs reported_at;
    TimeUs presence_at; /**< When control was last told. */
    bool leaving;       /**< No new work is granted. */
    bool draining;      /**< A planned stop has begun. */
    bool said_goodbye;  /**< The planned stop is all but over. */
    bool drained_by_order;
} Agent;

/** Brings the agent's view of time up to date: leaving, grants, wants. It
 * runs before frames are handled, so that a process that was frozen expires
 * its grants first. */
void Agent_Refresh(Agent *agent, TimeUs now);

/** Largest number of wants that wait at one time. */
#define AGENT_WANTS_MAX 4096
/** Refused and ended requests that the queue remembers. */
#define AGENT_ENDED_IDS_MAX 8192

/** Links to entries. */
int AgentLinks_Open(Agent *agent, Error *err);
void AgentLinks_Close(Agent *agent);
void AgentLinks_SendState(Agent *agent);
void AgentLinks_SayGoodbye(Agent *agent);

/** Carries out what the queue decided. */
void AgentLinks_FlushQueue(Agent *agent);

/** Sends a frame to the entry of this token; ERR_UNAVAILABLE when gone. */
int AgentLinks_Send(Agent *agent, uint64_t token, const Wire__Frame *frame);

/** The number that names an entry's link. */
uint64_t AgentLinks_Token(const Link *link);

/** Links to control hosts. */
int AgentControl_Open(Agent *agent, Error *err);
void AgentControl_Close(Agent *agent);
void AgentControl_SendPresence(Agent *agent);
void AgentControl_Tick(Agent *agent);
/** Sends a frame to all control hosts. */
void AgentControl_SendAll(Agent *agent, const Wire__Frame *frame);
/** True when control has quarantined the fingerprint. */
bool AgentControl_Quarantined(const Agent *agent, uint64_t fingerprint);
/** Adds the suspects that control named to a dump. */
void AgentControl_Dump(const Agent *agent, json_t *out);
/** True when the fingerprint was in flight at a crash. */
bool AgentControl_Suspected(const Agent *agent, uint64_t fingerprint);

/** Runs a dispatch that the queue granted, or says why not. */
void AgentDispatch_Take(Agent *agent, Link *link,
                        const Wire__Dispatch *dispatch);

/** Runs: requests on the endpoint. */
void AgentRun_Start(Agent *agent, Link *link, const Wire__Dispatch *dispatch,
                    enum evhttp_cmd_type method);
void AgentRun_Cancel(Run *run, const char *why);
void AgentRun_SetReading(Run *run, bool reading);
void AgentRun_Tick(Agent *agent, TimeUs now);
void AgentRun_FreeAll(Agent *agent);
void AgentRun_Dump(const Agent *agent, json_t *out);

/** Answers: what runs produced, until their entries acknowledged it. */
Answer *AgentAnswer_New(Agent *agent, Link *link, Run *run,
                        const Wire__Dispatch *dispatch);
void AgentAnswer_Head(Answer *answer, uint32_t status, const char *type);
void AgentAnswer_Piece(Answer *answer, const uint8_t *data, size_t length);
void AgentAnswer_End(Answer *answer, Wire__EndOutcome outcome,
                     const char *detail, uint32_t cached_tokens);
/** True while the run is to stop reading from the endpoint. */
bool AgentAnswer_Full(const Answer *answer);
/** True when the answer may be dropped: its entry stayed away too long and
 * the request is idempotent. */
bool AgentAnswer_Abandoned(const Answer *answer, TimeUs now);
bool AgentAnswer_HasHead(const Answer *answer);
void AgentAnswer_OnAck(Agent *agent, Link *link, const Wire__AnswerAck *ack);
void AgentAnswer_OnResume(Agent *agent, Link *link,
                          const Wire__Resume *resume);
void AgentAnswer_OnCancel(Agent *agent, Link *link, RequestId id);
void AgentAnswer_SendUnknown(Link *link, RequestId id);
void AgentAnswer_OwnerGone(Agent *agent, uint64_t token);
void AgentAnswer_Tick(Agent *agent, TimeUs now);
/** True when every answer has been acknowledged to its end. */
bool AgentAnswer_AllTaken(const Agent *agent);
void AgentAnswer_Free(gpointer answer);

/** The endpoint's announcements over HTTP. */
int AgentEndpoint_Listen(Agent *agent, Error *err);
bool AgentEndpoint_Usable(const Agent *agent, TimeUs now);

/** Reads a JSON object from a request, or answers 400 and returns NULL. */
json_t *AgentEndpoint_ReadJson(struct evhttp_request *request);
void AgentEndpoint_ReplyBad(struct evhttp_request *request,
                            const char *message);

/** The endpoint's load and cache reports over HTTP. */
void AgentReport_Listen(Agent *agent);
/** Forgets what earlier reports said: the endpoint has restarted. */
void AgentReport_Reset(Agent *agent);
/** Learns from a run which blocks the endpoint holds now.
 * @param expected  blocks that were thought cached before the run.
 * @param tokens    cached tokens that the answer stated; -1: none stated. */
void AgentReport_Learn(Agent *agent, const WorkSpec *work, uint32_t expected,
                       int64_t tokens);

/** Operators' orders to the endpoint. */
Orders *AgentOrders_New(Agent *agent);
void AgentOrders_Free(Orders *orders);
void AgentOrders_OnOrder(Orders *orders, Link *link, const Wire__Order *order);
void AgentOrders_OnFloor(Orders *orders, const Wire__FenceReply *reply);
/** Asks for the floor while it is unknown. */
void AgentOrders_Tick(Orders *orders);
void AgentOrders_Dump(const Orders *orders, json_t *out);

/** Crashes of the endpoint. */
CrashWatch *AgentCrash_New(Agent *agent);
void AgentCrash_Free(CrashWatch *watch);
/** A run's connection broke after the endpoint had the request. */
void AgentCrash_Suspect(CrashWatch *watch, uint64_t fingerprint);
/** A suspect ran alone to its end: control is told to clear it. */
void AgentCrash_RanAlone(CrashWatch *watch, uint64_t fingerprint);
/** The endpoint refused a connection. */
void AgentCrash_Refused(CrashWatch *watch);
/** The endpoint announced itself. @p restarted: with another boot id. */
void AgentCrash_Announced(CrashWatch *watch, bool restarted);
void AgentCrash_OnReply(CrashWatch *watch, const Wire__CommandReply *reply);
void AgentCrash_Tick(CrashWatch *watch, TimeUs now);
void AgentCrash_Dump(const CrashWatch *watch, json_t *out);

/** State dump of the task. */
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
