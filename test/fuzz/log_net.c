/** @file
 * Simulated cluster of log cores and its oracle. The oracle checks that
 * committed entries never change or disappear, that a term has at most one
 * leader, that each disk votes for at most one candidate in a term, that all
 * hosts apply the same entries in the same order, and that a host whose read
 * index is ready has applied all entries committed before its request.
 */
#include "log_net.h"

#include <string.h>

#include "fuzz.h"

#define ROUND_US (50 * US_PER_MS)
#define DIGEST_FACTOR 0x100000001b3u

static uint64_t
add_to_digest(uint64_t digest, const StoreEntry *entry)
{
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(entry->data, &length);
    digest = (digest ^ entry->index) * DIGEST_FACTOR;
    digest = (digest ^ entry->term) * DIGEST_FACTOR;
    digest = (digest ^ entry->kind) * DIGEST_FACTOR;
    for (gsize i = 0; i < length; i++) {
        digest = (digest ^ bytes[i]) * DIGEST_FACTOR;
    }
    return digest;
}

static void
free_batch(gpointer data)
{
    StoreBatch_Clear(data);
    g_free(data);
}

static void
free_message(gpointer data)
{
    LogMessage_Clear(data);
    g_free(data);
}

static uint64_t
highest_term(const Net *net)
{
    uint64_t term = 0;
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        if (net->hosts[i].core != NULL) {
            LogStatus status;
            LogCore_GetStatus(net->hosts[i].core, &status);
            term = MAX(term, status.term);
        }
    }
    return term;
}

/* ---- The oracle ---- */

static void
check_committed(Net *net, const NetHost *host, uint64_t index)
{
    const StoreEntry *entry = LogCore_Entry(host->core, index);
    if (entry == NULL) {
        /* The snapshot covers the entry; its digest is checked on restore. */
        return;
    }
    if (index > net->committed_entries->len) {
        FUZZ_CHECK(index == net->committed_entries->len + 1,
                   "committed entries before index %lu are missing", index);
        uint64_t before = index == 1
                              ? 0
                              : g_array_index(net->committed_entries,
                                              NetCommittedEntry, index - 2)
                                    .digest;
        NetCommittedEntry committed = {
            .term = entry->term,
            .digest = add_to_digest(before, entry),
            .seen_term = highest_term(net),
            .is_config = entry->kind == LOG_ENTRY_MEMBERS,
        };
        if (committed.is_config) {
            LogConfig_Unpack(entry->data, &committed.config);
        }
        g_array_append_val(net->committed_entries, committed);
        return;
    }
    const NetCommittedEntry *committed =
        &g_array_index(net->committed_entries, NetCommittedEntry, index - 1);
    FUZZ_CHECK(committed->term == entry->term,
               "host %u committed index %lu with term %lu, expected %lu",
               host->id, index, entry->term, committed->term);
}

/* Checks that a term has one leader, and that its log holds all entries that
 * were committed before the term. */
static void
check_leader(Net *net, const NetHost *host, const LogStatus *status)
{
    uint64_t self = ((uint64_t)host->id << 32) | host->disk.disk_id;
    gpointer key = GSIZE_TO_POINTER(status->term);
    uint64_t recorded =
        GPOINTER_TO_SIZE(g_hash_table_lookup(net->leaders, key));
    FUZZ_CHECK(recorded == 0 || recorded == self, "term %lu has two leaders",
               status->term);
    if (recorded != 0) {
        return;
    }
    g_hash_table_insert(net->leaders, key, GSIZE_TO_POINTER(self));
    for (uint64_t i = status->snapshot_index + 1;
         i <= net->committed_entries->len; i++)
    {
        const NetCommittedEntry *committed =
            &g_array_index(net->committed_entries, NetCommittedEntry, i - 1);
        const StoreEntry *entry = LogCore_Entry(host->core, i);
        FUZZ_CHECK(committed->seen_term >= status->term ||
                       (entry != NULL && entry->term == committed->term),
                   "the leader of term %lu lacks committed index %lu",
                   status->term, i);
    }
}

static void
check_read_index(Net *net, NetHost *host, const LogStatus *status)
{
    if (host->read_index_request == 0) {
        return;
    }
    if (!status->is_leader || status->term != host->read_index_term) {
        host->read_index_request = 0;
        return;
    }
    if (LogCore_IsReadIndexReady(host->core, host->read_index_request)) {
        FUZZ_CHECK(
            host->applied_index >= host->read_index_committed,
            "read index is ready at applied index %lu, before index %lu",
            host->applied_index, host->read_index_committed);
        host->read_index_request = 0;
    }
}

