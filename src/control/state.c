/** @file
 * State machine: applies commands to the tables, advances the replicated clock
 * and returns the first reply to resent commands.
 */
#include "control/state.h"

#include <string.h>

#include "control/part_suspects.h"
#include "control/quarantine.h"
#include "control/replies.h"
#include "control/withdrawals.h"

#define CLAIMS_LOST_OWNERS_MAX 4096

const StateLimits state_limits = {
    .claims = {.claims = 250000, .answer_bytes = 32u * 1024 * 1024},
    .operator_replies = STATE_OPERATOR_REPLIES_MAX,
    .claim_replies = STATE_CLAIM_REPLIES_MAX,
};

struct State {
    StateLimits limits;
    uint64_t clock_ms;
    Rulebook *rulebook;
    Claims *claims;
    Quarantine *quarantine;
    PartSuspects *part_suspects;
    uint64_t quarantine_version;
    GHashTable *fences; /* subject -> latest number (uint64_t) */
    Withdrawals *withdrawals;
    Replies *operator_replies;
    Replies *claim_replies;
};

State *
State_New(const StateLimits *limits)
{
    State *state = g_new0(State, 1);
    state->limits = *limits;
    state->rulebook = Rulebook_New();
    state->claims = Claims_New(&limits->claims);
    state->quarantine = Quarantine_New();
    state->part_suspects = PartSuspects_New();
    state->fences =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    state->withdrawals = Withdrawals_New();
    state->operator_replies = Replies_New(limits->operator_replies);
    state->claim_replies = Replies_New(limits->claim_replies);
    return state;
}

void
State_Free(State *state)
{
    if (state == NULL) {
        return;
    }
    Rulebook_Free(state->rulebook);
    Claims_Free(state->claims);
    Quarantine_Free(state->quarantine);
    PartSuspects_Free(state->part_suspects);
    g_hash_table_destroy(state->fences);
    Withdrawals_Free(state->withdrawals);
    Replies_Free(state->operator_replies);
    Replies_Free(state->claim_replies);
    g_free(state);
}

uint64_t
State_ClockMs(const State *state)
{
    return state->clock_ms;
}

Rulebook *
State_Rulebook(State *state)
{
    return state->rulebook;
}

Claims *
State_Claims(State *state)
{
    return state->claims;
}

Wire__QuarantineEntry **
State_ListQuarantine(const State *state, size_t *count)
{
    Wire__QuarantineEntry **entries =
        Quarantine_List(state->quarantine, count);
    GPtrArray *all = g_ptr_array_new();
    for (size_t i = 0; i < *count; i++) {
        g_ptr_array_add(all, entries[i]);
    }
    g_free(entries);
    PartSuspects_List(state->part_suspects, state->clock_ms, all);
    *count = all->len;
    return (Wire__QuarantineEntry **)g_ptr_array_free(all, FALSE);
}

size_t
State_QuarantineCount(const State *state)
{
    return Quarantine_Count(state->quarantine) +
           PartSuspects_Count(state->part_suspects);
}

uint64_t
State_QuarantineVersion(const State *state)
{
    return state->quarantine_version;
}

uint64_t
State_GetFenceNumber(const State *state, const char *subject)
{
    const uint64_t *number = g_hash_table_lookup(state->fences, subject);
    return number == NULL ? 0 : *number;
}

bool
State_GetWithdrawal(const State *state, const char *subject,
                    Wire__Withdrawal *withdrawal)
{
    return Withdrawals_Find(state->withdrawals, subject, withdrawal);
}

/* ---- Handlers by kind of command ---- */

static void
apply_rules(State *state, uint64_t index, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    Rulebook_Apply(state->rulebook, index, command, reply);
}

static void
apply_claim(State *state, uint64_t index, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    Claims_Apply(state->claims, command, state->clock_ms, reply);
}

