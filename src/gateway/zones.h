/** @file
 * Gateway: choice of the zone of a request (sched/zone_choice), where the
 * operators have set what traffic between zones costs. Otherwise nothing here
 * has an effect.
 */
#ifndef LAURELLIFT_GATEWAY_ZONES_H
#define LAURELLIFT_GATEWAY_ZONES_H

#include "gateway/state.h"
#include "sched/balancer.h"

typedef struct Zones Zones;

Zones *Zones_New(Gateway *gateway);
void Zones_Free(Zones *zones);

/* Chooses the zone of the call by the usable candidates, and sets the cost of
 * distance of all candidates so that those in this zone are preferred.
 * @param endpoints  of the candidates.
 * @param queued     requests that wait for each engine, beyond its load; NULL
 * for plain services. */
void Zones_Choose(Call *call, Endpoint *const *endpoints, const double *queued,
                  BalancerCandidate *candidates, size_t count);

/* Sets the cost of distance by the zone that was chosen for the call before.
 */
void Zones_SetCosts(const Call *call, Endpoint *const *endpoints,
                    BalancerCandidate *candidates, size_t count);

/* Returns whether the call's wants may leave the region.
 * @param region_left  keepers of the region are left to be asked. */
bool Zones_MayLeaveRegion(const Call *call, bool region_left);

/* Returns the load at which endpoints of plain services get no more requests;
 * @p fixed where no costs are set. */
double Zones_MaxLoad(const Gateway *gateway, double fixed);

/* Counts and logs a request that is sent to another zone. */
void Zones_OnSent(Call *call, const Endpoint *endpoint);

#endif
