/** @file
 * Quarantine: hash table by fingerprint, with one queue of suspects and one of
 * quarantined fingerprints, both in order of last crash.
 */
#include "control/quarantine.h"

#include <string.h>

#include <glib.h>

#define REASON_MAX_BYTES 64
#define CRASHES_TO_QUARANTINE 2

typedef struct Suspect {
    uint64_t fingerprint;
    uint32_t crashes;
    bool quarantined;
    uint64_t last_crash_ms;
    char reason[REASON_MAX_BYTES + 1];
    GList node; /* in Quarantine.suspects or Quarantine.quarantined */
} Suspect;

struct Quarantine {
    GHashTable *by_fingerprint;
    GQueue suspects;    /* oldest crash first */
    GQueue quarantined; /* oldest crash first */
};

Quarantine *
Quarantine_New(void)
{
    Quarantine *quarantine = g_new0(Quarantine, 1);
    quarantine->by_fingerprint =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&quarantine->suspects);
    g_queue_init(&quarantine->quarantined);
    return quarantine;
}

void
Quarantine_Free(Quarantine *quarantine)
{
    g_hash_table_destroy(quarantine->by_fingerprint);
    g_free(quarantine);
}

static GQueue *
queue_of(Quarantine *quarantine, const Suspect *suspect)
{
    return suspect->quarantined ? &quarantine->quarantined
                                : &quarantine->suspects;
}

static void
remove_suspect(Quarantine *quarantine, Suspect *suspect)
{
    g_queue_unlink(queue_of(quarantine, suspect), &suspect->node);
    g_hash_table_remove(quarantine->by_fingerprint, &suspect->fingerprint);
}

static bool
expire_queue(Quarantine *quarantine, GQueue *queue, uint64_t retention_ms,
             uint64_t clock_ms)
{
    bool changed = false;
    Suspect *oldest;
    while ((oldest = g_queue_peek_head(queue)) != NULL &&
           oldest->last_crash_ms + retention_ms <= clock_ms)
    {
        remove_suspect(quarantine, oldest);
        changed = true;
    }
    return changed;
}

bool
Quarantine_Expire(Quarantine *quarantine, uint64_t clock_ms)
{
    bool suspects = expire_queue(quarantine, &quarantine->suspects,
                                 QUARANTINE_SUSPECT_WINDOW_MS, clock_ms);
    bool quarantined = expire_queue(quarantine, &quarantine->quarantined,
                                    QUARANTINE_DURATION_MS, clock_ms);
    return suspects || quarantined;
}

static Suspect *
add_suspect(Quarantine *quarantine, uint64_t fingerprint)
{
    Suspect *suspect = g_new0(Suspect, 1);
    suspect->fingerprint = fingerprint;
    suspect->node.data = suspect;
    g_hash_table_insert(quarantine->by_fingerprint, &suspect->fingerprint,
                        suspect);
    return suspect;
}

/* Appends the record to its queue. Removes the oldest record of a full queue
 * first. */
static void
append_to_queue(Quarantine *quarantine, Suspect *suspect)
{
    GQueue *queue = queue_of(quarantine, suspect);
    if (queue->length == QUARANTINE_MAX) {
        remove_suspect(quarantine, g_queue_peek_head(queue));
    }
    g_queue_push_tail_link(queue, &suspect->node);
}

static void
count_crash(Quarantine *quarantine, uint64_t fingerprint, const char *endpoint,
            uint64_t clock_ms)
{
    Suspect *suspect =
        g_hash_table_lookup(quarantine->by_fingerprint, &fingerprint);
    if (suspect == NULL) {
        suspect = add_suspect(quarantine, fingerprint);
    }
    else {
        g_queue_unlink(queue_of(quarantine, suspect), &suspect->node);
    }
    suspect->crashes++;
    suspect->quarantined = suspect->crashes >= CRASHES_TO_QUARANTINE;
    suspect->last_crash_ms = clock_ms;
    g_strlcpy(suspect->reason, endpoint, sizeof(suspect->reason));
    append_to_queue(quarantine, suspect);
}

