/** @file
 * State machine of the replicated log: guarantees of each table, resent
 * commands and snapshots.
 */
#include "unit.h"

#include <string.h>

#include "control/replies.h"
#include "control/state.h"
#include "rules/delta.h"

#define RETENTION_MS 10000
#define RULES_A "model a # asked by both offices\n"
#define RULES_B "model b # asked by both offices\n"

static const StateLimits small_limits = {
    .claims = {.claims = 3, .answer_bytes = 100},
    .operator_replies = 8,
    .claim_replies = 8,
};

typedef struct Fixture {
    State *state;
    uint64_t index;
    uint64_t clock_ms;
    uint8_t id[COMMAND_ID_BYTES];
    Wire__CommandReply reply;
} Fixture;

static int
set_up(void **state)
{
    Fixture *fixture = g_new0(Fixture, 1);
    fixture->state = State_New(&small_limits);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *fixture = *state;
    State_Free(fixture->state);
    g_free(fixture);
    return 0;
}

/* Applies the command with the id of the previous command. */
static Wire__CommandReply *
resend(Fixture *fixture, Wire__Command command)
{
    command.command_id.data = fixture->id;
    command.command_id.len = COMMAND_ID_BYTES;
    command.clock_ms = fixture->clock_ms;
    command.retention_ms = RETENTION_MS;
    State_Apply(fixture->state, ++fixture->index, &command, &fixture->reply);
    return &fixture->reply;
}

/* Applies the command with a new id. */
static Wire__CommandReply *
apply(Fixture *fixture, Wire__Command command)
{
    fixture->id[0]++;
    return resend(fixture, command);
}

static Wire__Command
rules_command(uint64_t base, const char *author, const char *text)
{
    Wire__Command command = WIRE__COMMAND__INIT;
    command.kind = WIRE__COMMAND_KIND__COMMAND_APPLY_RULES;
    command.base_version = base;
    command.author = (char *)author;
    command.text = (char *)text;
    return command;
}

static Wire__Command
claim_command(Wire__CommandKind kind, const char *key, uint64_t owner)
{
    Wire__Command command = WIRE__COMMAND__INIT;
    command.kind = kind;
    command.account = "sahil";
    command.key = (char *)key;
    command.body_hash = 7;
    command.owner = owner;
    return command;
}

static Wire__Command
claim(const char *key, uint64_t owner)
{
    return claim_command(WIRE__COMMAND_KIND__COMMAND_CLAIM, key, owner);
}

static Wire__Command
claim_done(const char *key, uint64_t owner, const char *answer)
{
    Wire__Command command =
        claim_command(WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE, key, owner);
    command.status = 201;
    command.content_type = "text/plain";
    command.answer.data = (uint8_t *)answer;
    command.answer.len = strlen(answer);
    return command;
}

static void
second_change_of_one_base_is_refused(void **state)
{
    Fixture *fixture = *state;
    uint64_t first = apply(fixture, rules_command(0, "ana", RULES_A))->version;
    assert_int_equal(first, 1);
    Wire__CommandReply *reply =
        apply(fixture, rules_command(0, "bo", RULES_B));
    assert_int_equal(reply->code, ERR_CONFLICT);
    assert_int_equal(reply->version, first);
    assert_non_null(strstr(reply->text, "by ana"));
    assert_string_equal(Rulebook_Text(State_Rulebook(fixture->state)),
                        RULES_A);
}

static void
resent_change_gets_first_reply(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, rules_command(0, "ana", RULES_A));
    Wire__CommandReply *reply =
        resend(fixture, rules_command(0, "ana", RULES_A));
    assert_int_equal(reply->code, ERR_OK);
    assert_int_equal(reply->version, 1);
    assert_int_equal(Rulebook_HistoryCount(State_Rulebook(fixture->state)), 1);
}

static void
delta_restores_the_whole_text(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, rules_command(0, "ana", RULES_A));
    Wire__Command command = rules_command(1, "ana", RULES_A RULES_B);
    Wire__RulesDelta delta;
    Rulebook_MakeDelta(State_Rulebook(fixture->state), &command, &delta);
    assert_non_null(command.delta);
    assert_true(delta.middle.len <= strlen(RULES_B));
    assert_int_equal(apply(fixture, command)->code, ERR_OK);
    assert_string_equal(Rulebook_Text(State_Rulebook(fixture->state)),
                        RULES_A RULES_B);
}

static void
faulty_rules_are_refused(void **state)
{
    Fixture *fixture = *state;
    Wire__CommandReply *reply =
        apply(fixture, rules_command(0, "ana", "model a\n"));
    assert_int_equal(reply->code, ERR_INVALID);
    assert_int_equal(Rulebook_Version(State_Rulebook(fixture->state)), 0);
}

