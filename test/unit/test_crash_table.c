/** @file
 * Crash table: which requests are barred, and what hosts tell each other.
 */
#include "unit.h"

#include <glib.h>

#include "routes/crash_news.h"
#include "sched/crash_table.h"

#define HOUR_US (3600 * US_PER_S)
#define START_US (100 * HOUR_US)

static Subject
request(uint64_t hash)
{
    return (Subject){.hash = hash};
}

static Subject
part(uint64_t hash)
{
    return (Subject){.hash = hash, .is_part = true};
}

static bool
add(CrashTable *table, uint64_t fingerprint, uint64_t incarnation, TimeUs at)
{
    Crash crash = {
        .subject = {.hash = fingerprint},
        .incarnation = incarnation,
        .at = at,
    };
    return CrashTable_AddCrash(table, &crash, at);
}

/* Adds crashes of as many incarnations as bar a request. */
static void
bar(CrashTable *table, uint64_t fingerprint, TimeUs at)
{
    for (uint64_t i = 1; i <= CRASHES_TO_BAR; i++) {
        add(table, fingerprint, i, at);
    }
}

static void
third_crash_bars_the_request(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 3; i++) {
        assert_false(CrashTable_IsBarred(table, request(42), START_US));
        assert_true(add(table, 42, i, START_US));
    }
    assert_true(CrashTable_IsBarred(table, request(42), START_US));
    assert_false(CrashTable_IsBarred(table, request(43), START_US));
    CrashTable_Free(table);
}

static void
one_end_seen_by_many_counts_once(void **state)
{
    CrashTable *table = CrashTable_New();
    assert_true(add(table, 42, 7, START_US));
    for (int i = 0; i < 10; i++) {
        assert_false(add(table, 42, 7, START_US + i));
    }
    assert_int_equal(CrashTable_CrashCount(table, request(42)), 1);
    CrashTable_Free(table);
}

static void
restart_is_another_incarnation(void **state)
{
    assert_true(CrashTable_Incarnation("a", 1) !=
                CrashTable_Incarnation("a", 2));
    assert_true(CrashTable_Incarnation("a", 1) !=
                CrashTable_Incarnation("b", 1));
}

static void
crashes_minutes_apart_still_count(void **state)
{
    CrashTable *table = CrashTable_New();
    TimeUs now = START_US;
    for (uint64_t i = 1; i <= 3; i++, now += HOUR_US / 2) {
        add(table, 42, i, now);
    }
    assert_true(CrashTable_IsBarred(table, request(42), now));
    CrashTable_Free(table);
}

static void
barred_request_is_tried_once_after_its_time(void **state)
{
    CrashTable *table = CrashTable_New();
    bar(table, 42, START_US);
    assert_true(CrashTable_IsBarred(table, request(42),
                                    START_US + CRASHES_BAR_FIRST_US));
    TimeUs later = START_US + CRASHES_BAR_FIRST_US + 1;
    assert_false(CrashTable_IsBarred(table, request(42), later));
    add(table, 42, 99, later);
    assert_true(CrashTable_IsBarred(table, request(42),
                                    later + 2 * CRASHES_BAR_FIRST_US));
    CrashTable_Free(table);
}

static void
one_host_tries_a_barred_request_once(void **state)
{
    CrashTable *table = CrashTable_New();
    add(table, 42, 1, START_US);
    add(table, 42, 2, START_US);
    Crash own = {.subject = {.hash = 42}, .incarnation = 3, .own = true};
    own.at = START_US;
    CrashTable_AddCrash(table, &own, START_US);
    TimeUs later = START_US + CRASHES_TRIAL_DELAY_US;
    assert_false(CrashTable_MayTry(table, request(42), later - 1, true));
    assert_true(CrashTable_MayTry(table, request(42), later, false));
    assert_true(CrashTable_MayTry(table, request(42), later, true));
    assert_false(CrashTable_MayTry(table, request(42), later, true));
    /* A host that was told of the third crash does not try. */
    bar(table, 43, START_US);
    assert_false(CrashTable_MayTry(table, request(43), later, true));
    CrashTable_Free(table);
}

