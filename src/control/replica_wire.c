/** @file
 * Conversion between messages of the log core and link frames.
 */
#include "control/replica_wire.h"

static void
send_vote(Link *link, const LogMessage *message)
{
    Wire__Vote vote = WIRE__VOTE__INIT;
    vote.term = message->term;
    vote.candidate = message->from;
    vote.last_index = message->index;
    vote.last_term = message->log_term;
    vote.pre_vote = message->pre_vote;
    vote.transfer = message->transfer;
    vote.to_disk = message->to_disk_id;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_VOTE;
    frame.vote = &vote;
    Link_Send(link, &frame);
}

static void
send_vote_reply(Link *link, const LogMessage *message)
{
    Wire__VoteReply reply = WIRE__VOTE_REPLY__INIT;
    reply.term = message->term;
    reply.granted = message->success;
    reply.pre_vote = message->pre_vote;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_VOTE_REPLY;
    frame.vote_reply = &reply;
    Link_Send(link, &frame);
}

static void
fill_entry(Wire__LogEntry *wire, const StoreEntry *entry)
{
    wire__log_entry__init(wire);
    wire->index = entry->index;
    wire->term = entry->term;
    wire->kind = entry->kind;
    gsize length;
    wire->command.data = (uint8_t *)g_bytes_get_data(entry->data, &length);
    wire->command.len = length;
}

static void
send_append(Link *link, const LogMessage *message)
{
    guint count = message->entries == NULL ? 0 : message->entries->len;
    Wire__LogEntry *entries = g_new(Wire__LogEntry, count);
    Wire__LogEntry **pointers = g_new(Wire__LogEntry *, count);
    for (guint i = 0; i < count; i++) {
        fill_entry(&entries[i],
                   &g_array_index(message->entries, StoreEntry, i));
        pointers[i] = &entries[i];
    }
    Wire__Append append = WIRE__APPEND__INIT;
    append.term = message->term;
    append.leader = message->from;
    append.prev_index = message->index;
    append.prev_term = message->log_term;
    append.n_entries = count;
    append.entries = pointers;
    append.commit = message->commit_index;
    append.round = message->round;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_APPEND;
    frame.append = &append;
    Link_Send(link, &frame);
    g_free(entries);
    g_free(pointers);
}

static void
send_append_reply(Link *link, const LogMessage *message)
{
    Wire__AppendReply reply = WIRE__APPEND_REPLY__INIT;
    reply.term = message->term;
    reply.success = message->success;
    reply.match_index = message->index;
    reply.round = message->round;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_APPEND_REPLY;
    frame.append_reply = &reply;
    Link_Send(link, &frame);
}

static void
send_snapshot(Link *link, const LogMessage *message)
{
    Wire__InstallSnapshot chunk = WIRE__INSTALL_SNAPSHOT__INIT;
    chunk.term = message->term;
    chunk.leader = message->from;
    chunk.last_index = message->index;
    chunk.last_term = message->log_term;
    chunk.offset = message->offset;
    chunk.done = message->done;
    gsize length;
    chunk.data.data = (uint8_t *)g_bytes_get_data(message->data, &length);
    chunk.data.len = length;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_INSTALL_SNAPSHOT;
    frame.install_snapshot = &chunk;
    Link_Send(link, &frame);
}

static void
send_snapshot_reply(Link *link, const LogMessage *message)
{
    Wire__InstallSnapshotReply reply = WIRE__INSTALL_SNAPSHOT_REPLY__INIT;
    reply.term = message->term;
    reply.offset = message->offset;
    reply.done = message->done;
    reply.last_index = message->index;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_INSTALL_SNAPSHOT_REPLY;
    frame.install_snapshot_reply = &reply;
    Link_Send(link, &frame);
}

static void
send_timeout_now(Link *link, const LogMessage *message)
{
    Wire__TimeoutNow now = WIRE__TIMEOUT_NOW__INIT;
    now.term = message->term;
    Wire__Frame frame = WIRE__FRAME__INIT;
    frame.body_case = WIRE__FRAME__BODY_TIMEOUT_NOW;
    frame.timeout_now = &now;
    Link_Send(link, &frame);
}

