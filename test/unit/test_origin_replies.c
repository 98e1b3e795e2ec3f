/** @file
 * Replies how a stream began: when they suffice, and that contradictions are
 * never settled.
 */
#include "unit.h"

#include <glib.h>

#include "sched/origin_replies.h"

#define NOW (100 * US_PER_S)
#define LIFE (10 * US_PER_S)
#define HOSTS 3

static const char hosts[HOSTS]; /* their addresses identify control hosts */

static void
add(OriginReplies *replies, const void *host, const char *software, TimeUs now)
{
    StreamOrigin origin = {
        .request = "r",
        .service = "engines",
        .account = "sahil",
        .software = software,
        .expires_at = NOW + LIFE,
    };
    OriginReplies_Add(replies, host, &origin, now);
}

static void
all_control_hosts_suffice(void **state)
{
    OriginReplies *replies = OriginReplies_New("r");
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW), ORIGIN_OPEN);
    assert_int_equal(OriginReplies_SettlesAt(replies), TIME_NEVER);
    for (int i = 0; i < HOSTS; i++) {
        assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW),
                         ORIGIN_OPEN);
        add(replies, &hosts[i], "v1", NOW);
        add(replies, &hosts[i], "v1", NOW);
    }
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW), ORIGIN_SETTLED);
    assert_string_equal(OriginReplies_Origin(replies, NOW)->software, "v1");
    assert_true(OriginReplies_HasHost(replies));
    OriginReplies_Free(replies);
}

/* Guards against a guess while some control hosts have not replied, since they
 * may know of servers that the gateway has not heard of. */
static void
silence_is_no_reply(void **state)
{
    OriginReplies *replies = OriginReplies_New("r");
    assert_false(OriginReplies_AllReplied(replies, 0));
    for (int i = 0; i < HOSTS; i++) {
        assert_false(OriginReplies_AllReplied(replies, HOSTS));
        OriginReplies_AddUnknown(replies, &hosts[i]);
        OriginReplies_AddUnknown(replies, &hosts[i]);
    }
    assert_true(OriginReplies_AllReplied(replies, HOSTS));
    assert_false(OriginReplies_AllReplied(replies, HOSTS + 1));
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW), ORIGIN_OPEN);
    add(replies, &hosts[0], "v1", NOW);
    assert_true(OriginReplies_AllReplied(replies, HOSTS));
    assert_false(OriginReplies_AllReplied(replies, HOSTS + 1));
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW), ORIGIN_OPEN);
    OriginReplies_Free(replies);
}

/* Guards against take-ups that are refused because control hosts which have
 * started again do not know the stream. */
static void
keepers_suffice_after_a_time(void **state)
{
    OriginReplies *replies = OriginReplies_New("r");
    add(replies, NULL, "v1", NOW);
    add(replies, NULL, "v1", NOW + 1);
    add(replies, NULL, "v1", NOW + 2);
    TimeUs settled = NOW + ORIGIN_REPLIES_SETTLE_US;
    assert_int_equal(OriginReplies_SettlesAt(replies), settled);
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, settled - 1),
                     ORIGIN_OPEN);
    assert_int_equal(OriginReplies_Judge(replies, 0, settled - 1),
                     ORIGIN_OPEN);
    assert_int_equal(OriginReplies_Judge(replies, HOSTS, settled),
                     ORIGIN_SETTLED);
    assert_false(OriginReplies_HasHost(replies));
    assert_int_equal(OriginReplies_Count(replies), 3);
    OriginReplies_Free(replies);
}

/* Guards against a call that is held for ever: what a keeper replied expires
 * before other replies are awaited no longer. */
static void
an_origin_that_expires_meanwhile_is_told_apart(void **state)
{
    OriginReplies *replies = OriginReplies_New("r");
    StreamOrigin origin = {
        .request = "r",
        .service = "engines",
        .account = "sahil",
        .software = "v1",
        .expires_at = NOW + ORIGIN_REPLIES_SETTLE_US / 2,
    };
    OriginReplies_Add(replies, NULL, &origin, NOW);
    assert_int_equal(OriginReplies_Judge(replies, 0, NOW), ORIGIN_OPEN);
    assert_int_equal(
        OriginReplies_Judge(replies, 0, NOW + ORIGIN_REPLIES_SETTLE_US),
        ORIGIN_EXPIRED);
    OriginReplies_Free(replies);
}

/* Guards against a joined stream: the first reply comes from a keeper that a
 * correction has not reached. */
static void
contradictions_are_disputed(void **state)
{
    static const char *const others[] = {"", "v2"};
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        OriginReplies *replies = OriginReplies_New("r");
        add(replies, NULL, "v1", NOW);
        add(replies, &hosts[0], others[i], NOW + 1);
        add(replies, NULL, "v1", NOW + 2);
        assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW + 2),
                         ORIGIN_DISPUTED);
        assert_int_equal(OriginReplies_Judge(replies, HOSTS, NOW + LIFE - 1),
                         ORIGIN_DISPUTED);
        OriginReplies_Free(replies);
    }
}

static void
foreign_and_expired_replies_are_ignored(void **state)
{
    OriginReplies *replies = OriginReplies_New("other");
    add(replies, &hosts[0], "v1", NOW);
    assert_int_equal(OriginReplies_Count(replies), 0);
    OriginReplies_Free(replies);
    replies = OriginReplies_New("r");
    add(replies, &hosts[0], "v1", NOW + LIFE);
    assert_int_equal(OriginReplies_Count(replies), 0);
    assert_int_equal(OriginReplies_Judge(replies, 1, NOW + LIFE), ORIGIN_OPEN);
    OriginReplies_Free(replies);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_control_hosts_suffice),
        cmocka_unit_test(silence_is_no_reply),
        cmocka_unit_test(keepers_suffice_after_a_time),
        cmocka_unit_test(an_origin_that_expires_meanwhile_is_told_apart),
        cmocka_unit_test(contradictions_are_disputed),
        cmocka_unit_test(foreign_and_expired_replies_are_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
