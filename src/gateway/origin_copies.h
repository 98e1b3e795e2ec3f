/** @file
 * Gateway: copies of the origins of streams at keepers, which survive when all
 * gateways and control hosts end at once.
 */
#ifndef LAURELLIFT_GATEWAY_ORIGIN_COPIES_H
#define LAURELLIFT_GATEWAY_ORIGIN_COPIES_H

#include "sched/stream_origins.h"
#include "wire/link.h"

typedef struct Call Call;
typedef struct Gateway Gateway;
typedef struct OriginCopies OriginCopies;

OriginCopies *OriginCopies_New(const Gateway *gateway);
void OriginCopies_Free(OriginCopies *copies);

/* Tells the keeper that granted the call's slot how its stream began, and two
 * other keepers of the service. An origin that keepers have been told already
 * is a correction and goes to the same ones. */
void OriginCopies_Tell(OriginCopies *copies, const Call *call,
                       const StreamOrigin *origin);

/* Tells a keeper that has connected again what it had been told, since it may
 * have started again or missed a correction. */
void OriginCopies_SendAll(OriginCopies *copies, const char *address,
                          Link *link);

#endif
