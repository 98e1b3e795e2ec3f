/** @file
 * Parts of prompts that crashed endpoints: the crash table (sched) in the
 * replicated state. Pure: time is the replicated clock.
 *
 * A suspected part does not make its requests run alone, since sound requests
 * share it. Agents report which suspected parts their endpoint has answered.
 */
#ifndef LAURELLIFT_CONTROL_PART_SUSPECTS_H
#define LAURELLIFT_CONTROL_PART_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

/** Maximum number of parts in one crash report. */
#define PART_SUSPECTS_REPORT_MAX 4096

typedef struct PartSuspects PartSuspects;

PartSuspects *PartSuspects_New(void);
void PartSuspects_Free(PartSuspects *suspects);

/** Counts the crash of one incarnation of an endpoint against each part.
 * @return true when the list changed. */
bool PartSuspects_RecordCrash(PartSuspects *suspects, const uint64_t *parts,
                              size_t count, uint64_t incarnation,
                              uint64_t clock_ms);

/** Records that endpoints survived the parts.
 * @return the number of parts that are no longer suspected. */
size_t PartSuspects_Acquit(PartSuspects *suspects, const uint64_t *parts,
                           size_t count, uint64_t clock_ms);

/** Returns true when the time has ended a quarantine since the last call of
 * this package. */
bool PartSuspects_Expire(PartSuspects *suspects, uint64_t clock_ms);

/** Returns the number of suspected parts. */
size_t PartSuspects_Count(const PartSuspects *suspects);

/** Appends an entry (Wire__QuarantineEntry, freed with g_free) for each part
 * with two crashes or more. */
void PartSuspects_List(PartSuspects *suspects, uint64_t clock_ms,
                       GPtrArray *entries);

/** Adds all records to a snapshot. The caller frees each record and the arrays
 * with g_free. */
void PartSuspects_Save(const PartSuspects *suspects, uint64_t clock_ms,
                       State__Snapshot *snapshot);

/** Loads the records of a snapshot into an empty table. */
void PartSuspects_Load(PartSuspects *suspects,
                       const State__Snapshot *snapshot);

#endif
