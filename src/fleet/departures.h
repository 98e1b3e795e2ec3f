/** @file
 * Departures of endpoints in the replicated log: a start that drains or has
 * gone. Control hosts acknowledge a departure once it is committed, so that it
 * outlasts the loss of the host that was told. Has no I/O and no clock.
 */
#ifndef LAURELLIFT_FLEET_DEPARTURES_H
#define LAURELLIFT_FLEET_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/error.h"
#include "routes/endpoint.h"

/** Number of departures that are kept. The oldest one gives way to a new one.
 */
#define DEPARTURES_MAX 4096

typedef struct Departures Departures;

Departures *Departures_New(void);
void Departures_Free(Departures *departures);

/** Serializes a command that adds a departure.
 * @param id  random number that identifies the command.
 * @param record  its state is ENDPOINT_DRAINING or ENDPOINT_GONE. */
GBytes *Departures_PackCommand(uint64_t id, const EndpointRecord *record);

/** Applies a command if it is about a departure. One of an older start than
 * that known for the id, or one that says less, changes nothing.
 * @param record  set to the departure; its strings are valid until the next
 *                change.
 * @return true when it changed something. */
bool Departures_Apply(Departures *departures, const uint8_t *command,
                      size_t length, EndpointRecord *record);

/** Returns whether the departure, or one that says more about the same or a
 * later start of the endpoint, has been applied. */
bool Departures_Has(const Departures *departures,
                    const EndpointRecord *record);

unsigned Departures_Count(const Departures *departures);

/** Calls @p visit for each departure, in the order in which they were applied.
 */
void Departures_ForEach(const Departures *departures,
                        void (*visit)(void *arg, const EndpointRecord *record),
                        void *arg);

/** Appends the departures to a snapshot, as Document_Append.
 * @param snapshot  the function takes ownership. */
GBytes *Departures_AppendTo(GBytes *snapshot, const Departures *departures);

/** Replaces the departures by those of a snapshot.
 * @return ERR_OK, or ERR_CORRUPT, which leaves them unchanged. */
int Departures_Load(Departures *departures, const uint8_t *bytes,
                    size_t length, Error *err);

#endif
