/** @file
 * Raft core of the replicated log: leader election with pre-vote, log
 * replication, membership changes, leadership transfer and read index.
 *
 * The core performs no I/O and reads no clock. Its inputs are the current
 * time, received messages and the results of disk writes; its outputs are
 * messages to send, batches to save and entries to apply. After each call the
 * owner collects the outputs with LogCore_TakeBatch, LogCore_TakeMessage and
 * LogCore_NextApply.
 *
 * A message that depends on durable state (a vote, a vote request or a match
 * index) is deferred until the batch that contains this state has been saved.
 */
#ifndef LAURELLIFT_CONTROL_LOG_CORE_H
#define LAURELLIFT_CONTROL_LOG_CORE_H

#include "control/log_types.h"

typedef struct LogCore LogCore;

/** Maximum number of uncommitted entries in a leader's log. */
#define LOG_UNCOMMITTED_MAX 8192
/** Maximum size of one command, in bytes. */
#define LOG_COMMAND_MAX_BYTES (8u * 1024 * 1024)
/** Number of entries before the snapshot index that stay in memory, so that
 * slow followers can catch up without a snapshot. */
#define LOG_TRAILING_ENTRIES 2048

typedef struct LogCoreSpec {
    uint32_t id;
    uint64_t disk_id;
    LogTiming timing;
    uint32_t seed; /**< Seeds the random election timeouts. */
    TimeUs now;
    const StoreImage *image; /**< Persisted state read at start. */
} LogCoreSpec;

/** @return NULL with @p err set when the membership in the image is invalid.
 */
LogCore *LogCore_New(const LogCoreSpec *spec, Error *err);
void LogCore_Free(LogCore *core);

/** Bootstraps a cluster: appends @p config as the first entry of an empty log.
 * @return ERR_CONFLICT when the log is not empty. */
int LogCore_Bootstrap(LogCore *core, const LogConfig *config, TimeUs now);

/** Runs the election, heartbeat and membership timers. Must be called at least
 * once per heartbeat interval. */
void LogCore_Tick(LogCore *core, TimeUs now);

/** Handles a received message. The caller keeps ownership of it. */
void LogCore_Receive(LogCore *core, const LogMessage *message, TimeUs now);

/** Reports that a connected host identified itself as @p id with @p disk_id.
 * A leader updates the member of this id to the new disk, as a learner, when
 * the member's disk is unknown or counts as lost. */
void LogCore_OnHello(LogCore *core, uint32_t id, uint64_t disk_id, TimeUs now);

/** Reports that a link to a host connected. A candidate repeats its vote
 * request to this host: after a restart of all hosts the first requests are
 * sent, and lost, before the links connect. */
void LogCore_OnLinkConnected(LogCore *core, uint32_t id);

/** Handles a non-member's request to join. A leader adds the host as a learner
 * and promotes it to voter when its log has caught up. With automatic
 * membership it takes over the vote of a host of its zone. */
void LogCore_OnJoinRequest(LogCore *core, const LogMember *candidate,
                           TimeUs now);

/** Reports whether a host has begun a planned stop. */
void LogCore_OnLeaving(LogCore *core, uint32_t id, uint64_t disk_id,
                       bool leaving);

/** Appends a command entry to the leader's log.
 * @return ERR_OK; ERR_UNAVAILABLE when this host is not the leader or is
 *         transferring leadership; ERR_FULL when LOG_UNCOMMITTED_MAX entries
 * are uncommitted; ERR_TOO_LARGE above LOG_COMMAND_MAX_BYTES. */
int LogCore_Propose(LogCore *core, GBytes *command);

/** Proposes a membership change: adds a learner, or removes a member when
 * @p address is NULL.
 * @param disk_id  Disk of the new member; 0 when unknown.
 * @return ERR_OK once the change is appended; ERR_UNAVAILABLE when the caller
 *         may retry later, ERR_DUPLICATE, ERR_NOT_FOUND, ERR_FULL or
 *         ERR_INVALID with the cause in @p err. */
int LogCore_ChangeMember(LogCore *core, uint32_t id, uint64_t disk_id,
                         const char *address, Error *err);

/** Requests a read index: a heartbeat round that confirms leadership.
 * @return The ticket to pass to LogCore_IsReadIndexReady; 0 when this host is
 *         not the leader. */
uint64_t LogCore_RequestReadIndex(LogCore *core);

/** Returns true when a majority has acknowledged the heartbeat round of the
 * ticket and the entries committed at its start have been applied. */
bool LogCore_IsReadIndexReady(const LogCore *core, uint64_t ticket);

/** Starts a leadership transfer to the live voter with the highest match
 * index. */
void LogCore_TransferLeadership(LogCore *core, TimeUs now);

/** Reports that the disk failed. From then on the core neither votes nor
 * acknowledges entries nor accepts proposals; a leader transfers leadership
 * first. */
void LogCore_OnDiskFailed(LogCore *core);

/** Reports that the disk accepts writes again, after LogCore_OnDiskFailed. All
 * that was not reported as durable is in the next batch. The core is a
 * follower that votes and acknowledges entries again. */
void LogCore_OnDiskRecovered(LogCore *core, TimeUs now);

/** Queues the appends for new entries and starts a requested read index round.
 * Call it once after a group of proposals. */
void LogCore_Flush(LogCore *core, TimeUs now);

/** Moves the next batch to save into @p batch; the caller clears it.
 * @return false when there is nothing to save. */
bool LogCore_TakeBatch(LogCore *core, StoreBatch *batch);

/** Reports that all batches up to @p sequence are durable. */
void LogCore_OnSaved(LogCore *core, uint64_t sequence, TimeUs now);

/** Moves the next message to send into @p message; the caller clears it.
 * @return false when there is no message. */
bool LogCore_TakeMessage(LogCore *core, LogMessage *message);

/** Result of LogCore_NextApply. */
typedef enum LogApply {
    LOG_APPLY_NONE,
    LOG_APPLY_ENTRY,    /**< A committed entry. */
    LOG_APPLY_SNAPSHOT, /**< An installed snapshot that replaces the state. */
} LogApply;

/** Returns the next entry or snapshot to apply and advances the applied index.
 * Only the pointer that matches the result is set; it is valid until the next
 * call to the core. */
LogApply LogCore_NextApply(LogCore *core, const StoreEntry **entry,
                           const StoreSnapshot **snapshot);

/** Makes @p state, the owner's state at the applied index, the new snapshot
 * and discards log entries that are no longer needed. */
void LogCore_Compact(LogCore *core, GBytes *state);

/** Returns the entry at @p index, valid until the next call to the core, or
 * NULL when it is not in memory. */
const StoreEntry *LogCore_Entry(const LogCore *core, uint64_t index);

/** Status of the core. */
typedef struct LogStatus {
    uint32_t id;
    uint64_t disk_id;
    bool is_leader;
    bool is_voter;
    bool failed;     /**< The disk failed. */
    uint32_t leader; /**< Host id; 0 when unknown. */
    uint64_t term;
    uint64_t last_index;
    uint64_t durable_index;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t config_index;
    uint64_t snapshot_index;
    const LogConfig *config; /**< Latest membership, committed or not. */
} LogStatus;

void LogCore_GetStatus(const LogCore *core, LogStatus *status);

/** Returns the match index of a member at the leader: the highest index known
 * to be durable there. */
uint64_t LogCore_MatchIndex(const LogCore *core, uint32_t id);

#endif
