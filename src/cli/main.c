/** @file
 * laurellift: the operators' command line.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "rules/rules.h"

#define EXIT_USAGE 2
#define FAULTS_SHOWN 20

static int
check_rules(const char *path)
{
    gchar *text;
    gsize length;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &length, &error)) {
        fprintf(stderr, "laurellift: %s\n", error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    RulesFault faults[FAULTS_SHOWN];
    size_t found;
    Rules *rules = Rules_Parse(text, length, faults, FAULTS_SHOWN, &found);
    g_free(text);
    for (size_t i = 0; i < found && i < FAULTS_SHOWN; i++) {
        printf("%s:%u:%u: %s\n", path, faults[i].line, faults[i].column,
               faults[i].text);
    }
    if (rules == NULL) {
        return EXIT_FAILURE;
    }
    printf("%s: %u accounts\n", path, Rules_AccountCount(rules));
    Rules_Unref(rules);
    return EXIT_SUCCESS;
}

static int
hash_key(const char *key)
{
    char hex[2 * RULES_KEY_HASH_BYTES + 1];
    Rules_HashKey(key, hex);
    printf("%s\n", hex);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    if (argc == 4 && strcmp(argv[1], "rules") == 0 &&
        strcmp(argv[2], "check") == 0)
    {
        return check_rules(argv[3]);
    }
    if (argc == 3 && strcmp(argv[1], "hash-key") == 0) {
        return hash_key(argv[2]);
    }
    fprintf(stderr, "usage: laurellift rules check FILE | hash-key KEY\n");
    return EXIT_USAGE;
}
