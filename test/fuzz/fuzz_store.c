/** @file
 * Fuzz target for the store, on a folder whose writes may fail, be torn or be
 * lost in a crash. The oracle checks that after a crash the folder holds all
 * acknowledged data and a prefix of the steps written later. A bit flip in a
 * closed file must be reported as corruption or have no effect.
 */
#include <string.h>

#include "fuzz.h"
#include "kernel/log.h"
#include "mem_files.h"
#include "store/store.h"

#define EVENTS_PER_RUN 120
#define REPLICA 3
#define INDEX_MAX 4000

/* One change of the term and vote or of the log. */
typedef struct Step {
    enum { STEP_STATE, STEP_ENTRY, STEP_RESET } kind;
    uint64_t index;
    uint64_t term;
    uint32_t extra; /* STEP_STATE: vote; STEP_ENTRY: kind of the entry */
    uint8_t fill;   /* value of each byte of the entry's data */
    uint32_t length;
} Step;

/* Expected term, vote and log. */
typedef struct Model {
    uint64_t term;
    uint32_t vote;
    uint64_t base; /* index before the first entry */
    GArray *log;   /* Steps of kind STEP_ENTRY */
} Model;

typedef struct Bench {
    FuzzInput input;
    MemFolder *folder;
    Store *store;
    uint64_t disk_id;
    Model durable;        /* state at the last successful sync */
    GArray *steps;        /* Steps written since the last sync */
    GArray *snapshots;    /* StoreSnapshots written since; data is NULL */
    StoreSnapshot newest; /* newest snapshot that was synced */
    Model now;            /* state with all unsynced steps */
    uint64_t next_term;
    bool failed;
} Bench;

static bool
decide(void *arg)
{
    return fuzz_byte(arg) & 1;
}

static Model
copy_model(const Model *model)
{
    Model copy = *model;
    copy.log = g_array_copy(model->log);
    return copy;
}

static void
take_step(Model *model, const Step *step)
{
    switch (step->kind) {
    case STEP_STATE:
        model->term = step->term;
        model->vote = step->extra;
        break;
    case STEP_RESET:
        model->base = step->index;
        g_array_set_size(model->log, 0);
        break;
    case STEP_ENTRY:
        g_array_set_size(model->log, (guint)(step->index - model->base - 1));
        g_array_append_val(model->log, *step);
        break;
    }
}

static uint64_t
last_index(const Model *model)
{
    return model->base + model->log->len;
}

static GBytes *
entry_data(const Step *step)
{
    uint8_t *bytes = g_malloc(step->length + 1);
    memset(bytes, step->fill, step->length);
    return g_bytes_new_take(bytes, step->length);
}

static GBytes *
snapshot_data(uint64_t index)
{
    uint8_t bytes[200];
    memset(bytes, (int)(index & 0xff), sizeof(bytes));
    return g_bytes_new(bytes, 20 + index % 180);
}

static bool
same_entry(const Step *step, const StoreEntry *entry)
{
    GBytes *data = entry_data(step);
    bool same = step->index == entry->index && step->term == entry->term &&
                step->extra == entry->kind && g_bytes_equal(data, entry->data);
    g_bytes_unref(data);
    return same;
}

/* Tells whether the image holds the snapshot and the model's other state. */
static bool
matches(const Model *model, const StoreSnapshot *snapshot,
        const StoreImage *image)
{
    if (image->term != model->term || image->vote != model->vote ||
        image->snapshot.index != snapshot->index ||
        model->base > snapshot->index)
    {
        return false;
    }
    uint64_t covered = snapshot->index - model->base;
    guint skip = model->log->len;
    if (covered == 0) {
        skip = 0;
    }
    else if (covered <= model->log->len &&
             g_array_index(model->log, Step, covered - 1).term ==
                 snapshot->term)
    {
        skip = (guint)covered;
    }
    if (image->entries->len != model->log->len - skip) {
        return false;
    }
    for (guint i = 0; i < image->entries->len; i++) {
        if (!same_entry(&g_array_index(model->log, Step, skip + i),
                        &g_array_index(image->entries, StoreEntry, i)))
        {
            return false;
        }
    }
    return true;
}

/* Tells whether the image matches the durable state with any prefix of the
 * unsynced steps, and the durable or an unsynced snapshot. */
static bool
is_allowed(const Bench *bench, const StoreImage *image)
{
    Model model = copy_model(&bench->durable);
    bool allowed = false;
    for (guint i = 0; !allowed && i <= bench->steps->len; i++) {
        if (i > 0) {
            take_step(&model, &g_array_index(bench->steps, Step, i - 1));
        }
        allowed = matches(&model, &bench->newest, image);
        for (guint k = 0; !allowed && k < bench->snapshots->len; k++) {
            allowed = matches(
                &model, &g_array_index(bench->snapshots, StoreSnapshot, k),
                image);
        }
    }
    g_array_unref(model.log);
    return allowed;
}

static void
add_step(Bench *bench, const Step *step)
{
    g_array_append_val(bench->steps, *step);
    take_step(&bench->now, step);
}

