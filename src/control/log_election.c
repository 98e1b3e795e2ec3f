/** @file
 * Log core: elections. A host first asks the voters whether it could win
 * (pre-vote), so that a host that rejoins after a network partition does not
 * depose a working leader.
 */
#include "control/log_state.h"

void
LogElection_ResetTimer(LogCore *core, TimeUs now)
{
    TimeUs timeout = core->timing.election_timeout;
    TimeUs jitter = g_rand_int_range(core->random, 0, (gint32)timeout);
    core->election_deadline = now + timeout + jitter;
}

/* Uses a shorter timeout because the cluster may have no leader after a start.
 * If there is a leader, the other hosts ignore the pre-vote and the leader
 * keeps its term. */
void
LogElection_StartInitialTimer(LogCore *core, TimeUs now)
{
    TimeUs timeout = core->timing.election_timeout;
    TimeUs jitter = g_rand_int_range(core->random, 0, (gint32)(timeout / 2));
    core->election_deadline = now + timeout / 4 + jitter;
}

void
LogElection_BecomeFollower(LogCore *core, uint64_t term, uint32_t leader,
                           TimeUs now)
{
    if (term > core->term) {
        core->term = term;
        core->voted_for = 0;
        LogEntries_MarkStateDirty(core);
    }
    if (core->role != LOG_FOLLOWER || leader != 0) {
        LogElection_ResetTimer(core, now);
    }
    core->role = LOG_FOLLOWER;
    core->leader = leader;
    core->transferee = 0;
    core->round_requested = false;
}

/* Records a vote for this host. Returns true when a majority has voted for it.
 */
static bool
record_vote(LogCore *core, uint32_t id, uint64_t disk_id)
{
    unsigned count = 0;
    for (unsigned i = 0; i < core->config.count; i++) {
        const LogMember *member = &core->config.members[i];
        if (member->learner) {
            continue;
        }
        if (member->id == id && member->disk_id == disk_id) {
            core->votes_granted |= 1u << i;
        }
        count += (core->votes_granted >> i) & 1u;
    }
    return count > LogConfig_VoterCount(&core->config) / 2;
}

static void
send_vote_request(LogCore *core, const LogMember *member, bool pre_vote,
                  bool transfer)
{
    if (member->learner || member->id == core->id) {
        return;
    }
    LogMessage message = {
        .type = LOG_VOTE,
        .to = member->id,
        .to_disk_id = member->disk_id,
        .term = core->term + (pre_vote ? 1 : 0),
        .index = LogEntries_LastIndex(core),
        .log_term = LogEntries_LastTerm(core),
        .pre_vote = pre_vote,
        .transfer = transfer,
    };
    LogCore_Send(core, &message, !pre_vote);
}

static void
send_vote_requests(LogCore *core, bool pre_vote, bool transfer)
{
    for (unsigned i = 0; i < core->config.count; i++) {
        send_vote_request(core, &core->config.members[i], pre_vote, transfer);
    }
}

void
LogCore_OnLinkConnected(LogCore *core, uint32_t id)
{
    bool pre_vote = core->role == LOG_PRE_CANDIDATE;
    const LogMember *member = LogConfig_Find(&core->config, id);
    if (member != NULL && (pre_vote || core->role == LOG_CANDIDATE)) {
        send_vote_request(core, member, pre_vote, false);
    }
}

void
LogElection_Campaign(LogCore *core, bool pre_vote, bool transfer, TimeUs now)
{
    core->leader = 0;
    core->votes_granted = 0;
    LogElection_ResetTimer(core, now);
    if (pre_vote) {
        core->role = LOG_PRE_CANDIDATE;
        send_vote_requests(core, true, false);
        if (record_vote(core, core->id, core->disk_id)) {
            LogElection_Campaign(core, false, false, now);
        }
        return;
    }
    core->role = LOG_CANDIDATE;
    core->term++;
    core->voted_for = core->id;
    LogEntries_MarkStateDirty(core);
    core->self_vote_sequence = LogEntries_RequiredSequence(core);
    send_vote_requests(core, false, transfer);
}

