/** @file
 * Bounded table of pairs of a prefix block and a holder, which is an endpoint
 * that has the block cached. Cache events may be late or lost, so pairs may be
 * outdated; new pairs replace the oldest ones. Only Blocks_New allocates
 * memory.
 */
#ifndef LAURELLIFT_SCHED_BLOCKS_H
#define LAURELLIFT_SCHED_BLOCKS_H

#include "sched/work.h"

/** Maximum number of recorded holders of one block. Fewer are recorded if
 * other blocks of the same set evict them. */
#define BLOCKS_HOLDERS_MAX 16

typedef struct Blocks Blocks;

/** @param pairs  number of block and holder pairs to store, rounded up to a
 *         power of two. */
Blocks *Blocks_New(uint32_t pairs);
void Blocks_Free(Blocks *blocks);
/** Removes all pairs. */
void Blocks_Clear(Blocks *blocks);

void Blocks_Add(Blocks *blocks, uint64_t block, uint64_t holder);
void Blocks_Remove(Blocks *blocks, uint64_t block, uint64_t holder);
bool Blocks_Has(const Blocks *blocks, uint64_t block, uint64_t holder);

/** Returns the number of leading blocks of the prompt that the holder has
 * cached, up to the last recorded one. The hash of that block covers the
 * preceding blocks, so they count as cached even if their cache events were
 * lost. */
uint32_t Blocks_CountLeading(const Blocks *blocks, const WorkSpec *work,
                             uint64_t holder);

/** Writes the holders of a block.
 * @return their number, at most BLOCKS_HOLDERS_MAX. */
uint32_t Blocks_Holders(const Blocks *blocks, uint64_t block,
                        uint64_t holders[BLOCKS_HOLDERS_MAX]);

#endif