/* Marks all written steps and snapshots as durable. */
static void
acknowledge(Bench *bench)
{
    g_array_set_size(bench->steps, 0);
    g_array_unref(bench->durable.log);
    bench->durable = copy_model(&bench->now);
    guint count = bench->snapshots->len;
    if (count > 0) {
        bench->newest =
            g_array_index(bench->snapshots, StoreSnapshot, count - 1);
        g_array_set_size(bench->snapshots, 0);
    }
}

static void
use_image(Bench *bench, const StoreImage *image)
{
    g_array_set_size(bench->steps, 0);
    g_array_set_size(bench->snapshots, 0);
    bench->newest = image->snapshot;
    bench->newest.data = NULL;
    bench->now.term = image->term;
    bench->now.vote = image->vote;
    bench->now.base = image->snapshot.index;
    g_array_set_size(bench->now.log, 0);
    for (guint i = 0; i < image->entries->len; i++) {
        const StoreEntry *entry =
            &g_array_index(image->entries, StoreEntry, i);
        gsize length;
        const uint8_t *bytes = g_bytes_get_data(entry->data, &length);
        Step step = {
            .kind = STEP_ENTRY,
            .index = entry->index,
            .term = entry->term,
            .extra = entry->kind,
            .fill = length > 0 ? bytes[0] : 0,
            .length = (uint32_t)length,
        };
        g_array_append_val(bench->now.log, step);
    }
    g_array_unref(bench->durable.log);
    bench->durable = copy_model(&bench->now);
}

static Store *
try_open(Bench *bench, StoreImage *image, Error *err)
{
    StoreFiles files = MemFolder_Files(bench->folder);
    return Store_Open(&files, REPLICA, bench->disk_id, image, err);
}

static void
open_store(Bench *bench)
{
    StoreImage image;
    Error err = ERROR_INIT;
    bench->store = try_open(bench, &image, &err);
    if (bench->store == NULL && err.code == ERR_IO) {
        /* An injected disk failure made the open fail. The next succeeds. */
        MemFolder_Crash(bench->folder, decide, &bench->input);
        bench->store = try_open(bench, &image, &err);
    }
    FUZZ_CHECK(bench->store != NULL, "the store cannot be opened: %s",
               err.text);
    FUZZ_CHECK(image.disk_id == bench->disk_id, "the disk id has changed");
    FUZZ_CHECK(is_allowed(bench, &image),
               "the store loaded a state that no crash can leave: "
               "term %lu snapshot %lu entries %u",
               image.term, image.snapshot.index, image.entries->len);
    use_image(bench, &image);
    StoreImage_Clear(&image);
    bench->failed = false;
}

static void
reopen_after_crash(Bench *bench)
{
    MemFolder_Crash(bench->folder, decide, &bench->input);
    Store_Close(bench->store);
    MemFolder_Crash(bench->folder, decide, &bench->input);
    open_store(bench);
}

/* Returns the index of the newest snapshot. Entries up to it are never
 * replaced. */
static uint64_t
newest_snapshot(const Bench *bench)
{
    guint count = bench->snapshots->len;
    uint64_t index = MAX(bench->newest.index, bench->now.base);
    if (count > 0) {
        index = MAX(
            index,
            g_array_index(bench->snapshots, StoreSnapshot, count - 1).index);
    }
    return index;
}

static void
add_entries(Bench *bench, StoreBatch *batch)
{
    uint64_t last = last_index(&bench->now);
    uint64_t first = last + 1;
    if (fuzz_pick(&bench->input, 4) == 0 && last > bench->now.base) {
        first -= fuzz_pick(&bench->input, 4) % (last - bench->now.base);
    }
    first = MAX(first, newest_snapshot(bench) + 1);
    batch->entries = StoreEntry_NewArray();
    for (unsigned left = 1 + fuzz_pick(&bench->input, 4); left > 0; left--) {
        Step step = {
            .kind = STEP_ENTRY,
            .index = first++,
            .term = bench->next_term++,
            .extra = fuzz_pick(&bench->input, 3),
            .fill = fuzz_byte(&bench->input),
            .length = fuzz_byte(&bench->input) * 2,
        };
        GBytes *data = entry_data(&step);
        StoreEntry entry = {.index = step.index,
                            .term = step.term,
                            .kind = step.extra,
                            .data = data};
        StoreEntry_Append(batch->entries, &entry);
        g_bytes_unref(data);
        add_step(bench, &step);
    }
}

static void
add_snapshot(Bench *bench, StoreBatch *batch, bool reset)
{
    uint64_t last = last_index(&bench->now);
    uint64_t index = last + 1 + fuzz_pick(&bench->input, 5);
    uint64_t term = bench->next_term++;
    if (!reset) {
        /* A snapshot without a reset covers only durable entries. */
        uint64_t first = newest_snapshot(bench) + 1;
        uint64_t limit = last_index(&bench->durable);
        if (bench->steps->len > 0 || limit < first) {
            return;
        }
        index =
            first + fuzz_pick(&bench->input, (unsigned)(limit - first + 1));
        term = g_array_index(bench->durable.log, Step,
                             index - bench->durable.base - 1)
                   .term;
    }
    batch->snapshot = (StoreSnapshot){
        .index = index, .term = term, .data = snapshot_data(index)};
    batch->reset = reset;
    StoreSnapshot known = {.index = index, .term = term};
    g_array_append_val(bench->snapshots, known);
    if (reset) {
        Step step = {.kind = STEP_RESET, .index = index, .term = term};
        add_step(bench, &step);
    }
}

