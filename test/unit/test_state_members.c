/** @file
 * Members: updates by incarnation, reconnect timeout and changes by version.
 */
#include "unit.h"

#include "control/members.h"

static const int link_a;
static const int link_b;

static Wire__Presence
presence(const char *name, uint64_t incarnation, bool leaving)
{
    Wire__Presence message = WIRE__PRESENCE__INIT;
    message.role = WIRE__ROLE__ROLE_AGENT;
    message.name = (char *)name;
    message.incarnation = incarnation;
    message.leaving = leaving;
    return message;
}

static void
update(Members *members, const void *link, const char *name,
       uint64_t incarnation, bool leaving)
{
    Wire__Presence message = presence(name, incarnation, leaving);
    Members_Update(members, link, &message);
}

static void
expect_fill(const Members *members, uint64_t have, bool partial,
            size_t present, size_t gone)
{
    Wire__Members frame = WIRE__MEMBERS__INIT;
    Members_Fill(members, have, &frame);
    assert_int_equal(frame.partial, partial);
    assert_int_equal(frame.n_members, present);
    assert_int_equal(frame.n_gone, gone);
    g_free(frame.members);
    g_free(frame.gone);
}

static void
readers_get_changes_since_their_version(void **state)
{
    Members *members = Members_New(5);
    expect_fill(members, 0, false, 0, 0);
    update(members, &link_a, "one", 1, false);
    update(members, &link_b, "two", 1, false);
    uint64_t seen = Members_Version(members);
    expect_fill(members, 0, false, 2, 0);
    expect_fill(members, seen, true, 0, 0);
    update(members, &link_a, "one", 1, false);
    assert_int_equal(Members_Version(members), seen);
    update(members, &link_a, "one", 1, true);
    expect_fill(members, seen, true, 1, 0);
    Members_OnLinkDown(members, &link_b, 0);
    Members_Tick(members, MEMBERS_RECONNECT_TIMEOUT_MS * US_PER_MS);
    expect_fill(members, seen, true, 1, 1);
    Members *restarted = Members_New(6);
    update(restarted, &link_a, "one", 1, true);
    expect_fill(restarted, Members_Version(members), false, 1, 0);
    Members_Free(restarted);
    Members_Free(members);
}

static void
member_may_reconnect(void **state)
{
    Members *members = Members_New(5);
    update(members, &link_a, "one", 1, false);
    Members_OnLinkDown(members, &link_a, 0);
    update(members, &link_b, "one", 1, false);
    assert_false(Members_Tick(members, TIME_NEVER - 1));
    assert_ptr_equal(Members_FindLink(members, WIRE__ROLE__ROLE_AGENT, "one"),
                     &link_b);
    Members_Free(members);
}

static void
older_incarnation_is_refused(void **state)
{
    Members *members = Members_New(5);
    update(members, &link_a, "one", 2, false);
    update(members, &link_b, "one", 1, false);
    assert_ptr_equal(Members_FindLink(members, WIRE__ROLE__ROLE_AGENT, "one"),
                     &link_a);
    Members_OnLinkDown(members, &link_a, 0);
    update(members, &link_b, "one", 1, false);
    assert_ptr_equal(Members_FindLink(members, WIRE__ROLE__ROLE_AGENT, "one"),
                     &link_b);
    Members_Free(members);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(readers_get_changes_since_their_version),
        cmocka_unit_test(member_may_reconnect),
        cmocka_unit_test(older_incarnation_is_refused),
    };
    return cmocka_run_group_tests_name("members", tests, NULL, NULL);
}
