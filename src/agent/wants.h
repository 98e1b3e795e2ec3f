/** @file
 * Table of the wants that wait for a slot or a dispatch, and of the ids of
 * requests that did not run.
 */
#ifndef LAURELLIFT_AGENT_WANTS_H
#define LAURELLIFT_AGENT_WANTS_H

#include <glib.h>

#include "sched/work.h"

typedef struct WantTable WantTable;

/** One want that waits for a slot or for its dispatch. */
typedef struct WantInfo {
    WorkSpec work;
    uint64_t owner; /**< Token of the entry's link. */
    TimeUs arrived_at;
    TimeUs granted_at; /**< 0 while the want waits for a slot. */
} WantInfo;

/** @param capacity  maximum number of wants, above which new ones are ignored,
 *                   and of ids that did not run, above which the oldest is
 *                   removed. */
WantTable *Wants_New(uint32_t capacity);
void Wants_Free(WantTable *wants);

/** Adds a want. Has no effect if the id is present or the table is full. */
void Wants_Add(WantTable *wants, const WorkSpec *work, uint64_t owner,
               TimeUs now);

/** Returns the want with this id, or NULL. */
WantInfo *Wants_Find(WantTable *wants, RequestId id);

void Wants_Remove(WantTable *wants, RequestId id);
void Wants_RemoveOwner(WantTable *wants, uint64_t owner);

/** Removes the wants that are past their deadline and those whose grant is
 * @p grant_ttl old, and records that they did not run. */
void Wants_Expire(WantTable *wants, TimeUs now, TimeUs grant_ttl);

/** Records that the request did not run here and never will. */
void Wants_RecordNotRun(WantTable *wants, RequestId id);

/** Removes the want and any record that the request did not run. Must be
 * called when the request starts to run. */
void Wants_RecordRun(WantTable *wants, RequestId id);

/** Returns true if the request waits here or is recorded as not run. False
 * does not mean that it ran, as old records are removed. */
bool Wants_DidNotRun(WantTable *wants, RequestId id);

uint32_t Wants_Count(const WantTable *wants);

/** Calls @p visit for each want. */
void Wants_ForEach(WantTable *wants,
                   void (*visit)(const WantInfo *info, void *arg), void *arg);

#endif
