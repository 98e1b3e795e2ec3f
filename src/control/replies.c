/** @file
 * Replies: hash table by command id with a queue in order of arrival.
 */
#include "control/replies.h"

#include <string.h>

#include <glib.h>

#include "kernel/error.h"

typedef struct Reply {
    uint8_t id[COMMAND_ID_BYTES];
    uint32_t kind;
    int32_t code;
    char *text;
    uint64_t version;
    uint32_t claim;
    uint64_t fence;
    GList node; /* in Replies.order */
} Reply;

struct Replies {
    size_t capacity;
    GHashTable *by_id;
    GQueue order; /* oldest first */
};

/* Command ids are random, so their first bytes serve as the hash. */
static guint
hash_id(gconstpointer id)
{
    guint value;
    memcpy(&value, id, sizeof(value));
    return value;
}

static gboolean
equal_id(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, COMMAND_ID_BYTES) == 0;
}

static void
free_reply(gpointer data)
{
    Reply *reply = data;
    g_free(reply->text);
    g_free(reply);
}

Replies *
Replies_New(size_t capacity)
{
    Replies *replies = g_new0(Replies, 1);
    replies->capacity = capacity;
    replies->by_id =
        g_hash_table_new_full(hash_id, equal_id, NULL, free_reply);
    g_queue_init(&replies->order);
    return replies;
}

void
Replies_Free(Replies *replies)
{
    g_hash_table_destroy(replies->by_id);
    g_free(replies);
}

bool
Replies_Find(const Replies *replies, const Wire__Command *command,
             Wire__CommandReply *reply)
{
    const Reply *stored =
        g_hash_table_lookup(replies->by_id, command->command_id.data);
    if (stored == NULL) {
        return false;
    }
    if (stored->kind != command->kind) {
        reply->code = ERR_INVALID;
        reply->text = "Another kind of command used this command id.";
        return true;
    }
    reply->code = stored->code;
    reply->text = stored->text;
    reply->version = stored->version;
    reply->claim = stored->claim;
    reply->fence = stored->fence;
    return true;
}

static void
insert_reply(Replies *replies, Reply *reply)
{
    if (replies->order.length == replies->capacity) {
        Reply *oldest = g_queue_peek_head(&replies->order);
        g_queue_unlink(&replies->order, &oldest->node);
        g_hash_table_remove(replies->by_id, oldest->id);
    }
    reply->node.data = reply;
    g_queue_push_tail_link(&replies->order, &reply->node);
    g_hash_table_insert(replies->by_id, reply->id, reply);
}

void
Replies_Add(Replies *replies, const Wire__Command *command,
            const Wire__CommandReply *reply)
{
    Reply *stored = g_new0(Reply, 1);
    memcpy(stored->id, command->command_id.data, COMMAND_ID_BYTES);
    stored->kind = command->kind;
    stored->code = reply->code;
    stored->text = g_strdup(reply->text);
    stored->version = reply->version;
    stored->claim = reply->claim;
    stored->fence = reply->fence;
    insert_reply(replies, stored);
}

State__Reply **
Replies_Save(const Replies *replies, size_t *count)
{
    *count = 0;
    State__Reply **records = g_new0(State__Reply *, replies->order.length);
    for (GList *node = replies->order.head; node != NULL; node = node->next) {
        Reply *reply = node->data;
        State__Reply *record = g_new(State__Reply, 1);
        state__reply__init(record);
        record->command_id.data = reply->id;
        record->command_id.len = COMMAND_ID_BYTES;
        record->kind = reply->kind;
        record->code = reply->code;
        record->text = reply->text;
        record->version = reply->version;
        record->claim = reply->claim;
        record->fence = reply->fence;
        records[(*count)++] = record;
    }
    return records;
}

void
Replies_Load(Replies *replies, const State__Reply *record)
{
    if (record->command_id.len != COMMAND_ID_BYTES ||
        g_hash_table_contains(replies->by_id, record->command_id.data))
    {
        return;
    }
    Reply *reply = g_new0(Reply, 1);
    memcpy(reply->id, record->command_id.data, COMMAND_ID_BYTES);
    reply->kind = record->kind;
    reply->code = record->code;
    reply->text = g_strdup(record->text);
    reply->version = record->version;
    reply->claim = record->claim;
    reply->fence = record->fence;
    insert_reply(replies, reply);
}
