/** @file
 * The identity that a process sends in its hellos.
 */
#ifndef LAURELLIFT_WIRE_IDENTITY_H
#define LAURELLIFT_WIRE_IDENTITY_H

#include "kernel/settings.h"
#include "wire/link.h"

/** A number that is higher at each start of a process. */
uint64_t LinkIdentity_NewIncarnation(void);

/** Identity of one role of this process. @p name outlives the result. */
LinkIdentity LinkIdentity_Make(const Settings *settings, Wire__Role role,
                               const char *name);

#endif
