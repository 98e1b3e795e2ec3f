/** @file
 * Converts the queue's outlook into a message.
 */
#include "keeper/outlook.h"

#include <string.h>

#include <glib.h>

#define NS_PER_US 1000
#define PERCENT 100

static void
add_wait(Wire__EngineOutlook *message, const PlannedWait *wait)
{
    TimeUs more = wait->expected - wait->planned;
    message->waits[message->n_waits++] =
        (uint32_t)MIN(wait->planned / US_PER_MS, G_MAXUINT32);
    message->waits[message->n_waits++] =
        (uint32_t)MIN(more / US_PER_MS, G_MAXUINT32);
}

void
Outlook_Fill(OutlookMessage *out, const WantQueue *queue, TimeUs now)
{
    EngineOutlook outlook;
    Queue_GetOutlook(queue, now, &outlook);
    Wire__EngineOutlook *message = &out->message;
    wire__engine_outlook__init(message);
    message->waits = out->waits;
    for (unsigned i = 0; i < outlook.count; i++) {
        message->waits[message->n_waits++] =
            outlook.waits[i].class_index +
            (outlook.waits[i].bookable ? OUTLOOK_WAITS : 0);
        add_wait(message, &outlook.waits[i].on_time);
        add_wait(message, &outlook.waits[i].late);
    }
    message->accounts = out->accounts;
    message->n_accounts = outlook.account_count;
    memcpy(out->accounts, outlook.accounts, sizeof(out->accounts));
    message->first_base_us = (uint32_t)outlook.first_base_us;
    message->first_token_ns =
        (uint32_t)(outlook.first_us_per_token * NS_PER_US);
    message->token_us = (uint32_t)outlook.decode_us_per_token;
    message->mean_run_ms = (uint32_t)(outlook.mean_run / US_PER_MS);
    message->margin_percent = (uint32_t)(outlook.margin * PERCENT);
    message->first_margin_percent = (uint32_t)(outlook.first_margin * PERCENT);
}
