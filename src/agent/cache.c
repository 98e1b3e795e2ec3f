/** @file
 * Model of an endpoint's prefix cache: a hash table over a list in order of
 * last use, and a table of the changes since the last Cache_TakeChanges.
 */
#include "agent/cache.h"

#include "kernel/error.h"

typedef enum Change {
    CHANGE_ADDED = 1,
    CHANGE_EVICTED = 2,
} Change;

struct PrefixCache {
    uint32_t capacity;
    GHashTable *blocks;  /* hash -> its GList node in order */
    GQueue order;        /* hashes, least recently used first */
    GHashTable *changes; /* hash -> Change */
    bool cleared;
};

_Static_assert(sizeof(gpointer) >= sizeof(uint64_t),
               "A block hash must fit in a pointer.");

static gpointer
key_of(uint64_t block)
{
    return GSIZE_TO_POINTER(block);
}

PrefixCache *
Cache_New(uint32_t capacity)
{
    PrefixCache *cache = g_new0(PrefixCache, 1);
    cache->capacity = capacity;
    cache->blocks = g_hash_table_new(NULL, NULL);
    cache->changes = g_hash_table_new(NULL, NULL);
    g_queue_init(&cache->order);
    return cache;
}

void
Cache_Free(PrefixCache *cache)
{
    g_hash_table_destroy(cache->blocks);
    g_hash_table_destroy(cache->changes);
    g_queue_clear(&cache->order);
    g_free(cache);
}

static void
note_change(PrefixCache *cache, gpointer key, Change change)
{
    g_hash_table_insert(cache->changes, key, GINT_TO_POINTER(change));
}

static void
remove_block(PrefixCache *cache, gpointer key)
{
    GList *node = g_hash_table_lookup(cache->blocks, key);
    if (node != NULL) {
        g_queue_delete_link(&cache->order, node);
        g_hash_table_remove(cache->blocks, key);
        note_change(cache, key, CHANGE_EVICTED);
    }
}

static void
add_block(PrefixCache *cache, gpointer key)
{
    GList *node = g_hash_table_lookup(cache->blocks, key);
    if (node != NULL) {
        g_queue_unlink(&cache->order, node);
        g_queue_push_tail_link(&cache->order, node);
        return;
    }
    if (cache->order.length >= cache->capacity) {
        Cache_EvictOldest(cache, 1);
    }
    g_queue_push_tail(&cache->order, key);
    g_hash_table_insert(cache->blocks, key, cache->order.tail);
    note_change(cache, key, CHANGE_ADDED);
}

void
Cache_Add(PrefixCache *cache, const uint64_t *blocks, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        add_block(cache, key_of(blocks[i]));
    }
}

void
Cache_Evict(PrefixCache *cache, const uint64_t *blocks, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        remove_block(cache, key_of(blocks[i]));
    }
}

void
Cache_EvictOldest(PrefixCache *cache, uint32_t count)
{
    for (uint32_t i = 0; i < count && cache->order.length > 0; i++) {
        remove_block(cache, g_queue_peek_head(&cache->order));
    }
}

void
Cache_Clear(PrefixCache *cache)
{
    g_hash_table_remove_all(cache->blocks);
    g_hash_table_remove_all(cache->changes);
    g_queue_clear(&cache->order);
    cache->cleared = true;
}

uint32_t
Cache_CountLeading(const PrefixCache *cache, const uint64_t *chain,
                   uint32_t count)
{
    uint32_t held = 0;
    while (held < count &&
           g_hash_table_contains(cache->blocks, key_of(chain[held])))
    {
        held++;
    }
    return held;
}

uint32_t
Cache_Size(const PrefixCache *cache)
{
    return cache->order.length;
}

void
Cache_List(const PrefixCache *cache, GArray *out)
{
    for (GList *at = cache->order.head; at != NULL; at = at->next) {
        uint64_t block = GPOINTER_TO_SIZE(at->data);
        g_array_append_val(out, block);
    }
}

bool
Cache_TakeChanges(PrefixCache *cache, GArray *added, GArray *evicted)
{
    GHashTableIter iter;
    gpointer key;
    gpointer change;
    g_hash_table_iter_init(&iter, cache->changes);
    while (g_hash_table_iter_next(&iter, &key, &change)) {
        uint64_t block = GPOINTER_TO_SIZE(key);
        bool was_added = GPOINTER_TO_INT(change) == CHANGE_ADDED;
        g_array_append_val(was_added ? added : evicted, block);
    }
    g_hash_table_remove_all(cache->changes);
    bool cleared = cache->cleared;
    cache->cleared = false;
    return cleared;
}
