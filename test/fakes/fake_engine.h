/** @file
 * State of the fake engine.
 */
#ifndef LAURELLIFT_TEST_FAKES_FAKE_ENGINE_H
#define LAURELLIFT_TEST_FAKES_FAKE_ENGINE_H

#include "agent/cache.h"
#include "fake.h"

typedef struct Engine {
    Fake fake;
    gchar *model;
    gint token_ms;         /**< Decode time of one token. */
    gint prefill_ms;       /**< Fixed part of the time to the first token. */
    gint prefill_tokens_s; /**< Prefill speed of uncached prompt tokens; 0 for
                                 no time beyond prefill_ms. */
    gboolean echo;         /**< Answers start with the prompt's first word. */
    gchar *crash_on;   /**< The engine exits on a request with this text. */
    gchar *rate_limit; /**< Rate limit to name in answers; NULL for none. */
    gchar *crash_when; /**< start, later, silent or end; NULL: start. */
    gint cut_after;    /**< Body bytes after which an answer's connection is
                             closed; 0 for never. */
    gint silent_after; /**< Tokens before an answer stalls; 0 for never. */
    gboolean unframed; /**< Answers that are not streamed have no length and
                             end when the connection closes. */
    gint cache_blocks; /**< Size of the prefix cache in blocks; 0 for none. */
    gint cache_ms;     /**< Delay of cache reports. */
    gint cache_gap;    /**< Every cache_gap-th cache report is lost; 0 for
                             none. */
    gint load_ms;      /**< Period of load reports; 0 for none. */
    gint order_ms;     /**< Delay of the reply to an order. */
    gboolean checks_fencing; /**< Refuses an order whose fencing number is not
                                  above that of all accepted orders. */
    PrefixCache *cache;
    struct event *cache_timer;
    struct event *load_timer;
    json_int_t cache_sequence;
    json_int_t load_sequence;
    int running;
    int previous_running; /**< Value of running at the last load report. */
    json_int_t fence;     /**< Highest fencing number of an accepted order. */
} Engine;

/** Accepts orders at /v1/orders. */
void FakeOrders_Listen(Engine *engine);

#endif
