/** @file
 * The endpoint's load and cache reports. Reports may be late, repeated,
 * missing or wrong. They therefore only adjust estimates, and correctness must
 * not depend on them.
 */
#include "agent/state.h"

#include <math.h>

#include "kernel/counter.h"

#define LOAD_MAX 1000000
#define REPORT_HASHES_MAX 16384
#define HASH_DIGITS 16
/* The cache model shrinks by 1/SHRINK_DIVISOR when the endpoint had cached
 * less of a prompt than expected. */
#define SHRINK_DIVISOR 8

typedef enum SequenceOrder {
    REPORT_OLD,
    REPORT_NEXT,
    REPORT_GAP, /* at least one report before it is missing */
} SequenceOrder;

static void
reply_old_sequence(HttpRequest *request)
{
    HttpRequest_ReplyError(
        request, &(HttpError){
                     .status = 409,
                     .code = "old_sequence",
                     .message = "A report with this or a higher sequence "
                                "was already accepted.",
                     .outcome = "not_run",
                 });
}

static bool
read_sequence(const json_t *json, uint64_t *sequence)
{
    const json_t *value = json_object_get(json, "sequence");
    json_int_t number = json_integer_value(value);
    *sequence = (uint64_t)number;
    return json_is_integer(value) && number > 0;
}

static SequenceOrder
compare_sequence(uint64_t sequence, uint64_t last)
{
    if (sequence <= last) {
        return REPORT_OLD;
    }
    return sequence == last + 1 ? REPORT_NEXT : REPORT_GAP;
}

static bool
read_count(const json_t *json, const char *name, uint32_t *count)
{
    const json_t *value = json_object_get(json, name);
    json_int_t number = json_integer_value(value);
    *count = (uint32_t)number;
    return json_is_integer(value) && number >= 0 && number <= LOAD_MAX;
}

/* Reads a number from 0 to 1; an absent one is -1.
 * @return false if the member is anything else. */
static bool
read_fraction(const json_t *json, const char *name, double *fraction)
{
    const json_t *value = json_object_get(json, name);
    *fraction = value == NULL ? -1 : json_number_value(value);
    return value == NULL || (json_is_number(value) && isfinite(*fraction) &&
                             *fraction >= 0 && *fraction <= 1);
}

/* Removes a usable slot if the endpoint queues requests, as it then has fewer
 * slots than it announced, and otherwise restores one. At least half of the
 * announced slots remain, so that wrong reports cannot starve the endpoint. */
static void
calibrate_slots(Agent *agent)
{
    Endpoint *endpoint = &agent->endpoint;
    uint32_t min_slots = (endpoint->slots + 1) / 2;
    uint32_t slots = endpoint->usable_slots;
    if (endpoint->reported_queued > 0) {
        slots = MAX(min_slots, slots - 1);
    }
    else if (slots < endpoint->slots) {
        slots++;
    }
    if (slots != endpoint->usable_slots) {
        endpoint->usable_slots = slots;
        Queue_SetSlots(agent->queue, slots, Clock_Now());
        AgentLinks_FlushQueue(agent);
    }
}

static void
on_load(HttpRequest *request, void *arg)
{
    Agent *agent = arg;
    Endpoint *endpoint = &agent->endpoint;
    json_t *json = AgentEndpoint_ReadJson(request);
    if (json == NULL) {
        return;
    }
    uint64_t sequence;
    uint32_t running;
    uint32_t queued;
    double kv_free;
    bool valid = read_sequence(json, &sequence) &&
                 read_count(json, "running", &running) &&
                 read_count(json, "queued", &queued) &&
                 read_fraction(json, "kv_free", &kv_free);
    json_decref(json);
    if (!valid) {
        AgentEndpoint_ReplyBad(request,
                               "Expected sequence above 0, running and queued "
                               "from 0 to 1000000, kv_free from 0 to 1.");
        return;
    }
    if (compare_sequence(sequence, endpoint->load_sequence) == REPORT_OLD) {
        reply_old_sequence(request);
        return;
    }
    endpoint->load_sequence = sequence;
    endpoint->reported_running = running;
    endpoint->reported_queued = queued;
    endpoint->kv_free = kv_free;
    if (endpoint->announced) {
        calibrate_slots(agent);
    }
    HttpRequest_ReplyJson(request, 200, json_pack("{s:s}", "status", "ok"));
}

/* Appends the hashes in a list of hexadecimal strings.
 * @return false if the list is too long or an item is invalid. */
static bool
read_hashes(const json_t *list, GArray *hashes)
{
    if (list == NULL) {
        return true;
    }
    if (!json_is_array(list) || json_array_size(list) > REPORT_HASHES_MAX) {
        return false;
    }
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        const char *text = json_string_value(item);
        guint64 hash;
        if (json_string_length(item) > HASH_DIGITS ||
            !g_ascii_string_to_unsigned(text == NULL ? "" : text, 16, 0,
                                        G_MAXUINT64, &hash, NULL))
        {
            return false;
        }
        g_array_append_val(hashes, hash);
    }
    return true;
}

static void
apply_cache_report(Agent *agent, uint64_t sequence, const GArray *stored,
                   const GArray *evicted)
{
    Endpoint *endpoint = &agent->endpoint;
    if (compare_sequence(sequence, endpoint->cache_sequence) == REPORT_GAP) {
        Cache_Clear(agent->cache);
        Counter_Add(
            Counter_Get("agent_cache_gaps_total",
                        "Cache reports that had others missing before them."),
            1);
    }
    endpoint->cache_sequence = sequence;
    Cache_Add(agent->cache, (const uint64_t *)stored->data, stored->len);
    Cache_Evict(agent->cache, (const uint64_t *)evicted->data, evicted->len);
}

static void
on_cache(HttpRequest *request, void *arg)
{
    Agent *agent = arg;
    json_t *json = AgentEndpoint_ReadJson(request);
    if (json == NULL) {
        return;
    }
    uint64_t sequence;
    GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (!read_sequence(json, &sequence) ||
        !read_hashes(json_object_get(json, "stored"), stored) ||
        !read_hashes(json_object_get(json, "evicted"), evicted))
    {
        AgentEndpoint_ReplyBad(request,
                               "Expected sequence above 0, stored and evicted "
                               "as lists of up to 16384 hexadecimal hashes.");
    }
    else if (compare_sequence(sequence, agent->endpoint.cache_sequence) ==
             REPORT_OLD)
    {
        reply_old_sequence(request);
    }
    else {
        apply_cache_report(agent, sequence, stored, evicted);
        HttpRequest_ReplyJson(request, 200,
                              json_pack("{s:s}", "status", "ok"));
    }
    g_array_free(stored, TRUE);
    g_array_free(evicted, TRUE);
    json_decref(json);
}

void
AgentReport_Reset(Agent *agent)
{
    agent->endpoint.load_sequence = 0;
    agent->endpoint.cache_sequence = 0;
    Cache_Clear(agent->cache);
}

void
AgentReport_UpdateCache(Agent *agent, const WorkSpec *work, uint32_t expected,
                        int64_t tokens)
{
    if (tokens >= 0 && tokens / WORK_BLOCK_TOKENS < expected) {
        Cache_EvictOldest(agent->cache,
                          Cache_Size(agent->cache) / SHRINK_DIVISOR);
    }
    Cache_Add(agent->cache, work->prefix, work->prefix_count);
}

void
AgentReport_Listen(Agent *agent)
{
    HttpServer_SetHandler(agent->http, "/v1/load", on_load, agent);
    HttpServer_SetHandler(agent->http, "/v1/cache", on_cache, agent);
}
