/** @file
 * Replica: results of disk writes, slow disks, and disks that fail or are full
 * for a time.
 */
#include "control/replica_state.h"
#include "kernel/counter.h"
#include "kernel/log.h"

/* A leader transfers leadership when a disk write takes longer. */
#define DISK_WRITE_TIMEOUT_US (2 * US_PER_S)
/* Interval between attempts to use a disk again that failed or was full. */
#define DISK_RECOVERY_INTERVAL_US (500 * US_PER_MS)
/* Least time between two error records of failed writes. */
#define FAILURE_RECORD_INTERVAL_US (5 * US_PER_S)
#define READ_ONLY_HELP "1 while the disk fails or is full."

/* Handles the result of an attempt to use the disk again after a failure. */
static void
on_recovered(Replica *replica, int result, const char *why)
{
    TimeUs now = Clock_Now();
    if (result != ERR_OK) {
        LOG_DEBUG(REPLICA_PART, "Disk does not accept writes yet. why=\"%s\"",
                  why);
        replica->recover_at = now + DISK_RECOVERY_INTERVAL_US;
        return;
    }
    LOG_INFO(REPLICA_PART, "Disk accepts writes again; host takes part.");
    Counter_Set(Counter_Get("replica_read_only", READ_ONLY_HELP), 0);
    LogCore_OnDiskRecovered(replica->core, now);
    Replica_Schedule(replica);
}

/* Records a failure, but not each one of a disk that fails again and again. */
static void
record_failure(Replica *replica, const char *why)
{
    TimeUs now = Clock_Now();
    Counter_Add(Counter_Get("replica_disk_failures_total",
                            "Failed writes after which the host was "
                            "read-only."),
                1);
    if (replica->failure_recorded_at != 0 &&
        now - replica->failure_recorded_at < FAILURE_RECORD_INTERVAL_US)
    {
        LOG_DEBUG(REPLICA_PART, "Disk write failed again. why=\"%s\"", why);
        return;
    }
    replica->failure_recorded_at = now;
    LOG_ERROR(REPLICA_PART,
              "Disk write failed; host is now read-only. why=\"%s\"", why);
}

void
ReplicaDisk_OnSaved(void *owner, uint64_t sequence, int result,
                    const char *why)
{
    Replica *replica = owner;
    if (sequence == STORE_WRITER_RECOVERY) {
        on_recovered(replica, result, why);
        return;
    }
    while (replica->pending_batches->len > 0 &&
           g_array_index(replica->pending_batches, PendingBatch, 0).sequence <=
               sequence)
    {
        g_array_remove_index(replica->pending_batches, 0);
    }
    LogStatus status;
    LogCore_GetStatus(replica->core, &status);
    if (result == ERR_OK) {
        LogCore_OnSaved(replica->core, sequence, Clock_Now());
    }
    else if (!status.failed) {
        record_failure(replica, why);
        Counter_Set(Counter_Get("replica_read_only", READ_ONLY_HELP), 1);
        LogCore_OnDiskFailed(replica->core);
        replica->recover_at = Clock_Now() + DISK_RECOVERY_INTERVAL_US;
    }
    Replica_Schedule(replica);
}

void
ReplicaDisk_Check(Replica *replica, TimeUs now)
{
    if (replica->recover_at != 0 && now >= replica->recover_at) {
        replica->recover_at = 0;
        StoreWriter_Recover(replica->writer);
    }
    if (replica->pending_batches->len == 0) {
        return;
    }
    TimeUs submitted_at =
        g_array_index(replica->pending_batches, PendingBatch, 0).submitted_at;
    if (now - submitted_at > DISK_WRITE_TIMEOUT_US) {
        LogCore_TransferLeadership(replica->core, now);
    }
}
