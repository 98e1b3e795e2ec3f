/** @file
 * Checks that the outcomes reported to callers agree with the requests that
 * endpoints ran.
 *
 *     check_records CALLERS ENDPOINT...
 *
 * CALLERS is the record of the load generator, with one JSON line for each
 * attempt; each ENDPOINT is the record of a fake endpoint. The program reports
 * each
 * - tag that ran more than once,
 * - tag that ran although the outcome of every attempt was "not_run",
 * - complete answer to a tag that never ran,
 * - answer with status 200 that is incomplete or lacks the tag,
 * - refusal (status 503) without Retry-After.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#define TAG "tag-"

/* Outcomes of all attempts with one tag, as reported to callers. */
typedef struct Told {
    bool answered; /* an attempt received a complete answer */
    bool open;     /* the outcome of an attempt was not "not_run" */
    bool filing;
} Told;

typedef struct Check {
    GHashTable *told; /* tag -> Told */
    GHashTable *ran;  /* tag -> number of runs */
    unsigned attempts;
    unsigned faults;
} Check;

static void
report(Check *check, const char *tag, const char *fault)
{
    printf("fault: %s: %s\n", tag, fault);
    check->faults++;
}

static Told *
told_of(Check *check, const char *tag)
{
    Told *told = g_hash_table_lookup(check->told, tag);
    if (told == NULL) {
        told = g_new0(Told, 1);
        g_hash_table_insert(check->told, g_strdup(tag), told);
    }
    return told;
}

static void
take_attempt(Check *check, const json_t *line)
{
    const char *tag = json_string_value(json_object_get(line, "tag"));
    const char *kind = json_string_value(json_object_get(line, "kind"));
    const char *outcome = json_string_value(json_object_get(line, "outcome"));
    json_int_t status = json_integer_value(json_object_get(line, "status"));
    json_int_t retry =
        json_integer_value(json_object_get(line, "retry_after_s"));
    bool whole = json_is_true(json_object_get(line, "whole"));
    Told *told = told_of(check, tag);
    check->attempts++;
    told->filing = strcmp(kind, "filing") == 0;
    told->answered |= whole;
    told->open |= strcmp(outcome, "not_run") != 0;
    if (status == 200 && !whole) {
        report(check, tag,
               "status 200, but the answer is incomplete or lacks the tag");
    }
    if (status == 503 && retry < 0) {
        report(check, tag, "status 503 without a Retry-After header");
    }
}

static bool
read_callers(Check *check, const char *path)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return false;
    }
    json_t *line;
    while ((line = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL)) != NULL) {
        take_attempt(check, line);
        json_decref(line);
    }
    fclose(file);
    return true;
}

static void
take_run(Check *check, const char *line)
{
    const char *start = strstr(line, TAG);
    if (strncmp(line, "ran ", 4) != 0 || start == NULL) {
        return;
    }
    size_t length = strlen(TAG);
    length += strspn(start + length, "0123456789-");
    char *tag = g_strndup(start, length);
    guint times = GPOINTER_TO_UINT(g_hash_table_lookup(check->ran, tag));
    g_hash_table_insert(check->ran, tag, GUINT_TO_POINTER(times + 1));
}

static bool
read_endpoint(Check *check, const char *path)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return false;
    }
    char *line = NULL;
    size_t size = 0;
    while (getline(&line, &size, file) > 0) {
        take_run(check, line);
    }
    free(line);
    fclose(file);
    return true;
}

static void
check_runs(Check *check)
{
    GHashTableIter iter;
    gpointer tag;
    gpointer times;
    g_hash_table_iter_init(&iter, check->ran);
    while (g_hash_table_iter_next(&iter, &tag, &times)) {
        const Told *told = g_hash_table_lookup(check->told, tag);
        if (GPOINTER_TO_UINT(times) > 1) {
            report(check, tag, "ran more than once");
        }
        if (told != NULL && !told->open) {
            report(check, tag,
                   "ran, but the outcome of every attempt was not_run");
        }
    }
}

static void
check_answers(Check *check)
{
    GHashTableIter iter;
    gpointer tag;
    gpointer value;
    g_hash_table_iter_init(&iter, check->told);
    while (g_hash_table_iter_next(&iter, &tag, &value)) {
        const Told *told = value;
        if (told->answered && !g_hash_table_contains(check->ran, tag)) {
            report(check, tag, "received a complete answer, but never ran");
        }
    }
}

int
main(int argc, char **argv)
{
    Check check = {.faults = 0};
    check.told =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    check.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (argc < 3 || !read_callers(&check, argv[1])) {
        fprintf(stderr, "usage: check_records CALLERS ENDPOINT...\n");
        return 2;
    }
    for (int i = 2; i < argc; i++) {
        if (!read_endpoint(&check, argv[i])) {
            fprintf(stderr, "check_records: cannot read %s\n", argv[i]);
            return 2;
        }
    }
    check_runs(&check);
    check_answers(&check);
    fprintf(stderr, "attempts=%u tags=%u ran=%u\n", check.attempts,
            g_hash_table_size(check.told), g_hash_table_size(check.ran));
    printf("%u faults\n", check.faults);
    g_hash_table_destroy(check.told);
    g_hash_table_destroy(check.ran);
    return check.faults == 0 ? 0 : 1;
}
