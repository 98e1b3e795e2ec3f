/** @file
 * Members: the entries and agents with a link to this control host. The table
 * is in memory only; after a restart the members announce themselves again
 * over their links. Pure: time is passed in.
 *
 * Each change gets a version, and a reader asks for the changes since the
 * version that it has. A version combines the epoch of the process and a
 * change counter, so that versions of different hosts or incarnations do not
 * match.
 */
#ifndef LAURELLIFT_CONTROL_MEMBERS_H
#define LAURELLIFT_CONTROL_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "kernel/clock.h"
#include "wire/generated/wire.pb-c.h"

/** Time within which a member must reconnect after its link is lost. Together
 * with the time until a silent link is closed, a failed member is removed
 * within 3 s. */
#define MEMBERS_RECONNECT_TIMEOUT_MS 750
/** Number of changes kept. A reader that is further behind gets all members.
 */
#define MEMBERS_CHANGES_MAX 1024

typedef struct Members Members;

/** @param epoch  number that differs between incarnations of the process. */
Members *Members_New(uint32_t epoch);
void Members_Free(Members *members);

/** Adds or updates the member that sent @p presence over @p link
 * (used as a key, never dereferenced). A presence of an older incarnation is
 * ignored while the newer one is connected over another link.
 * @return true when the table changed. */
bool Members_Update(Members *members, const void *link,
                    const Wire__Presence *presence);

/** Starts the reconnect timeout of the members of a disconnected link. */
void Members_OnLinkDown(Members *members, const void *link, TimeUs now);

/** Removes members whose reconnect timeout has passed.
 * @return true when any was removed. */
bool Members_Tick(Members *members, TimeUs now);

/** Fills a Members frame with the changes since @p have_version, or with all
 * members when those changes are not all kept. The presences stay owned by the
 * table; the caller frees the arrays with g_free. */
void Members_Fill(const Members *members, uint64_t have_version,
                  Wire__Members *out);

/** Link of a member, or NULL when it is not known or not connected. */
const void *Members_FindLink(const Members *members, Wire__Role role,
                             const char *name);

size_t Members_Count(const Members *members, Wire__Role role);
uint64_t Members_Version(const Members *members);

/** Members of @p role as a JSON array, sorted by name. */
json_t *Members_ToJson(const Members *members, Wire__Role role);

#endif
