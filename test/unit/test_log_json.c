/** @file
 * JSON log records and their rate limit.
 */
#include "unit.h"

#include <stdarg.h>
#include <stdlib.h>

#include <glib.h>
#include <jansson.h>

#include "kernel/log_json.h"

static json_t *__attribute__((format(printf, 1, 2)))
format(const char *text_format, ...)
{
    va_list args;
    va_start(args, text_format);
    char *text = g_strdup_vprintf(text_format, args);
    va_end(args);
    char *line = LogJson_Format(1000, "info", "part", text_format, text);
    g_free(text);
    json_t *record = json_loads(line, 0, NULL);
    assert_non_null(record);
    free(line);
    return record;
}

static const char *
field(const json_t *record, const char *name)
{
    return json_string_value(json_object_get(record, name));
}

static void
keys_are_formatted_as_fields(void **state)
{
    json_t *record = format("Request ended. id=%s outcome=answered ms=%lld "
                            "why=\"%s\" empty=%s last=%s",
                            "00ff", 12LL, "it is done", "", "1.5");
    assert_string_equal(field(record, "time"), "1970-01-01T00:00:01.000Z");
    assert_string_equal(field(record, "event"), "Request ended.");
    assert_string_equal(field(record, "id"), "00ff");
    assert_string_equal(field(record, "outcome"), "answered");
    assert_int_equal(json_integer_value(json_object_get(record, "ms")), 12);
    assert_string_equal(field(record, "why"), "it is done");
    assert_string_equal(field(record, "empty"), "");
    assert_string_equal(field(record, "last"), "1.5");
    json_decref(record);
}

/* Guards against fields whose type depends on their value: an id of digits
 * alone was a number, which a search for the string misses. */
static void
the_format_decides_the_type_of_a_field(void **state)
{
    json_t *record = format("Request ended. id=%s version=%s route=\"%s\" "
                            "subject=%016llx status=%u left_ms=%lld "
                            "units=%.0f share=%.3f slots=%u/%u drained=1",
                            "4436629169351234", "17", "12", 0x1234ULL, 503u,
                            -1LL, 7.0, 0.25, 1u, 2u);
    assert_string_equal(field(record, "id"), "4436629169351234");
    assert_string_equal(field(record, "version"), "17");
    assert_string_equal(field(record, "route"), "12");
    assert_string_equal(field(record, "subject"), "0000000000001234");
    assert_int_equal(json_integer_value(json_object_get(record, "status")),
                     503);
    assert_int_equal(json_integer_value(json_object_get(record, "left_ms")),
                     -1);
    assert_int_equal(json_integer_value(json_object_get(record, "units")), 7);
    assert_true(json_real_value(json_object_get(record, "share")) == 0.25);
    assert_string_equal(field(record, "slots"), "1/2");
    assert_string_equal(field(record, "drained"), "1");
    json_decref(record);
}

/* A value may contain text that looks like a key of the format. */
static void
a_value_with_a_key_in_it_keeps_the_types(void **state)
{
    json_t *record = format("Request ended. id=%s ms=%lld", "a ms=b=7", 5LL);
    assert_string_equal(field(record, "id"), "a");
    assert_string_equal(field(record, "ms"), "b=7");
    assert_int_equal(json_integer_value(json_object_get(record, "field_ms")),
                     5);
    json_decref(record);
}

static void
no_field_hides_another_one(void **state)
{
    json_t *record = format(
        "Account is over its share. level=%.0f part=x id=a id=b", -7044.0);
    assert_string_equal(field(record, "level"), "info");
    assert_string_equal(field(record, "part"), "part");
    assert_string_equal(field(record, "id"), "a");
    assert_int_equal(
        json_integer_value(json_object_get(record, "field_level")), -7044);
    assert_string_equal(field(record, "field_part"), "x");
    assert_string_equal(field(record, "field_id"), "b");
    json_decref(record);
}

static void
malformed_text_gives_a_valid_record(void **state)
{
    json_t *record = format("Line\" \\ broken. id=%s x=\"open", "\xff\xfe");
    assert_string_equal(field(record, "id"), "(not text)");
    assert_string_equal(field(record, "x"), "open");
    json_decref(record);
    record = format("No keys here");
    assert_string_equal(field(record, "event"), "No keys here");
    json_decref(record);
}

static void
part_of_the_budget_is_reserved_for_warnings(void **state)
{
    LogBudget budget = {
        .lines = LOG_BUDGET_LINES_PER_S,
        .bytes = LOG_BUDGET_BYTES_PER_S,
    };
    unsigned info = 0;
    unsigned warn = 0;
    for (unsigned i = 0; i < 2 * LOG_BUDGET_LINES_PER_S; i++) {
        info += LogBudget_Take(&budget, LOG_LEVEL_INFO, 100, US_PER_S);
    }
    for (unsigned i = 0; i < 2 * LOG_BUDGET_LINES_PER_S; i++) {
        warn += LogBudget_Take(&budget, LOG_LEVEL_WARN, 100, US_PER_S);
    }
    assert_int_equal(info, LOG_BUDGET_LINES_PER_S * 3 / 4);
    assert_int_equal(warn, LOG_BUDGET_LINES_PER_S / 4);
    assert_int_equal(budget.dropped_records, 3 * LOG_BUDGET_LINES_PER_S);
    assert_true(LogBudget_Take(&budget, LOG_LEVEL_INFO, 100, 2 * US_PER_S));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keys_are_formatted_as_fields),
        cmocka_unit_test(the_format_decides_the_type_of_a_field),
        cmocka_unit_test(a_value_with_a_key_in_it_keeps_the_types),
        cmocka_unit_test(no_field_hides_another_one),
        cmocka_unit_test(malformed_text_gives_a_valid_record),
        cmocka_unit_test(part_of_the_budget_is_reserved_for_warnings),
    };
    return cmocka_run_group_tests_name("log json", tests, NULL, NULL);
}
