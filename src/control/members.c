/** @file
 * Members: hash table by role and name, and a bounded queue of changes.
 */
#include "control/members.h"

#include <string.h>

#include "kernel/error.h"

#define EPOCH_SHIFT 40

typedef struct Member {
    char *id; /* role as one digit, followed by the name */
    Wire__Presence *presence;
    GBytes *packed;    /* serialized presence, to detect changes */
    const void *link;  /* key of the link; NULL while disconnected */
    TimeUs expires_at; /* TIME_NEVER while connected */
} Member;

typedef struct MemberChange {
    uint64_t version;
    char *id;
} MemberChange;

struct Members {
    uint64_t version;
    GHashTable *by_id;
    GQueue changes; /* of MemberChange, oldest first */
};

static void
free_member(gpointer data)
{
    Member *member = data;
    g_free(member->id);
    wire__presence__free_unpacked(member->presence, NULL);
    g_bytes_unref(member->packed);
    g_free(member);
}

static void
free_member_change(gpointer data)
{
    MemberChange *change = data;
    g_free(change->id);
    g_free(change);
}

Members *
Members_New(uint32_t epoch)
{
    Members *members = g_new0(Members, 1);
    members->version = ((uint64_t)epoch << EPOCH_SHIFT) + 1;
    members->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_member);
    g_queue_init(&members->changes);
    return members;
}

void
Members_Free(Members *members)
{
    g_hash_table_destroy(members->by_id);
    g_queue_clear_full(&members->changes, free_member_change);
    g_free(members);
}

static char *
make_id(Wire__Role role, const char *name)
{
    return g_strdup_printf("%d%s", (int)role, name);
}

static void
record_change(Members *members, const char *id)
{
    if (members->changes.length == MEMBERS_CHANGES_MAX) {
        free_member_change(g_queue_pop_head(&members->changes));
    }
    MemberChange *change = g_new(MemberChange, 1);
    change->version = ++members->version;
    change->id = g_strdup(id);
    g_queue_push_tail(&members->changes, change);
}

static GBytes *
pack_presence(const Wire__Presence *presence)
{
    size_t size = wire__presence__get_packed_size(presence);
    uint8_t *bytes = g_malloc(size);
    wire__presence__pack(presence, bytes);
    return g_bytes_new_take(bytes, size);
}

static Wire__Presence *
unpack_presence(GBytes *packed)
{
    gsize size;
    const uint8_t *bytes = g_bytes_get_data(packed, &size);
    Wire__Presence *presence = wire__presence__unpack(NULL, size, bytes);
    INVARIANT(presence != NULL);
    return presence;
}

/* Takes ownership of @p packed. */
static void
replace_presence(Members *members, Member *member, GBytes *packed)
{
    if (member->packed != NULL) {
        g_bytes_unref(member->packed);
        wire__presence__free_unpacked(member->presence, NULL);
    }
    member->packed = packed;
    member->presence = unpack_presence(packed);
    record_change(members, member->id);
}

bool
Members_Update(Members *members, const void *link,
               const Wire__Presence *presence)
{
    char *id = make_id(presence->role, presence->name);
    Member *member = g_hash_table_lookup(members->by_id, id);
    if (member == NULL) {
        member = g_new0(Member, 1);
        member->id = g_strdup(id);
        g_hash_table_insert(members->by_id, member->id, member);
    }
    g_free(id);
    if (member->link != NULL && member->link != link &&
        presence->incarnation < member->presence->incarnation)
    {
        return false;
    }
    member->link = link;
    member->expires_at = TIME_NEVER;
    GBytes *packed = pack_presence(presence);
    if (member->packed != NULL && g_bytes_equal(member->packed, packed)) {
        g_bytes_unref(packed);
        return false;
    }
    replace_presence(members, member, packed);
    return true;
}

