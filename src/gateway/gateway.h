/** @file
 * Gateway task: routes callers' requests to the endpoints of a fleet.
 */
#ifndef LAURELLIFT_GATEWAY_GATEWAY_H
#define LAURELLIFT_GATEWAY_GATEWAY_H

#include "kernel/settings.h"
#include "kernel/task.h"
#include "routes/codec.h"
#include "sched/zone_choice.h"

typedef struct Gateway Gateway;

/** Names of the header fields that callers and endpoints use. */
typedef struct GatewayFields {
    const char *request_id;
    const char *deadline_ms;  /**< Time that the caller still waits. */
    const char *tokens;       /**< "IN,OUT": prompt tokens, longest output. */
    const char *prompt_parts; /**< "ID:TOKENS,...": parts of the prompt in
                                 order, the last of which other requests do not
                                 share. */
    const char *length_hint;  /**< Output tokens that the caller expects. */
    const char *last_event;   /**< Id of the event to resume a stream after. */
    const char *resumes;      /**< Id of the request that began the stream. */
    const char *signature;    /**< Endpoint's signature of its answer. */
    const char *account;      /**< Account name, set by the gateway. */
    const char *instance;     /**< Id of the intended endpoint, set by the
                                 gateway. */
    const char *load;         /**< Endpoint's load, as LoadReport_Parse() reads
                                 it. */
    const char *rate_limit;   /**< Requests per second that the endpoint takes
                                     from all senders together. */
    const char *leaving;      /**< "1" in an answer: the endpoint leaves. */
    const char *engine_version;  /**< Version of the weights that the caller
                                    wants; an engine with another one answers
                                    421. */
    const char *not_run;         /**< Marks a request that the endpoint did not
                                    run. */
    const char *const *reserved; /**< Fields dropped from callers' requests;
                                    NULL-terminated. */
} GatewayFields;

/** Limits that the fleet's operators set. */
typedef struct GatewayBounds {
    uint32_t key_revocation_ms; /**< Time after which all gateways refuse a
                                   revoked key; 0 if unlimited. */
    double retry_ratio;         /**< Retries allowed for each request. */
    uint32_t retry_min_count;   /**< Further retries allowed in a window, for
                                   all gateways together. */
    uint32_t retry_window_ms;   /**< Length of the window of both limits. */
    double quota_slack; /**< Units by which all gateways together may exceed
                           an account's limit. */
    uint32_t stop_ms;   /**< Longest time of a planned stop. */
    bool fair_accounts; /**< Engine time is divided between the accounts of a
                           tier (sched/fair_accounts.h). */
    /** Callers may read slowly for long: what the kernel holds for them is
     * bounded too, and engines are sent only what fits into their memory. */
    bool spares_memory;
    double exposure_share; /**< Largest fraction of a service's requests that
                              a bad version gets; 0: there are no
                              roll-outs. */
} GatewayBounds;

typedef struct GatewayOptions {
    const char *name;
    const char *zone;
    const char *region;
    const char *listen; /**< IP:PORT for callers. */
    const char *const
        *hosts; /**< IP:PORT of control hosts; NULL-terminated. */
    /** Returns the region of an availability zone, or NULL if unknown. */
    const char *(*region_of)(const void *arg, const char *zone);
    const void *region_arg;
    uint16_t keeper_port; /**< Port of the engines' slot keepers; 0 if there
                             are none. */
    const RouteCodec *codec;
    const GatewayFields *fields;
    GatewayBounds bounds;
    ZoneTransfer zone_transfer; /**< Costs of leaving the zone; if not enabled,
                                     fixed ones apply. */
    unsigned regions;           /**< Number of regions of the fleet. */
} GatewayOptions;

/** Creates the gateway and adds its task. @p options must outlive the
 * kernel. */
Gateway *Gateway_AddTask(Kernel *kernel, const GatewayOptions *options);

/** Returns whether the gateway should receive new connections: it has a
 * configuration and a lease and is not stopping. */
bool Gateway_IsReady(const Gateway *gateway);

#endif
