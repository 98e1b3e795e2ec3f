/** @file
 * Replica: this host's copy of the replicated log. It connects the log core to
 * the store's writer thread and the links to the other control hosts.
 *
 * All calls and callbacks run on the event loop of the control task.
 */
#ifndef LAURELLIFT_CONTROL_REPLICA_H
#define LAURELLIFT_CONTROL_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>

#include "kernel/settings.h"
#include "wire/link.h"

/** Most hosts that a cluster begins with, and most members that it may have
 * while hosts are replaced. */
#define REPLICA_VOTERS_MAX 9
#define REPLICA_MEMBERS_MAX 12

typedef struct Replica Replica;

/** Callbacks to the owner of the replicated state. */
typedef struct ReplicaOps {
    /** Applies a committed command, in log order. The no-op entry at the start
     * of a leader's term is not passed. */
    void (*apply)(void *owner, uint64_t index, const uint8_t *command,
                  size_t length);
    /** Reports a command that is durable on this host, committed or not. */
    void (*command_durable)(void *owner, uint64_t index,
                            const uint8_t *command, size_t length);
    /** Reports that a new leader replaced the entries from @p index on. */
    void (*truncated)(void *owner, uint64_t index);
    /** Returns the whole state after the last applied command, serialized. */
    GBytes *(*snapshot)(void *owner);
    /** Replaces the whole state with a serialized one. An error makes
     * Replica_Open fail and aborts a running process. */
    int (*restore)(void *owner, const uint8_t *bytes, size_t length,
                   Error *err);
    /** Reports that this host became leader or lost leadership. */
    void (*leadership_changed)(void *owner, bool is_leader);
} ReplicaOps;

typedef struct ReplicaStatus {
    uint32_t id;
    bool is_leader;
    bool is_voter;           /**< False for a learner or a non-member. */
    bool read_only;          /**< The disk failed or is full. */
    uint32_t leader;         /**< Host id; 0 when unknown. */
    char leader_address[64]; /**< IP:PORT for links; empty when unknown. */
    uint64_t term;
    uint64_t last_index;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t config_index;
    uint32_t voter_count;
    uint32_t voters[REPLICA_MEMBERS_MAX];
    /** Hosts that answer questions: voters and standby hosts. */
    uint32_t host_count;
    char addresses[REPLICA_MEMBERS_MAX][64]; /**< IP:PORT for links. */
} ReplicaStatus;

/** Opens the data folder, restores the state and starts replication.
 * @return NULL with @p err when the settings or the data folder are invalid,
 * or the state cannot be restored. */
Replica *Replica_Open(struct event_base *base, const Settings *settings,
                      const LinkIdentity *self, const ReplicaOps *ops,
                      void *owner, Error *err);

/** Handles a frame of the log protocol received over a link that another
 * control host dialled. A ReplicaHello is answered over the same link. */
void Replica_OnFrame(Replica *replica, Link *link, const Wire__Frame *frame);

/** Reports that an incoming link disconnected. */
void Replica_OnLinkDisconnected(Replica *replica, Link *link);

/** Proposes a command. It is committed when `apply` receives it. When
 * leadership is lost before, the outcome is unknown and the proposer retries
 * with the same command id.
 * @return ERR_OK; otherwise ERR_UNAVAILABLE, ERR_FULL or ERR_TOO_LARGE as
 *         LogCore_Propose. */
int Replica_Propose(Replica *replica, const uint8_t *command, size_t length);

/** Proposes a command if this host is the leader, else sends it to the leader.
 * The command may be lost on the way: the caller calls again until `apply`
 * receives it, so it must do no harm if it is applied more than once.
 * @return as Replica_Propose; ERR_UNAVAILABLE also when no link to a leader is
 *         connected. */
int Replica_Submit(Replica *replica, const uint8_t *command, size_t length);

/** Calls @p done once, with true when a majority confirms after this call that
 * this host is the leader, and with false when that fails or times out. */
void Replica_ConfirmLeadership(Replica *replica,
                               void (*done)(void *arg, bool is_leader),
                               void *arg);

/** Proposes a membership change: adds a host as a learner, which is promoted
 * to voter when its log has caught up, or removes a host.
 * @param address  IP:PORT of the host to add; NULL to remove it. */
int Replica_ChangeMember(Replica *replica, uint32_t id, const char *address,
                         Error *err);

/** Announces a planned stop to the other hosts and transfers leadership. */
void Replica_BeginPlannedStop(Replica *replica);

/** Starts a leadership transfer to the voter with the most complete log. */
void Replica_TransferLeadership(Replica *replica);

void Replica_GetStatus(const Replica *replica, ReplicaStatus *status);
/** Adds the state dump of the replica to @p out. */
void Replica_Dump(const Replica *replica, json_t *out);
void Replica_Close(Replica *replica);

#endif
