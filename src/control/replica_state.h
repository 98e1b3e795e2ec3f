/** @file
 * Internal state and functions shared by the replica*.c files.
 */
#ifndef LAURELLIFT_CONTROL_REPLICA_STATE_H
#define LAURELLIFT_CONTROL_REPLICA_STATE_H

#include "control/log_core.h"
#include "control/replica.h"
#include "store/writer.h"

#define REPLICA_PART "replica"

/* Identity of a connected control host, from its ReplicaHello message. */
typedef struct ReplicaIdentity {
    uint32_t id;
    uint64_t disk_id;
    bool bootstrap;      /* the host may bootstrap a cluster */
    uint64_t last_index; /* last index of the host's log; 0: empty */
    char address[LOG_ADDRESS_BYTES];
    char zone[LOG_ZONE_BYTES];
} ReplicaIdentity;

/* Another control host, with the links to it in both directions. */
typedef struct ReplicaPeer {
    uint32_t id;
    char address[LOG_ADDRESS_BYTES];
    Link *outgoing;
    Link *incoming; /* latest link that the peer dialled, or NULL */
} ReplicaPeer;

/* A batch submitted to the writer thread and not saved yet. */
typedef struct PendingBatch {
    uint64_t sequence;
    TimeUs submitted_at;
} PendingBatch;

/* Why this host takes no part in the replicated log. */
typedef enum ReplicaCause {
    REPLICA_TAKES_PART,
    REPLICA_DISK_FAILED,
    REPLICA_NOT_A_MEMBER, /* the log is empty, or the host was removed */
    REPLICA_NO_MAJORITY,  /* no leader is known */
    REPLICA_CATCHING_UP,  /* a learner */
    REPLICA_APPLYING,     /* committed entries are not applied yet */
} ReplicaCause;

struct Replica {
    struct event_base *base;
    const Settings *settings;
    const LinkIdentity *self;
    const ReplicaOps *ops;
    void *owner;
    LogCore *core;
    StoreWriter *writer;
    GPtrArray *peers;            /* ReplicaPeer elements */
    GHashTable *identities;      /* Link -> ReplicaIdentity */
    uint64_t peers_config_index; /* config_index that peers was built from */
    struct event *tick_timer;
    struct event *output_event; /* activated by Replica_Schedule */
    GArray *confirmations;      /* LeadershipConfirmation elements */
    uint64_t reported_index;    /* last index passed to ops->command_durable */
    uint64_t applied_bytes;     /* command bytes since the last snapshot */
    GArray *pending_batches;    /* PendingBatch elements by sequence */
    ReplicaCause cause;         /* why the host takes no part */
    TimeUs cause_since;         /* when that cause began */
    TimeUs cause_recorded_at;   /* newest record of it; 0: none yet */
    TimeUs failure_recorded_at; /* newest record of a failed disk */
    TimeUs recover_at;          /* next use of a failed disk; 0: none is due */
    TimeUs join_logged_at;      /* when the wait to join was last logged */
    bool was_leader; /* value last passed to ops->leadership_changed */
    bool leaving;    /* a planned stop has begun */
    LogConfig learned_config; /* membership received from a peer */
};

/* Schedules processing of the core's outputs in this iteration of the event
 * loop. */
void Replica_Schedule(Replica *replica);

/* Reports replaced entries to the owner. Must be called after each message,
 * because the same index may become durable again later. */
void Replica_ReportTruncated(Replica *replica);

/* ---- replica_disk.c ---- */

/* Passes the result of a write to the core; see StoreWriterDone. */
void ReplicaDisk_OnSaved(void *owner, uint64_t sequence, int result,
                         const char *why);

/* Makes a leader with a slow disk step aside, and tries to use a failed one
 * again. */
void ReplicaDisk_Check(Replica *replica, TimeUs now);

/* ---- replica_health.c ---- */

/* Records from time to time why this host takes no part, and when it does
 * again. */
void ReplicaHealth_Check(Replica *replica, TimeUs now);

/* ---- replica_links.c: links to the other control hosts ---- */

/* Dials the control hosts of the settings and of the membership, and closes
 * links to hosts that are in neither or changed their address. */
void ReplicaLinks_Update(Replica *replica);

/* Sends a message to its destination host; drops it when no link to the host
 * is connected. */
void ReplicaLinks_Send(Replica *replica, const LogMessage *message);

/* Sends a command to the host @p leader (0: unknown), which proposes it.
 * @return ERR_UNAVAILABLE when no link to the host is connected. */
int ReplicaLinks_Forward(Replica *replica, uint32_t leader,
                         const uint8_t *command, size_t length);

/* Sends this host's identity over all connected links that it dialled. */
void ReplicaLinks_SendHello(Replica *replica);

/* Reports the identity of every connected host to the core, and the join
 * request of non-members. */
void ReplicaLinks_ReportIdentities(Replica *replica, TimeUs now);

/* Returns the identity of a connected host, or NULL. */
const ReplicaIdentity *ReplicaLinks_FindIdentity(const Replica *replica,
                                                 uint32_t id);

void ReplicaLinks_Close(Replica *replica);

#endif
