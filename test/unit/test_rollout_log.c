/** @file
 * Tests of the replicated roll-outs: commands, snapshots and barred versions.
 */
#include "unit.h"

#include <string.h>

#include "fleet/document.h"
#include "fleet/rollout_log.h"

static RolloutApplied
apply(RolloutTable *table, uint64_t index, const Rollout *rollout,
      uint64_t base)
{
    GBytes *command = RolloutLog_PackCommand(index, rollout, base);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(command, &length);
    Rollout *asked;
    RolloutApplied applied =
        RolloutLog_Apply(table, index, bytes, length, &asked);
    assert_string_equal(asked->target, rollout->target);
    Rollout_Free(asked);
    g_bytes_unref(command);
    return applied;
}

static RolloutApplied
apply_state(RolloutTable *table, uint64_t index, RolloutState state,
            uint64_t base)
{
    Rollout *changed = Rollout_Copy(RolloutTable_Find(table, "app"));
    changed->state = state;
    RolloutApplied applied = apply(table, index, changed, base);
    Rollout_Free(changed);
    return applied;
}

/* Guards against two leaders that both decide a roll-out. */
static void
only_the_first_change_counts(void **state)
{
    RolloutTable *table = RolloutTable_New();
    Rollout *order = Rollout_Begin("app", "v2", NULL);
    assert_int_equal(apply(table, 5, order, 0), ROLLOUT_CHANGED);
    assert_int_equal(apply(table, 6, order, 0), ROLLOUT_STALE);
    assert_int_equal(RolloutTable_Find(table, "app")->order, 5);
    assert_int_equal(
        apply_state(table, 7, WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED, 5),
        ROLLOUT_CHANGED);
    assert_int_equal(
        apply_state(table, 8, WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED, 5),
        ROLLOUT_STALE);
    const Rollout *rollout = RolloutTable_Find(table, "app");
    assert_int_equal(rollout->state, WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED);
    assert_int_equal(rollout->order, 5);
    assert_int_equal(rollout->revision, 7);
    Rollout_Free(order);
    RolloutTable_Free(table);
}

static Document
some_document(void)
{
    return (Document){
        .version = 9,
        .deflated = g_bytes_new("abc", 3),
        .inflated_length = 12,
    };
}

/* Guards against roll-outs or a document that a snapshot loses. */
static void
snapshot_restores_all(void **state)
{
    RolloutTable *table = RolloutTable_New();
    Rollout *order = Rollout_Begin("app", "v2", NULL);
    Rollout_Bar(order, "v0");
    order->deadline_ms = 77;
    apply(table, 5, order, 0);
    Document document = some_document();
    GBytes *saved = RolloutLog_AppendTo(Document_Save(&document), table);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(saved, &length);
    RolloutTable *loaded = RolloutTable_New();
    Document loaded_document = {.version = 0};
    Error err = ERROR_INIT;
    assert_int_equal(Document_Load(&loaded_document, bytes, length, &err),
                     ERR_OK);
    assert_int_equal(RolloutLog_Load(loaded, bytes, length, &err), ERR_OK);
    assert_int_equal(loaded_document.version, 9);
    assert_true(g_bytes_equal(loaded_document.deflated, document.deflated));
    const Rollout *rollout = RolloutTable_Find(loaded, "app");
    assert_string_equal(rollout->target, "v2");
    assert_int_equal(rollout->deadline_ms, 77);
    assert_int_equal(rollout->order, 5);
    assert_int_equal(rollout->revision, 5);
    assert_true(Rollout_IsBarred(rollout, "v0"));
    assert_int_equal(RolloutLog_Load(loaded, bytes, length - 1, &err),
                     ERR_CORRUPT);
    assert_int_equal(RolloutTable_Count(loaded), 1);
    g_bytes_unref(saved);
    Document_Clear(&document);
    Document_Clear(&loaded_document);
    Rollout_Free(order);
    RolloutTable_Free(loaded);
    RolloutTable_Free(table);
}

/* Guards against snapshots of earlier versions that cannot be loaded, and
 * against snapshots without roll-outs that differ from theirs. */
static void
old_snapshot_has_no_rollouts(void **state)
{
    RolloutTable *table = RolloutTable_New();
    Document document = some_document();
    GBytes *old = Document_Save(&document);
    GBytes *saved = RolloutLog_AppendTo(Document_Save(&document), table);
    assert_true(g_bytes_equal(old, saved));
    Rollout *order = Rollout_Begin("app", "v2", NULL);
    apply(table, 5, order, 0);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(old, &length);
    Error err = ERROR_INIT;
    assert_int_equal(RolloutLog_Load(table, bytes, length, &err), ERR_OK);
    assert_int_equal(RolloutTable_Count(table), 0);
    g_bytes_unref(old);
    g_bytes_unref(saved);
    Document_Clear(&document);
    Rollout_Free(order);
    RolloutTable_Free(table);
}

/* Guards against versions that were reverted, or replaced, and serve again
 * when the next roll-out begins. */
static void
barred_versions_stay_barred(void **state)
{
    Rollout *first = Rollout_Begin("app", "v2", NULL);
    Rollout_Bar(first, "v2");
    Rollout_Bar(first, "v1");
    Rollout_Bar(first, "v1");
    assert_int_equal(first->barred->len, 2);
    Rollout *next = Rollout_Begin("app", "v1", first);
    assert_true(Rollout_IsBarred(next, "v2"));
    assert_false(Rollout_IsBarred(next, "v1"));
    for (unsigned i = 0; i < ROLLOUT_BARRED_MAX; i++) {
        char version[16];
        g_snprintf(version, sizeof(version), "w%u", i);
        Rollout_Bar(next, version);
    }
    assert_int_equal(next->barred->len, ROLLOUT_BARRED_MAX);
    assert_false(Rollout_IsBarred(next, "v2"));
    Rollout_Free(first);
    Rollout_Free(next);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_the_first_change_counts),
        cmocka_unit_test(snapshot_restores_all),
        cmocka_unit_test(old_snapshot_has_no_rollouts),
        cmocka_unit_test(barred_versions_stay_barred),
    };
    return cmocka_run_group_tests_name("rollout_log", tests, NULL, NULL);
}