static void
check_vote(Net *net, const LogMessage *message)
{
    if (message->type != LOG_VOTE_REPLY || message->pre_vote ||
        !message->success) {
        return;
    }
    char *key =
        g_strdup_printf("%lu %lu", message->from_disk_id, message->term);
    unsigned recorded = GPOINTER_TO_UINT(g_hash_table_lookup(net->votes, key));
    FUZZ_CHECK(recorded == 0 || recorded == message->to,
               "host %u voted for two candidates in term %lu", message->from,
               message->term);
    g_hash_table_insert(net->votes, key, GUINT_TO_POINTER(message->to));
}

static void
restore_snapshot(Net *net, NetHost *host, const StoreSnapshot *snapshot)
{
    LogConfig config;
    GBytes *state = NULL;
    int result = LogConfig_UnpackSnapshot(snapshot->data, &config, &state);
    FUZZ_CHECK(result == ERR_OK, "a snapshot cannot be decoded");
    memcpy(&host->digest, g_bytes_get_data(state, NULL), sizeof(host->digest));
    g_bytes_unref(state);
    host->applied_index = snapshot->index;
    FUZZ_CHECK(snapshot->index <= net->committed_entries->len &&
                   host->digest == g_array_index(net->committed_entries,
                                                 NetCommittedEntry,
                                                 snapshot->index - 1)
                                       .digest,
               "digest of the snapshot of index %lu differs", snapshot->index);
}

static void
apply_all(Net *net, NetHost *host)
{
    const StoreEntry *entry;
    const StoreSnapshot *snapshot;
    for (;;) {
        switch (LogCore_NextApply(host->core, &entry, &snapshot)) {
        case LOG_APPLY_NONE:
            return;
        case LOG_APPLY_SNAPSHOT:
            restore_snapshot(net, host, snapshot);
            break;
        case LOG_APPLY_ENTRY:
            FUZZ_CHECK(entry->index == host->applied_index + 1,
                       "entries are applied out of order");
            host->digest = add_to_digest(host->digest, entry);
            host->applied_index = entry->index;
            FUZZ_CHECK(host->digest == g_array_index(net->committed_entries,
                                                     NetCommittedEntry,
                                                     entry->index - 1)
                                           .digest,
                       "host %u applied a different entry at index %lu",
                       host->id, entry->index);
            break;
        }
    }
}

void
Net_ProcessOutput(Net *net, NetHost *host)
{
    if (host->core == NULL) {
        return;
    }
    LogCore_Flush(host->core, net->now);
    StoreBatch batch;
    while (LogCore_TakeBatch(host->core, &batch)) {
        g_ptr_array_add(host->disk.batches, g_memdup2(&batch, sizeof(batch)));
    }
    LogMessage message;
    while (LogCore_TakeMessage(host->core, &message)) {
        check_vote(net, &message);
        if (net->messages->len >= NET_MESSAGES_MAX) {
            LogMessage_Clear(&message);
            continue;
        }
        g_ptr_array_add(net->messages, g_memdup2(&message, sizeof(message)));
    }
    LogStatus status;
    LogCore_GetStatus(host->core, &status);
    while (host->checked_index < status.commit_index) {
        check_committed(net, host, ++host->checked_index);
    }
    if (status.is_leader) {
        check_leader(net, host, &status);
    }
    apply_all(net, host);
    check_read_index(net, host, &status);
}

/* ---- Hosts and disks ---- */

static void
new_disk(Net *net, NetHost *host)
{
    NetDisk *disk = &host->disk;
    StoreImage_Clear(&disk->image);
    g_clear_pointer(&disk->batches, g_ptr_array_unref);
    disk->disk_id = net->next_disk++;
    disk->image = (StoreImage){.entries = StoreEntry_NewArray()};
    disk->batches = g_ptr_array_new_with_free_func(free_batch);
}

void
Net_Start(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core != NULL) {
        return;
    }
    LogCoreSpec spec = {
        .id = host->id,
        .disk_id = host->disk.disk_id,
        .timing = {.heartbeat_interval = 100 * US_PER_MS,
                   .election_timeout =
                       (net->automatic ? 350 : 500) * US_PER_MS,
                   .replace_timeout =
                       (net->automatic ? 500 : 2000) * US_PER_MS,
                   .zone_voters = net->automatic ? 1 : 0,
                   .surplus_timeout = 1500 * US_PER_MS},
        .seed = (uint32_t)(host->id * 1000 + net->now % 977),
        .now = net->now,
        .image = &host->disk.image,
    };
    Error err = ERROR_INIT;
    host->core = LogCore_New(&spec, &err);
    FUZZ_CHECK(host->core != NULL, "a log core cannot start: %s", err.text);
    host->checked_index = 0;
    host->applied_index = 0;
    host->digest = 0;
    host->read_index_request = 0;
    host->frozen = false;
    Net_ProcessOutput(net, host);
}

