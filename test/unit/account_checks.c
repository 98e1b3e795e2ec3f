/** @file
 * Bursts of accounts: plays them, prints and checks what callers get.
 */
#include "account_checks.h"

#include <glib.h>

#include "pool_play.h"
#include "unit.h"

#define RUN_MS 23000
#define COUNT_UNTIL_MS 13000
#define BURST_FROM_MS 3000
#define BURST 6
/* Largest loss of a small account's served fraction to the burst. */
#define SMALL_LOSS_MAX 0.03
/* Largest loss of the served fraction of all callers to the shares. */
#define GOODPUT_LOSS_MAX 0.01

static double
fraction(unsigned served, unsigned callers)
{
    return callers > 0 ? (double)served / callers : 1;
}

/* Accounts of a group, or -1 for all. */
typedef struct Group {
    int tier;
    int rank;
    bool small; /* small accounts only, without the one that bursts */
    unsigned burst_account;
} Group;

static double
group_served(const PoolResult *result, Group group)
{
    unsigned served = 0;
    unsigned callers = 0;
    for (unsigned a = 0; a < POOL_PLAY_ACCOUNTS; a++) {
        if ((group.small &&
             (a < POOL_PLAY_LARGE || a == group.burst_account)) ||
            (group.tier >= 0 &&
             PoolPlay_AccountTier(a) != (unsigned)group.tier))
        {
            continue;
        }
        for (int r = 0; r < POOL_PLAY_RANKS; r++) {
            if (group.rank < 0 || r == group.rank) {
                served += result->accounts[a][r].served;
                callers += result->accounts[a][r].callers;
            }
        }
    }
    return fraction(served, callers);
}

static double
account_served(const PoolResult *result, unsigned account)
{
    unsigned served = 0;
    unsigned callers = 0;
    for (int r = 0; r < POOL_PLAY_RANKS; r++) {
        served += result->accounts[account][r].served;
        callers += result->accounts[account][r].callers;
    }
    return fraction(served, callers);
}

static double
goodput(const PoolResult *result)
{
    return group_served(result, (Group){.tier = -1, .rank = -1});
}

static double
slot_s(const PoolResult *result)
{
    double sum = 0;
    for (unsigned a = 0; a < POOL_PLAY_ACCOUNTS; a++) {
        sum += result->account_slot_ms[a] / 1000;
    }
    return sum;
}

/* Jain's index of the served fractions of the accounts of a tier. */
static double
jain(const PoolResult *result, unsigned tier)
{
    double sum = 0;
    double squares = 0;
    unsigned count = 0;
    for (unsigned a = 0; a < POOL_PLAY_ACCOUNTS; a++) {
        if (PoolPlay_AccountTier(a) == tier) {
            double value = account_served(result, a);
            sum += value;
            squares += value * value;
            count++;
        }
    }
    return squares > 0 ? sum * sum / (count * squares) : 1;
}

/* @param account  the one that bursts. */
static void
print_result(const char *what, const PoolResult *result, unsigned account)
{
    print_message("  %s: goodput %.3f, slot time %.0f s, wants %u, refusals "
                  "after %.0f/%.0f/%.0f ms, asked %.1f, wrong %.3f, Jain tier "
                  "0 %.3f tier 1 %.3f\n",
                  what, goodput(result), slot_s(result), result->wants,
                  result->refusal_p10_ms, result->refusal_p50_ms,
                  result->refusal_p90_ms,
                  fraction(result->refusal_wants, result->refusals),
                  fraction(result->wrong, result->refusals), jain(result, 0),
                  jain(result, 1));
    for (unsigned a = 0; a < POOL_PLAY_ACCOUNTS; a++) {
        if (a >= POOL_PLAY_LARGE && a != account) {
            continue;
        }
        print_message("    account %u (tier %u):", a, PoolPlay_AccountTier(a));
        for (int r = 0; r < POOL_PLAY_RANKS; r++) {
            const PoolClassResult *own = &result->accounts[a][r];
            print_message(" %.3f of %u", fraction(own->served, own->callers),
                          own->callers);
        }
        print_message("\n");
    }
    for (int t = 0; t < POOL_PLAY_TIERS; t++) {
        print_message("    small accounts (tier %d):", t);
        for (int r = -1; r < POOL_PLAY_RANKS; r++) {
            Group group = {t, r, true, account};
            print_message(" %.3f", group_served(result, group));
        }
        print_message("\n");
    }
}

static void
play_case(double load, unsigned account, double burst, bool fair,
          PoolResult *result)
{
    PoolCase play = {
        .use_view = true,
        .engines = 44,
        .load = load,
        .run_ms = RUN_MS,
        .seed = 20261204,
        .accounts = true,
        .fair_accounts = fair,
        .burst_account = account,
        .account_burst = burst,
        .account_burst_from_ms = BURST_FROM_MS,
        .count_until_ms = COUNT_UNTIL_MS,
    };
    PoolPlay_Run(&play, result);
}

/* Checks what each small account of the tier gets, and each rank of all of
 * them, against a run without the burst. */
static void
check_small_accounts(const PoolResult *usual, const PoolResult *burst,
                     unsigned account)
{
    int tier = (int)PoolPlay_AccountTier(account);
    for (int r = -1; r < POOL_PLAY_RANKS; r++) {
        Group group = {tier, r, true, account};
        assert_true(group_served(burst, group) >=
                    group_served(usual, group) - SMALL_LOSS_MAX);
    }
    for (unsigned a = POOL_PLAY_LARGE; a < POOL_PLAY_ACCOUNTS; a++) {
        if (a != account && (int)PoolPlay_AccountTier(a) == tier) {
            assert_true(account_served(burst, a) >=
                        account_served(usual, a) - SMALL_LOSS_MAX);
        }
    }
}

/* Plays the usual demand, which does not depend on the account, once for all
 * bursts of one load. */
static const PoolResult *
play_usual(double load, bool fair)
{
    static PoolResult results[2];
    static double loads[2];
    if (loads[fair] != load) {
        play_case(load, 0, 1, fair, &results[fair]);
        loads[fair] = load;
    }
    return &results[fair];
}

void
AccountChecks_PlayBurst(double load, unsigned account)
{
    const PoolResult *usual = play_usual(load, false);
    const PoolResult *usual_fair = play_usual(load, true);
    PoolResult before;
    PoolResult after;
    play_case(load, account, BURST, false, &before);
    play_case(load, account, BURST, true, &after);
    print_message("load %.2f, burst of account %u\n", load, account);
    print_result("usual demand, no shares", usual, account);
    print_result("usual demand, shares", usual_fair, account);
    print_result("burst, no shares", &before, account);
    print_result("burst, shares", &after, account);
    check_small_accounts(usual, &after, account);
    check_small_accounts(usual_fair, &after, account);
    assert_true(goodput(&after) >= goodput(&before) - GOODPUT_LOSS_MAX);
    int tier = (int)PoolPlay_AccountTier(account);
    Group last = {.tier = tier, .rank = POOL_PLAY_RANKS - 1};
    assert_true(group_served(&after, last) >=
                group_served(&before, last) - GOODPUT_LOSS_MAX);
    if (tier > 0) {
        Group higher = {.tier = 0, .rank = -1};
        assert_true(group_served(&after, higher) >=
                    group_served(&before, higher) - GOODPUT_LOSS_MAX);
    }
}
