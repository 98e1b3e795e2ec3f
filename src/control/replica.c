/** @file
 * Replica of one voter in memory, for building without the replicated log.
 */
#include "control/replica.h"

#include "kernel/error.h"

struct Replica {
    const ReplicaOps *ops;
    void *owner;
    uint32_t id;
    uint64_t index;
    struct event *lead;
};

static void
on_lead(evutil_socket_t fd, short events, void *arg)
{
    Replica *replica = arg;
    replica->ops->leadership(replica->owner, true);
}

Replica *
Replica_Open(struct event_base *base, const Settings *settings,
             const LinkSelf *self, const ReplicaOps *ops, void *owner,
             Error *err)
{
    Replica *replica = g_new0(Replica, 1);
    replica->ops = ops;
    replica->owner = owner;
    replica->id = settings->control->id;
    replica->lead = event_new(base, -1, 0, on_lead, replica);
    event_active(replica->lead, EV_TIMEOUT, 0);
    return replica;
}

void
Replica_OnFrame(Replica *replica, Link *link, const Wire__Frame *frame)
{
}

void
Replica_OnLinkDown(Replica *replica, Link *link)
{
}

int
Replica_Propose(Replica *replica, const uint8_t *command, size_t length)
{
    uint64_t index = ++replica->index;
    replica->ops->appended(replica->owner, index, command, length);
    replica->ops->apply(replica->owner, index, command, length);
    return ERR_OK;
}

void
Replica_ConfirmLeads(Replica *replica, void (*done)(void *arg, bool leads),
                     void *arg)
{
    done(arg, true);
}

int
Replica_ChangeMember(Replica *replica, uint32_t id, const char *address,
                     Error *err)
{
    return Error_Set(err, ERR_UNAVAILABLE, "This log has one voter.");
}

void
Replica_HandOver(Replica *replica)
{
}

void
Replica_Status(const Replica *replica, ReplicaStatus *status)
{
    *status = (ReplicaStatus){
        .id = replica->id,
        .leads = true,
        .votes = true,
        .leader = replica->id,
        .term = 1,
        .last_index = replica->index,
        .commit = replica->index,
        .applied = replica->index,
        .voter_count = 1,
        .voters = {replica->id},
    };
}

void
Replica_Dump(const Replica *replica, json_t *out)
{
}

void
Replica_Close(Replica *replica)
{
    event_free(replica->lead);
    g_free(replica);
}
