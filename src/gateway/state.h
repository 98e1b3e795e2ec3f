/** @file
 * Types and functions that the gateway's sources share.
 */
#ifndef LAURELLIFT_GATEWAY_STATE_H
#define LAURELLIFT_GATEWAY_STATE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "gateway/conn.h"
#include "gateway/endpoints.h"
#include "gateway/events.h"
#include "gateway/gateway.h"
#include "gateway/held.h"
#include "gateway/origins.h"
#include "gateway/rollouts.h"
#include "gateway/run_times.h"
#include "http1/parser.h"
#include "kernel/clock.h"
#include "sched/bucket.h"
#include "sched/held_bytes.h"
#include "sched/subjects.h"
#include "wire/link.h"

#define GATEWAY_PART "gateway"
/* Status of an instance that is not the one that a request names. */
#define HTTP_OTHER_INSTANCE 421
#define HTTP_UNAVAILABLE 503

typedef struct Conn Conn;
typedef struct Call Call;
typedef struct Upstream Upstream;
typedef struct Endpoint Endpoint;
typedef struct ServiceQueue ServiceQueue;
typedef struct GatewayControl GatewayControl;
typedef struct Quotas Quotas;
typedef struct Retries Retries;
typedef struct Keepers Keepers;
typedef struct Suspects Suspects;
typedef struct Zones Zones;
typedef struct QuotaDecision QuotaDecision;

struct Gateway {
    TaskHandle task;
    struct event_base *base;
    const GatewayOptions *options;
    LinkIdentity self;
    struct evconnlistener *listener;
    RouteTable *table; /* configuration in force; NULL before the first */
    /* End of the lease: until then no newer table can be in force. */
    TimeUs lease_until;
    /* Gateways connected to the leader, as it last reported; 0 before. */
    uint32_t gateway_count;
    Directory *directory;
    GHashTable *endpoints; /* endpoint id -> Endpoint */
    GHashTable *queues;    /* service name -> ServiceQueue */
    GHashTable *conns;     /* set of Conn */
    GatewayControl *control;
    Quotas *quotas;
    Retries *retries;
    RunTimes *run_times;
    Held *held; /* NULL without a bound */
    Keepers *keepers;
    Suspects *suspects;
    Origins *origins;
    Zones *zones;              /* NULL in tests of other parts */
    GHashTable *pace_services; /* service name -> PaceService; NULL at first */
    Rollouts *rollouts;
    uint64_t last_want_id;
    uint64_t last_question_id;
    uint64_t last_connection; /* number of the newest one to an endpoint */
    GQueue held_calls;   /* Calls that wait for a configuration or lease */
    unsigned call_count; /* number of unfinished calls */
    size_t answer_bytes; /* of answers that are buffered until complete */
    bool stopping;       /* a planned stop has begun */
    TimeUs stop_started_at;
    struct event *stop_timer;
    struct event *fail_barred_event; /* NULL before the first use */
};

/* ---- endpoint_socket.c ---- */

/* Creates a socket for a connection to the endpoint.
 * @param address  set to the endpoint's address.
 * @return a file descriptor, or -1; why is logged. */
evutil_socket_t EndpointSocket_New(const Endpoint *endpoint, Address *address);

/* Returns the kernel's measurement of the handshake in us, or 0. The event
 * loop would add the load of this process. */
uint32_t EndpointSocket_RoundTrip(evutil_socket_t fd);

/* Returns the bytes that were written and that the endpoint has not received,
 * or 0 if that is not known. */
size_t EndpointSocket_UnackedBytes(evutil_socket_t fd);

/* ---- upstream.c: connections to endpoints ---- */

typedef enum UpstreamFailure {
    UPSTREAM_REFUSED,  /* the endpoint refused the connection */
    UPSTREAM_NOT_SENT, /* the connection was not established */
    UPSTREAM_BROKEN,   /* an established connection failed */
    UPSTREAM_INVALID,  /* the endpoint sent malformed HTTP */
} UpstreamFailure;

