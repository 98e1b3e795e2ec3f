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
    uint32_t
        vote_or_kind; /* STEP_STATE: vote; STEP_ENTRY: kind of the entry */
    uint8_t fill;     /* value of each byte of the entry's data */
    uint32_t length;
} Step;

/* Expected term, vote and log. */
typedef struct Model {
    uint64_t term;
    uint32_t vote;
    uint64_t base; /* index before the first entry */
    GArray *log;   /* Step values of kind STEP_ENTRY */
} Model;

typedef struct Fixture {
    FuzzInput input;
    MemFolder *folder;
    Store *store;
    uint64_t disk_id;
    Model durable;          /* state at the last successful sync */
    GArray *unsynced_steps; /* Step values since the last successful sync */
    GArray *unsynced_snapshots;     /* StoreSnapshot values, without their
                                       data, since the last successful sync */
    StoreSnapshot durable_snapshot; /* newest snapshot that was synced */
    Model written;                  /* durable state and all unsynced steps */
    uint64_t next_term;
    bool failed; /* a write or sync has failed since the store was opened */
} Fixture;

static bool
random_bool(void *arg)
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
apply_step(Model *model, const Step *step)
{
    switch (step->kind) {
    case STEP_STATE:
        model->term = step->term;
        model->vote = step->vote_or_kind;
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
                step->vote_or_kind == entry->kind &&
                g_bytes_equal(data, entry->data);
    g_bytes_unref(data);
    return same;
}

/* Tells whether the image holds the snapshot, the model's term and vote, and
 * the model's entries after the snapshot. If the snapshot's index is after the
 * model's base and the model has no entry with its index and term, the image
 * must hold no entries. */
static bool
matches_model(const Model *model, const StoreSnapshot *snapshot,
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
is_allowed_image(const Fixture *fixture, const StoreImage *image)
{
    Model model = copy_model(&fixture->durable);
    bool allowed = false;
    for (guint i = 0; !allowed && i <= fixture->unsynced_steps->len; i++) {
        if (i > 0) {
            apply_step(&model,
                       &g_array_index(fixture->unsynced_steps, Step, i - 1));
        }
        allowed = matches_model(&model, &fixture->durable_snapshot, image);
        for (guint k = 0; !allowed && k < fixture->unsynced_snapshots->len;
             k++) {
            allowed = matches_model(
                &model,
                &g_array_index(fixture->unsynced_snapshots, StoreSnapshot, k),
                image);
        }
    }
    g_array_unref(model.log);
    return allowed;
}

static void
add_step(Fixture *fixture, const Step *step)
{
    g_array_append_val(fixture->unsynced_steps, *step);
    apply_step(&fixture->written, step);
}

/* Marks all written steps and snapshots as durable. */
static void
mark_durable(Fixture *fixture)
{
    g_array_set_size(fixture->unsynced_steps, 0);
    g_array_unref(fixture->durable.log);
    fixture->durable = copy_model(&fixture->written);
    guint count = fixture->unsynced_snapshots->len;
    if (count > 0) {
        fixture->durable_snapshot = g_array_index(fixture->unsynced_snapshots,
                                                  StoreSnapshot, count - 1);
        g_array_set_size(fixture->unsynced_snapshots, 0);
    }
}

static void
use_image(Fixture *fixture, const StoreImage *image)
{
    g_array_set_size(fixture->unsynced_steps, 0);
    g_array_set_size(fixture->unsynced_snapshots, 0);
    fixture->durable_snapshot = image->snapshot;
    fixture->durable_snapshot.data = NULL;
    fixture->written.term = image->term;
    fixture->written.vote = image->vote;
    fixture->written.base = image->snapshot.index;
    g_array_set_size(fixture->written.log, 0);
    for (guint i = 0; i < image->entries->len; i++) {
        const StoreEntry *entry =
            &g_array_index(image->entries, StoreEntry, i);
        gsize length;
        const uint8_t *bytes = g_bytes_get_data(entry->data, &length);
        Step step = {
            .kind = STEP_ENTRY,
            .index = entry->index,
            .term = entry->term,
            .vote_or_kind = entry->kind,
            .fill = length > 0 ? bytes[0] : 0,
            .length = (uint32_t)length,
        };
        g_array_append_val(fixture->written.log, step);
    }
    g_array_unref(fixture->durable.log);
    fixture->durable = copy_model(&fixture->written);
}

static Store *
try_open(Fixture *fixture, StoreImage *image, Error *err)
{
    StoreFiles files = MemFolder_Files(fixture->folder);
    return Store_Open(&files, REPLICA, fixture->disk_id, image, err);
}

static void
open_store(Fixture *fixture)
{
    StoreImage image;
    Error err = ERROR_INIT;
    fixture->store = try_open(fixture, &image, &err);
    if (fixture->store == NULL && err.code == ERR_IO) {
        /* An injected disk failure made the open fail. The crash cancels any
         * pending failure, so the next attempt succeeds. */
        MemFolder_Crash(fixture->folder, random_bool, &fixture->input);
        fixture->store = try_open(fixture, &image, &err);
    }
    FUZZ_CHECK(fixture->store != NULL, "the store cannot be opened: %s",
               err.text);
    FUZZ_CHECK(image.disk_id == fixture->disk_id, "the disk id has changed");
    FUZZ_CHECK(is_allowed_image(fixture, &image),
               "the store loaded a state that no crash can leave: "
               "term %lu snapshot %lu entries %u",
               image.term, image.snapshot.index, image.entries->len);
    use_image(fixture, &image);
    StoreImage_Clear(&image);
    fixture->failed = false;
}

static void
reopen_after_crash(Fixture *fixture)
{
    MemFolder_Crash(fixture->folder, random_bool, &fixture->input);
    Store_Close(fixture->store);
    MemFolder_Crash(fixture->folder, random_bool, &fixture->input);
    open_store(fixture);
}

/* Returns the index of the newest snapshot. Entries up to it are never
 * replaced. */
static uint64_t
newest_snapshot_index(const Fixture *fixture)
{
    guint count = fixture->unsynced_snapshots->len;
    uint64_t index =
        MAX(fixture->durable_snapshot.index, fixture->written.base);
    if (count > 0) {
        index = MAX(index, g_array_index(fixture->unsynced_snapshots,
                                         StoreSnapshot, count - 1)
                               .index);
    }
    return index;
}

static void
add_entries(Fixture *fixture, StoreBatch *batch)
{
    uint64_t last = last_index(&fixture->written);
    uint64_t first = last + 1;
    if (fuzz_pick(&fixture->input, 4) == 0 && last > fixture->written.base) {
        first -=
            fuzz_pick(&fixture->input, 4) % (last - fixture->written.base);
    }
    first = MAX(first, newest_snapshot_index(fixture) + 1);
    batch->entries = StoreEntry_NewArray();
    for (unsigned left = 1 + fuzz_pick(&fixture->input, 4); left > 0; left--) {
        Step step = {
            .kind = STEP_ENTRY,
            .index = first++,
            .term = fixture->next_term++,
            .vote_or_kind = fuzz_pick(&fixture->input, 3),
            .fill = fuzz_byte(&fixture->input),
            .length = fuzz_byte(&fixture->input) * 2,
        };
        GBytes *data = entry_data(&step);
        StoreEntry entry = {.index = step.index,
                            .term = step.term,
                            .kind = step.vote_or_kind,
                            .data = data};
        StoreEntry_Append(batch->entries, &entry);
        g_bytes_unref(data);
        add_step(fixture, &step);
    }
}

static void
add_snapshot(Fixture *fixture, StoreBatch *batch, bool reset)
{
    uint64_t last = last_index(&fixture->written);
    uint64_t index = last + 1 + fuzz_pick(&fixture->input, 5);
    uint64_t term = fixture->next_term++;
    if (!reset) {
        /* A snapshot without a reset covers only durable entries. */
        uint64_t first = newest_snapshot_index(fixture) + 1;
        uint64_t limit = last_index(&fixture->durable);
        if (fixture->unsynced_steps->len > 0 || limit < first) {
            return;
        }
        index =
            first + fuzz_pick(&fixture->input, (unsigned)(limit - first + 1));
        term = g_array_index(fixture->durable.log, Step,
                             index - fixture->durable.base - 1)
                   .term;
    }
    batch->snapshot = (StoreSnapshot){
        .index = index, .term = term, .data = snapshot_data(index)};
    batch->reset = reset;
    StoreSnapshot written = {.index = index, .term = term};
    g_array_append_val(fixture->unsynced_snapshots, written);
    if (reset) {
        Step step = {.kind = STEP_RESET, .index = index, .term = term};
        add_step(fixture, &step);
    }
}

static void
write_batch(Fixture *fixture)
{
    StoreBatch batch = {.sequence = 1};
    unsigned kind = fuzz_pick(&fixture->input, 16);
    if (kind < 5) {
        batch.has_state = true;
        batch.term = fixture->next_term++;
        batch.vote = fuzz_pick(&fixture->input, 4);
        Step step = {.kind = STEP_STATE,
                     .term = batch.term,
                     .vote_or_kind = batch.vote};
        add_step(fixture, &step);
    }
    if (kind == 14 || kind == 15) {
        add_snapshot(fixture, &batch, kind == 15);
    }
    if (kind != 4 && last_index(&fixture->written) < INDEX_MAX) {
        add_entries(fixture, &batch);
    }
    Error err = ERROR_INIT;
    int result = Store_Write(fixture->store, &batch, &err);
    FUZZ_CHECK(!fixture->failed || result != ERR_OK,
               "a write after a failure succeeded");
    fixture->failed = result != ERR_OK;
    StoreBatch_Clear(&batch);
}

static void
sync_store(Fixture *fixture)
{
    Error err = ERROR_INIT;
    int result = Store_Sync(fixture->store, &err);
    FUZZ_CHECK(!fixture->failed || result != ERR_OK,
               "a sync after a failure succeeded");
    if (result != ERR_OK) {
        fixture->failed = true;
        return;
    }
    mark_durable(fixture);
    if (fuzz_byte(&fixture->input) & 1) {
        Store_MarkSynced(fixture->store);
    }
}

/* Closes the store, flips one bit of a file and opens the store again. The
 * damage must be reported as corruption of that file or have no effect. */
static void
check_bit_flip(Fixture *fixture)
{
    MemFolder_FailAfter(fixture->folder, 0);
    sync_store(fixture);
    if (fixture->failed) {
        return;
    }
    Store_Close(fixture->store);
    MemFolder_SyncAll(fixture->folder);
    GPtrArray *names = MemFolder_Names(fixture->folder);
    const char *name = names->pdata[fuzz_pick(&fixture->input, names->len)];
    GByteArray *content = MemFolder_Content(fixture->folder, name);
    unsigned offset = fuzz_byte(&fixture->input) * 256u;
    offset = (offset + fuzz_byte(&fixture->input)) % content->len;
    uint8_t original = content->data[offset];
    content->data[offset] ^= (uint8_t)(1u << fuzz_pick(&fixture->input, 8));
    StoreImage image;
    Error err = ERROR_INIT;
    fixture->store = try_open(fixture, &image, &err);
    if (fixture->store == NULL) {
        FUZZ_CHECK(err.code == ERR_CORRUPT && strstr(err.text, name) != NULL,
                   "the error of the damaged file %s is: %s", name, err.text);
        content->data[offset] = original;
        MemFolder_SyncAll(fixture->folder);
        open_store(fixture);
    }
    else {
        FUZZ_CHECK(is_allowed_image(fixture, &image),
                   "damage changed the stored state without an error");
        use_image(fixture, &image);
        StoreImage_Clear(&image);
    }
    g_ptr_array_unref(names);
}

static void
run_event(Fixture *fixture)
{
    unsigned choice = fuzz_pick(&fixture->input, 32);
    if (choice < 14) {
        write_batch(fixture);
    }
    else if (choice < 24) {
        sync_store(fixture);
    }
    else if (choice < 28) {
        reopen_after_crash(fixture);
    }
    else if (choice < 29) {
        MemFolder_FailAfter(fixture->folder,
                            1 + fuzz_pick(&fixture->input, 6));
    }
    else if (choice < 30) {
        MemFolder_LimitWrites(fixture->folder, fuzz_byte(&fixture->input));
    }
    else {
        check_bit_flip(fixture);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    Log_SetLevel(LOG_LEVEL_ERROR);
    Fixture fixture = {
        .input = fuzz_input(bytes, length),
        .folder = MemFolder_New(),
        .disk_id = 77,
        .unsynced_steps = g_array_new(FALSE, FALSE, sizeof(Step)),
        .unsynced_snapshots = g_array_new(FALSE, FALSE, sizeof(StoreSnapshot)),
        .next_term = 1,
    };
    fixture.durable.log = g_array_new(FALSE, FALSE, sizeof(Step));
    fixture.written.log = g_array_new(FALSE, FALSE, sizeof(Step));
    open_store(&fixture);
    for (unsigned i = 0; i < EVENTS_PER_RUN; i++) {
        run_event(&fixture);
    }
    Store_Close(fixture.store);
    g_array_unref(fixture.durable.log);
    g_array_unref(fixture.written.log);
    g_array_unref(fixture.unsynced_steps);
    g_array_unref(fixture.unsynced_snapshots);
    MemFolder_Free(fixture.folder);
    return 0;
}
