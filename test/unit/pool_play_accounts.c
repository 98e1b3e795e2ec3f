/** @file
 * Accounts of the simulated requests and their demand.
 */
#include <glib.h>

#include "pool_play.h"
#include "pool_play_state.h"

/* Part of the usual demand that each large account has. */
#define LARGE_SHARE 0.2
#define ACCOUNT_HASH_FACTOR 0x9E3779B97F4A7C15U

unsigned
PoolPlay_AccountTier(unsigned account)
{
    return account == 1 || (account >= POOL_PLAY_LARGE && account % 3 == 0)
               ? 0
               : 1;
}

uint64_t
PoolPlay_AccountHash(const Play *play, const Request *request)
{
    return play->spec->accounts ? (request->account + 1) * ACCOUNT_HASH_FACTOR
                                : 0;
}

/* Returns the demand of an account, as a fraction of the usual demand of
 * all. */
static double
account_demand(const Play *play, unsigned account)
{
    const PoolCase *spec = play->spec;
    double usual = account < POOL_PLAY_LARGE
                       ? LARGE_SHARE
                       : (1 - POOL_PLAY_LARGE * LARGE_SHARE) /
                             (POOL_PLAY_ACCOUNTS - POOL_PLAY_LARGE);
    bool bursts = account == spec->burst_account &&
                  play->now >= spec->account_burst_from_ms * US_PER_MS;
    return usual * (bursts ? spec->account_burst : 1);
}

double
PoolPlay_AccountsDemand(const Play *play)
{
    double sum = 0;
    for (unsigned a = 0; a < POOL_PLAY_ACCOUNTS; a++) {
        sum += account_demand(play, a);
    }
    return sum;
}

static unsigned
pick_account(const Play *play)
{
    double point = g_rand_double(play->random) * PoolPlay_AccountsDemand(play);
    unsigned account = 0;
    while (account < POOL_PLAY_ACCOUNTS - 1 &&
           point >= account_demand(play, account))
    {
        point -= account_demand(play, account++);
    }
    return account;
}

void
PoolPlay_SetAccount(const Play *play, Request *request)
{
    request->account = pick_account(play);
    request->tier = PoolPlay_AccountTier(request->account);
    if (pool_play_is_counted(play, request)) {
        play->result->accounts[request->account][request->rank].callers++;
    }
}
