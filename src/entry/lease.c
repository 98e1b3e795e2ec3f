/** @file
 * Rule lease: evaluation of the replies of one round.
 */
#include "entry/lease.h"

uint64_t
Lease_StartRound(Lease *lease, TimeUs now)
{
    lease->round_started_at = now;
    lease->reply_count = 0;
    return ++lease->sequence;
}

void
Lease_SetVersion(Lease *lease, uint64_t version)
{
    lease->version = version;
}

static LeaseResult
renew_lease(Lease *lease)
{
    TimeUs until = lease->round_started_at + lease->duration;
    lease->expires_at = until > lease->expires_at ? until : lease->expires_at;
    lease->renewals++;
    return LEASE_RENEWED;
}

/* Returns the reply whose membership has the highest log index. */
static const LeaseReply *
newest_config(const Lease *lease)
{
    const LeaseReply *newest = &lease->replies[0];
    for (uint32_t i = 1; i < lease->reply_count; i++) {
        if (lease->replies[i].config_index > newest->config_index) {
            newest = &lease->replies[i];
        }
    }
    return newest;
}

static bool
is_voter(const LeaseReply *config, uint32_t replica)
{
    for (uint32_t i = 0; i < config->voter_count; i++) {
        if (config->voters[i] == replica) {
            return true;
        }
    }
    return false;
}

static LeaseResult
count_replies(Lease *lease)
{
    const LeaseReply *config = newest_config(lease);
    uint32_t replied = 0;
    uint32_t without_newer = 0;
    for (uint32_t i = 0; i < lease->reply_count; i++) {
        const LeaseReply *reply = &lease->replies[i];
        if (!is_voter(config, reply->replica)) {
            continue;
        }
        replied++;
        if (reply->pending_version <= lease->version) {
            without_newer++;
        }
    }
    uint32_t majority = config->voter_count / 2 + 1;
    uint32_t may_hold_newer = config->voter_count - without_newer;
    if (config->voter_count > 0 && replied >= majority &&
        may_hold_newer < majority)
    {
        return renew_lease(lease);
    }
    if (config->voter_count > 0 && replied == config->voter_count) {
        lease->retries++;
        return LEASE_RETRY;
    }
    return LEASE_WAIT;
}

static bool
has_reply_from(const Lease *lease, uint32_t replica)
{
    for (uint32_t i = 0; i < lease->reply_count; i++) {
        if (lease->replies[i].replica == replica) {
            return true;
        }
    }
    return false;
}

LeaseResult
Lease_OnReply(Lease *lease, uint64_t sequence, const LeaseReply *reply)
{
    if (reply->rules_version > lease->version) {
        return LEASE_FETCH;
    }
    if (sequence != lease->sequence) {
        return LEASE_WAIT;
    }
    if (lease->leader_mode) {
        bool current = reply->rules_version == lease->version;
        return reply->granted && current ? renew_lease(lease) : LEASE_WAIT;
    }
    if (!reply->granted || reply->replica == 0 ||
        has_reply_from(lease, reply->replica) ||
        lease->reply_count == LEASE_HOSTS_MAX)
    {
        return LEASE_WAIT;
    }
    lease->replies[lease->reply_count++] = *reply;
    return count_replies(lease);
}
