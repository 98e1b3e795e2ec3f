/** @file
 * Core of the replicated log: leader election with pre-vote, replication,
 * membership changes, leadership transfer and confirmed reads.
 *
 * The core is pure: it takes the time, messages and the outcome of disk
 * writes, and gives messages to send and batches to save. It reads no clock,
 * opens no socket and no file. After each call its owner takes what is due:
 * LogCore_TakeBatch, LogCore_TakeMessage, LogCore_NextApply.
 *
 * A message that promises something durable (a vote, a match index, a
 * candidate's request) is held until the batch that makes it true is saved.
 */
#ifndef LAURELLIFT_CONTROL_LOG_CORE_H
#define LAURELLIFT_CONTROL_LOG_CORE_H

#include "control/log_types.h"

typedef struct LogCore LogCore;

/** Proposed entries that are not committed yet, at most. */
#define LOG_PENDING_MAX 8192
/** Largest command, in bytes. */
#define LOG_COMMAND_MAX_BYTES (8u * 1024 * 1024)
/** Entries kept behind the snapshot for followers that lag. */
#define LOG_TRAILING_ENTRIES 2048

typedef struct LogCoreSpec {
    uint32_t id;
    uint64_t disk_id;
    LogTiming timing;
    uint32_t seed; /**< Of the election timeouts. */
    TimeUs now;
    const StoreImage *image; /**< What the store held. */
} LogCoreSpec;

/** @return NULL when the image's membership cannot be read. */
LogCore *LogCore_New(const LogCoreSpec *spec, Error *err);
void LogCore_Free(LogCore *core);

/** Founds a cluster: writes @p config as the first entry of an empty log.
 * ERR_CONFLICT when the log is not empty. */
int LogCore_Bootstrap(LogCore *core, const LogConfig *config, TimeUs now);

/** Lets time pass. Call it at least every heartbeat span. */
void LogCore_Tick(LogCore *core, TimeUs now);

/** Takes a message; it stays the caller's. */
void LogCore_Receive(LogCore *core, const LogMessage *message, TimeUs now);

/** A host has said who it is: (@p id, @p disk_id). A leader replaces the
 * member whose disk was lost, or completes one with no known disk. */
void LogCore_OnHello(LogCore *core, uint32_t id, uint64_t disk_id, TimeUs now);

/** A link to a host came up: a request for its vote may have been lost. After
 * a restart of all hosts the first requests go out before the links are. */
void LogCore_OnLinkUp(LogCore *core, uint32_t id);

/** A host that is no member asks to join: a leader adds it as a learner,
 * which is promoted when it has caught up. */
void LogCore_OnJoinRequest(LogCore *core, const LogMember *candidate,
                           TimeUs now);

/** A member has begun a planned stop. */
void LogCore_OnLeaving(LogCore *core, uint32_t id);

/** Appends an entry of kind command.
 * @return ERR_OK, ERR_UNAVAILABLE when this host does not lead or is handing
 *         over, ERR_FULL, ERR_TOO_LARGE. */
int LogCore_Propose(LogCore *core, GBytes *command);

/** Adds a learner (@p address not NULL) or removes a member. @p disk_id may
 * be 0 when it is not known.
 * @return ERR_UNAVAILABLE when not now, ERR_DUPLICATE, ERR_NOT_FOUND,
 *         ERR_FULL, ERR_INVALID; @p err says why. */
int LogCore_ChangeMember(LogCore *core, uint32_t id, uint64_t disk_id,
                         const char *address, Error *err);

/** Asks for a confirmation that this host leads.
 * @return a ticket for LogCore_IsReadIndexReady; 0 when this host does not
 * lead. */
uint64_t LogCore_RequestReadIndex(LogCore *core);

/** True when a majority answered after the ticket was given and all that
 * was committed then has been applied. */
bool LogCore_IsReadIndexReady(const LogCore *core, uint64_t ticket);

/** Begins to hand leadership to the most advanced voter. */
void LogCore_TransferLeadership(LogCore *core, TimeUs now);

/** The disk failed: no vote, acknowledgement or proposal any more. */
void LogCore_OnDiskFailed(LogCore *core);

/** Sends entries that wait. Call it after a group of proposals. */
void LogCore_Flush(LogCore *core, TimeUs now);

/** Takes the next batch to save; the caller clears it.
 * @return false when there is none. */
bool LogCore_TakeBatch(LogCore *core, StoreBatch *batch);

/** The batch of this sequence, and all before it, are durable. */
void LogCore_OnSaved(LogCore *core, uint64_t sequence, TimeUs now);

/** Takes the next message to send; the caller clears it. */
bool LogCore_TakeMessage(LogCore *core, LogMessage *message);

/** What the owner applies next. */
typedef enum LogApply {
    LOG_APPLY_NONE,
    LOG_APPLY_ENTRY,    /**< A committed entry. */
    LOG_APPLY_SNAPSHOT, /**< An installed snapshot replaces the state. */
} LogApply;

/** The next thing to apply; it counts as applied. Pointers live until the
 * next call of the core. */
LogApply LogCore_NextApply(LogCore *core, const StoreEntry **entry,
                           const StoreSnapshot **snapshot);

/** Takes the owner's state as of the last apply as the new snapshot. */
void LogCore_Compact(LogCore *core, GBytes *state);

/** An entry of the log, or NULL. Valid until the next call. */
const StoreEntry *LogCore_Entry(const LogCore *core, uint64_t index);

/** What is visible of the core. */
typedef struct LogStatus {
    uint32_t id;
    uint64_t disk_id;
    bool is_leader;
    bool is_voter;
    bool failed;
    uint32_t leader; /**< 0: not known. */
    uint64_t term;
    uint64_t last_index;
    uint64_t durable_index;
    uint64_t commit;
    uint64_t applied;
    uint64_t config_index;
    uint64_t snapshot_index;
    const LogConfig *config;
} LogStatus;

void LogCore_GetStatus(const LogCore *core, LogStatus *view);

/** Highest index that is durable at the member, as the leader knows. */
uint64_t LogCore_MatchIndex(const LogCore *core, uint32_t id);

#endif
