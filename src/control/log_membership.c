/** @file
 * Log core: membership changes through the log, one member at a time.
 */
#include <string.h>

#include "control/log_state.h"

/* Maximum number of voters, unless the cluster began with more. Where an
 * operator changes the membership, learners count as well, because each
 * learner is promoted to voter later. */
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

/* Returns the number of voters that the cluster is to have. A membership of an
 * earlier version does not say so; with an even number it may be in the middle
 * of a replacement. */
static unsigned
wanted_votes(const LogConfig *config)
{
    unsigned count = LogConfig_VoterCount(config);
    if (config->votes > 0) {
        return config->votes;
    }
    return count > 2 && count % 2 == 0 ? count - 1 : count;
}

static bool
is_automatic(const LogCore *core)
{
    return core->timing.zone_voters > 0;
}

static unsigned
members_max(const LogCore *core)
{
    return is_automatic(core) ? LOG_MEMBERS_MAX : VOTERS_MAX;
}

/* Returns the maximum number of voters. While a learner takes over a vote,
 * there is one voter more than the cluster is to have. */
static unsigned
voters_max(const LogCore *core)
{
    unsigned wanted = wanted_votes(&core->config);
    return is_automatic(core) ? MAX(VOTERS_MAX, wanted + 1) : VOTERS_MAX;
}

static void
propose_config(LogCore *core, LogConfig *config)
{
    config->votes = wanted_votes(&core->config);
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

/* Appends a member. One that was a member before keeps its place among the
 * hosts of its zone. */
static void
append_member(const LogCore *core, LogConfig *config, const LogMember *member)
{
    LogMember *added = &config->members[config->count++];
    *added = *member;
    added->learner = true;
    added->joined = LogEntries_LastIndex(core) + 1;
    for (unsigned i = 0; i < config->former_count; i++) {
        if (config->former[i].id == member->id) {
            added->joined = config->former[i].joined;
            added->standby = true;
        }
    }
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
    if (config.count >= members_max(core)) {
        return Error_Set(err, ERR_FULL,
                         "The cluster already has %u members, the maximum.",
                         config.count);
    }
    LogMember member = {.id = id, .disk_id = disk_id};
    g_strlcpy(member.address, address, LOG_ADDRESS_BYTES);
    append_member(core, &config, &member);
    propose_config(core, &config);
    return ERR_OK;
}

/* Remembers a removed member in place of the one removed first. */
static void
remember_former(LogConfig *config, const LogMember *member)
{
    unsigned kept = 0;
    unsigned excess = config->former_count == LOG_FORMER_MAX ? 1 : 0;
    for (unsigned i = 0; i < config->former_count; i++) {
        if (config->former[i].id != member->id && i >= excess) {
            config->former[kept++] = config->former[i];
        }
    }
    config->former[kept++] = (LogFormerMember){
        .id = member->id,
        .joined = member->joined,
    };
    config->former_count = kept;
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
    remember_former(&config, member);
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

/* Returns true when the leader has heard nothing from the member's known disk
 * for longer than the replace timeout. */
static bool
is_disk_lost(LogCore *core, const LogMember *member, TimeUs now)
{
    const LogProgress *progress =
        LogLeader_FindProgress(core, member->id, member->disk_id);
    return progress != NULL &&
           LogLeader_IsSilent(core, progress, core->timing.replace_timeout,
                              now);
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

/* Returns true when the member at this position of the membership is this
 * host, or is not leaving and was heard within the surplus timeout. */
static bool
is_live(const LogCore *core, unsigned position, TimeUs now)
{
    const LogMember *member = &core->config.members[position];
    return member->id == core->id ||
           (!LogContacts_IsLeaving(core, member->id, member->disk_id) &&
            !LogLeader_IsSilent(core, &core->progress[position],
                                core->timing.surplus_timeout, now));
}

/* A zone's voters. */
typedef struct ZoneVoters {
    unsigned count;
    unsigned live;
    uint64_t last_joined; /* when the latest of them joined */
} ZoneVoters;

static ZoneVoters
count_voters(const LogCore *core, const char *zone, TimeUs now)
{
    ZoneVoters voters = {.count = 0};
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (!member->learner && strcmp(member->zone, zone) == 0) {
            voters.count++;
            voters.live += is_live(core, i, now) ? 1 : 0;
            voters.last_joined = MAX(voters.last_joined, member->joined);
        }
    }
    return voters;
}

/* Returns a learner that is not live and whose zone has enough live voters, or
 * NULL. Voters are never removed: a silent one may come back. */
static const LogMember *
find_surplus(const LogCore *core, TimeUs now)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (member->learner && member->zone[0] != '\0' &&
            !is_live(core, i, now) &&
            count_voters(core, member->zone, now).live >=
                core->timing.zone_voters)
        {
            return member;
        }
    }
    return NULL;
}