typedef struct UpstreamOps {
    void (*head)(void *owner, const H1Head *head);
    /* Body bytes; the owner drains them. */
    void (*body)(void *owner, struct evbuffer *body);
    /* Returns whether an answer may end after the body bytes so far. */
    bool (*may_end)(const void *owner);
    void (*done)(void *owner);
    void (*failed)(void *owner, UpstreamFailure failure, const char *why);
} UpstreamOps;

typedef struct UpstreamRequest {
    struct evbuffer *bytes;   /* head and body; Upstream_Send drains them */
    const char *id;           /* the answer must carry the same request id */
    const Subjects *subjects; /* of the request */
    /* Use a new connection, or one idle for so short a time that the endpoint
     * cannot have closed it. */
    bool require_live;
    bool head_only; /* the answer has no body */
    bool resumed;   /* asks for the rest of a stream */
    /* Numbers (uint64_t) of the connections that have carried the id, which
     * are not used again: a late answer to an earlier attempt would be taken
     * for the answer to this one. */
    const GArray *carried_by;
} UpstreamRequest;

/* Sends a request on an idle or new connection.
 * @return NULL when no connection could be started. */
Upstream *Upstream_Send(Endpoint *endpoint, const UpstreamRequest *request,
                        const UpstreamOps *ops, void *owner);

/* Returns the number of the connection, which no other one of the gateway
 * has. */
uint64_t Upstream_Number(const Upstream *upstream);

/* Returns the time from which the run time of the request counts: when it was
 * sent over an established connection, and the round trip of its endpoint
 * later, so that it does not depend on the distance. */
TimeUs Upstream_BegunAt(const Upstream *upstream);

/* Closes the connection and frees it; no callback follows. */
void Upstream_Cancel(Upstream *upstream);

/* Detaches the owner: no callback follows, and the answer is read to its end
 * and discarded. An answer that has not ended at @p until, or is too long, is
 * cut off. */
void Upstream_Abandon(Upstream *upstream, TimeUs until);

/* Stops or resumes reading, for flow control towards the caller. */
void Upstream_Pause(Upstream *upstream, bool paused);

void Upstream_CloseIdle(Endpoint *endpoint);

/* ---- call.c, call_*.c: requests of callers ---- */

/* How the use of a granted slot ended. */
typedef enum SlotOutcome {
    SLOT_UNUSED,         /* returned before the request was sent */
    SLOT_NOT_SERVED,     /* unused, or the answer is incomplete */
    SLOT_SERVED,         /* the answer is complete */
    SLOT_OTHER_INSTANCE, /* the endpoint is gone; another has its address */
} SlotOutcome;

typedef enum CallState {
    CALL_WAITING, /* at no endpoint: before the first attempt or between two */
    CALL_DISPATCHED, /* sent to an endpoint; no byte sent to the caller */
    CALL_STREAMING,  /* a part of the stream was sent to the caller */
} CallState;

