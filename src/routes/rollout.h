/** @file
 * Roll-outs of services to versions of their software, as control hosts keep
 * them in the replicated log and gateways receive them. Has no I/O and no
 * clock.
 */
#ifndef LAURELLIFT_ROUTES_ROLLOUT_H
#define LAURELLIFT_ROUTES_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire/generated/wire.pb-c.h"

/** Most versions that a record bars; the oldest are forgotten first. */
#define ROLLOUT_BARRED_MAX 16

typedef Wire__RolloutState RolloutState;

/** The newest roll-out of a service. */
typedef struct Rollout {
    char *service;
    char *target;           /**< Version. */
    uint64_t ordered_at_ms; /**< Unix time, by the leader's clock. */
    uint64_t deadline_ms;   /**< Unix time. */
    RolloutState state;
    uint64_t order;    /**< Log index of the order. */
    uint64_t revision; /**< Log index of the last change. */
    char *verdict;     /**< What decided, with its figures; "" before. */
    GPtrArray *barred; /**< Versions (char *) that get no requests. */
} Rollout;

/** The roll-outs of all services. */
typedef struct RolloutTable RolloutTable;

/** Returns a copy of a roll-out, which Rollout_Free() frees. */
Rollout *Rollout_Copy(const Rollout *rollout);

/** Returns a roll-out that begins, without order and revision. The versions
 * that @p before bars stay barred, but for the target.
 * @param before  of the service, which has ended; may be NULL. */
Rollout *Rollout_Begin(const char *service, const char *target,
                       const Rollout *before);
void Rollout_Free(Rollout *rollout);

/** Adds a version to those that get no requests. */
void Rollout_Bar(Rollout *rollout, const char *version);
bool Rollout_IsBarred(const Rollout *rollout, const char *version);

/** Returns whether the roll-out has neither completed nor been reverted. */
bool Rollout_InProgress(const Rollout *rollout);

/** Returns a state's name for log records and operators. */
const char *Rollout_StateName(RolloutState state);

/** Fills a message. Its strings and the array @p barred, which the caller
 * frees with g_free(), belong to @p rollout. */
void Rollout_Fill(Wire__Rollout *message, const Rollout *rollout);

/** Returns a copy of the roll-out in a message. */
Rollout *Rollout_Read(const Wire__Rollout *message);

RolloutTable *RolloutTable_New(void);
void RolloutTable_Free(RolloutTable *table);
void RolloutTable_Clear(RolloutTable *table);

/** Returns the roll-out of a service, or NULL. Valid until it is replaced. */
const Rollout *RolloutTable_Find(const RolloutTable *table,
                                 const char *service);
guint RolloutTable_Count(const RolloutTable *table);

/** Stores the roll-out, of which the table takes ownership, if its revision is
 * higher than that of the service's present one.
 * @return false when it is not, and was freed. */
bool RolloutTable_Update(RolloutTable *table, Rollout *rollout);

/** Calls @p visit for each roll-out. */
void RolloutTable_ForEach(const RolloutTable *table,
                          void (*visit)(void *arg, const Rollout *rollout),
                          void *arg);

/** Messages of all roll-outs of a table, for a field of another message. */
typedef struct RolloutMessages {
    Wire__Rollout *items;
    Wire__Rollout **pointers;
    size_t count;
} RolloutMessages;

/** Fills messages, which refer to the table until it changes. */
void RolloutMessages_Fill(RolloutMessages *messages,
                          const RolloutTable *table);
void RolloutMessages_Clear(RolloutMessages *messages);

#endif
