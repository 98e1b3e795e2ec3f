/** @file
 * Route table: routes by host and longest path prefix, services, and client
 * accounts with keys and limits. A table is built from one configuration
 * document and immutable afterwards.
 */
#ifndef LAURELLIFT_ROUTES_TABLE_H
#define LAURELLIFT_ROUTES_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"

/** Whether a request of a route may be run more than once. */
typedef enum RouteKind {
    ROUTE_IDEMPOTENT,   /**< A request may be retried at any time. */
    ROUTE_AT_MOST_ONCE, /**< Each request of a caller runs at most once. */
    ROUTE_STREAM,       /**< The answer is an event stream. Runs at most once
                           unless the route is resumable. */
} RouteKind;

/** Fraction of a route's requests that goes to one service: its weight divided
 * by the sum of the route's weights. */
typedef struct RouteSplit {
    const char *service;
    uint32_t weight;
} RouteSplit;

typedef struct Route {
    const char *name;
    const char *host;
    const char *prefix; /**< Begins and ends with a slash. */
    RouteKind kind;
    uint32_t timeout_ms;        /**< Longest time until the final answer. */
    uint32_t latency_target_ms; /**< Target for the latency of an answer. */
    uint32_t first_limit_ms;    /**< Time after which callers give up unless
                                   they have the first event; 0: no limit. */
    uint32_t gap_target_ms; /**< Target for the longest pause between events;
                               0: no target. */
    uint32_t tier;          /**< 0 is the highest. */
    uint32_t max_attempts;  /**< Maximum number of attempts for a request. */
    bool is_public;         /**< Requests need no API key. */
    bool resumable;         /**< A broken stream may be continued at another
                               endpoint. */
    GArray *splits;         /**< Elements are RouteSplit. */
} Route;

typedef struct RouteService {
    const char *name;
    uint32_t max_connections; /**< Limit for one endpoint, from all callers. */
    bool is_engine;           /**< A model engine; sets slots and kv_tokens. */
    uint32_t slots;           /**< Slots of one engine. */
    uint64_t kv_tokens;       /**< KV-cache size of one engine, in tokens. */
    const char *health_path;  /**< Path that each endpoint answers at once with
                                 its load; NULL if there is none. */
} RouteService;

typedef struct RouteAccount {
    const char *name;
    bool has_tier; /**< `tier` overrides the tier of the route. */
    uint32_t tier;
    bool counts_tokens;      /**< The limit counts tokens, not requests. */
    uint32_t default_tokens; /**< Cost of a request without a token count. */
    double rate;             /**< Units/s over all gateways; 0: no limit. */
    double burst;            /**< Units that may be used at once. */
    GPtrArray *keys;         /**< API keys (const char *). */
} RouteAccount;

/** Limits for the requests and connections of callers. */
typedef struct RouteLimits {
    uint32_t max_head_bytes;
    uint32_t max_body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} RouteLimits;

typedef struct RouteTable RouteTable;

/** Creates an empty table with one reference. */
RouteTable *RouteTable_New(uint64_t version);
RouteTable *RouteTable_Ref(RouteTable *table);
void RouteTable_Unref(RouteTable *table);

/** Returns a copy of @p text that is freed with the table. */
const char *RouteTable_Text(RouteTable *table, const char *text);

/** Adds one item or sets the limits. The table takes ownership of an item's
 * arrays; its strings must live as long as the table. */
void RouteTable_AddRoute(RouteTable *table, const Route *route);
void RouteTable_AddService(RouteTable *table, const RouteService *service);
void RouteTable_AddAccount(RouteTable *table, const RouteAccount *account);
void RouteTable_SetLimits(RouteTable *table, const RouteLimits *limits);

/** Lets requests through without an API key, for a document that does not name
 * accounts at all. Without this call each request to a route that is not
 * public needs the key of an account, also when the table has no account. */
void RouteTable_SetOpen(RouteTable *table);

/** Checks the table and builds its indexes.
 * @return ERR_OK, or ERR_INVALID with the first error in @p err: a duplicate
 *         or unknown service, a key of two accounts, a prefix without '/' at
 *         both ends, a timeout of 0, weights with the sum 0, or two routes
 *         with the same host and prefix. */
int RouteTable_Finish(RouteTable *table, Error *err);

uint64_t RouteTable_Version(const RouteTable *table);
const RouteLimits *RouteTable_Limits(const RouteTable *table);

/** Returns whether a request to a route that is not public needs a key. */
bool RouteTable_RequiresKeys(const RouteTable *table);

/** Returns the route for a host and path, or NULL. The case of the host and
 * its port are ignored. */
const Route *RouteTable_Match(const RouteTable *table, const char *host,
                              const char *path);

/** Returns the account with the API key, or NULL. */
const RouteAccount *RouteTable_Account(const RouteTable *table,
                                       const char *key);

/** Returns the account with the name, or NULL. */
const RouteAccount *RouteTable_FindAccount(const RouteTable *table,
                                           const char *name);

const RouteService *RouteTable_Service(const RouteTable *table,
                                       const char *name);

/** Calls @p visit for each route. */
void RouteTable_ForEachRoute(const RouteTable *table,
                             void (*visit)(void *arg, const Route *route),
                             void *arg);

/** Calls @p visit for each account. */
void RouteTable_ForEachAccount(const RouteTable *table,
                               void (*visit)(void *arg,
                                             const RouteAccount *account),
                               void *arg);

/** Returns the service for a request, or NULL when all weights are 0. A hash
 * of the request id chooses it, so that many requests are split by weight and
 * requests with the same id get the same service. */
const char *Route_PickService(const Route *route, const char *request_id);

/** Returns the route's own copy of the service's name, or NULL if requests of
 * the route never go to the service. */
const char *Route_FindService(const Route *route, const char *service);

/** Returns true when the service has a weight above 0 in the route. */
bool Route_HasService(const Route *route, const char *service);

#endif
