/** @file
 * Route table: routes by host and longest path prefix, services, client
 * accounts with keys and limits. Built once from a whole document with a
 * version; immutable afterwards.
 */
#ifndef LAURELLIFT_ROUTES_TABLE_H
#define LAURELLIFT_ROUTES_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"

/** How often a request of a route may run. */
typedef enum RouteKind {
    ROUTE_IDEMPOTENT,   /**< May run again at any time. */
    ROUTE_AT_MOST_ONCE, /**< At most once for each attempt of a client. */
    ROUTE_STREAM, /**< An event stream; as ROUTE_AT_MOST_ONCE unless resumable.
                   */
} RouteKind;

/** Share of a route's requests that goes to one service. */
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
    uint32_t latency_target_ms; /**< Time for full credit. */
    uint32_t gap_target_ms;     /**< Longest pause between events; 0: none. */
    uint32_t tier;              /**< 0 is the highest. */
    uint32_t max_attempts; /**< Endpoints that one attempt may be sent to. */
    bool is_public;        /**< No key is asked for. */
    bool resumable;        /**< A broken stream may go on elsewhere. */
    GArray *splits;        /**< RouteSplit. */
} Route;

typedef struct RouteService {
    const char *name;
    uint32_t max_connections; /**< Of one endpoint, over all callers. */
    bool is_engine;           /**< A model engine, with the fields below. */
    uint32_t slots;
    uint64_t kv_tokens; /**< Memory of one engine, in tokens. */
} RouteService;

typedef struct RouteAccount {
    const char *name;
    bool has_tier; /**< tier goes before the route's. */
    uint32_t tier;
    bool counts_tokens;      /**< The limit counts tokens, not requests. */
    uint32_t default_tokens; /**< Of a request that names no token count. */
    double rate;             /**< Units a second over all entries; 0: none. */
    double burst;            /**< Units. */
    GPtrArray *keys;         /**< const char *. */
} RouteAccount;

/** Bounds of what a caller may send. */
typedef struct RouteLimits {
    uint32_t max_head_bytes;
    uint32_t max_body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} RouteLimits;

typedef struct RouteTable RouteTable;

/** Makes an empty table to be filled by the calls below. */
RouteTable *RouteTable_New(uint64_t version);
RouteTable *RouteTable_Ref(RouteTable *table);
void RouteTable_Unref(RouteTable *table);

/** A copy of @p text that lives as long as the table. */
const char *RouteTable_Text(RouteTable *table, const char *text);

/** Each adds one item and takes over what it holds. */
void RouteTable_AddRoute(RouteTable *table, const Route *route);
void RouteTable_AddService(RouteTable *table, const RouteService *service);
void RouteTable_AddAccount(RouteTable *table, const RouteAccount *account);
void RouteTable_SetLimits(RouteTable *table, const RouteLimits *limits);

/** Checks the whole and builds the indexes. ERR_INVALID names the first
 * fault: an unknown service, two routes of one place, weights that add up to
 * nothing, a time-out of 0, a key of two accounts. */
int RouteTable_Finish(RouteTable *table, Error *err);

uint64_t RouteTable_Version(const RouteTable *table);
const RouteLimits *RouteTable_Limits(const RouteTable *table);
bool RouteTable_HasAccounts(const RouteTable *table);

/** The route for a host (any case, a port is ignored) and path, or NULL. */
const Route *RouteTable_Match(const RouteTable *table, const char *host,
                              const char *path);

/** The account that holds the key, or NULL. */
const RouteAccount *RouteTable_Account(const RouteTable *table,
                                       const char *key);

const RouteService *RouteTable_Service(const RouteTable *table,
                                       const char *name);

/** Calls @p visit for each account. */
void RouteTable_ForEachAccount(const RouteTable *table,
                               void (*visit)(void *arg,
                                             const RouteAccount *account),
                               void *arg);

/** The service that serves this request: the shares are kept over many
 * requests, and one request id always goes to the same. */
const char *Route_PickService(const Route *route, const char *request_id);

/** Whether the route sends a share of its requests to the service. */
bool Route_HasService(const Route *route, const char *service);

#endif
