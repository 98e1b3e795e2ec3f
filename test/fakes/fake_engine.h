/** @file
 * State of the fake engine, shared by its parts.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_ENGINE_H
#define LAURELLIFT_TEST_FAKES_FAKE_ENGINE_H

#include "agent/cache.h"
#include "fake.h"

typedef struct Engine {
    Fake fake;
    gchar *model;
    gint token_ms;         /**< Decode time of one token. */
    gint prefill_ms;       /**< Least time to the first token. */
    gint prefill_tokens_s; /**< Speed of prefill; 0: prefill_ms alone. */
    gboolean echo;         /**< The first word is the prompt's first word. */
    gchar *crash_on;       /**< A prompt with this text kills the engine. */
    gint cut_after;        /**< Closes after so many body bytes; 0: never. */
    gint silent_after;     /**< Sends no token after so many; 0: never. */
    gboolean unframed;     /**< Answers without length and chunks. */
    gint cache_blocks;     /**< Blocks of prefix cache; 0: none. */
    gint cache_ms;         /**< Lag of cache events. */
    gint cache_gap;        /**< Loses every so many cache events; 0: none. */
    gint load_ms;          /**< Period of load reports; 0: none. */
    gint order_ms;         /**< Time that an order takes. */
    gboolean checks_fencing;
    PrefixCache *cache;
    struct event *cache_timer;
    struct event *load_timer;
    json_int_t cache_sequence;
    json_int_t load_sequence;
    int running;
    int running_before; /**< At the last load report. */
    json_int_t fence;   /**< Highest number seen. */
} Engine;

/** Takes orders at /v1/orders. */
void FakeOrders_Listen(Engine *engine);

#endif
