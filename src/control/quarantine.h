/** @file
 * Quarantine: fingerprints of requests that were in flight when an endpoint
 * crashed. Pure: time is the replicated clock.
 *
 * After the first crash a fingerprint is a suspect, and entries run its
 * requests alone. A suspect whose request completes alone is cleared. A second
 * crash within QUARANTINE_SUSPECT_WINDOW_MS quarantines the fingerprint: no
 * entry runs its requests until an operator lifts the quarantine or
 * QUARANTINE_DURATION_MS have passed since the last crash.
 */
#ifndef LAURELLIFT_CONTROL_QUARANTINE_H
#define LAURELLIFT_CONTROL_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/generated/state.pb-c.h"
#include "wire/generated/wire.pb-c.h"

#define QUARANTINE_SUSPECT_WINDOW_MS (10u * 60 * 1000)
#define QUARANTINE_DURATION_MS (24u * 3600 * 1000)
/** Maximum number of suspects and, separately, of quarantined fingerprints.
 * Beyond it the one with the oldest crash is removed. */
#define QUARANTINE_MAX 4096
/** Maximum number of fingerprints in one crash report. */
#define QUARANTINE_REPORT_FINGERPRINTS_MAX 1024

typedef struct Quarantine Quarantine;

Quarantine *Quarantine_New(void);
void Quarantine_Free(Quarantine *quarantine);

/** Removes expired suspects and quarantines.
 * @return true when any was removed. */
bool Quarantine_Expire(Quarantine *quarantine, uint64_t clock_ms);

/** Counts one crash for each distinct fingerprint that was in flight.
 * @param endpoint  name of the crashed endpoint, stored as the reason. */
void Quarantine_RecordCrash(Quarantine *quarantine,
                            const uint64_t *fingerprints, size_t count,
                            const char *endpoint, uint64_t clock_ms);

/** Removes suspects whose request completed alone. Quarantined fingerprints
 * stay.
 * @return true when any was removed. */
bool Quarantine_Clear(Quarantine *quarantine, const uint64_t *fingerprints,
                      size_t count);

/** Removes suspects and quarantined fingerprints on an operator's request.
 * @return the number removed. */
size_t Quarantine_Lift(Quarantine *quarantine, const uint64_t *fingerprints,
                       size_t count);

size_t Quarantine_Count(const Quarantine *quarantine);

/** Returns all entries for a Quarantine frame, suspects first. The reasons
 * stay owned by the table; the caller frees each entry and the array with
 * g_free. */
Wire__QuarantineEntry **Quarantine_List(const Quarantine *quarantine,
                                        size_t *count);

/** Adds all entries to a snapshot. The reasons stay owned by the table; the
 * caller frees each record and the array with g_free. */
void Quarantine_Save(const Quarantine *quarantine, State__Snapshot *snapshot);

/** Loads the entries of a snapshot into an empty table. */
void Quarantine_Load(Quarantine *quarantine, const State__Snapshot *snapshot);

#endif
