/** @file
 * Links to the agents that control hosts list, and state reports of the
 * agents.
 */
#include "entry/state.h"

#include <string.h>

#include "kernel/counter.h"
#include "kernel/log.h"

static void
update_targets(Entry *entry, Peer *peer, const Wire__AgentState *state)
{
    uint64_t targets[PLACE_TARGETS_MAX];
    uint32_t count = 0;
    for (size_t i = 0; i < state->n_models && count < PLACE_TARGETS_MAX; i++) {
        if (state->models[i]->loaded) {
            targets[count++] = Work_TargetHash(true, state->models[i]->model);
        }
    }
    if (state->service[0] != '\0' && count < PLACE_TARGETS_MAX) {
        targets[count++] = Work_TargetHash(false, state->service);
    }
    Place_SetTargets(entry->places, peer->place, targets, count);
}

static void
update_cache(Entry *entry, Peer *peer, const Wire__AgentState *state)
{
    if (state->cache_reset) {
        Place_ResetCache(entry->places, peer->place);
    }
    Place_UpdateCache(entry->places, peer->place, state->cached,
                      (uint32_t)state->n_cached, true);
    Place_UpdateCache(entry->places, peer->place, state->evicted,
                      (uint32_t)state->n_evicted, false);
}

static void
on_state(Entry *entry, Peer *peer, const Wire__AgentState *state)
{
    update_targets(entry, peer, state);
    PlaceReport report = {
        .sequence = state->sequence,
        .slots = state->slots,
        .running = state->running,
        .queued = state->queued,
        .queued_prompt_tokens = state->queued_prompt_tokens,
        .queued_output_tokens = state->queued_output_tokens,
        .prefill_tokens_s = state->prefill_tokens_s,
        .decode_tokens_s = state->decode_tokens_s,
        .lowest_tier = state->lowest_tier,
        .retry_after_ms = state->retry_after_ms,
        .leaving = state->leaving,
    };
    for (size_t i = 0; i < state->n_queued_by_tier && i < WORK_TIERS; i++) {
        report.queued_by_tier[i] = state->queued_by_tier[i];
    }
    Place_OnReport(entry->places, peer->place, &report, Clock_Now());
    update_cache(entry, peer, state);
}

static void
count_region_bytes(const Peer *peer, const Wire__Frame *frame, bool sent)
{
    static Counter *out;
    static Counter *in;
    if (!peer->other_region) {
        return;
    }
    if (out == NULL) {
        out = Counter_Get("entry_region_bytes_total{direction=\"out\"}",
                          "Bytes of frames to and from other regions.");
        in = Counter_Get("entry_region_bytes_total{direction=\"in\"}", NULL);
    }
    size_t size = wire__frame__get_packed_size(frame) + FRAME_HEADER_BYTES;
    Counter_Add(sent ? out : in, (int64_t)size);
}

int
EntryPeers_Send(Peer *peer, const Wire__Frame *frame)
{
    int result = Link_Send(peer->link, frame);
    if (result == ERR_OK) {
        count_region_bytes(peer, frame, true);
    }
    return result;
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Peer *peer = owner;
    count_region_bytes(peer, frame, false);
    if (frame->body_case == WIRE__FRAME__BODY_AGENT_STATE) {
        on_state(peer->entry, peer, frame->agent_state);
        return;
    }
    Request_OnFrame(peer->entry, peer, frame);
}

static void
on_connected(Link *link, void *owner)
{
    Peer *peer = owner;
    const Wire__Hello *hello = Link_Peer(link);
    peer->incarnation = hello->incarnation;
    Place_SetConnected(peer->entry->places, peer->place, true);
    LOG_INFO(ENTRY_PART, "Agent connected. agent=%s", peer->name);
    Request_OnLink(peer->entry, peer, true);
}

static void
on_disconnected(Link *link, void *owner)
{
    Peer *peer = owner;
    Place_SetConnected(peer->entry->places, peer->place, false);
    Request_OnLink(peer->entry, peer, false);
}

static const LinkOps agent_ops = {
    .connected = on_connected,
    .disconnected = on_disconnected,
    .frame = on_frame,
};

static void
free_peer(Peer *peer)
{
    Entry *entry = peer->entry;
    Request_OnLink(entry, peer, false);
    g_hash_table_remove(entry->peers_by_number, &peer->number);
    g_ptr_array_index(entry->peers_by_place, peer->place.index) = NULL;
    Place_Remove(entry->places, peer->place);
    Link_Close(peer->link);
    g_free(peer->name);
    g_free(peer);
}