static void
survived_request_is_not_barred(void **state)
{
    CrashTable *table = CrashTable_New();
    add(table, 42, 1, START_US);
    add(table, 42, 2, START_US);
    assert_true(CrashTable_Acquit(table, request(42), START_US));
    /* Ends of several endpoints at once. */
    bar(table, 42, START_US + US_PER_S);
    assert_false(CrashTable_IsBarred(table, request(42), START_US + US_PER_S));
    /* A crash from before the acquittal that is learnt late. */
    TimeUs later = START_US + CRASHES_ACQUITTAL_US + US_PER_S;
    Crash old = {.subject = {.hash = 42}, .incarnation = 1, .at = START_US};
    assert_false(CrashTable_AddCrash(table, &old, later));
    assert_false(CrashTable_IsAcquitted(table, request(42), later));
    bar(table, 42, later);
    assert_true(CrashTable_IsBarred(table, request(42), later));
    CrashTable_Free(table);
}

static void
many_suspects_do_not_displace_barred_requests(void **state)
{
    CrashTable *table = CrashTable_New();
    bar(table, 42, START_US);
    for (uint64_t i = 1000; i < 1000 + 3 * CRASHES_MAX; i++) {
        add(table, i, 1, START_US + (TimeUs)i);
    }
    assert_true(
        CrashTable_IsBarred(table, request(42), START_US + HOUR_US / 2));
    assert_int_equal(CrashTable_Count(table, false), CRASHES_MAX);
    for (uint64_t i = 1000000; i < 1000000 + 2 * CRASHES_MAX; i++) {
        bar(table, i, START_US + (TimeUs)i);
    }
    assert_int_equal(CrashTable_Count(table, true), CRASHES_MAX);
    CrashTable_Free(table);
}

static void
add_to_table(void *arg, const Crash *crash)
{
    CrashTable_AddCrash(arg, crash, crash->at);
}

/* Two hosts that learn the same crashes in different orders. */
static void
exchanged_tables_agree(void **state)
{
    CrashTable *tables[2] = {CrashTable_New(), CrashTable_New()};
    GRand *random = g_rand_new_with_seed(1);
    for (int i = 0; i < 400; i++) {
        add(tables[g_rand_int_range(random, 0, 2)],
            (uint64_t)g_rand_int_range(random, 1, 60),
            (uint64_t)g_rand_int_range(random, 1, CRASHES_STORED_MAX),
            START_US + i);
    }
    CrashTable_ForEach(tables[0], add_to_table, tables[1]);
    CrashTable_ForEach(tables[1], add_to_table, tables[0]);
    for (uint64_t i = 1; i < 60; i++) {
        assert_int_equal(CrashTable_CrashCount(tables[0], request(i)),
                         CrashTable_CrashCount(tables[1], request(i)));
        assert_int_equal(CrashTable_IsBarred(tables[0], request(i), START_US),
                         CrashTable_IsBarred(tables[1], request(i), START_US));
    }
    g_rand_free(random);
    CrashTable_Free(tables[0]);
    CrashTable_Free(tables[1]);
}

static void
news_keep_crashes_and_their_age(void **state)
{
    CrashTable *table = CrashTable_New();
    bar(table, 42, START_US - 90 * US_PER_S);
    add(table, 43, 5, START_US);
    CrashNews *news = CrashNews_New(START_US);
    CrashTable_ForEach(table, CrashNews_AddCrash, news);
    CrashNews_AddAcquittal(news, request(44));
    CrashNews_AddAcquittal(news, part(45));
    const Wire__CrashNews *message = CrashNews_Message(news);
    assert_int_equal(message->n_crashes, 4);
    assert_int_equal(message->n_acquitted, 1);
    assert_int_equal(message->n_acquitted_parts, 1);
    /* The receiver's clock began later. */
    Crash crash = CrashNews_ReadCrash(message->crashes[0], START_US / 2);
    assert_int_equal(crash.subject.hash, 42);
    assert_false(crash.subject.is_part);
    assert_int_equal(crash.at, START_US / 2 - 90 * US_PER_S);
    CrashNews_Free(news);
    CrashTable_Free(table);
}

static void
news_are_bounded(void **state)
{
    CrashNews *news = CrashNews_New(START_US);
    for (uint64_t i = 1; i <= 2 * CRASH_NEWS_MAX; i++) {
        Crash crash = {.subject = request(i), .at = START_US};
        CrashNews_AddCrash(news, &crash);
        CrashNews_AddAcquittal(news, request(i));
        CrashNews_AddAcquittal(news, part(i));
    }
    assert_int_equal(CrashNews_Message(news)->n_crashes, CRASH_NEWS_MAX);
    assert_int_equal(CrashNews_Message(news)->n_acquitted, CRASH_NEWS_MAX);
    assert_int_equal(CrashNews_Message(news)->n_acquitted_parts,
                     CRASH_NEWS_MAX);
    CrashNews_Free(news);
}

