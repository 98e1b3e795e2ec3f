/** @file
 * Fleet task: the newest configuration document behind the replicated log,
 * the directory of endpoints, and the links of gateways.
 *
 * The calls below run on the loop of the task. How operators and endpoints
 * reach them is the business of whoever opens the API.
 */
#ifndef LAURELLIFT_FLEET_FLEET_H
#define LAURELLIFT_FLEET_FLEET_H

#include "kernel/settings.h"
#include "kernel/task.h"
#include "routes/codec.h"
#include "routes/endpoint.h"

typedef struct Fleet Fleet;

typedef struct FleetOptions {
    const Settings *settings; /**< With its control part. */
    const RouteCodec *codec;
} FleetOptions;

typedef enum FleetOutcome {
    FLEET_DONE,
    FLEET_INVALID,     /**< The document is refused; text says why. */
    FLEET_NOT_LEADER,  /**< Another host leads; leader is its IP number. */
    FLEET_UNAVAILABLE, /**< No leader, or it was lost meanwhile: ask again. */
} FleetOutcome;

typedef struct FleetResult {
    FleetOutcome outcome;
    const char *text;   /**< FLEET_INVALID. */
    const char *leader; /**< FLEET_NOT_LEADER. */
    uint64_t version;
    GBytes *document; /**< A read that is FLEET_DONE; NULL: none yet. */
} FleetResult;

typedef void (*FleetDone)(void *arg, const FleetResult *result);

/** Makes the fleet and adds its task to the kernel. */
Fleet *Fleet_AddTask(Kernel *kernel, const FleetOptions *options);

/** Offers a whole document. A version that is not higher than the one held
 * is done at once and changes nothing. */
void Fleet_Replace(Fleet *fleet, const char *document, size_t length,
                   FleetDone done, void *arg);

/** Reads the newest document, confirmed by a majority after this call. */
void Fleet_Read(Fleet *fleet, FleetDone done, void *arg);

/** Takes news of an endpoint and passes changes on to every gateway. */
void Fleet_UpdateEndpoint(Fleet *fleet, const EndpointRecord *news);

#endif
