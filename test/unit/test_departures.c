/** @file
 * Tests of the replicated departures of endpoints: commands and snapshots.
 */
#include "unit.h"

#include <string.h>

#include "fleet/departures.h"
#include "fleet/document.h"

static bool
apply(Departures *departures, const EndpointRecord *record)
{
    GBytes *command = Departures_PackCommand(7, record);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(command, &length);
    EndpointRecord applied;
    bool changed = Departures_Apply(departures, bytes, length, &applied);
    if (changed) {
        assert_string_equal(applied.id, record->id);
        assert_int_equal(applied.state, record->state);
        assert_int_equal(applied.born, record->born);
    }
    g_bytes_unref(command);
    return changed;
}

static EndpointRecord
departure(const char *id, uint64_t born, EndpointState state,
          uint64_t sequence)
{
    return (EndpointRecord){
        .id = id,
        .service = "app",
        .address = "127.0.0.1:80",
        .state = state,
        .born = born,
        .sequence = sequence,
        .slots = 4,
    };
}

/* Guards against a late departure of an older start that hides a newer one,
 * and against a deregistration that a late `draining` undoes. */
static void
later_starts_and_ends_win(void **state)
{
    Departures *departures = Departures_New();
    EndpointRecord drains = departure("a", 5, ENDPOINT_DRAINING, 3);
    EndpointRecord gone = departure("a", 5, ENDPOINT_GONE, 4);
    EndpointRecord older = departure("a", 4, ENDPOINT_GONE, 9);
    EndpointRecord newer = departure("a", 6, ENDPOINT_DRAINING, 1);
    assert_false(Departures_Has(departures, &drains));
    assert_true(apply(departures, &drains));
    assert_true(Departures_Has(departures, &drains));
    assert_true(Departures_Has(departures, &older));
    assert_false(Departures_Has(departures, &gone));
    assert_false(apply(departures, &older));
    assert_true(apply(departures, &gone));
    assert_false(apply(departures, &drains));
    assert_false(Departures_Has(departures, &newer));
    assert_true(apply(departures, &newer));
    assert_int_equal(Departures_Count(departures), 1);
    Departures_Free(departures);
}

/* Guards against an endpoint that drains, is ready and drains once more, of
 * which other hosts hear the first time only. */
static void
drains_once_more(void **state)
{
    Departures *departures = Departures_New();
    EndpointRecord first = departure("a", 5, ENDPOINT_DRAINING, 3);
    EndpointRecord again = departure("a", 5, ENDPOINT_DRAINING, 8);
    assert_true(apply(departures, &first));
    assert_false(apply(departures, &first));
    assert_true(apply(departures, &again));
    assert_false(apply(departures, &first));
    Departures_Free(departures);
}

/* Guards against commands that are no departures, or that name none. */
static void
others_change_nothing(void **state)
{
    Departures *departures = Departures_New();
    EndpointRecord ready = departure("a", 5, ENDPOINT_READY, 3);
    EndpointRecord nameless = departure("", 5, ENDPOINT_GONE, 3);
    char *long_id = g_strnfill(ENDPOINT_TEXT_MAX + 1, 'x');
    EndpointRecord long_named = departure(long_id, 5, ENDPOINT_GONE, 3);
    assert_false(apply(departures, &ready));
    assert_false(apply(departures, &nameless));
    assert_false(apply(departures, &long_named));
    EndpointRecord applied;
    assert_false(Departures_Apply(departures, (const uint8_t *)"\xff\xff", 2,
                                  &applied));
    assert_int_equal(Departures_Count(departures), 0);
    g_free(long_id);
    Departures_Free(departures);
}

static void
collect_ids(void *arg, const EndpointRecord *record)
{
    GString *ids = arg;
    g_string_append_printf(ids, "%s ", record->id);
}

static void
assert_ids(const Departures *departures, const char *expected)
{
    GString *ids = g_string_new(NULL);
    Departures_ForEach(departures, collect_ids, ids);
    assert_string_equal(ids->str, expected);
    g_string_free(ids, TRUE);
}

static int
load(Departures *departures, GBytes *snapshot)
{
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(snapshot, &length);
    return Departures_Load(departures, bytes, length, NULL);
}

/* Guards against departures, their order or the document that a snapshot
 * loses. */
static void
snapshot_restores_all(void **state)
{
    Departures *departures = Departures_New();
    const char *const ids[] = {"a", "b", "c", "a"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        EndpointRecord record = departure(ids[i], 5 + i, ENDPOINT_DRAINING, 1);
        assert_true(apply(departures, &record));
    }
    Document document = {
        .version = 9,
        .deflated = g_bytes_new("abc", 3),
        .inflated_length = 12,
    };
    GBytes *snapshot =
        Departures_AppendTo(Document_Save(&document), departures);
    Departures *restored = Departures_New();
    EndpointRecord other = departure("other", 1, ENDPOINT_GONE, 1);
    assert_true(apply(restored, &other));
    assert_int_equal(load(restored, snapshot), ERR_OK);
    assert_ids(restored, "b c a ");
    Document document_restored = {.version = 0};
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(snapshot, &length);
    assert_int_equal(Document_Load(&document_restored, bytes, length, NULL),
                     ERR_OK);
    assert_int_equal(document_restored.version, 9);
    assert_int_equal(g_bytes_get_size(document_restored.deflated), 3);
    g_bytes_unref(snapshot);
    Error err = ERROR_INIT;
    assert_int_equal(
        Departures_Load(restored, (const uint8_t *)"\xff\xff", 2, &err),
        ERR_CORRUPT);
    assert_ids(restored, "b c a ");
    Document_Clear(&document);
    Document_Clear(&document_restored);
    Departures_Free(departures);
    Departures_Free(restored);
}

/* Guards against a table that grows with every endpoint that ever left. */
static void
oldest_gives_way(void **state)
{
    Departures *departures = Departures_New();
    for (unsigned i = 0; i <= DEPARTURES_MAX; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "e%u", i);
        EndpointRecord record = departure(id, 5, ENDPOINT_GONE, 1);
        assert_true(apply(departures, &record));
    }
    assert_int_equal(Departures_Count(departures), DEPARTURES_MAX);
    EndpointRecord first = departure("e0", 5, ENDPOINT_GONE, 1);
    EndpointRecord second = departure("e1", 5, ENDPOINT_GONE, 1);
    assert_false(Departures_Has(departures, &first));
    assert_true(Departures_Has(departures, &second));
    Departures_Free(departures);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(later_starts_and_ends_win),
        cmocka_unit_test(drains_once_more),
        cmocka_unit_test(others_change_nothing),
        cmocka_unit_test(snapshot_restores_all),
        cmocka_unit_test(oldest_gives_way),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
