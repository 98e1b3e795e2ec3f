/** @file
 * Internal state and functions shared by the log_*.c files of the log core.
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

/* How the leader replicates to one member. */
typedef enum LogProgressState {
    /* The match index is unknown: sends one empty append per reply or
     * heartbeat until one is accepted. */
    LOG_PROGRESS_PROBE,
    LOG_PROGRESS_REPLICATE, /* pipelines appends without waiting for replies */
    LOG_PROGRESS_SNAPSHOT,  /* sends a snapshot in chunks */
} LogProgressState;

/* The leader's replication progress of one member. */
typedef struct LogProgress {
    uint32_t id;
    uint64_t disk_id;
    LogProgressState state;
    uint64_t match_index; /* highest index known to be durable at the member */
    uint64_t next_index;  /* index of the next entry to send */
    uint64_t acked_round; /* highest heartbeat round acknowledged */
    TimeUs last_seen_at;  /* when the member was last heard; 0: never */
    bool awaiting_reply;  /* a probe or snapshot chunk is unacknowledged */
    TimeUs chunk_sent_at; /* when the latest snapshot chunk was sent */
    /* Snapshot being sent, with a reference to its data. */
    StoreSnapshot snapshot;
    uint64_t snapshot_offset; /* byte offset of the next snapshot chunk */
} LogProgress;

/* What this host knows of another one, in whatever role it heard from it. */
typedef struct LogContact {
    uint32_t id; /* 0: unused */
    uint64_t disk_id;
    TimeUs heard_at; /* when its latest message arrived; 0: never */
    bool leaving;    /* it has begun a planned stop */
} LogContact;

/* A batch that was handed to the store and is not saved yet. */
typedef struct LogPendingBatch {
    uint64_t sequence;
    uint64_t last_index; /* durable index once the batch is saved */
} LogPendingBatch;

/* A message that must not be sent before a batch is saved. */
typedef struct LogDeferredMessage {
    uint64_t sequence; /* sequence of the batch to wait for */
    LogMessage message;
} LogDeferredMessage;

struct LogCore {
    uint32_t id;
    uint64_t disk_id;
    LogTiming timing;
    GRand *random;

    LogRole role;
    uint64_t term;
    uint32_t voted_for; /* host that this host voted for in term; 0: none */
    uint32_t leader;    /* host id of the leader; 0: unknown */
    bool failed;        /* the disk failed */
    /* Bit i: the member at position i in config granted its vote. */
    uint32_t votes_granted;
    /* This host's vote for itself counts once the batch of this sequence is
     * saved. */
    uint64_t self_vote_sequence;
    /* Time argument of the latest call that has one. */
    TimeUs now;
    TimeUs election_deadline; /* when the election timeout ends */
    TimeUs next_heartbeat_at; /* when the leader sends the next heartbeat */
    TimeUs leader_last_seen_at;

    GArray *entries;       /* StoreEntry elements from base_index + 1 on */
    uint64_t base_index;   /* index before the first entry in memory */
    uint64_t base_term;    /* term of the entry at base_index */
    LogConfig base_config; /* membership at base_index */
    uint64_t base_config_index; /* index of the entry that set base_config */
    StoreSnapshot snapshot;     /* latest snapshot, taken or installed */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t durable_index;
    LogConfig config;      /* latest membership in the log, committed or not */
    uint64_t config_index; /* index of the entry that set config */

    LogContact contacts[LOG_MEMBERS_MAX];
    /* Leader only: progress of the member at the same position in config. */
    LogProgress progress[LOG_MEMBERS_MAX];
    TimeUs elected_at;
    uint64_t term_start_index; /* index of the leader's no-op entry */
    /* Number of the latest heartbeat round. Leadership is confirmed for reads
     * when a majority has acknowledged a round. */
    uint64_t round;
    uint64_t round_commit_index; /* commit index at the start of the round */
    bool round_requested;        /* a read index request needs another round */
    uint32_t transferee;         /* target of a leadership transfer; 0: none */
    TimeUs transfer_deadline;    /* when the transfer is abandoned */

    bool state_dirty;        /* the next batch must include term and vote */
    uint64_t dirty_from;     /* first entry that is in no batch yet; 0: none */
    bool snapshot_dirty;     /* the next batch must include the snapshot */
    bool reset_dirty;        /* the next batch replaces the whole stored log */
    uint64_t batch_sequence; /* sequence of the latest batch handed out */
    uint64_t saved_sequence; /* sequence of the latest saved batch */
    GArray *pending_batches; /* LogPendingBatch elements by sequence */
    GQueue deferred;         /* LogDeferredMessage elements by sequence */
    GQueue outbox;           /* LogMessage elements that may be sent */
    /* Bytes received so far of a snapshot from the leader. */
    GByteArray *incoming_snapshot;
    uint64_t incoming_snapshot_index;
    uint64_t incoming_snapshot_term;
};