void
Quarantine_RecordCrash(Quarantine *quarantine, const uint64_t *fingerprints,
                       size_t count, const char *endpoint, uint64_t clock_ms)
{
    GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (size_t i = 0; i < count; i++) {
        if (g_hash_table_add(seen, (gpointer)&fingerprints[i])) {
            count_crash(quarantine, fingerprints[i], endpoint, clock_ms);
        }
    }
    g_hash_table_destroy(seen);
}

bool
Quarantine_Clear(Quarantine *quarantine, const uint64_t *fingerprints,
                 size_t count)
{
    bool changed = false;
    for (size_t i = 0; i < count; i++) {
        Suspect *suspect =
            g_hash_table_lookup(quarantine->by_fingerprint, &fingerprints[i]);
        if (suspect != NULL && !suspect->quarantined) {
            remove_suspect(quarantine, suspect);
            changed = true;
        }
    }
    return changed;
}

size_t
Quarantine_Lift(Quarantine *quarantine, const uint64_t *fingerprints,
                size_t count)
{
    size_t lifted = 0;
    for (size_t i = 0; i < count; i++) {
        Suspect *suspect =
            g_hash_table_lookup(quarantine->by_fingerprint, &fingerprints[i]);
        if (suspect != NULL) {
            remove_suspect(quarantine, suspect);
            lifted++;
        }
    }
    return lifted;
}

size_t
Quarantine_Count(const Quarantine *quarantine)
{
    return g_hash_table_size(quarantine->by_fingerprint);
}

static Wire__QuarantineEntry *
make_entry(Suspect *suspect)
{
    Wire__QuarantineEntry *entry = g_new(Wire__QuarantineEntry, 1);
    wire__quarantine_entry__init(entry);
    entry->fingerprint = suspect->fingerprint;
    entry->crashes = suspect->crashes;
    entry->quarantined = suspect->quarantined;
    entry->reason = suspect->reason;
    return entry;
}

Wire__QuarantineEntry **
Quarantine_List(const Quarantine *quarantine, size_t *count)
{
    Wire__QuarantineEntry **entries =
        g_new0(Wire__QuarantineEntry *, Quarantine_Count(quarantine));
    const GQueue *queues[] = {&quarantine->suspects, &quarantine->quarantined};
    *count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *node = queues[i]->head; node != NULL; node = node->next) {
            entries[(*count)++] = make_entry(node->data);
        }
    }
    return entries;
}

static State__Suspect *
save_suspect(Suspect *suspect)
{
    State__Suspect *record = g_new(State__Suspect, 1);
    state__suspect__init(record);
    record->fingerprint = suspect->fingerprint;
    record->crashes = suspect->crashes;
    record->quarantined = suspect->quarantined;
    record->last_ms = suspect->last_crash_ms;
    record->reason = suspect->reason;
    return record;
}

void
Quarantine_Save(const Quarantine *quarantine, State__Snapshot *snapshot)
{
    const GQueue *queues[] = {&quarantine->suspects, &quarantine->quarantined};
    snapshot->n_suspects = 0;
    snapshot->suspects =
        g_new0(State__Suspect *, Quarantine_Count(quarantine));
    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *node = queues[i]->head; node != NULL; node = node->next) {
            snapshot->suspects[snapshot->n_suspects++] =
                save_suspect(node->data);
        }
    }
}

void
Quarantine_Load(Quarantine *quarantine, const State__Snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_suspects; i++) {
        const State__Suspect *record = snapshot->suspects[i];
        if (g_hash_table_contains(quarantine->by_fingerprint,
                                  &record->fingerprint)) {
            continue;
        }
        Suspect *suspect = add_suspect(quarantine, record->fingerprint);
        suspect->crashes = record->crashes;
        suspect->quarantined = record->quarantined;
        suspect->last_crash_ms = record->last_ms;
        g_strlcpy(suspect->reason, record->reason, sizeof(suspect->reason));
        append_to_queue(quarantine, suspect);
    }
}