void
Members_OnLinkDown(Members *members, const void *link, TimeUs now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, members->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Member *member = value;
        if (member->link == link) {
            member->link = NULL;
            member->expires_at =
                now + MEMBERS_RECONNECT_TIMEOUT_MS * US_PER_MS;
        }
    }
}

bool
Members_Tick(Members *members, TimeUs now)
{
    bool changed = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, members->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Member *member = value;
        if (now >= member->expires_at) {
            record_change(members, member->id);
            g_hash_table_iter_remove(&iter);
            changed = true;
        }
    }
    return changed;
}

static void
fill_all(const Members *members, Wire__Members *out)
{
    out->members = g_new0(Wire__Presence *, g_hash_table_size(members->by_id));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, members->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Member *member = value;
        out->members[out->n_members++] = member->presence;
    }
}

/* Whether all changes after @p version are still in the queue. */
static bool
has_changes_since(const Members *members, uint64_t version)
{
    const MemberChange *oldest =
        g_queue_peek_head((GQueue *)&members->changes);
    return oldest != NULL && version + 1 >= oldest->version &&
           version <= members->version;
}

static void
fill_changes(const Members *members, uint64_t have_version, Wire__Members *out)
{
    guint max_changes = members->changes.length;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    out->partial = true;
    out->members = g_new0(Wire__Presence *, max_changes);
    out->gone = g_new0(char *, max_changes);
    for (GList *node = members->changes.tail; node != NULL; node = node->prev)
    {
        const MemberChange *change = node->data;
        if (change->version <= have_version) {
            break;
        }
        if (!g_hash_table_add(seen, change->id)) {
            continue;
        }
        Member *member = g_hash_table_lookup(members->by_id, change->id);
        if (member != NULL) {
            out->members[out->n_members++] = member->presence;
        }
        else {
            out->gone[out->n_gone++] = change->id + 1;
        }
    }
    g_hash_table_destroy(seen);
}

void
Members_Fill(const Members *members, uint64_t have_version, Wire__Members *out)
{
    out->version = members->version;
    if (have_version == members->version) {
        out->partial = true;
        return;
    }
    if (has_changes_since(members, have_version)) {
        fill_changes(members, have_version, out);
        return;
    }
    fill_all(members, out);
}

const void *
Members_FindLink(const Members *members, Wire__Role role, const char *name)
{
    char *id = make_id(role, name);
    const Member *member = g_hash_table_lookup(members->by_id, id);
    g_free(id);
    return member == NULL ? NULL : member->link;
}

size_t
Members_Count(const Members *members, Wire__Role role)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, members->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Member *member = value;
        count += member->presence->role == role;
    }
    return count;
}

uint64_t
Members_Version(const Members *members)
{
    return members->version;
}

static json_t *
member_to_json(const Member *member)
{
    const Wire__Presence *presence = member->presence;
    json_t *models = json_array();
    for (size_t i = 0; i < presence->n_models; i++) {
        json_array_append_new(models, json_string(presence->models[i]));
    }
    return json_pack("{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:o, s:b, s:b}",
                     "name", presence->name, "incarnation",
                     (json_int_t)presence->incarnation, "address",
                     presence->address, "zone", presence->zone, "region",
                     presence->region, "kind", presence->kind, "service",
                     presence->service, "models", models, "leaving",
                     presence->leaving, "linked", member->link != NULL);
}

static gint
compare_members(gconstpointer a, gconstpointer b)
{
    const Member *first = a;
    const Member *second = b;
    return strcmp(first->id, second->id);
}

json_t *
Members_ToJson(const Members *members, Wire__Role role)
{
    json_t *out = json_array();
    GList *all = g_hash_table_get_values(members->by_id);
    all = g_list_sort(all, compare_members);
    for (GList *node = all; node != NULL; node = node->next) {
        const Member *member = node->data;
        if (member->presence->role == role) {
            json_array_append_new(out, member_to_json(member));
        }
    }
    g_list_free(all);
    return out;
}
