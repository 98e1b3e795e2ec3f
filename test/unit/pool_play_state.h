/** @file
 * State that the sources of the simulated pool share.
 */
#ifndef LAURELLIFT_TEST_UNIT_POOL_PLAY_STATE_H
#define LAURELLIFT_TEST_UNIT_POOL_PLAY_STATE_H

#include <glib.h>

#include "pool_play.h"
#include "sched/pool_view.h"
#include "sched/queue.h"

#define GATEWAYS 38
#define ENGINES_MAX 64
#define SLOTS 6
#define ZONES 6
#define PREFILL_TOKENS_MS 35.0
#define TOKEN_MS 8.0

/* Requests of one rank. */
typedef struct Kind {
    double share;
    uint32_t prompt;
    uint32_t output; /* expected tokens */
    int target_ms;   /* latency objective */
    int deadline_ms;
} Kind;

extern const Kind PoolPlay_Kinds[POOL_PLAY_RANKS];

typedef enum EventKind {
    EVENT_ARRIVAL,
    /* at gateways */
    EVENT_GRANTED,
    EVENT_REFUSED,
    EVENT_ROUND,
    EVENT_ANSWERED,
    EVENT_DEADLINE,
    EVENT_RETURN,
    EVENT_LINK_LOST,
    /* at keepers */
    EVENT_WANT,
    EVENT_WITHDRAWN,
    EVENT_BOOK,
    EVENT_UNUSED,
    EVENT_SLOT_END,
    EVENT_PREFILLED,
    EVENT_TICK,
    /* at engines */
    EVENT_SENT,
    EVENT_FIRST,
    EVENT_RUN_ENDED,
} EventKind;

/* A keeper's answer to a want. */
typedef struct Reply {
    unsigned busy;
    double prefill_tokens_s;
    double decode_tokens_s;
    uint32_t retry_after_ms;
    bool has_outlook;
    EngineOutlook outlook;
} Reply;

typedef struct Event {
    EventKind kind;
    unsigned request;
    unsigned engine;
    Reply *reply;
    TimeUs at;
    uint64_t sequence;
} Event;

typedef struct Request {
    unsigned account;
    unsigned tier;
    unsigned rank;
    unsigned gateway;
    TimeUs first_arrived_at; /* of a caller that came back: the first time */
    TimeUs arrived_at;
    TimeUs deadline;
    double actual_output;
    uint32_t prompt;
    uint32_t key;     /* the same for a request that comes back */
    uint64_t claimed; /* engines, as bits, whose booking it claimed */
    bool booked;      /* a keeper has accepted its booking */
    TimeUs told_at;   /* when its caller was told to come back */
    uint64_t pending; /* engines, as bits */
    uint64_t refused;
    unsigned granted_by;
    bool granted;
    bool ended;
    bool limited;
    bool known_late; /* at all engines, when it arrived */
    bool returned;   /* its caller came back */
    unsigned max_distance;
    unsigned round; /* timers of earlier rounds are void */
    unsigned asked;
    uint32_t retry_after_ms;
} Request;

/* What a gateway knows of a keeper. */
typedef struct PlayKeeper {
    EngineView view;
    unsigned granted_slots;
    unsigned busy;
    TimeUs busy_at;
    double prefill_tokens_s;
    double decode_tokens_s;
} PlayKeeper;

typedef struct PlayEngine {
    double speed;
    WantQueue *queue;
    unsigned running;
    GQueue fifo;
    TimeUs prefill_free_at;
    TimeUs tick_at;
} PlayEngine;

typedef struct Play {
    const PoolCase *spec;
    PoolResult *result;
    GRand *random;
    GArray *events;   /* Event heap */
    GArray *requests; /* Request */
    GArray *refusal_ms;
    uint64_t sequence;
    TimeUs now;
    double capacity_per_ms;
    PlayEngine engines[ENGINES_MAX];
    PlayKeeper keepers[GATEWAYS][ENGINES_MAX];
} Play;

static inline Request *
pool_play_request(const Play *play, unsigned index)
{
    return &g_array_index(play->requests, Request, index);
}

static inline unsigned
pool_play_class(const Request *request)
{
    return request->tier * POOL_PLAY_RANKS + request->rank;
}

static inline bool
pool_play_is_counted(const Play *play, const Request *request)
{
    return play->spec->accounts &&
           request->first_arrived_at >=
               play->spec->account_burst_from_ms * US_PER_MS &&
           request->first_arrived_at < play->spec->count_until_ms * US_PER_MS;
}

void PoolPlay_Push(Play *play, TimeUs at, Event event);
bool PoolPlay_IsFrozen(const Play *play, unsigned engine);
bool PoolPlay_IsLost(const Play *play, unsigned engine);
bool PoolPlay_IsCut(const Play *play, unsigned gateway, unsigned engine);
unsigned PoolPlay_Distance(unsigned gateway, unsigned engine);
TimeUs PoolPlay_Delay(unsigned gateway, unsigned engine);
uint64_t PoolPlay_AccountHash(const Play *play, const Request *request);

/* Returns the demand of all accounts, as a fraction of their usual demand. */
double PoolPlay_AccountsDemand(const Play *play);

/* Draws the account of a request, which sets its tier. */
void PoolPlay_SetAccount(const Play *play, Request *request);
WorkSpec PoolPlay_Work(const Play *play, const Request *request,
                       unsigned index);

/* pool_play_gateway.c */
void PoolPlay_StartRequest(Play *play, const Request *request);
void PoolPlay_AtGateway(Play *play, const Event *event);

#endif
