/** @file
 * Tests of the rule file: accepted rules, lookups, and the positions of
 * errors.
 */
#include "unit.h"

#include <stdio.h>
#include <string.h>

#include "rules/rules.h"

static Rules *
parse(const char *text, RulesFault *fault, size_t *found)
{
    return Rules_Parse(text, strlen(text), fault, 1, found);
}

static void
account_is_found_by_key(void **state)
{
    char hex[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey("secret", hex);
    char text[256];
    snprintf(text, sizeof(text),
             "account sahil key=%s tier=1 concurrent=8 # asked by Sahil\n",
             hex);
    RulesFault fault;
    size_t found;
    Rules *rules = parse(text, &fault, &found);
    assert_non_null(rules);
    const RulesAccount *account = Rules_AccountByKey(rules, "secret");
    assert_non_null(account);
    assert_string_equal(account->name, "sahil");
    assert_int_equal(account->tier, 1);
    assert_int_equal(account->concurrent, 8);
    assert_null(Rules_AccountByKey(rules, "other"));
    Rules_Unref(rules);
}

static void
longest_prefix_wins(void **state)
{
    size_t found;
    RulesFault fault;
    Rules *rules =
        parse("route GET /a/* service=one idempotent=yes # asked by X\n"
              "route GET /a/b/* service=two idempotent=yes # asked by X\n",
              &fault, &found);
    assert_non_null(rules);
    assert_string_equal(Rules_FindRoute(rules, "GET", "/a/c")->service, "one");
    assert_string_equal(Rules_FindRoute(rules, "GET", "/a/b/c")->service,
                        "two");
    assert_null(Rules_FindRoute(rules, "POST", "/a/c"));
    Rules_Unref(rules);
}

static void
error_has_line_and_column(void **state)
{
    size_t found;
    RulesFault fault;
    assert_null(parse("model a # asked by X\n"
                      "route FETCH /a model # asked by X\n",
                      &fault, &found));
    assert_int_equal(found, 1);
    assert_int_equal(fault.line, 2);
    assert_int_equal(fault.column, 7);
}

static void
author_is_required(void **state)
{
    size_t found;
    RulesFault fault;
    assert_null(parse("model a\n", &fault, &found));
    assert_int_equal(fault.line, 1);
    assert_int_equal(fault.column, 8);
}

static void
duplicates_are_rejected(void **state)
{
    char hex[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey("secret", hex);
    char text[512];
    snprintf(text, sizeof(text),
             "account a key=%s tier=1 # asked by X\n"
             "account a key=%.63s0 tier=1 # asked by X\n"
             "account b key=%s tier=1 # asked by X\n",
             hex, hex, hex);
    RulesFault faults[4];
    size_t found;
    assert_null(Rules_Parse(text, strlen(text), faults, 4, &found));
    assert_int_equal(found, 2);
    assert_int_equal(faults[0].line, 2);
    assert_int_equal(faults[1].line, 3);
    snprintf(text, sizeof(text),
             "account a key=%s tier=1 tier=2 # asked by X\n", hex);
    assert_null(Rules_Parse(text, strlen(text), faults, 4, &found));
    assert_int_equal(found, 1);
    assert_string_equal(faults[0].text, "This option is given twice.");
    assert_int_equal(faults[0].column, strstr(text, "tier=2") - text + 1);
    const char *route =
        "route GET /a service=x service=y idempotent=no # asked by X";
    assert_null(Rules_Parse(route, strlen(route), faults, 4, &found));
    assert_int_equal(faults[0].column, 24);
}

static void
long_line_is_rejected(void **state)
{
    char text[2048];
    memset(text, 'a', sizeof(text));
    RulesFault fault;
    size_t found;
    assert_null(Rules_Parse(text, sizeof(text), &fault, 1, &found));
    assert_int_equal(found, 1);
    assert_int_equal(fault.column, 1024);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(account_is_found_by_key),
        cmocka_unit_test(longest_prefix_wins),
        cmocka_unit_test(error_has_line_and_column),
        cmocka_unit_test(author_is_required),
        cmocka_unit_test(duplicates_are_rejected),
        cmocka_unit_test(long_line_is_rejected),
    };
    return cmocka_run_group_tests_name("rules", tests, NULL, NULL);
}