/* ---- log_entries.c: the in-memory log and the batches to save ---- */

uint64_t LogEntries_LastIndex(const LogCore *core);
uint64_t LogEntries_LastTerm(const LogCore *core);

/* Returns the term of the entry at index; 0 when it is not in memory. */
uint64_t LogEntries_Term(const LogCore *core, uint64_t index);

/* Appends an entry; its index must follow the last one. */
void LogEntries_Append(LogCore *core, const StoreEntry *entry);

/* Removes the entries from index to the end of the log. */
void LogEntries_Truncate(LogCore *core, uint64_t index);

/* Replaces the whole log with a snapshot received from the leader. */
void LogEntries_InstallSnapshot(LogCore *core, const StoreSnapshot *snapshot,
                                const LogConfig *config);

/* Adds the term and vote to the next batch. */
void LogEntries_MarkStateDirty(LogCore *core);

/* Adds all that is not durable to the next batch, after the batches that were
 * handed out have failed. */
void LogEntries_MarkUnsaved(LogCore *core);

/* Returns the sequence of the batch that makes all changes so far durable. */
uint64_t LogEntries_RequiredSequence(const LogCore *core);

/* ---- log_election.c: elections and votes ---- */

/* Becomes a follower of leader, 0 when unknown, and adopts a newer term.
 */
void LogElection_BecomeFollower(LogCore *core, uint64_t term, uint32_t leader,
                                TimeUs now);
/* Starts a pre-vote or an election. With transfer set, voters grant their vote
 * although they have a live leader. */
void LogElection_Campaign(LogCore *core, bool pre_vote, bool transfer,
                          TimeUs now);
void LogElection_OnVoteRequest(LogCore *core, const LogMessage *message,
                               TimeUs now);
void LogElection_OnVoteReply(LogCore *core, const LogMessage *message,
                             TimeUs now);
/* Counts the candidate's vote for itself once that vote is durable. */
void LogElection_CountSelfVote(LogCore *core, TimeUs now);
/* Starts the shorter election timeout that is used after a start. */
void LogElection_StartInitialTimer(LogCore *core, TimeUs now);
/* Restarts the election timer with a random timeout. */
void LogElection_ResetTimer(LogCore *core, TimeUs now);

/* ---- log_leader.c: the leader's side of replication ---- */

/* Becomes the leader of the current term. */
void LogLeader_BecomeLeader(LogCore *core, TimeUs now);
void LogLeader_Tick(LogCore *core, TimeUs now);
/* Sends new entries to all members. With heartbeat set, members without new
 * entries receive an empty append. */
void LogLeader_Broadcast(LogCore *core, bool heartbeat, TimeUs now);
void LogLeader_OnAppendReply(LogCore *core, const LogMessage *message,
                             TimeUs now);
void LogLeader_OnSnapshotReply(LogCore *core, const LogMessage *message,
                               TimeUs now);
/* Commits the entries that a majority of the voters has saved. */
void LogLeader_AdvanceCommit(LogCore *core, TimeUs now);
/* Returns true when a member has not been heard for this time. After an
 * election each member has an election timeout to answer: the leader does not
 * hear the other members before. */
bool LogLeader_IsSilent(const LogCore *core, const LogProgress *progress,
                        TimeUs timeout, TimeUs now);
/* Returns the progress of a member, or NULL. */
LogProgress *LogLeader_FindProgress(LogCore *core, uint32_t id,
                                    uint64_t disk_id);
/* Returns the latest heartbeat round that a majority acknowledged. */
uint64_t LogLeader_QuorumRound(const LogCore *core);

/* Rebuilds the progress table for the latest membership. */
void LogLeader_RebuildProgress(LogCore *core);

/* ---- log_follower.c: the follower's side of replication ---- */

void LogFollower_OnAppend(LogCore *core, const LogMessage *message,
                          TimeUs now);
void LogFollower_OnSnapshot(LogCore *core, const LogMessage *message,
                            TimeUs now);

/* ---- log_contacts.c: what is known of other hosts ---- */

/* Records that a message of a host arrived. */
void LogContacts_OnMessage(LogCore *core, uint32_t id, uint64_t disk_id,
                           TimeUs now);
/* Returns when a host was last heard with this disk; 0: never. */
TimeUs LogContacts_HeardAt(const LogCore *core, uint32_t id, uint64_t disk_id);
bool LogContacts_IsLeaving(const LogCore *core, uint32_t id, uint64_t disk_id);

/* ---- log_membership.c: membership changes ---- */

/* Moves votes to learners that caught up and removes surplus members. */
void LogMembership_Tick(LogCore *core, TimeUs now);

/* ---- log_core.c: construction and message dispatch ---- */

/* Queues a message. With durable set, it is deferred until all changes so far
 * are durable. */
void LogCore_Send(LogCore *core, LogMessage *message, bool durable);

#endif
