/** @file
 * Crash table: hash table by subject, with one queue of subjects with few
 * crashes and one of those that may be barred, both in order of their newest
 * crash.
 */
#include "sched/crash_table.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Slots of each table of acquittals; a newer one replaces an older one that
 * has the same slot. */
#define ACQUITTALS_MAX 4096
/* Newest ends of endpoints stored, to tell how many a subject explains. */
#define ENDS_MAX 64
/* Crashes are reported with ages in whole seconds. */
#define AGE_PRECISION_US US_PER_S

/* Whether a subject is to be barred. */
typedef struct Verdict {
    uint64_t generation; /* of the table when it was made; 0 if never */
    bool barred;
    bool in_doubt; /* other subjects may explain its crashes */
} Verdict;

typedef struct Suspect {
    Subject subject;
    TimeUs newest_at;
    bool tried; /* sent once more while it was barred */
    Verdict verdict;
    unsigned count;                    /* of crashes, the newest only */
    Crash crashes[CRASHES_STORED_MAX]; /* newest last */
    GList node; /* in CrashTable.few or CrashTable.many */
} Suspect;

typedef struct Acquittal {
    uint64_t hash;
    TimeUs at;
} Acquittal;

typedef struct End {
    uint64_t incarnation;
    TimeUs at;
} End;

struct CrashTable {
    GHashTable *by_hash; /* the hashes of requests and of parts differ */
    GQueue few;          /* fewer than CRASHES_TO_BAR crashes, oldest first */
    GQueue many;         /* the others, oldest first */
    uint64_t generation; /* changes with every crash and acquittal */
    uint64_t displaced;
    End ends[ENDS_MAX]; /* ring */
    uint64_t end_count; /* ends added so far */
    Acquittal requests[ACQUITTALS_MAX];
    Acquittal parts[ACQUITTALS_MAX];
};

CrashTable *
CrashTable_New(void)
{
    CrashTable *table = g_new0(CrashTable, 1);
    table->by_hash =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&table->few);
    g_queue_init(&table->many);
    table->generation = 1;
    return table;
}

void
CrashTable_Free(CrashTable *table)
{
    g_hash_table_destroy(table->by_hash);
    g_free(table);
}

uint64_t
CrashTable_Incarnation(const char *endpoint_id, uint64_t born)
{
    return XXH3_64bits_withSeed(endpoint_id, strlen(endpoint_id), born);
}

static Suspect *
find_suspect(const CrashTable *table, Subject subject)
{
    return g_hash_table_lookup(table->by_hash, &subject.hash);
}

static GQueue *
queue_of(CrashTable *table, const Suspect *suspect)
{
    return suspect->count >= CRASHES_TO_BAR ? &table->many : &table->few;
}

static void
remove_suspect(CrashTable *table, Suspect *suspect)
{
    g_queue_unlink(queue_of(table, suspect), &suspect->node);
    g_hash_table_remove(table->by_hash, &suspect->subject.hash);
}

/* ---- Acquittals ---- */

static const Acquittal *
acquittal_slot(const CrashTable *table, Subject subject)
{
    const Acquittal *slots = subject.is_part ? table->parts : table->requests;
    return &slots[subject.hash % ACQUITTALS_MAX];
}

static const Acquittal *
find_acquittal(const CrashTable *table, Subject subject)
{
    const Acquittal *slot = acquittal_slot(table, subject);
    return slot->at != 0 && slot->hash == subject.hash ? slot : NULL;
}

static bool
is_in_force(const Acquittal *acquittal, Subject subject, TimeUs now)
{
    return now - acquittal->at <= (subject.is_part ? CRASHES_PART_ACQUITTAL_US
                                                   : CRASHES_ACQUITTAL_US);
}

/* ---- Crashes ---- */

/* Inserts the suspect into its queue by its newest crash, which is among the
 * newest of all except for crashes that are learnt late. */
static void
insert_suspect(CrashTable *table, Suspect *suspect)
{
    GQueue *queue = queue_of(table, suspect);
    GList *after = queue->tail;
    while (after != NULL &&
           ((const Suspect *)after->data)->newest_at > suspect->newest_at)
    {
        after = after->prev;
    }
    if (after == NULL) {
        g_queue_push_head_link(queue, &suspect->node);
    }
    else {
        g_queue_insert_after_link(queue, after, &suspect->node);
    }
}

static void
expire_queue(CrashTable *table, GQueue *queue, TimeUs retention, TimeUs now)
{
    Suspect *oldest;
    while (
        (oldest = g_queue_peek_head(queue)) != NULL &&
        (now - oldest->newest_at > retention || queue->length > CRASHES_MAX))
    {
        table->displaced += now - oldest->newest_at > retention ? 0 : 1;
        remove_suspect(table, oldest);
    }
}

