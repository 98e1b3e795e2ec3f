/** @file
 * Members: the entries and agents that are alive, as this control host sees
 * them. In memory only; a restarted host learns them again from their links.
 * Pure: time is passed in.
 *
 * Readers follow the table by version. A version names the host's run and a
 * count of changes, so that the versions of two hosts are never mixed up.
 */
#ifndef LAURELLIFT_CONTROL_MEMBERS_H
#define LAURELLIFT_CONTROL_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "kernel/clock.h"
#include "wire/generated/wire.pb-c.h"

/** Time that a lost link has to come back. With the silence that drops a
 * link, a member is gone within 3 s. */
#define MEMBERS_RECONNECT_TIMEOUT_MS 750
/** Changes that a reader may be behind and still get the difference. */
#define MEMBERS_CHANGES_MAX 1024

typedef struct Members Members;

/** @param epoch  a number that differs at each start of the process. */
Members *Members_New(uint32_t epoch);
void Members_Free(Members *members);

/** Takes a presence from the link @p source (a key, never dereferenced).
 * An older incarnation is refused while a newer one's link is up.
 * @return true when the table changed. */
bool Members_Update(Members *members, const void *source,
                    const Wire__Presence *presence);

/** The link is gone: its members lapse unless they come back. */
void Members_LinkDown(Members *members, const void *source, TimeUs now);

/** Removes members whose link stayed away. @return true when any lapsed. */
bool Members_Tick(Members *members, TimeUs now);

/** Fills a Members frame: the changes since @p have_version, or all. The
 * presences stay owned by the table; the arrays are freed with g_free. */
void Members_Fill(const Members *members, uint64_t have_version,
                  Wire__Members *out);

/** Link of the member, or NULL while it has none. */
const void *Members_LinkOf(const Members *members, Wire__Role role,
                           const char *name);

size_t Members_Count(const Members *members, Wire__Role role);
uint64_t Members_Version(const Members *members);

/** All members as a JSON array. */
json_t *Members_ToJson(const Members *members, Wire__Role role);

#endif
