/** @file
 * Hosts of the log core with disks and a bag of messages, for fuzzing. All
 * that happens is decided by the caller; nothing reads a clock.
 */
#ifndef LAURELLIFT_TEST_FUZZ_LOG_NET_H
#define LAURELLIFT_TEST_FUZZ_LOG_NET_H

#include "control/log_core.h"

#define NET_HOSTS 6 /* ids 1 to 5; id 6 is added later */
#define NET_BAG_MAX 400

/** What a host's folder holds. */
typedef struct NetDisk {
    uint64_t disk_id;
    StoreImage image;   /**< Durable. */
    GPtrArray *batches; /**< StoreBatch handed out and not yet durable. */
} NetDisk;

/** One host. */
typedef struct NetHost {
    uint32_t id;
    LogCore *core; /**< NULL while it is down. */
    NetDisk disk;
    bool frozen;      /**< Net_Run leaves it alone. */
    bool slow;        /**< Net_Run does not save its batches. */
    uint64_t checked; /**< Committed entries compared with the oracle. */
    uint64_t applied;
    uint64_t digest;           /**< Of all applied entries, in order. */
    uint64_t ticket;           /**< Of a confirmation asked for; 0: none. */
    uint64_t ticket_committed; /**< Committed anywhere when it was asked. */
    uint64_t ticket_term;
} NetHost;

/** A committed entry, as first seen. */
typedef struct NetFact {
    uint64_t term;
    uint64_t digest;    /**< Of the entries up to this one. */
    uint64_t seen_term; /**< Highest term anywhere when it was seen. */
    bool is_config;
    LogConfig config;
} NetFact;

typedef struct Net {
    unsigned voters; /**< Hosts that the cluster begins with. */
    bool automatic;  /**< Membership follows the zones. */
    NetHost hosts[NET_HOSTS];
    GPtrArray *bag; /**< LogMessage */
    bool cut[NET_HOSTS][NET_HOSTS];
    TimeUs now;
    uint64_t next_disk;
    uint64_t next_command;
    GArray *facts;       /**< NetFact by index - 1. */
    GHashTable *leaders; /**< Term -> id and disk. */
    GHashTable *votes;   /**< Voter, disk and term -> candidate. */
} Net;

Net *Net_New(unsigned voters);

/** As Net_New; each host stands in a zone of its own that keeps one voter. */
Net *Net_NewAutomatic(unsigned voters);

/** Puts a member into the zone of this host. */
void Net_SetZone(LogMember *member, uint32_t host);

/** Carries out what a host's core gave out. */
void Net_Settle(Net *net, NetHost *host);

/** The host asks every core to join; it stands in the zone of @p like. */
void Net_Admit(Net *net, uint32_t id, uint32_t like);
void Net_Free(Net *net);

void Net_Tick(Net *net, unsigned host, TimeUs span);

/** Delivers message @p at of the bag; @p keep leaves a copy in it. */
void Net_Deliver(Net *net, unsigned at, bool keep);
void Net_Drop(Net *net, unsigned at);

/** Makes the oldest @p count batches of a host durable; it learns of that
 * when @p told is set. */
void Net_Save(Net *net, unsigned host, unsigned count, bool told);

void Net_Propose(Net *net, unsigned host);
void Net_AskConfirm(Net *net, unsigned host);
void Net_HandOver(Net *net, unsigned host);
void Net_ChangeMember(Net *net, unsigned host, uint32_t id, bool add);
void Net_Compact(Net *net, unsigned host);

/** Ends the host; only what is durable stays. */
void Net_Crash(Net *net, unsigned host);
void Net_Start(Net *net, unsigned host);

/** Empties the host's folder, when a majority of the newest membership
 * keeps its disks, and starts it with a new disk id. */
void Net_LoseDisk(Net *net, unsigned host);

void Net_FailDisk(Net *net, unsigned host);

/** Lets the network and the disks work for some rounds. */
void Net_Run(Net *net, unsigned rounds);

#endif
