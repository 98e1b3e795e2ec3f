/** @file
 * Gateway: endpoints, with the state that they announce and the health and
 * load seen from requests.
 */
#ifndef LAURELLIFT_GATEWAY_ENDPOINTS_H
#define LAURELLIFT_GATEWAY_ENDPOINTS_H

#include "gateway/end_watch.h"
#include "http1/parser.h"
#include "routes/endpoint.h"
#include "sched/named_rate.h"
#include "sched/pace.h"
#include "sched/rest.h"
#include "wire/link.h"

typedef struct Call Call;
typedef struct Gateway Gateway;
typedef struct PaceQuestion PaceQuestion;
typedef struct Upstream Upstream;

struct Endpoint {
    Gateway *gateway;
    char *id;
    char *service;
    char *address;
    char *zone;
    char *software; /* version of its software; "" if unknown */
    uint64_t born;  /* start time in Unix milliseconds */
    EndpointState state;
    uint32_t slots;
    TimeUs cold_until;   /* end of the warm-up that the endpoint announced */
    unsigned references; /* from the endpoint table, upstreams and calls */
    unsigned running;    /* requests of this gateway */
    unsigned other_running;  /* requests of other gateways, as last reported */
    TimeUs load_reported_at; /* time of the newest load report */
    unsigned consecutive_failures;
    TimeUs ejected_until; /* end of the ejection after a failure */
    bool probing;         /* one request probes it after an ejection */
    double error_rate;    /* moving fraction of failed answers */
    TimeUs error_rate_at; /* when error_rate was updated */
    EndWatch watch;
    Rest rest;            /* that it asked of this gateway */
    NamedRate rate_limit; /* that its answers name */
    double rate_share;    /* this gateway's part of it; negative: unknown */
    bool bad_rate_logged; /* an answer named a limit that cannot be read */
    /* Moving mean run time of non-streamed answers; 0 before the first. */
    double expected_run_ms;
    Pace pace;              /* its current speed, if it reports one */
    PaceQuestion *question; /* NULL before the first question for its load */
    bool bad_pace_logged;   /* a report had an invalid figure of the speed */
    GQueue idle_upstreams;  /* idle Upstreams, most recently used first */
    TimeUs round_trip;      /* least, from handshakes; 0: unknown */
    /* Upstream whose callback runs; NULL once the callback has freed it. */
    Upstream *callback_upstream;
    bool stored;  /* its record comes from a file, and neither an announcement
                     nor its keeper has confirmed its start */
    bool removed; /* no longer in the endpoint table */
    bool superseded; /* a newer incarnation has its id or its address */
    bool replaced;   /* a newer start has its id or its address, and may be the
                        one that answers */
    TimeUs
        ended_at; /* since when it may have started again; 0 if it has not */
    TimeUs end_proved_at; /* when its end was last proved; 0 if it was not */
};

/* Applies an endpoint record if it is newer than the known one. */
void Endpoints_Update(Gateway *gateway, const EndpointRecord *record);

/* Applies the table in force to the addresses of endpoints, after it was
 * replaced. */
void Endpoints_OnTable(Gateway *gateway);

/* Tells a control host which endpoints say in their answers that they leave.
 */
void Endpoints_SendLeaving(const Gateway *gateway, Link *link);
void Endpoints_FreeAll(Gateway *gateway);
Endpoint *Endpoints_Find(const Gateway *gateway, const char *id);
void Endpoint_Ref(Endpoint *endpoint);
void Endpoint_Unref(Endpoint *endpoint);

/* Ejects the endpoint for a time that grows with consecutive failures. */
void Endpoint_OnFailure(Endpoint *endpoint, const char *why);

/* Ends an ejection and updates the error rate; @p success is false for an
 * answer with an error status. */
void Endpoint_OnAnswer(Endpoint *endpoint, bool success);

/* Applies the value of a load field, as LoadReport_Parse() reads it. */
void Endpoint_OnLoadReport(Endpoint *endpoint, const char *text);

/* Applies the rate limit that an answer names, if any.
 * @param sent_at  when the request was sent. */
void Endpoint_OnRateField(Endpoint *endpoint, const H1Head *head,
                          TimeUs sent_at);

/* Applies an answer that asks for rest or ends it, or says that the endpoint
 * leaves. */
void Endpoint_OnStateFields(Endpoint *endpoint, const H1Head *head);

/* Returns the mean time between two requests that the endpoint's rate limit
 * allows to all gateways together; 0 without a limit. */
double Endpoint_RateWaitMs(const Endpoint *endpoint);

/* Returns this gateway's part of the endpoint's rate limit, from 0 to 1. */
double Endpoint_RateShare(const Endpoint *endpoint);

/* Updates the endpoint's mean run time with that of a complete answer that was
 * not streamed. */
void Endpoint_AddRunTime(Endpoint *endpoint, TimeUs run_time);

/* Records the round trip of a handshake. */
void Endpoint_AddRoundTrip(Endpoint *endpoint, TimeUs time);

/* Returns the moving fraction of failed answers. It decays with time. */
double Endpoint_ErrorRate(const Endpoint *endpoint, TimeUs now);

/* Returns whether an attempt of the call failed at this endpoint. */
bool Endpoint_WasTried(const Endpoint *endpoint, const Call *call);

/* Returns whether the endpoint may be sent requests now. */
bool Endpoint_IsUsable(const Endpoint *endpoint, TimeUs now);

/* Applies what the endpoint's keeper knows of its start, since the endpoint
 * may have started again before that is announced.
 * @param born  as the endpoint last reported to the keeper; 0 if unknown.
 * @param uncertain  the endpoint may have started again since. */
void Endpoint_OnStartSeen(Endpoint *endpoint, uint64_t born, bool uncertain);

/* Returns the version of the endpoint's software; "" if it is unknown, or if
 * the endpoint may have started again with another one: it has ended or been
 * unreachable since, or its record is as old as a control host's file. */
const char *Endpoint_CertainSoftware(const Endpoint *endpoint);

/* Returns whether the endpoint's software is that which began the call's
 * stream, if one has begun. */
bool Endpoint_MayContinue(const Endpoint *endpoint, const Call *call);

/* Returns whether the endpoint is eligible for the call now. */
bool Endpoint_MayServe(const Endpoint *endpoint, const Call *call, TimeUs now);

/* Returns the endpoint's requests per slot: those of this gateway and of
 * others, as it last reported. */
double Endpoint_Load(const Endpoint *endpoint, TimeUs now);

/* Returns the distance from this gateway: 0 in the same zone, 1 in the same
 * region, 2 in another region. */
unsigned Endpoint_Distance(const Endpoint *endpoint);

#endif
