/** @file
 * Set-associative table that replaces the oldest pair of a set.
 */
#include "sched/blocks.h"

#include <string.h>

#include <glib.h>

typedef struct Pair {
    uint64_t block;
    uint64_t holder; /* 0 if the entry is empty */
} Pair;

struct Blocks {
    uint32_t mask;
    uint8_t *next_way; /* by set: position of the pair to replace */
    Pair *pairs;
};

Blocks *
Blocks_New(uint32_t pairs)
{
    uint32_t sets = 1;
    while (sets * BLOCKS_HOLDERS_MAX < pairs) {
        sets *= 2;
    }
    Blocks *blocks = g_new0(Blocks, 1);
    blocks->mask = sets - 1;
    blocks->next_way = g_new0(uint8_t, sets);
    blocks->pairs = g_new0(Pair, (size_t)sets * BLOCKS_HOLDERS_MAX);
    return blocks;
}

void
Blocks_Free(Blocks *blocks)
{
    g_free(blocks->pairs);
    g_free(blocks->next_way);
    g_free(blocks);
}

void
Blocks_Clear(Blocks *blocks)
{
    size_t pairs = ((size_t)blocks->mask + 1) * BLOCKS_HOLDERS_MAX;
    memset(blocks->pairs, 0, pairs * sizeof(Pair));
}

static uint32_t
set_of(const Blocks *blocks, uint64_t block)
{
    return (uint32_t)(block * 0x9e3779b97f4a7c15U >> 32) & blocks->mask;
}

static Pair *
find_pair(const Blocks *blocks, uint64_t block, uint64_t holder)
{
    Pair *pairs = &blocks->pairs[set_of(blocks, block) * BLOCKS_HOLDERS_MAX];
    for (uint32_t i = 0; i < BLOCKS_HOLDERS_MAX; i++) {
        if (pairs[i].block == block && pairs[i].holder == holder) {
            return &pairs[i];
        }
    }
    return NULL;
}

void
Blocks_Add(Blocks *blocks, uint64_t block, uint64_t holder)
{
    if (find_pair(blocks, block, holder) != NULL) {
        return;
    }
    uint32_t set = set_of(blocks, block);
    Pair *pairs = &blocks->pairs[set * BLOCKS_HOLDERS_MAX];
    uint32_t way = blocks->next_way[set];
    blocks->next_way[set] = (uint8_t)((way + 1) % BLOCKS_HOLDERS_MAX);
    pairs[way] = (Pair){.block = block, .holder = holder};
}

void
Blocks_Remove(Blocks *blocks, uint64_t block, uint64_t holder)
{
    Pair *pair = find_pair(blocks, block, holder);
    if (pair != NULL) {
        pair->holder = 0;
    }
}

bool
Blocks_Has(const Blocks *blocks, uint64_t block, uint64_t holder)
{
    return find_pair(blocks, block, holder) != NULL;
}

uint32_t
Blocks_CountLeading(const Blocks *blocks, const WorkSpec *work,
                    uint64_t holder)
{
    uint32_t count = work->prefix_count;
    while (count > 0 && !Blocks_Has(blocks, work->prefix[count - 1], holder)) {
        count--;
    }
    return count;
}

uint32_t
Blocks_Holders(const Blocks *blocks, uint64_t block,
               uint64_t holders[BLOCKS_HOLDERS_MAX])
{
    const Pair *pairs =
        &blocks->pairs[set_of(blocks, block) * BLOCKS_HOLDERS_MAX];
    uint32_t count = 0;
    for (uint32_t i = 0; i < BLOCKS_HOLDERS_MAX; i++) {
        if (pairs[i].block == block && pairs[i].holder != 0) {
            holders[count++] = pairs[i].holder;
        }
    }
    return count;
}