static void
apply_claims_lost(State *state, uint64_t index, const Wire__Command *command,
                  Wire__CommandReply *reply)
{
    if (command->n_owners > CLAIMS_LOST_OWNERS_MAX) {
        reply->code = ERR_TOO_LARGE;
        reply->text = "Too many owners.";
        return;
    }
    Claims_MarkLost(state->claims, command->owners, command->n_owners,
                    state->clock_ms + command->retention_ms);
}

static void
apply_fence(State *state, uint64_t index, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    size_t length = strlen(command->subject);
    if (length == 0 || length > STATE_SUBJECT_MAX_BYTES) {
        reply->code = ERR_INVALID;
        reply->text = "A fencing number needs a subject of 64 bytes.";
        return;
    }
    uint64_t *number = g_hash_table_lookup(state->fences, command->subject);
    if (number == NULL) {
        if (g_hash_table_size(state->fences) >= STATE_FENCES_MAX) {
            reply->code = ERR_FULL;
            reply->text = "The table of fencing numbers is full.";
            return;
        }
        number = g_new0(uint64_t, 1);
        g_hash_table_insert(state->fences, g_strdup(command->subject), number);
    }
    reply->fence = ++*number;
}

static void
apply_withdrawal(State *state, uint64_t index, const Wire__Command *command,
                 Wire__CommandReply *reply)
{
    Withdrawals_Apply(state->withdrawals, command, reply);
}

static void
apply_crash(State *state, uint64_t index, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    if (command->n_fingerprints > QUARANTINE_REPORT_FINGERPRINTS_MAX ||
        command->n_parts > PART_SUSPECTS_REPORT_MAX)
    {
        reply->code = ERR_TOO_LARGE;
        reply->text = "A crash report names at most 1024 fingerprints and "
                      "4096 parts.";
        return;
    }
    bool changed = PartSuspects_RecordCrash(
        state->part_suspects, command->parts, command->n_parts,
        command->incarnation, state->clock_ms);
    if (command->n_fingerprints > 0) {
        Quarantine_RecordCrash(state->quarantine, command->fingerprints,
                               command->n_fingerprints, command->subject,
                               state->clock_ms);
        changed = true;
    }
    if (changed) {
        state->quarantine_version = index;
    }
}

static void
apply_suspect_clear(State *state, uint64_t index, const Wire__Command *command,
                    Wire__CommandReply *reply)
{
    size_t parts = PartSuspects_Acquit(state->part_suspects, command->parts,
                                       command->n_parts, state->clock_ms);
    bool cleared = Quarantine_Clear(state->quarantine, command->fingerprints,
                                    command->n_fingerprints);
    if (parts > 0 || cleared) {
        state->quarantine_version = index;
    }
}

static void
apply_quarantine_lift(State *state, uint64_t index,
                      const Wire__Command *command, Wire__CommandReply *reply)
{
    size_t lifted =
        Quarantine_Lift(state->quarantine, command->fingerprints,
                        command->n_fingerprints) +
        PartSuspects_Acquit(state->part_suspects, command->fingerprints,
                            command->n_fingerprints, state->clock_ms);
    if (lifted == 0) {
        reply->code = ERR_NOT_FOUND;
        reply->text = "This fingerprint is not quarantined.";
        return;
    }
    state->quarantine_version = index;
}

/* Membership changes are applied by the replica; they change no table. */
static void
apply_member(State *state, uint64_t index, const Wire__Command *command,
             Wire__CommandReply *reply)
{
}

typedef void (*ApplyFunction)(State *state, uint64_t index,
                              const Wire__Command *command,
                              Wire__CommandReply *reply);

static const ApplyFunction apply_functions[] = {
    [WIRE__COMMAND_KIND__COMMAND_APPLY_RULES] = apply_rules,
    [WIRE__COMMAND_KIND__COMMAND_CLAIM] = apply_claim,
    [WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE] = apply_claim,
    [WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE] = apply_claim,
    [WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN] = apply_claim,
    [WIRE__COMMAND_KIND__COMMAND_FENCE] = apply_fence,
    [WIRE__COMMAND_KIND__COMMAND_CRASH] = apply_crash,
    [WIRE__COMMAND_KIND__COMMAND_WITHDRAWAL] = apply_withdrawal,
    [WIRE__COMMAND_KIND__COMMAND_QUARANTINE_LIFT] = apply_quarantine_lift,
    [WIRE__COMMAND_KIND__COMMAND_MEMBER_ADD] = apply_member,
    [WIRE__COMMAND_KIND__COMMAND_MEMBER_REMOVE] = apply_member,
    [WIRE__COMMAND_KIND__COMMAND_CLAIMS_LOST] = apply_claims_lost,
    [WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR] = apply_suspect_clear,
};

