/** @file
 * Withdrawals of endpoints in the replicated state.
 */
#include "control/withdrawals.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/error.h"

struct Withdrawals {
    GHashTable *by_subject; /* subject -> Record */
};

typedef struct Record {
    char *left_boot;
    bool drained;
    uint64_t incarnation;
} Record;

static void
free_record(gpointer data)
{
    Record *record = data;
    g_free(record->left_boot);
    g_free(record);
}

Withdrawals *
Withdrawals_New(void)
{
    Withdrawals *withdrawals = g_new0(Withdrawals, 1);
    withdrawals->by_subject =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
    return withdrawals;
}

void
Withdrawals_Free(Withdrawals *withdrawals)
{
    g_hash_table_destroy(withdrawals->by_subject);
    g_free(withdrawals);
}

static void
add(Withdrawals *withdrawals, const char *subject, const char *left_boot,
    bool drained, uint64_t incarnation)
{
    Record *record = g_new0(Record, 1);
    *record = (Record){
        .left_boot = g_strdup(left_boot),
        .drained = drained,
        .incarnation = incarnation,
    };
    g_hash_table_replace(withdrawals->by_subject, g_strdup(subject), record);
}

void
Withdrawals_Apply(Withdrawals *withdrawals, const Wire__Command *command,
                  Wire__CommandReply *reply)
{
    const Wire__Withdrawal *withdrawal = command->withdrawal;
    size_t length = strlen(command->subject);
    if (withdrawal == NULL || length == 0 || length > WITHDRAWALS_TEXT_MAX ||
        strlen(withdrawal->left_boot) > WITHDRAWALS_TEXT_MAX)
    {
        reply->code = ERR_INVALID;
        reply->text = "A withdrawal needs a subject and texts of 64 bytes.";
        return;
    }
    const Record *known =
        g_hash_table_lookup(withdrawals->by_subject, command->subject);
    if (known != NULL && known->incarnation > command->incarnation) {
        reply->code = ERR_CONFLICT;
        reply->text = "An agent that started later has recorded another one.";
        return;
    }
    if (known == NULL &&
        g_hash_table_size(withdrawals->by_subject) >= WITHDRAWALS_MAX)
    {
        reply->code = ERR_FULL;
        reply->text = "The table of withdrawals is full.";
        return;
    }
    add(withdrawals, command->subject, withdrawal->left_boot,
        withdrawal->drained, command->incarnation);
}

bool
Withdrawals_Find(const Withdrawals *withdrawals, const char *subject,
                 Wire__Withdrawal *withdrawal)
{
    const Record *record =
        g_hash_table_lookup(withdrawals->by_subject, subject);
    wire__withdrawal__init(withdrawal);
    if (record == NULL) {
        return false;
    }
    withdrawal->left_boot = record->left_boot;
    withdrawal->drained = record->drained;
    return true;
}

static int
compare_subjects(const void *a, const void *b)
{
    const State__Withdrawal *const *first = a;
    const State__Withdrawal *const *second = b;
    return strcmp((*first)->subject, (*second)->subject);
}

void
Withdrawals_Save(const Withdrawals *withdrawals, State__Snapshot *snapshot)
{
    GHashTableIter iter;
    gpointer subject;
    gpointer value;
    size_t count = 0;
    snapshot->withdrawals = g_new0(
        State__Withdrawal *, g_hash_table_size(withdrawals->by_subject) + 1);
    g_hash_table_iter_init(&iter, withdrawals->by_subject);
    while (g_hash_table_iter_next(&iter, &subject, &value)) {
        const Record *record = value;
        State__Withdrawal *saved = g_new(State__Withdrawal, 1);
        state__withdrawal__init(saved);
        saved->subject = subject;
        saved->left_boot = record->left_boot;
        saved->drained = record->drained;
        saved->incarnation = record->incarnation;
        snapshot->withdrawals[count++] = saved;
    }
    snapshot->n_withdrawals = count;
    qsort(snapshot->withdrawals, count, sizeof(State__Withdrawal *),
          compare_subjects);
}

void
Withdrawals_Load(Withdrawals *withdrawals, const State__Snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_withdrawals; i++) {
        const State__Withdrawal *saved = snapshot->withdrawals[i];
        add(withdrawals, saved->subject, saved->left_boot, saved->drained,
            saved->incarnation);
    }
}