void
LogElection_CountSelfVote(LogCore *core, TimeUs now)
{
    if (core->role == LOG_CANDIDATE &&
        core->self_vote_sequence <= core->saved_sequence &&
        record_vote(core, core->id, core->disk_id))
    {
        LogLeader_BecomeLeader(core, now);
    }
}

/* Returns true when the candidate's log is at least as up to date as this
 * host's log. A majority of such votes ensures that the candidate has every
 * committed entry. */
static bool
is_up_to_date(const LogCore *core, const LogMessage *message)
{
    uint64_t last_term = LogEntries_LastTerm(core);
    if (message->log_term != last_term) {
        return message->log_term > last_term;
    }
    return message->index >= LogEntries_LastIndex(core);
}

/* Returns true when this host is the leader or received a message from the
 * leader within the election timeout. */
static bool
has_active_leader(const LogCore *core, TimeUs now)
{
    return core->role == LOG_LEADER ||
           (core->leader != 0 &&
            now - core->leader_last_seen_at < core->timing.election_timeout);
}

static void
send_vote_reply(LogCore *core, const LogMessage *request, bool granted)
{
    LogMessage reply = {
        .type = LOG_VOTE_REPLY,
        .to = request->from,
        .term = core->term,
        .pre_vote = request->pre_vote,
        .success = granted,
    };
    if (request->pre_vote && granted) {
        reply.term = request->term;
    }
    LogCore_Send(core, &reply, !request->pre_vote);
}

void
LogElection_OnVoteRequest(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (message->to_disk_id != core->disk_id) {
        return; /* addressed to the disk that this host lost */
    }
    if (has_active_leader(core, now) && !message->transfer) {
        return;
    }
    if (message->pre_vote) {
        bool granted =
            message->term > core->term && is_up_to_date(core, message);
        send_vote_reply(core, message, granted);
        return;
    }
    if (message->term > core->term) {
        LogElection_BecomeFollower(core, message->term, 0, now);
    }
    bool granted =
        message->term == core->term &&
        (core->voted_for == 0 || core->voted_for == message->from) &&
        is_up_to_date(core, message);
    if (granted && core->voted_for == 0) {
        core->voted_for = message->from;
        LogEntries_MarkStateDirty(core);
    }
    if (granted) {
        LogElection_ResetTimer(core, now);
    }
    send_vote_reply(core, message, granted);
}

/* Shortens the election timeout of a candidate whose vote request was refused:
 * waiting for the full timeout after a split vote would double the time
 * without a leader. */
static void
shorten_election_timeout(LogCore *core, TimeUs now)
{
    TimeUs timeout = core->timing.election_timeout;
    TimeUs delay =
        timeout / 8 + g_rand_int_range(core->random, 0, (gint32)(timeout / 2));
    core->election_deadline = MIN(core->election_deadline, now + delay);
}

void
LogElection_OnVoteReply(LogCore *core, const LogMessage *message, TimeUs now)
{
    if (!message->success) {
        if (message->term > core->term) {
            LogElection_BecomeFollower(core, message->term, 0, now);
        }
        else if (!message->pre_vote && core->role == LOG_CANDIDATE &&
                 message->term == core->term)
        {
            shorten_election_timeout(core, now);
        }
        return;
    }
    if (message->pre_vote && core->role == LOG_PRE_CANDIDATE &&
        message->term == core->term + 1 &&
        record_vote(core, message->from, message->from_disk_id))
    {
        LogElection_Campaign(core, false, false, now);
    }
    else if (!message->pre_vote && core->role == LOG_CANDIDATE &&
             message->term == core->term &&
             record_vote(core, message->from, message->from_disk_id))
    {
        LogLeader_BecomeLeader(core, now);
    }
}