static void
advance_clock(State *state, uint64_t index, uint64_t clock_ms)
{
    if (clock_ms <= state->clock_ms) {
        return;
    }
    state->clock_ms = clock_ms;
    Claims_Expire(state->claims, clock_ms);
    bool requests = Quarantine_Expire(state->quarantine, clock_ms);
    bool parts = PartSuspects_Expire(state->part_suspects, clock_ms);
    if (requests || parts) {
        state->quarantine_version = index;
    }
}

static bool
is_claim_command(const Wire__Command *command)
{
    return command->kind >= WIRE__COMMAND_KIND__COMMAND_CLAIM &&
           command->kind <= WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN;
}

/* A stored reply does not include the answer of a finished claim. Adds it from
 * the claim if that still exists. */
static void
fill_resent_answer(const State *state, const Wire__Command *command,
                   Wire__CommandReply *reply)
{
    if (command->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM &&
        reply->claim == WIRE__CLAIM_STATE__CLAIM_FINISHED &&
        !Claims_FillAnswer(state->claims, command, reply))
    {
        reply->answer_dropped = true;
    }
}

void
State_Apply(State *state, uint64_t index, const Wire__Command *command,
            Wire__CommandReply *reply)
{
    wire__command_reply__init(reply);
    reply->command_id = command->command_id;
    advance_clock(state, index, command->clock_ms);
    if (command->command_id.len != COMMAND_ID_BYTES ||
        command->kind >= G_N_ELEMENTS(apply_functions) ||
        apply_functions[command->kind] == NULL)
    {
        reply->code = ERR_INVALID;
        reply->text = "A command needs a known kind and an id of 16 bytes.";
        return;
    }
    Replies *replies = is_claim_command(command) ? state->claim_replies
                                                 : state->operator_replies;
    if (Replies_Find(replies, command, reply)) {
        fill_resent_answer(state, command, reply);
        return;
    }
    apply_functions[command->kind](state, index, command, reply);
    if (reply->code != ERR_FULL) {
        Replies_Add(replies, command, reply);
    }
}

/* ---- Snapshots ---- */

#define SNAPSHOT_FORMAT 1

static gint
compare_fences(gconstpointer a, gconstpointer b)
{
    const State__Fence *const *first = a;
    const State__Fence *const *second = b;
    return strcmp((*first)->subject, (*second)->subject);
}

static void
save_fences(const State *state, State__Snapshot *snapshot)
{
    GHashTableIter iter;
    gpointer subject;
    gpointer number;
    snapshot->fences =
        g_new0(State__Fence *, g_hash_table_size(state->fences));
    g_hash_table_iter_init(&iter, state->fences);
    while (g_hash_table_iter_next(&iter, &subject, &number)) {
        State__Fence *record = g_new(State__Fence, 1);
        state__fence__init(record);
        record->subject = subject;
        record->number = *(uint64_t *)number;
        snapshot->fences[snapshot->n_fences++] = record;
    }
    if (snapshot->n_fences > 0) {
        qsort(snapshot->fences, snapshot->n_fences, sizeof(State__Fence *),
              compare_fences);
    }
}

static void
free_records(void *array, size_t count)
{
    void **records = array;
    for (size_t i = 0; i < count; i++) {
        g_free(records[i]);
    }
    g_free(records);
}

static GBytes *
pack_snapshot(const State__Snapshot *snapshot)
{
    size_t size = state__snapshot__get_packed_size(snapshot);
    uint8_t *bytes = g_malloc(size);
    state__snapshot__pack(snapshot, bytes);
    return g_bytes_new_take(bytes, size);
}

