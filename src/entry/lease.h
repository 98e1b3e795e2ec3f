/** @file
 * Rule lease of an entry. Pure: the caller passes the time.
 *
 * The entry asks every control host for what it knows of the rules and
 * counts the lease from the moment it asked. In majority mode each voter
 * tells the newest rule change on its disk, accepted or not. An accepted
 * change stands on a majority of disks, so when enough voters have none
 * newer than the version held, no newer one was accepted when the entry
 * asked: one round renews the lease, with or without a leader. In leader
 * mode one host that has confirmed its leadership after the ask answers for
 * all.
 */
#ifndef LAURELLIFT_ENTRY_LEASE_H
#define LAURELLIFT_ENTRY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/** Most control hosts. */
#define LEASE_HOSTS_MAX 9

/** One control host's reply. */
typedef struct LeaseReply {
    uint32_t replica; /**< 0: not a voter. */
    bool granted;     /**< Leader mode: it confirmed its leadership after the
                           ask. Majority mode: it may vouch for its disk. */
    uint64_t rules_version;
    uint64_t pending_version;
    uint64_t config_index;
    uint32_t voter_count;
    uint32_t voters[LEASE_HOSTS_MAX];
} LeaseReply;

/** What a reply changes. */
typedef enum LeaseResult {
    LEASE_WAIT,    /**< More replies are needed. */
    LEASE_RENEWED, /**< until has moved on. */
    LEASE_FETCH,   /**< An accepted version is newer than the one held. */
    LEASE_RETRY,   /**< Every voter has answered in vain: ask again. */
} LeaseResult;

typedef struct Lease {
    bool leader_mode; /**< Leader mode. */
    TimeUs length;
    TimeUs expires_at;
    uint64_t version; /**< Of the rules held. */
    uint64_t sequence;
    TimeUs asked_at;
    uint32_t reply_count;
    LeaseReply replies[LEASE_HOSTS_MAX];
    uint64_t renewals;
    uint64_t retries;
} Lease;

/** Begins a round; replies to earlier rounds no longer count.
 * @return the sequence number to ask with. */
uint64_t Lease_StartRound(Lease *lease, TimeUs now);

/** Takes one host's reply to the round of @p sequence. */
LeaseResult Lease_OnReply(Lease *lease, uint64_t sequence,
                          const LeaseReply *view);

/** Newer accepted rules were read. A lease that is held goes on: no version
 * newer than the old one was accepted when it was asked for, so none newer
 * than this one was. */
void Lease_SetVersion(Lease *lease, uint64_t version);

#endif