void
ReplicaWire_Send(Link *link, const LogMessage *message)
{
    static void (*const senders[])(Link *, const LogMessage *) = {
        [LOG_VOTE] = send_vote,
        [LOG_VOTE_REPLY] = send_vote_reply,
        [LOG_APPEND] = send_append,
        [LOG_APPEND_REPLY] = send_append_reply,
        [LOG_SNAPSHOT] = send_snapshot,
        [LOG_SNAPSHOT_REPLY] = send_snapshot_reply,
        [LOG_TIMEOUT_NOW] = send_timeout_now,
    };
    senders[message->type](link, message);
}

static void
read_append(const Wire__Append *append, LogMessage *message)
{
    *message = (LogMessage){
        .type = LOG_APPEND,
        .term = append->term,
        .index = append->prev_index,
        .log_term = append->prev_term,
        .commit_index = append->commit,
        .round = append->round,
    };
    if (append->n_entries == 0) {
        return;
    }
    message->entries = StoreEntry_NewArray();
    for (size_t i = 0; i < append->n_entries; i++) {
        const Wire__LogEntry *wire = append->entries[i];
        GBytes *data = g_bytes_new(wire->command.data, wire->command.len);
        StoreEntry entry = {
            .index = wire->index,
            .term = wire->term,
            .kind = wire->kind,
            .data = data,
        };
        StoreEntry_Append(message->entries, &entry);
        g_bytes_unref(data);
    }
}

static void
read_snapshot(const Wire__InstallSnapshot *chunk, LogMessage *message)
{
    *message = (LogMessage){
        .type = LOG_SNAPSHOT,
        .term = chunk->term,
        .index = chunk->last_index,
        .log_term = chunk->last_term,
        .offset = chunk->offset,
        .done = chunk->done,
        .data = g_bytes_new(chunk->data.data, chunk->data.len),
    };
}

static void
read_vote(const Wire__Vote *vote, LogMessage *message)
{
    *message = (LogMessage){
        .type = LOG_VOTE,
        .term = vote->term,
        .index = vote->last_index,
        .log_term = vote->last_term,
        .pre_vote = vote->pre_vote,
        .transfer = vote->transfer,
        .to_disk_id = vote->to_disk,
    };
}

static bool
read_reply(const Wire__Frame *frame, LogMessage *message)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_VOTE_REPLY:
        *message = (LogMessage){
            .type = LOG_VOTE_REPLY,
            .term = frame->vote_reply->term,
            .success = frame->vote_reply->granted,
            .pre_vote = frame->vote_reply->pre_vote,
        };
        return true;
    case WIRE__FRAME__BODY_APPEND_REPLY:
        *message = (LogMessage){
            .type = LOG_APPEND_REPLY,
            .term = frame->append_reply->term,
            .success = frame->append_reply->success,
            .index = frame->append_reply->match_index,
            .round = frame->append_reply->round,
        };
        return true;
    case WIRE__FRAME__BODY_INSTALL_SNAPSHOT_REPLY:
        *message = (LogMessage){
            .type = LOG_SNAPSHOT_REPLY,
            .term = frame->install_snapshot_reply->term,
            .index = frame->install_snapshot_reply->last_index,
            .offset = frame->install_snapshot_reply->offset,
            .done = frame->install_snapshot_reply->done,
        };
        return true;
    default:
        return false;
    }
}

bool
ReplicaWire_Read(const Wire__Frame *frame, LogMessage *message)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_VOTE:
        read_vote(frame->vote, message);
        return true;
    case WIRE__FRAME__BODY_APPEND:
        read_append(frame->append, message);
        return true;
    case WIRE__FRAME__BODY_INSTALL_SNAPSHOT:
        read_snapshot(frame->install_snapshot, message);
        return true;
    case WIRE__FRAME__BODY_TIMEOUT_NOW:
        *message = (LogMessage){
            .type = LOG_TIMEOUT_NOW,
            .term = frame->timeout_now->term,
        };
        return true;
    default:
        return read_reply(frame, message);
    }
}
