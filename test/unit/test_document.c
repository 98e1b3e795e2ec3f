/** @file
 * Tests of the replicated configuration document: commands and snapshots.
 */
#include "unit.h"

#include <string.h>

#include "fleet/document.h"
#include "wire/deflate.h"

static GBytes *
pack_command(uint64_t id, uint64_t version, const char *text)
{
    Document document = {
        .version = version,
        .deflated = Deflate_Pack(text, strlen(text)),
        .inflated_length = (uint32_t)strlen(text),
    };
    GBytes *packed = Document_PackCommand(id, &document);
    Document_Clear(&document);
    return packed;
}

static bool
apply(Document *document, uint64_t id, uint64_t version, const char *text)
{
    GBytes *packed = pack_command(id, version, text);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(packed, &length);
    uint64_t applied;
    bool changed = Document_Apply(document, bytes, length, &applied);
    assert_int_equal(applied, id);
    g_bytes_unref(packed);
    return changed;
}

static void
assert_text(const Document *document, const char *text)
{
    gsize length;
    const void *deflated = g_bytes_get_data(document->deflated, &length);
    GBytes *plain =
        Deflate_Unpack(deflated, length, document->inflated_length);
    assert_non_null(plain);
    assert_int_equal(g_bytes_get_size(plain), strlen(text));
    assert_memory_equal(g_bytes_get_data(plain, NULL), text, strlen(text));
    g_bytes_unref(plain);
}

static void
highest_version_wins(void **state)
{
    Document document = {.version = 0};
    assert_true(apply(&document, 1, 7, "seven"));
    assert_false(apply(&document, 2, 7, "other seven"));
    assert_false(apply(&document, 3, 5, "five"));
    assert_text(&document, "seven");
    assert_true(apply(&document, 4, 9, "nine"));
    assert_text(&document, "nine");
    Document_Clear(&document);
}

static void
snapshot_restores_document(void **state)
{
    Document document = {.version = 0};
    apply(&document, 1, 7, "seven");
    GBytes *saved = Document_Save(&document);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(saved, &length);
    Document loaded = {.version = 0};
    Error err = ERROR_INIT;
    assert_int_equal(Document_Load(&loaded, bytes, length, &err), ERR_OK);
    assert_int_equal(loaded.version, 7);
    assert_text(&loaded, "seven");
    assert_int_equal(Document_Load(&loaded, bytes, length - 1, &err),
                     ERR_CORRUPT);
    assert_int_equal(loaded.version, 7);
    g_bytes_unref(saved);
    Document_Clear(&loaded);
    Document_Clear(&document);
}

static void
corrupt_command_changes_nothing(void **state)
{
    Document document = {.version = 0};
    uint64_t id;
    assert_false(
        Document_Apply(&document, (const uint8_t *)"\xff\xff", 2, &id));
    assert_int_equal(document.version, 0);
    assert_null(Deflate_Unpack("abc", 3, 10));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(highest_version_wins),
        cmocka_unit_test(snapshot_restores_document),
        cmocka_unit_test(corrupt_command_changes_nothing),
    };
    return cmocka_run_group_tests_name("document", tests, NULL, NULL);
}
