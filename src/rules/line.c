/** @file
 * Parser for one line of a rule file: words, options and the comment that
 * names the author.
 */
#include "rules/line.h"

#include <string.h>

#include <glib.h>
#include <sodium.h>

#define WORDS_MAX 12
#define LINE_MAX_BYTES 1024
#define AUTHOR_PREFIX "asked by "
#define DUPLICATE_OPTION "This option is given twice."

typedef struct Word {
    char *text;
    unsigned column;
} Word;

typedef struct Words {
    char buffer[LINE_MAX_BYTES + 1];
    Word words[WORDS_MAX];
    unsigned count;
    bool has_author;
} Words;

/* Removes the comment and sets has_author if it names an author. */
static void
remove_comment(Words *words)
{
    char *comment = strchr(words->buffer, '#');
    if (comment == NULL) {
        return;
    }
    const char *author = strstr(comment, AUTHOR_PREFIX);
    if (author != NULL) {
        author += strlen(AUTHOR_PREFIX);
        words->has_author = *author != '\0' && !g_ascii_isspace(*author);
    }
    *comment = '\0';
}

static const char *
split_words(const char *text, size_t length, Words *words, unsigned *column)
{
    if (length > LINE_MAX_BYTES) {
        *column = LINE_MAX_BYTES;
        return "The line is longer than 1024 bytes.";
    }
    if (memchr(text, '\0', length) != NULL) {
        return "The line contains a NUL byte.";
    }
    memcpy(words->buffer, text, length);
    words->buffer[length] = '\0';
    remove_comment(words);
    char *cursor = words->buffer;
    while (true) {
        cursor += strspn(cursor, " \t\r");
        if (*cursor == '\0') {
            return NULL;
        }
        if (words->count == WORDS_MAX) {
            *column = (unsigned)(cursor - words->buffer) + 1;
            return "The line has more than 12 words.";
        }
        Word *word = &words->words[words->count++];
        word->text = cursor;
        word->column = (unsigned)(cursor - words->buffer) + 1;
        cursor += strcspn(cursor, " \t\r");
        if (*cursor != '\0') {
            *cursor++ = '\0';
        }
    }
}

