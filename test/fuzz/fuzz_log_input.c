/** @file
 * Fuzz target for the input of one log core: messages with arbitrary fields
 * and senders, and raw bytes decoded as frames. No input may crash the
 * process.
 */
#include "fuzz.h"

#include "control/log_core.h"
#include "control/replica_wire.h"
#include "wire/frame.h"

#define EVENTS_PER_RUN 200
#define VOTERS 3
#define VALUE_LIMIT 6

static LogCore *
new_core(void)
{
    LogConfig config = {.count = VOTERS};
    for (unsigned i = 0; i < VOTERS; i++) {
        config.members[i] = (LogMember){.id = i + 1, .disk_id = i + 1};
    }
    StoreImage image = {.term = 1, .entries = StoreEntry_NewArray()};
    StoreEntry entry = {
        .index = 1,
        .term = 1,
        .kind = LOG_ENTRY_MEMBERS,
        .data = LogConfig_Pack(&config),
    };
    StoreEntry_Append(image.entries, &entry);
    g_bytes_unref(entry.data);
    LogCoreSpec spec = {
        .id = 1,
        .disk_id = 1,
        .timing = {.heartbeat_interval = 100 * US_PER_MS,
                   .election_timeout = 500 * US_PER_MS,
                   .replace_timeout = US_PER_S},
        .image = &image,
    };
    Error err = ERROR_INIT;
    LogCore *core = LogCore_New(&spec, &err);
    StoreImage_Clear(&image);
    return core;
}

static void
drain_core(LogCore *core, TimeUs now)
{
    StoreBatch batch;
    LogCore_Flush(core, now);
    while (LogCore_TakeBatch(core, &batch)) {
        LogCore_OnSaved(core, batch.sequence, now);
        StoreBatch_Clear(&batch);
    }
    LogMessage message;
    while (LogCore_TakeMessage(core, &message)) {
        LogMessage_Clear(&message);
    }
    const StoreEntry *entry;
    const StoreSnapshot *snapshot;
    while (LogCore_NextApply(core, &entry, &snapshot) != LOG_APPLY_NONE) {
    }
}

static GArray *
make_entries(FuzzInput *input, uint64_t index)
{
    GArray *entries = StoreEntry_NewArray();
    for (unsigned left = fuzz_pick(input, 4); left > 0; left--) {
        uint8_t byte = fuzz_byte(input);
        StoreEntry entry = {
            .index = ++index,
            .term = fuzz_pick(input, VALUE_LIMIT),
            .kind = fuzz_pick(input, 3),
            .data = g_bytes_new(&byte, 1),
        };
        StoreEntry_Append(entries, &entry);
        g_bytes_unref(entry.data);
    }
    return entries;
}

static void
receive_message(LogCore *core, FuzzInput *input, TimeUs now)
{
    LogMessage message = {
        .type = (LogMessageType)fuzz_pick(input, LOG_TIMEOUT_NOW + 1),
        .from = 1 + fuzz_pick(input, VOTERS + 1),
        .to = 1,
        .to_disk_id = 1,
        .term = fuzz_pick(input, VALUE_LIMIT),
        .index = fuzz_pick(input, VALUE_LIMIT),
        .log_term = fuzz_pick(input, VALUE_LIMIT),
        .commit_index = fuzz_pick(input, VALUE_LIMIT),
        .round = fuzz_pick(input, VALUE_LIMIT),
        .offset = fuzz_pick(input, 2),
    };
    LogStatus status;
    LogCore_GetStatus(core, &status);
    if (fuzz_byte(input) & 1) {
        message.term = status.term + fuzz_pick(input, 2);
        message.index = status.last_index + 1 - fuzz_pick(input, 3);
    }
    message.from_disk_id = message.from;
    unsigned flags = fuzz_byte(input);
    message.pre_vote = flags & 1;
    message.transfer = flags & 2;
    message.success = flags & 4;
    message.done = flags & 8;
    message.entries = make_entries(input, message.index);
    message.data = g_bytes_new(&flags, 1);
    LogCore_Receive(core, &message, now);
    LogMessage_Clear(&message);
}

static void
read_frames(LogCore *core, const uint8_t *bytes, size_t length)
{
    struct evbuffer *in = evbuffer_new();
    evbuffer_add(in, bytes, length);
    Wire__Frame *frame = NULL;
    Error err = ERROR_INIT;
    while (Frame_Read(in, &frame, &err) == ERR_OK && frame != NULL) {
        LogMessage message = {.type = LOG_VOTE};
        if (ReplicaWire_Read(frame, &message)) {
            message.from = 2;
            message.from_disk_id = 2;
            LogCore_Receive(core, &message, 0);
            LogMessage_Clear(&message);
        }
        wire__frame__free_unpacked(frame, NULL);
    }
    evbuffer_free(in);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    FuzzInput input = fuzz_input(bytes, length);
    LogCore *core = new_core();
    read_frames(core, bytes, length);
    TimeUs now = 0;
    for (unsigned i = 0; i < EVENTS_PER_RUN; i++) {
        now += fuzz_pick(&input, 4) * 50 * US_PER_MS;
        if (fuzz_pick(&input, 4) == 0) {
            LogCore_Tick(core, now);
        }
        receive_message(core, &input, now);
        drain_core(core, now);
    }
    LogCore_Free(core);
    return 0;
}
