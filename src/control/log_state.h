/** @file
 * What the parts of the log core share.
 */
#ifndef LAURELLIFT_CONTROL_LOG_STATE_H
#define LAURELLIFT_CONTROL_LOG_STATE_H

#include "control/log_core.h"

typedef enum LogRole {
    LOG_FOLLOWER,
    LOG_PRE_CANDIDATE,
    LOG_CANDIDATE,
    LOG_LEADER,
} LogRole;

/* How a leader sends to one member. */
typedef enum LogFlow {
    LOG_FLOW_PROBE,    /* one append at a time until one succeeds */
    LOG_FLOW_STREAM,   /* appends follow without waiting */
    LOG_FLOW_SNAPSHOT, /* pieces of a snapshot */
} LogFlow;

/* What the leader knows of a member. */
typedef struct LogProgress {
    uint32_t id;
    uint64_t disk_id;
    LogFlow flow;
    uint64_t match;
    uint64_t next;
    uint64_t round; /* highest round it echoed */
    TimeUs last_seen_at;
    bool leaving;           /* said that it stops */
    bool waiting;           /* a probe or piece is on its way */
    TimeUs sent_at;         /* of the newest snapshot piece */
    StoreSnapshot snapshot; /* being sent; its data is a reference */
    uint64_t offset;        /* next byte of it */
} LogProgress;

/* A batch that is being saved. */
typedef struct LogSaving {
    uint64_t sequence;
    uint64_t last_index; /* durable when it is saved */
} LogSaving;

/* A message that waits for a batch. */
typedef struct LogHeld {
    uint64_t sequence;
    LogMessage message;
} LogHeld;

struct LogCore {
    uint32_t id;
    uint64_t disk_id;
    LogTiming timing;
    GRand *random;

    LogRole role;
    uint64_t term;
    uint32_t vote;
    uint32_t leader;
    bool failed;
    uint32_t granted;         /* bit of each config position that granted */
    uint64_t self_vote_after; /* own vote counts once this is saved */
    TimeUs now;               /* of the newest call that gave the time */
    TimeUs election_at;
    TimeUs heartbeat_at;
    TimeUs leader_seen_at;

    GArray *entries;     /* StoreEntry from base_index + 1 on */
    uint64_t base_index; /* before the first entry in memory */
    uint64_t base_term;
    LogConfig base_config; /* in force at base_index */
    uint64_t base_config_index;
    StoreSnapshot snapshot;
    uint64_t commit;
    uint64_t applied;
    uint64_t durable;
    LogConfig config; /* the newest in the log, committed or not */
    uint64_t config_index;

    LogProgress progress[LOG_MEMBERS_MAX]; /* by position in config */
    uint64_t term_start; /* index of the leader's first entry */
    uint64_t round;
    uint64_t round_commit; /* commit index when the round began */
    bool round_wanted;     /* somebody waits for the next round */
    uint32_t transferee;
    TimeUs transfer_until;

    bool state_dirty;
    uint64_t dirty_from; /* first entry not yet given out; 0: none */
    bool snapshot_dirty;
    bool reset_dirty;
    uint64_t sequence; /* of the newest batch given out */
    uint64_t saved;
    GArray *saving;       /* LogSaving */
    GQueue held;          /* LogHeld, in order of sequence */
    GQueue outbox;        /* LogMessage */
    GByteArray *incoming; /* snapshot being received */
    uint64_t incoming_index;
    uint64_t incoming_term;
};

/* ---- log_entries.c: the log in memory and what is saved of it ---- */

uint64_t LogEntries_Last(const LogCore *core);
uint64_t LogEntries_LastTerm(const LogCore *core);

/* Term of the entry; 0 when it is not in memory. */
uint64_t LogEntries_Term(const LogCore *core, uint64_t index);

/* Appends one entry after the last. */
void LogEntries_Append(LogCore *core, const StoreEntry *entry);

/* Removes entries from index on. */
void LogEntries_Truncate(LogCore *core, uint64_t index);

/* Replaces the log by an installed snapshot. */
void LogEntries_Install(LogCore *core, const StoreSnapshot *snapshot,
                        const LogConfig *config);

/* Marks term and vote for the next batch. */
void LogEntries_SaveState(LogCore *core);

/* Sequence of the batch after which all so far is durable. */
uint64_t LogEntries_NeededSequence(const LogCore *core);

/* ---- log_election.c ---- */

void LogElection_Follow(LogCore *core, uint64_t term, uint32_t leader,
                        TimeUs now);
void LogElection_Campaign(LogCore *core, bool pre_vote, bool transfer,
                          TimeUs now);
void LogElection_OnVote(LogCore *core, const LogMessage *message, TimeUs now);
void LogElection_OnVoteReply(LogCore *core, const LogMessage *message,
                             TimeUs now);
void LogElection_CountOwnVote(LogCore *core, TimeUs now);
void LogElection_StartTimer(LogCore *core, TimeUs now);
void LogElection_ResetTimer(LogCore *core, TimeUs now);

/* ---- log_leader.c: the leader's side of replication ---- */

void LogLeader_Begin(LogCore *core, TimeUs now);
void LogLeader_Tick(LogCore *core, TimeUs now);
void LogLeader_Broadcast(LogCore *core, bool heartbeat, TimeUs now);
void LogLeader_OnAppendReply(LogCore *core, const LogMessage *message,
                             TimeUs now);
void LogLeader_OnSnapshotReply(LogCore *core, const LogMessage *message,
                               TimeUs now);
void LogLeader_AdvanceCommit(LogCore *core, TimeUs now);
LogProgress *LogLeader_Progress(LogCore *core, uint32_t id, uint64_t disk_id);
uint64_t LogLeader_QuorumRound(const LogCore *core);

/* Rebuilds the table of progress for the newest membership. */
void LogLeader_Reconfigure(LogCore *core);

/* ---- log_follower.c: the follower's side ---- */

void LogFollower_OnAppend(LogCore *core, const LogMessage *message,
                          TimeUs now);
void LogFollower_OnSnapshot(LogCore *core, const LogMessage *message,
                            TimeUs now);

/* ---- log_member.c ---- */

void LogMember_Tick(LogCore *core, TimeUs now);

/* ---- log_core.c ---- */

/* Queues a message; it waits for the disk when @p durable is set. */
void LogCore_Send(LogCore *core, LogMessage *message, bool durable);

#endif
