/** @file
 * What the parts of the replica share.
 */
#ifndef LAURELLIFT_CONTROL_REPLICA_STATE_H
#define LAURELLIFT_CONTROL_REPLICA_STATE_H

#include "control/log_core.h"
#include "control/replica.h"
#include "store/writer.h"

#define REPLICA_PART "replica"

/* What the host at the other end of a link said of itself. */
typedef struct ReplicaIdentity {
    uint32_t id;
    uint64_t disk_id;
    bool bootstrap;
    uint64_t last_index;
    char address[LOG_ADDRESS_BYTES];
    char zone[LOG_ZONE_BYTES];
} ReplicaIdentity;

/* Another control host that this one dials. */
typedef struct ReplicaPeer {
    uint32_t id;
    char address[LOG_ADDRESS_BYTES];
    Link *dialled;
    Link *incoming; /* the newest link that it dialled; may be NULL */
} ReplicaPeer;

struct Replica {
    struct event_base *base;
    const Settings *settings;
    const LinkIdentity *self;
    const ReplicaOps *ops;
    void *owner;
    LogCore *core;
    StoreWriter *writer;
    GPtrArray *peers;        /* ReplicaPeer */
    GHashTable *identities;  /* Link -> ReplicaIdentity */
    uint64_t dialled_config; /* config index the peers were made for */
    struct event *tick;
    struct event *pump; /* made active when the core has work to give */
    GArray *confirms;
    uint64_t reported;      /* entries told to ops->appended */
    uint64_t applied_bytes; /* since the newest snapshot */
    GArray *saving;         /* batches on their way to the disk */
    TimeUs waiting_logged_at;
    bool led;
    bool leaving;    /* a planned stop has begun */
    LogConfig heard; /* membership as a peer told it, for a new host */
};

/* Makes the core's work due at the end of this turn of the loop. */
void Replica_Schedule(Replica *replica);

/* Tells the owner of entries that were replaced. Call it after each message:
 * the same index may become durable again later. */
void Replica_ReportTruncated(Replica *replica);

/* ---- replica_links.c ---- */

/* Dials the hosts of the settings and of the membership. */
void ReplicaLinks_Update(Replica *replica);

/* Sends to the host the message names, when a link to it is up. */
void ReplicaLinks_Send(Replica *replica, const LogMessage *message);

/* Says again who this host is, on every link. */
void ReplicaLinks_SayHello(Replica *replica);

/* Tells the core of every host that is connected. */
void ReplicaLinks_Meet(Replica *replica, TimeUs now);

/* The identity of a connected host, or NULL. */
const ReplicaIdentity *ReplicaLinks_Identity(const Replica *replica,
                                             uint32_t id);

void ReplicaLinks_Close(Replica *replica);

#endif