static bool
is_name(const char *text)
{
    size_t length = strlen(text);
    if (length == 0 || length > RULES_NAME_MAX) {
        return false;
    }
    for (const char *cursor = text; *cursor != '\0'; cursor++) {
        if (!g_ascii_isalnum(*cursor) && strchr("-_.:", *cursor) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
parse_number(const char *text, uint32_t highest, uint32_t *value)
{
    guint64 number;
    if (!g_ascii_string_to_unsigned(text, 10, 0, highest, &number, NULL)) {
        return false;
    }
    *value = (uint32_t)number;
    return true;
}

static bool
parse_key_hash(const char *text, uint8_t hash[RULES_KEY_HASH_BYTES])
{
    size_t length;
    const char *end;
    int result = sodium_hex2bin(hash, RULES_KEY_HASH_BYTES, text, strlen(text),
                                NULL, &length, &end);
    return result == 0 && *end == '\0' && length == RULES_KEY_HASH_BYTES;
}

/* Returns the value of a `key=value` word with this key, or NULL. */
static const char *
option_value(const char *word, const char *key)
{
    size_t length = strlen(key);
    if (strncmp(word, key, length) == 0 && word[length] == '=') {
        return word + length + 1;
    }
    return NULL;
}

/* Returns true when an earlier word, starting at @p first, has the same option
 * as the word @p index. */
static bool
is_duplicate_option(const Words *words, unsigned first, unsigned index)
{
    const char *word = words->words[index].text;
    size_t length = strcspn(word, "=");
    for (unsigned i = first; i < index; i++) {
        const char *earlier = words->words[i].text;
        if (strcspn(earlier, "=") == length &&
            strncmp(earlier, word, length) == 0) {
            return true;
        }
    }
    return false;
}

static const char *
parse_account_option(const char *word, RulesAccount *account, bool *has_key)
{
    const char *value = option_value(word, "key");
    if (value != NULL) {
        *has_key = true;
        return parse_key_hash(value, account->key_hash)
                   ? NULL
                   : "Expected key=HASH, 64 hex digits.";
    }
    value = option_value(word, "tier");
    if (value != NULL) {
        return parse_number(value, RULES_TIERS - 1, &account->tier)
                   ? NULL
                   : "Expected tier=0, 1, 2 or 3.";
    }
    const struct {
        const char *key;
        uint32_t *target;
    } numbers[] = {
        {"requests_s", &account->requests_s},
        {"tokens_s", &account->tokens_s},
        {"concurrent", &account->concurrent},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        value = option_value(word, numbers[i].key);
        if (value != NULL) {
            return parse_number(value, 1000000000, numbers[i].target)
                       ? NULL
                       : "Expected a whole number up to 1000000000.";
        }
    }
    return "Expected key=, tier=, requests_s=, tokens_s= or concurrent=.";
}

static const char *
parse_account(const Words *words, RulesLine *line, unsigned *column)
{
    line->kind = RULES_LINE_ACCOUNT;
    RulesAccount *account = &line->account;
    account->tier = RULES_TIERS - 1;
    if (words->count < 2 || !is_name(words->words[1].text)) {
        return "Expected: account NAME key=HASH tier=0..3.";
    }
    g_strlcpy(account->name, words->words[1].text, sizeof(account->name));
    bool has_key = false;
    for (unsigned i = 2; i < words->count; i++) {
        *column = words->words[i].column;
        if (is_duplicate_option(words, 2, i)) {
            return DUPLICATE_OPTION;
        }
        const char *fault =
            parse_account_option(words->words[i].text, account, &has_key);
        if (fault != NULL) {
            return fault;
        }
    }
    return has_key ? NULL : "Expected key=HASH for the account.";
}

static const char *
parse_path(const char *text, RulesRoute *route)
{
    size_t length = strlen(text);
    if (text[0] != '/' || length >= sizeof(route->path)) {
        return "Expected a path of at most 127 bytes that starts with '/'.";
    }
    g_strlcpy(route->path, text, sizeof(route->path));
    if (route->path[length - 1] == '*') {
        route->prefix = true;
        route->path[length - 1] = '\0';
    }
    return strchr(route->path, '*') == NULL
               ? NULL
               : "'*' is allowed only at the end of a path.";
}

static const char *
parse_service(const Words *words, RulesRoute *route, unsigned *column)
{
    bool has_idempotent = false;
    for (unsigned i = 3; i < words->count; i++) {
        const char *word = words->words[i].text;
        *column = words->words[i].column;
        if (is_duplicate_option(words, 3, i)) {
            return DUPLICATE_OPTION;
        }
        const char *name = option_value(word, "service");
        const char *idempotent = option_value(word, "idempotent");
        if (name != NULL && is_name(name)) {
            g_strlcpy(route->service, name, sizeof(route->service));
        }
        else if (idempotent != NULL && (strcmp(idempotent, "yes") == 0 ||
                                        strcmp(idempotent, "no") == 0))
        {
            has_idempotent = true;
            route->idempotent = idempotent[0] == 'y';
        }
        else {
            return "Expected service=NAME or idempotent=yes|no.";
        }
    }
    if (route->service[0] == '\0' || !has_idempotent) {
        return "Expected: route METHOD PATH service=NAME idempotent=yes|no.";
    }
    return NULL;
}

static const char *
parse_route(const Words *words, RulesLine *line, unsigned *column)
{
    static const char *const methods[] = {"GET", "POST", "PUT", "DELETE"};
    line->kind = RULES_LINE_ROUTE;
    RulesRoute *route = &line->route;
    if (words->count < 4) {
        return "Expected: route METHOD PATH model, or service=NAME.";
    }
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(words->words[1].text, methods[i]) == 0) {
            g_strlcpy(route->method, methods[i], sizeof(route->method));
        }
    }
    *column = words->words[1].column;
    if (route->method[0] == '\0') {
        return "Expected GET, POST, PUT or DELETE.";
    }
    *column = words->words[2].column;
    const char *fault = parse_path(words->words[2].text, route);
    if (fault != NULL) {
        return fault;
    }
    if (strcmp(words->words[3].text, "model") != 0) {
        return parse_service(words, route, column);
    }
    *column = words->words[3].column;
    route->is_model = true;
    route->idempotent = true;
    return words->count == 4 ? NULL : "Expected no words after 'model'.";
}

static const char *
parse_model(const Words *words, RulesLine *line, unsigned *column)
{
    line->kind = RULES_LINE_MODEL;
    if (words->count != 2 || !is_name(words->words[1].text)) {
        return "Expected: model NAME.";
    }
    *column = words->words[1].column;
    g_strlcpy(line->model, words->words[1].text, sizeof(line->model));
    return NULL;
}

const char *
RulesLine_Parse(const char *text, size_t length, RulesLine *line,
                unsigned *column)
{
    memset(line, 0, sizeof(*line));
    *column = 1;
    Words words = {.count = 0};
    const char *fault = split_words(text, length, &words, column);
    if (fault != NULL || words.count == 0) {
        return fault;
    }
    *column = words.words[0].column;
    const char *kind = words.words[0].text;
    if (strcmp(kind, "account") == 0) {
        fault = parse_account(&words, line, column);
    }
    else if (strcmp(kind, "model") == 0) {
        fault = parse_model(&words, line, column);
    }
    else if (strcmp(kind, "route") == 0) {
        fault = parse_route(&words, line, column);
    }
    else {
        return "Expected account, model or route.";
    }
    if (fault == NULL && !words.has_author) {
        *column = (unsigned)length + 1;
        return "Expected a comment: # asked by WHO.";
    }
    return fault;
}
