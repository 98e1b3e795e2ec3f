/** @file
 * Route history: since when each route has sent all requests to one service.
 * Has no I/O and reads no clock.
 */
#ifndef LAURELLIFT_ROUTES_ROUTE_HISTORY_H
#define LAURELLIFT_ROUTES_ROUTE_HISTORY_H

#include "kernel/clock.h"
#include "routes/table.h"

typedef struct RouteHistory RouteHistory;

RouteHistory *RouteHistory_New(void);
void RouteHistory_Free(RouteHistory *history);

/** Records the table that is in force from @p now. After a route was removed,
 * the others of its host count as changed, because one of them may take over
 * its requests. */
void RouteHistory_Apply(RouteHistory *history, const RouteTable *table,
                        TimeUs now);

/** Returns since when all requests that match the route have gone to the one
 * service that it names; TIME_NEVER if it names several or is unknown. */
TimeUs RouteHistory_SoleSince(const RouteHistory *history, const Route *route);

#endif
