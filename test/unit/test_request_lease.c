/** @file
 * Rule lease: which replies renew it. Guards against an entry that keeps using
 * rules after a newer version was committed.
 */
#include "unit.h"

#include "entry/lease.h"

#define NOW US_PER_S
#define DURATION (3 * US_PER_S)

static Lease
new_lease(bool leader_mode)
{
    return (Lease){
        .leader_mode = leader_mode, .duration = DURATION, .version = 10};
}

static LeaseResult
send_reply(Lease *lease, uint32_t replica, uint64_t pending)
{
    LeaseReply reply = {
        .replica = replica,
        .granted = true,
        .rules_version = 10,
        .pending_version = pending,
        .config_index = 1,
        .voter_count = 3,
        .voters = {1, 2, 3},
    };
    return Lease_OnReply(lease, lease->sequence, &reply);
}

static void
majority_renews_from_the_start_of_the_round(void **state)
{
    Lease lease = new_lease(false);
    Lease_StartRound(&lease, NOW);
    assert_int_equal(send_reply(&lease, 1, 10), LEASE_WAIT);
    assert_int_equal(send_reply(&lease, 1, 10), LEASE_WAIT);
    assert_int_equal(lease.expires_at, 0);
    assert_int_equal(send_reply(&lease, 3, 9), LEASE_RENEWED);
    assert_int_equal(lease.expires_at, NOW + DURATION);
}

static void
newer_pending_version_on_a_minority_renews(void **state)
{
    Lease lease = new_lease(false);
    Lease_StartRound(&lease, NOW);
    assert_int_equal(send_reply(&lease, 1, 12), LEASE_WAIT);
    assert_int_equal(send_reply(&lease, 2, 10), LEASE_WAIT);
    assert_int_equal(send_reply(&lease, 3, 10), LEASE_RENEWED);
}

static void
newer_pending_version_on_a_majority_does_not_renew(void **state)
{
    Lease lease = new_lease(false);
    Lease_StartRound(&lease, NOW);
    send_reply(&lease, 1, 12);
    send_reply(&lease, 2, 12);
    assert_int_equal(send_reply(&lease, 3, 10), LEASE_RETRY);
    assert_int_equal(lease.expires_at, 0);
}

static void
replies_of_old_rounds_and_learners_are_ignored(void **state)
{
    Lease lease = new_lease(false);
    uint64_t old_sequence = Lease_StartRound(&lease, NOW);
    Lease_StartRound(&lease, NOW + 1);
    LeaseReply reply = {
        .replica = 1,
        .granted = true,
        .rules_version = 10,
        .pending_version = 10,
        .voter_count = 3,
        .voters = {1, 2, 3},
    };
    Lease_OnReply(&lease, old_sequence, &reply);
    assert_int_equal(lease.reply_count, 0);
    send_reply(&lease, 4, 10);
    reply.granted = false;
    Lease_OnReply(&lease, lease.sequence, &reply);
    assert_int_equal(send_reply(&lease, 2, 10), LEASE_WAIT);
}

static void
newest_membership_sets_the_majority(void **state)
{
    Lease lease = new_lease(false);
    Lease_StartRound(&lease, NOW);
    send_reply(&lease, 1, 10);
    LeaseReply reply = {
        .replica = 2,
        .granted = true,
        .rules_version = 10,
        .pending_version = 10,
        .config_index = 9,
        .voter_count = 5,
        .voters = {1, 2, 3, 4, 5},
    };
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_WAIT);
    reply.replica = 4;
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_RENEWED);
}

static void
newer_committed_version_is_fetched(void **state)
{
    Lease lease = new_lease(false);
    Lease_StartRound(&lease, NOW);
    LeaseReply reply = {.replica = 1, .rules_version = 11};
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_FETCH);
    assert_int_equal(lease.expires_at, 0);
}

static void
leader_mode_requires_confirmed_leadership(void **state)
{
    Lease lease = new_lease(true);
    Lease_StartRound(&lease, NOW);
    LeaseReply reply = {.rules_version = 10};
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_WAIT);
    reply.granted = true;
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_RENEWED);
    reply.rules_version = 9;
    assert_int_equal(Lease_OnReply(&lease, lease.sequence, &reply),
                     LEASE_WAIT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(majority_renews_from_the_start_of_the_round),
        cmocka_unit_test(newer_pending_version_on_a_minority_renews),
        cmocka_unit_test(newer_pending_version_on_a_majority_does_not_renew),
        cmocka_unit_test(replies_of_old_rounds_and_learners_are_ignored),
        cmocka_unit_test(newest_membership_sets_the_majority),
        cmocka_unit_test(newer_committed_version_is_fetched),
        cmocka_unit_test(leader_mode_requires_confirmed_leadership),
    };
    return cmocka_run_group_tests_name("request lease", tests, NULL, NULL);
}
