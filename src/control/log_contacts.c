/** @file
 * Log core: when other hosts were last heard, and which of them stop as
 * planned. Kept across elections, so that a new leader knows what it knew as a
 * follower.
 */
#include "control/log_state.h"

static const LogContact *
find_contact(const LogCore *core, uint32_t id, uint64_t disk_id)
{
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        const LogContact *contact = &core->contacts[i];
        if (contact->id == id && contact->disk_id == disk_id) {
            return contact;
        }
    }
    return NULL;
}

/* Returns the entry of a host, or the one that was heard longest ago for it.
 */
static LogContact *
take_contact(LogCore *core, uint32_t id, uint64_t disk_id)
{
    LogContact *oldest = &core->contacts[0];
    for (unsigned i = 0; i < LOG_MEMBERS_MAX; i++) {
        LogContact *contact = &core->contacts[i];
        if (contact->id == id) {
            oldest = contact;
            break;
        }
        if (contact->heard_at < oldest->heard_at) {
            oldest = contact;
        }
    }
    if (oldest->id != id || oldest->disk_id != disk_id) {
        *oldest = (LogContact){.id = id, .disk_id = disk_id};
    }
    return oldest;
}

void
LogContacts_OnMessage(LogCore *core, uint32_t id, uint64_t disk_id, TimeUs now)
{
    take_contact(core, id, disk_id)->heard_at = now;
}

TimeUs
LogContacts_HeardAt(const LogCore *core, uint32_t id, uint64_t disk_id)
{
    const LogContact *contact = find_contact(core, id, disk_id);
    return contact == NULL ? 0 : contact->heard_at;
}

bool
LogContacts_IsLeaving(const LogCore *core, uint32_t id, uint64_t disk_id)
{
    const LogContact *contact = find_contact(core, id, disk_id);
    return contact != NULL && contact->leaving;
}

void
LogCore_OnLeaving(LogCore *core, uint32_t id, uint64_t disk_id, bool leaving)
{
    take_contact(core, id, disk_id)->leaving = leaving;
}
