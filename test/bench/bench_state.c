/** @file
 * Bench of the replicated state machine: time and memory per claim, time of a
 * rule change with 30,000 accounts, and time and size of a snapshot.
 *
 * Prints `NAME VALUE UNIT` lines. Fails if a claim among MANY_CLAIMS takes
 * more than CLAIM_RATIO_MAX times as long as one among FEW_CLAIMS, or more
 * memory than CLAIM_MAX_BYTES.
 */
#include <stdio.h>
#include <string.h>

#include <malloc.h>

#include "control/replies.h"
#include "control/state.h"
#include "kernel/clock.h"
#include "rules/rules.h"

#define FEW_CLAIMS 1000u
#define MANY_CLAIMS 100000u
#define ACCOUNTS 30000u
#define CLAIM_RATIO_MAX 8.0
#define CLAIM_MAX_BYTES 1000.0

static uint64_t next_index;

static void
apply(State *state, Wire__Command *command)
{
    static uint8_t id[COMMAND_ID_BYTES];
    uint64_t index = ++next_index;
    memcpy(id, &index, sizeof(index));
    command->command_id.data = id;
    command->command_id.len = sizeof(id);
    command->retention_ms = 1000000;
    Wire__CommandReply reply;
    State_Apply(state, index, command, &reply);
    INVARIANT(reply.code == ERR_OK);
}

/* Creates and finishes @p count claims. Returns the nanoseconds per claim. */
static double
run_claims(State *state, unsigned count)
{
    TimeUs start = Clock_Now();
    for (unsigned i = 0; i < count; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "order-%u", i);
        Wire__Command command = WIRE__COMMAND__INIT;
        command.kind = WIRE__COMMAND_KIND__COMMAND_CLAIM;
        command.account = "sahil";
        command.key = key;
        command.owner = 1;
        apply(state, &command);
        command.kind = WIRE__COMMAND_KIND__COMMAND_CLAIM_DONE;
        command.content_type = "application/json";
        command.answer.data = (uint8_t *)"{\"order\": 17}";
        command.answer.len = 13;
        apply(state, &command);
    }
    return (double)(Clock_Now() - start) * 1000 / count;
}

/* Returns the nanoseconds per claim, or 1e12 if a claim among MANY_CLAIMS
 * needs more than CLAIM_MAX_BYTES, so that the check of the time fails too. */
static double
measure_claims(unsigned count)
{
    struct mallinfo2 before = mallinfo2();
    State *state = State_New(&state_limits);
    double ns = run_claims(state, count);
    struct mallinfo2 after = mallinfo2();
    double bytes = (double)(after.uordblks - before.uordblks) / count;
    TimeUs start = Clock_Now();
    GBytes *snapshot = State_Save(state);
    double ms = (double)(Clock_Now() - start) / US_PER_MS;
    printf("claims_%u_take_and_end %.0f ns\n", count, ns);
    printf("claims_%u_memory_of_one %.0f bytes\n", count, bytes);
    printf("claims_%u_snapshot %.1f ms\n", count, ms);
    printf("claims_%u_snapshot_size %zu bytes\n", count,
           g_bytes_get_size(snapshot));
    g_bytes_unref(snapshot);
    State_Free(state);
    return count == MANY_CLAIMS && bytes > CLAIM_MAX_BYTES ? 1e12 : ns;
}

static char *
make_rules(unsigned tier)
{
    GString *text = g_string_new(NULL);
    for (unsigned i = 0; i < ACCOUNTS; i++) {
        char key[32];
        char hex[2 * RULES_KEY_HASH_BYTES + 1];
        g_snprintf(key, sizeof(key), "key-%u", i);
        Rules_HashKey(key, hex);
        g_string_append_printf(
            text, "account office-%u key=%s tier=%u # asked by both offices\n",
            i, hex, i == ACCOUNTS / 2 ? tier : 1);
    }
    return g_string_free(text, FALSE);
}

static void
measure_rules(void)
{
    State *state = State_New(&state_limits);
    char *first = make_rules(2);
    char *second = make_rules(3);
    Wire__Command command = WIRE__COMMAND__INIT;
    command.kind = WIRE__COMMAND_KIND__COMMAND_APPLY_RULES;
    command.author = "night desk";
    command.text = first;
    apply(state, &command);
    Wire__RulesDelta delta;
    command.base_version = Rulebook_Version(State_Rulebook(state));
    command.text = second;
    Rulebook_MakeDelta(State_Rulebook(state), &command, &delta);
    size_t packed = wire__command__get_packed_size(&command);
    TimeUs start = Clock_Now();
    apply(state, &command);
    printf("rules_change_apply %.1f ms\n",
           (double)(Clock_Now() - start) / US_PER_MS);
    printf("rules_change_log_entry %zu bytes\n", packed);
    State_Free(state);
    g_free(first);
    g_free(second);
}

int
main(void)
{
    double few = measure_claims(FEW_CLAIMS);
    double many = measure_claims(MANY_CLAIMS);
    printf("claims_%u_to_%u %.2f ratio\n", MANY_CLAIMS, FEW_CLAIMS,
           many / few);
    measure_rules();
    if (many > CLAIM_RATIO_MAX * few) {
        fprintf(
            stderr,
            "bench_state: a claim among many takes too much time or memory\n");
        return 1;
    }
    return 0;
}
