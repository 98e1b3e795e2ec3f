/** @file
 * The entry's links to agents, as the member list names them, and what
 * agents report of themselves.
 */
#include "entry/state.h"

#include "kernel/log.h"

static void
take_models(Entry *entry, Peer *peer, const Wire__AgentState *state)
{
    uint64_t targets[PLACE_TARGETS_MAX];
    uint32_t count = 0;
    for (size_t i = 0; i < state->n_models && count < PLACE_TARGETS_MAX; i++) {
        if (state->models[i]->loaded) {
            targets[count++] = Work_Target(true, state->models[i]->model);
        }
    }
    if (state->service[0] != '\0' && count < PLACE_TARGETS_MAX) {
        targets[count++] = Work_Target(false, state->service);
    }
    Place_SetTargets(entry->places, peer->place, targets, count);
}

static void
on_state(Entry *entry, Peer *peer, const Wire__AgentState *state)
{
    take_models(entry, peer, state);
    Place_Report(entry->places, peer->place,
                 &(PlaceReport){
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
                 },
                 Clock_Now());
    Place_Cached(entry->places, peer->place, state->cached, state->n_cached,
                 true);
    Place_Cached(entry->places, peer->place, state->evicted, state->n_evicted,
                 false);
}

static void
on_frame(Link *link, const Wire__Frame *frame, void *owner)
{
    Peer *peer = owner;
    if (frame->body_case == WIRE__FRAME__BODY_AGENT_STATE) {
        on_state(peer->entry, peer, frame->agent_state);
        return;
    }
    Request_OnFrame(peer->entry, peer, frame);
}

static void
on_up(Link *link, void *owner)
{
    Peer *peer = owner;
    peer->incarnation = Link_Peer(link)->incarnation;
    Place_SetUp(peer->entry->places, peer->place, true);
    LOG_INFO(ENTRY_PART, "Agent joined. agent=%s", peer->name);
}

static void
on_down(Link *link, void *owner)
{
    Peer *peer = owner;
    Place_SetUp(peer->entry->places, peer->place, false);
    Request_OnPeerDown(peer->entry, peer);
}

static const LinkOps agent_ops = {
    .up = on_up,
    .down = on_down,
    .frame = on_frame,
};

static void
free_peer(Peer *peer)
{
    Request_OnPeerDown(peer->entry, peer);
    Place_Remove(peer->entry->places, peer->place);
    Link_Close(peer->link);
    g_free(peer->name);
    g_free(peer);
}

static void
add_peer(Entry *entry, const Wire__Presence *presence)
{
    Address address;
    if (Address_Parse(presence->address, &address, NULL) != ERR_OK) {
        return;
    }
    PlaceEndpoint endpoint = {
        .name = Work_Target(false, presence->name),
        .zone = Work_Target(false, presence->zone),
        .region = Work_Target(false, presence->region),
    };
    PlaceHandle place;
    if (Place_Add(entry->places, &endpoint, Clock_Now(), &place) != ERR_OK) {
        return;
    }
    Peer *peer = g_new0(Peer, 1);
    peer->entry = entry;
    peer->name = g_strdup(presence->name);
    peer->place = place;
    peer->listed = true;
    peer->link =
        Link_Dial(entry->base, &entry->self, &address, &agent_ops, peer);
    g_hash_table_insert(entry->peers, peer->name, peer);
}

static void
drop_unlisted(Entry *entry)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        if (!peer->listed && !Link_IsUp(peer->link)) {
            g_hash_table_iter_remove(&iter);
            free_peer(peer);
        }
    }
}

void
EntryPeers_Update(Entry *entry, const Wire__Members *members)
{
    if (members->version == entry->members_version) {
        return;
    }
    entry->members_version = members->version;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Peer *)value)->listed = false;
    }
    for (size_t i = 0; i < members->n_members; i++) {
        const Wire__Presence *presence = members->members[i];
        Peer *peer = g_hash_table_lookup(entry->peers, presence->name);
        if (presence->role != WIRE__ROLE__ROLE_AGENT) {
            continue;
        }
        if (peer != NULL) {
            peer->listed = true;
            continue;
        }
        add_peer(entry, presence);
    }
    drop_unlisted(entry);
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
}

Peer *
EntryPeers_ByPlace(Entry *entry, PlaceHandle place)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        if (peer->place.index == place.index &&
            peer->place.generation == place.generation)
        {
            return peer;
        }
    }
    return NULL;
}
