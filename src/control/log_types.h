/** @file
 * Types of the log core: members, messages and timing.
 */
#ifndef LAURELLIFT_CONTROL_LOG_TYPES_H
#define LAURELLIFT_CONTROL_LOG_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/clock.h"
#include "store/store.h"

/** Maximum number of voters and learners together. */
#define LOG_MEMBERS_MAX 12
/** Number of removed members that are remembered. */
#define LOG_FORMER_MAX 16
#define LOG_ADDRESS_BYTES 64
#define LOG_ZONE_BYTES 64

/** Entry kinds. The values are stored in StoreEntry.kind and sent on the wire.
 */
typedef enum LogEntryKind {
    LOG_ENTRY_COMMAND = 0,
    LOG_ENTRY_NOOP = 1,    /**< Empty entry that starts a leader's term. */
    LOG_ENTRY_MEMBERS = 2, /**< Membership, a packed LogConfig. */
} LogEntryKind;

/** One member, identified by host id and disk id: a host that lost its disk
 * also lost its vote and log, so it rejoins as a different member. */
typedef struct LogMember {
    uint32_t id;
    uint64_t disk_id; /**< 0 when unknown. */
    bool learner;     /**< Receives the log but does not vote. */
    bool standby;     /**< A learner that gave its vote to another host of its
                         zone, or was a member before. */
    uint64_t joined;  /**< Index of the entry that first added the host; 0 for
                         the initial members. */
    char address[LOG_ADDRESS_BYTES]; /**< IP:PORT. */
    char zone[LOG_ZONE_BYTES];       /**< Empty when unknown. */
} LogMember;

/** A removed member, which may come back. */
typedef struct LogFormerMember {
    uint32_t id;
    uint64_t joined;
} LogFormerMember;

/** A membership. It takes effect when its log entry is appended, before the
 * entry is committed. */
typedef struct LogConfig {
    unsigned count;
    LogMember members[LOG_MEMBERS_MAX];
    unsigned votes; /**< Number of voters that it is to have, as at the first
                       start; 0 when unknown. */
    unsigned former_count;
    LogFormerMember former[LOG_FORMER_MAX]; /**< Removed last comes last. */
} LogConfig;

typedef enum LogMessageType {
    LOG_VOTE,
    LOG_VOTE_REPLY,
    LOG_APPEND,
    LOG_APPEND_REPLY,
    LOG_SNAPSHOT,
    LOG_SNAPSHOT_REPLY,
    LOG_TIMEOUT_NOW,
} LogMessageType;

/** A message between two hosts. Each field names the message types that use
 * it; it is 0 in all others. */
typedef struct LogMessage {
    LogMessageType type;
    uint32_t from;
    uint32_t to;
    uint64_t from_disk_id;
    uint64_t to_disk_id; /**< Vote: disk id of the voter in the candidate's
                            membership. */
    uint64_t term;
    uint64_t index;        /**< Vote: last log index. Append: index before the
                                entries. Append reply: match index, or the index
                                to retry after. Snapshot and its reply: last
                                included index. */
    uint64_t log_term;     /**< Vote, append, snapshot: term of index. */
    uint64_t commit_index; /**< Append: commit index of the leader. */
    uint64_t round;  /**< Append: heartbeat round, copied to its reply. */
    uint64_t offset; /**< Snapshot: offset of the chunk, in bytes. Its reply:
                          number of bytes received. */
    bool pre_vote;   /**< Vote and its reply: true for a pre-vote. */
    bool transfer;   /**< Vote: election started by a leadership transfer. */
    bool success;    /**< Vote reply: the vote is granted. Append reply: the
                        entries are accepted. */
    bool done;       /**< Snapshot: this is the last chunk. Snapshot reply: the
                        snapshot is durable. */
    GArray *entries; /**< Append: StoreEntry elements, or NULL. */
    GBytes *data;    /**< Snapshot: bytes of the chunk, or NULL. */
} LogMessage;

/** Frees the entries and data of the message. */
void LogMessage_Clear(LogMessage *message);

/** Timeouts, in microseconds, and the limit of voters per zone. */
typedef struct LogTiming {
    TimeUs heartbeat_interval;
    TimeUs election_timeout; /**< The actual timeout is random, 1 to 2 times
                                this. */
    TimeUs replace_timeout; /**< A member's disk counts as lost when the member
                               has been silent for longer. */
    /** Number of live voters that an availability zone needs. Votes beyond
     * them move to other hosts of the zone; 0 disables this. */
    unsigned zone_voters;
    TimeUs surplus_timeout; /**< A member is not live when it has been silent
                               for longer. */
} LogTiming;

/** Returns the member with this id, or NULL. */
const LogMember *LogConfig_Find(const LogConfig *config, uint32_t id);

unsigned LogConfig_VoterCount(const LogConfig *config);

/** Returns true when the member with this id and disk is a voter. */
bool LogConfig_IsVoter(const LogConfig *config, uint32_t id, uint64_t disk_id);

/** Serializes a membership for a LOG_ENTRY_MEMBERS entry. */
GBytes *LogConfig_Pack(const LogConfig *config);

/** Parses a serialized membership.
 * @return ERR_CORRUPT when the bytes are not a valid membership. */
int LogConfig_Unpack(GBytes *bytes, LogConfig *config);

/** Serializes a membership and the owner's state into a snapshot. */
GBytes *LogConfig_PackSnapshot(const LogConfig *config, GBytes *state);

/** Parses a snapshot. @p state, which may be NULL, receives the owner's state.
 * @return ERR_CORRUPT when the bytes are not a valid snapshot. */
int LogConfig_UnpackSnapshot(GBytes *bytes, LogConfig *config, GBytes **state);

#endif
