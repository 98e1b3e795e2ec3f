/** @file
 * The identity that a process sends in the Hello frames of its links.
 */
#ifndef LAURELLIFT_WIRE_IDENTITY_H
#define LAURELLIFT_WIRE_IDENTITY_H

#include "kernel/settings.h"
#include "wire/link.h"

/** Returns a number that grows at each start of a process, as long as the
 * host's clock is not set back. */
uint64_t LinkIdentity_NewIncarnation(void);

/** Returns the identity of one role of this process with a new incarnation.
 * Strings are not copied: @p name and @p settings must outlive the result. */
LinkIdentity LinkIdentity_Make(const Settings *settings, Wire__Role role,
                               const char *name);

#endif
