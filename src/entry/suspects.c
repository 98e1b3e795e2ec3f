/** @file
 * Requests and parts of prompts that crashed endpoints, as listed by control.
 * A suspect request runs alone at its endpoint; one that is quarantined, or
 * has a quarantined part, is refused.
 */
#include "entry/state.h"

struct Suspects {
    uint64_t version;
    GHashTable *quarantined; /* set of fingerprints and hashes of parts */
    GHashTable *suspected;   /* set of fingerprints */
};

static GHashTable *
new_set(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

Suspects *
EntrySuspects_New(void)
{
    Suspects *suspects = g_new0(Suspects, 1);
    suspects->quarantined = new_set();
    suspects->suspected = new_set();
    return suspects;
}

void
EntrySuspects_Free(Suspects *suspects)
{
    g_hash_table_destroy(suspects->quarantined);
    g_hash_table_destroy(suspects->suspected);
    g_free(suspects);
}

uint64_t
EntrySuspects_Version(const Suspects *suspects)
{
    return suspects->version;
}

void
EntrySuspects_Set(Suspects *suspects, const Wire__Quarantine *list)
{
    if (list->version <= suspects->version) {
        return;
    }
    suspects->version = list->version;
    g_hash_table_remove_all(suspects->quarantined);
    g_hash_table_remove_all(suspects->suspected);
    for (size_t i = 0; i < list->n_entries; i++) {
        const Wire__QuarantineEntry *item = list->entries[i];
        if (item->is_part && !item->quarantined) {
            continue;
        }
        GHashTable *set =
            item->quarantined ? suspects->quarantined : suspects->suspected;
        g_hash_table_add(
            set, g_memdup2(&item->fingerprint, sizeof(item->fingerprint)));
    }
}

bool
EntrySuspects_Check(const Suspects *suspects, const Subjects *subjects,
                    bool *alone)
{
    *alone = g_hash_table_contains(suspects->suspected, &subjects->request);
    for (uint32_t i = 0; i < subject_count(subjects); i++) {
        Subject subject = subject_at(subjects, i);
        if (g_hash_table_contains(suspects->quarantined, &subject.hash)) {
            return true;
        }
    }
    return false;
}
