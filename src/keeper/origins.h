/** @file
 * Keeper: origins of streams that gateways tell, for gateways that have
 * started again and know none.
 */
#ifndef LAURELLIFT_KEEPER_ORIGINS_H
#define LAURELLIFT_KEEPER_ORIGINS_H

#include <stddef.h>

#include "wire/generated/wire.pb-c.h"
#include "wire/link.h"

typedef struct KeeperOrigins KeeperOrigins;

KeeperOrigins *KeeperOrigins_New(void);
void KeeperOrigins_Free(KeeperOrigins *origins);
void KeeperOrigins_OnNews(KeeperOrigins *origins,
                          const Wire__StreamOriginNews *news);

/** Answers a gateway's question if the origin is known. */
void KeeperOrigins_OnQuery(const KeeperOrigins *origins, Link *link,
                           const Wire__StreamOriginQuery *query);
size_t KeeperOrigins_Count(const KeeperOrigins *origins);

#endif
