/** @file
 * Rule book: array of accepted changes and queue of recent rule texts.
 */
#include "control/rulebook.h"

#include <string.h>

#include <glib.h>

#include "kernel/error.h"
#include "rules/delta.h"
#include "rules/rules.h"

typedef struct RuleText {
    uint64_t version;
    char *text;
    size_t length;
} RuleText;

struct Rulebook {
    GArray *history; /* of RulebookChange, oldest first */
    GQueue texts;    /* of RuleText, oldest first; the last one is in force */
    size_t text_bytes;
    char reply_text[320]; /* text of the last reply */
};

static void
free_rule_text(gpointer data)
{
    RuleText *text = data;
    g_free(text->text);
    g_free(text);
}

Rulebook *
Rulebook_New(void)
{
    Rulebook *book = g_new0(Rulebook, 1);
    book->history = g_array_new(FALSE, FALSE, sizeof(RulebookChange));
    g_queue_init(&book->texts);
    return book;
}

void
Rulebook_Free(Rulebook *book)
{
    g_queue_clear_full(&book->texts, free_rule_text);
    g_array_free(book->history, TRUE);
    g_free(book);
}

static const RuleText *
current_text(const Rulebook *book)
{
    return book->texts.tail == NULL ? NULL : book->texts.tail->data;
}

uint64_t
Rulebook_Version(const Rulebook *book)
{
    const RuleText *text = current_text(book);
    return text == NULL ? 0 : text->version;
}

const char *
Rulebook_Text(const Rulebook *book)
{
    const RuleText *text = current_text(book);
    return text == NULL ? "" : text->text;
}

const char *
Rulebook_FindText(const Rulebook *book, uint64_t version)
{
    for (GList *node = book->texts.tail; node != NULL; node = node->prev) {
        const RuleText *text = node->data;
        if (text->version == version) {
            return text->text;
        }
    }
    return NULL;
}

size_t
Rulebook_HistoryCount(const Rulebook *book)
{
    return book->history->len;
}

const RulebookChange *
Rulebook_ChangeAt(const Rulebook *book, size_t position)
{
    INVARIANT(position < book->history->len);
    return &g_array_index(book->history, RulebookChange, position);
}

static void
add_text(Rulebook *book, uint64_t version, char *text)
{
    RuleText *added = g_new(RuleText, 1);
    added->version = version;
    added->text = text;
    added->length = strlen(text);
    g_queue_push_tail(&book->texts, added);
    book->text_bytes += added->length;
    while (book->texts.length > 1 &&
           (book->texts.length > RULEBOOK_TEXTS_MAX + 1 ||
            book->text_bytes - added->length > RULEBOOK_TEXTS_MAX_BYTES))
    {
        RuleText *oldest = g_queue_pop_head(&book->texts);
        book->text_bytes -= oldest->length;
        free_rule_text(oldest);
    }
}

static void
add_change(Rulebook *book, const RulebookChange *change)
{
    if (book->history->len == RULEBOOK_HISTORY_MAX) {
        g_array_remove_index(book->history, 0);
    }
    g_array_append_val(book->history, *change);
}

static void
fill_error(Rulebook *book, Wire__CommandReply *reply, int code)
{
    reply->code = code;
    reply->text = book->reply_text;
}

static void
fill_conflict(Rulebook *book, const Wire__Command *command,
              Wire__CommandReply *reply)
{
    const char *last_author = "nobody";
    if (book->history->len > 0) {
        last_author = Rulebook_ChangeAt(book, book->history->len - 1)->author;
    }
    g_snprintf(book->reply_text, sizeof(book->reply_text),
               "Version %" G_GUINT64_FORMAT
               " by %s is in force; this change was based on version "
               "%" G_GUINT64_FORMAT ".",
               Rulebook_Version(book), last_author, command->base_version);
    fill_error(book, reply, ERR_CONFLICT);
    reply->version = Rulebook_Version(book);
}

/* Returns the rule text of the command, to be freed with g_free, or NULL when
 * its delta does not apply to the rules in force. */
static char *
resolve_text(const Rulebook *book, const Wire__Command *command)
{
    const Wire__RulesDelta *wire_delta = command->delta;
    if (wire_delta == NULL) {
        return g_strdup(command->text);
    }
    RulesDelta delta = {
        .prefix = wire_delta->prefix,
        .suffix = wire_delta->suffix,
        .middle = (const char *)wire_delta->middle.data,
        .middle_length = wire_delta->middle.len,
        .hash = wire_delta->hash,
    };
    return RulesDelta_Apply(Rulebook_Text(book), &delta);
}

