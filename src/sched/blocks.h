/** @file
 * Bounded record of which holder has which prefix block cached. Old pairs
 * give way to new ones, as cache events come late and with gaps. No
 * allocation after Blocks_New.
 */
#ifndef LAURELLIFT_SCHED_BLOCKS_H
#define LAURELLIFT_SCHED_BLOCKS_H

#include "sched/work.h"

/** Holders of one block that are kept at least, while no other block of the
 * same set presses them out. */
#define BLOCKS_HOLDERS_MAX 16

typedef struct Blocks Blocks;

/** @param pairs  block and holder pairs that are kept, about. */
Blocks *Blocks_New(uint32_t pairs);
void Blocks_Free(Blocks *blocks);
/** Forgets everything. */
void Blocks_Clear(Blocks *blocks);

void Blocks_Add(Blocks *blocks, uint64_t block, uint64_t holder);
void Blocks_Remove(Blocks *blocks, uint64_t block, uint64_t holder);
bool Blocks_Has(const Blocks *blocks, uint64_t block, uint64_t holder);

/** Leading blocks of the prompt that the holder has, up to the deepest known
 * one: its hash covers those before it, whose events may have been lost. */
uint32_t Blocks_CountLeading(const Blocks *blocks, const WorkSpec *work,
                             uint64_t holder);

/** Writes the holders of a block.
 * @return how many, at most BLOCKS_HOLDERS_MAX. */
uint32_t Blocks_Holders(const Blocks *blocks, uint64_t block,
                        uint64_t holders[BLOCKS_HOLDERS_MAX]);

#endif
