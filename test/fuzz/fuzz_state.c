/** @file
 * Fuzz target for the replicated state machine, compared with a simple oracle:
 * claims, rules, fencing numbers, quarantine and resent commands, with
 * snapshots saved and loaded in between. A second state machine, which is
 * never loaded from a snapshot, must end with an identical snapshot.
 */
#include "fuzz.h"

#include <string.h>

#include "control/replies.h"
#include "control/state.h"

#define ACCOUNTS 2
#define KEYS 3
#define OWNERS 3
#define SUBJECTS 2
#define FINGERPRINTS 4
#define FIRST_PART 1000
#define INCARNATIONS 12
#define COMMANDS_MAX 200
#define RETENTION_MS 1000
#define ANSWER_BYTES 300

static const StateLimits limits = {
    .claims = {.claims = 100, .answer_bytes = 2 * ANSWER_BYTES},
    .operator_replies = COMMANDS_MAX,
    .claim_replies = COMMANDS_MAX,
};

static const char *const accounts[ACCOUNTS] = {"sahil", "milk"};
static const char *const keys[KEYS] = {"k", "l", "m"};
static const char *const subjects[SUBJECTS] = {"engine-1", "engine-2"};
/* Rule files; only the last one is invalid. */
static const char *const rule_texts[] = {
    "model a # asked by X\n", "model b # asked by X\n",
    "model a # asked by X\nmodel c # asked by Y\n", "model\n"};

typedef struct OracleClaim {
    Wire__ClaimState state; /* NONE, RUNNING, FINISHED or LOST */
    uint64_t owner;
    uint64_t body_hash;
    uint64_t expires_ms;
    uint8_t answer; /* value of each byte of the stored answer */
} OracleClaim;

typedef struct OracleSuspect {
    unsigned crashes;
    uint64_t last_ms;
} OracleSuspect;

/* A command and the reply that the oracle expects, also when it is resent. */
typedef struct SentCommand {
    unsigned kind;
    unsigned account;
    unsigned key;
    unsigned owner;
    unsigned body_hash;
    unsigned subject;
    unsigned text;
    uint64_t base_version;
    uint64_t fingerprints[2];
    uint64_t parts[2]; /* of prompts; compared with the reference only */
    uint64_t incarnation;
    int code;
    uint64_t version;
    unsigned claim;
    uint64_t fence;
} SentCommand;

typedef struct Run {
    State *state;
    State *reference; /* never loaded from a snapshot */
    uint64_t index;
    uint64_t clock_ms;
    OracleClaim claims[ACCOUNTS][KEYS];
    OracleSuspect suspects[FINGERPRINTS];
    uint64_t fences[SUBJECTS];
    uint64_t rules_version;
    unsigned rules_text;
    SentCommand sent[COMMANDS_MAX];
    unsigned sent_count;
    uint8_t answer[ANSWER_BYTES];
} Run;

/* ---- The oracle ---- */

static void
expire_records(Run *run)
{
    for (unsigned i = 0; i < ACCOUNTS * KEYS; i++) {
        OracleClaim *claim = &run->claims[i / KEYS][i % KEYS];
        if (claim->state != WIRE__CLAIM_STATE__CLAIM_NONE &&
            claim->state != WIRE__CLAIM_STATE__CLAIM_RUNNING &&
            claim->expires_ms <= run->clock_ms)
        {
            claim->state = WIRE__CLAIM_STATE__CLAIM_NONE;
        }
    }
    for (unsigned i = 0; i < FINGERPRINTS; i++) {
        OracleSuspect *suspect = &run->suspects[i];
        uint64_t duration = suspect->crashes > 1
                                ? QUARANTINE_DURATION_MS
                                : QUARANTINE_SUSPECT_WINDOW_MS;
        if (suspect->last_ms + duration <= run->clock_ms) {
            suspect->crashes = 0;
        }
    }
}