struct Call {
    Gateway *gateway;
    Conn *conn; /* NULL once the caller has disconnected */
    CallState state;
    char *id;
    char *method;
    char *target;
    char *host;
    char *key;      /* bearer token of the request, or NULL */
    GArray *fields; /* H1Field with strings that the call owns */
    struct evbuffer *body;
    RouteTable *table;
    const Route *route;
    const RouteAccount *account;
    const char *service;
    uint32_t tier; /* the account's tier, or the route's if it has none */
    uint32_t rank; /* the route's tier if the account has a tier, else 0 */
    double cost;   /* quota units taken from the account; 0 if none */
    struct QuotaQuestion *quota_question; /* pending; NULL if none */
    uint32_t prompt_tokens;
    uint32_t output_tokens;   /* longest output that the caller allows */
    uint32_t expected_tokens; /* output length that the caller expects */
    Subjects subjects;        /* the hash of the request is 0 until
                                 Call_Fingerprint computes it */
    TimeUs received_at;
    TimeUs caller_deadline; /* end of the time that the caller waits */
    TimeUs deadline;        /* earlier of the caller's and the route's; 0 until
                               admitted */
    struct event *timer;    /* end of a hold or quota delay, or the deadline */
    TimeUs held_until;      /* end of the only hold; 0 if it was never held */
    unsigned attempts;      /* attempts that count towards the route's limit */
    GPtrArray *failed_endpoints; /* ids of endpoints with failed attempts */
    bool maybe_ran;              /* an endpoint may have started to run it */
    Endpoint *endpoint;          /* endpoint of the current attempt, or NULL */
    char last_endpoint_id[64];   /* endpoint id of the newest attempt */
    char *last_software;         /* version of that endpoint's software */
    Upstream *upstream;
    GArray *carried_by;     /* numbers of the connections of all attempts */
    TimeUs sent_at;         /* start of the newest attempt */
    TimeUs first_output_at; /* time of the first event or complete answer */
    TimeUs last_event_at;   /* time of the newest event */
    TimeUs longest_event_gap;
    unsigned status; /* HTTP status of the answer */
    bool head_only;  /* a HEAD request */
    bool is_stream;  /* the answer is an event stream */
    struct evbuffer *answer_head;
    struct evbuffer *answer; /* body bytes not yet passed to the caller */
    size_t counted_bytes;    /* of answer, in Gateway.answer_bytes */
    struct evbuffer *partial_event; /* received bytes of an incomplete event */
    Events events;
    uint64_t forwarded_before; /* events of earlier attempts */
    CallOrigin origin;
    CallRollout rollout;
    GList *queue_node;          /* position in queue, or NULL */
    ServiceQueue *queue;        /* queue in which the call waits, or NULL */
    uint64_t want_id;           /* id of its want at slot keepers; 0 if none */
    unsigned load_questions;    /* endpoints that were asked for their load */
    char zone[ZONE_NAME_BYTES]; /* zone that was chosen for it */
    unsigned zone_distance;     /* of that zone */
    double zone_hold_ms;        /* cost of other zones, besides the transfer */
    ZoneReason zone_reason;     /* of the newest choice */
    uint64_t question_id; /* question whose end it waits for; 0 if none */
};

/* Starts a call for a complete request. The answer goes to @p conn. */
void Call_Start(Conn *conn, Gateway *gateway, const H1Head *head,
                struct evbuffer *body);

/* Returns whether the call is likely to run still when the planned stop
 * ends. */
bool Call_OutlastsStop(const Call *call);

/* Answers a call that has no part of its answer yet, as the planned stop
 * ends. */
void Call_EndStop(Call *call);

/* Refuses the call if it waits for an endpoint and would outlast a planned
 * stop.
 * @return true when the call was refused and is freed. */
bool Call_CheckStop(Call *call);

/* Returns when the caller gives up unless it has the first output; 0 if only
 * the deadline counts, or a part of the answer was sent. */
TimeUs Call_FirstOutputLimit(const Call *call);

/* Fails the call if it waits for an endpoint and its request is barred. */
void Call_CheckBarred(Call *call);

/* Holds the call and admits it again at @p until. */
void Call_Hold(Call *call, TimeUs until);

/* Admits a held call again, after the gateway got a configuration or lease or
 * when the hold or quota delay ends. */
void Call_Readmit(Call *call);

/* Goes on with a held call after the leader decided on its quota. */
void Call_OnQuota(Call *call, const QuotaDecision *quota);

/* Ends the call after its caller disconnected. */
void Call_OnCallerDisconnect(Call *call);

/* Returns the memory that the answer takes which is held for the call. */
size_t Call_AnswerBytes(const Call *call);

/* Ends the call to free what is held for it. */
void Call_CutOff(Call *call);

/* Resumes reading from the endpoint once the answer bytes are written. */
void Call_OnBytesWritten(Call *call);

/* Returns a hash of target, account and body, which is the same for each
 * repeat of the request. Needs the account. */
uint64_t Call_Fingerprint(Call *call);