static void
write_batch(Bench *bench)
{
    StoreBatch batch = {.sequence = 1};
    unsigned kind = fuzz_pick(&bench->input, 16);
    if (kind < 5) {
        batch.has_state = true;
        batch.term = bench->next_term++;
        batch.vote = fuzz_pick(&bench->input, 4);
        Step step = {
            .kind = STEP_STATE, .term = batch.term, .extra = batch.vote};
        add_step(bench, &step);
    }
    if (kind == 14 || kind == 15) {
        add_snapshot(bench, &batch, kind == 15);
    }
    if (kind != 4 && last_index(&bench->now) < INDEX_MAX) {
        add_entries(bench, &batch);
    }
    Error err = ERROR_INIT;
    int result = Store_Write(bench->store, &batch, &err);
    FUZZ_CHECK(!bench->failed || result != ERR_OK,
               "a write after a failure succeeded");
    bench->failed = result != ERR_OK;
    StoreBatch_Clear(&batch);
}

static void
sync_store(Bench *bench)
{
    Error err = ERROR_INIT;
    int result = Store_Sync(bench->store, &err);
    FUZZ_CHECK(!bench->failed || result != ERR_OK,
               "a sync after a failure succeeded");
    if (result != ERR_OK) {
        bench->failed = true;
        return;
    }
    acknowledge(bench);
    if (fuzz_byte(&bench->input) & 1) {
        Store_MarkSynced(bench->store);
    }
}

/* Closes the store, flips one bit of a file and opens the store again. The
 * damage must be reported as corruption of that file or have no effect. */
static void
damage_at_rest(Bench *bench)
{
    MemFolder_FailAfter(bench->folder, 0);
    sync_store(bench);
    if (bench->failed) {
        return;
    }
    Store_Close(bench->store);
    MemFolder_SyncAll(bench->folder);
    GPtrArray *names = MemFolder_Names(bench->folder);
    const char *name = names->pdata[fuzz_pick(&bench->input, names->len)];
    GByteArray *content = MemFolder_Content(bench->folder, name);
    unsigned where = fuzz_byte(&bench->input) * 256u;
    where = (where + fuzz_byte(&bench->input)) % content->len;
    uint8_t kept = content->data[where];
    content->data[where] ^= (uint8_t)(1u << fuzz_pick(&bench->input, 8));
    StoreImage image;
    Error err = ERROR_INIT;
    bench->store = try_open(bench, &image, &err);
    if (bench->store == NULL) {
        FUZZ_CHECK(err.code == ERR_CORRUPT && strstr(err.text, name) != NULL,
                   "the error of the damaged file %s is: %s", name, err.text);
        content->data[where] = kept;
        MemFolder_SyncAll(bench->folder);
        open_store(bench);
    }
    else {
        FUZZ_CHECK(is_allowed(bench, &image),
                   "damage changed the stored state without an error");
        use_image(bench, &image);
        StoreImage_Clear(&image);
    }
    g_ptr_array_unref(names);
}

static void
play(Bench *bench)
{
    unsigned choice = fuzz_pick(&bench->input, 32);
    if (choice < 14) {
        write_batch(bench);
    }
    else if (choice < 24) {
        sync_store(bench);
    }
    else if (choice < 28) {
        reopen_after_crash(bench);
    }
    else if (choice < 29) {
        MemFolder_FailAfter(bench->folder, 1 + fuzz_pick(&bench->input, 6));
    }
    else if (choice < 30) {
        MemFolder_ShortWrites(bench->folder, fuzz_byte(&bench->input));
    }
    else {
        damage_at_rest(bench);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    Log_SetLevel(LOG_LEVEL_ERROR);
    Bench bench = {
        .input = fuzz_input(bytes, length),
        .folder = MemFolder_New(),
        .disk_id = 77,
        .steps = g_array_new(FALSE, FALSE, sizeof(Step)),
        .snapshots = g_array_new(FALSE, FALSE, sizeof(StoreSnapshot)),
        .next_term = 1,
    };
    bench.durable.log = g_array_new(FALSE, FALSE, sizeof(Step));
    bench.now.log = g_array_new(FALSE, FALSE, sizeof(Step));
    open_store(&bench);
    for (unsigned i = 0; i < EVENTS_PER_RUN; i++) {
        play(&bench);
    }
    Store_Close(bench.store);
    g_array_unref(bench.durable.log);
    g_array_unref(bench.now.log);
    g_array_unref(bench.steps);
    g_array_unref(bench.snapshots);
    MemFolder_Free(bench.folder);
    return 0;
}
