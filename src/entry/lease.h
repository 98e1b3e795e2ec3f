/** @file
 * Rule lease of an entry. Performs no I/O and reads no clock: the caller
 * passes the time.
 *
 * In each round the entry asks every control host for its rules version. A
 * renewed lease starts at the time of the request. In majority mode each
 * voter replies with the newest rule change on its disk, committed or not. A
 * committed change is on the disks of a majority of voters. If the voters that
 * may hold a newer change than the entry are fewer than a majority, no newer
 * change was committed before the round, and the lease is renewed. This needs
 * no leader. In leader mode, the reply of one host that has confirmed its
 * leadership during the round renews the lease.
 */
#ifndef LAURELLIFT_ENTRY_LEASE_H
#define LAURELLIFT_ENTRY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Maximum number of control hosts, also while some are replaced. */
#define LEASE_HOSTS_MAX 12

/** One control host's reply. */
typedef struct LeaseReply {
    uint32_t replica; /**< Replica number; 0 if the host is not a voter. */
    bool granted;     /**< Leader mode: the host has confirmed its leadership
                         since the request. Majority mode: the host is a voter
                         whose disk works. */
    uint64_t rules_version;   /**< Newest version that is committed according
                                 to the host. */
    uint64_t pending_version; /**< Newest version on disk, committed or not. */
    uint64_t config_index;    /**< Log index of the membership below. */
    uint32_t voter_count;
    uint32_t voters[LEASE_HOSTS_MAX];
} LeaseReply;

/** Effect of a reply. */
typedef enum LeaseResult {
    LEASE_WAIT,    /**< More replies are needed. */
    LEASE_RENEWED, /**< The lease is valid until Lease.expires_at. */
    LEASE_FETCH,   /**< The entry has to fetch a newer committed version. */
    LEASE_RETRY,   /**< All voters replied and the lease was not renewed; a new
                      round is needed. */
} LeaseResult;

typedef struct Lease {
    bool leader_mode;  /**< True: the leader's reply alone renews the lease;
                          false: the replies of a majority of voters do. */
    TimeUs duration;   /**< Counted from the start of the round that renews. */
    TimeUs expires_at; /**< 0 before the first renewal. */
    uint64_t version;  /**< Rules version of the entry; 0 without rules. */
    uint64_t sequence; /**< Number of the current round. */
    TimeUs round_started_at; /**< Start of the current round. */
    uint32_t reply_count;
    LeaseReply replies[LEASE_HOSTS_MAX]; /**< Replies to the current round. */
    uint64_t renewals;
    uint64_t retries; /**< Number of LEASE_RETRY results. */
} Lease;

/** Starts a round. Replies to earlier rounds no longer renew the lease.
 * @return the sequence number to send in the requests of this round. */
uint64_t Lease_StartRound(Lease *lease, TimeUs now);

/** Handles the reply of one control host to the round @p sequence. */
LeaseResult Lease_OnReply(Lease *lease, uint64_t sequence,
                          const LeaseReply *reply);

/** Sets the rules version of the entry after it fetched newer rules. A valid
 * lease stays valid: it proves that no version newer than the old one was
 * committed before its round, which includes every version newer than this
 * one. */
void Lease_SetVersion(Lease *lease, uint64_t version);

#endif