/* Returns a member without a vote that can be removed to make room for a new
 * one: one that is not live, else a standby host; NULL if there is none. */
static const LogMember *
find_spare(const LogCore *core, TimeUs now)
{
    const LogMember *spare = NULL;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (member->learner && !is_live(core, i, now)) {
            return member;
        }
        if (member->standby && member->id != core->id) {
            spare = member;
        }
    }
    return spare;
}

/* Removes a member that can be spared, so that a new one can be added. */
static void
make_room(LogCore *core, TimeUs now)
{
    const LogMember *member = find_surplus(core, now);
    if (member == NULL) {
        member = find_spare(core, now);
    }
    if (member != NULL) {
        remove_member(core, member->id, NULL);
    }
}

void
LogCore_OnJoinRequest(LogCore *core, const LogMember *candidate, TimeUs now)
{
    core->now = now;
    if (!can_change_membership(core) ||
        LogConfig_Find(&core->config, candidate->id) != NULL)
    {
        return;
    }
    if (core->config.count >= members_max(core)) {
        if (is_automatic(core)) {
            make_room(core, now); /* the host asks again */
        }
        return;
    }
    LogConfig config = core->config;
    append_member(core, &config, candidate);
    propose_config(core, &config);
}

/* Returns true when a voter gives its vote up rather than another one: first
 * in the zone that a host has joined last, then if it is not live, then if it
 * joined earlier. */
static bool
yields_before(const LogCore *core, unsigned position, unsigned other,
              TimeUs now)
{
    const LogMember *members = core->config.members;
    uint64_t newest =
        count_voters(core, members[position].zone, now).last_joined;
    uint64_t other_newest =
        count_voters(core, members[other].zone, now).last_joined;
    if (newest != other_newest) {
        return newest > other_newest;
    }
    bool live = is_live(core, position, now);
    if (live != is_live(core, other, now)) {
        return !live;
    }
    return members[position].joined < members[other].joined;
}

/* Returns the position of the voter that gives its vote up, in a zone that
 * keeps enough live voters; -1 if there is none. */
static int
find_yielding_voter(const LogCore *core, TimeUs now)
{
    int best = -1;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (member->learner || member->zone[0] == '\0') {
            continue;
        }
        ZoneVoters voters = count_voters(core, member->zone, now);
        unsigned live = voters.live - (is_live(core, i, now) ? 1 : 0);
        if (live >= core->timing.zone_voters &&
            (best < 0 || yields_before(core, i, (unsigned)best, now)))
        {
            best = (int)i;
        }
    }
    return best;
}

/* Makes a voter a standby host. A leader that gives its vote up leads on. */
static void
demote_voter(LogCore *core, unsigned position)
{
    LogConfig config = core->config;
    config.members[position].learner = true;
    config.members[position].standby = true;
    propose_config(core, &config);
}

/* After a learner became a voter beside another one of its zone, the other one
 * becomes a standby host, whether it still runs or not: one voter more bears
 * no more losses. */
