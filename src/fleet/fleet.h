/** @file
 * Fleet task: the newest configuration document in the replicated log, the
 * directory of endpoints, and the links of gateways.
 *
 * The functions below must be called on the task's event loop. The program
 * that adds the task provides the API through which operators and endpoints
 * reach them.
 */
#ifndef LAURELLIFT_FLEET_FLEET_H
#define LAURELLIFT_FLEET_FLEET_H

#include "kernel/settings.h"
#include "kernel/task.h"
#include "routes/codec.h"
#include "routes/endpoint.h"
#include "routes/rollout.h"

typedef struct Fleet Fleet;

/** Limits of roll-outs that the fleet's operators set. */
typedef struct FleetRolloutBounds {
    double exposure_share; /**< Largest fraction of a service's requests that a
                              bad version gets; 0: there are no roll-outs. */
    double exposure_slack; /**< Requests beyond that share. */
} FleetRolloutBounds;

typedef struct FleetOptions {
    const Settings *settings; /**< Its `control` member must be set. */
    const RouteCodec *codec;
    FleetRolloutBounds rollouts;
} FleetOptions;

typedef enum FleetOutcome {
    FLEET_DONE,
    FLEET_INVALID,     /**< The document is invalid. */
    FLEET_NOT_LEADER,  /**< Another host is the leader. */
    FLEET_UNAVAILABLE, /**< No known leader. Nothing was changed; the caller
                          may retry. */
    FLEET_UNKNOWN,     /**< Leadership was lost, or the command timed out: it
                          may still take effect. The caller may retry. */
    FLEET_CONFLICT,    /**< Another roll-out of the service is in progress. */
} FleetOutcome;

typedef struct FleetResult {
    FleetOutcome outcome;
    const char *text;   /**< Error message of FLEET_INVALID. */
    const char *leader; /**< IP address of the leader for FLEET_NOT_LEADER. */
    uint64_t version;   /**< Current version for FLEET_DONE; 0: no document. */
    GBytes *document;   /**< Result of Fleet_Read(); NULL: no document. */
    const Rollout *rollout; /**< Result of Fleet_ReadRollout(); NULL: the
                               service has had none. */
} FleetResult;

typedef void (*FleetDone)(void *arg, const FleetResult *result);

/** Creates the fleet and adds its task to the kernel. */
Fleet *Fleet_AddTask(Kernel *kernel, const FleetOptions *options);

/** Proposes a document. If its version is not higher than the current one,
 * calls @p done with FLEET_DONE at once and changes nothing. */
void Fleet_Replace(Fleet *fleet, const char *document, size_t length,
                   FleetDone done, void *arg);

/** Reads the newest document after a majority has confirmed that this host is
 * still the leader. */
void Fleet_Read(Fleet *fleet, FleetDone done, void *arg);

/** Returns whether the settings allow roll-outs. */
bool Fleet_HasRollouts(const Fleet *fleet);

/** Orders that the traffic of a service move to a version. FLEET_DONE means
 * that the order is in the replicated log. A repetition of an order is
 * acknowledged like the first one until the deadline of the first.
 * @param deadline_ms  time until the roll-out has completed or is reverted. */
void Fleet_BeginRollout(Fleet *fleet, const char *service, const char *target,
                        uint64_t deadline_ms, FleetDone done, void *arg);

/** Reads the newest roll-out of a service after a majority has confirmed that
 * this host is still the leader. */
void Fleet_ReadRollout(Fleet *fleet, const char *service, FleetDone done,
                       void *arg);

/** Updates the directory and sends changed records to every gateway. What ends
 * the use of an endpoint (it drains, or has gone) takes effect at this host at
 * once, but is FLEET_DONE only when it is in the replicated log, so that it is
 * known to whichever control hosts remain; FLEET_UNKNOWN within a second
 * otherwise. Other announcements are FLEET_DONE at once. */
void Fleet_UpdateEndpoint(Fleet *fleet, const EndpointRecord *record,
                          FleetDone done, void *arg);

#endif
