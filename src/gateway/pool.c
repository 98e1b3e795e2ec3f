/** @file
 * Gateway: what it knows of the waits at engines, and how a call appears to
 * the decisions of the pool's view.
 */
#include <string.h>

#include <xxhash.h>

#include "gateway/keepers.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#define NS_PER_US 1000.0
#define PERCENT 100.0
/* Numbers in the waits of one class. */
#define CLASS_NUMBERS 5

static PlannedWait
read_wait(const uint32_t *numbers)
{
    TimeUs planned = numbers[0] * US_PER_MS;
    return (PlannedWait){
        .planned = planned,
        .expected = planned + numbers[1] * US_PER_MS,
    };
}

void
Keeper_ReadOutlook(Keeper *keeper, const Wire__EngineOutlook *message)
{
    EngineOutlook outlook = {
        .first_base_us = message->first_base_us,
        .first_us_per_token = message->first_token_ns / NS_PER_US,
        .decode_us_per_token = message->token_us,
        .mean_run = message->mean_run_ms * US_PER_MS,
        .margin = message->margin_percent / PERCENT,
        .first_margin = message->first_margin_percent / PERCENT,
    };
    for (size_t i = 0; i + CLASS_NUMBERS <= message->n_waits &&
                       outlook.count < OUTLOOK_WAITS;
         i += CLASS_NUMBERS)
    {
        const uint32_t *numbers = &message->waits[i];
        outlook.waits[outlook.count++] = (ClassWait){
            .class_index = numbers[0] % OUTLOOK_WAITS,
            .bookable = numbers[0] >= OUTLOOK_WAITS,
            .on_time = read_wait(&numbers[1]),
            .late = read_wait(&numbers[3]),
        };
    }
    outlook.account_count =
        (unsigned)MIN(message->n_accounts, OUTLOOK_ACCOUNTS_MAX);
    for (unsigned i = 0; i < outlook.account_count; i++) {
        outlook.accounts[i] = message->accounts[i];
    }
    EngineView_OnOutlook(&keeper->view, &outlook, Clock_Now());
}

uint64_t
Pool_AccountOf(const Call *call)
{
    if (!call->gateway->options->bounds.fair_accounts || call->account == NULL)
    {
        return 0;
    }
    const char *name = call->account->name;
    return XXH3_64bits(name, strlen(name));
}

PoolRequest
Pool_RequestOf(const Call *call)
{
    return (PoolRequest){
        .account = Pool_AccountOf(call),
        .tier = call->tier,
        .rank = call->rank,
        .prompt_tokens = call->prompt_tokens,
        .output_tokens = call->expected_tokens,
        .longest_output_tokens = call->output_tokens,
        .deadline = call->deadline,
        .first_deadline =
            call->received_at + call->route->latency_target_ms * US_PER_MS,
        .first_limit = Call_FirstOutputLimit(call),
    };
}

void
Pool_LogChoice(const Want *want, const PoolChoice *choice)
{
    Counter_Add(Counter_Get("gateway_pool_searches_total",
                            "Requests that asked the keepers that the view of "
                            "the pool chose."),
                1);
    LOG_INFO(GATEWAY_PART,
             "Pool is short of capacity. id=%s tier=%u rank=%u asked=%zu "
             "in_time=%u unknown=%u late=%u oldest_ms=%lld refused=%u "
             "left_ms=%lld",
             want->call->id, want->call->tier, want->call->rank, choice->count,
             choice->in_time, choice->unknown, choice->late,
             (long long)(choice->oldest_age / US_PER_MS), want->refused->len,
             (long long)((want->call->deadline - Clock_Now()) / US_PER_MS));
}
