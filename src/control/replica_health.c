/** @file
 * Replica: records why this host takes no part in the replicated log.
 */
#include "control/replica_state.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* Time without taking part after which it is recorded: elections are shorter.
 */
#define RECORD_AFTER_US (1 * US_PER_S)
/* Least interval between records of the same cause. It grows with the time
 * that the cause has lasted. */
#define RECORD_INTERVAL_MIN_US (2 * US_PER_S)
#define RECORD_INTERVAL_FRACTION 2

static const char *const cause_names[] = {
    [REPLICA_TAKES_PART] = "none",
    [REPLICA_DISK_FAILED] = "disk_failed",
    [REPLICA_NOT_A_MEMBER] = "not_a_member",
    [REPLICA_NO_MAJORITY] = "no_majority",
    [REPLICA_CATCHING_UP] = "catching_up",
    [REPLICA_APPLYING] = "applying",
};

static ReplicaCause
find_cause(const LogStatus *status)
{
    if (status->failed) {
        return REPLICA_DISK_FAILED;
    }
    const LogMember *self = LogConfig_Find(status->config, status->id);
    if (self == NULL) {
        return REPLICA_NOT_A_MEMBER;
    }
    if (status->leader == 0) {
        return REPLICA_NO_MAJORITY;
    }
    if (!status->is_voter && !self->standby) {
        return REPLICA_CATCHING_UP;
    }
    return status->applied_index < status->commit_index ? REPLICA_APPLYING
                                                        : REPLICA_TAKES_PART;
}

/* Returns the ids of the voters without a connection, separated by commas. */
static char *
missing_voters(const Replica *replica, const LogStatus *status)
{
    GString *ids = g_string_new(NULL);
    for (unsigned i = 0; i < status->config->count; i++) {
        const LogMember *member = &status->config->members[i];
        if (!member->learner && member->id != status->id &&
            ReplicaLinks_FindIdentity(replica, member->id) == NULL)
        {
            g_string_append_printf(ids, "%s%u", ids->len > 0 ? "," : "",
                                   member->id);
        }
    }
    return g_string_free(ids, FALSE);
}

/* Returns the bytes of the committed entries that are not applied. */
static uint64_t
unapplied_bytes(const Replica *replica, const LogStatus *status)
{
    uint64_t bytes = 0;
    for (uint64_t i = status->applied_index + 1; i <= status->commit_index;
         i++) {
        const StoreEntry *entry = LogCore_Entry(replica->core, i);
        bytes += entry == NULL ? 0 : g_bytes_get_size(entry->data);
    }
    return bytes;
}

static void
record_cause(const Replica *replica, const LogStatus *status, TimeUs now)
{
    char *missing = missing_voters(replica, status);
    LOG_WARN(
        REPLICA_PART,
        "Host takes no part. cause=%s since_ms=%lld voters=%u "
        "missing=%s leader=%u applied=%llu committed=%llu last=%llu "
        "left_entries=%llu left_bytes=%llu",
        cause_names[replica->cause],
        (long long)(now - replica->cause_since) / US_PER_MS,
        LogConfig_VoterCount(status->config), missing, status->leader,
        (unsigned long long)status->applied_index,
        (unsigned long long)status->commit_index,
        (unsigned long long)status->last_index,
        (unsigned long long)(status->commit_index - status->applied_index),
        (unsigned long long)unapplied_bytes(replica, status));
    g_free(missing);
}

void
ReplicaHealth_Check(Replica *replica, TimeUs now)
{
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    ReplicaCause cause = find_cause(&status);
    if (cause != replica->cause) {
        if (cause == REPLICA_TAKES_PART && replica->cause_recorded_at != 0) {
            LOG_INFO(REPLICA_PART,
                     "Host takes part again. cause=%s after_ms=%lld",
                     cause_names[replica->cause],
                     (long long)(now - replica->cause_since) / US_PER_MS);
        }
        replica->cause = cause;
        replica->cause_since = now;
        replica->cause_recorded_at = 0;
        Counter_Set(
            Counter_Get(
                "replica_takes_part",
                "1 while the host votes or stands by, and is up to date."),
            cause == REPLICA_TAKES_PART);
    }
    TimeUs lasted = now - replica->cause_since;
    if (cause == REPLICA_TAKES_PART || lasted < RECORD_AFTER_US) {
        return;
    }
    TimeUs interval =
        MAX(RECORD_INTERVAL_MIN_US, lasted / RECORD_INTERVAL_FRACTION);
    if (replica->cause_recorded_at == 0 ||
        now - replica->cause_recorded_at >= interval)
    {
        replica->cause_recorded_at = now;
        record_cause(replica, &status, now);
    }
}
