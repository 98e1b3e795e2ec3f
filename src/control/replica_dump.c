/** @file
 * Replica: status and state dump.
 */
#include "control/replica_state.h"

void
Replica_GetStatus(const Replica *replica, ReplicaStatus *status)
{
    LogStatus view;
    LogCore_GetStatus(replica->core, &view);
    *status = (ReplicaStatus){
        .id = view.id,
        .is_leader = view.is_leader,
        .is_voter = view.is_voter,
        .read_only = view.failed,
        .leader = view.leader,
        .term = view.term,
        .last_index = view.last_index,
        .commit = view.commit,
        .applied = view.applied,
        .config_index = view.config_index,
    };
    for (unsigned i = 0; i < view.config->count; i++) {
        const LogMember *member = &view.config->members[i];
        if (member->id == view.leader) {
            g_strlcpy(status->leader_address, member->address,
                      sizeof(status->leader_address));
        }
        if (!member->learner && status->voter_count < REPLICA_VOTERS_MAX) {
            g_strlcpy(status->addresses[status->voter_count], member->address,
                      sizeof(status->addresses[0]));
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
dump_members(const Replica *replica, const LogStatus *view)
{
    json_t *members = json_array();
    for (unsigned i = 0; i < view->config->count; i++) {
        const LogMember *member = &view->config->members[i];
        json_t *item = json_object();
        set_number(item, "id", member->id);
        json_object_set_new(item, "learner", json_boolean(member->learner));
        json_object_set_new(item, "address", json_string(member->address));
        if (view->is_leader && member->id != view->id) {
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
    LogStatus view;
    LogCore_GetStatus(replica->core, &view);
    char disk[24];
    g_snprintf(disk, sizeof(disk), "%016llx",
               (unsigned long long)view.disk_id);
    set_number(out, "id", view.id);
    json_object_set_new(out, "disk", json_string(disk));
    json_object_set_new(out, "leads", json_boolean(view.is_leader));
    json_object_set_new(out, "votes", json_boolean(view.is_voter));
    json_object_set_new(out, "read_only", json_boolean(view.failed));
    set_number(out, "leader", view.leader);
    set_number(out, "term", view.term);
    set_number(out, "last_index", view.last_index);
    set_number(out, "durable", view.durable_index);
    set_number(out, "commit", view.commit);
    set_number(out, "applied", view.applied);
    set_number(out, "snapshot", view.snapshot_index);
    set_number(out, "config_index", view.config_index);
    json_object_set_new(out, "members", dump_members(replica, &view));
}