/* ---- Parts of prompts ---- */

#define DEADLY 500
#define SHARED 501
#define OTHER 502

static bool
add_part(CrashTable *table, uint64_t hash, uint64_t incarnation, TimeUs at)
{
    Crash crash = {
        .subject = part(hash),
        .incarnation = incarnation,
        .at = at,
        .own = true,
    };
    return CrashTable_AddCrash(table, &crash, at);
}

static bool
part_is_barred(CrashTable *table, uint64_t hash)
{
    return CrashTable_IsBarred(table, part(hash), START_US + US_PER_S);
}

static void
third_crash_bars_the_part_that_alone_explains_them(void **state)
{
    CrashTable *table = CrashTable_New();
    CrashTable_Acquit(table, part(SHARED), START_US);
    for (uint64_t i = 1; i <= 3; i++) {
        assert_false(part_is_barred(table, DEADLY));
        add_part(table, DEADLY, i, START_US);
        add_part(table, SHARED, i, START_US);
        add(table, 1000 + i, i, START_US); /* no two requests alike */
    }
    assert_true(part_is_barred(table, DEADLY));
    assert_false(part_is_barred(table, SHARED));
    CrashTable_Free(table);
}

static void
part_that_endpoints_survive_is_not_barred(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 20; i++) {
        TimeUs now = START_US + (TimeUs)i * 15 * US_PER_S;
        add_part(table, SHARED, 2 * i, now);
        add_part(table, SHARED, 2 * i + 1, now);
        assert_true(CrashTable_Acquit(table, part(SHARED), now));
        assert_false(CrashTable_IsBarred(table, part(SHARED), now));
    }
    CrashTable_Free(table);
}

static void
parts_beside_the_deadly_one_are_not_barred(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 3; i++) {
        add_part(table, DEADLY, i, START_US);
        add_part(table, OTHER, i, START_US);
    }
    /* The same endpoints ended under both. */
    assert_false(part_is_barred(table, DEADLY));
    assert_false(part_is_barred(table, OTHER));
    add_part(table, DEADLY, 4, START_US);
    assert_true(part_is_barred(table, DEADLY));
    for (uint64_t i = 5; i <= 8; i++) {
        add_part(table, DEADLY, i, START_US);
        add_part(table, OTHER, i, START_US);
    }
    assert_false(part_is_barred(table, OTHER));
    CrashTable_Free(table);
}

static void
doubt_ends_with_the_fifth_crash_and_a_trial(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 5; i++) {
        assert_false(part_is_barred(table, DEADLY));
        add_part(table, DEADLY, i, START_US);
        add_part(table, OTHER, i, START_US);
    }
    assert_true(part_is_barred(table, DEADLY));
    assert_true(part_is_barred(table, OTHER));
    TimeUs later = START_US + CRASHES_TRIAL_DELAY_IN_DOUBT_US;
    assert_false(CrashTable_MayTry(table, part(OTHER), later - 1, true));
    assert_true(CrashTable_MayTry(table, part(OTHER), later, true));
    assert_false(CrashTable_MayTry(table, part(OTHER), later, true));
    /* One is survived, the other is not. */
    CrashTable_Acquit(table, part(OTHER), later);
    add_part(table, DEADLY, 6, later);
    assert_false(CrashTable_IsBarred(table, part(OTHER), later));
    assert_true(CrashTable_IsBarred(table, part(DEADLY), later));
    CrashTable_Free(table);
}

static void
repeated_request_does_not_bar_its_parts(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 6; i++) {
        add(table, 42, i, START_US);
        add_part(table, OTHER, i, START_US);
    }
    assert_true(CrashTable_IsBarred(table, request(42), START_US));
    assert_false(part_is_barred(table, OTHER));
    /* Another request with the part ends an endpoint too. */
    add_part(table, OTHER, 7, START_US);
    assert_true(part_is_barred(table, OTHER));
    CrashTable_Free(table);
}

static void
requests_do_not_explain_each_other(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 5; i++) {
        add(table, 42, i, START_US);
    }
    bar(table, 43, START_US);
    assert_true(CrashTable_IsBarred(table, request(43), START_US));
    CrashTable_Free(table);
}

/* Endpoints that end for other reasons, each under some parts. */
static void
part_that_explains_few_ends_is_not_barred(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 16; i++) {
        add_part(table, 1000 + i, i, START_US);
        if (i % 4 == 0) {
            add_part(table, OTHER, i, START_US);
        }
    }
    assert_int_equal(CrashTable_CrashCount(table, part(OTHER)), 4);
    assert_false(part_is_barred(table, OTHER));
    CrashTable_Free(table);
}

