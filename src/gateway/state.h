/** @file
 * What the parts of the gateway share.
 */
#ifndef LAURELLIFT_GATEWAY_STATE_H
#define LAURELLIFT_GATEWAY_STATE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "gateway/events.h"
#include "gateway/gateway.h"
#include "http1/parser.h"
#include "kernel/clock.h"
#include "routes/endpoint.h"
#include "sched/bucket.h"
#include "wire/link.h"

#define GATEWAY_PART "gateway"

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
typedef struct QuotaDecision QuotaDecision;

struct Gateway {
    TaskHandle task;
    struct event_base *base;
    const GatewayOptions *options;
    LinkIdentity self;
    struct evconnlistener *listener;
    RouteTable *table;  /* NULL: no configuration yet */
    TimeUs lease_until; /* the table is the newest until then */
    uint32_t gateways;  /* connected to the leader; 0: not told yet */
    Directory *directory;
    GHashTable *endpoints; /* id -> Endpoint */
    GHashTable *queues;    /* service -> ServiceQueue */
    GHashTable *conns;     /* set of Conn */
    GatewayControl *control;
    Quotas *quotas;
    Retries *retries;
    Keepers *keepers;
    Suspects *suspects;
    uint64_t next_want;
    GQueue held;    /* Call, that wait for a configuration or lease */
    unsigned calls; /* open */
    bool stopping;
    TimeUs stop_at;
    struct event *stop_timer;
};

/* ---- conn.c: a caller's connection ---- */

Conn *Conn_New(Gateway *gateway, evutil_socket_t fd);

/* Names the call that is answered here. */
void Conn_SetCall(Conn *conn, Call *call);

/* Begins an answer. The body follows by Conn_Body in chunks when chunked. */
void Conn_Head(Conn *conn, struct evbuffer *head);
void Conn_Body(Conn *conn, struct evbuffer *body);

/* The answer is complete; the connection takes the next request. */
void Conn_Finish(Conn *conn);

/* The answer cannot be completed: cuts the connection. */
void Conn_Abort(Conn *conn);

/* Whether the answer under way will be the connection's last. */
bool Conn_WillClose(const Conn *conn);
bool Conn_IsHttp10(const Conn *conn);

/* Unsent bytes of answers. */
size_t Conn_Backlog(const Conn *conn);

/* A planned stop: closes the connection as soon as nothing is under way. */
void Conn_Drain(Conn *conn, bool close_idle);

/* A planned stop is under way: refuses what waits and would outlast it. */
void Conn_CheckStop(Conn *conn);

void Conn_Free(Conn *conn);

/* ---- endpoints.c: endpoints as this gateway knows them ---- */

struct Endpoint {
    Gateway *gateway;
    char *id;
    char *service;
    char *address;
    char *zone;
    EndpointState state;
    uint32_t slots;
    TimeUs cold_until;
    unsigned references;    /* upstreams and calls that use it */
    unsigned running;       /* requests of this gateway */
    unsigned other_running; /* requests of other gateways, as last reported */
    TimeUs reported_at;
    unsigned failures; /* in a row */
    TimeUs avoid_until;
    bool probing;      /* one request tries it after a failure */
    double error_rate; /* share of answers that were failures, as of then */
    TimeUs error_at;
    GArray
        *broken_requests; /* Broken: requests that it did not answer lately */
    double expected_run_ms; /* moving mean of plain answers; 0: none yet */
    GQueue idle;            /* Upstream, most recently used first */
    Upstream *current;      /* whose callback runs; NULL once it is freed */
    bool removed;
};

void Endpoints_Update(Gateway *gateway, const EndpointRecord *news);
void Endpoints_FreeAll(Gateway *gateway);
Endpoint *Endpoints_Find(const Gateway *gateway, const char *id);
void Endpoint_Ref(Endpoint *endpoint);
void Endpoint_Unref(Endpoint *endpoint);

/* The endpoint broke off before it answered this request. When it proves to
 * have ended, the request counts as one that crashed it. */
void Endpoint_OnBrokenRequest(Endpoint *endpoint, uint64_t fingerprint);

/* What a request showed of the endpoint. */
void Endpoint_Failed(Endpoint *endpoint, const char *why);
void Endpoint_Unreachable(Endpoint *endpoint, const char *why);
void Endpoint_Answered(Endpoint *endpoint, bool success);
void Endpoint_Load(Endpoint *endpoint, const char *report);

/* It gave a whole answer that is no stream after this span. */
void Endpoint_AddRunTime(Endpoint *endpoint, TimeUs span);

/* Moving share of failures; it fades while nothing is sent there. */
double Endpoint_ErrorRate(const Endpoint *endpoint, TimeUs now);

/* Whether the call has failed there before. */
bool Endpoint_WasTried(const Endpoint *endpoint, const Call *call);

/* Whether it may be sent work now. */
bool Endpoint_Usable(const Endpoint *endpoint, TimeUs now);

/* Distance from this gateway: 0 same zone, 1 same region, 2 beyond. */
unsigned Endpoint_Distance(const Endpoint *endpoint);

/* ---- upstream.c: a connection to an endpoint ---- */