/* Checks the author and the text of a change. Fills the reply with the error
 * and returns false when they are invalid. */
static bool
check_change(Rulebook *book, const Wire__Command *command, const char *text,
             Wire__CommandReply *reply)
{
    size_t author = strlen(command->author);
    if (author == 0 || author > RULEBOOK_AUTHOR_MAX_BYTES) {
        g_snprintf(book->reply_text, sizeof(book->reply_text),
                   "A change of the rules needs an author of 64 bytes.");
        fill_error(book, reply, ERR_INVALID);
        return false;
    }
    if (text == NULL) {
        g_snprintf(book->reply_text, sizeof(book->reply_text),
                   "The change does not fit its base version.");
        fill_error(book, reply, ERR_CORRUPT);
        return false;
    }
    RulesFault fault;
    size_t fault_count;
    Rules *rules = Rules_Parse(text, strlen(text), &fault, 1, &fault_count);
    if (rules == NULL) {
        g_snprintf(book->reply_text, sizeof(book->reply_text), "%u:%u: %s",
                   fault.line, fault.column, fault.text);
        fill_error(book, reply, ERR_INVALID);
        return false;
    }
    Rules_Unref(rules);
    return true;
}

static void
add_version(Rulebook *book, uint64_t index, const Wire__Command *command,
            char *text)
{
    RulebookChange change = {
        .version = index,
        .wall_ms = command->wall_ms,
        .bytes = strlen(text),
    };
    g_strlcpy(change.author, command->author, sizeof(change.author));
    add_change(book, &change);
    add_text(book, index, text);
}

void
Rulebook_Apply(Rulebook *book, uint64_t index, const Wire__Command *command,
               Wire__CommandReply *reply)
{
    if (command->base_version != Rulebook_Version(book)) {
        fill_conflict(book, command, reply);
        return;
    }
    char *text = resolve_text(book, command);
    if (!check_change(book, command, text, reply)) {
        g_free(text);
        return;
    }
    add_version(book, index, command, text);
    reply->version = index;
}

void
Rulebook_MakeDelta(const Rulebook *book, Wire__Command *command,
                   Wire__RulesDelta *delta)
{
    if (command->base_version == 0 ||
        command->base_version != Rulebook_Version(book))
    {
        return;
    }
    RulesDelta diff = RulesDelta_Make(Rulebook_Text(book), command->text);
    wire__rules_delta__init(delta);
    delta->prefix = diff.prefix;
    delta->suffix = diff.suffix;
    delta->middle.data = (uint8_t *)diff.middle;
    delta->middle.len = diff.middle_length;
    delta->hash = diff.hash;
    command->delta = delta;
    command->text = "";
}

static void
save_history(const Rulebook *book, State__Snapshot *snapshot)
{
    snapshot->n_history = book->history->len;
    snapshot->history = g_new0(State__Change *, book->history->len);
    for (guint i = 0; i < book->history->len; i++) {
        const RulebookChange *change = Rulebook_ChangeAt(book, i);
        State__Change *record = g_new(State__Change, 1);
        state__change__init(record);
        record->version = change->version;
        record->author = (char *)change->author;
        record->wall_ms = change->wall_ms;
        record->bytes = change->bytes;
        snapshot->history[i] = record;
    }
}

void
Rulebook_Save(const Rulebook *book, State__Snapshot *snapshot)
{
    save_history(book, snapshot);
    snapshot->texts = g_new0(State__RuleText *, book->texts.length);
    for (GList *node = book->texts.head; node != NULL; node = node->next) {
        const RuleText *text = node->data;
        State__RuleText *record = g_new(State__RuleText, 1);
        state__rule_text__init(record);
        record->version = text->version;
        record->text = text->text;
        snapshot->texts[snapshot->n_texts++] = record;
    }
}

int
Rulebook_Load(Rulebook *book, const State__Snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_history; i++) {
        const State__Change *record = snapshot->history[i];
        RulebookChange change = {
            .version = record->version,
            .wall_ms = record->wall_ms,
            .bytes = record->bytes,
        };
        g_strlcpy(change.author, record->author, sizeof(change.author));
        add_change(book, &change);
    }
    for (size_t i = 0; i < snapshot->n_texts; i++) {
        const State__RuleText *record = snapshot->texts[i];
        if (record->version <= Rulebook_Version(book)) {
            return ERR_CORRUPT;
        }
        add_text(book, record->version, g_strdup(record->text));
    }
    return ERR_OK;
}
