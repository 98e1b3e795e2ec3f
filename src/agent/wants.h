/** @file
 * What the agent remembers of wants until they run or end: the prefix chain
 * and the figures that a state dump shows.
 */
#ifndef LAURELLIFT_AGENT_WANTS_H
#define LAURELLIFT_AGENT_WANTS_H

#include <glib.h>

#include "sched/work.h"

typedef struct WantTable WantTable;

/** One want that waits for a slot or for its dispatch. */
typedef struct WantInfo {
    WorkSpec work;
    uint64_t owner;    /**< Token of the entry's link. */
    TimeUs arrived_at; /**< When the want came. */
    TimeUs granted_at; /**< 0: waits for a slot. */
} WantInfo;

/** @param capacity  most wants held, and most lapsed ones remembered; others
 *                   are passed over. */
WantTable *Wants_New(uint32_t capacity);
void Want_Free(WantTable *wants);

/** Remembers a want; the first of an id stays. */
void Wants_Add(WantTable *wants, const WorkSpec *work, uint64_t owner,
               TimeUs now);

/** The want of this id, or NULL. */
WantInfo *Wants_Find(WantTable *wants, RequestId id);

void Wants_Remove(WantTable *wants, RequestId id);
void Wants_RemoveOwner(WantTable *wants, uint64_t owner);

/** Forgets wants past their deadline and grants older than @p grant_ttl,
 * and notes that they did not run. */
void Wants_Expire(WantTable *wants, TimeUs now, TimeUs grant_ttl);

/** Notes that the request did not run here and will not. */
void Wants_NoteNotRun(WantTable *wants, RequestId id);

/** The request begins to run: what was noted of it no longer holds. */
void Wants_NoteRun(WantTable *wants, RequestId id);

/** True when the request provably has not run here: it waits, or it lapsed.
 * False also when that was forgotten. */
bool Wants_DidNotRun(WantTable *wants, RequestId id);

uint32_t Wants_Count(const WantTable *wants);

/** Calls @p visit for each want. */
void Wants_ForEach(WantTable *wants,
                   void (*visit)(const WantInfo *info, void *arg), void *arg);

#endif
