/** @file
 * In-memory data folder for tests.
 */
#include "mem_files.h"

#include <errno.h>
#include <string.h>

/* An unsynced write or truncation of a file. */
typedef struct Change {
    bool truncate;
    uint64_t offset;   /* start of a write; new length of a truncation */
    GByteArray *bytes; /* NULL for a truncation */
} Change;

typedef struct Inode {
    GByteArray *current; /* content with the unsynced changes */
    GByteArray *durable; /* content without the unsynced changes */
    GPtrArray *changes;  /* Change values since the last sync */
} Inode;

/* An unsynced change of a name in the folder. A rename consists of two
 * changes, of which a crash keeps both or none. */
typedef struct NameChange {
    char *name;
    Inode *inode;   /* NULL if the name was removed */
    bool with_next; /* kept or lost together with the next change */
} NameChange;

struct MemFolder {
    GPtrArray *inodes;       /* all inodes, indexed by file number */
    GHashTable *current;     /* name -> Inode, with the unsynced changes */
    GHashTable *durable;     /* name -> Inode, without the unsynced changes */
    GPtrArray *name_changes; /* NameChange values since the last sync */
    unsigned fail_after;     /* the operation with this number, counted from 1,
                                fails (write or sync); 0 if none fails */
    size_t short_writes;     /* maximum bytes of a write; 0 for no limit */
};

static void
free_change(gpointer data)
{
    Change *change = data;
    if (change->bytes != NULL) {
        g_byte_array_unref(change->bytes);
    }
    g_free(change);
}

static void
free_inode(gpointer data)
{
    Inode *inode = data;
    g_byte_array_unref(inode->current);
    g_byte_array_unref(inode->durable);
    g_ptr_array_unref(inode->changes);
    g_free(inode);
}

static void
free_name_change(gpointer data)
{
    NameChange *change = data;
    g_free(change->name);
    g_free(change);
}

MemFolder *
MemFolder_New(void)
{
    MemFolder *folder = g_new0(MemFolder, 1);
    folder->inodes = g_ptr_array_new_with_free_func(free_inode);
    folder->current =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    folder->durable =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    folder->name_changes = g_ptr_array_new_with_free_func(free_name_change);
    return folder;
}

void
MemFolder_Free(MemFolder *folder)
{
    g_ptr_array_unref(folder->inodes);
    g_hash_table_destroy(folder->current);
    g_hash_table_destroy(folder->durable);
    g_ptr_array_unref(folder->name_changes);
    g_free(folder);
}

static void
set_name(GHashTable *table, const char *name, Inode *inode)
{
    if (inode == NULL) {
        g_hash_table_remove(table, name);
        return;
    }
    g_hash_table_insert(table, g_strdup(name), inode);
}

static void
change_name(MemFolder *folder, const char *name, Inode *inode, bool with_next)
{
    set_name(folder->current, name, inode);
    NameChange *change = g_new0(NameChange, 1);
    change->name = g_strdup(name);
    change->inode = inode;
    change->with_next = with_next;
    g_ptr_array_add(folder->name_changes, change);
}

static bool
fails_now(MemFolder *folder)
{
    return folder->fail_after > 0 && --folder->fail_after == 0;
}

static int
list_names(void *context, GPtrArray *names)
{
    MemFolder *folder = context;
    GPtrArray *all = MemFolder_Names(folder);
    for (guint i = 0; i < all->len; i++) {
        g_ptr_array_add(names, g_strdup(all->pdata[i]));
    }
    g_ptr_array_unref(all);
    return 0;
}

static int
open_file(void *context, const char *name, bool create)
{
    MemFolder *folder = context;
    Inode *inode = g_hash_table_lookup(folder->current, name);
    guint number;
    if (inode != NULL) {
        g_ptr_array_find(folder->inodes, inode, &number);
        return (int)number;
    }
    if (!create) {
        return -ENOENT;
    }
    inode = g_new0(Inode, 1);
    inode->current = g_byte_array_new();
    inode->durable = g_byte_array_new();
    inode->changes = g_ptr_array_new_with_free_func(free_change);
    g_ptr_array_add(folder->inodes, inode);
    change_name(folder, name, inode, false);
    return (int)folder->inodes->len - 1;
}

static Inode *
inode_of(MemFolder *folder, int file)
{
    return folder->inodes->pdata[file];
}

static int64_t
file_size(void *context, int file)
{
    return inode_of(context, file)->current->len;
}

static ssize_t
read_file(void *context, int file, void *bytes, size_t length, uint64_t offset)
{
    const GByteArray *current = inode_of(context, file)->current;
    if (offset >= current->len) {
        return 0;
    }
    size_t count = MIN(length, current->len - offset);
    memcpy(bytes, current->data + offset, count);
    return (ssize_t)count;
}

static void
write_at(GByteArray *to, const uint8_t *bytes, size_t length, uint64_t offset)
{
    guint before = to->len;
    if (offset + length > before) {
        g_byte_array_set_size(to, (guint)(offset + length));
        memset(to->data + before, 0, to->len - before);
    }
    memcpy(to->data + offset, bytes, length);
}

static ssize_t
write_file(void *context, int file, const void *bytes, size_t length,
           uint64_t offset)
{
    MemFolder *folder = context;
    Inode *inode = inode_of(folder, file);
    bool fails = fails_now(folder);
    if (folder->short_writes > 0) {
        length = MIN(length, folder->short_writes);
    }
    if (fails) {
        length /= 2;
    }
    if (length > 0) {
        write_at(inode->current, bytes, length, offset);
        Change *change = g_new0(Change, 1);
        change->offset = offset;
        change->bytes = g_byte_array_new();
        g_byte_array_append(change->bytes, bytes, (guint)length);
        g_ptr_array_add(inode->changes, change);
    }
    return fails ? -ENOSPC : (ssize_t)length;
}