static void
index_peer(Entry *entry, Peer *peer)
{
    g_hash_table_insert(entry->peers, peer->name, peer);
    g_hash_table_insert(entry->peers_by_number, &peer->number, peer);
    if (peer->place.index >= entry->peers_by_place->len) {
        g_ptr_array_set_size(entry->peers_by_place,
                             (gint)peer->place.index + 1);
    }
    g_ptr_array_index(entry->peers_by_place, peer->place.index) = peer;
}

static Peer *
add_peer(Entry *entry, const Wire__Presence *presence)
{
    Address address;
    if (Address_Parse(presence->address, &address, NULL) != ERR_OK) {
        return NULL;
    }
    PlaceEndpoint endpoint = {
        .name = Work_TargetHash(false, presence->name),
        .zone = Work_TargetHash(false, presence->zone),
        .region = Work_TargetHash(false, presence->region),
    };
    PlaceHandle place;
    if (Place_Add(entry->places, &endpoint, Clock_Now(), &place) != ERR_OK) {
        return NULL;
    }
    Peer *peer = g_new0(Peer, 1);
    peer->entry = entry;
    peer->number = ++entry->last_peer_number;
    peer->name = g_strdup(presence->name);
    peer->place = place;
    peer->other_region =
        strcmp(presence->region, entry->settings->region) != 0;
    peer->link =
        Link_Dial(entry->base, &entry->self, &address, &agent_ops, peer);
    index_peer(entry, peer);
    return peer;
}

/* Removes agents that no control host lists and whose link is disconnected. */
static void
remove_unlisted(Entry *entry)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        if (peer->listed_by == 0 && !Link_IsConnected(peer->link)) {
            g_hash_table_iter_remove(&iter);
            free_peer(peer);
        }
    }
}

static void
clear_listing(Entry *entry, ControlHost *host, uint32_t bit)
{
    g_hash_table_remove_all(host->entries);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Peer *)value)->listed_by &= ~bit;
    }
}

static void
add_member(Entry *entry, ControlHost *host, const Wire__Presence *presence,
           uint32_t bit)
{
    if (presence->role == WIRE__ROLE__ROLE_ENTRY) {
        if (!presence->leaving) {
            g_hash_table_add(host->entries, g_strdup(presence->name));
        }
        return;
    }
    if (presence->role != WIRE__ROLE__ROLE_AGENT) {
        return;
    }
    Peer *peer = g_hash_table_lookup(entry->peers, presence->name);
    if (peer == NULL) {
        peer = add_peer(entry, presence);
    }
    if (peer != NULL) {
        peer->listed_by |= bit;
    }
}

static void
remove_member(Entry *entry, ControlHost *host, const char *name, uint32_t bit)
{
    g_hash_table_remove(host->entries, name);
    Peer *peer = g_hash_table_lookup(entry->peers, name);
    if (peer != NULL) {
        peer->listed_by &= ~bit;
    }
}

void
EntryPeers_Update(Entry *entry, ControlHost *host,
                  const Wire__Members *members)
{
    if (members->version == host->members_version) {
        return;
    }
    host->members_version = members->version;
    uint32_t bit = 1u << host->id;
    if (!members->partial) {
        clear_listing(entry, host, bit);
    }
    for (size_t i = 0; i < members->n_gone; i++) {
        remove_member(entry, host, members->gone[i], bit);
    }
    for (size_t i = 0; i < members->n_members; i++) {
        add_member(entry, host, members->members[i], bit);
    }
    remove_unlisted(entry);
}

void
EntryPeers_Close(Entry *entry)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_hash_table_iter_remove(&iter);
        free_peer(value);
    }
    g_hash_table_destroy(entry->peers);
    g_hash_table_destroy(entry->peers_by_number);
    g_ptr_array_free(entry->peers_by_place, TRUE);
}

Peer *
EntryPeers_ByPlace(Entry *entry, PlaceHandle place)
{
    if (place.index >= entry->peers_by_place->len) {
        return NULL;
    }
    Peer *peer = g_ptr_array_index(entry->peers_by_place, place.index);
    bool same = peer != NULL && peer->place.generation == place.generation;
    return same ? peer : NULL;
}

Peer *
EntryPeers_ByNumber(Entry *entry, uint64_t number)
{
    return g_hash_table_lookup(entry->peers_by_number, &number);
}

json_t *
EntryPeers_Dump(Entry *entry)
{
    json_t *peers = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        json_t *link = json_object();
        Link_Dump(peer->link, link);
        json_object_set_new(link, "name", json_string(peer->name));
        json_object_set_new(link, "listed",
                            json_boolean(peer->listed_by != 0));
        json_array_append_new(peers, link);
    }
    return peers;
}
