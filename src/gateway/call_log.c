/** @file
 * Gateway: log records and metrics of requests.
 */
#include <string.h>

#include "gateway/state.h"
#include "kernel/histogram.h"
#include "kernel/log.h"

#define OUTCOME_ANSWERED "answered"

static const char *
kind_name(const Call *call)
{
    static const char *const names[] = {
        [ROUTE_IDEMPOTENT] = "idempotent",
        [ROUTE_AT_MOST_ONCE] = "once",
        [ROUTE_STREAM] = "stream",
    };
    return call->route == NULL ? "none" : names[call->route->kind];
}

/* Returns milliseconds from the request's arrival to @p at; -1 if @p at is
 * unset. */
static long long
ms_since(const Call *call, TimeUs at)
{
    return at == 0 ? -1 : (long long)((at - call->received_at) / US_PER_MS);
}

static void
record_metrics(const Call *call, bool served)
{
    char label[64];
    g_snprintf(label, sizeof(label), "kind=\"%s\",served=\"%s\"",
               kind_name(call), served ? "yes" : "no");
    Histogram_Record(Histogram_Get("gateway_request_seconds", label,
                                   "From the request to its last byte."),
                     Clock_Now() - call->received_at);
    g_snprintf(label, sizeof(label), "tier=\"%u\"", MIN(call->tier, 9));
    if (call->sent_at != 0) {
        Histogram_Record(Histogram_Get("gateway_wait_seconds", label,
                                       "From the request to its sending."),
                         call->sent_at - call->received_at);
    }
    if (call->first_output_at != 0 && call->sent_at != 0) {
        Histogram_Record(Histogram_Get("gateway_first_piece_seconds", label,
                                       "From the sending to the first "
                                       "event or the whole answer."),
                         call->first_output_at - call->sent_at);
    }
}

/* Writes all values that decided the outcome into one record. Requests that
 * were not served have level WARN, so that their records are kept first when
 * records must be dropped. */
void
CallLog_End(const Call *call, const char *outcome)
{
    const Gateway *gateway = call->gateway;
    TimeUs now = Clock_Now();
    bool served = strcmp(outcome, OUTCOME_ANSWERED) == 0;
    const char *resumes = Call_Field(call, gateway->options->fields->resumes);
    const char *after = Call_Field(call, gateway->options->fields->last_event);
    record_metrics(call, served);
    Log_Write(served ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, GATEWAY_PART,
              "Request ended. id=%s outcome=%s status=%u route=%s kind=%s "
              "account=%s tier=%u rank=%u service=%s endpoint=%s attempts=%u "
              "waited_ms=%lld first_ms=%lld total_ms=%lld left_ms=%lld "
              "prompt=%u output=%u expected=%u version=%llu lease_ms=%lld "
              "events=%llu pause_ms=%lld after=%s resumes=%s software=%s",
              call->id, outcome, call->status,
              call->route != NULL ? call->route->name : "", kind_name(call),
              call->account != NULL ? call->account->name : "", call->tier,
              call->rank, call->service != NULL ? call->service : "",
              call->last_endpoint_id, call->attempts,
              ms_since(call, call->sent_at),
              ms_since(call, call->first_output_at), ms_since(call, now),
              (long long)(call->caller_deadline - now) / US_PER_MS,
              call->prompt_tokens, call->output_tokens, call->expected_tokens,
              call->table != NULL
                  ? (unsigned long long)RouteTable_Version(call->table)
                  : 0ULL,
              (long long)(gateway->lease_until - now) / US_PER_MS,
              (unsigned long long)call->events.forwarded_count,
              (long long)call->longest_event_gap / US_PER_MS,
              after != NULL ? after : "", resumes != NULL ? resumes : "",
              call->last_software != NULL ? call->last_software : "");
}

void
CallLog_OverLimit(const Call *call, const QuotaDecision *quota)
{
    LOG_INFO(GATEWAY_PART,
             "Account is over its share. id=%s account=%s rank=%u cost=%.0f "
             "units=%.0f reserve=%.0f limit=%.0f by=%s retry_after_ms=%u",
             call->id, call->account->name, call->route->tier, quota->cost,
             quota->level, quota->reserve, call->account->rate,
             quota->by_ledger ? "ledger" : "part", quota->wait_ms);
}