static void
claim_is_granted_once(void **state)
{
    Fixture *fixture = *state;
    assert_int_equal(apply(fixture, claim("k", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
    assert_int_equal(resend(fixture, claim("k", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
    assert_int_equal(apply(fixture, claim("k", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_RUNNING);
    Wire__Command other = claim("k", 2);
    other.body_hash = 8;
    assert_int_equal(apply(fixture, other)->claim,
                     WIRE__CLAIM_STATE__CLAIM_MISMATCH);
}

static void
finished_claim_keeps_its_answer(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, claim("k", 1));
    assert_int_equal(apply(fixture, claim_done("k", 2, "no"))->code,
                     ERR_CONFLICT);
    assert_int_equal(apply(fixture, claim_done("k", 1, "kept"))->code, ERR_OK);
    Wire__CommandReply *reply = apply(fixture, claim("k", 2));
    assert_int_equal(reply->claim, WIRE__CLAIM_STATE__CLAIM_FINISHED);
    assert_int_equal(reply->status, 201);
    assert_int_equal(reply->answer.len, 4);
    assert_memory_equal(reply->answer.data, "kept", 4);
    reply = resend(fixture, claim("k", 2));
    assert_int_equal(reply->answer.len, 4);
    Wire__Command other = claim("k", 2);
    other.account = "milk";
    assert_int_equal(apply(fixture, other)->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
}

static void
released_claim_may_be_granted_again(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, claim("k", 1));
    Wire__Command release =
        claim_command(WIRE__COMMAND_KIND__COMMAND_CLAIM_RELEASE, "k", 1);
    assert_int_equal(apply(fixture, release)->code, ERR_OK);
    assert_int_equal(apply(fixture, claim("k", 2))->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
    assert_int_equal(apply(fixture, release)->code, ERR_CONFLICT);
}

static void
claims_of_disconnected_owner_are_lost(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, claim("k", 1));
    apply(fixture, claim("l", 2));
    uint64_t owners[] = {1};
    Wire__Command lost = WIRE__COMMAND__INIT;
    lost.kind = WIRE__COMMAND_KIND__COMMAND_CLAIMS_LOST;
    lost.owners = owners;
    lost.n_owners = 1;
    assert_int_equal(apply(fixture, lost)->code, ERR_OK);
    assert_int_equal(apply(fixture, claim("k", 3))->claim,
                     WIRE__CLAIM_STATE__CLAIM_LOST);
    assert_int_equal(apply(fixture, claim("l", 3))->claim,
                     WIRE__CLAIM_STATE__CLAIM_RUNNING);
    assert_int_equal(apply(fixture, claim_done("k", 1, "late"))->code, ERR_OK);
    assert_int_equal(apply(fixture, claim("k", 3))->claim,
                     WIRE__CLAIM_STATE__CLAIM_FINISHED);
}

static void
ended_claims_expire_and_running_ones_stay(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, claim("k", 1));
    apply(fixture, claim("l", 1));
    apply(fixture, claim_done("k", 1, "kept"));
    fixture->clock_ms = RETENTION_MS - 1;
    assert_int_equal(apply(fixture, claim("k", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_FINISHED);
    fixture->clock_ms = RETENTION_MS;
    assert_int_equal(apply(fixture, claim("k", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
    assert_int_equal(apply(fixture, claim("l", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_RUNNING);
}

/* A resent command gets its first reply, "finished", but not the answer of a
 * later claim of the same key for another body. */
static void
resent_claim_keeps_first_reply_after_the_key_was_reused(void **state)
{
    Fixture *fixture = *state;
    apply(fixture, claim("k", 1));
    apply(fixture, claim_done("k", 1, "first"));
    apply(fixture, claim("k", 2));
    uint8_t first_id = fixture->id[0];
    fixture->clock_ms = RETENTION_MS;
    Wire__Command other = claim("k", 3);
    other.body_hash = 8;
    assert_int_equal(apply(fixture, other)->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
    other = claim_done("k", 3, "second");
    other.body_hash = 8;
    apply(fixture, other);
    fixture->id[0] = first_id;
    const Wire__CommandReply *reply = resend(fixture, claim("k", 2));
    assert_int_equal(reply->claim, WIRE__CLAIM_STATE__CLAIM_FINISHED);
    assert_int_equal(reply->answer.len, 0);
    assert_true(reply->answer_dropped);
}

static void
claims_are_bounded(void **state)
{
    Fixture *fixture = *state;
    char answer[71];
    memset(answer, 'x', 70);
    answer[70] = '\0';
    const char *keys[] = {"a", "b", "c"};
    for (int i = 0; i < 3; i++) {
        apply(fixture, claim(keys[i], 1));
        apply(fixture, claim_done(keys[i], 1, answer));
    }
    assert_int_equal(Claims_AnswerBytes(State_Claims(fixture->state)), 70);
    assert_true(apply(fixture, claim("a", 1))->answer_dropped);
    assert_int_equal(apply(fixture, claim("d", 1))->code, ERR_FULL);
    fixture->clock_ms = RETENTION_MS;
    assert_int_equal(resend(fixture, claim("d", 1))->claim,
                     WIRE__CLAIM_STATE__CLAIM_GRANTED);
}

static void
fencing_numbers_increase_by_subject(void **state)
{
    Fixture *fixture = *state;
    Wire__Command fence = WIRE__COMMAND__INIT;
    fence.kind = WIRE__COMMAND_KIND__COMMAND_FENCE;
    fence.subject = "engine-1";
    assert_int_equal(apply(fixture, fence)->fence, 1);
    assert_int_equal(resend(fixture, fence)->fence, 1);
    assert_int_equal(apply(fixture, fence)->fence, 2);
    fence.subject = "engine-2";
    assert_int_equal(apply(fixture, fence)->fence, 1);
    assert_int_equal(State_GetFenceNumber(fixture->state, "engine-1"), 2);
}

static Wire__Command
fingerprint_command(Wire__CommandKind kind, uint64_t *fingerprints,
                    size_t count)
{
    Wire__Command command = WIRE__COMMAND__INIT;
    command.kind = kind;
    command.subject = "engine-1";
    command.fingerprints = fingerprints;
    command.n_fingerprints = count;
    return command;
}

/* Number of crashes of the fingerprint; negative when it is quarantined. */
static int
crashes_of(const Fixture *fixture, uint64_t fingerprint)
{
    size_t count;
    int crashes = 0;
    Wire__QuarantineEntry **entries =
        State_ListQuarantine(fixture->state, &count);
    for (size_t i = 0; i < count; i++) {
        if (entries[i]->fingerprint == fingerprint) {
            int sign = entries[i]->quarantined ? -1 : 1;
            crashes = sign * (int)entries[i]->crashes;
        }
        g_free(entries[i]);
    }
    g_free(entries);
    return crashes;
}

static Wire__CommandReply *
record_withdrawal(Fixture *fixture, const char *subject, const char *left_boot,
                  bool drained, uint64_t incarnation)
{
    Wire__Withdrawal withdrawal = WIRE__WITHDRAWAL__INIT;
    withdrawal.left_boot = (char *)left_boot;
    withdrawal.drained = drained;
    Wire__Command command = WIRE__COMMAND__INIT;
    command.kind = WIRE__COMMAND_KIND__COMMAND_WITHDRAWAL;
    command.subject = (char *)subject;
    command.incarnation = incarnation;
    command.withdrawal = &withdrawal;
    return apply(fixture, command);
}

/* Guards against an endpoint that left, of which an agent that starts later
 * hears nothing, and against a late word of an agent that was replaced. */
static void
withdrawals_are_kept(void **state)
{
    Fixture *fixture = *state;
    Wire__Withdrawal known;
    assert_false(State_GetWithdrawal(fixture->state, "a", &known));
    assert_int_equal(record_withdrawal(fixture, "a", "boot", true, 5)->code,
                     ERR_OK);
    assert_int_equal(record_withdrawal(fixture, "a", "", false, 4)->code,
                     ERR_CONFLICT);
    GBytes *bytes = State_Save(fixture->state);
    gsize length;
    const uint8_t *data = g_bytes_get_data(bytes, &length);
    State *copy = State_Load(&small_limits, data, length, NULL);
    assert_true(State_GetWithdrawal(copy, "a", &known));
    assert_string_equal(known.left_boot, "boot");
    assert_true(known.drained);
    State_Free(copy);
    g_bytes_unref(bytes);
    assert_int_equal(record_withdrawal(fixture, "a", "", false, 6)->code,
                     ERR_OK);
    assert_true(State_GetWithdrawal(fixture->state, "a", &known));
    assert_string_equal(known.left_boot, "");
    assert_false(known.drained);
    assert_int_equal(record_withdrawal(fixture, "", "", true, 1)->code,
                     ERR_INVALID);
}

static void
second_crash_quarantines_and_suspects_are_cleared(void **state)
{
    Fixture *fixture = *state;
    uint64_t both[] = {11, 22};
    apply(fixture,
          fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, both, 2));
    assert_int_equal(crashes_of(fixture, 11), 1);
    assert_int_equal(crashes_of(fixture, 22), 1);
    apply(fixture,
          fingerprint_command(WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR,
                              &both[1], 1));
    assert_int_equal(crashes_of(fixture, 22), 0);
    Wire__Command again =
        fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, both, 1);
    apply(fixture, again);
    resend(fixture, again);
    assert_int_equal(crashes_of(fixture, 11), -2);
    apply(fixture, fingerprint_command(
                       WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR, both, 1));
    assert_int_equal(crashes_of(fixture, 11), -2);
    Wire__Command lift = fingerprint_command(
        WIRE__COMMAND_KIND__COMMAND_QUARANTINE_LIFT, both, 1);
    assert_int_equal(apply(fixture, lift)->code, ERR_OK);
    assert_int_equal(apply(fixture, lift)->code, ERR_NOT_FOUND);
}

/* Counts the crash of one incarnation against a part of a prompt. */
static void
crash_part(Fixture *fixture, uint64_t part, uint64_t incarnation)
{
    Wire__Command command =
        fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, NULL, 0);
    command.parts = &part;
    command.n_parts = 1;
    command.incarnation = incarnation;
    apply(fixture, command);
}

static void
third_crash_quarantines_a_part_and_an_answer_clears_it(void **state)
{
    Fixture *fixture = *state;
    fixture->clock_ms = 1000;
    uint64_t part = 77;
    crash_part(fixture, part, 1);
    crash_part(fixture, part, 1);
    assert_int_equal(crashes_of(fixture, part), 0); /* one is not listed */
    crash_part(fixture, part, 2);
    assert_int_equal(crashes_of(fixture, part), 2);
    crash_part(fixture, part, 3);
    assert_int_equal(crashes_of(fixture, part), -3);
    Wire__Command clear = fingerprint_command(
        WIRE__COMMAND_KIND__COMMAND_SUSPECT_CLEAR, NULL, 0);
    clear.parts = &part;
    clear.n_parts = 1;
    apply(fixture, clear);
    assert_int_equal(crashes_of(fixture, part), 0);
}

static void
suspects_and_quarantine_expire(void **state)
{
    Fixture *fixture = *state;
    uint64_t one[] = {11};
    Wire__Command crash =
        fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, one, 1);
    apply(fixture, crash);
    fixture->clock_ms = QUARANTINE_SUSPECT_WINDOW_MS;
    apply(fixture, crash);
    assert_int_equal(crashes_of(fixture, 11), 1);
    apply(fixture, crash);
    assert_int_equal(crashes_of(fixture, 11), -2);
    uint64_t version = State_QuarantineVersion(fixture->state);
    fixture->clock_ms += QUARANTINE_DURATION_MS;
    apply(fixture, claim("k", 1));
    assert_int_equal(crashes_of(fixture, 11), 0);
    assert_true(State_QuarantineVersion(fixture->state) > version);
}

static void
snapshot_gives_the_same_state(void **state)
{
    Fixture *fixture = *state;
    uint64_t one[] = {11};
    apply(fixture, rules_command(0, "ana", RULES_A));
    apply(fixture, claim("k", 1));
    apply(fixture, claim_done("k", 1, "kept"));
    apply(fixture, claim("l", 2));
    apply(fixture,
          fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, one, 1));
    GBytes *bytes = State_Save(fixture->state);
    Error err = ERROR_INIT;
    State *copy = State_Load(&small_limits, g_bytes_get_data(bytes, NULL),
                             g_bytes_get_size(bytes), &err);
    assert_non_null(copy);
    GBytes *again = State_Save(copy);
    assert_true(g_bytes_equal(bytes, again));
    State_Free(fixture->state);
    fixture->state = copy;
    resend(fixture,
           fingerprint_command(WIRE__COMMAND_KIND__COMMAND_CRASH, one, 1));
    assert_int_equal(crashes_of(fixture, 11), 1);
    g_bytes_unref(bytes);
    g_bytes_unref(again);
}

static void
broken_snapshot_is_refused(void **state)
{
    Error err = ERROR_INIT;
    assert_null(
        State_Load(&small_limits, (const uint8_t *)"\xff\xff", 2, &err));
    assert_int_equal(err.code, ERR_CORRUPT);
}

#define TEST(function)                                                        \
    cmocka_unit_test_setup_teardown(function, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(second_change_of_one_base_is_refused),
        TEST(resent_change_gets_first_reply),
        TEST(delta_restores_the_whole_text),
        TEST(faulty_rules_are_refused),
        TEST(claim_is_granted_once),
        TEST(finished_claim_keeps_its_answer),
        TEST(released_claim_may_be_granted_again),
        TEST(claims_of_disconnected_owner_are_lost),
        TEST(ended_claims_expire_and_running_ones_stay),
        TEST(resent_claim_keeps_first_reply_after_the_key_was_reused),
        TEST(claims_are_bounded),
        TEST(fencing_numbers_increase_by_subject),
        TEST(second_crash_quarantines_and_suspects_are_cleared),
        TEST(third_crash_quarantines_a_part_and_an_answer_clears_it),
        TEST(suspects_and_quarantine_expire),
        TEST(withdrawals_are_kept),
        TEST(snapshot_gives_the_same_state),
        TEST(broken_snapshot_is_refused),
    };
    return cmocka_run_group_tests_name("state", tests, NULL, NULL);
}
