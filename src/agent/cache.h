/** @file
 * Model of an endpoint's prefix cache: a bounded set of block hashes in order
 * of last use. It only guides the choice of an endpoint. An error in it costs
 * time, but not correctness.
 */
#ifndef LAURELLIFT_AGENT_CACHE_H
#define LAURELLIFT_AGENT_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef struct PrefixCache PrefixCache;

/** @param capacity  maximum number of blocks, above which the least recently
 *                   used one is evicted. */
PrefixCache *Cache_New(uint32_t capacity);
void Cache_Free(PrefixCache *cache);

/** Adds blocks, or marks them as most recently used. */
void Cache_Add(PrefixCache *cache, const uint64_t *blocks, uint32_t count);

/** Removes blocks that the endpoint evicted. */
void Cache_Evict(PrefixCache *cache, const uint64_t *blocks, uint32_t count);

/** Removes the @p count least recently used blocks. */
void Cache_EvictOldest(PrefixCache *cache, uint32_t count);

/** Removes all blocks and discards the changes since the last
 * Cache_TakeChanges. */
void Cache_Clear(PrefixCache *cache);

/** Returns the number of leading blocks of a chain that are cached. */
uint32_t Cache_CountLeading(const PrefixCache *cache, const uint64_t *chain,
                            uint32_t count);

uint32_t Cache_Size(const PrefixCache *cache);

/** Appends all blocks (uint64_t) to @p out. */
void Cache_List(const PrefixCache *cache, GArray *out);

/** Appends the changes since the last call to arrays of uint64_t. A block that
 * was added and evicted appears only in the array of its last change.
 * @return true if the cache was cleared; the caller must then remove all
 *         blocks before it applies the changes. */
bool Cache_TakeChanges(PrefixCache *cache, GArray *added, GArray *evicted);

#endif