static void
expect_claim(OracleClaim *claim, SentCommand *sent)
{
    if (claim->state == WIRE__CLAIM_STATE__CLAIM_NONE) {
        claim->state = WIRE__CLAIM_STATE__CLAIM_RUNNING;
        claim->owner = sent->owner;
        claim->body_hash = sent->body_hash;
        sent->claim = WIRE__CLAIM_STATE__CLAIM_GRANTED;
        return;
    }
    sent->claim = claim->body_hash == sent->body_hash
                      ? claim->state
                      : WIRE__CLAIM_STATE__CLAIM_MISMATCH;
}

static void
expect_claim_end(const Run *run, OracleClaim *claim, SentCommand *sent)
{
    bool done = sent->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE;
    bool is_running = claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING;
    bool is_lost = claim->state == WIRE__CLAIM_STATE__CLAIM_LOST;
    sent->claim = claim->state;
    if (claim->state == WIRE__CLAIM_STATE__CLAIM_NONE) {
        sent->code = ERR_NOT_FOUND;
        return;
    }
    if (claim->owner != sent->owner || !(is_running || (is_lost && done))) {
        sent->code = ERR_CONFLICT;
        return;
    }
    claim->expires_ms = run->clock_ms + RETENTION_MS;
    claim->state = WIRE__CLAIM_STATE__CLAIM_LOST;
    if (done) {
        claim->state = WIRE__CLAIM_STATE__CLAIM_FINISHED;
        claim->answer = (uint8_t)sent->text;
    }
    if (sent->kind == WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE) {
        claim->state = WIRE__CLAIM_STATE__CLAIM_NONE;
    }
    sent->claim = claim->state;
}

static void
expect_claims_lost(Run *run, const SentCommand *sent)
{
    for (unsigned i = 0; i < ACCOUNTS * KEYS; i++) {
        OracleClaim *claim = &run->claims[i / KEYS][i % KEYS];
        if (claim->state == WIRE__CLAIM_STATE__CLAIM_RUNNING &&
            claim->owner == sent->owner)
        {
            claim->state = WIRE__CLAIM_STATE__CLAIM_LOST;
            claim->expires_ms = run->clock_ms + RETENTION_MS;
        }
    }
}

static void
expect_rules(Run *run, SentCommand *sent)
{
    sent->version = run->rules_version;
    if (sent->base_version != run->rules_version) {
        sent->code = ERR_CONFLICT;
        return;
    }
    if (sent->text == G_N_ELEMENTS(rule_texts) - 1) {
        sent->code = ERR_INVALID;
        sent->version = 0;
        return;
    }
    run->rules_version = run->index;
    run->rules_text = sent->text;
    sent->version = run->index;
}

static void
expect_fingerprints(Run *run, SentCommand *sent)
{
    bool found = false;
    bool crash = sent->kind == WIRE__COMMAND_KIND__COMMAND_CRASH;
    bool lifts = sent->kind == WIRE__COMMAND_KIND__COMMAND_QUARANTINE_LIFT;
    for (unsigned i = 0; i < 2; i++) {
        OracleSuspect *suspect = &run->suspects[sent->fingerprints[i]];
        bool repeated =
            i == 1 && sent->fingerprints[0] == sent->fingerprints[1];
        found = found || suspect->crashes > 0;
        if (crash && !repeated) {
            suspect->crashes++;
            suspect->last_ms = run->clock_ms;
        }
        if (lifts || (!crash && suspect->crashes == 1)) {
            suspect->crashes = 0;
        }
    }
    if (lifts && !found) {
        sent->code = ERR_NOT_FOUND;
    }
}

/* Applies a command to the oracle and sets the expected reply. */
static void
expect_reply(Run *run, SentCommand *sent)
{
    OracleClaim *claim = &run->claims[sent->account][sent->key];
    switch (sent->kind) {
    case WIRE__COMMAND_KIND__COMMAND_APPLY_RULES:
        expect_rules(run, sent);
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIM:
        expect_claim(claim, sent);
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE:
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE:
    case WIRE__COMMAND_KIND__COMMAND_CLAIM_UNKNOWN:
        expect_claim_end(run, claim, sent);
        break;
    case WIRE__COMMAND_KIND__COMMAND_CLAIMS_LOST:
        expect_claims_lost(run, sent);
        break;
    case WIRE__COMMAND_KIND__COMMAND_FENCE:
        sent->fence = ++run->fences[sent->subject];
        break;
    default:
        expect_fingerprints(run, sent);
        break;
    }
}