/* Starts an attempt at the endpoint. Fails or queues the call instead if a
 * subject of it is barred or the newest configuration routes it to another
 * service. */
void Call_SendTo(Call *call, Endpoint *endpoint);

/* Fails the call because the subject is barred. */
void Call_FailBarred(Call *call, Subject subject);

/* Copies the fields of the request, and reads its tokens and prompt parts. */
void Call_ReadFields(Call *call, const H1Head *head);

/* Sets the end of the time that the caller waits. */
void Call_ReadDeadline(Call *call, const H1Head *head);

/* Returns the value of a field of the request, or NULL. */
const char *Call_Field(const Call *call, const char *name);

/* An error answer of the gateway itself. */
typedef struct CallError {
    unsigned status;
    const char *code;
    const char *message;
    uint32_t retry_after_ms; /* 0 leaves Retry-After out */
} CallError;

extern const CallError CallError_Denied;
extern const CallError CallError_NoRoute;

/* Returns the key of a request, or NULL. */
const char *Call_FindKey(const H1Head *head);

/* Judges a request by its head alone.
 * @return NULL if its body is needed, or a newer table may allow it. */
const CallError *Call_CheckHead(const Gateway *gateway, const H1Head *head);

/* Answers with the error and frees the call. If a part of a stream was sent,
 * closes the caller's connection instead. */
void Call_Fail(Call *call, const CallError *error);

/* Returns the error to send to the caller. If the status of @p error means
 * that the request did not run, but @p maybe_ran is set, returns another
 * error. */
const CallError *GatewayErrors_ForOutcome(const CallError *error,
                                          bool maybe_ran);

/* Returns whether a status means that the request did not run. */
bool GatewayErrors_MeansNotRun(unsigned status);

/* Returns whether an answer states that the endpoint did not run the
 * request. */
bool GatewayFields_SayNotRun(const GatewayFields *fields, const H1Head *head);

/* How an attempt failed. */
typedef enum AttemptOutcome {
    ATTEMPT_NOT_SENT,       /* no byte reached the endpoint */
    ATTEMPT_OTHER_INSTANCE, /* another endpoint has the address */
    ATTEMPT_REFUSED, /* the endpoint states that it did not run the request */
    ATTEMPT_MAYBE_RAN, /* the endpoint may have run the request */
} AttemptOutcome;

/* Queues the call for another attempt if that is allowed, else fails it. */
void Call_Retry(Call *call, AttemptOutcome outcome, const char *why);

/* Discards the buffered part of the answer. */
void Call_DropAnswer(Call *call);

/* Releases the call's slot and its reference to the endpoint. */
void Call_ReleaseEndpoint(Call *call, SlotOutcome outcome);

/* Returns whether a header field is hop-by-hop and thus not forwarded. */
bool Call_IsHopField(const char *name);

/* Logs the end of a call whose answer is complete or was cut off, and frees
 * it. */
void Call_End(Call *call, const char *outcome);

/* Applies the newest table to a queued call: checks the key, and looks up the
 * route again if the table changed.
 * @return false when the call failed and is freed. */
bool Call_Reroute(Call *call);

extern const UpstreamOps Call_UpstreamOps;

/* Returns whether the request may run more than once. */
bool Call_IsRepeatable(const Call *call);

/* ---- call_log.c ---- */

/* Writes the log record and the metrics of a finished request. */
void CallLog_End(const Call *call, const char *outcome);

/* Logs a request that its account's quota refused. */
void CallLog_OverLimit(const Call *call, const QuotaDecision *quota);

/* ---- errors.c ---- */

/* Counts a request that is answered with an error. */
void GatewayErrors_Count(const char *code);

/* Appends a complete error answer with a JSON body. */
void GatewayErrors_Print(struct evbuffer *out, const CallError *error,
                         const char *request_id, const char *outcome,
                         bool close);

/* ---- service_queue.c: calls that wait for an endpoint of a service ---- */

/* Queues the call and runs ServiceQueue_Pump, which may free the call. */
void ServiceQueue_Add(Gateway *gateway, Call *call);