typedef enum UpstreamFailure {
    UPSTREAM_NOT_SENT, /* no byte of the request left this host */
    UPSTREAM_BROKEN,   /* the connection failed after that */
    UPSTREAM_GARBAGE,  /* bytes that are no answer to the request */
} UpstreamFailure;

typedef struct UpstreamOps {
    void (*head)(void *owner, const H1Head *head);
    /* Body bytes; the owner drains them. */
    void (*body)(void *owner, struct evbuffer *body);
    void (*done)(void *owner);
    void (*failed)(void *owner, UpstreamFailure failure, const char *why);
} UpstreamOps;

/* What is sent. */
typedef struct UpstreamRequest {
    struct evbuffer *bytes; /* drained */
    const char *id;
    bool fresh;     /* the connection must be new or surely alive */
    bool head_only; /* the answer has no body */
} UpstreamRequest;

/* Sends a request on an idle or new connection. */
Upstream *Upstream_Send(Endpoint *endpoint, const UpstreamRequest *request,
                        const UpstreamOps *ops, void *owner);

/* Breaks the exchange off; no callback follows. */
void Upstream_Cancel(Upstream *upstream);

/* The owner no longer cares, but the endpoint is to finish. */
void Upstream_Abandon(Upstream *upstream);

void Upstream_Pause(Upstream *upstream, bool paused);
void Upstream_CloseIdle(Endpoint *endpoint);

/* ---- call.c, call_send.c, call_answer.c: the life of a request ---- */

/* What became of a slot that a call held. */
typedef enum SlotOutcome {
    SLOT_NOT_SERVED,
    SLOT_SERVED,         /* whole */
    SLOT_OTHER_INSTANCE, /* the endpoint is gone, another has its address */
} SlotOutcome;

typedef enum CallState {
    CALL_WAITING,    /* for an endpoint */
    CALL_DISPATCHED, /* an endpoint has it; no byte of an answer went out */
    CALL_STREAMING,  /* the answer is on its way to the caller */
} CallState;

struct Call {
    Gateway *gateway;
    Conn *conn; /* NULL once the caller left */
    CallState state;
    char *id;
    char *method;
    char *target;
    char *host;
    char *key;      /* the caller's, or NULL */
    GArray *fields; /* H1Field, owned strings */
    struct evbuffer *body;
    RouteTable *table;
    const Route *route;
    const RouteAccount *account;
    const char *service;
    uint32_t tier; /* the account's, or the route's where it has none */
    uint32_t rank; /* the route's, within the tier of an account */
    double cost;   /* in units of the limit of the account; 0: not taken */
    uint32_t prompt_tokens;
    uint32_t output_tokens;   /* most */
    uint32_t expected_tokens; /* of output, as far as the caller knows */
    uint64_t fingerprint;     /* 0: not computed yet */
    TimeUs received_at;
    TimeUs caller_deadline;
    TimeUs deadline; /* final answer until then */
    struct event *timer;
    TimeUs held_until;  /* for a configuration or lease; 0: was not held */
    unsigned attempts;  /* endpoints that it was sent to */
    GPtrArray *tried;   /* ids of endpoints that failed it */
    bool maybe_ran;     /* an endpoint may have begun it */
    Endpoint *endpoint; /* that has it */
    char served_by[64]; /* id of the endpoint that had it last */
    Upstream *upstream;
    TimeUs sent_at;
    TimeUs first_at;          /* first event or answer */
    TimeUs event_at;          /* newest event */
    TimeUs longest_event_gap; /* longest between two events */
    /* The answer under way. */
    unsigned status;
    bool head_only; /* the caller asked for no body */
    bool streams;
    struct evbuffer *answer_head;
    struct evbuffer *answer;
    struct evbuffer *partial; /* of an event */
    Events events;
    GList *queue_node;
    ServiceQueue *queue;
    uint64_t grant; /* want at slot keepers; 0: none */
};

/* Takes a complete request; answers through @p conn. */
void Call_Start(Conn *conn, Gateway *gateway, const H1Head *head,
                struct evbuffer *body);

/* Refuses the call if it waits and would outlast a planned stop. */
void Call_CheckStop(Call *call);

/* A configuration or lease came, or was waited for long enough. */
void Call_ReleaseHeld(Call *call);

/* The caller left. */
void Call_CallerGone(Call *call);

/* What was written to the caller has left. */
void Call_CallerDrained(Call *call);

/* Hash of what the caller asks, the same whenever it is asked again. */
uint64_t Call_Fingerprint(Call *call);

/* Sends the call to an endpoint. */
void Call_SendTo(Call *call, Endpoint *endpoint);

/* Answers with an error of this gateway. */
typedef struct CallError {
    unsigned status;
    const char *code;
    const char *message;
    uint32_t retry_after_ms; /* 0: none */
} CallError;

void Call_Fail(Call *call, const CallError *error);

/* The error that may be answered: one that promises that the request has not
 * run is replaced where it may have. */
const CallError *GatewayErrors_ForOutcome(const CallError *error,
                                          bool maybe_ran);

/* Whether a status promises that the request has not run. */
bool GatewayErrors_MeansNotRun(unsigned status);