/* ---- The state machine ---- */

static void
fill_command(const Run *run, const SentCommand *sent, uint64_t *owner,
             Wire__Command *command)
{
    wire__command__init(command);
    command->kind = sent->kind;
    command->author = "ana";
    command->base_version = sent->base_version;
    command->text = (char *)rule_texts[sent->text];
    command->account = (char *)accounts[sent->account];
    command->key = (char *)keys[sent->key];
    command->body_hash = sent->body_hash;
    command->owner = *owner = sent->owner;
    command->owners = owner;
    command->n_owners = 1;
    command->subject = (char *)subjects[sent->subject];
    command->fingerprints = (uint64_t *)sent->fingerprints;
    command->n_fingerprints = 2;
    command->parts = (uint64_t *)sent->parts;
    command->n_parts = 2;
    command->incarnation = sent->incarnation;
    command->retention_ms = RETENTION_MS;
    command->clock_ms = run->clock_ms;
    command->status = 201;
    command->answer.data = (uint8_t *)run->answer;
    command->answer.len = ANSWER_BYTES;
}

static void
check_answer(const Run *run, const SentCommand *sent,
             const Wire__CommandReply *reply)
{
    const OracleClaim *claim = &run->claims[sent->account][sent->key];
    if (sent->kind != WIRE__COMMAND_KIND__COMMAND_CLAIM ||
        sent->claim != WIRE__CLAIM_STATE__CLAIM_FINISHED)
    {
        FUZZ_CHECK(reply->answer.len == 0,
                   "a reply contains an answer where none is expected");
        return;
    }
    if (reply->answer.len == 0) {
        FUZZ_CHECK(reply->answer_dropped,
                   "the answer is missing but not reported as dropped");
        return;
    }
    FUZZ_CHECK(reply->answer.len == ANSWER_BYTES,
               "the answer has the wrong length");
    FUZZ_CHECK(claim->state == WIRE__CLAIM_STATE__CLAIM_FINISHED &&
                   claim->body_hash == sent->body_hash,
               "a reply contains an answer, but the claim is not finished "
               "or has another body hash");
    FUZZ_CHECK(reply->answer.data[0] == claim->answer,
               "the answer is not the stored one");
}

static void
apply_command(Run *run, State *state, const SentCommand *sent, unsigned number)
{
    uint8_t id[COMMAND_ID_BYTES] = {(uint8_t)number, 1};
    uint64_t owner;
    Wire__Command command;
    Wire__CommandReply reply;
    fill_command(run, sent, &owner, &command);
    command.command_id.data = id;
    command.command_id.len = sizeof(id);
    memset(run->answer, (int)sent->text, ANSWER_BYTES);
    State_Apply(state, run->index, &command, &reply);
    FUZZ_CHECK(reply.code == sent->code,
               "code of command kind %u is %d, expected %d", sent->kind,
               reply.code, sent->code);
    FUZZ_CHECK(reply.claim == sent->claim,
               "claim state of command kind %u is %u, expected %u", sent->kind,
               reply.claim, sent->claim);
    FUZZ_CHECK(reply.version == sent->version,
               "rule version of the reply differs");
    FUZZ_CHECK(reply.fence == sent->fence,
               "fencing number of the reply differs");
    check_answer(run, sent, &reply);
}