/* Removes the call from its queue, if it is in one. */
void ServiceQueue_Remove(Call *call);

/* Returns the moving mean of the requests for the service, in requests/s. */
double ServiceQueue_Demand(const Gateway *gateway, const char *service);

/* Returns the time until an endpoint of the call's service takes requests
 * again, if all of them rest; else 0. */
uint32_t ServiceQueue_RestMs(const Call *call);

/* Goes on with the queued calls that wait for the end of a question. */
void ServiceQueue_OnQuestionEnded(Gateway *gateway, const char *service,
                                  uint64_t question_id);

/* Sends queued calls in order until no endpoint takes another. */
void ServiceQueue_Pump(Gateway *gateway, const char *service);
void ServiceQueue_FreeAll(Gateway *gateway);

/* ---- hosts.c: links to control hosts ---- */

GatewayControl *GatewayControl_New(Gateway *gateway);
void GatewayControl_Free(GatewayControl *control);

/* Returns whether a configuration or lease can be expected soon: the gateway
 * has no table yet, or a control host is connected. */
bool GatewayControl_MayGetLease(const GatewayControl *control);

/* Returns since when all control hosts have been connected; now if they are
 * not. */
TimeUs GatewayControl_ConnectedSince(const GatewayControl *control);

/* Returns the address of the leading control host, or NULL. */
const char *GatewayControl_Leader(const GatewayControl *control);

/* Sends a frame to the leading control host.
 * @return false if it is unknown or not connected. */
bool GatewayControl_SendLeader(const GatewayControl *control,
                               const Wire__Frame *frame);

/* Sends a frame to all connected control hosts.
 * @return their number. */
unsigned GatewayControl_SendAll(const GatewayControl *control,
                                const Wire__Frame *frame);

/* Returns since when some control host has been connected without
 * interruption; now if none is. */
TimeUs GatewayControl_InformedSince(const GatewayControl *control);

/* ---- keepers.c, wants.c: slots of engines ---- */

Keepers *Keepers_New(Gateway *gateway);
void Keepers_Free(Keepers *keepers);

/* Sends the first round of wants for the call. The first grant dispatches
 * it.
 * @return false when no connected keeper has a usable engine of the
 * service. */
bool Keepers_SendWants(Call *call);

/* Opens a link to the keeper of the engine's slots, if there is none. */
void Keepers_Connect(Keepers *keepers, const Endpoint *endpoint);

/* Withdraws, from the event loop, the wants at keepers of engines that may not
 * serve them any more. */
void Keepers_WithdrawUseless(Keepers *keepers);

/* Sends a frame to the connected keepers of the services of a route. */
void Keepers_SendRoute(const Keepers *keepers, const Route *route,
                       const Wire__Frame *frame);

/* Closes the link and queues the calls that depended on it. */
void Keepers_Disconnect(Keepers *keepers, const char *endpoint_id);

/* Reports to the engine's keeper the rate limit in an answer; 0 for none.
 * @param sent_at  when the request was sent. */
void Keepers_ReportRate(const Endpoint *endpoint, double rate, TimeUs sent_at);

/* Reports to the keeper that the engine has finished the call's prefill. */
void Keepers_ReportPrefilled(Call *call);

/* Withdraws the call's wants and releases its granted slot. */
void Keepers_EndWant(Call *call, SlotOutcome outcome);

/* ---- gateway.c ---- */

/* Returns the number of gateways that share quotas and retry budgets,
 * including this one; a default while the leader has not reported it. */
uint32_t Gateway_Count(const Gateway *gateway);

/* Returns whether the gateway may rely on its table, because no newer one can
 * be in force. */
bool Gateway_HasLease(const Gateway *gateway);

/* Admits the held calls again, after the lease was renewed. */
void Gateway_ReadmitHeld(Gateway *gateway);

/* Fails the waiting calls whose requests are barred, from the event loop,
 * since the caller of this function may be ending a call. */
