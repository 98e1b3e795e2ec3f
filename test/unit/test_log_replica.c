/** @file
 * Replicas with real folders and links: bootstrap, a killed leader, restart of
 * all hosts, a lost disk and leadership transfer.
 */
#include "unit.h"

#include "log_host.h"

#define HOSTS 3
#define LIMIT_MS 15000

static LogHost hosts[LOG_HOSTS_MAX];
static struct event_base *base;

static bool
has_leader(LogHost *group, unsigned count, void *arg)
{
    return LogHost_Leader(group, count) != NULL;
}

/* Returns true when all running hosts have applied *arg commands. */
static bool
all_applied(LogHost *group, unsigned count, void *arg)
{
    for (unsigned i = 0; i < count; i++) {
        if (group[i].replica != NULL &&
            group[i].state->len != *(unsigned *)arg) {
            return false;
        }
    }
    return true;
}

static bool
all_are_voters(LogHost *group, unsigned count, void *arg)
{
    for (unsigned i = 0; i < count; i++) {
        ReplicaStatus status;
        Replica_GetStatus(group[i].replica, &status);
        if (!status.is_voter || status.voter_count != count) {
            return false;
        }
    }
    return true;
}

static void
wait_for(unsigned count,
         bool (*done)(LogHost *hosts, unsigned count, void *arg), void *arg)
{
    assert_true(LogHost_RunUntil(hosts, count, done, arg, LIMIT_MS));
}

static void
start_all(unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        Error err = ERROR_INIT;
        assert_int_equal(LogHost_Start(&hosts[i], &err), ERR_OK);
    }
    wait_for(count, has_leader, NULL);
}

static void
propose(unsigned count, const char *text, unsigned expected)
{
    wait_for(count, has_leader, NULL);
    assert_int_equal(LogHost_Propose(hosts, count, text), ERR_OK);
    wait_for(count, all_applied, &expected);
}

static void
single_host_becomes_leader(void **state)
{
    LogHost_InitGroup(base, hosts, 1);
    start_all(1);
    propose(1, "first", 1);
    LogHost_Kill(&hosts[0]);
    start_all(1);
    propose(1, "second", 2);
    assert_string_equal(hosts[0].state->pdata[0], "first");
    LogHost_FreeGroup(hosts, 1);
}

static void
survives_kills_and_restarts(void **state)
{
    LogHost_InitGroup(base, hosts, HOSTS);
    start_all(HOSTS);
    propose(HOSTS, "one", 1);
    LogHost *leader = LogHost_Leader(hosts, HOSTS);
    LogHost_Kill(leader);
    propose(HOSTS, "two", 2);
    for (unsigned i = 0; i < HOSTS; i++) {
        LogHost_Kill(&hosts[i]);
    }
    start_all(HOSTS);
    propose(HOSTS, "three", 3);
    LogHost_FreeGroup(hosts, HOSTS);
}

static void
lost_disk_returns_as_learner(void **state)
{
    LogHost_InitGroup(base, hosts, HOSTS);
    start_all(HOSTS);
    propose(HOSTS, "one", 1);
    LogHost *first = LogHost_Leader(hosts, HOSTS);
    LogHost_Kill(first);
    LogHost_EraseDisk(first);
    Error err = ERROR_INIT;
    assert_int_equal(LogHost_Start(first, &err), ERR_OK);
    ReplicaStatus status;
    Replica_GetStatus(first->replica, &status);
    assert_false(status.is_voter);
    wait_for(HOSTS, all_are_voters, NULL);
    /* The cluster keeps a majority when the next host fails right after the
     * first has recovered. */
    LogHost *second = LogHost_Leader(hosts, HOSTS);
    LogHost_Kill(second);
    propose(HOSTS, "two", 2);
    LogHost_FreeGroup(hosts, HOSTS);
}

static bool
has_other_leader(LogHost *group, unsigned count, void *arg)
{
    LogHost *leader = LogHost_Leader(group, count);
    return leader != NULL && leader != arg;
}

static void
transfers_leadership(void **state)
{
    LogHost_InitGroup(base, hosts, HOSTS);
    start_all(HOSTS);
    propose(HOSTS, "one", 1);
    LogHost *leader = LogHost_Leader(hosts, HOSTS);
    Replica_TransferLeadership(leader->replica);
    wait_for(HOSTS, has_other_leader, leader);
    propose(HOSTS, "two", 2);
    LogHost_FreeGroup(hosts, HOSTS);
}

int
main(void)
{
    base = event_base_new();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(single_host_becomes_leader),
        cmocka_unit_test(survives_kills_and_restarts),
        cmocka_unit_test(lost_disk_returns_as_learner),
        cmocka_unit_test(transfers_leadership),
    };
    int result = cmocka_run_group_tests_name("replica", tests, NULL, NULL);
    event_base_free(base);
    return result;
}