static bool
has_crash(const Suspect *suspect, uint64_t incarnation)
{
    for (unsigned i = 0; i < suspect->count; i++) {
        if (suspect->crashes[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

/* Returns whether the crash is stored, or is older than all of a full list and
 * may have been removed from it. */
static bool
is_known(const Suspect *suspect, const Crash *crash)
{
    if (has_crash(suspect, crash->incarnation)) {
        return true;
    }
    return suspect->count == CRASHES_STORED_MAX &&
           crash->at <= suspect->crashes[0].at;
}

static void
store_crash(Suspect *suspect, const Crash *crash)
{
    if (suspect->count == CRASHES_STORED_MAX) {
        suspect->count--;
        memmove(&suspect->crashes[0], &suspect->crashes[1],
                suspect->count * sizeof(Crash));
    }
    suspect->crashes[suspect->count++] = *crash;
    suspect->newest_at = MAX(suspect->newest_at, crash->at);
}

/* Records the end of an endpoint, unless it is among the newest. */
static void
add_end(CrashTable *table, const Crash *crash)
{
    for (size_t i = 0; i < MIN(table->end_count, ENDS_MAX); i++) {
        if (table->ends[i].incarnation == crash->incarnation) {
            table->ends[i].at = MIN(table->ends[i].at, crash->at);
            return;
        }
    }
    table->ends[table->end_count++ % ENDS_MAX] =
        (End){.incarnation = crash->incarnation, .at = crash->at};
}

bool
CrashTable_AddCrash(CrashTable *table, const Crash *crash, TimeUs now)
{
    add_end(table, crash);
    const Acquittal *acquittal = find_acquittal(table, crash->subject);
    if (acquittal != NULL && (crash->at <= acquittal->at ||
                              is_in_force(acquittal, crash->subject, now)))
    {
        return false;
    }
    Suspect *suspect = find_suspect(table, crash->subject);
    if (suspect == NULL) {
        suspect = g_new0(Suspect, 1);
        suspect->subject = crash->subject;
        suspect->newest_at = crash->at;
        suspect->node.data = suspect;
        g_hash_table_insert(table->by_hash, &suspect->subject.hash, suspect);
    }
    else if (is_known(suspect, crash)) {
        return false;
    }
    else {
        g_queue_unlink(queue_of(table, suspect), &suspect->node);
    }
    store_crash(suspect, crash);
    table->generation++;
    insert_suspect(table, suspect);
    expire_queue(table, &table->few, CRASHES_WINDOW_US, now);
    expire_queue(table, &table->many, 2 * CRASHES_BAR_MAX_US, now);
    return true;
}

bool
CrashTable_Acquit(CrashTable *table, Subject subject, TimeUs now)
{
    CrashTable_RestoreAcquittal(table, subject, now);
    Suspect *suspect = find_suspect(table, subject);
    if (suspect == NULL) {
        return false;
    }
    table->generation++;
    remove_suspect(table, suspect);
    return true;
}

bool
CrashTable_IsAcquitted(const CrashTable *table, Subject subject, TimeUs now)
{
    const Acquittal *acquittal = find_acquittal(table, subject);
    return acquittal != NULL && is_in_force(acquittal, subject, now);
}

unsigned
CrashTable_CrashCount(const CrashTable *table, Subject subject)
{
    const Suspect *suspect = find_suspect(table, subject);
    return suspect == NULL ? 0 : suspect->count;
}

/* ---- Verdicts ---- */

/* Returns whether @p a explains the crashes of @p b if it has all of them. Of
 * a request and its own parts that crashed the same endpoints, the request is
 * the narrower explanation. One request never explains the crashes of another,
 * as that would put off barring it. */
static bool
outranks(const Suspect *a, const Suspect *b)
{
    if (!a->subject.is_part && !b->subject.is_part) {
        return false;
    }
    return a->count != b->count ? a->count > b->count
                                : !a->subject.is_part && b->subject.is_part;
}

/* Returns whether all crashes of @p b are crashes of @p a too. */
static bool
has_crashes_of(const Suspect *a, const Suspect *b)
{
    for (unsigned i = 0; i < b->count; i++) {
        if (!has_crash(a, b->crashes[i].incarnation)) {
            return false;
        }
    }
    return true;
}

/* Returns whether the suspect crashed at least half of the endpoints that
 * ended since its first crash. */
static bool
explains_most_ends(const CrashTable *table, const Suspect *suspect)
{
    TimeUs since = suspect->crashes[0].at - AGE_PRECISION_US;
    size_t ends = 0;
    for (size_t i = 0; i < MIN(table->end_count, ENDS_MAX); i++) {
        ends += table->ends[i].at >= since ? 1 : 0;
    }
    return 2 * suspect->count >= ends;
}

static const Verdict *
judge(const CrashTable *table, Suspect *suspect)
{
    Verdict *verdict = &suspect->verdict;
    if (verdict->generation == table->generation) {
        return verdict;
    }
    bool explained = false;
    bool has_rival = false;
    for (const GList *node = table->many.head; node != NULL; node = node->next)
    {
        const Suspect *other = node->data;
        if (other != suspect && has_crashes_of(other, suspect)) {
            explained = explained || outranks(other, suspect);
            has_rival = has_rival || other->subject.is_part;
        }
    }
    verdict->generation = table->generation;
    verdict->in_doubt = suspect->subject.is_part &&
                        (has_rival || !explains_most_ends(table, suspect));
    verdict->barred =
        !explained &&
        suspect->count >=
            (verdict->in_doubt ? CRASHES_TO_BAR_IN_DOUBT : CRASHES_TO_BAR);
    return verdict;
}

bool
CrashTable_IsBarred(CrashTable *table, Subject subject, TimeUs now)
{
    Suspect *suspect = find_suspect(table, subject);
    if (suspect == NULL || suspect->count < CRASHES_TO_BAR) {
        return false;
    }
    unsigned doublings = MIN(suspect->count - CRASHES_TO_BAR, 5);
    TimeUs span = MIN(CRASHES_BAR_FIRST_US << doublings, CRASHES_BAR_MAX_US);
    return now - suspect->newest_at <= span && judge(table, suspect)->barred;
}

bool
CrashTable_MayTry(CrashTable *table, Subject subject, TimeUs now, bool take)
{
    Suspect *suspect = find_suspect(table, subject);
    if (suspect == NULL || suspect->tried ||
        (!subject.is_part && suspect->count != CRASHES_TO_BAR) ||
        !suspect->crashes[suspect->count - 1].own)
    {
        return false;
    }
    TimeUs delay = judge(table, suspect)->in_doubt
                       ? CRASHES_TRIAL_DELAY_IN_DOUBT_US
                       : CRASHES_TRIAL_DELAY_US;
    if (now - suspect->newest_at < delay) {
        return false;
    }
    suspect->tried = take;
    return true;
}

bool
CrashTable_HasAny(const CrashTable *table)
{
    return g_hash_table_size(table->by_hash) > 0;
}

size_t
CrashTable_Count(const CrashTable *table, bool many)
{
    return many ? table->many.length : table->few.length;
}

uint64_t
CrashTable_Displaced(const CrashTable *table)
{
    return table->displaced;
}

void
CrashTable_ForEach(const CrashTable *table,
                   void (*visit)(void *arg, const Crash *crash), void *arg)
{
    const GQueue *queues[] = {&table->many, &table->few};
    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *node = queues[i]->tail; node != NULL; node = node->prev) {
            const Suspect *suspect = node->data;
            for (unsigned j = 0; j < suspect->count; j++) {
                visit(arg, &suspect->crashes[j]);
            }
        }
    }
}

void
CrashTable_Save(const CrashTable *table, TimeUs now,
                const CrashTableVisitor *visitor, void *arg)
{
    const GQueue *queues[] = {&table->many, &table->few};
    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *node = queues[i]->head; node != NULL; node = node->next) {
            const Suspect *suspect = node->data;
            for (unsigned j = 0; j < suspect->count; j++) {
                visitor->crash(arg, &suspect->crashes[j]);
            }
        }
    }
    for (size_t i = 0; i < ACQUITTALS_MAX; i++) {
        const Acquittal *acquittal = &table->parts[i];
        Subject subject = {.hash = acquittal->hash, .is_part = true};
        if (acquittal->at != 0 && is_in_force(acquittal, subject, now)) {
            visitor->acquittal(arg, subject, acquittal->at);
        }
    }
    uint64_t first =
        table->end_count > ENDS_MAX ? table->end_count - ENDS_MAX : 0;
    for (uint64_t i = first; i < table->end_count; i++) {
        const End *end = &table->ends[i % ENDS_MAX];
        visitor->end(arg, end->incarnation, end->at);
    }
}

void
CrashTable_RestoreAcquittal(CrashTable *table, Subject subject, TimeUs at)
{
    Acquittal *slots = subject.is_part ? table->parts : table->requests;
    slots[subject.hash % ACQUITTALS_MAX] =
        (Acquittal){.hash = subject.hash, .at = at};
}

void
CrashTable_RestoreEnd(CrashTable *table, uint64_t incarnation, TimeUs at)
{
    add_end(table, &(Crash){.incarnation = incarnation, .at = at});
}
