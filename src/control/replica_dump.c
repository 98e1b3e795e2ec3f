/** @file
 * Replica: status and state dump.
 */
#include "control/replica_state.h"

G_STATIC_ASSERT(REPLICA_MEMBERS_MAX == LOG_MEMBERS_MAX);

void
Replica_GetStatus(const Replica *replica, ReplicaStatus *status)
{
    LogStatus log_status;
    LogCore_GetStatus(replica->core, &log_status);
    *status = (ReplicaStatus){
        .id = log_status.id,
        .is_leader = log_status.is_leader,
        .is_voter = log_status.is_voter,
        .read_only = log_status.failed,
        .leader = log_status.leader,
        .term = log_status.term,
        .last_index = log_status.last_index,
        .commit_index = log_status.commit_index,
        .applied_index = log_status.applied_index,
        .config_index = log_status.config_index,
    };
    for (unsigned i = 0; i < log_status.config->count; i++) {
        const LogMember *member = &log_status.config->members[i];
        if (member->id == log_status.leader) {
            g_strlcpy(status->leader_address, member->address,
                      sizeof(status->leader_address));
        }
        bool answers = !member->learner || member->standby;
        if (answers) {
            g_strlcpy(status->addresses[status->host_count++], member->address,
                      sizeof(status->addresses[0]));
        }
        if (!member->learner) {
            status->voters[status->voter_count++] = member->id;
        }
    }
}

static void
set_number(json_t *out, const char *name, uint64_t value)
{
    json_object_set_new(out, name, json_integer((json_int_t)value));
}

static json_t *
dump_members(const Replica *replica, const LogStatus *log_status)
{
    json_t *members = json_array();
    for (unsigned i = 0; i < log_status->config->count; i++) {
        const LogMember *member = &log_status->config->members[i];
        json_t *item = json_object();
        set_number(item, "id", member->id);
        json_object_set_new(item, "learner", json_boolean(member->learner));
        json_object_set_new(item, "standby", json_boolean(member->standby));
        json_object_set_new(item, "address", json_string(member->address));
        if (log_status->is_leader && member->id != log_status->id) {
            set_number(item, "match",
                       LogCore_MatchIndex(replica->core, member->id));
        }
        json_array_append_new(members, item);
    }
    return members;
}

void
Replica_Dump(const Replica *replica, json_t *out)
{
    LogStatus log_status;
    LogCore_GetStatus(replica->core, &log_status);
    char disk[24];
    g_snprintf(disk, sizeof(disk), "%016llx",
               (unsigned long long)log_status.disk_id);
    set_number(out, "id", log_status.id);
    json_object_set_new(out, "disk", json_string(disk));
    json_object_set_new(out, "leads", json_boolean(log_status.is_leader));
    json_object_set_new(out, "votes", json_boolean(log_status.is_voter));
    json_object_set_new(out, "read_only", json_boolean(log_status.failed));
    set_number(out, "leader", log_status.leader);
    set_number(out, "term", log_status.term);
    set_number(out, "last_index", log_status.last_index);
    set_number(out, "durable", log_status.durable_index);
    set_number(out, "commit", log_status.commit_index);
    set_number(out, "applied", log_status.applied_index);
    set_number(out, "snapshot", log_status.snapshot_index);
    set_number(out, "config_index", log_status.config_index);
    json_object_set_new(out, "members", dump_members(replica, &log_status));
}
