/** @file
 * Replica: this host's part of the replicated log. It joins the pure log
 * core, the store's thread and the links to the other control hosts.
 *
 * All calls and callbacks happen on the loop of the control task.
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

#define REPLICA_VOTERS_MAX 9

typedef struct Replica Replica;

/** What the owner of the replicated state does. */
typedef struct ReplicaOps {
    /** Applies a committed command, in log order. An empty command (a
     * leader's first entry) is not passed on. */
    void (*apply)(void *owner, uint64_t index, const uint8_t *command,
                  size_t length);
    /** A command reached this host's disk, committed or not. */
    void (*appended)(void *owner, uint64_t index, const uint8_t *command,
                     size_t length);
    /** Entries from @p index on were replaced by a newer leader's. */
    void (*truncated)(void *owner, uint64_t index);
    /** The whole state, as of the last apply. */
    GBytes *(*snapshot)(void *owner);
    /** Replaces the whole state; ERR_CORRUPT stops the host. */
    int (*restore)(void *owner, const uint8_t *bytes, size_t length,
                   Error *err);
    /** This host began or ceased to lead. */
    void (*leadership)(void *owner, bool leads);
} ReplicaOps;

typedef struct ReplicaStatus {
    uint32_t id;
    bool is_leader;
    bool is_voter;           /**< False: a learner. */
    bool read_only;          /**< The disk failed or is full. */
    uint32_t leader;         /**< 0: not known. */
    char leader_address[64]; /**< Of its links; empty: not known. */
    uint64_t term;
    uint64_t last_index;
    uint64_t commit;
    uint64_t applied;
    uint64_t config_index;
    uint32_t voter_count;
    uint32_t voters[REPLICA_VOTERS_MAX];
    char addresses[REPLICA_VOTERS_MAX][64]; /**< Of the voters' links. */
} ReplicaStatus;

/** Opens the data folder, restores the state and starts taking part.
 * @return NULL with @p err when the folder cannot be used as it is. */
Replica *Replica_Open(struct event_base *base, const Settings *settings,
                      const LinkIdentity *self, const ReplicaOps *ops,
                      void *owner, Error *err);

/** Takes a frame of the log protocol from a link that another control host
 * dialled; answers go back over the same link. */
void Replica_OnFrame(Replica *replica, Link *link, const Wire__Frame *frame);

/** The link is gone. */
void Replica_OnLinkDown(Replica *replica, Link *link);

/** Proposes a command. Its outcome shows when `apply` receives it; when
 * leadership is lost first, the outcome is open and the proposer asks again
 * with the same command id.
 * @return ERR_OK, ERR_UNAVAILABLE when this host does not lead, ERR_FULL,
 *         ERR_TOO_LARGE. */
int Replica_Propose(Replica *replica, const uint8_t *command, size_t length);

/** Calls @p done with true once a majority has confirmed, after this call,
 * that this host leads; with false otherwise. */
void Replica_ConfirmLeadership(Replica *replica,
                               void (*done)(void *arg, bool leads), void *arg);

/** Proposes a change of membership: adds a learner that is promoted to
 * voter when it has caught up, or removes a host.
 * @param address  IP:PORT of the new host; NULL removes. */
int Replica_ChangeMember(Replica *replica, uint32_t id, const char *address,
                         Error *err);

/** Tells the other hosts of a planned stop and hands leadership over. */
void Replica_Leave(Replica *replica);

/** Hands leadership to the best follower; for a planned stop. */
void Replica_TransferLeadership(Replica *replica);

void Replica_GetStatus(const Replica *replica, ReplicaStatus *status);
void Replica_Dump(const Replica *replica, json_t *out);
void Replica_Close(Replica *replica);

#endif
