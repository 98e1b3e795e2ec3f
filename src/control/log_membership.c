/** @file
 * Log core: membership changes through the log, one member at a time.
 */
#include <string.h>

#include "control/log_state.h"

/* Maximum number of voters. Learners count as well, because each learner is
 * promoted to voter later. */
#define VOTERS_MAX 9

/* Returns true when a membership change may start: the previous change and an
 * entry of the leader's own term are committed, and no leadership transfer is
 * in progress. */
static bool
can_change_membership(const LogCore *core)
{
    return core->role == LOG_LEADER && core->transferee == 0 &&
           core->commit_index >= core->term_start_index &&
           core->config_index <= core->commit_index;
}

static void
propose_config(LogCore *core, const LogConfig *config)
{
    GBytes *data = LogConfig_Pack(config);
    StoreEntry entry = {
        .index = LogEntries_LastIndex(core) + 1,
        .term = core->term,
        .kind = LOG_ENTRY_MEMBERS,
        .data = data,
    };
    LogEntries_Append(core, &entry);
    g_bytes_unref(data);
}

static int
add_member(LogCore *core, uint32_t id, uint64_t disk_id, const char *address,
           Error *err)
{
    LogConfig config = core->config;
    if (LogConfig_Find(&config, id) != NULL) {
        return Error_Set(err, ERR_DUPLICATE,
                         "Control host %u is already a member.", id);
    }
    if (config.count >= VOTERS_MAX) {
        return Error_Set(err, ERR_FULL,
                         "The cluster already has %u members, the maximum.",
                         config.count);
    }
    LogMember *member = &config.members[config.count++];
    *member = (LogMember){.id = id, .disk_id = disk_id, .learner = true};
    g_strlcpy(member->address, address, LOG_ADDRESS_BYTES);
    propose_config(core, &config);
    return ERR_OK;
}

static int
remove_member(LogCore *core, uint32_t id, Error *err)
{
    LogConfig config = core->config;
    const LogMember *member = LogConfig_Find(&config, id);
    if (member == NULL) {
        return Error_Set(err, ERR_NOT_FOUND,
                         "Control host %u is not a member.", id);
    }
    size_t position = (size_t)(member - config.members);
    size_t following = config.count - position - 1;
    memmove(&config.members[position], &config.members[position + 1],
            following * sizeof(LogMember));
    config.count--;
    propose_config(core, &config);
    return ERR_OK;
}

int
LogCore_ChangeMember(LogCore *core, uint32_t id, uint64_t disk_id,
                     const char *address, Error *err)
{
    if (core->role != LOG_LEADER) {
        return Error_Set(err, ERR_UNAVAILABLE,
                         "This control host is not the leader.");
    }
    if (!can_change_membership(core)) {
        return Error_Set(err, ERR_UNAVAILABLE,
                         "An election, membership change or leadership "
                         "transfer is in progress; try again later.");
    }
    if (address != NULL) {
        return add_member(core, id, disk_id, address, err);
    }
    if (id != core->id) {
        return remove_member(core, id, err);
    }
    if (LogConfig_VoterCount(&core->config) == 1) {
        return Error_Set(err, ERR_INVALID,
                         "The only voter cannot be removed.");
    }
    LogCore_TransferLeadership(core, core->now);
    return Error_Set(err, ERR_UNAVAILABLE,
                     "Control host %u is transferring its leadership; "
                     "try again later.",
                     id);
}

/* Returns true when the leader has received no reply from the member's known
 * disk for longer than the replace timeout. */
static bool
is_disk_lost(LogCore *core, const LogMember *member, TimeUs now)
{
    const LogProgress *progress =
        LogLeader_FindProgress(core, member->id, member->disk_id);
    return progress != NULL &&
           now - progress->last_seen_at > core->timing.replace_timeout;
}

void
LogCore_OnHello(LogCore *core, uint32_t id, uint64_t disk_id, TimeUs now)
{
    core->now = now;
    const LogMember *member = LogConfig_Find(&core->config, id);
    if (!can_change_membership(core) || member == NULL || id == core->id ||
        member->disk_id == disk_id)
    {
        return;
    }
    if (member->disk_id != 0 && !is_disk_lost(core, member, now)) {
        return;
    }
    LogConfig config = core->config;
    LogMember *changed = &config.members[member - core->config.members];
    changed->disk_id = disk_id;
    changed->learner = true;
    propose_config(core, &config);
}

void
LogCore_OnJoinRequest(LogCore *core, const LogMember *candidate, TimeUs now)
{
    core->now = now;
    if (!can_change_membership(core) || core->config.count >= VOTERS_MAX ||
        LogConfig_Find(&core->config, candidate->id) != NULL)
    {
        return;
    }
    LogConfig config = core->config;
    LogMember *member = &config.members[config.count++];
    *member = *candidate;
    member->learner = true;
    propose_config(core, &config);
}

void
LogCore_OnLeaving(LogCore *core, uint32_t id)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        if (core->config.members[i].id == id) {
            core->progress[i].leaving = true;
        }
    }
}

/* Returns true when the member at this position of the membership is this
 * host, or is not leaving and was seen within the surplus timeout. */
static bool
is_live(const LogCore *core, unsigned position, TimeUs now)
{
    const LogMember *member = &core->config.members[position];
    const LogProgress *progress = &core->progress[position];
    return member->id == core->id ||
           (!progress->leaving &&
            now - progress->last_seen_at <= core->timing.surplus_timeout);
}

static unsigned
count_live_voters(const LogCore *core, const char *zone, TimeUs now)
{
    unsigned count = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        count += !member->learner && strcmp(member->zone, zone) == 0 &&
                         is_live(core, i, now)
                     ? 1
                     : 0;
    }
    return count;
}

/* Returns a member that is not live and whose zone has enough live voters, or
 * NULL. */
static const LogMember *
find_surplus(const LogCore *core, TimeUs now)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (member->zone[0] != '\0' && !is_live(core, i, now) &&
            count_live_voters(core, member->zone, now) >=
                core->timing.zone_voters)
        {
            return member;
        }
    }
    return NULL;
}

static void
remove_surplus(LogCore *core, TimeUs now)
{
    if (core->timing.zone_voters == 0 || !can_change_membership(core)) {
        return;
    }
    const LogMember *member = find_surplus(core, now);
    if (member != NULL) {
        remove_member(core, member->id, NULL);
    }
}

/* Promotes the first live learner whose log has caught up. */
static void
promote_learner(LogCore *core, TimeUs now)
{
    if (!can_change_membership(core) ||
        LogConfig_VoterCount(&core->config) >= VOTERS_MAX)
    {
        return;
    }
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogProgress *progress = &core->progress[i];
        if (core->config.members[i].learner && progress->disk_id != 0 &&
            progress->state == LOG_PROGRESS_REPLICATE &&
            progress->match_index >= core->commit_index &&
            now - progress->last_seen_at <= core->timing.election_timeout)
        {
            LogConfig config = core->config;
            config.members[i].learner = false;
            propose_config(core, &config);
            return;
        }
    }
}

void
LogMembership_Tick(LogCore *core, TimeUs now)
{
    promote_learner(core, now);
    remove_surplus(core, now);
}
