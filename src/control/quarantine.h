/** @file
 * Quarantine: fingerprints of requests that were in flight when an endpoint
 * crashed. Pure: time is the replicated time of the log.
 *
 * The first crash makes a fingerprint a suspect: entries run it alone. A
 * suspect that ran alone to the end is cleared. A second crash within
 * QUARANTINE_SUSPECT_WINDOW_MS quarantines it: no entry runs it until an
 * operator lifts it or QUARANTINE_DURATION_MS have passed since its last
 * crash.
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
/** Suspects and quarantined fingerprints kept, each; the oldest go first. */
#define QUARANTINE_MAX 4096
/** Fingerprints that one crash report may name. */
#define QUARANTINE_REPORT_MAX 1024

typedef struct Quarantine Quarantine;

Quarantine *Quarantine_New(void);
void Quarantine_Free(Quarantine *quarantine);

/** Forgets what has lapsed. @return true when something changed. */
bool Quarantine_Expire(Quarantine *quarantine, uint64_t clock_ms);

/** Counts a crash of an endpoint for each fingerprint in flight.
 * @param endpoint  name of the endpoint, kept as the reason. */
void Quarantine_RecordCrash(Quarantine *quarantine,
                            const uint64_t *fingerprints, size_t count,
                            const char *endpoint, uint64_t clock_ms);

/** Clears suspects that ran alone to the end; quarantined ones stay.
 * @return true when something changed. */
bool Quarantine_Clear(Quarantine *quarantine, const uint64_t *fingerprints,
                      size_t count);

/** Forgets fingerprints at an operator's word. @return how many there were. */
size_t Quarantine_Lift(Quarantine *quarantine, const uint64_t *fingerprints,
                       size_t count);

size_t Quarantine_Count(const Quarantine *quarantine);

/** All entries for a Quarantine frame: suspects, then quarantined ones. The
 * reasons stay owned by the table; the caller frees each record and the
 * array with g_free. */
Wire__QuarantineEntry **Quarantine_List(const Quarantine *quarantine,
                                        size_t *count);

/** Adds the entries to a snapshot, under the same ownership. */
void Quarantine_Save(const Quarantine *quarantine, State__Snapshot *snapshot);

/** Fills an empty table. */
void Quarantine_Load(Quarantine *quarantine, const State__Snapshot *snapshot);

#endif
