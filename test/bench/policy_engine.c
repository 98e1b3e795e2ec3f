/** @file
 * Simulated engine of the policy bench. One counter holds the decoding
 * progress of the whole batch because all streams decode at the same speed.
 */
#include "policy_engine.h"

#include <math.h>
#include <string.h>

#define EPSILON_S 1e-6

typedef struct Stream {
    BenchRequest *request;
    bool decoding;
    bool prefill_started;
    double prefill_left;   /* prompt tokens left to compute */
    double decoded_at_end; /* value of Engine.decoded_tokens at which the
                              stream ends */
} Stream;

struct Engine {
    double speed;
    TimeUs now;
    double decoded_tokens; /* tokens that a stream would have decoded since
                              the start of the run */
    uint32_t active;
    Stream streams[ENGINE_BATCH_MAX];
    GQueue waiting;          /* BenchRequest, in order of arrival */
    GHashTable *block_nodes; /* maps a block to its node in lru */
    GQueue lru;              /* blocks, most recently used first */
    GArray *cached;          /* blocks cached since Engine_TakeCacheEvents */
    GArray *evicted;         /* blocks evicted since Engine_TakeCacheEvents */
    EngineBestCached best_cached;
    void *context;
};

Engine *
Engine_New(void)
{
    Engine *engine = g_new0(Engine, 1);
    engine->speed = 1;
    engine->block_nodes = g_hash_table_new(g_int64_hash, g_int64_equal);
    engine->cached = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    engine->evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return engine;
}

void
Engine_Free(Engine *engine)
{
    g_hash_table_destroy(engine->block_nodes);
    g_queue_clear_full(&engine->lru, g_free);
    g_queue_clear(&engine->waiting);
    g_array_free(engine->cached, TRUE);
    g_array_free(engine->evicted, TRUE);
    g_free(engine);
}

void
Engine_SetBestCached(Engine *engine, EngineBestCached best_cached,
                     void *context)
{
    engine->best_cached = best_cached;
    engine->context = context;
}

void
Engine_SetSpeed(Engine *engine, double speed)
{
    engine->speed = speed;
}

uint32_t
Engine_Load(const Engine *engine)
{
    return engine->active + engine->waiting.length;
}

uint32_t
Engine_CachedBlocks(const Engine *engine, const WorkSpec *work)
{
    uint32_t count = 0;
    while (count < work->prefix_count &&
           g_hash_table_contains(engine->block_nodes, &work->prefix[count]))
    {
        count++;
    }
    return count;
}

static void
cache_block(Engine *engine, uint64_t block)
{
    GList *node = g_hash_table_lookup(engine->block_nodes, &block);
    if (node != NULL) {
        g_queue_unlink(&engine->lru, node);
        g_queue_push_head_link(&engine->lru, node);
        return;
    }
    if (engine->lru.length == ENGINE_CACHE_BLOCKS) {
        uint64_t *oldest = g_queue_pop_tail(&engine->lru);
        g_hash_table_remove(engine->block_nodes, oldest);
        g_array_append_val(engine->evicted, *oldest);
        g_free(oldest);
    }
    uint64_t *copy = g_memdup2(&block, sizeof(block));
    g_queue_push_head(&engine->lru, copy);
    g_hash_table_insert(engine->block_nodes, copy, engine->lru.head);
    g_array_append_val(engine->cached, block);
}

static void
admit(Engine *engine)
{
    while (engine->active < ENGINE_BATCH_MAX && engine->waiting.length > 0) {
        engine->streams[engine->active++] = (Stream){
            .request = g_queue_pop_head(&engine->waiting),
        };
    }
}

void
Engine_Submit(Engine *engine, BenchRequest *request)
{
    g_queue_push_tail(&engine->waiting, request);
    admit(engine);
}

static void
remove_stream(Engine *engine, uint32_t index)
{
    Stream *stream = &engine->streams[index];
    if (stream->prefill_started) {
        stream->request->prefilled -= (uint32_t)stream->prefill_left;
    }
    engine->active--;
    memmove(stream, stream + 1, (engine->active - index) * sizeof(*stream));
    admit(engine);
}

bool
Engine_Cancel(Engine *engine, const BenchRequest *request)
{
    for (uint32_t i = 0; i < engine->active; i++) {
        if (engine->streams[i].request == request) {
            remove_stream(engine, i);
            return true;
        }
    }
    return g_queue_remove(&engine->waiting, request);
}

BenchRequest *
Engine_Crash(Engine *engine)
{
    g_hash_table_remove_all(engine->block_nodes);
    g_queue_clear_full(&engine->lru, g_free);
    if (engine->active == 0) {
        return NULL;
    }
    BenchRequest *request = engine->streams[0].request;
    remove_stream(engine, 0);
    return request;
}

/* Returns the stream whose prompt is being computed: the oldest one that does
 * not decode yet. */
static Stream *
prefilling_stream(Engine *engine)
{
    for (uint32_t i = 0; i < engine->active; i++) {
        if (!engine->streams[i].decoding) {
            return &engine->streams[i];
        }
    }
    return NULL;
}