GBytes *
State_Save(const State *state)
{
    State__Snapshot snapshot = STATE__SNAPSHOT__INIT;
    snapshot.format = SNAPSHOT_FORMAT;
    snapshot.clock_ms = state->clock_ms;
    snapshot.quarantine_version = state->quarantine_version;
    Rulebook_Save(state->rulebook, &snapshot);
    Claims_Save(state->claims, &snapshot);
    Quarantine_Save(state->quarantine, &snapshot);
    PartSuspects_Save(state->part_suspects, state->clock_ms, &snapshot);
    save_fences(state, &snapshot);
    Withdrawals_Save(state->withdrawals, &snapshot);
    snapshot.operator_replies =
        Replies_Save(state->operator_replies, &snapshot.n_operator_replies);
    snapshot.claim_replies =
        Replies_Save(state->claim_replies, &snapshot.n_claim_replies);
    GBytes *bytes = pack_snapshot(&snapshot);
    free_records(snapshot.history, snapshot.n_history);
    free_records(snapshot.texts, snapshot.n_texts);
    free_records(snapshot.ended, snapshot.n_ended);
    free_records(snapshot.running, snapshot.n_running);
    free_records(snapshot.suspects, snapshot.n_suspects);
    free_records(snapshot.part_crashes, snapshot.n_part_crashes);
    free_records(snapshot.part_acquittals, snapshot.n_part_acquittals);
    free_records(snapshot.endpoint_ends, snapshot.n_endpoint_ends);
    free_records(snapshot.fences, snapshot.n_fences);
    free_records(snapshot.withdrawals, snapshot.n_withdrawals);
    free_records(snapshot.operator_replies, snapshot.n_operator_replies);
    free_records(snapshot.claim_replies, snapshot.n_claim_replies);
    return bytes;
}

static void
load_fences(State *state, const State__Snapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_fences; i++) {
        const State__Fence *record = snapshot->fences[i];
        g_hash_table_insert(state->fences, g_strdup(record->subject),
                            g_memdup2(&record->number, sizeof(uint64_t)));
    }
}

static int
load_tables(State *state, const State__Snapshot *snapshot)
{
    state->clock_ms = snapshot->clock_ms;
    state->quarantine_version = snapshot->quarantine_version;
    Quarantine_Load(state->quarantine, snapshot);
    PartSuspects_Load(state->part_suspects, snapshot);
    load_fences(state, snapshot);
    Withdrawals_Load(state->withdrawals, snapshot);
    for (size_t i = 0; i < snapshot->n_operator_replies; i++) {
        Replies_Load(state->operator_replies, snapshot->operator_replies[i]);
    }
    for (size_t i = 0; i < snapshot->n_claim_replies; i++) {
        Replies_Load(state->claim_replies, snapshot->claim_replies[i]);
    }
    int result = Claims_Load(state->claims, snapshot);
    return result == ERR_OK ? Rulebook_Load(state->rulebook, snapshot)
                            : result;
}

State *
State_Load(const StateLimits *limits, const uint8_t *bytes, size_t length,
           Error *err)
{
    State__Snapshot *snapshot = state__snapshot__unpack(NULL, length, bytes);
    if (snapshot == NULL) {
        Error_Set(err, ERR_CORRUPT, "The snapshot cannot be decoded.");
        return NULL;
    }
    State *state = NULL;
    if (snapshot->format != SNAPSHOT_FORMAT) {
        Error_Set(err, ERR_CORRUPT, "Snapshot format %u is not supported.",
                  snapshot->format);
    }
    else {
        state = State_New(limits);
        if (load_tables(state, snapshot) != ERR_OK) {
            Error_Set(err, ERR_CORRUPT,
                      "The snapshot has invalid or duplicate records.");
            State_Free(state);
            state = NULL;
        }
    }
    state__snapshot__free_unpacked(snapshot, NULL);
    return state;
}