static int
truncate_file(void *context, int file, uint64_t length)
{
    Inode *inode = inode_of(context, file);
    g_byte_array_set_size(inode->current, (guint)length);
    Change *change = g_new0(Change, 1);
    change->truncate = true;
    change->offset = length;
    g_ptr_array_add(inode->changes, change);
    return 0;
}

static void
make_durable(Inode *inode)
{
    g_byte_array_set_size(inode->durable, 0);
    g_byte_array_append(inode->durable, inode->current->data,
                        inode->current->len);
    g_ptr_array_set_size(inode->changes, 0);
}

static int
sync_file(void *context, int file)
{
    if (fails_now(context)) {
        return -EIO;
    }
    make_durable(inode_of(context, file));
    return 0;
}

static void
close_file(void *context, int file)
{
}

static int
rename_file(void *context, const char *from, const char *to)
{
    MemFolder *folder = context;
    Inode *inode = g_hash_table_lookup(folder->current, from);
    if (inode == NULL) {
        return -ENOENT;
    }
    change_name(folder, to, inode, true);
    change_name(folder, from, NULL, false);
    return 0;
}

static int
remove_file(void *context, const char *name)
{
    MemFolder *folder = context;
    if (g_hash_table_lookup(folder->current, name) == NULL) {
        return -ENOENT;
    }
    change_name(folder, name, NULL, false);
    return 0;
}

static void
apply_name_changes(MemFolder *folder, guint count)
{
    for (guint i = 0; i < count; i++) {
        NameChange *change = folder->name_changes->pdata[i];
        set_name(folder->durable, change->name, change->inode);
    }
    g_ptr_array_set_size(folder->name_changes, 0);
}

static int
sync_folder(void *context)
{
    MemFolder *folder = context;
    if (fails_now(folder)) {
        return -EIO;
    }
    apply_name_changes(folder, folder->name_changes->len);
    return 0;
}

static void
free_nothing(void *context)
{
}

StoreFiles
MemFolder_Files(MemFolder *folder)
{
    return (StoreFiles){
        .context = folder,
        .list = list_names,
        .open = open_file,
        .size = file_size,
        .read = read_file,
        .write = write_file,
        .truncate = truncate_file,
        .sync = sync_file,
        .close = close_file,
        .rename = rename_file,
        .remove = remove_file,
        .sync_folder = sync_folder,
        .free = free_nothing,
    };
}

void
MemFolder_FailAfter(MemFolder *folder, unsigned operations)
{
    folder->fail_after = operations;
}

void
MemFolder_LimitWrites(MemFolder *folder, size_t bytes)
{
    folder->short_writes = bytes;
}

/* Applies the part of an unsynced change that survives a crash to the durable
 * content: a truncation as a whole, a write by sectors. */
static void
apply_surviving_part(Inode *inode, const Change *change, MemSurvives survives,
                     void *arg)
{
    if (change->truncate) {
        if (survives(arg) && change->offset < inode->durable->len) {
            g_byte_array_set_size(inode->durable, (guint)change->offset);
        }
        return;
    }
    uint64_t end = change->offset + change->bytes->len;
    uint64_t position = change->offset;
    while (position < end) {
        uint64_t next =
            MIN(end, (position / MEM_SECTOR_BYTES + 1) * MEM_SECTOR_BYTES);
        if (survives(arg)) {
            write_at(inode->durable,
                     change->bytes->data + (position - change->offset),
                     next - position, position);
        }
        position = next;
    }
}

void
MemFolder_Crash(MemFolder *folder, MemSurvives survives, void *arg)
{
    for (guint i = 0; i < folder->inodes->len; i++) {
        Inode *inode = folder->inodes->pdata[i];
        for (guint k = 0; k < inode->changes->len; k++) {
            apply_surviving_part(inode, inode->changes->pdata[k], survives,
                                 arg);
        }
        g_ptr_array_set_size(inode->changes, 0);
        g_byte_array_set_size(inode->current, 0);
        g_byte_array_append(inode->current, inode->durable->data,
                            inode->durable->len);
    }
    guint kept = 0;
    while (kept < folder->name_changes->len && survives(arg)) {
        const NameChange *change = folder->name_changes->pdata[kept];
        kept += change->with_next ? 2 : 1;
    }
    apply_name_changes(folder, kept);
    g_hash_table_remove_all(folder->current);
    GHashTableIter iter;
    gpointer name;
    gpointer inode;
    g_hash_table_iter_init(&iter, folder->durable);
    while (g_hash_table_iter_next(&iter, &name, &inode)) {
        set_name(folder->current, name, inode);
    }
    folder->fail_after = 0;
}

void
MemFolder_SyncAll(MemFolder *folder)
{
    for (guint i = 0; i < folder->inodes->len; i++) {
        make_durable(folder->inodes->pdata[i]);
    }
    apply_name_changes(folder, folder->name_changes->len);
}

GByteArray *
MemFolder_Content(MemFolder *folder, const char *name)
{
    Inode *inode = g_hash_table_lookup(folder->current, name);
    return inode == NULL ? NULL : inode->current;
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

GPtrArray *
MemFolder_Names(MemFolder *folder)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, folder->current);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        g_ptr_array_add(names, g_strdup(name));
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}