static void
start_prefill(Engine *engine, Stream *stream)
{
    if (stream->prefill_started) {
        return;
    }
    BenchRequest *request = stream->request;
    const WorkSpec *work = &request->work;
    uint32_t cached = Engine_CachedBlocks(engine, work);
    uint32_t best = engine->best_cached(work, engine->context);
    request->cached = cached * WORK_BLOCK_TOKENS;
    request->cached_elsewhere = (best - cached) * WORK_BLOCK_TOKENS;
    request->prefilled = work->prompt_tokens - request->cached;
    stream->prefill_left = request->prefilled;
    stream->prefill_started = true;
}

static double
decode_speed(const Engine *engine, bool prefill)
{
    double batch = 0;
    for (uint32_t i = 0; i < engine->active; i++) {
        batch += engine->streams[i].decoding;
    }
    double speed = ENGINE_DECODE_TOKENS_S * engine->speed;
    speed *= (1 + 1 / ENGINE_HALF_SPEED_BATCH) /
             (1 + batch / ENGINE_HALF_SPEED_BATCH);
    return prefill ? speed * (1 - ENGINE_INTERFERENCE) : speed;
}

/* Returns the seconds until the next event and sets its stream. */
static double
next_event(Engine *engine, Stream **due)
{
    Stream *prefill = prefilling_stream(engine);
    double soonest = INFINITY;
    *due = NULL;
    if (engine->speed <= 0) {
        return soonest;
    }
    if (prefill != NULL) {
        start_prefill(engine, prefill);
        soonest =
            prefill->prefill_left / (ENGINE_PREFILL_TOKENS_S * engine->speed);
        *due = prefill;
    }
    double speed = decode_speed(engine, prefill != NULL);
    for (uint32_t i = 0; i < engine->active; i++) {
        Stream *stream = &engine->streams[i];
        double seconds =
            (stream->decoded_at_end - engine->decoded_tokens) / speed;
        if (stream->decoding && seconds < soonest) {
            soonest = seconds;
            *due = stream;
        }
    }
    return fmax(soonest, 0);
}

static void
run_streams(Engine *engine, double seconds)
{
    Stream *prefill = prefilling_stream(engine);
    engine->decoded_tokens += seconds * decode_speed(engine, prefill != NULL);
    if (prefill != NULL) {
        double computed = seconds * ENGINE_PREFILL_TOKENS_S * engine->speed;
        prefill->prefill_left = fmax(prefill->prefill_left - computed, 0);
    }
}

static EngineEvent
finish_phase(Engine *engine, Stream *stream)
{
    BenchRequest *request = stream->request;
    if (stream->decoding) {
        remove_stream(engine, (uint32_t)(stream - engine->streams));
        return (EngineEvent){.kind = ENGINE_END, .request = request};
    }
    stream->prefill_left = 0;
    stream->decoding = true;
    stream->decoded_at_end =
        engine->decoded_tokens + request->work.output_tokens;
    /* Caches the blocks from last to first, so that eviction removes the start
     * of the prompt last. */
    for (uint32_t i = request->work.prefix_count; i > 0; i--) {
        cache_block(engine, request->work.prefix[i - 1]);
    }
    return (EngineEvent){.kind = ENGINE_FIRST_PIECE, .request = request};
}

EngineEvent
Engine_Advance(Engine *engine, TimeUs now)
{
    Stream *stream;
    double seconds = next_event(engine, &stream);
    double elapsed = (double)(now - engine->now) / US_PER_S;
    if (stream == NULL || seconds > elapsed + EPSILON_S) {
        if (engine->speed > 0) {
            run_streams(engine, elapsed);
        }
        engine->now = now;
        return (EngineEvent){.kind = ENGINE_NO_EVENT};
    }
    run_streams(engine, seconds);
    engine->now += (TimeUs)(seconds * US_PER_S);
    return finish_phase(engine, stream);
}

TimeUs
Engine_NextEventTime(const Engine *engine)
{
    Stream *stream;
    double seconds = next_event((Engine *)engine, &stream);
    if (stream == NULL) {
        return TIME_NEVER;
    }
    return engine->now + (TimeUs)(seconds * US_PER_S) + 1;
}

void
Engine_TakeCacheEvents(Engine *engine, GArray *cached, GArray *evicted)
{
    g_array_append_vals(cached, engine->cached->data, engine->cached->len);
    g_array_append_vals(evicted, engine->evicted->data, engine->evicted->len);
    g_array_set_size(engine->cached, 0);
    g_array_set_size(engine->evicted, 0);
}

double
Engine_Cost(const WorkSpec *work, uint32_t cached_blocks)
{
    double prompt =
        work->prompt_tokens - (double)cached_blocks * WORK_BLOCK_TOKENS;
    double batch = ENGINE_BATCH_MAX;
    double decode = batch * ENGINE_DECODE_TOKENS_S *
                    (1 + 1 / ENGINE_HALF_SPEED_BATCH) /
                    (1 + batch / ENGINE_HALF_SPEED_BATCH);
    return prompt / ENGINE_PREFILL_TOKENS_S * ENGINE_INTERFERENCE +
           work->output_tokens / decode;
}
