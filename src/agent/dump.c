/** @file
 * State dump of an agent: its queue, endpoint, links, runs and wants, each
 * want with the reason why it waits.
 */
#include "agent/state.h"

#define DUMP_WANTS_MAX 64

typedef struct WantDump {
    const Agent *agent;
    const QueueState *queue;
    TimeUs now;
    json_t *out;
} WantDump;

static const char *
wait_reason(const WantDump *dump, const WantInfo *info)
{
    const QueueState *queue = dump->queue;
    if (info->granted_at != 0) {
        return "granted, waiting for the dispatch";
    }
    if (queue->leaving) {
        return "the endpoint accepts no new requests";
    }
    if (info->work.alone && queue->running + queue->granted > 0) {
        return "the request must run alone";
    }
    if (queue->running + queue->granted >= queue->slots) {
        return "no slot is free";
    }
    return "other requests are ahead of it";
}

static void
dump_want(const WantInfo *info, void *arg)
{
    const WantDump *dump = arg;
    if (json_array_size(dump->out) >= DUMP_WANTS_MAX) {
        return;
    }
    json_int_t age_ms = (dump->now - info->arrived_at) / US_PER_MS;
    json_int_t left_ms = (info->work.deadline - dump->now) / US_PER_MS;
    json_array_append_new(dump->out,
                          json_pack("{s:i, s:I, s:I, s:I, s:s}", "tier",
                                    (int)info->work.tier, "age_ms", age_ms,
                                    "deadline_ms", left_ms, "prompt_tokens",
                                    (json_int_t)info->work.prompt_tokens,
                                    "why", wait_reason(dump, info)));
}

static json_t *
dump_endpoint(const Agent *agent)
{
    const Endpoint *endpoint = &agent->endpoint;
    json_int_t silent_ms = (Clock_Now() - endpoint->last_seen_at) / US_PER_MS;
    return json_pack(
        "{s:s, s:s, s:s, s:b, s:b, s:I, s:i, s:i, s:i, s:f, s:i}", "kind",
        endpoint->is_engine ? "engine" : "service", "boot", endpoint->boot,
        "version", endpoint->version, "announced", endpoint->announced,
        "checks_fencing", endpoint->checks_fencing, "silent_ms", silent_ms,
        "announced_slots", (int)endpoint->slots, "reported_running",
        (int)endpoint->reported_running, "reported_queued",
        (int)endpoint->reported_queued, "kv_free", endpoint->kv_free,
        "cached_blocks", (int)Cache_Size(agent->cache));
}

static void
dump_links(const Agent *agent, json_t *out)
{
    GHashTableIter iter;
    gpointer link;
    g_hash_table_iter_init(&iter, agent->entry_links);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        json_t *one = json_object();
        Link_Dump(link, one);
        json_array_append_new(out, one);
    }
}

void
AgentDump_Fill(const Agent *agent, json_t *out)
{
    TimeUs now = Clock_Now();
    QueueState queue;
    Queue_GetState(agent->queue, now, &queue);
    json_object_set_new(out, "slots", json_integer(queue.slots));
    json_object_set_new(out, "running", json_integer(queue.running));
    json_object_set_new(out, "granted", json_integer(queue.granted));
    json_object_set_new(out, "queued", json_integer(queue.queued));
    json_object_set_new(out, "leaving", json_boolean(queue.leaving));
    json_object_set_new(out, "prefill_tokens_s",
                        json_real(queue.prefill_tokens_s));
    json_object_set_new(out, "decode_tokens_s",
                        json_real(queue.decode_tokens_s));
    json_object_set_new(out, "lowest_tier", json_integer(queue.lowest_tier));
    json_object_set_new(out, "answers",
                        json_integer(g_hash_table_size(agent->answers)));
    json_object_set_new(out, "unacknowledged_bytes",
                        json_integer((json_int_t)agent->unacked_bytes));
    json_object_set_new(out, "quarantine_version",
                        json_integer((json_int_t)agent->quarantine_version));
    json_object_set_new(out, "endpoint", dump_endpoint(agent));
    json_t *entries = json_array();
    dump_links(agent, entries);
    json_object_set_new(out, "entries", entries);
    json_t *runs = json_array();
    AgentRun_Dump(agent, runs);
    json_object_set_new(out, "runs", runs);
    WantDump wants = {
        .agent = agent,
        .queue = &queue,
        .now = now,
        .out = json_array(),
    };
    Wants_ForEach(agent->wants, dump_want, &wants);
    json_object_set_new(out, "wants", wants.out);
    AgentControl_Dump(agent, out);
    AgentOrders_Dump(agent->orders, out);
    AgentCrash_Dump(agent->crashes, out);
}
