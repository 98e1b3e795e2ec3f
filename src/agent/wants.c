/** @file
 * Table of wants by request id, with a bounded list of ids that did not run.
 */
#include "agent/wants.h"

struct WantTable {
    GHashTable *infos; /* RequestId -> WantInfo */
    uint32_t capacity;
    GHashTable *not_run; /* RequestId -> its GList node in not_run_ids */
    GQueue not_run_ids;  /* of RequestId that did not run, oldest first */
};

WantTable *
Wants_New(uint32_t capacity)
{
    WantTable *wants = g_new0(WantTable, 1);
    wants->capacity = capacity;
    wants->infos = g_hash_table_new_full(RequestId_HashKey,
                                         RequestId_EqualKeys, NULL, g_free);
    wants->not_run = g_hash_table_new(RequestId_HashKey, RequestId_EqualKeys);
    g_queue_init(&wants->not_run_ids);
    return wants;
}

void
Wants_Free(WantTable *wants)
{
    g_hash_table_destroy(wants->infos);
    g_hash_table_destroy(wants->not_run);
    g_queue_clear_full(&wants->not_run_ids, g_free);
    g_free(wants);
}

void
Wants_Add(WantTable *wants, const WorkSpec *work, uint64_t owner, TimeUs now)
{
    if (Wants_Count(wants) >= wants->capacity ||
        g_hash_table_contains(wants->infos, &work->id))
    {
        return;
    }
    WantInfo *info = g_new0(WantInfo, 1);
    info->work = *work;
    info->owner = owner;
    info->arrived_at = now;
    g_hash_table_insert(wants->infos, &info->work.id, info);
}

WantInfo *
Wants_Find(WantTable *wants, RequestId id)
{
    return g_hash_table_lookup(wants->infos, &id);
}

void
Wants_Remove(WantTable *wants, RequestId id)
{
    g_hash_table_remove(wants->infos, &id);
}

void
Wants_RemoveOwner(WantTable *wants, uint64_t owner)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wants->infos);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const WantInfo *info = value;
        if (info->owner == owner) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
Wants_Expire(WantTable *wants, TimeUs now, TimeUs grant_ttl)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wants->infos);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const WantInfo *info = value;
        bool expired =
            info->granted_at != 0 && now >= info->granted_at + grant_ttl;
        if (expired || now >= info->work.deadline) {
            Wants_RecordNotRun(wants, info->work.id);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
remove_not_run(WantTable *wants, GList *node)
{
    RequestId *id = node->data;
    g_hash_table_remove(wants->not_run, id);
    g_queue_delete_link(&wants->not_run_ids, node);
    g_free(id);
}

void
Wants_RecordNotRun(WantTable *wants, RequestId id)
{
    if (g_hash_table_contains(wants->not_run, &id)) {
        return;
    }
    if (wants->not_run_ids.length >= wants->capacity) {
        remove_not_run(wants, wants->not_run_ids.head);
    }
    g_queue_push_tail(&wants->not_run_ids, g_memdup2(&id, sizeof(id)));
    g_hash_table_insert(wants->not_run, wants->not_run_ids.tail->data,
                        wants->not_run_ids.tail);
}

void
Wants_RecordRun(WantTable *wants, RequestId id)
{
    g_hash_table_remove(wants->infos, &id);
    GList *node = g_hash_table_lookup(wants->not_run, &id);
    if (node != NULL) {
        remove_not_run(wants, node);
    }
}

bool
Wants_DidNotRun(WantTable *wants, RequestId id)
{
    return g_hash_table_contains(wants->infos, &id) ||
           g_hash_table_contains(wants->not_run, &id);
}

uint32_t
Wants_Count(const WantTable *wants)
{
    return g_hash_table_size(wants->infos);
}

void
Wants_ForEach(WantTable *wants, void (*visit)(const WantInfo *info, void *arg),
              void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, wants->infos);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, arg);
    }
}
