/** @file
 * Guards against a process that ends because hundreds of callers read slowly,
 * against endpoints that are read no further while most of the bound is free,
 * and against complete answers that are given up before others.
 */
#include "unit.h"

#include <glib.h>

#include "sched/held_bytes.h"

#define BOUND (44u * 1024 * 1024)
#define CALLERS 400
/* In one step of 50 ms: what the host's link of 100 Mbit/s brings, what a
 * caller reads of it, and how much is written for one caller at a time. */
#define LINK_BYTES (625u * 1024)
#define READ_SLOWLY 51u
#define WRITTEN (16u * 1024)

static size_t
sum_of(const HeldFor *callers)
{
    size_t sum = 0;
    for (unsigned i = 0; i < CALLERS; i++) {
        sum += callers[i].bytes;
    }
    return sum;
}

/* Plays callers that read 1 KB/s of answers without an end. Nothing is cut:
 * parts of what is free keep the sum below the bound. */
static void
slow_callers_share_the_bound(void **state)
{
    HeldFor callers[CALLERS] = {0};
    size_t most = 0;
    for (unsigned step = 0; step < 2000; step++) {
        unsigned link = LINK_BYTES;
        for (unsigned i = 0; i < CALLERS; i++) {
            HeldFor *caller = &callers[(i + step) % CALLERS];
            caller->has_answer = true;
            if (link >= WRITTEN &&
                caller->bytes <= HeldBytes_CallerPart(BOUND, most)) {
                caller->bytes += WRITTEN;
                link -= WRITTEN;
            }
            caller->bytes -= MIN(caller->bytes, READ_SLOWLY);
        }
        most = sum_of(callers);
        assert_int_equal(HeldBytes_ChooseCut(BOUND, most, callers, CALLERS),
                         -1);
    }
    print_message("held %zu of %u\n", most, BOUND);
    assert_true(most > BOUND / 2);
}

static void
one_slow_caller_may_have_much(void **state)
{
    assert_true(HeldBytes_CallerPart(BOUND, 0) > 4u * 1024 * 1024);
    assert_true(HeldBytes_CallerPart(BOUND, 2 * (size_t)BOUND) > 0);
}

static void
requests_are_refused_before_callers_are_cut(void **state)
{
    assert_false(HeldBytes_RefusesNew(BOUND, BOUND / 2));
    assert_true(HeldBytes_RefusesNew(BOUND, BOUND));
}

static void
complete_answers_are_cut_last(void **state)
{
    HeldFor callers[] = {
        {.bytes = 900, .has_answer = true, .complete = true},
        {.bytes = 500},
        {.bytes = 100, .has_answer = true},
        {.bytes = 200, .has_answer = true},
    };
    static const int order[] = {3, 2, 1, 0};
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        int index = HeldBytes_ChooseCut(100, 1700, callers, 4);
        assert_int_equal(index, order[i]);
        callers[index].bytes = 0;
    }
    assert_int_equal(HeldBytes_ChooseCut(100, 1700, callers, 4), -1);
    callers[0].bytes = 50;
    assert_int_equal(HeldBytes_ChooseCut(100, 50, callers, 4), -1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(slow_callers_share_the_bound),
        cmocka_unit_test(one_slow_caller_may_have_much),
        cmocka_unit_test(requests_are_refused_before_callers_are_cut),
        cmocka_unit_test(complete_answers_are_cut_last),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
