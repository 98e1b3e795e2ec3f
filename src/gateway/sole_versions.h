/** @file
 * Gateway: services that have had one version of their software for so long
 * that each stream which may be taken up began at it.
 */
#ifndef LAURELLIFT_GATEWAY_SOLE_VERSIONS_H
#define LAURELLIFT_GATEWAY_SOLE_VERSIONS_H

#include <stdbool.h>

#include "routes/table.h"

typedef struct Call Call;
typedef struct Endpoint Endpoint;
typedef struct Gateway Gateway;
typedef struct SoleVersions SoleVersions;

SoleVersions *SoleVersions_New(const Gateway *gateway);
void SoleVersions_Free(SoleVersions *versions);

/* Updates which version is the only one of a service. */
void SoleVersions_OnEndpoints(SoleVersions *versions, const char *service);

/* Records that an endpoint is removed. If its start was uncertain, the time
 * for which its service has had one version begins again. */
void SoleVersions_OnLeft(SoleVersions *versions, const Endpoint *endpoint);

/* Updates since when routes have had one service. */
void SoleVersions_OnTable(SoleVersions *versions, const RouteTable *table);

/* Returns the only version of the call's service, at which each stream of the
 * service that may be taken up now must have begun, or NULL.
 * @param of_route  each stream of the call's route must have begun at the
 *                  service too. */
const char *SoleVersions_Find(const SoleVersions *versions, const Call *call,
                              bool of_route);

#endif
