/** @file
 * Tests of the agent's modules without I/O: token usage, the prefix cache
 * model and the table of wants.
 */
#include "unit.h"

#include <string.h>

#include "agent/cache.h"
#include "agent/usage.h"
#include "agent/wants.h"

static const char streamed[] =
    "data: {\"choices\":[{\"delta\":{\"content\":\"data: a\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
    "data: [DONE]\n\n";

/* Reads @p text in pieces of @p step bytes. */
static Usage
read_in_steps(const char *text, size_t step)
{
    Usage usage = {.events = 0};
    size_t length = strlen(text);
    for (size_t at = 0; at < length; at += step) {
        Usage_Scan(&usage, text + at, MIN(step, length - at));
    }
    return usage;
}

static void
test_usage_counts_events(void **state)
{
    for (size_t step = 1; step <= sizeof(streamed); step++) {
        Usage usage = read_in_steps(streamed, step);
        assert_int_equal(Usage_Read(&usage).output, 2);
        assert_true(Usage_StreamDone(&usage));
    }
}

static void
test_stream_without_end_is_not_done(void **state)
{
    static const char *const cut[] = {
        "",
        "data: {}\n\n",
        "data: [DON",
        "data: [DONE]\n\ndata: {}\n\n",
        "data: {\"content\":\"data: [DONE]\"}\n\n",
    };
    for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
        Usage usage = read_in_steps(cut[i], 3);
        assert_false(Usage_StreamDone(&usage));
    }
}

static void
test_usage_reads_usage_object(void **state)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < 500; i++) {
        g_string_append(text, "word ");
    }
    g_string_append(text, "\"usage\":{\"completion_tokens\":7,"
                          "\"prompt_tokens_details\":{\"cached_tokens\":256}"
                          "}}\n");
    for (size_t step = 1; step < 4000; step = step * 3 + 1) {
        Usage usage = read_in_steps(text->str, step);
        UsageTokens tokens = Usage_Read(&usage);
        assert_int_equal(tokens.output, 7);
        assert_true(tokens.cached_stated);
        assert_int_equal(tokens.cached, 256);
    }
    g_string_free(text, TRUE);
}

static void
test_usage_ignores_invalid_numbers(void **state)
{
    static const char *const texts[] = {
        "{\"usage\":{\"completion_tokens\":-1}}",
        "{\"usage\":{\"completion_tokens\":1e99}}",
        "{\"usage\":{\"completion_tokens\":99999999999}}",
        "{\"usage\":{\"completion_tokens\":",
        "{\"usage\":[[[[",
        "\"usage\"",
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        Usage usage = read_in_steps(texts[i], 5);
        UsageTokens tokens = Usage_Read(&usage);
        assert_int_equal(tokens.output, 0);
        assert_false(tokens.cached_stated);
    }
}

static void
test_cache_evicts_oldest(void **state)
{
    PrefixCache *cache = Cache_New(3);
    const uint64_t first[] = {1, 2, 3};
    const uint64_t chain[] = {1, 4};
    Cache_Add(cache, first, 3);
    Cache_Add(cache, chain, 2); /* uses 1 again, so 2 is evicted */
    assert_int_equal(Cache_Size(cache), 3);
    assert_int_equal(Cache_CountLeading(cache, chain, 2), 2);
    assert_int_equal(Cache_CountLeading(cache, first, 3), 1);
    Cache_Free(cache);
}

static void
test_cache_changes(void **state)
{
    PrefixCache *cache = Cache_New(8);
    GArray *added = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    const uint64_t blocks[] = {0, UINT64_MAX, 5};
    Cache_Add(cache, blocks, 3);
    Cache_Evict(cache, blocks, 1);
    Cache_Evict(cache, blocks + 2, 1);
    Cache_Add(cache, blocks + 2, 1);
    assert_false(Cache_TakeChanges(cache, added, evicted));
    assert_int_equal(added->len, 2);
    assert_int_equal(evicted->len, 1);
    assert_int_equal(g_array_index(evicted, uint64_t, 0), 0);
    Cache_Clear(cache);
    g_array_set_size(added, 0);
    assert_true(Cache_TakeChanges(cache, added, evicted));
    assert_int_equal(added->len, 0);
    assert_int_equal(Cache_Size(cache), 0);
    g_array_free(added, TRUE);
    g_array_free(evicted, TRUE);
    Cache_Free(cache);
}

static void
test_wants_expire(void **state)
{
    WantTable *wants = Wants_New(2);
    for (uint64_t i = 1; i <= 3; i++) {
        WorkSpec work = {.id = {.low = i}, .deadline = 100};
        Wants_Add(wants, &work, 7, 0);
    }
    assert_int_equal(Wants_Count(wants), 2);
    Wants_Find(wants, (RequestId){.low = 1})->granted_at = 10;
    Wants_Expire(wants, 30, 20);
    assert_int_equal(Wants_Count(wants), 1);
    assert_true(Wants_DidNotRun(wants, (RequestId){.low = 1}));
    assert_true(Wants_DidNotRun(wants, (RequestId){.low = 2}));
    assert_false(Wants_DidNotRun(wants, (RequestId){.low = 3}));
    Wants_RecordRun(wants, (RequestId){.low = 1});
    Wants_RecordRun(wants, (RequestId){.low = 2});
    assert_false(Wants_DidNotRun(wants, (RequestId){.low = 1}));
    assert_false(Wants_DidNotRun(wants, (RequestId){.low = 2}));
    Wants_Free(wants);
}

static void
test_not_run_ids_are_bounded(void **state)
{
    WantTable *wants = Wants_New(2);
    for (uint64_t i = 1; i <= 5; i++) {
        Wants_RecordNotRun(wants, (RequestId){.low = i});
    }
    assert_false(Wants_DidNotRun(wants, (RequestId){.low = 3}));
    assert_true(Wants_DidNotRun(wants, (RequestId){.low = 4}));
    assert_true(Wants_DidNotRun(wants, (RequestId){.low = 5}));
    Wants_Free(wants);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_usage_counts_events),
        cmocka_unit_test(test_stream_without_end_is_not_done),
        cmocka_unit_test(test_usage_reads_usage_object),
        cmocka_unit_test(test_usage_ignores_invalid_numbers),
        cmocka_unit_test(test_cache_evicts_oldest),
        cmocka_unit_test(test_cache_changes),
        cmocka_unit_test(test_wants_expire),
        cmocka_unit_test(test_not_run_ids_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
