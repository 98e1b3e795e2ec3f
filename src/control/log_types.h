/** @file
 * Types of the replicated log's core: members, messages and timing.
 */
#ifndef LAURELLIFT_CONTROL_LOG_TYPES_H
#define LAURELLIFT_CONTROL_LOG_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kernel/clock.h"
#include "store/store.h"

/** Voters and learners at one time. */
#define LOG_MEMBERS_MAX 12
#define LOG_ADDRESS_BYTES 64
#define LOG_ZONE_BYTES 64

/** Kinds of entries; they stand in StoreEntry.kind and on the wire. */
typedef enum LogEntryKind {
    LOG_ENTRY_COMMAND = 0,
    LOG_ENTRY_NOOP = 1,    /**< First entry of a leader's term. */
    LOG_ENTRY_MEMBERS = 2, /**< Packed LogConfig. */
} LogEntryKind;

/** One member. A host is the pair of its id and its disk: a host that lost
 * its disk is another member. */
typedef struct LogMember {
    uint32_t id;
    uint64_t disk_id; /**< 0: not known yet. */
    bool learner;     /**< Receives the log and does not vote. */
    char address[LOG_ADDRESS_BYTES];
    char zone[LOG_ZONE_BYTES]; /**< Empty: not known. */
} LogMember;

/** The membership in force from one entry on. */
typedef struct LogConfig {
    unsigned count;
    LogMember members[LOG_MEMBERS_MAX];
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

/** A message between two hosts. A field holds its meaning for the types
 * that are named beside it and is 0 for all others. */
typedef struct LogMessage {
    LogMessageType type;
    uint32_t from;
    uint32_t to;
    uint64_t from_disk;
    uint64_t to_disk; /**< Vote: the voter's disk as the candidate knows. */
    uint64_t term;
    uint64_t index;    /**< Vote: last. Append: previous. Append reply: match.
                            Snapshot and its reply: last covered. */
    uint64_t log_term; /**< Term of index. */
    uint64_t commit;   /**< Append. */
    uint64_t round;    /**< Append, echoed in its reply. */
    uint64_t offset;   /**< Snapshot and its reply. */
    bool pre_vote;     /**< Vote and its reply. */
    bool transfer;     /**< Vote: the leader asked for this election. */
    bool success;      /**< Vote reply, append reply. */
    bool done;         /**< Snapshot: last piece. Its reply: durable. */
    GArray *entries;   /**< Append: StoreEntry, or NULL. */
    GBytes *data;      /**< Snapshot piece, or NULL. */
} LogMessage;

/** Frees what the message owns. */
void LogMessage_Clear(LogMessage *message);

/** Spans of time, in microseconds. */
typedef struct LogTiming {
    TimeUs heartbeat_interval;
    TimeUs election_timeout; /**< A follower waits for 1 to 2 of it. */
    TimeUs replace_timeout;  /**< Silence after which a disk counts as lost. */
    /** Voters that an availability zone keeps. A silent or leaving voter
     * beyond them is removed; 0: none is removed without a command. */
    unsigned zone_voters;
    TimeUs surplus_timeout; /**< Silence after which a voter may be surplus. */
} LogTiming;

/** The member of this id, or NULL. */
const LogMember *LogConfig_Find(const LogConfig *config, uint32_t id);

unsigned LogConfig_VoterCount(const LogConfig *config);

/** Whether (@p id, @p disk_id) is a voter. */
bool LogConfig_IsVoter(const LogConfig *config, uint32_t id, uint64_t disk_id);

/** Packs for an entry or a snapshot. */
GBytes *LogConfig_Pack(const LogConfig *config);

/** ERR_CORRUPT when the bytes are no membership. */
int LogConfig_Unpack(GBytes *bytes, LogConfig *config);

/** Joins a membership and the state of the owner into a snapshot. */
GBytes *LogConfig_PackSnapshot(const LogConfig *config, GBytes *state);

/** Parts a snapshot. @p state may be NULL; ERR_CORRUPT as above. */
int LogConfig_UnpackSnapshot(GBytes *bytes, LogConfig *config, GBytes **state);

#endif
