/** @file
 * Roll-outs of services to versions of their software: records, their wire
 * form and the table of all services.
 */
#include "routes/rollout.h"

#include <string.h>

struct RolloutTable {
    GHashTable *by_service; /* service -> Rollout */
};

static Rollout *
new_rollout(const char *service, const char *target)
{
    Rollout *rollout = g_new0(Rollout, 1);
    rollout->service = g_strdup(service);
    rollout->target = g_strdup(target);
    rollout->verdict = g_strdup("");
    rollout->barred = g_ptr_array_new_with_free_func(g_free);
    return rollout;
}

Rollout *
Rollout_Copy(const Rollout *rollout)
{
    Rollout *copy = new_rollout(rollout->service, rollout->target);
    copy->ordered_at_ms = rollout->ordered_at_ms;
    copy->deadline_ms = rollout->deadline_ms;
    copy->state = rollout->state;
    copy->order = rollout->order;
    copy->revision = rollout->revision;
    g_free(copy->verdict);
    copy->verdict = g_strdup(rollout->verdict);
    for (guint i = 0; i < rollout->barred->len; i++) {
        g_ptr_array_add(copy->barred, g_strdup(rollout->barred->pdata[i]));
    }
    return copy;
}

Rollout *
Rollout_Begin(const char *service, const char *target, const Rollout *before)
{
    Rollout *rollout = new_rollout(service, target);
    rollout->state = WIRE__ROLLOUT_STATE__ROLLOUT_SERVING;
    for (guint i = 0; before != NULL && i < before->barred->len; i++) {
        const char *version = before->barred->pdata[i];
        if (strcmp(version, target) != 0) {
            Rollout_Bar(rollout, version);
        }
    }
    return rollout;
}

void
Rollout_Free(Rollout *rollout)
{
    g_free(rollout->service);
    g_free(rollout->target);
    g_free(rollout->verdict);
    g_ptr_array_unref(rollout->barred);
    g_free(rollout);
}

bool
Rollout_IsBarred(const Rollout *rollout, const char *version)
{
    for (guint i = 0; i < rollout->barred->len; i++) {
        if (strcmp(rollout->barred->pdata[i], version) == 0) {
            return true;
        }
    }
    return false;
}

void
Rollout_Bar(Rollout *rollout, const char *version)
{
    if (Rollout_IsBarred(rollout, version)) {
        return;
    }
    if (rollout->barred->len == ROLLOUT_BARRED_MAX) {
        g_ptr_array_remove_index(rollout->barred, 0);
    }
    g_ptr_array_add(rollout->barred, g_strdup(version));
}

bool
Rollout_InProgress(const Rollout *rollout)
{
    return rollout->state == WIRE__ROLLOUT_STATE__ROLLOUT_SERVING ||
           rollout->state == WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED;
}

const char *
Rollout_StateName(RolloutState state)
{
    static const char *const names[] = {
        [WIRE__ROLLOUT_STATE__ROLLOUT_NONE] = "none",
        [WIRE__ROLLOUT_STATE__ROLLOUT_SERVING] = "serving",
        [WIRE__ROLLOUT_STATE__ROLLOUT_ACCEPTED] = "accepted",
        [WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETED] = "completed",
        [WIRE__ROLLOUT_STATE__ROLLOUT_REVERTED] = "reverted",
    };
    return (size_t)state < sizeof(names) / sizeof(names[0]) ? names[state]
                                                            : "unknown";
}

void
Rollout_Fill(Wire__Rollout *message, const Rollout *rollout)
{
    wire__rollout__init(message);
    message->service = rollout->service;
    message->target = rollout->target;
    message->ordered_at_ms = rollout->ordered_at_ms;
    message->deadline_ms = rollout->deadline_ms;
    message->state = rollout->state;
    message->order = rollout->order;
    message->revision = rollout->revision;
    message->verdict = rollout->verdict;
    message->n_barred = rollout->barred->len;
    message->barred =
        g_memdup2(rollout->barred->pdata,
                  rollout->barred->len * sizeof(rollout->barred->pdata[0]));
}

Rollout *
Rollout_Read(const Wire__Rollout *message)
{
    Rollout *rollout = new_rollout(message->service, message->target);
    rollout->ordered_at_ms = message->ordered_at_ms;
    rollout->deadline_ms = message->deadline_ms;
    rollout->state = message->state;
    rollout->order = message->order;
    rollout->revision = message->revision;
    g_free(rollout->verdict);
    rollout->verdict = g_strdup(message->verdict);
    for (size_t i = 0; i < message->n_barred; i++) {
        Rollout_Bar(rollout, message->barred[i]);
    }
    return rollout;
}

static void
free_rollout(gpointer data)
{
    Rollout_Free(data);
}

RolloutTable *
RolloutTable_New(void)
{
    RolloutTable *table = g_new0(RolloutTable, 1);
    table->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_rollout);
    return table;
}

void
RolloutTable_Free(RolloutTable *table)
{
    g_hash_table_destroy(table->by_service);
    g_free(table);
}

void
RolloutTable_Clear(RolloutTable *table)
{
    g_hash_table_remove_all(table->by_service);
}

const Rollout *
RolloutTable_Find(const RolloutTable *table, const char *service)
{
    return g_hash_table_lookup(table->by_service, service);
}

guint
RolloutTable_Count(const RolloutTable *table)
{
    return g_hash_table_size(table->by_service);
}

bool
RolloutTable_Update(RolloutTable *table, Rollout *rollout)
{
    const Rollout *present = RolloutTable_Find(table, rollout->service);
    if (present != NULL && rollout->revision <= present->revision) {
        Rollout_Free(rollout);
        return false;
    }
    g_hash_table_replace(table->by_service, rollout->service, rollout);
    return true;
}

void
RolloutTable_ForEach(const RolloutTable *table,
                     void (*visit)(void *arg, const Rollout *rollout),
                     void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->by_service);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(arg, value);
    }
}

static void
add_message(void *arg, const Rollout *rollout)
{
    RolloutMessages *messages = arg;
    Rollout_Fill(&messages->items[messages->count], rollout);
    messages->pointers[messages->count] = &messages->items[messages->count];
    messages->count++;
}

void
RolloutMessages_Fill(RolloutMessages *messages, const RolloutTable *table)
{
    guint size = RolloutTable_Count(table);
    messages->count = 0;
    messages->items = g_new0(Wire__Rollout, size + 1);
    messages->pointers = g_new0(Wire__Rollout *, size + 1);
    RolloutTable_ForEach(table, add_message, messages);
}

void
RolloutMessages_Clear(RolloutMessages *messages)
{
    for (size_t i = 0; i < messages->count; i++) {
        g_free(messages->items[i].barred);
    }
    g_free(messages->items);
    g_free(messages->pointers);
    *messages = (RolloutMessages){.count = 0};
}