static void
two_deadly_parts_are_both_barred(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 1; i <= 10; i++) {
        add_part(table, i % 2 == 0 ? DEADLY : OTHER, i, START_US);
    }
    assert_true(part_is_barred(table, DEADLY));
    assert_true(part_is_barred(table, OTHER));
    CrashTable_Free(table);
}

/* Two deadly parts that some endpoints ended under at the same time. */
static void
barred_part_stays_barred_when_another_crashes_more(void **state)
{
    CrashTable *table = CrashTable_New();
    for (uint64_t i = 101; i <= 110; i++) {
        add(table, 1000 + i, i, START_US); /* ends under neither */
    }
    for (uint64_t i = 1; i <= 5; i++) {
        add_part(table, DEADLY, i, START_US);
        add_part(table, OTHER, i + 3, START_US);
    }
    assert_true(part_is_barred(table, DEADLY));
    assert_true(part_is_barred(table, OTHER));
    add_part(table, DEADLY, 11, START_US);
    assert_true(part_is_barred(table, OTHER));
    CrashTable_Free(table);
}

static void
new_parts_do_not_displace_a_deadly_one(void **state)
{
    CrashTable *table = CrashTable_New();
    uint64_t others = 1000;
    for (uint64_t i = 1; i <= 3; i++) {
        add_part(table, DEADLY, i, START_US + (TimeUs)i);
        for (int j = 0; j < CRASHES_MAX / 2; j++) {
            add_part(table, others++, i, START_US + (TimeUs)i);
        }
    }
    assert_true(part_is_barred(table, DEADLY));
    assert_int_equal(CrashTable_Count(table, false), CRASHES_MAX);
    uint64_t displaced = CrashTable_Displaced(table);
    assert_true(displaced > 0);
    Crash crash = {.subject = part(others), .incarnation = 4, .at = START_US};
    assert_true(CrashNews_CountCrash(table, &crash, START_US));
    assert_int_equal(CrashTable_Displaced(table), displaced + 1);
    CrashTable_Free(table);
}

static void
first_and_last_parts_of_a_long_prompt_are_known(void **state)
{
    Subjects subjects = {.request = 1};
    Subjects ends = {.request = 1};
    for (int i = 0; i < 100; i++) {
        Subjects_AddPart(&subjects, &i, sizeof(i));
        if (i < SUBJECT_PARTS_MAX / 2 || i >= 100 - SUBJECT_PARTS_MAX / 2) {
            Subjects_AddPart(&ends, &i, sizeof(i));
        }
    }
    assert_int_equal(subjects.part_count, SUBJECT_PARTS_MAX);
    assert_memory_equal(subjects.parts, ends.parts, sizeof(ends.parts));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(third_crash_bars_the_request),
        cmocka_unit_test(one_end_seen_by_many_counts_once),
        cmocka_unit_test(restart_is_another_incarnation),
        cmocka_unit_test(crashes_minutes_apart_still_count),
        cmocka_unit_test(barred_request_is_tried_once_after_its_time),
        cmocka_unit_test(one_host_tries_a_barred_request_once),
        cmocka_unit_test(survived_request_is_not_barred),
        cmocka_unit_test(many_suspects_do_not_displace_barred_requests),
        cmocka_unit_test(exchanged_tables_agree),
        cmocka_unit_test(news_keep_crashes_and_their_age),
        cmocka_unit_test(news_are_bounded),
        cmocka_unit_test(third_crash_bars_the_part_that_alone_explains_them),
        cmocka_unit_test(part_that_endpoints_survive_is_not_barred),
        cmocka_unit_test(parts_beside_the_deadly_one_are_not_barred),
        cmocka_unit_test(doubt_ends_with_the_fifth_crash_and_a_trial),
        cmocka_unit_test(repeated_request_does_not_bar_its_parts),
        cmocka_unit_test(requests_do_not_explain_each_other),
        cmocka_unit_test(part_that_explains_few_ends_is_not_barred),
        cmocka_unit_test(two_deadly_parts_are_both_barred),
        cmocka_unit_test(barred_part_stays_barred_when_another_crashes_more),
        cmocka_unit_test(new_parts_do_not_displace_a_deadly_one),
        cmocka_unit_test(first_and_last_parts_of_a_long_prompt_are_known),
    };
    return cmocka_run_group_tests_name("crash_table", tests, NULL, NULL);
}
