/** @file
 * Model of an endpoint's prefix cache: a bounded set of block hashes in
 * order of last use. It only guides placement; being wrong costs time.
 */
#ifndef LAURELLIFT_AGENT_CACHE_H
#define LAURELLIFT_AGENT_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef struct PrefixCache PrefixCache;

/** @param capacity  most blocks held; the least recently used one goes. */
PrefixCache *Cache_New(uint32_t capacity);
void Cache_Free(PrefixCache *cache);

/** Marks blocks as cached and just used. */
void Cache_Add(PrefixCache *cache, const uint64_t *blocks, uint32_t count);

/** Forgets blocks that the endpoint dropped. */
void Cache_Evict(PrefixCache *cache, const uint64_t *blocks, uint32_t count);

/** Forgets the @p count least recently used blocks. */
void Cache_EvictOldest(PrefixCache *cache, uint32_t count);

/** Forgets all blocks. */
void Cache_Clear(PrefixCache *cache);

/** How many leading blocks of a chain are held. */
uint32_t Cache_CountLeading(const PrefixCache *cache, const uint64_t *chain,
                            uint32_t count);

uint32_t Cache_Size(const PrefixCache *cache);

/** Appends all blocks (uint64_t) to @p out. */
void Cache_List(const PrefixCache *cache, GArray *out);

/** Moves out the changes since the last call, as arrays of uint64_t. A
 * block that came and went stands only where it ended.
 * @return true when the cache was cleared: forget all, then apply. */
bool Cache_TakeChanges(PrefixCache *cache, GArray *added, GArray *evicted);

#endif