void Gateway_FailBarred(Gateway *gateway);

/* Replaces the table in force and takes ownership of the new one. */
void Gateway_SetTable(Gateway *gateway, RouteTable *table);

/* ---- suspects.c ---- */

Suspects *Suspects_New(Gateway *gateway);
void Suspects_Free(Suspects *suspects);

/* Counts the end of an endpoint against the subjects of the runs that ended in
 * one of the ways (mask of RunEnd), removes these from the history, and
 * reports the crashes to the control hosts.
 * @param incarnation  CrashTable_Incarnation() of the endpoint.
 * @return the number of runs. */
size_t Suspects_AddCrashes(Suspects *suspects, RunHistory *history,
                           unsigned ends, uint64_t incarnation);

/* Records that an endpoint survived a request. */
void Suspects_OnSurvived(Suspects *suspects, const Subjects *subjects);

/* Applies the news of a control host. */
void Suspects_OnNews(Suspects *suspects, const Wire__CrashNews *news);

/* Sends all known crashes to a control host. */
void Suspects_SendAll(const Suspects *suspects, Link *link);

/* Returns the number of endpoints that ended under the subject. */
unsigned Suspects_CrashCount(const Suspects *suspects, Subject subject);

/* Finds a subject of the call that crashed too many endpoints for the call to
 * be sent.
 * @return false when there is none. */
bool Suspects_FindBarred(const Suspects *suspects, Call *call,
                         Subject *barred);

/* Records that the call is sent, as one with a barred subject may be tried
 * only once. */
void Suspects_OnSend(const Suspects *suspects, const Call *call);

/* ---- quotas.c ---- */

Quotas *Quotas_New(Gateway *gateway);
void Quotas_Free(Quotas *quotas);

typedef enum QuotaVerdict {
    QUOTA_ADMITTED,
    QUOTA_REFUSED,
    QUOTA_ASKED, /* Call_OnQuota follows, or Quotas_Take is to be called again
                    at QuotaDecision.ask_until */
} QuotaVerdict;

/* A quota decision with the values it is based on, in the account's units:
 * requests or tokens. */
struct QuotaDecision {
    QuotaVerdict verdict;
    bool by_ledger;   /* else by the gateway's part of the limit */
    uint32_t wait_ms; /* until an admitted request may proceed, or a refused
                         one be retried */
    TimeUs ask_until;
    double cost;    /* cost of the request */
    double level;   /* units of the account, or of the gateway's part */
    double reserve; /* units kept for more urgent ranks */
};

/* Takes the cost of the call's request from its account's limit, which may
 * need a question to the leader. An account without a limit is always
 * admitted. */
QuotaDecision Quotas_Take(Call *call, const BucketRequest *request);

/* Refunds the units of a request that did not run. */
void Quotas_Refund(Quotas *quotas, const RouteAccount *account, double cost);

/* Ends the call's question. */
void Quotas_Forget(Call *call);

/* Applies a control host's answer. */
void Quotas_OnReply(Quotas *quotas, const Wire__QuotaReply *reply);

/* Records that the leader has answered a query. */
void Quotas_OnLeaderHeard(Quotas *quotas);

/* Ends all questions, since the host that was asked leads no more or cannot be
 * reached, and decides the calls that wait for them by the gateway's part. */
void Quotas_OnLeaderLost(Quotas *quotas);

/* Visits each account that has more units than it may store, and removes
 * these. Forgets the accounts that have no limit any more. */
void Quotas_TakeExcess(Quotas *quotas,
                       void (*visit)(void *arg, const char *account,
                                     double units),
                       void *arg);

/* ---- retries.c ---- */

Retries *Retries_New(Gateway *gateway);
void Retries_Free(Retries *retries);

/* Counts a first attempt, which adds to the service's retry budget. */
void Retries_AddRequest(Retries *retries, const char *service);

/* Takes one retry from the service's budget.
 * @return false when the budget is used up. */
bool Retries_Take(Retries *retries, const char *service);

#endif