/* How an endpoint did not serve a call. */
typedef enum CallSendOutcome {
    CALL_NOT_SENT,       /* no byte reached it */
    CALL_OTHER_INSTANCE, /* another endpoint has its address */
    CALL_REFUSED,        /* it says that it did not run the request */
    CALL_MAYBE_RAN,      /* nothing proves that it did not */
} CallSendOutcome;

/* Tries another endpoint or ends the call. */
void Call_Retry(Call *call, CallSendOutcome outcome, const char *why);

/* The call's endpoint has it no longer. */
void Call_LeaveEndpoint(Call *call, SlotOutcome outcome);

/* Whether a field concerns one connection only. */
bool Call_IsHopField(const char *name);

/* Ends a call whose answer is complete or cut, and frees it. */
void Call_End(Call *call, const char *outcome);

/* Looks the route up again after a new configuration.
 * @return false when the call was ended. */
bool Call_Reroute(Call *call);

extern const UpstreamOps Call_UpstreamOps;

/* Whether a caller's attempt may run more than once. */
bool Call_Repeatable(const Call *call);

/* ---- call_log.c ---- */

/* One record and the measures of a request's end. */
void CallLog_End(const Call *call, const char *outcome);
void CallLog_OverLimit(const Call *call, const QuotaDecision *quota);

/* ---- errors.c ---- */

/* Appends a whole answer with a JSON body. */
void GatewayErrors_Print(struct evbuffer *out, const CallError *error,
                         const char *request_id, const char *outcome,
                         bool close);

/* ---- service_queue.c: what waits for an endpoint of a service ---- */

void ServiceQueue_Add(Gateway *gateway, Call *call);
void ServiceQueue_Remove(Call *call);

/* Sends what can be sent. */
void ServiceQueue_Pump(Gateway *gateway, const char *service);
void ServiceQueue_FreeAll(Gateway *gateway);

/* ---- hosts.c: links to control hosts ---- */

GatewayControl *GatewayControl_New(Gateway *gateway);
void GatewayControl_Free(GatewayControl *control);

/* Whether a configuration and lease may soon come: it has just started, or
 * a control host is connected. */
bool GatewayControl_MayGetLease(const GatewayControl *control);

/* Passes on that an endpoint broke off while it ran this request. */
void GatewayControl_Crashed(GatewayControl *control, uint64_t fingerprint);

/* ---- keepers.c: slots of engines, kept beside them ---- */

Keepers *Keepers_New(Gateway *gateway);
void Keepers_Free(Keepers *keepers);

/* Asks for slots of engines of the call's service; a grant sends the call.
 * @return false when no keeper of the service is connected. */
bool Keepers_Want(Call *call);
/* Keeps a link to the keeper of an engine's slots. */
void Keepers_Watch(Keepers *keepers, const Endpoint *endpoint);
void Keepers_Unwatch(Keepers *keepers, const char *endpoint_id);

void Keepers_FirstEvent(Call *call);
void Keepers_End(Call *call, SlotOutcome outcome);

/* ---- gateway.c ---- */

/* Gateways that share limits and budgets, this one included. */
uint32_t Gateway_Count(const Gateway *gateway);

/* Whether the table is surely the newest. */
bool Gateway_HasLease(const Gateway *gateway);

/* Takes up the requests that were held, once there is a lease. */
void Gateway_ReleaseHeld(Gateway *gateway);

/* Puts a newer table in force. */
void Gateway_SetTable(Gateway *gateway, RouteTable *table);

/* ---- suspects.c ---- */

Suspects *Suspects_New(void);
void Suspects_Free(Suspects *suspects);

/* An endpoint broke off while it ran the request. */
void Suspects_Crashed(Suspects *suspects, uint64_t fingerprint);

/* Whether any request is remembered. */
bool Suspects_Any(const Suspects *suspects);

/* Whether the request crashed too many endpoints to be sent again. */
bool Suspects_IsQuarantined(const Suspects *suspects, uint64_t fingerprint);

/* ---- quotas.c ---- */

Quotas *Quotas_New(Gateway *gateway);
void Quotas_Free(Quotas *quotas);

/* What decided on a request of an account; units are those of its limit. */
struct QuotaDecision {
    BucketDecision answer;
    double cost;      /* of the request */
    double share;     /* units a second that this gateway holds */
    double demand;    /* units a second asked for lately */
    TimeUs share_age; /* since the leader gave the share; -1: never */
};

/* Takes the cost of a request out of the account's share. */
QuotaDecision Quotas_Take(Quotas *quotas, const RouteAccount *account,
                          const BucketRequest *request);
void Quotas_Refund(Quotas *quotas, const RouteAccount *account, double cost);
void Quotas_SetShare(Quotas *quotas, const char *account, double share);
void Quotas_ForEach(Quotas *quotas,
                    void (*visit)(void *arg, const char *account,
                                  double demand),
                    void *arg);

/* ---- retries.c ---- */

Retries *Retries_New(Gateway *gateway);
void Retries_Free(Retries *retries);
void Retries_Request(Retries *retries, const char *service);
bool Retries_Take(Retries *retries, const char *service);

#endif
