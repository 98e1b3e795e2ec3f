/** @file
 * State dump of requests, with the state of each and what it waits for.
 */
#include "entry/state.h"

static const char *
waits_for(const Request *request)
{
    const Life *life = &request->life;
    switch (life->state) {
    case LIFE_CLAIMING:
        return "control to reply to the claim";
    case LIFE_WANTING:
        return "a slot at one of the agents";
    case LIFE_DISPATCHED:
    case LIFE_STREAMING:
        return life->agent_disconnected ? "the link to the agent to reconnect"
                                        : "the answer from the agent";
    case LIFE_RECORDING:
        return "control to record the outcome of the claim";
    default:
        return "";
    }
}

static const char *
agent_name(const Request *request, uint64_t number)
{
    const Peer *peer = EntryPeers_ByNumber(request->entry, number);
    return peer == NULL ? "gone" : peer->name;
}

static json_t *
dump_agents(const Request *request)
{
    const Life *life = &request->life;
    json_t *agents = json_array();
    for (uint32_t i = 0; i < life->want_count; i++) {
        json_array_append_new(
            agents, json_string(agent_name(request, life->wants[i].agent)));
    }
    if (life->dispatched) {
        json_array_append_new(
            agents,
            json_string(agent_name(request, life->dispatched_agent.agent)));
    }
    return agents;
}

static json_t *
dump_request(const Request *request, TimeUs now)
{
    const Life *life = &request->life;
    return json_pack(
        "{s:s, s:s, s:i, s:s, s:s, s:o, s:I, s:I, s:I, s:I, s:b}",
        "request_id", request->request_id, "account", request->account, "tier",
        (int)request->work.tier, "state", Life_StateName(life->state),
        "waits_for", waits_for(request), "agents", dump_agents(request),
        "age_ms", (json_int_t)((now - request->received_at) / US_PER_MS),
        "left_ms", (json_int_t)((life->deadline - now) / US_PER_MS),
        "received_bytes", (json_int_t)life->received_bytes, "acked_bytes",
        (json_int_t)request->acked_bytes, "caller_gone", life->caller_gone);
}

json_t *
Request_Dump(const Entry *entry, uint32_t max_count)
{
    json_t *list = json_array();
    TimeUs now = Clock_Now();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->requests);
    while (json_array_size(list) < max_count &&
           g_hash_table_iter_next(&iter, NULL, &value))
    {
        json_array_append_new(list, dump_request(value, now));
    }
    return list;
}