/* Applies a new command, or an earlier one again in one of four cases. */
static void
send_command(Run *run, FuzzInput *input)
{
    bool resend = run->sent_count > 0 && fuzz_pick(input, 4) == 0;
    run->index++;
    expire_records(run);
    if (resend) {
        unsigned number = fuzz_pick(input, run->sent_count);
        apply_command(run, run->state, &run->sent[number], number);
        apply_command(run, run->reference, &run->sent[number], number);
        return;
    }
    /* Values of Wire__CommandKind; a value that occurs more often is likelier.
     */
    static const unsigned kinds[] = {1, 2, 2, 2, 3, 4,  4,
                                     5, 6, 7, 7, 8, 11, 12};
    unsigned number = run->sent_count++;
    SentCommand *sent = &run->sent[number];
    sent->kind = kinds[fuzz_pick(input, G_N_ELEMENTS(kinds))];
    unsigned choice = fuzz_byte(input);
    sent->account = choice % ACCOUNTS;
    sent->key = choice / ACCOUNTS % KEYS;
    sent->owner = 1 + choice / (ACCOUNTS * KEYS) % OWNERS;
    sent->body_hash = choice % 5 == 0;
    sent->subject = choice % SUBJECTS;
    sent->text = fuzz_pick(input, G_N_ELEMENTS(rule_texts));
    sent->base_version = choice % 4 == 0 ? run->index / 2 : run->rules_version;
    sent->fingerprints[0] = choice % FINGERPRINTS;
    sent->fingerprints[1] = choice / FINGERPRINTS % FINGERPRINTS;
    for (int i = 0; i < 2; i++) {
        sent->parts[i] = sent->fingerprints[i] + FIRST_PART;
    }
    sent->incarnation = choice % INCARNATIONS;
    expect_reply(run, sent);
    apply_command(run, run->state, sent, number);
    apply_command(run, run->reference, sent, number);
}

static void
reload_state(Run *run)
{
    GBytes *bytes = State_Save(run->state);
    Error err = ERROR_INIT;
    State *copy = State_Load(&limits, g_bytes_get_data(bytes, NULL),
                             g_bytes_get_size(bytes), &err);
    FUZZ_CHECK(copy != NULL, "a saved snapshot was refused: %s", err.text);
    State_Free(run->state);
    run->state = copy;
    g_bytes_unref(bytes);
}

static void
check_tables(const Run *run)
{
    size_t claims = 0;
    for (unsigned i = 0; i < ACCOUNTS * KEYS; i++) {
        claims += run->claims[i / KEYS][i % KEYS].state !=
                  WIRE__CLAIM_STATE__CLAIM_NONE;
    }
    const Claims *table = State_Claims(run->state);
    FUZZ_CHECK(Claims_Count(table) >= claims, "a claim is missing");
    FUZZ_CHECK(Claims_AnswerBytes(table) <= limits.claims.answer_bytes,
               "stored answers exceed their maximum size");
    const Rulebook *book = State_Rulebook(run->state);
    FUZZ_CHECK(Rulebook_Version(book) == run->rules_version,
               "version of the rules differs");
    FUZZ_CHECK(run->rules_version == 0 ||
                   strcmp(Rulebook_Text(book), rule_texts[run->rules_text]) ==
                       0,
               "text of the rules differs");
}

static void
check_reference(const Run *run)
{
    GBytes *bytes = State_Save(run->state);
    GBytes *reference = State_Save(run->reference);
    FUZZ_CHECK(g_bytes_equal(bytes, reference),
               "the snapshots of the two state machines differ");
    g_bytes_unref(bytes);
    g_bytes_unref(reference);
}

static void
run_step(Run *run, FuzzInput *input)
{
    switch (fuzz_pick(input, 12)) {
    case 0:
        reload_state(run);
        break;
    case 1:
        run->clock_ms += 100u * (1 + fuzz_pick(input, 12));
        break;
    case 2:
        run->clock_ms += fuzz_pick(input, 2) ? QUARANTINE_SUSPECT_WINDOW_MS
                                             : QUARANTINE_DURATION_MS;
        break;
    default:
        send_command(run, input);
        check_tables(run);
        break;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    FuzzInput input = {.bytes = bytes, .length = length};
    Run *run = g_new0(Run, 1);
    run->state = State_New(&limits);
    run->reference = State_New(&limits);
    while (input.position < input.length && run->sent_count < COMMANDS_MAX) {
        run_step(run, &input);
    }
    check_reference(run);
    State_Free(run->state);
    State_Free(run->reference);
    g_free(run);
    return 0;
}
