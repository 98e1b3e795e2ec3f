/** @file
 * State files: content survives, damage is noticed, saves do not overlap.
 */
#include "unit.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "fleet/state_file.h"

#define NAME "state"
#define WAIT_MAX_MS 5000
#define SAVES 500

typedef struct Folder {
    char *path;
    StateFile *file;
} Folder;

static Folder
make_folder(void)
{
    Folder folder = {.path = g_dir_make_tmp("state-file-XXXXXX", NULL)};
    assert_non_null(folder.path);
    folder.file = StateFile_New(folder.path, NAME);
    return folder;
}

static void
remove_folder(Folder *folder)
{
    StateFile_Free(folder->file);
    const char *const names[] = {NAME, NAME ".new"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(folder->path, names[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    assert_int_equal(g_rmdir(folder->path), 0);
    g_free(folder->path);
}

static void
save(StateFile *file, const char *text)
{
    StateFile_Save(file, g_bytes_new(text, strlen(text)));
}

/* Waits until the file has the content. */
static bool
becomes(const StateFile *file, const char *text)
{
    for (int i = 0; i < WAIT_MAX_MS; i++) {
        GBytes *content = StateFile_Load(file);
        bool equal =
            content != NULL && g_bytes_get_size(content) == strlen(text) &&
            memcmp(g_bytes_get_data(content, NULL), text, strlen(text)) == 0;
        if (content != NULL) {
            g_bytes_unref(content);
        }
        if (equal) {
            return true;
        }
        g_usleep(1000);
    }
    return false;
}

static void
content_is_read_back(void **state)
{
    Folder folder = make_folder();
    assert_null(StateFile_Load(folder.file));
    save(folder.file, "first");
    assert_true(becomes(folder.file, "first"));
    save(folder.file, "");
    assert_true(becomes(folder.file, ""));
    remove_folder(&folder);
}

static void
damaged_file_is_ignored(void **state)
{
    Folder folder = make_folder();
    save(folder.file, "content");
    assert_true(becomes(folder.file, "content"));
    char *path = g_build_filename(folder.path, NAME, NULL);
    char *data;
    gsize length;
    assert_true(g_file_get_contents(path, &data, &length, NULL));
    for (gsize i = 0; i < length; i++) {
        data[i] ^= 1;
        assert_true(g_file_set_contents(path, data, (gssize)length, NULL));
        assert_null(StateFile_Load(folder.file));
        data[i] ^= 1;
        assert_true(g_file_set_contents(path, data, (gssize)i, NULL));
        assert_null(StateFile_Load(folder.file));
    }
    g_free(data);
    g_free(path);
    remove_folder(&folder);
}

/* The file never goes back to content that was saved before. */
static void
saves_in_quick_succession_keep_their_order(void **state)
{
    Folder folder = make_folder();
    int newest = 0;
    for (int i = 1; i <= SAVES; i++) {
        char text[16];
        g_snprintf(text, sizeof(text), "%d", i);
        save(folder.file, text);
        GBytes *content = StateFile_Load(folder.file);
        if (content != NULL) {
            char *read = g_strndup(g_bytes_get_data(content, NULL),
                                   g_bytes_get_size(content));
            assert_true(atoi(read) >= newest);
            newest = atoi(read);
            g_free(read);
            g_bytes_unref(content);
        }
    }
    char last[16];
    g_snprintf(last, sizeof(last), "%d", SAVES);
    assert_true(becomes(folder.file, last));
    g_usleep(20 * 1000);
    assert_true(becomes(folder.file, last));
    remove_folder(&folder);
}

/* Guards against content that is never saved because the disk was full at that
 * moment, and against an older one that is saved late. */
static void
what_a_full_disk_refused_is_saved_later(void **state)
{
    Folder folder = make_folder();
    save(folder.file, "before");
    assert_true(becomes(folder.file, "before"));
    char *away = g_strconcat(folder.path, "-away", NULL);
    assert_int_equal(g_rename(folder.path, away), 0);
    save(folder.file, "refused");
    g_usleep(50 * 1000);
    save(folder.file, "newest");
    g_usleep(50 * 1000);
    assert_int_equal(g_rename(away, folder.path), 0);
    assert_true(becomes(folder.file, "newest"));
    g_usleep(700 * 1000);
    assert_true(becomes(folder.file, "newest"));
    g_free(away);
    remove_folder(&folder);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(content_is_read_back),
        cmocka_unit_test(damaged_file_is_ignored),
        cmocka_unit_test(saves_in_quick_succession_keep_their_order),
        cmocka_unit_test(what_a_full_disk_refused_is_saved_later),
    };
    return cmocka_run_group_tests_name("state_file", tests, NULL, NULL);
}
