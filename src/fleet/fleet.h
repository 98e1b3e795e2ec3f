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

typedef struct Fleet Fleet;

typedef struct FleetOptions {
    const Settings *settings; /**< Its `control` member must be set. */
    const RouteCodec *codec;
} FleetOptions;

typedef enum FleetOutcome {
    FLEET_DONE,
    FLEET_INVALID,     /**< The document is invalid. */
    FLEET_NOT_LEADER,  /**< Another host is the leader. */
    FLEET_UNAVAILABLE, /**< No known leader, leadership was lost, or the
                          command timed out. The caller may retry. */
} FleetOutcome;

typedef struct FleetResult {
    FleetOutcome outcome;
    const char *text;   /**< Error message of FLEET_INVALID. */
    const char *leader; /**< IP address of the leader for FLEET_NOT_LEADER. */
    uint64_t version;   /**< Current version for FLEET_DONE; 0: no document. */
    GBytes *document;   /**< Result of Fleet_Read(); NULL: no document. */
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

/** Updates the directory and sends changed records to every gateway. */
void Fleet_UpdateEndpoint(Fleet *fleet, const EndpointRecord *record);

#endif