void
Net_Crash(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core != NULL) {
        LogCore_Free(host->core);
        host->core = NULL;
    }
    g_ptr_array_set_size(host->disk.batches, 0);
}

static void
drop_covered(StoreImage *image, const StoreSnapshot *snapshot)
{
    GArray *entries = image->entries;
    uint64_t base = image->snapshot.index;
    uint64_t covered = snapshot->index - base;
    g_array_remove_range(entries, 0, (guint)MIN(covered, entries->len));
}

static void
write_batch(StoreImage *image, const StoreBatch *batch)
{
    if (batch->has_state) {
        image->term = batch->term;
        image->vote = batch->vote;
    }
    if (batch->snapshot.index != 0) {
        if (batch->reset) {
            g_array_set_size(image->entries, 0);
        }
        else {
            drop_covered(image, &batch->snapshot);
        }
        g_clear_pointer(&image->snapshot.data, g_bytes_unref);
        image->snapshot = batch->snapshot;
        g_bytes_ref(image->snapshot.data);
    }
    for (guint i = 0; batch->entries != NULL && i < batch->entries->len; i++) {
        const StoreEntry *entry =
            &g_array_index(batch->entries, StoreEntry, i);
        uint64_t offset = entry->index - image->snapshot.index - 1;
        FUZZ_CHECK(offset <= image->entries->len,
                   "a saved batch leaves a gap in the log");
        g_array_set_size(image->entries, (guint)offset);
        StoreEntry_Append(image->entries, entry);
    }
}

void
Net_Save(Net *net, unsigned index, unsigned count, bool notify)
{
    NetHost *host = &net->hosts[index];
    uint64_t sequence = 0;
    while (count-- > 0 && host->disk.batches->len > 0) {
        StoreBatch *batch = host->disk.batches->pdata[0];
        sequence = batch->sequence;
        write_batch(&host->disk.image, batch);
        g_ptr_array_remove_index(host->disk.batches, 0);
    }
    if (sequence != 0 && notify && host->core != NULL) {
        LogCore_OnSaved(host->core, sequence, net->now);
        Net_ProcessOutput(net, host);
    }
}

static bool
keeps_majority(const Net *net, const LogConfig *config, unsigned lost)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < config->count; i++) {
        const LogMember *member = &config->members[i];
        const NetHost *host = &net->hosts[member->id - 1];
        kept += !member->learner && member->id - 1 != lost &&
                host->disk.disk_id == member->disk_id;
    }
    return kept > LogConfig_VoterCount(config) / 2;
}

/* Tells whether each membership that may be in effect keeps a majority of
 * voters with intact disks when the host with index @p lost loses its disk.
 * Returns false if any host is stopped, because its membership is then
 * unknown. */
static bool
may_lose_disk(const Net *net, unsigned lost)
{
    uint64_t newest = 0;
    for (uint64_t i = net->committed_entries->len; i > 0 && newest == 0; i--) {
        const NetCommittedEntry *committed =
            &g_array_index(net->committed_entries, NetCommittedEntry, i - 1);
        if (committed->is_config) {
            newest = i;
            if (!keeps_majority(net, &committed->config, lost)) {
                return false;
            }
        }
    }
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        if (net->hosts[i].core == NULL) {
            return false;
        }
        LogStatus status;
        LogCore_GetStatus(net->hosts[i].core, &status);
        if (status.config_index >= newest && status.config->count > 0 &&
            !keeps_majority(net, status.config, lost))
        {
            return false;
        }
    }
    return newest != 0;
}

void
Net_ClearDisk(Net *net, unsigned index)
{
    Net_Crash(net, index);
    new_disk(net, &net->hosts[index]);
}

void
Net_LoseDisk(Net *net, unsigned index)
{
    if (!may_lose_disk(net, index)) {
        return;
    }
    Net_ClearDisk(net, index);
    Net_Start(net, index);
}

/* ---- Events ---- */

void
Net_Tick(Net *net, unsigned index, TimeUs span)
{
    net->now += span;
    NetHost *host = &net->hosts[index];
    if (host->core == NULL) {
        return;
    }
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        if (i != index && net->hosts[i].core != NULL && !net->cut[i][index]) {
            LogCore_OnHello(host->core, net->hosts[i].id,
                            net->hosts[i].disk.disk_id, net->now);
        }
    }
    LogCore_Tick(host->core, net->now);
    Net_ProcessOutput(net, host);
}

