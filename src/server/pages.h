/** @file
 * Pages that all servers have: /healthz, /readyz, /metrics and /debug/state.
 */
#ifndef LAURELLIFT_SERVER_PAGES_H
#define LAURELLIFT_SERVER_PAGES_H

#include "server/http.h"

/** Adds the pages to a server.
 * @param ready  returns whether the role is ready; NULL: it always is. */
void Pages_Add(HttpServer *server, bool (*ready)(void *owner), void *owner);

#endif
