/** @file
 * Simulated cluster of log cores with disks and a network, for tests. The
 * caller triggers each event, and the clock advances only in Net_Tick and
 * Net_Run. A host is passed as its index in Net.hosts, which is its id - 1,
 * except where a parameter is named id.
 */
#ifndef LAURELLIFT_TEST_FUZZ_LOG_NET_H
#define LAURELLIFT_TEST_FUZZ_LOG_NET_H

#include "control/log_core.h"

#ifndef NET_HOSTS
#define NET_HOSTS 6 /* up to 5 initial voters; id 6 is for a later member */
#endif
/** Maximum number of undelivered messages; further ones are lost. */
#define NET_MESSAGES_MAX 400

/** Simulated disk of a host. */
typedef struct NetDisk {
    uint64_t disk_id;
    StoreImage image;   /**< Durable content. */
    GPtrArray *batches; /**< StoreBatch values that are not yet durable. */
} NetDisk;

typedef struct NetHost {
    uint32_t id;
    LogCore *core; /**< NULL while the host is stopped. */
    NetDisk disk;
    bool frozen; /**< Net_Run skips the host. */
    bool slow;   /**< Net_Run does not save the host's batches. */
    uint64_t
        checked_index; /**< Last committed index compared with the oracle. */
    uint64_t applied_index; /**< Index of the last applied entry. */
    uint64_t digest;        /**< Digest of all applied entries, in order. */
    uint64_t read_index_request; /**< Pending read index request; 0 if none. */
    uint64_t read_index_committed; /**< Entries committed by any host when
                                  the read index was requested. */
    uint64_t read_index_term;      /**< Term of that request. */
} NetHost;

/** A committed entry, recorded when the first host commits it. */
typedef struct NetCommittedEntry {
    uint64_t term;
    uint64_t digest;    /**< Digest of the entries up to this one. */
    uint64_t seen_term; /**< Highest term of any host at that time. */
    bool is_config;
    LogConfig config;
} NetCommittedEntry;

typedef struct Net {
    unsigned voters; /**< Number of initial voters. */
    bool automatic;  /**< The leader changes the membership automatically; see
                        Net_NewAutomatic(). */
    NetHost hosts[NET_HOSTS];
    GPtrArray *messages; /**< Undelivered messages: LogMessage values. */
    bool cut[NET_HOSTS][NET_HOSTS]; /**< [from][to]: messages are lost. */
    TimeUs now;
    uint64_t next_disk;
    uint64_t next_command;
    GArray *committed_entries; /**< One NetCommittedEntry for each committed
                                  entry, in log order from index 1 on. */
    GHashTable *leaders; /**< Term -> host id and disk id of the leader. */
    GHashTable *votes;   /**< Disk id and term of the voter -> candidate. */
} Net;

Net *Net_New(unsigned voters);

/** Like Net_New, with automatic changes of membership. The initial voters are
 * in the zones 1 to @p zones in turn. */
Net *Net_NewAutomatic(unsigned voters, unsigned zones);

/** Sets the member's zone to the one with this number. */
void Net_SetZone(LogMember *member, uint32_t id);

/** Collects the batches and messages of a host's core, applies its committed
 * entries and checks them against the oracle. */
void Net_ProcessOutput(Net *net, NetHost *host);

/** Passes a join request of the host with id @p id to the cores of all other
 * hosts. The request names the zone of the initial voter with id @p zone_id.
 */
void Net_SendJoinRequests(Net *net, uint32_t id, uint32_t zone_id);
void Net_Free(Net *net);

/** Advances the clock by @p span, passes the hellos of the running hosts that
 * can reach a host to its core and runs the timers of that core. */
void Net_Tick(Net *net, unsigned index, TimeUs span);

/** Delivers the message with index @p position modulo the number of
 * undelivered messages. If @p keep_message is set, it can be delivered again.
 */
void Net_Deliver(Net *net, unsigned position, bool keep_message);
/** Drops the message with index @p position modulo the number of undelivered
 * messages. */
void Net_Drop(Net *net, unsigned position);

/** Makes the oldest @p count batches of a host durable. If @p notify is
 * set, its core is notified. */
void Net_Save(Net *net, unsigned index, unsigned count, bool notify);

void Net_Propose(Net *net, unsigned index);
/** Requests a read index at a host, unless its last request is pending. */
void Net_RequestReadIndex(Net *net, unsigned index);
/** Starts a leadership transfer from a host. */
void Net_TransferLeadership(Net *net, unsigned index);
/** Proposes at a host to add the host with id @p id as a learner, or to remove
 * it from the members. */
void Net_ChangeMember(Net *net, unsigned index, uint32_t id, bool add);
/** Makes a snapshot of a host's applied state, with which its core discards
 * entries that are no longer needed. */
void Net_Compact(Net *net, unsigned index);

/** Stops a host; batches that are not durable are lost. */
void Net_Crash(Net *net, unsigned index);
void Net_Start(Net *net, unsigned index);

/** Stops a host and replaces its disk by an empty one with a new id. */
void Net_ClearDisk(Net *net, unsigned index);

/** Restarts a host with an empty disk and a new disk id, if a majority of the
 * voters of each membership that may be in effect keeps its disks. */
void Net_LoseDisk(Net *net, unsigned index);

/** Reports a disk failure to a host's core; batches that are not durable are
 * lost. */
void Net_FailDisk(Net *net, unsigned index);

/* The failed disk accepts writes again. */
void Net_RecoverDisk(Net *net, unsigned index);

/** Simulates rounds of 50 ms in which timers run, messages are delivered and
 * batches are saved. */
void Net_Run(Net *net, unsigned rounds);

#endif