void
Net_Deliver(Net *net, unsigned position, bool keep_message)
{
    if (net->messages->len == 0) {
        return;
    }
    LogMessage *message = net->messages->pdata[position % net->messages->len];
    NetHost *host = &net->hosts[message->to - 1];
    if (host->core != NULL && !net->cut[message->from - 1][message->to - 1]) {
        LogCore_Receive(host->core, message, net->now);
    }
    if (!keep_message) {
        g_ptr_array_remove_index(net->messages, position % net->messages->len);
    }
    Net_ProcessOutput(net, host);
}

void
Net_Drop(Net *net, unsigned position)
{
    if (net->messages->len > 0) {
        g_ptr_array_remove_index(net->messages, position % net->messages->len);
    }
}

void
Net_Propose(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core == NULL) {
        return;
    }
    uint64_t number = net->next_command++;
    GBytes *command = g_bytes_new(&number, sizeof(number));
    LogCore_Propose(host->core, command);
    g_bytes_unref(command);
    Net_ProcessOutput(net, host);
}

void
Net_RequestReadIndex(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core == NULL || host->read_index_request != 0) {
        return;
    }
    LogStatus status;
    LogCore_GetStatus(host->core, &status);
    host->read_index_request = LogCore_RequestReadIndex(host->core);
    host->read_index_term = status.term;
    host->read_index_committed = net->committed_entries->len;
    Net_ProcessOutput(net, host);
}

void
Net_TransferLeadership(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core != NULL) {
        LogCore_TransferLeadership(host->core, net->now);
        Net_ProcessOutput(net, host);
    }
}

void
Net_Compact(Net *net, unsigned index)
{
    NetHost *host = &net->hosts[index];
    if (host->core == NULL) {
        return;
    }
    GBytes *state = g_bytes_new(&host->digest, sizeof(host->digest));
    LogCore_Compact(host->core, state);
    g_bytes_unref(state);
    Net_ProcessOutput(net, host);
}

/* Delivers each message that is pending at the start, except those to frozen
 * hosts. */
static void
deliver_pending(Net *net)
{
    guint skipped = 0;
    for (guint left = net->messages->len; left > 0; left--) {
        const LogMessage *message = net->messages->pdata[skipped];
        if (net->hosts[message->to - 1].frozen) {
            skipped++;
            continue;
        }
        Net_Deliver(net, skipped, false);
    }
}

void
Net_Run(Net *net, unsigned rounds)
{
    for (unsigned round = 0; round < rounds; round++) {
        for (unsigned i = 0; i < NET_HOSTS; i++) {
            if (!net->hosts[i].frozen) {
                Net_Tick(net, i, ROUND_US / NET_HOSTS);
            }
        }
        for (unsigned pass = 0; pass < 4; pass++) {
            deliver_pending(net);
            for (unsigned i = 0; i < NET_HOSTS; i++) {
                bool saves = !net->hosts[i].slow && !net->hosts[i].frozen;
                Net_Save(net, i, saves ? UINT32_MAX : 0, true);
            }
        }
    }
}

static Net *
new_net(unsigned voters, unsigned zones)
{
    Net *net = g_new0(Net, 1);
    net->voters = voters;
    net->automatic = zones > 0;
    net->next_disk = 100;
    net->now = US_PER_S;
    net->messages = g_ptr_array_new_with_free_func(free_message);
    net->committed_entries =
        g_array_new(FALSE, FALSE, sizeof(NetCommittedEntry));
    net->leaders = g_hash_table_new(NULL, NULL);
    net->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    LogConfig config = {.count = 0};
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        net->hosts[i].id = i + 1;
        new_disk(net, &net->hosts[i]);
        Net_Start(net, i);
        if (i < voters) {
            config.members[config.count++] = (LogMember){
                .id = i + 1, .disk_id = net->hosts[i].disk.disk_id};
            Net_SetZone(&config.members[i], i % MAX(zones, 1) + 1);
        }
    }
    config.votes = voters;
    LogCore_Bootstrap(net->hosts[0].core, &config, net->now);
    Net_ProcessOutput(net, &net->hosts[0]);
    return net;
}

Net *
Net_New(unsigned voters)
{
    return new_net(voters, 0);
}

Net *
Net_NewAutomatic(unsigned voters, unsigned zones)
{
    return new_net(voters, zones);
}

void
Net_Free(Net *net)
{
    for (unsigned i = 0; i < NET_HOSTS; i++) {
        Net_Crash(net, i);
        StoreImage_Clear(&net->hosts[i].disk.image);
        g_ptr_array_unref(net->hosts[i].disk.batches);
    }
    g_ptr_array_unref(net->messages);
    g_array_unref(net->committed_entries);
    g_hash_table_destroy(net->leaders);
    g_hash_table_destroy(net->votes);
    g_free(net);
}
