/** @file
 * Gateway task: routes requests of callers to endpoints of a fleet.
 */
#ifndef LAURELLIFT_GATEWAY_GATEWAY_H
#define LAURELLIFT_GATEWAY_GATEWAY_H

#include "kernel/settings.h"
#include "kernel/task.h"
#include "routes/codec.h"

typedef struct Gateway Gateway;

/** Names of the header fields that callers and endpoints use. */
typedef struct GatewayFields {
    const char *request_id;
    const char *deadline_ms; /**< Time that the caller still waits. */
    const char *tokens;      /**< "IN,OUT": prompt and longest output. */
    const char *length_hint; /**< Output tokens that the caller expects. */
    const char *last_event;  /**< Resume a stream after this event. */
    const char *proof;       /**< An endpoint's signature of its answer. */
    const char *account;     /**< Set for the endpoint. */
    const char *instance;    /**< Set for the endpoint: whom we mean. */
    const char *load;        /**< "RUNNING,WAITING,SLOTS" of an endpoint. */
    const char *not_run;     /**< Present: the endpoint did not run it. */
    const char *const *reserved; /**< Not a caller's to set; NULL ends. */
} GatewayFields;

/** Bounds that the fleet's operators state. Spans in milliseconds. */
typedef struct GatewayBounds {
    uint32_t key_revocation_ms; /**< A taken key is refused everywhere after;
                             0: no such bound. */
    double retry_ratio;         /**< Retries allowed for each request. */
    uint32_t retry_min_count;   /**< Retries allowed besides, over all. */
    uint32_t retry_window_ms;
    double quota_slack; /**< Units by which limits may be passed, over all. */
    uint32_t stop_ms;   /**< Longest time of a planned stop. */
} GatewayBounds;

typedef struct GatewayOptions {
    const char *name;
    const char *zone;
    const char *region;
    const char *listen;       /**< IP:PORT for callers. */
    const char *const *hosts; /**< IP:PORT of control hosts; NULL ends. */
    /** Region of an availability zone, or NULL. */
    const char *(*region_of)(const void *arg, const char *zone);
    const void *region_arg;
    uint16_t keeper_port; /**< Of the slot keepers beside engines; 0: none. */
    const RouteCodec *codec;
    const GatewayFields *fields;
    GatewayBounds bounds;
} GatewayOptions;

/** Makes the gateway and adds its task. @p options outlive the kernel. */
Gateway *Gateway_AddTask(Kernel *kernel, const GatewayOptions *options);

/** Whether new connections should come here. */
bool Gateway_Ready(const Gateway *gateway);

#endif