static bool
remove_excess_vote(LogCore *core, TimeUs now)
{
    bool exceeds =
        LogConfig_VoterCount(&core->config) > wanted_votes(&core->config);
    int position = exceeds ? find_yielding_voter(core, now) : -1;
    if (position >= 0) {
        demote_voter(core, (unsigned)position);
    }
    return position >= 0;
}

static bool
has_caught_up(const LogCore *core, unsigned position, TimeUs now)
{
    const LogProgress *progress = &core->progress[position];
    return progress->disk_id != 0 &&
           progress->state == LOG_PROGRESS_REPLICATE &&
           progress->match_index >= core->commit_index &&
           now - progress->last_seen_at <= core->timing.election_timeout;
}

/* Returns true when a zone has no voter though it should. */
static bool
lacks_voter(const LogCore *core, const LogMember *member, TimeUs now)
{
    return count_voters(core, member->zone, now).count <
           core->timing.zone_voters;
}

/* Returns the position of the voter whose vote a learner takes over: one of
 * its zone that is not live, or joined earlier; -1 if there is none. */
static int
find_predecessor(const LogCore *core, const LogMember *learner, TimeUs now)
{
    int best = -1;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (!member->learner && strcmp(member->zone, learner->zone) == 0 &&
            (member->joined < learner->joined || !is_live(core, i, now)) &&
            (best < 0 || yields_before(core, i, (unsigned)best, now)))
        {
            best = (int)i;
        }
    }
    return best;
}

static void
promote_learner(LogCore *core, unsigned position)
{
    LogConfig config = core->config;
    config.members[position].learner = false;
    config.members[position].standby = false;
    propose_config(core, &config);
}

/* Lets a learner take over the vote of another host of its zone. One that is
 * not live gives its vote up first: beside it, the majority would need the
 * learner, which may have ended as well. One that runs keeps its vote until
 * the learner has its own, so that any single loss is borne in between. */
static bool
take_over_vote(LogCore *core, unsigned position, TimeUs now)
{
    int predecessor =
        find_predecessor(core, &core->config.members[position], now);
    if (predecessor < 0) {
        return false;
    }
    if (!is_live(core, (unsigned)predecessor, now)) {
        demote_voter(core, (unsigned)predecessor);
    }
    else {
        promote_learner(core, position);
    }
    return true;
}

/* Gives a vote to the first live learner that has caught up and is to have
 * one: in a zone without a voter, then where the cluster lacks a vote, then in
 * place of another host of its zone. */
static bool
move_votes(LogCore *core, TimeUs now)
{
    int any = -1;
    if (LogConfig_VoterCount(&core->config) >= voters_max(core)) {
        return false;
    }
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (!member->learner || !has_caught_up(core, i, now) ||
            !is_live(core, i, now)) {
            continue;
        }
        if (!is_automatic(core) || lacks_voter(core, member, now)) {
            promote_learner(core, i);
            return true;
        }
        any = any < 0 ? (int)i : any;
    }
    if (any >= 0 &&
        LogConfig_VoterCount(&core->config) < wanted_votes(&core->config))
    {
        promote_learner(core, (unsigned)any);
        return true;
    }
    for (unsigned i = 0; any >= 0 && i < core->config.count; i++) {
        if (core->config.members[i].learner && has_caught_up(core, i, now) &&
            is_live(core, i, now) && take_over_vote(core, i, now))
        {
            return true;
        }
    }
    return false;
}

void
LogMembership_Tick(LogCore *core, TimeUs now)
{
    if (!can_change_membership(core)) {
        return;
    }
    if (is_automatic(core) && remove_excess_vote(core, now)) {
        return;
    }
    if (move_votes(core, now) || !is_automatic(core)) {
        return;
    }
    const LogMember *surplus = find_surplus(core, now);
    if (surplus != NULL) {
        remove_member(core, surplus->id, NULL);
    }
}
